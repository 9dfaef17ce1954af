//! In-memory store of the key-value service: values with revisions, and leases.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;

/// Number of a lease, counted from 1.
pub type LeaseId = u64;

/// Revision of a value. It grows with every write to any key, and is reused only after a restore.
pub type StoreRevision = u64;

/// Value of a key with its revision and lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredValue {
    /// Revision of the write that stored the value.
    pub revision: StoreRevision,
    /// Bytes that the client wrote.
    pub value: Bytes,
    /// Lease whose expiry removes the value, if any.
    pub lease: Option<LeaseId>,
}

#[derive(Clone, Debug, Default)]
struct KeyHistory {
    current: Option<StoredValue>,
    previous: Option<StoredValue>,
}

#[derive(Clone, Copy, Debug)]
struct LeaseState {
    ttl: Duration,
    end: Instant,
}

/// Why a write did not take effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteConflict {
    /// The current revision, given here, differs from the expected one; it is 0 if the key does not exist.
    Revision(StoreRevision),
    /// The lease has expired or never existed.
    Lease,
}

/// Values and leases. Callers pass the current time, so that tests can choose it.
#[derive(Clone, Debug, Default)]
pub struct KeyValueStore {
    /// Number of restores.
    era: u64,
    keys: BTreeMap<String, KeyHistory>,
    leases: BTreeMap<LeaseId, LeaseState>,
    last_revision: StoreRevision,
    last_lease: LeaseId,
}

impl KeyValueStore {
    /// Number of times that the store was restored.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Replaces everything by an earlier copy, so that revisions and leases are given out again.
    pub fn restore(&mut self, copy: Self) {
        *self = Self { era: self.era + 1, ..copy };
    }

    /// Returns the current value of `key`.
    pub fn get(&self, key: &str) -> Option<&StoredValue> {
        self.keys.get(key)?.current.as_ref()
    }

    /// Returns the value before the current one, as a stale read does, or the current one if there is no earlier value.
    pub fn get_stale(&self, key: &str) -> Option<&StoredValue> {
        let history = self.keys.get(key)?;
        history.previous.as_ref().or(history.current.as_ref())
    }

    /// Writes `value` if the current revision is `expect`; 0 expects that the key does not exist.
    pub fn put(
        &mut self,
        key: &str,
        value: Bytes,
        expect: StoreRevision,
        lease: Option<LeaseId>,
    ) -> Result<StoreRevision, WriteConflict> {
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Err(WriteConflict::Lease);
        }
        self.check_revision(key, expect)?;
        self.last_revision += 1;
        let stored = StoredValue { revision: self.last_revision, value, lease };
        let history = self.keys.entry(key.to_owned()).or_default();
        history.previous = history.current.replace(stored);
        Ok(self.last_revision)
    }

    /// Deletes `key` if its current revision is `expect`.
    pub fn delete(&mut self, key: &str, expect: StoreRevision) -> Result<(), WriteConflict> {
        self.check_revision(key, expect)?;
        self.remove(key);
        Ok(())
    }

    /// Grants a lease that expires `ttl` after `now` unless it is renewed.
    pub fn open_lease(&mut self, ttl: Duration, now: Instant) -> LeaseId {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, LeaseState { ttl, end: now + ttl });
        self.last_lease
    }

    /// Extends `lease` to its full duration from `now`; returns false if it has expired.
    pub fn renew_lease(&mut self, lease: LeaseId, now: Instant) -> bool {
        let Some(term) = self.leases.get_mut(&lease) else { return false };
        term.end = now + term.ttl;
        true
    }

    /// Removes expired leases and their values; returns whether a value was removed.
    pub fn expire_leases(&mut self, now: Instant) -> bool {
        self.leases.retain(|_, term| now < term.end);
        let leases = &self.leases;
        let expired: Vec<_> = self
            .keys
            .iter()
            .filter(|(_, history)| {
                let lease = history.current.as_ref().and_then(|stored| stored.lease);
                lease.is_some_and(|lease| !leases.contains_key(&lease))
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in &expired {
            self.remove(key);
        }
        !expired.is_empty()
    }

    fn remove(&mut self, key: &str) {
        self.last_revision += 1;
        if let Some(history) = self.keys.get_mut(key) {
            history.previous = history.current.take();
        }
    }

    fn check_revision(&self, key: &str, expect: StoreRevision) -> Result<(), WriteConflict> {
        let current = self.get(key).map_or(0, |stored| stored.revision);
        if current == expect { Ok(()) } else { Err(WriteConflict::Revision(current)) }
    }
}
