//! Rendezvous hashing (highest random weight), which lets hosts make the same choice without coordination.

use xxhash_rust::xxh3::Xxh3;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the weight of `candidate` for `key`. The result is identical on all hosts and in all processes.
pub fn rendezvous_weight(key: &str, candidate: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(key.as_bytes());
    // The separator distinguishes ("ab", "c") from ("a", "bc").
    hasher.update(&[0xff]);
    hasher.update(candidate.as_bytes());
    hasher.digest()
}

/// Sorts candidates by descending weight for `key`, then by name.
pub fn rendezvous_order<'a>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a str>,
) -> Vec<&'a str> {
    let mut weighted: Vec<_> = candidates
        .into_iter()
        .map(|candidate| (rendezvous_weight(key, candidate), candidate))
        .collect();
    weighted.sort_unstable_by(|left, right| right.0.cmp(&left.0).then(left.1.cmp(right.1)));
    weighted.into_iter().map(|(_, candidate)| candidate).collect()
}

/// Hashes the route and body of a request. The request id is excluded, so a resent request has the same fingerprint.
pub fn request_fingerprint(route: &str, body: &[u8]) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(route.as_bytes());
    hasher.update(&[0xff]);
    hasher.update(body);
    hasher.digest()
}

/// Returns the shard that `key` belongs to in a shard map with `shards` shards.
pub fn shard_of_key(key: &[u8], shards: u32) -> u32 {
    let bucket = xxh3_64(key) % u64::from(shards.max(1));
    u32::try_from(bucket).unwrap_or(0)
}
