//! Writes the settings and tables below `examples/`, with the sizes from section 1.6 of docs/design.md.
//!
//! Can be run from any directory: `cargo run --locked -p vanillapick-settings --example write_examples`.

use std::fs;
use std::path::Path;

/// Number of replicas of each shard in a sharded pool.
const SHARD_REPLICAS: usize = 2;

/// Number of entry hosts in each failure domain.
const HOSTS_PER_DOMAIN: usize = 2;

/// Time over which a cold target grows from one concurrent request to all its slots.
const COLD_RAMP_MS: u32 = 30_000;

/// An example system from the table of sizes in docs/design.md.
pub struct System {
    /// Name of the folder below `examples/` and prefix of the host names.
    pub name: &'static str,
    domains: [&'static str; 3],
    /// Delay between regions; each failure domain is a separate region.
    one_way_ms: u32,
    platform_port: usize,
    first_entry_port: usize,
    first_target_port: usize,
    pools: &'static [Pool],
    routes: &'static [Route],
}

struct Pool {
    name: &'static str,
    comment: &'static str,
    size: PoolSize,
}

enum PoolSize {
    Sharded { shards: usize },
    Small { replicas: usize, connections: usize },
}

struct Route {
    name: &'static str,
    comment: &'static str,
    kind: &'static str,
    pool: &'static str,
    class: u32,
    deadline_ms: u32,
    least_coverage: &'static str,
    preference: &'static str,
    merge_size: u32,
}

/// The two systems in the table of sizes.
pub const SYSTEMS: [System; 2] = [
    System {
        name: "pajilla",
        domains: ["lima", "arequipa", "trujillo"],
        one_way_ms: 12,
        platform_port: 7300,
        first_entry_port: 7401,
        first_target_port: 8001,
        pools: &[
            Pool {
                name: "stock-1",
                comment: "Stock by article and store.",
                size: PoolSize::Sharded { shards: 20 },
            },
            Pool {
                name: "catalogue-1",
                comment: "Descriptions of all articles.",
                size: PoolSize::Sharded { shards: 30 },
            },
            Pool {
                name: "orders-1",
                comment: "Accepts reorders.",
                size: PoolSize::Small { replicas: 5, connections: 100 },
            },
            Pool {
                name: "prices-1",
                comment: "Prices and discounts.",
                size: PoolSize::Small { replicas: 3, connections: 100 },
            },
        ],
        routes: &[
            Route {
                name: "stock-check",
                comment: "A late stock check loses the order.",
                kind: "search",
                pool: "stock-1",
                class: 0,
                deadline_ms: 400,
                least_coverage: "0.9",
                preference: "latency",
                merge_size: 20,
            },
            Route {
                name: "batch-lookup",
                comment: "A lost batch lookup stops a production line.",
                kind: "search",
                pool: "stock-1",
                class: 0,
                deadline_ms: 800,
                least_coverage: "0.95",
                preference: "latency",
                merge_size: 100,
            },
            Route {
                name: "reorder",
                comment: "A duplicated reorder ships twice; callers send an idempotency-key.",
                kind: "write",
                pool: "orders-1",
                class: 0,
                deadline_ms: 2000,
                least_coverage: "1",
                preference: "latency",
                merge_size: 1,
            },
            Route {
                name: "price",
                comment: "Shown beside every stock check.",
                kind: "read",
                pool: "prices-1",
                class: 1,
                deadline_ms: 300,
                least_coverage: "1",
                preference: "latency",
                merge_size: 1,
            },
            Route {
                name: "browse",
                comment: "Catalogue browsing is refused first when load is too high.",
                kind: "search",
                pool: "catalogue-1",
                class: 2,
                deadline_ms: 600,
                least_coverage: "0.5",
                preference: "latency",
                merge_size: 30,
            },
        ],
    },
    System {
        name: "calendar",
        domains: ["budapest", "szeged", "gyor"],
        one_way_ms: 8,
        platform_port: 7350,
        first_entry_port: 7501,
        first_target_port: 9001,
        pools: &[
            Pool {
                name: "days-1",
                comment: "Holy days, fasts and their times.",
                size: PoolSize::Sharded { shards: 20 },
            },
            Pool {
                name: "notices-1",
                comment: "Notices and bookings of halls.",
                size: PoolSize::Sharded { shards: 30 },
            },
            Pool {
                name: "corrections-1",
                comment: "Accepts corrections.",
                size: PoolSize::Small { replicas: 7, connections: 40 },
            },
            Pool {
                name: "hours-1",
                comment: "Visiting hours.",
                size: PoolSize::Small { replicas: 3, connections: 40 },
            },
        ],
        routes: &[
            Route {
                name: "days",
                comment: "An answer that silently omits a fast does harm, so it must be complete.",
                kind: "search",
                pool: "days-1",
                class: 0,
                deadline_ms: 1500,
                least_coverage: "1",
                preference: "coverage",
                merge_size: 50,
            },
            Route {
                name: "notices",
                comment: "An answer may lack notices, but it must report its coverage.",
                kind: "search",
                pool: "notices-1",
                class: 1,
                deadline_ms: 1500,
                least_coverage: "0.95",
                preference: "coverage",
                merge_size: 50,
            },
            Route {
                name: "correction",
                comment: "A duplicated correction gives two conflicting times; callers send an idempotency-key.",
                kind: "write",
                pool: "corrections-1",
                class: 0,
                deadline_ms: 3000,
                least_coverage: "1",
                preference: "coverage",
                merge_size: 1,
            },
            Route {
                name: "visiting-hours",
                comment: "A single replica serves each request.",
                kind: "read",
                pool: "hours-1",
                class: 1,
                deadline_ms: 800,
                least_coverage: "1",
                preference: "latency",
                merge_size: 1,
            },
        ],
    },
];

/// Returns the path below `examples/` and the text of every file.
pub fn files() -> Vec<(String, String)> {
    let mut files = Vec::new();
    for system in &SYSTEMS {
        for index in 0..system.domains.len() * HOSTS_PER_DOMAIN {
            let path = format!("{}/entry-{}.jsonc", system.name, index + 1);
            files.push((path, system.entry_settings(index)));
        }
        files.push((format!("{}/tables.jsonc", system.name), system.tables()));
    }
    files
}

impl System {
    fn domain_of(&self, host_index: usize) -> &str {
        self.domains[host_index / HOSTS_PER_DOMAIN]
    }

