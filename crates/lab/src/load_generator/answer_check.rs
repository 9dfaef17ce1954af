//! Checks answers against the content that the target stand-ins are known to send.

use vanillapick_model::answer::SearchAnswer;
use vanillapick_model::answer::SearchHit;
use vanillapick_model::snapshot::ShardIndex;
use vanillapick_model::snapshot::SnapshotPin;

use crate::target_stand_in::reply_content::HitOrigin;
use crate::target_stand_in::reply_content::body_fingerprint;
use crate::target_stand_in::reply_content::shard_hits;
use crate::target_stand_in::reply_content::value_token;

/// Faults found in one answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AnswerFaults {
    /// The reported coverage differs from the shards whose hits are in the answer.
    pub misreported: bool,
    /// Some hits come from another snapshot or shard map than the answer names.
    pub mixed: bool,
    /// The answer names another request or contains hits of one.
    pub foreign: bool,
}

/// Checks a search answer. `shards` is the shard count of the shard map that the answer names, 0 if it is unknown.
pub fn check_search(
    answer: &SearchAnswer,
    request_id: &str,
    body: &[u8],
    shards: ShardIndex,
    merge_size: usize,
) -> AnswerFaults {
    let pin = SnapshotPin { shard_map: answer.shard_map, snapshot: answer.snapshot };
    let fingerprint = body_fingerprint(body);
    let origins: Vec<_> = answer.hits.iter().map(|hit| HitOrigin::parse(&hit.id)).collect();
    let is_own =
        |origin: &Option<HitOrigin>| origin.is_some_and(|origin| origin.fingerprint == fingerprint);
    AnswerFaults {
        misreported: !is_coverage_correct(answer, pin, body, shards, merge_size),
        mixed: origins.iter().flatten().any(|origin| origin.pin != pin),
        foreign: answer.request_id != request_id || !origins.iter().all(is_own),
    }
}

fn is_coverage_correct(
    answer: &SearchAnswer,
    pin: SnapshotPin,
    body: &[u8],
    shards: ShardIndex,
    merge_size: usize,
) -> bool {
    let coverage = &answer.coverage;
    let missing: Vec<_> = coverage.missing.iter().map(|missing| missing.shard).collect();
    let fraction = f64::from(coverage.answered) / f64::from(shards.max(1));
    let are_counts_correct = coverage.total == shards
        && coverage.answered as usize + missing.len() == shards as usize
        && (coverage.fraction - fraction).abs() < 1e-6;
    let covered = (0..shards).filter(|shard| !missing.contains(shard));
    let mut hits: Vec<SearchHit> =
        covered.flat_map(|shard| shard_hits(pin, shard, body).hits).collect();
    hits.sort_by(SearchHit::rank_order);
    hits.truncate(merge_size);
    are_counts_correct && hits.iter().map(|hit| &hit.id).eq(answer.hits.iter().map(|hit| &hit.id))
}

/// Checks that the answer to a read or write contains the value derived from the body of its request.
pub fn check_value(answer: &[u8], body: &[u8]) -> AnswerFaults {
    let token = value_token(body);
    let is_own = answer.windows(token.len()).any(|window| window == token.as_bytes());
    AnswerFaults { foreign: !is_own, ..AnswerFaults::default() }
}
