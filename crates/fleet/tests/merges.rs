//! Guards against merges that depend on the order or the number of messages.

use std::sync::Arc;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;
use vanillapick_fleet::evidence::EvidenceCounters;
use vanillapick_fleet::evidence::EvidenceKey;
use vanillapick_fleet::evidence::MoveVersion;
use vanillapick_fleet::exchange::Digest;
use vanillapick_fleet::exchange::PeerMessage;
use vanillapick_fleet::exchange::decode;
use vanillapick_fleet::exchange::encode;
use vanillapick_fleet::loopback::WALL_START_MS;
use vanillapick_fleet::loopback::host_entry;
use vanillapick_fleet::loopback::sample_table;
use vanillapick_fleet::marks::TargetMark;
use vanillapick_fleet::origin_row::OriginRow;
use vanillapick_fleet::origin_row::RowOrigin;
use vanillapick_fleet::origin_row::RowScope;
use vanillapick_fleet::shared_state::RowFilter;
use vanillapick_fleet::shared_state::SharedState;
use vanillapick_fleet::urgent::LeavingHost;
use vanillapick_fleet::urgent::RollbackFlag;
use vanillapick_fleet::urgent::UrgentItem;
use vanillapick_model::crash_mark::CrashMark;
use vanillapick_model::crash_mark::MarkStage;
use vanillapick_model::table::ConfigTable;

const HOSTS: usize = 4;

/// One observation of a host.
#[derive(Clone, Debug)]
enum Note {
    Evidence { bucket: u64, failures: u64 },
    Mark { target: u8, incarnation: u64, sequence: u64, cold: bool },
    Item(UrgentItem),
    Config(u64),
    Members(usize),
    Beat,
}

fn note() -> impl Strategy<Value = Note> {
    let flag = |(decided, reason): (u64, u8)| {
        UrgentItem::Rollback(RollbackFlag {
            move_id: "move-1".to_owned(),
            decided_ms: decided,
            route: "route-00".to_owned(),
            reason: format!("reason {reason}"),
        })
    };
    let crash = |(fingerprint, until_ms)| {
        let (generation, stage, mark_count) = (0, MarkStage::Marked, 1);
        UrgentItem::Crash(CrashMark { fingerprint, generation, until_ms, stage, mark_count })
    };
    let leaving = |incarnation| {
        UrgentItem::Leaving(LeavingHost { host: "host-1".to_owned(), incarnation, until_ms: 90 })
    };
    prop_oneof![
        (0..80_u64, 0..3_u64).prop_map(|(bucket, failures)| Note::Evidence { bucket, failures }),
        (0..3_u8, 0..2_u64, 0..4_u64, proptest::bool::ANY).prop_map(
            |(target, incarnation, sequence, cold)| Note::Mark {
                target,
                incarnation,
                sequence,
                cold
            }
        ),
        (0..3_u64, 0..3_u8).prop_map(flag).prop_map(Note::Item),
        (0..3_u64, 1..9_u64).prop_map(crash).prop_map(Note::Item),
        (0..3_u64).prop_map(leaving).prop_map(Note::Item),
        (1..5_u64).prop_map(Note::Config),
        (0..HOSTS).prop_map(Note::Members),
        proptest::strategy::Just(Note::Beat),
    ]
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 150,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::default()
    }
}

/// The state of a host that has made these observations and heard of nobody.
fn begin(host: usize, notes: &[Note]) -> (SharedState, RowOrigin) {
    let scope = if host.is_multiple_of(2) { RowScope::Host } else { RowScope::Domain };
    let origin = RowOrigin { host: host_entry(host as u32, 2), scope };
    let mut state = SharedState::new(origin.host.domain.clone());
    observe(&mut state, &origin, notes);
    (state, origin)
}

/// Continues the history of a host; what others hold of it stays a part of this history.
fn observe(state: &mut SharedState, origin: &RowOrigin, notes: &[Note]) {
    let tag = origin.tag();
    let make = || OriginRow::new(origin.clone(), Duration::ZERO);
    state.own_row(tag, make).raise_beat(Duration::ZERO);
    for note in notes {
        match note {
            Note::Evidence { bucket, failures } => {
                let key = EvidenceKey {
                    route: "route-00".to_owned(),
                    move_id: "move-1".to_owned(),
                    version: MoveVersion::New,
                    bucket: *bucket,
                };
                let counters = EvidenceCounters { requests: 3, failures: *failures, slow: 1 };
                state.own_row(tag, make).add_evidence(&key, counters, 1);
            }
            Note::Mark { target, incarnation, sequence, cold } => {
                let mark = TargetMark {
                    target: format!("target-{target}"),
                    incarnation: *incarnation,
                    sequence: *sequence,
                    cold: *cold,
                    draining: false,
                    lost: false,
                    snapshots: vec![1],
                };
                state.own_row(tag, make).publish_mark(&mark);
                state.note_mark(&mark);
            }
            Note::Item(item) => {
                state.urgent.insert(item, 0);
            }
            Note::Config(revision) => {
                state.config.accept(Arc::new(table(*revision)));
            }
            Note::Members(count) => {
                let members: Vec<_> =
                    (0..*count).map(|index| host_entry(index as u32, 1)).collect();
                state.own_row(tag, make).publish_members(&members);
            }
            Note::Beat => state.own_row(tag, make).raise_beat(Duration::ZERO),
        }
    }
    state.own_row(tag, make).raise_beat(Duration::ZERO);
}

