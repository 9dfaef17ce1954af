//! State of the platform's key-value service: values with revisions, and leases.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;

/// Id of a lease; from 1.
pub type LeaseId = u64;

/// Revision of a value; grows with every write to any key, and is never used again.
pub type ValueRevision = u64;

/// One value with its revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredValue {
    /// Revision of the write.
    pub revision: ValueRevision,
    /// Bytes as written.
    pub value: Bytes,
    /// The value goes when this lease ends.
    pub lease: Option<LeaseId>,
}

#[derive(Debug, Default)]
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
    /// The current revision differs from the expected one; 0 if the key does not exist.
    Revision(ValueRevision),
    /// The lease has ended or never existed.
    Lease,
}

/// Values and leases. Time is an argument.
#[derive(Debug, Default)]
pub struct KeyValueStore {
    keys: BTreeMap<String, KeyHistory>,
    leases: BTreeMap<LeaseId, LeaseState>,
    last_revision: ValueRevision,
    last_lease: LeaseId,
}

impl KeyValueStore {
    /// Current value of `key`.
    pub fn get(&self, key: &str) -> Option<&StoredValue> {
        self.keys.get(key)?.current.as_ref()
    }

    /// The value before the current one, as a stale read sees it; the current one if there was none before.
    pub fn get_stale(&self, key: &str) -> Option<&StoredValue> {
        let history = self.keys.get(key)?;
        history.previous.as_ref().or(history.current.as_ref())
    }

    /// Writes `value` if the current revision is `expect` (0: the key does not exist).
    pub fn put(
        &mut self,
        key: &str,
        value: Bytes,
        expect: ValueRevision,
        lease: Option<LeaseId>,
    ) -> Result<ValueRevision, WriteConflict> {
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

    /// Removes `key` if its current revision is `expect`.
    pub fn delete(&mut self, key: &str, expect: ValueRevision) -> Result<(), WriteConflict> {
        self.check_revision(key, expect)?;
        self.remove(key);
        Ok(())
    }

    /// Opens a lease of `ttl`.
    pub fn open_lease(&mut self, ttl: Duration, now: Instant) -> LeaseId {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, LeaseState { ttl, end: now + ttl });
        self.last_lease
    }

    /// Starts the term of `lease` anew; false if it has ended.
    pub fn renew_lease(&mut self, lease: LeaseId, now: Instant) -> bool {
        let Some(term) = self.leases.get_mut(&lease) else { return false };
        term.end = now + term.ttl;
        true
    }

    /// Ends leases whose time has passed and removes their values; true if a value went.
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

    fn check_revision(&self, key: &str, expect: ValueRevision) -> Result<(), WriteConflict> {
        let current = self.get(key).map_or(0, |stored| stored.revision);
        if current == expect { Ok(()) } else { Err(WriteConflict::Revision(current)) }
    }
}
