//! Guards against commands that write unrequested changes, overwrite another operator's row or hide an uncertain
//! outcome. Snapshots contain complete sessions with output, exit status and calls to the platform.

#[path = "../../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::fs;
use std::path::PathBuf;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use insta::assert_snapshot;
use vanillapick_ctl::CommandContext;
use vanillapick_ctl::CommandOutput;
use vanillapick_ctl::run_with_context;
use vanillapick_model::table::CONFIG_KEY;
use vanillapick_platform::config_edit::EditRetryPolicy;

use crate::stand_in::Fault;
use crate::stand_in::StandIn;

const TABLES: &str = r#"{
    "revision": 7,
    "routes": {
        "stock": {
            "name": "stock", "kind": "search", "pool": "stock-1",
            "contract": { "class": 0, "deadline_ms": 250, "least_coverage": 0.9, "merge_size": 10 }
        }
    },
    "pools": {
        "stock-1": {
            "name": "stock-1",
            "contract": { "slots": 2, "connections": 25, "connect_cost_ms": 6, "cold_allowance": 1, "cold_ramp_ms": 9 },
            "shard_maps": [{ "id": 1, "shards": 1 }],
            "targets": [
                { "id": "a", "address": "127.0.0.1:8001", "domain": "lima", "shard_map": 1, "shard": 0 },
                { "id": "b", "address": "127.0.0.1:8002", "domain": "trujillo", "shard_map": 1, "shard": 0 }
            ]
        },
        "stock-2": {
            "name": "stock-2",
            "contract": { "slots": 2, "connections": 25, "connect_cost_ms": 6, "cold_allowance": 1, "cold_ramp_ms": 9 },
            "shard_maps": [{ "id": 1, "shards": 1 }],
            "targets": [{ "id": "c", "address": "127.0.0.1:8003", "domain": "lima", "shard_map": 1, "shard": 0 }]
        }
    }
}"#;

/// An operator who runs commands against a platform; the transcript contains what a terminal would show.
struct Operator {
    platform: StandIn,
    edits: u32,
    transcript: String,
}

impl Operator {
    async fn start() -> Self {
        let platform = StandIn::start().await;
        platform.write(CONFIG_KEY, TABLES);
        Self { platform, edits: 0, transcript: String::new() }
    }

    /// Runs a command, 10 s after the previous one; `FILE` is replaced by a temporary file of the test.
    async fn run(&mut self, command: &str) -> String {
        self.edits += 1;
        let context = CommandContext {
            now: UNIX_EPOCH + Duration::from_secs(1_000_000 + 10 * u64::from(self.edits)),
            edit_id: format!("edit-{}", self.edits),
            retry_policy: EditRetryPolicy { max_attempts: 3, retry_delay: Duration::ZERO },
            color: false,
        };
        let scratch = self.scratch().display().to_string();
        let mut words: Vec<_> =
            command.split(' ').map(|word| word.replace("FILE", &scratch).into()).collect();
        let takes_platform = !command.starts_with("check") && !command.contains("--help");
        if takes_platform {
            words.extend(["--platform".into(), self.platform.address.to_string().into()]);
            if !command.contains("--timeout-ms") {
                words.extend(["--timeout-ms".into(), "20000".into()]);
            }
        }
        let mut output = CommandOutput::default();
        let status = run_with_context(&context, words, &mut output).await;
        let shown = format!("{}{}", output.text, output.errors)
            .replace(&self.platform.address.to_string(), "PLATFORM")
            .replace(&scratch, "FILE");
        self.transcript.push_str(&format!("$ {command}\n{shown}[{}]\n\n", status.code()));
        output.text
    }

    fn calls(&mut self) {
        self.transcript.push_str(&format!("calls:\n{}\n\n", self.platform.take_call_log()));
    }

    fn scratch(&self) -> PathBuf {
        let port = self.platform.address.port();
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("tables-{port}.jsonc"))
    }

    fn save(&self, text: &str) {
        fs::write(self.scratch(), text).expect("the temporary file can be written");
    }
}

impl Drop for Operator {
    fn drop(&mut self) {
        let _ = fs::remove_file(self.scratch());
    }
}

#[rocket::async_test]
async fn rows_are_shown_set_and_removed() {
    let mut operator = Operator::start().await;
    for command in [
        "show",
        "route set browse --kind search --pool stock-1 --class 2 --deadline-ms 800 --least-coverage 0.5 --merge-size 20 --dry-run",
        "route set browse --kind search --pool stock-1 --class 2 --deadline-ms 800 --least-coverage 0.5 --merge-size 20",
        "route set stock --class 1 --preference coverage",
        "route set stock --class 1",
        "route set stock --pool absent",
        "route set other --class 1",
        "route set other/one --kind read --pool stock-1 --class 256 --deadline-ms 800 --least-coverage 0.5 --merge-size 1",
        "route set other/one --kind read --pool stock-1 --class 2 --deadline-ms 800 --least-coverage 0.5 --merge-size 1",
        "pool remove stock-1",
        "pool remove absent",
        "pool set stock-1 --target d,127.0.0.1:8004,lima,1,0 --leaving a --slots 3",
        "pool set stock-1 --remove-target b --remove-target z",
        "route remove browse",
        "show routes",
    ] {
        operator.run(command).await;
    }
    operator.calls();
    assert_snapshot!(operator.transcript);
}