fn observed(host: usize, notes: &[Note]) -> SharedState {
    begin(host, notes).0
}

fn table(revision: u64) -> ConfigTable {
    let mut table = sample_table(1, 4);
    table.revision = revision;
    table.edits.push(format!("edit-{revision}"));
    table.pools.get_mut("pool-00").expect("one pool").contract.slots = revision as u32 + 1;
    table
}

/// Everything that is merged, in a comparable form.
fn content(state: &SharedState) -> String {
    let mut everything = state.delta_for(&Digest::default(), RowFilter::All, 0, usize::MAX);
    everything.config = None;
    let marks: Vec<_> = state.marks().collect();
    let table = state.config.table();
    format!("{everything:#?} {marks:#?} {table:?}")
}

fn merge_all(states: &[SharedState], order: &[usize]) -> SharedState {
    let mut merged = SharedState::new("domain-00".to_owned());
    for index in order {
        merged.merge(&states[*index], Duration::ZERO, 0);
    }
    merged
}

proptest! {
    #![proptest_config(config())]

    // Commutative and idempotent: any order and any repetition of whole states leads to the same state.
    #[test]
    fn order_and_repetition_do_not_matter(
        notes in vec(vec(note(), 0..12), HOSTS),
        order in vec(0..HOSTS, 0..12),
    ) {
        let states: Vec<_> = notes.iter().enumerate().map(|(host, notes)| observed(host, notes)).collect();
        let straight: Vec<_> = (0..HOSTS).collect();
        let shuffled: Vec<_> = order.iter().copied().chain((0..HOSTS).rev()).collect();
        let expected = content(&merge_all(&states, &straight));
        prop_assert_eq!(content(&merge_all(&states, &shuffled)), expected);
    }

    // Associative: merging a merged state is the same as merging its parts.
    #[test]
    fn grouping_does_not_matter(notes in vec(vec(note(), 0..12), 3)) {
        let states: Vec<_> = notes.iter().enumerate().map(|(host, notes)| observed(host, notes)).collect();
        let [first, second, third] = [&states[0], &states[1], &states[2]];
        let mut left = first.clone();
        left.merge(second, Duration::ZERO, 0);
        left.merge(third, Duration::ZERO, 0);
        let mut inner = second.clone();
        inner.merge(third, Duration::ZERO, 0);
        let mut right = first.clone();
        right.merge(&inner, Duration::ZERO, 0);
        prop_assert_eq!(content(&left), content(&right));
    }

    // Partial replies, whatever the budget cuts off, lead to the same state as whole ones.
    #[test]
    fn partial_deltas_converge(
        early in vec(note(), 0..12),
        late in vec(note(), 0..12),
        budget in 1..200_usize,
        first in 0..HOSTS,
    ) {
        let mut reader = observed(2, &early);
        let mut source = SharedState::new("domain-00".to_owned());
        for host in 0..HOSTS {
            let (mut state, origin) = begin(host, &early);
            reader.merge(&state, Duration::ZERO, 0);
            observe(&mut state, &origin, &late);
            source.merge(&state, Duration::ZERO, 0);
        }
        for round in 0..HOSTS {
            let digest = reader.digest(RowFilter::All);
            let delta = source.delta_for(&digest, RowFilter::All, first + round, budget);
            reader.merge_delta(&delta, Duration::ZERO, 0);
        }
        prop_assert_eq!(content(&reader), content(&source));
    }

    // Guards against messages that do not survive the wire, such as optional fields in compact form.
    #[test]
    fn messages_survive_the_wire(notes in vec(note(), 0..12)) {
        let state = observed(1, &notes);
        let digest = state.digest(RowFilter::All);
        let delta = state.delta_for(&Digest::default(), RowFilter::All, 0, usize::MAX);
        let message = PeerMessage::Exchange { digest, delta: Box::new(delta) };
        let me = host_entry(1, 2);
        let (from, read) = decode(&encode(&me, &message)).expect("own messages can be read");
        prop_assert_eq!(from, me);
        prop_assert_eq!(read, message);
    }
}

// Guards against a delta that was sent after others were lost and hides their changes for ever.
#[test]
fn delta_after_a_gap_does_not_hide_earlier_changes() {
    let first = [Note::Evidence { bucket: 1, failures: 0 }];
    let (mut writer, origin) = begin(0, &first);
    let mut reader = SharedState::new("domain-00".to_owned());
    reader.merge(&writer, Duration::ZERO, 0);
    observe(&mut writer, &origin, &[Note::Evidence { bucket: 2, failures: 0 }]);
    let gap = writer.digest(RowFilter::All);
    observe(&mut writer, &origin, &[Note::Evidence { bucket: 3, failures: 0 }]);

    let late = writer.delta_for(&gap, RowFilter::All, 0, usize::MAX);
    reader.merge_delta(&late, Duration::ZERO, 0);
    let rest = writer.delta_for(&reader.digest(RowFilter::All), RowFilter::All, 0, usize::MAX);
    reader.merge_delta(&rest, Duration::ZERO, 0);
    assert_eq!(reader.evidence("move-1").len(), 3);
    assert_eq!(content(&reader), content(&writer));
}

// Guards against a panic on bytes that are no message.
#[test]
fn broken_messages_are_refused() {
    let bytes = encode(
        &host_entry(0, 1),
        &PeerMessage::Push { items: vec![UrgentItem::Revision(WALL_START_MS)] },
    );
    for length in 0..bytes.len() {
        assert!(decode(&bytes[..length]).is_err(), "cut off after {length} bytes");
    }
}
