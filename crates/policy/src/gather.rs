//! Which replies count, and the merge of their hits.

use vanillapick_model::answer::HitList;
use vanillapick_model::answer::SearchHit;
use vanillapick_model::call::ReplyTag;

use crate::attempt::AttemptSpec;
use crate::counters::DropReason;

/// Whether a reply with `tag` answers `order` of the request; the reason to drop it when not.
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

/// The best hits so far.
#[derive(Debug, Default)]
pub struct HitMerge {
    hits: Vec<SearchHit>,
}

impl HitMerge {
    /// Adds the hits of one shard; nothing is added when the body is not a list of hits.
    pub fn add(&mut self, body: &[u8], merge_size: usize) -> Result<(), DropReason> {
        let list: HitList = serde_json::from_slice(body).map_err(|_| DropReason::BadBody)?;
        if list.hits.iter().any(|hit| !hit.score.is_finite()) {
            return Err(DropReason::BadBody);
        }
        self.hits.extend(list.hits);
        // The list is cut down only when it has grown to twice the size, so that a hit is compared a few times at most.
        if merge_size.saturating_mul(2) < self.hits.len() {
            self.cut(merge_size);
        }
        Ok(())
    }

    /// Drops all hits, for a search that starts again at another snapshot.
    pub fn clear(&mut self) {
        self.hits.clear();
    }

    /// The best `merge_size` hits, best first.
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