#[rocket::async_test]
async fn a_file_replaces_its_rows_and_keeps_those_of_others() {
    let mut operator = Operator::start().await;
    let shown = operator.run("show --json").await;
    operator.save(&shown.replace("\"class\": 0", "\"class\": 1"));
    operator.run("pool set stock-2 --slots 4").await;
    operator.run("edit FILE --dry-run").await;
    operator.run("edit FILE").await;
    operator.run("edit FILE").await;

    operator.save(&shown.replace("\"class\": 0", "\"class\": 3"));
    operator.run("edit FILE").await;
    operator.save(TABLES);
    operator.run("edit FILE").await;
    operator.save(&TABLES.replace("\"revision\": 7", "\"revision\": 70"));
    operator.run("edit FILE").await;
    operator.save(&TABLES.replace("stock-1\",\n            \"contract", "stock-9\", \"contract"));
    operator.run("edit FILE").await;
    operator.run("check FILE --plain").await;
    operator.calls();
    assert_snapshot!(operator.transcript);
}

#[rocket::async_test]
async fn a_row_that_another_operator_edits_at_the_same_time_is_refused() {
    let mut operator = Operator::start().await;
    let other = TABLES.replace("\"revision\": 7", "\"revision\": 8");
    let other = other.replace("\"class\": 0", "\"class\": 5");
    operator.platform.fail("PUT", Fault::ConcurrentWrite(other.clone()));
    operator.run("route set stock --class 1").await;
    let other = other.replace("\"revision\": 8", "\"revision\": 9");
    operator
        .platform
        .fail("PUT", Fault::ConcurrentWrite(other.replace("\"slots\": 2", "\"slots\": 4")));
    operator.run("route set stock --class 1").await;
    let other = other.replace("\"revision\": 9", "\"revision\": 11");
    operator
        .platform
        .fail("PUT", Fault::ConcurrentWrite(other.replace("\"slots\": 2", "\"slots\": 5")));
    operator.run("domain out lima").await;
    let other = operator.platform.read(CONFIG_KEY).replace("\"revision\":12", "\"revision\":13");
    let other =
        other.replace(r#"{"state":"out"}"#, r#"{"state":"returning","since_ms":1,"ramp_ms":1}"#);
    operator.platform.fail("PUT", Fault::ConcurrentWrite(other));
    operator.run("domain return lima").await;
    operator.calls();
    assert_snapshot!(operator.transcript);
}

#[rocket::async_test]
async fn a_failure_domain_leaves_and_returns_by_one_edit_each() {
    let mut operator = Operator::start().await;
    for command in [
        "domain return lima",
        "domain out cusco",
        "domain out lima --dry-run",
        "domain out lima",
        "show pools",
        "domain return lima --ramp 20",
        "show pools",
    ] {
        operator.run(command).await;
    }
    operator.calls();
    assert_snapshot!(operator.transcript);
}

#[rocket::async_test]
async fn a_move_is_started_watched_and_cancelled() {
    let mut operator = Operator::start().await;
    let host = StandIn::start().await;
    let entry = format!(r#"[{{"id":"entry-1","domain":"lima","address":"{}"}}]"#, host.address);
    operator.platform.set_hosts(&entry);
    host.set_status(
        r#"{"host":"entry-1","moves":[{"route":"stock","move":"move-edit-4","share":0.05,"state":"running",
        "evidence":{"replies":120,"failures":1}}]}"#,
    );
    for command in [
        "move status",
        "move start stock --to absent --finish-in 600",
        "move start stock --to stock-1 --finish-in 600",
        "move start stock --to stock-2 --finish-in 600",
        "move start stock --to stock-2 --finish-in 600",
        "move status stock",
        "move cancel stock",
        "move cancel stock",
        "move start stock --to stock-2 --finish-in 600",
        "move status",
        "move status absent",
    ] {
        operator.run(command).await;
    }
    assert_snapshot!(operator.transcript);
}

