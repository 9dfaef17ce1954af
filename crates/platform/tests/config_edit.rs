//! Guards against edits that are applied twice, lost or reported with the wrong outcome after lost replies and concurrent
//! edits.

mod stand_in;

use std::time::Duration;

use insta::assert_snapshot;
use vanillapick_model::table::CONFIG_KEY;
use vanillapick_model::table::ConfigTable;
use vanillapick_model::table::TableFinding;
use vanillapick_platform::PlatformClient;
use vanillapick_platform::config_edit::EditError;
use vanillapick_platform::config_edit::EditRetryPolicy;
use vanillapick_platform::config_edit::edit_config;

use crate::stand_in::Fault;
use crate::stand_in::StandIn;

const RETRY_POLICY: EditRetryPolicy =
    EditRetryPolicy { max_attempts: 3, retry_delay: Duration::ZERO };

/// JSON of tables with the pools `names`.
fn tables(revision: u64, names: &[&str]) -> String {
    let mut table = ConfigTable { revision, ..ConfigTable::default() };
    for name in names {
        table = with_pool(&table, name).expect("a pool can be added");
    }
    serde_json::to_string(&table).expect("tables are JSON")
}

fn with_pool(table: &ConfigTable, name: &str) -> Result<ConfigTable, Vec<TableFinding>> {
    let mut table = table.clone();
    let row = serde_json::json!({
        "name": name,
        "contract": { "slots": 1, "connections": 1, "connect_cost_ms": 1, "cold_allowance": 1, "cold_ramp_ms": 1 },
        "shard_maps": [{ "id": 1, "shards": 1 }],
        "targets": [],
    });
    table.pools.insert(name.to_owned(), serde_json::from_value(row).expect("a pool row"));
    Ok(table)
}

/// Adds a pool, injecting the faults after the first read of the tables.
async fn add_pool(
    platform: &StandIn,
    name: &str,
    faults: Vec<(&'static str, Fault)>,
) -> Result<ConfigTable, EditError> {
    let client = PlatformClient::new(platform.address, Duration::from_secs(20));
    let mut faults = faults.into_iter();
    edit_config(&client, "edit-1", RETRY_POLICY, |table| {
        for (method, fault) in faults.by_ref() {
            platform.fail(method, fault);
        }
        with_pool(table, name)
    })
    .await
}

/// Result of an edit, its calls and the stored pools, for a snapshot.
fn edit_summary(platform: &StandIn, result: &Result<ConfigTable, EditError>) -> String {
    let result = match result {
        Ok(table) => format!("in force at revision {}", table.revision),
        Err(error) => error.to_string(),
    };
    let stored = platform.read(CONFIG_KEY);
    let stored = serde_json::from_str::<ConfigTable>(&stored).unwrap_or_default();
    let pools: Vec<_> = stored.pools.keys().collect();
    format!(
        "{result}\n{}\nstored: {} {:?} {pools:?}\n",
        platform.take_call_log(),
        stored.revision,
        stored.edits
    )
}

#[rocket::async_test]
async fn an_edit_is_in_force_once_whatever_happens_to_its_calls() {
    let mut summaries = Vec::new();
    for faults in [
        vec![],
        vec![("PUT", Fault::LoseReply)],
        vec![("PUT", Fault::LoseRequest)],
        vec![("PUT", Fault::ConcurrentWrite(tables(8, &["a", "b"])))],
        vec![("PUT", Fault::LoseReply), ("GET", Fault::Refuse)],
        vec![("PUT", Fault::Refuse)],
        vec![("PUT", Fault::LoseRequest), ("PUT", Fault::LoseRequest), ("PUT", Fault::LoseRequest)],
        vec![("PUT", Fault::LoseRequest), ("PUT", Fault::LoseRequest), ("PUT", Fault::LoseReply)],
        vec![
            ("PUT", Fault::ConcurrentWrite(tables(8, &["a", "b"]))),
            ("PUT", Fault::ConcurrentWrite(tables(9, &["a", "c"]))),
            ("PUT", Fault::ConcurrentWrite(tables(10, &["a", "d"]))),
        ],
    ] {
        let platform = StandIn::start().await;
        platform.write(CONFIG_KEY, &tables(7, &["a"]));
        let result = add_pool(&platform, "new", faults).await;
        summaries.push(edit_summary(&platform, &result));
    }
    assert_snapshot!(summaries.join("\n"));
}

#[rocket::async_test]
async fn the_first_edit_creates_the_tables() {
    let platform = StandIn::start().await;
    let result = add_pool(&platform, "new", Vec::new()).await;
    assert_snapshot!(edit_summary(&platform, &result));
}

#[rocket::async_test]
async fn refusals_and_failed_checks_write_nothing() {
    let platform = StandIn::start().await;
    platform.write(CONFIG_KEY, &tables(7, &["a"]));
    let client = PlatformClient::new(platform.address, Duration::from_secs(20));
    let refusal = TableFinding {
        place: "pools.a".to_owned(),
        label: "changed by another operator".to_owned(),
        help: "look at the row".to_owned(),
    };
    let refused =
        edit_config(&client, "edit-1", RETRY_POLICY, |_| Err(vec![refusal.clone()])).await;
    assert_eq!(refused, Err(EditError::Refused { findings: vec![refusal] }));

    let broken = edit_config(&client, "edit-2", RETRY_POLICY, |table| {
        let mut table = table.clone();
        table.pools.get_mut("a").expect("pool a").contract.slots = 0;
        Ok(table)
    })
    .await;
    assert!(matches!(broken, Err(EditError::Refused { .. })), "{broken:?}");
    platform.fail("GET", Fault::Refuse);
    let unread = edit_config(&client, "edit-3", RETRY_POLICY, |table| Ok(table.clone())).await;
    assert!(matches!(unread, Err(EditError::NotWritten { .. })), "{unread:?}");
    let unchanged = edit_config(&client, "edit-4", RETRY_POLICY, |table| Ok(table.clone())).await;
    assert_eq!(unchanged.map(|table| table.revision), Ok(7));
    assert_snapshot!(platform.take_call_log());
}
