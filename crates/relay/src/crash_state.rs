//! Crash guard of a host beside what the store has of it, shared by requests, the store follower and the exchange with other
//! hosts.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use tokio::sync::Notify;
use vanillapick_dispatch::crash_guard::CrashGuard;
use vanillapick_dispatch::crash_guard::CrashMark;
use vanillapick_dispatch::crash_guard::CrashNews;
use vanillapick_dispatch::crash_guard::MarkStage;
use vanillapick_dispatch::crash_guard::RequestFingerprint;
use vanillapick_dispatch::crash_guard::TargetLoss;
use vanillapick_dispatch::crash_guard::WallTime;
use vanillapick_dispatch::registry::StoreChange;
use vanillapick_dispatch::registry::StoredMark;
use vanillapick_dispatch::silent_attempts::InstanceState;
use vanillapick_dispatch::silent_attempts::SilentAttempt;
use vanillapick_dispatch::silent_attempts::SilentAttempts;
use vanillapick_dispatch::target_record::TargetId;

use crate::crash_wire::decode_evidence;
use crate::log_limiter::LogLimiter;
use crate::store_client::StoreClient;
use crate::wire::StoreRevision;

/// Crash guard of a host and the entries of the store that concern it.
#[derive(Debug, Default)]
pub(crate) struct CrashState {
    guard: Mutex<CrashGuard>,
    entries: Mutex<CrashEntries>,
    silent: Mutex<SilentAttempts>,
    /// Client for claims of trials; set at the start.
    store: OnceLock<StoreClient>,
    /// Notified when the guard has something to do or to tell.
    pub(crate) guard_changed: Notify,
    /// Notified when the store may lack something.
    pub(crate) entries_changed: Notify,
    log_limiter: LogLimiter,
}

/// What the store has, as last read.
#[derive(Debug, Default)]
pub(crate) struct CrashEntries {
    marks: HashMap<RequestFingerprint, (CrashMark, StoreRevision)>,
    cleared: HashMap<RequestFingerprint, CrashMark>,
    /// Whether the evidence of this host is there.
    has_own_evidence: bool,
}

impl CrashState {
    /// Evidence and marks.
    pub(crate) fn guard(&self) -> MutexGuard<'_, CrashGuard> {
        self.guard.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What the store has.
    pub(crate) fn entries(&self) -> MutexGuard<'_, CrashEntries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the client for claims of trials.
    pub(crate) fn set_store(&self, store: StoreClient) {
        // A second call is ignored; only the start of the host sets it.
        let _ = self.store.set(store);
    }

    /// Client for claims of trials.
    pub(crate) fn store(&self) -> Option<&StoreClient> {
        self.store.get()
    }

    /// Records that an attempt was sent and ended without a reply. `state` is what the registration of its target says now.
    pub(crate) fn record_silence(&self, attempt: SilentAttempt, state: InstanceState, own: &str) {
        let is_restarted =
            matches!(state, InstanceState::Registered(started) if started != attempt.started_ms);
        if is_restarted {
            self.record_loss(attempt.fingerprint, attempt.loss, own);
        } else {
            self.silent().add(attempt, wall_now());
        }
    }

    /// Records the losses of attempts whose targets have crashed since, by what `state` says of the registrations.
    pub(crate) fn check_silent(&self, state: impl Fn(&TargetId) -> InstanceState, own: &str) {
        let crashed = {
            let mut silent = self.silent();
            if silent.is_empty() {
                return;
            }
            silent.take_crashed(state, wall_now())
        };
        for attempt in crashed {
            self.record_loss(attempt.fingerprint, attempt.loss, own);
        }
    }

    fn silent(&self) -> MutexGuard<'_, SilentAttempts> {
        self.silent.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a target was lost under a request.
    pub(crate) fn record_loss(&self, fingerprint: RequestFingerprint, loss: TargetLoss, own: &str) {
        let crashes = self.guard().record_loss(fingerprint, loss.clone(), wall_now());
        self.log_loss(fingerprint, &loss, crashes, own);
        self.guard_changed.notify_one();
    }

