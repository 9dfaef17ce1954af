//! Tests the answer check. If it accepted wrong answers, every experiment would pass with them.

use vanillapick_lab::load_generator::answer_check::AnswerFaults;
use vanillapick_lab::load_generator::answer_check::check_search;
use vanillapick_lab::target_stand_in::reply_content::shard_hits;
use vanillapick_model::answer::CoverageReport;
use vanillapick_model::answer::MissingReason;
use vanillapick_model::answer::MissingShard;
use vanillapick_model::answer::SearchAnswer;
use vanillapick_model::answer::SearchHit;
use vanillapick_model::snapshot::SnapshotPin;

const PIN: SnapshotPin = SnapshotPin { shard_map: 1, snapshot: 5 };
const SHARDS: u32 = 3;

fn answer(parts: &[(SnapshotPin, u32)], body: &[u8], missing: &[u32]) -> SearchAnswer {
    let mut hits: Vec<_> =
        parts.iter().flat_map(|(pin, shard)| shard_hits(*pin, *shard, body).hits).collect();
    hits.sort_by(SearchHit::rank_order);
    let missing =
        missing.iter().map(|shard| MissingShard { shard: *shard, reason: MissingReason::Lost });
    SearchAnswer {
        request_id: "id".to_owned(),
        route: "stock".to_owned(),
        snapshot: PIN.snapshot,
        shard_map: PIN.shard_map,
        coverage: CoverageReport::new(SHARDS, missing.collect()),
        hits,
    }
}

fn check(answer: &SearchAnswer) -> AnswerFaults {
    check_search(answer, "id", b"q", SHARDS, 100)
}

#[test]
fn correct_answers_pass_and_each_fault_is_classified() {
    let newer = SnapshotPin { snapshot: 6, ..PIN };
    let full = answer(&[(PIN, 0), (PIN, 1), (PIN, 2)], b"q", &[]);
    let partial = answer(&[(PIN, 0), (PIN, 2)], b"q", &[1]);
    assert_eq!([check(&full), check(&partial)], [AnswerFaults::default(); 2]);

    let silent_gap = answer(&[(PIN, 0), (PIN, 2)], b"q", &[]);
    let wrong_gap = answer(&[(PIN, 0), (PIN, 2)], b"q", &[2]);
    let twice = answer(&[(PIN, 0), (PIN, 0), (PIN, 1), (PIN, 2)], b"q", &[]);
    for wrong in [silent_gap, wrong_gap, twice] {
        assert!(check(&wrong).misreported, "{wrong:?}");
    }
    let mixed = answer(&[(PIN, 0), (newer, 1), (PIN, 2)], b"q", &[]);
    assert!(check(&mixed).mixed);
    let foreign = answer(&[(PIN, 0), (PIN, 1), (PIN, 2)], b"another", &[]);
    assert!(check(&foreign).foreign);
}
