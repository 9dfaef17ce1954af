//! Validation of replies and merging of search hits.

use vanillapick_model::answer::HitList;
use vanillapick_model::answer::SearchHit;
use vanillapick_model::call::ReplyTag;

use crate::attempt::AttemptSpec;
use crate::counters::DropReason;

/// Checks that a reply with `tag` answers `attempt` of the request. Returns the reason to drop the reply otherwise.
pub fn check_tag(
    attempt: &AttemptSpec,
    request_id: &str,
    tag: &ReplyTag,
) -> Result<(), DropReason> {
    if tag.request_id != request_id {
        return Err(DropReason::WrongRequest);
    }
    if tag.attempt != attempt.number {
        return Err(DropReason::WrongAttempt);
    }
    if tag.shard != attempt.shard {
        return Err(DropReason::WrongShard);
    }
    if tag.shard_map != attempt.pin.shard_map {
        return Err(DropReason::WrongShardMap);
    }
    if tag.snapshot != attempt.pin.snapshot {
        return Err(DropReason::WrongSnapshot);
    }
    Ok(())
}

/// Incremental merge of the highest-scoring hits.
#[derive(Debug, Default)]
pub struct HitMerge {
    hits: Vec<SearchHit>,
}

impl HitMerge {
    /// Merges the hits of a shard. Adds nothing if the body is not a valid hit list.
    pub fn add(&mut self, body: &[u8], merge_size: usize) -> Result<(), DropReason> {
        let list: HitList = serde_json::from_slice(body).map_err(|_| DropReason::BadBody)?;
        if list.hits.iter().any(|hit| !hit.score.is_finite()) {
            return Err(DropReason::BadBody);
        }
        self.hits.extend(list.hits);
        // Truncating only when the list has doubled bounds the number of comparisons per hit.
        if merge_size.saturating_mul(2) < self.hits.len() {
            self.cut(merge_size);
        }
        Ok(())
    }

    /// Discards all hits before a search restarts at another snapshot.
    pub fn clear(&mut self) {
        self.hits.clear();
    }

    /// Returns the `merge_size` highest-scoring hits in rank order.
    pub fn take(&mut self, merge_size: usize) -> Vec<SearchHit> {
        self.cut(merge_size);
        let mut hits = std::mem::take(&mut self.hits);
        hits.sort_unstable_by(SearchHit::rank_order);
        hits
    }

    fn cut(&mut self, merge_size: usize) {
        if merge_size < self.hits.len() {
            self.hits.select_nth_unstable_by(merge_size, SearchHit::rank_order);
            self.hits.truncate(merge_size);
        }
    }
}
