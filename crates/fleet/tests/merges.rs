//! Guards against merges whose result depends on the order or repetition of messages.

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
use vanillapick_fleet::marks::TargetMark;
use vanillapick_fleet::origin_row::OriginRow;
use vanillapick_fleet::origin_row::RowOrigin;
use vanillapick_fleet::origin_row::RowScope;
use vanillapick_fleet::shared_state::RowFilter;
use vanillapick_fleet::shared_state::SharedState;
use vanillapick_fleet::simulation::WALL_START_MS;
use vanillapick_fleet::simulation::host_entry;
use vanillapick_fleet::simulation::sample_table;
use vanillapick_fleet::urgent::LeavingHost;
use vanillapick_fleet::urgent::RollbackFlag;
use vanillapick_fleet::urgent::UrgentItem;
use vanillapick_model::crash_mark::CrashMark;
use vanillapick_model::crash_mark::MarkStage;
use vanillapick_model::table::ConfigTable;

const HOSTS: usize = 4;

/// A local change of the state of a host.
#[derive(Clone, Debug)]
enum Observation {
    Evidence { bucket: u64, failures: u64 },
    Mark { target: u8, incarnation: u64, sequence: u64, cold: bool },
    Item(UrgentItem),
    Config(u64),
    Members(usize),
    Heartbeat,
}

