//! An entry host with its targets and platform, and a caller that records transcripts.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Client;
use reqwest::RequestBuilder;
use reqwest::Response;
use serde_json::Value;
use serde_json::json;
use vanillapick_entry::server::EntryServer;
use vanillapick_model::table::CONFIG_KEY;
use vanillapick_model::table::ConfigTable;
use vanillapick_settings::entry_settings::EntrySettings;

use super::platform::TestPlatform;
use super::target::TestTarget;
use super::wait_until;

/// Deadline in milliseconds of calls that must be answered.
pub const LONG_DEADLINE_MS: &str = "30000";

/// One entry host with two shards of documents and one target of stock.
pub struct TestSystem {
    pub platform: TestPlatform,
    pub docs: Vec<TestTarget>,
    pub stock: TestTarget,
    pub host: EntryServer,
    pub caller: TestCaller,
}

impl TestSystem {
    /// Starts a host that has no configuration yet.
    pub async fn start(balancer_lag: Duration) -> Self {
        let platform = TestPlatform::start().await;
        let docs = vec![TestTarget::start(0).await, TestTarget::start(1).await];
        let stock = TestTarget::start(0).await;
        let settings = json!({
            "host": "entry-1", "domain": "lima", "listen": "127.0.0.1:0",
            "platform": platform.address, "platform_timeout_ms": 20_000, "workers": 1,
            "balancer_lag_ms": u64::try_from(balancer_lag.as_millis()).expect("short"),
        });
        let settings: EntrySettings = serde_json::from_value(settings).expect("valid settings");
        let host = EntryServer::launch(settings).await.expect("the host listens");
        let caller = TestCaller::new(host.address());
        Self { platform, docs, stock, host, caller }
    }

    /// Starts a host and waits until it is ready.
    pub async fn ready() -> Self {
        let system = Self::start(Duration::from_millis(0)).await;
        system.configure().await;
        system
    }

    pub async fn configure(&self) {
        let table: ConfigTable = serde_json::from_value(self.table()).expect("valid tables");
        assert_eq!(table.check(), []);
        self.platform.write(CONFIG_KEY, serde_json::to_vec(&table).expect("JSON"));
        wait_until(async || self.caller.status("/ready").await == 200).await;
    }

    fn table(&self) -> Value {
        let route = |name: &str, kind: &str, pool: &str, least_coverage: f64| {
            json!({"name": name, "kind": kind, "pool": pool, "contract": {
                "class": 0, "deadline_ms": 30_000, "least_coverage": least_coverage,
                "preference": "latency", "merge_size": 3,
            }})
        };
        let pool = |name: &str, shards: usize, targets: Vec<_>| {
            json!({"name": name, "shard_maps": [{"id": 1, "shards": shards}], "targets": targets,
            "contract": {
                "slots": 40, "connections": 8, "connect_cost_ms": 1, "cold_allowance": 1,
                "cold_ramp_ms": 1,
            }})
        };
        let docs = [self.docs[0].entry("docs-0"), self.docs[1].entry("docs-1")];
        json!({
            "revision": 1,
            "routes": {
                "find": route("find", "search", "docs", 0.5),
                "strict": route("strict", "search", "docs", 1.0),
                "page": route("page", "read", "docs", 0.0),
                "revise": route("revise", "write", "docs", 0.0),
                "item": route("item", "read", "stock", 0.0),
                "order": route("order", "write", "stock", 0.0),
            },
            "pools": {
                "docs": pool("docs", 2, docs.to_vec()),
                "stock": pool("stock", 1, vec![self.stock.entry("stock-0")]),
            },
        })
    }
}

/// HTTP response received by the caller.
pub struct Received {
    pub status: u16,
    pub headers: String,
    pub body: String,
}

impl Received {
    async fn read(response: Response) -> Self {
        let status = response.status().as_u16();
        let mut headers: Vec<_> = response
            .headers()
            .iter()
            .filter(|(name, _)| name.as_str().starts_with("vp-") || *name == "content-type")
            .map(|(name, value)| format!("{name}: {}\n", value.to_str().expect("ASCII")))
            .collect();
        headers.sort();
        let body = response.text().await.expect("a whole body");
        Self { status, headers: headers.concat(), body }
    }

    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).expect("JSON")
    }

    /// Status, code and outcome of a refusal, or the status alone.
    pub fn verdict(&self) -> String {
        let body: Value = serde_json::from_str(&self.body).unwrap_or_default();
        match (&body["code"], &body["coverage"]["missing"]) {
            (Value::String(code), _) => {
                format!("{} {code} {}", self.status, body["outcome"].as_str().unwrap_or("-"))
            }
            (_, Value::Array(missing)) => format!("{} missing {}", self.status, json!(missing)),
            _ => self.status.to_string(),
        }
    }

    /// One part of a transcript.
    pub fn transcript(&self, request: &str) -> String {
        format!("> {request}\n< {}\n{}\n{}\n", self.status, self.headers, self.body)
    }
}

/// Client of one entry host.
#[derive(Clone)]
pub struct TestCaller {
    client: Client,
    address: SocketAddr,
}

impl TestCaller {
    pub fn new(address: SocketAddr) -> Self {
        let client = Client::builder().no_proxy().retry(reqwest::retry::never()).build();
        Self { client: client.expect("no TLS"), address }
    }

    pub async fn get(&self, path: &str) -> Received {
        let response = self.client.get(format!("http://{}{path}", self.address)).send().await;
        Received::read(response.expect("answered")).await
    }

    pub async fn status(&self, path: &str) -> u16 {
        self.get(path).await.status
    }

    /// Status of a page; `None` if the host does not reply.
    pub async fn try_status(&self, path: &str) -> Option<u16> {
        let url = format!("http://{}{path}", self.address);
        self.client.get(url).send().await.ok().map(|response| response.status().as_u16())
    }

    /// Revision of the configuration in force.
    pub async fn revision(&self) -> u64 {
        let status: Value = serde_json::from_str(&self.get("/status").await.body).expect("JSON");
        status["revision"].as_u64().expect("a number")
    }

    pub fn bare(&self, path: &str) -> RequestBuilder {
        self.client.post(format!("http://{}{path}", self.address))
    }

    pub async fn send(&self, request: RequestBuilder) -> Received {
        Received::read(request.send().await.expect("answered")).await
    }

    /// A valid request with further headers.
    pub async fn post(&self, path: &str, id: &str, headers: &[(&str, &str)]) -> Received {
        let request =
            self.bare(path).header("vp-request-id", id).header("vp-deadline-ms", LONG_DEADLINE_MS);
        let request =
            headers.iter().fold(request, |request, (name, value)| request.header(*name, *value));
        self.send(request.body(format!("body of {id}"))).await
    }
}