    /// Merges what the host `source` tells.
    pub(crate) fn merge(&self, told: CrashNews, source: &str) {
        if told.is_empty() {
            return;
        }
        let unknown = self.guard().merge(told, wall_now());
        for (fingerprint, loss) in unknown {
            let crashes = self.guard().crash_count(fingerprint);
            // Single losses stand in the log of their host.
            if 1 < crashes {
                self.log_loss(fingerprint, &loss, crashes, source);
            }
        }
        self.guard_changed.notify_one();
        self.entries_changed.notify_one();
    }

    /// Forgets the entries of the store, because all of them are read again. What they told stays known.
    pub(crate) fn reset_entries(&self) {
        *self.entries() = CrashEntries::default();
        self.entries_changed.notify_one();
    }

    /// Applies a change of the store; `own` is the name of this host. Returns whether the change concerns crashing requests.
    pub(crate) fn apply(&self, change: &StoreChange, own: &str) -> bool {
        match change {
            StoreChange::CrashMark(fingerprint, stored) => self.apply_mark(*fingerprint, *stored),
            StoreChange::ClearedMark(fingerprint, cleared) => {
                match cleared {
                    Some(mark) => self.entries().cleared.insert(*fingerprint, *mark),
                    None => self.entries().cleared.remove(fingerprint),
                };
                let marks = cleared.iter().copied().collect();
                self.merge(CrashNews { marks, ..CrashNews::default() }, "store");
            }
            StoreChange::CrashEvidence(host, encoded) => {
                let is_own = &**host == own;
                if is_own {
                    self.entries().has_own_evidence = encoded.is_some();
                }
                self.apply_evidence(host, encoded.as_deref(), is_own);
            }
            _ => return false,
        }
        self.entries_changed.notify_one();
        true
    }

    fn apply_mark(&self, fingerprint: RequestFingerprint, stored: Option<StoredMark>) {
        let Some(stored) = stored else {
            self.entries().marks.remove(&fingerprint);
            return;
        };
        let plain = || self.guard().plain_mark(fingerprint, wall_now());
        let mark = stored.mark.unwrap_or_else(plain);
        self.entries().marks.insert(fingerprint, (mark, stored.revision));
        self.merge(CrashNews { marks: vec![mark], ..CrashNews::default() }, "store");
    }

    fn apply_evidence(&self, host: &str, encoded: Option<&[u8]>, is_own: bool) {
        let Some(encoded) = encoded else { return };
        match decode_evidence(encoded) {
            Ok(told) => {
                if is_own {
                    self.guard().adopt(&told);
                }
                self.merge(told, host);
            }
            Err(error) => {
                tracing::warn!(
                    source = host,
                    error,
                    "evidence on crashing requests cannot be decoded"
                );
            }
        }
    }

    fn log_loss(
        &self,
        fingerprint: RequestFingerprint,
        loss: &TargetLoss,
        crashes: usize,
        source: &str,
    ) {
        metrics::counter!("vanillapick_crash_losses_total").increment(1);
        if self.log_limiter.allows(wall_now()) {
            tracing::info!(
                print = format!("{fingerprint:016x}"),
                target = &*loss.target,
                crashes,
                source,
                "target lost under a request"
            );
        }
    }
}

impl CrashEntries {
    /// Revision of the mark of a request; 0 if the store has none.
    pub(crate) fn mark_revision(&self, fingerprint: RequestFingerprint) -> StoreRevision {
        self.marks.get(&fingerprint).map_or(0, |(_, revision)| *revision)
    }

    /// Whether the store lacks what this mark says.
    pub(crate) fn lacks(&self, mark: &CrashMark) -> bool {
        let stored = self.marks.get(&mark.fingerprint).map(|(stored, _)| stored);
        if is_active(mark) {
            return stored.is_none_or(|stored| stored < mark);
        }
        // Without a mark to clear, there is nothing that hosts could take for one.
        stored.is_some_and(|stored| stored < mark)
    }

    /// Whether the evidence of this host is there.
    pub(crate) fn has_own_evidence(&self) -> bool {
        self.has_own_evidence
    }
}

/// Whether requests with the fingerprint of this mark are refused.
pub(crate) fn is_active(mark: &CrashMark) -> bool {
    mark.stage != MarkStage::Cleared
}

/// Time since the Unix epoch.
pub(crate) fn wall_now() -> WallTime {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}
