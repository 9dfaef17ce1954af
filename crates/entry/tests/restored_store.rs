//! A host whose platform is restored from an earlier copy and gives out revisions again.

mod common;

use bytes::Bytes;
use serde_json::Value;
use vanillapick_model::table::CONFIG_KEY;

use crate::common::session::TestSystem;
use crate::common::wait_until;

/// The stored tables with another revision and the edits that led to it.
fn table(stored: &Bytes, revision: u64, edits: &[&str]) -> Bytes {
    let mut table: Value = serde_json::from_slice(stored).expect("JSON");
    table["revision"] = revision.into();
    table["edits"] = edits.into();
    serde_json::to_vec(&table).expect("JSON").into()
}

fn stored_table(system: &TestSystem) -> (u64, Vec<String>) {
    let (_, value) = system.platform.read(CONFIG_KEY).expect("it is stored");
    let table: Value = serde_json::from_slice(&value).expect("JSON");
    let edits = table["edits"].as_array().expect("a list").iter();
    let edits = edits.map(|edit| edit.as_str().expect("text").to_owned()).collect();
    (table["revision"].as_u64().expect("a number"), edits)
}

async fn edited() -> (TestSystem, Bytes) {
    let system = TestSystem::ready().await;
    let (_, copy) = system.platform.read(CONFIG_KEY).expect("it is stored");
    for (revision, edits) in [(2, vec!["e2"]), (3, vec!["e2", "e3"])] {
        system.platform.write(CONFIG_KEY, table(&copy, revision, &edits).to_vec());
        wait_until(async || system.caller.revision().await == revision).await;
    }
    (system, copy)
}

/// A confirmed configuration must not be lost because the platform is restored from a copy that lacks it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_configuration_that_the_copy_lacks_is_written_again() {
    let (system, copy) = edited().await;
    system.platform.restore(CONFIG_KEY, 1, copy);
    let expected = (3, vec!["e2".to_owned(), "e3".to_owned()]);
    wait_until(async || stored_table(&system) == expected).await;
    assert_eq!(system.caller.revision().await, 3);
}

/// Operators who edit the copy get revisions that were given out before. Their edit must take effect.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_edit_of_the_copy_takes_effect() {
    let (system, copy) = edited().await;
    system.platform.restore(CONFIG_KEY, 2, table(&copy, 2, &["other"]));
    wait_until(async || system.caller.revision().await == 4).await;
    assert_eq!(stored_table(&system), (4, vec!["other".to_owned()]));
}