fn observation() -> impl Strategy<Value = Observation> {
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
        (0..80_u64, 0..3_u64)
            .prop_map(|(bucket, failures)| Observation::Evidence { bucket, failures }),
        (0..3_u8, 0..2_u64, 0..4_u64, proptest::bool::ANY).prop_map(
            |(target, incarnation, sequence, cold)| Observation::Mark {
                target,
                incarnation,
                sequence,
                cold
            }
        ),
        (0..3_u64, 0..3_u8).prop_map(flag).prop_map(Observation::Item),
        (0..3_u64, 1..9_u64).prop_map(crash).prop_map(Observation::Item),
        (0..3_u64).prop_map(leaving).prop_map(Observation::Item),
        (1..5_u64).prop_map(Observation::Config),
        (0..HOSTS).prop_map(Observation::Members),
        proptest::strategy::Just(Observation::Heartbeat),
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

/// State of a host with these observations and without contact to other hosts.
fn start_host(host: usize, observations: &[Observation]) -> (SharedState, RowOrigin) {
    let scope = if host.is_multiple_of(2) { RowScope::Host } else { RowScope::Domain };
    let origin = RowOrigin { host: host_entry(host as u32, 2), scope };
    let mut state = SharedState::new(origin.host.domain.clone());
    record_observations(&mut state, &origin, observations);
    (state, origin)
}

/// Adds observations to a host, so that its earlier state on other hosts remains a prefix of its history.
fn record_observations(state: &mut SharedState, origin: &RowOrigin, observations: &[Observation]) {
    let tag = origin.tag();
    let make = || OriginRow::new(origin.clone(), Duration::ZERO);
    state.own_row(tag, make).advance_heartbeat(Duration::ZERO);
    for observation in observations {
        match observation {
            Observation::Evidence { bucket, failures } => {
                let key = EvidenceKey {
                    route: "route-00".to_owned(),
                    move_id: "move-1".to_owned(),
                    version: MoveVersion::New,
                    bucket: *bucket,
                };
                let counters = EvidenceCounters { requests: 3, failures: *failures, slow: 1 };
                state.own_row(tag, make).add_evidence(&key, counters, 1);
            }
            Observation::Mark { target, incarnation, sequence, cold } => {
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
                state.record_mark(&mark);
            }
            Observation::Item(item) => {
                state.urgent.insert(item, 0);
            }
            Observation::Config(revision) => {
                state.config.accept(Arc::new(table(*revision)));
            }
            Observation::Members(count) => {
                let members: Vec<_> =
                    (0..*count).map(|index| host_entry(index as u32, 1)).collect();
                state.own_row(tag, make).publish_members(&members);
            }
            Observation::Heartbeat => state.own_row(tag, make).advance_heartbeat(Duration::ZERO),
        }
    }
    state.own_row(tag, make).advance_heartbeat(Duration::ZERO);
}

fn state_of(host: usize, observations: &[Observation]) -> SharedState {
    start_host(host, observations).0
}

fn table(revision: u64) -> ConfigTable {
    let mut table = sample_table(1, 4);
    table.revision = revision;
    table.edits.push(format!("edit-{revision}"));
    table.pools.get_mut("pool-00").expect("one pool").contract.slots = revision as u32 + 1;
    table
}

/// All merged content in a comparable form.
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

    // Merging whole states in any order and with any repetition leads to the same state.
    #[test]
    fn merge_is_commutative_and_idempotent(
        observations in vec(vec(observation(), 0..12), HOSTS),
        order in vec(0..HOSTS, 0..12),
    ) {
        let states: Vec<_> =
            observations.iter().enumerate().map(|(host, own)| state_of(host, own)).collect();
        let straight: Vec<_> = (0..HOSTS).collect();
        let shuffled: Vec<_> = order.iter().copied().chain((0..HOSTS).rev()).collect();
        let expected = content(&merge_all(&states, &straight));
        prop_assert_eq!(content(&merge_all(&states, &shuffled)), expected);
    }

    // Merging a merged state is the same as merging its parts.
    #[test]
    fn merge_is_associative(observations in vec(vec(observation(), 0..12), 3)) {
        let states: Vec<_> =
            observations.iter().enumerate().map(|(host, own)| state_of(host, own)).collect();
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

    // Replies limited by any budget lead to the same state as complete replies.
    #[test]
    fn partial_deltas_converge(
        early in vec(observation(), 0..12),
        late in vec(observation(), 0..12),
        budget in 1..200_usize,
        first in 0..HOSTS,
    ) {
        let mut reader = state_of(2, &early);
        let mut source = SharedState::new("domain-00".to_owned());
        for host in 0..HOSTS {
            let (mut state, origin) = start_host(host, &early);
            reader.merge(&state, Duration::ZERO, 0);
            record_observations(&mut state, &origin, &late);
            source.merge(&state, Duration::ZERO, 0);
        }
        for round in 0..HOSTS {
            let digest = reader.digest(RowFilter::All);
            let delta = source.delta_for(&digest, RowFilter::All, first + round, budget);
            reader.merge_delta(&delta, Duration::ZERO, 0);
        }
        prop_assert_eq!(content(&reader), content(&source));
    }

    // Guards against messages that change in encoding and decoding, for example through optional fields in compact
    // form.
    #[test]
    fn messages_round_trip_through_encoding(observations in vec(observation(), 0..12)) {
        let state = state_of(1, &observations);
        let digest = state.digest(RowFilter::All);
        let delta = state.delta_for(&Digest::default(), RowFilter::All, 0, usize::MAX);
        let message = PeerMessage::Exchange { digest, delta: Box::new(delta) };
        let me = host_entry(1, 2);
        let (from, read) = decode(&encode(&me, &message)).expect("encoded messages can be decoded");
        prop_assert_eq!(from, me);
        prop_assert_eq!(read, message);
    }
}

// Guards against a delta that permanently hides the changes of earlier, lost deltas.
#[test]
fn delta_after_a_gap_does_not_hide_earlier_changes() {
    let first = [Observation::Evidence { bucket: 1, failures: 0 }];
    let (mut writer, origin) = start_host(0, &first);
    let mut reader = SharedState::new("domain-00".to_owned());
    reader.merge(&writer, Duration::ZERO, 0);
    record_observations(&mut writer, &origin, &[Observation::Evidence { bucket: 2, failures: 0 }]);
    let gap = writer.digest(RowFilter::All);
    record_observations(&mut writer, &origin, &[Observation::Evidence { bucket: 3, failures: 0 }]);

    let late = writer.delta_for(&gap, RowFilter::All, 0, usize::MAX);
    reader.merge_delta(&late, Duration::ZERO, 0);
    let rest = writer.delta_for(&reader.digest(RowFilter::All), RowFilter::All, 0, usize::MAX);
    reader.merge_delta(&rest, Duration::ZERO, 0);
    assert_eq!(reader.evidence("move-1").len(), 3);
    assert_eq!(content(&reader), content(&writer));
}

// Guards against a panic on incomplete messages.
#[test]
fn truncated_messages_are_rejected() {
    let bytes = encode(
        &host_entry(0, 1),
        &PeerMessage::Push { items: vec![UrgentItem::Revision(WALL_START_MS)] },
    );
    for length in 0..bytes.len() {
        assert!(decode(&bytes[..length]).is_err(), "cut off after {length} bytes");
    }
}