#[rocket::async_test]
async fn status_shows_every_host_and_those_that_do_not_answer() {
    let mut operator = Operator::start().await;
    let mut hosts = Vec::new();
    let mut entries = Vec::new();
    for (id, status) in [
        (
            "entry-1",
            r#"{"host":"entry-1","domain":"lima","revision":7,"ready":true,"leaving":false,"rejected":null,
            "peer":{"bytes_in":1200,"bytes_out":900,"cpu_us":35},
            "peers":[{"host":"entry-2","age_ms":140,"state":"alive"},{"host":"entry-3","age_ms":9000,"state":"suspect"}],
            "moves":[{"route":"stock","move":"m1","share":0.2,"state":"running","evidence":"limited","reason":null}]}"#,
        ),
        (
            "entry-2",
            r#"{"host":"entry-2","domain":"lima","revision":6,"ready":false,"leaving":false,
            "rejected":{"revision":7,"findings":[{"place":"routes.stock.pool","label":"no pool","help":"name one"}]},
            "peer":{"bytes_in":10,"bytes_out":20,"cpu_us":3},
            "peers":[{"host":"entry-1","age_ms":90,"state":"alive"},{"host":"entry-3","age_ms":8000,"state":"suspect"}],
            "moves":[{"route":"stock","move":"m1","share":0,"state":"taken_back","evidence":{"failures":6},
            "reason":"6 failures in a row"}]}"#,
        ),
        ("entry-3", "not JSON"),
    ] {
        let host = StandIn::start().await;
        host.set_status(status);
        entries.push(format!(r#"{{"id":"{id}","domain":"lima","address":"{}"}}"#, host.address));
        hosts.push(host);
    }
    // No process listens on the discard port of the loopback interface.
    entries.push(r#"{"id":"entry-4","domain":"trujillo","address":"127.0.0.1:9"}"#.to_owned());
    operator.platform.set_hosts(&format!("[{}]", entries.join(",")));
    operator.run("status").await;
    operator.run("status --json").await;
    for (index, host) in hosts.iter().enumerate() {
        let name = format!("HOST-{}", index + 1);
        operator.transcript = operator.transcript.replace(&host.address.to_string(), &name);
    }
    assert_snapshot!(operator.transcript);
}

/// Guards against a status response that is dropped because one of its peers has a null age. Hosts of other failure
/// domains are known only from the host list, and therefore have no age.
#[rocket::async_test]
async fn status_shows_a_host_with_a_peer_that_it_has_not_heard() {
    let mut operator = Operator::start().await;
    let host = StandIn::start().await;
    host.set_status(
        r#"{"host":"entry-1","domain":"lima","revision":7,"ready":true,"leaving":false,"rejected":null,
        "watches_store":true,"requests_running":0,"peer":{"bytes_in":1,"bytes_out":2,"cpu_us":3},
        "peers":[{"host":"entry-2","age_ms":null,"state":"alive","leaving":false}],"moves":[]}"#,
    );
    let entries = format!(
        r#"[{{"id":"entry-1","domain":"lima","address":"{}"}},
        {{"id":"entry-2","domain":"trujillo","address":"127.0.0.1:9"}}]"#,
        host.address
    );
    operator.platform.set_hosts(&entries);
    operator.run("status").await;
    assert_snapshot!(operator.transcript);
}

#[rocket::async_test]
async fn an_unreachable_platform_and_an_unknown_outcome_have_their_own_status() {
    let mut operator = Operator::start().await;
    operator.platform.fail("GET", Fault::Refuse);
    operator.run("show").await;
    operator.platform.fail("HOSTS", Fault::Refuse);
    operator.run("status").await;
    operator.platform.fail("PUT", Fault::LoseReply);
    operator.run("domain out lima").await;
    for _ in 0..3 {
        operator.platform.fail("PUT", Fault::LoseRequest);
    }
    operator.run("domain return lima").await;
    operator.calls();
    assert_snapshot!(operator.transcript);
}

#[rocket::async_test]
async fn wrong_arguments_are_refused_with_help() {
    let mut operator = Operator::start().await;
    for command in [
        "route",
        "route drop x",
        "show tables",
        "route set stock --class high",
        "route set stock --kind find",
        "route set --class 1",
        "route set stock --colour red",
        "move start stock --to stock-2",
        "pool set stock-1 --target d,8004,lima,1,0",
        "route remove stock browse",
        "--timeout-ms 30000 show routes",
        "check FILE",
    ] {
        operator.run(command).await;
    }
    operator.calls();
    assert_snapshot!(operator.transcript);
}

#[rocket::async_test]
async fn every_command_has_help_with_an_example() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/operators/commands.md");
    let page = fs::read_to_string(page).expect("the page of commands exists");
    let mut operator = Operator::start().await;
    let overview = operator.run("--help").await;
    let commands: Vec<String> = overview
        .lines()
        .skip_while(|line| *line != "commands:")
        .skip(1)
        .take_while(|line| !line.is_empty())
        .filter_map(|line| line.trim().split("  ").next().map(str::to_owned))
        .collect();
    assert_eq!(commands.len(), 14);
    for command in commands {
        let help = operator.run(&format!("{command} --help")).await;
        assert!(help.contains(&format!("usage: vanillapick-ctl {command}")), "{help}");
        assert!(help.contains("\nexample:\n  vanillapick-ctl"), "{help}");
        assert!(page.contains(&help), "docs/operators/commands.md has another text of {command}");
    }
}