    fn entry_settings(&self, own: usize) -> String {
        let Self { name, platform_port, one_way_ms, first_entry_port, .. } = self;
        let port = first_entry_port + own;
        let others = (0..self.domains.len() * HOSTS_PER_DOMAIN).filter(|index| *index != own);
        let peers = others.map(|index| {
            let (number, domain) = (index + 1, self.domain_of(index));
            let address = format!("127.0.0.1:{}", first_entry_port + index);
            format!(
                "        {{ \"id\": \"{name}-{number}\", \"domain\": \"{domain}\", \"address\": \"{address}\" }}"
            )
        });
        let [first, second, third] = self.domains;
        let links = [(first, second), (first, third), (second, third)].map(|(from, to)| {
            format!(
                "        {{ \"from\": \"{from}\", \"to\": \"{to}\", \"one_way_ms\": {one_way_ms} }}"
            )
        });
        format!(
            r#"// Entry host {number} of {name}. Every setting is described in docs/operators/settings.md.
{{
    "host": "{name}-{number}",
    "domain": "{domain}",
    "listen": "127.0.0.1:{port}",
    "platform": "127.0.0.1:{platform_port}",
    // Used until the platform has returned its host list.
    "peers": [
{peers}
    ],
    // One-way delays between the failure domains, the same in both directions.
    "links": [
{links}
    ],
    "concurrency": 64,
    "queue": 256,
    "extra_load_percent": 5,
    "balancer_lag_ms": 3000,
    "platform_timeout_ms": 300,
    "workers": 2,
    "log_format": "text"
}}
"#,
            number = own + 1,
            domain = self.domain_of(own),
            peers = peers.collect::<Vec<_>>().join(",\n"),
            links = links.join(",\n"),
        )
    }

    fn tables(&self) -> String {
        let routes: Vec<_> = self.routes.iter().map(Route::text).collect();
        let mut port = self.first_target_port;
        let pools: Vec<_> =
            self.pools.iter().map(|pool| pool.text(&self.domains, &mut port)).collect();
        format!(
            "// Routes and pools of {}, written by the example program write_examples of crates/settings.\n\
             {{\n    \"routes\": {{\n{}\n    }},\n    \"pools\": {{\n{}\n    }}\n}}\n",
            self.name,
            routes.join(",\n"),
            pools.join(",\n")
        )
    }
}

impl Route {
    fn text(&self) -> String {
        let Self { name, comment, kind, pool, class, deadline_ms, .. } = self;
        let Self { least_coverage, preference, merge_size, .. } = self;
        format!(
            r#"        // {comment}
        "{name}": {{
            "name": "{name}",
            "kind": "{kind}",
            "pool": "{pool}",
            "contract": {{
                "class": {class},
                "deadline_ms": {deadline_ms},
                "least_coverage": {least_coverage},
                "preference": "{preference}",
                "merge_size": {merge_size}
            }}
        }}"#
        )
    }
}

impl Pool {
    fn text(&self, domains: &[&str; 3], port: &mut usize) -> String {
        let Self { name, comment, size } = self;
        let (shards, replicas, slots, connections, connect_cost_ms) = match size {
            PoolSize::Sharded { shards } => (*shards, SHARD_REPLICAS, 2, 25, 6),
            PoolSize::Small { replicas, connections } => (1, *replicas, 3, *connections, 1),
        };
        let mut targets = Vec::new();
        for shard in 0..shards {
            for replica in 0..replicas {
                let domain = domains[(shard + replica) % domains.len()];
                targets.push(format!(
                    "                {{ \"id\": \"{name}-s{shard:02}-r{replica}\", \
                     \"address\": \"127.0.0.1:{port}\", \"domain\": \"{domain}\", \
                     \"shard_map\": 1, \"shard\": {shard} }}"
                ));
                *port += 1;
            }
        }
        let targets = targets.join(",\n");
        format!(
            r#"        // {comment}
        "{name}": {{
            "name": "{name}",
            "contract": {{
                "slots": {slots},
                "connections": {connections},
                "connect_cost_ms": {connect_cost_ms},
                "cold_allowance": 1,
                "cold_ramp_ms": {COLD_RAMP_MS}
            }},
            "shard_maps": [{{ "id": 1, "shards": {shards} }}],
            "targets": [
{targets}
            ]
        }}"#
        )
    }
}

#[allow(dead_code)]
fn main() -> std::io::Result<()> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    for (path, text) in files() {
        let path = folder.join(path);
        fs::create_dir_all(path.parent().unwrap_or(&folder))?;
        fs::write(path, text)?;
    }
    Ok(())
}
