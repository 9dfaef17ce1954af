//! Tests of the change log: which changes it serves to peers and which it has dropped.

use std::time::Duration;

use bytes::Bytes;
use vanillapick_relay::change_log::ChangeLog;
use vanillapick_relay::wire::StoreItem;
use vanillapick_relay::wire::StorePosition;

const NO_WAIT: Duration = Duration::ZERO;

fn item(key: &str, value: Option<&str>, revision: u64) -> StoreItem {
    let value = value.map(|value| Bytes::copy_from_slice(value.as_bytes()));
    StoreItem { key: key.to_owned(), value, revision }
}

/// Position in the first era.
fn at(revision: u64) -> StorePosition {
    StorePosition { era: 1, revision }
}

/// Formats the changes after a revision of the first era as one line.
async fn changes(log: &ChangeLog, after: u64) -> String {
    let changes =
        log.changes_after(at(after), NO_WAIT, Duration::ZERO, || Duration::from_secs(7)).await;
    let Some(changes) = changes else {
        return format!("after {after}: not kept");
    };
    let items = changes.page.items.iter().map(|item| {
        let value = item.value.as_deref().map_or("gone".into(), String::from_utf8_lossy);
        format!("{} {value} @{}", item.key, item.revision)
    });
    let items: Vec<String> = items.collect();
    let (revision, left) = (changes.page.revision, changes.expiry_grace_left);
    format!(
        "after {after}: {items:?} up to {revision}, lapse {left:?}, store {}",
        changes.has_store
    )
}

#[tokio::test]
async fn changes_are_kept_from_the_first_list_on() {
    let log = ChangeLog::default();
    let mut lines = vec![changes(&log, 0).await];
    log.apply_list(&[item("a", Some("1"), 3), item("b", Some("1"), 4)], at(10));
    log.confirm_store_until(Duration::from_secs(8));
    log.set_expiry_grace_until(Duration::from_secs(9));
    lines.push(changes(&log, 9).await);
    lines.push(changes(&log, 10).await);
    log.append(&[item("a", Some("2"), 11), item("b", None, 13)], at(14));
    for after in [10, 11, 14, 20] {
        lines.push(changes(&log, after).await);
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against all peers listing the store after it has lost its history, and against keeping items that were removed in
/// the meantime.
#[tokio::test]
async fn a_later_list_counts_as_changes() {
    let log = ChangeLog::default();
    log.apply_list(&[item("a", Some("1"), 3), item("b", Some("1"), 4)], at(10));
    log.append(&[item("c", Some("1"), 12)], at(12));
    log.apply_list(
        &[item("a", Some("1"), 3), item("c", Some("2"), 30), item("d", Some("1"), 31)],
        at(31),
    );
    insta::assert_snapshot!(format!("{}\n{}", changes(&log, 10).await, changes(&log, 12).await));
}

/// Guards against unbounded memory use while large configurations replace each other, and against a host that is far behind
/// being sent away to read the store itself.
#[tokio::test]
async fn superseded_changes_are_dropped() {
    let log = ChangeLog::default();
    log.apply_list(&[], at(1));
    let large = "x".repeat(400_000);
    for revision in 2..8 {
        log.append(&[item("config", Some(&large), revision)], at(revision));
    }
    let kept = log
        .changes_after(at(1), NO_WAIT, Duration::ZERO, || NO_WAIT)
        .await
        .expect("it has listed the store");
    let revisions: Vec<u64> = kept.page.items.iter().map(|item| item.revision).collect();
    assert_eq!(revisions, [7]);
    assert!(!kept.is_complete);
}

/// Guards against unbounded memory use by the keys of removed items, and against a host that keeps an item because its
/// removal was forgotten here.
#[tokio::test]
async fn a_host_that_lacks_forgotten_removals_gets_all_items() {
    let log = ChangeLog::default();
    log.apply_list(&[item("kept", Some("1"), 3)], at(10));
    for revision in 11..9011 {
        let key = format!("server-{revision}");
        log.append(
            &[item(&key, Some("1"), revision), item(&key, None, revision + 1)],
            at(revision + 1),
        );
    }
    let early = log
        .changes_after(at(10), NO_WAIT, Duration::ZERO, || NO_WAIT)
        .await
        .expect("it has listed the store");
    let keys: Vec<&str> = early.page.items.iter().map(|item| item.key.as_str()).collect();
    assert_eq!((early.is_complete, keys), (true, vec!["kept"]));
    let late = log
        .changes_after(at(9000), NO_WAIT, Duration::ZERO, || NO_WAIT)
        .await
        .expect("it has listed the store");
    assert_eq!((late.is_complete, late.page.items.len()), (false, 11));
}

/// Guards against an older change that arrives after the operators' documents were read ahead of it.
#[tokio::test]
async fn items_read_ahead_are_not_replaced_by_older_changes() {
    let log = ChangeLog::default();
    log.apply_list(&[item("op/config", Some("1"), 3), item("op/out", Some("1"), 4)], at(10));
    let ahead = log.apply_prefix("op/", &[item("op/config", Some("3"), 40)], at(50));
    let later = [
        item("op/config", Some("2"), 20),
        item("op/out", Some("2"), 30),
        item("servers/a", Some("1"), 31),
        item("op/config", Some("3"), 40),
        item("op/config", Some("4"), 60),
    ];
    let later = log.append(&later, at(60));
    let line = |items: &[StoreItem]| {
        let lines = items.iter().map(|item| format!("{} @{}", item.key, item.revision));
        lines.collect::<Vec<_>>().join(", ")
    };
    assert_eq!(line(&ahead), "op/out @50, op/config @40");
    assert_eq!(line(&later), "servers/a @31, op/config @60");
}

/// The store may be restored from a copy and give out revisions again. An item must not be taken for an old one because its
/// key had a later revision before.
#[tokio::test]
async fn an_item_of_a_later_era_replaces_one_of_a_higher_revision() {
    let log = ChangeLog::default();
    log.apply_list(&[item("op/config", Some("15"), 59), item("kept", Some("1"), 3)], at(59));
    let restored = |revision| StorePosition { era: 2, revision };
    log.apply_list(&[item("op/config", Some("15"), 57)], restored(58));
    let changes = log.append(&[item("op/config", Some("17"), 59)], restored(59));
    assert_eq!(changes, [item("op/config", Some("17"), 59)]);
    let late = log.append(&[item("op/config", Some("16"), 60)], at(60));
    assert_eq!(late, [], "a late reply of the earlier era");
    log.apply_list(&[item("op/config", Some("16"), 60)], at(60));
    let kept = log
        .changes_after(at(59), NO_WAIT, Duration::ZERO, || NO_WAIT)
        .await
        .expect("a later era is known");
    let items = vec![item("op/config", Some("17"), 59)];
    assert_eq!(
        (kept.is_complete, kept.page.position(), kept.page.items),
        (true, restored(59), items)
    );
}

/// A host that was cut off during a restore must not answer peers from the earlier era.
#[tokio::test]
async fn a_log_of_an_earlier_era_has_no_changes_for_a_later_one() {
    let log = ChangeLog::default();
    log.apply_list(&[item("op/config", Some("15"), 59)], at(59));
    let asked = StorePosition { era: 2, revision: 40 };
    assert_eq!(log.changes_after(asked, NO_WAIT, Duration::ZERO, || NO_WAIT).await, None);
}

/// Guards against a peer that counts as current for longer than the host that it follows.
#[tokio::test]
async fn a_reply_confirms_the_store_only_for_as_long_as_the_peer_relies_on_it() {
    let log = ChangeLog::default();
    log.apply_list(&[], at(10));
    log.confirm_store_until(Duration::from_secs(8));
    let mut seen = Vec::new();
    for reliance in [0, 1, 2, 3] {
        let reliance = Duration::from_millis(reliance * 500);
        let changes = log.changes_after(at(10), NO_WAIT, reliance, || Duration::from_secs(7)).await;
        seen.push(changes.expect("it has listed the store").has_store);
    }
    assert_eq!(seen, [true, true, false, false]);
}
