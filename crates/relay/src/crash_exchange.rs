//! Tells other hosts about requests that crash targets: through the store, and directly, because either may be away.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use hyper::Method;
use hyper::StatusCode;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use vanillapick_dispatch::crash_guard::CrashGuard;
use vanillapick_dispatch::crash_guard::CrashMark;
use vanillapick_dispatch::crash_guard::CrashNews;
use vanillapick_dispatch::crash_guard::MarkChange;
use vanillapick_dispatch::crash_guard::MarkReason;
use vanillapick_dispatch::crash_guard::RequestFingerprint;

use crate::crash_state::is_active;
use crate::crash_state::wall_now;
use crate::crash_wire::EVIDENCE_PATH;
use crate::crash_wire::encode_evidence;
use crate::part_peers::PartPeer;
use crate::part_peers::peer_call;
use crate::relay_host::RelayHost;
use crate::shared_write::shared_write_delay;
use crate::shared_write::sleep_if;
use crate::store_client::StoreClient;
use crate::store_client::StoreError;
use crate::wire::LeaseId;
use crate::wire::StoreCall;
use crate::wire::StoreEra;

/// Time to live of the lease of evidence and marks. Hosts that know a mark write it again when it has ended.
const ENTRY_TTL: Duration = Duration::from_secs(600);

/// Time for which a lease is used for further entries.
const LEASE_USE: Duration = Duration::from_secs(300);

/// Delay of the next write after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Time for which a written entry is not missed, because a change that this host has made reaches it with a delay.
const READ_BACK_TIME: Duration = Duration::from_secs(2);

/// Time in which hosts that reach each other notice an outage, whose losses are not written.
const OUTAGE_NOTICE_TIME: Duration = Duration::from_millis(300);

/// Bounds of the longest delay of writes that any host can make.
const SHARED_WRITE_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(200), Duration::from_secs(6));

/// Time in which the store confirms the claim of a trial, for which a caller waits.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between messages to other hosts while there are news.
const GOSSIP_PERIOD: Duration = Duration::from_millis(100);

/// Number of hosts that each message goes to.
const GOSSIP_FANOUT: usize = 4;

/// Number of messages that carry the same news. With [`GOSSIP_FANOUT`], a host is missed with a probability below 1 in 10,000.
const GOSSIP_ROUNDS: u32 = 3;

/// Time between messages with all that this host knows, for hosts that have missed earlier ones.
const REPAIR_PERIOD: Duration = Duration::from_secs(5);

/// Time after which a host that doesn't reply to a message is given up; it hears of the news from others.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Evaluates the evidence when it changes, logs marks, and passes news on, until the process ends.
pub(crate) async fn watch_crash_evidence(
    host: Arc<RelayHost>,
    urgent: UnboundedSender<RequestFingerprint>,
    gossip: UnboundedSender<CrashNews>,
) {
    loop {
        let due = host.crash_state.guard().next_due();
        let wait = due.map(|due| due.saturating_sub(wall_now()));
        tokio::select! {
            () = host.crash_state.guard_changed.notified() => {}
            () = sleep_if(wait) => {}
        }
        let (changes, news) = {
            let mut guard = host.crash_state.guard();
            guard.tick(wall_now());
            (guard.take_changes(), guard.take_news())
        };
        for change in changes {
            report(&change);
            let is_own = match change.reason {
                MarkReason::Crashes => {
                    host.crash_state.guard().has_own_loss(change.mark.fingerprint)
                }
                MarkReason::TrialAnswered => true,
                MarkReason::Trial | MarkReason::LossesExplained | MarkReason::OtherHost => false,
            };
            if is_own {
                // Sending fails only after the receiving task has ended at process exit.
                let _ = urgent.send(change.mark.fingerprint);
            }
        }
        if !news.is_empty() {
            host.crash_state.entries_changed.notify_one();
            let _ = gossip.send(news);
        }
    }
}

fn report(change: &MarkChange) {
    let MarkChange { mark, reason, losses } = change;
    let reason = reason.label();
    metrics::counter!("vanillapick_crash_marks_total", "reason" => reason).increment(1);
    let targets: Vec<&str> = losses.iter().map(|loss| &*loss.target).collect();
    tracing::warn!(
        print = format!("{:016x}", mark.fingerprint),
        is_marked = is_active(mark),
        reason,
        generation = mark.generation,
        trials = mark.mark_count.saturating_sub(1),
        until_ms = mark.until_ms,
        targets = targets.join(" "),
        "mark of a crashing request"
    );
}

/// Keeps the evidence and the marks of this host in the store until the process ends. What the store has lost, or has never got,
/// is written until it is there.
pub(crate) async fn publish_crash_evidence(
    host: Arc<RelayHost>,
    store: StoreClient,
    mut urgent: UnboundedReceiver<RequestFingerprint>,
) {
    let mut publisher = CrashPublisher {
        host,
        store,
        lease: None,
        due: HashMap::new(),
        written: CrashNews::default(),
        missed_at: Duration::ZERO,
        next_write: Duration::ZERO,
        unwritten_since: None,
    };
    loop {
        let wait = publisher.next_wait();
        let host = Arc::clone(&publisher.host);
        tokio::select! {
            fingerprint = urgent.recv() => {
                let Some(fingerprint) = fingerprint else { return };
                publisher.due.insert(fingerprint, host.now());
            }
            () = host.crash_state.entries_changed.notified() => {}
            () = sleep_if(wait) => {}
        }
        publisher.write_due().await;
    }
}

struct CrashPublisher {
    host: Arc<RelayHost>,
    store: StoreClient,
    lease: Option<EntryLease>,
    /// When to write the mark of a request, since the start of the process.
    due: HashMap<RequestFingerprint, Duration>,
    /// Evidence that was written last.
    written: CrashNews,
    /// When to miss that evidence, since the start of the process.
    missed_at: Duration,
    /// When evidence may be written next, so that losses in quick succession share a write.
    next_write: Duration,
    /// Since when there is evidence that was not written.
    unwritten_since: Option<Duration>,
}

/// Lease of entries, used for several of them.
#[derive(Clone, Copy)]
struct EntryLease {
    id: LeaseId,
    era: StoreEra,
    /// Until when further entries may use it, since the start of the process.
    until: Duration,
}

impl CrashPublisher {
    /// Time until something has to be written.
    fn next_wait(&mut self) -> Option<Duration> {
        let now = self.host.now();
        let marks = self.due.values().min().copied();
        let evidence = self.missing_evidence();
        let is_changed = self.is_unwritten(&evidence);
        let evidence = (!evidence.is_empty()).then(|| self.evidence_due(is_changed));
        marks.into_iter().chain(evidence).min().map(|due| due.saturating_sub(now))
    }

    /// When to write evidence that the store lacks.
    fn evidence_due(&self, is_changed: bool) -> Duration {
        if !is_changed {
            return self.next_write.max(self.missed_at);
        }
        let has_peers = 0 < self.host.part_host_count();
        let delay = if has_peers { OUTAGE_NOTICE_TIME } else { Duration::ZERO };
        let since = self.unwritten_since.unwrap_or_else(|| self.host.now());
        self.next_write.max(since + delay)
    }

    /// Evidence of this host, if the store lacks it.
    fn missing_evidence(&self) -> CrashNews {
        let own = self.host.crash_state.guard().own_evidence();
        let is_there = self.host.crash_state.entries().has_own_evidence();
        if is_there && !self.is_unwritten(&own) { CrashNews::default() } else { own }
    }

    /// Whether evidence holds something that was not written last.
    fn is_unwritten(&self, evidence: &CrashNews) -> bool {
        evidence.losses.iter().any(|loss| !self.written.losses.contains(loss))
            || evidence.answers.iter().any(|answer| !self.written.answers.contains(answer))
    }

    async fn write_due(&mut self) {
        self.plan_marks();
        let now = self.host.now();
        let evidence = self.missing_evidence();
        let is_changed = self.is_unwritten(&evidence);
        self.unwritten_since = self.unwritten_since.or(Some(now)).filter(|_| is_changed);
        let is_due = self.evidence_due(is_changed) <= now;
        if !evidence.is_empty() && is_due {
            match self.write_evidence(&evidence).await {
                Ok(()) => {
                    self.missed_at = self.host.now() + READ_BACK_TIME;
                    self.written = evidence;
                    self.unwritten_since = None;
                }
                Err(error) => self.on_error(&error),
            }
            self.next_write = self.host.now() + RETRY_DELAY;
        }
        let due: Vec<RequestFingerprint> =
            self.due.iter().filter(|(_, due)| **due <= now).map(|(print, _)| *print).collect();
        for fingerprint in due {
            let mut marks = self.missing_marks();
            let Some(mark) = marks.remove(&fingerprint) else {
                self.due.remove(&fingerprint);
                continue;
            };
            let delay = match self.write_mark(mark).await {
                Ok(()) => READ_BACK_TIME,
                Err(error) => {
                    self.on_error(&error);
                    RETRY_DELAY
                }
            };
            self.due.insert(fingerprint, self.host.now() + delay);
        }
    }

    /// Marks that the store lacks.
    fn missing_marks(&self) -> HashMap<RequestFingerprint, CrashMark> {
        let marks: Vec<CrashMark> = self.host.crash_state.guard().marks().collect();
        let entries = self.host.crash_state.entries();
        let missing = marks.into_iter().filter(|mark| entries.lacks(mark));
        missing.map(|mark| (mark.fingerprint, mark)).collect()
    }

    /// Sets the time at which this host writes a mark that any host can write.
    fn plan_marks(&mut self) {
        let missing = self.missing_marks();
        self.due.retain(|fingerprint, _| missing.contains_key(fingerprint));
        let hosts = self.host.view().map_or(1, |view| view.serving.host_count);
        let now = self.host.now();
        for fingerprint in missing.into_keys() {
            let delay = || shared_write_delay(hosts, SHARED_WRITE_BOUNDS, &mut self.host.rng());
            self.due.entry(fingerprint).or_insert_with(|| now + delay());
        }
    }

    async fn write_evidence(&mut self, evidence: &CrashNews) -> Result<(), StoreError> {
        let encoded =
            encode_evidence(evidence).map_err(|detail| StoreError::Malformed { detail })?;
        let lease = self.lease().await?;
        let call =
            (self.host.wire.store.put_crash_evidence)(&self.host.settings.host, &encoded, lease);
        self.write(call).await
    }

    async fn write_mark(&mut self, mark: CrashMark) -> Result<(), StoreError> {
        let wire = self.host.wire.store;
        let lease = self.lease().await?;
        let call = if is_active(&mark) {
            (wire.mark_crash)(&mark, lease, None)
        } else {
            (wire.clear_mark)(&mark, lease)
        };
        self.write(call).await
    }

    async fn write(&mut self, call: StoreCall) -> Result<(), StoreError> {
        let sent = self.store.send(call, Duration::ZERO).await;
        if sent.as_ref().is_err_and(|error| error.has_status(StatusCode::NOT_FOUND)) {
            self.lease = None;
        }
        sent.map(|_| ())
    }

    async fn lease(&mut self) -> Result<LeaseId, StoreError> {
        let now = self.host.now();
        let era = *self.host.store_era().borrow();
        let known = self.lease.filter(|lease| lease.era == era && now < lease.until);
        if let Some(lease) = known {
            return Ok(lease.id);
        }
        let wire = self.host.wire.store;
        let call = (wire.lease)(ENTRY_TTL);
        let (id, era) = self.store.read_in_era(call, Duration::ZERO, wire.read_lease).await?;
        self.lease = Some(EntryLease { id, era, until: now + LEASE_USE });
        Ok(id)
    }

    fn on_error(&self, error: &StoreError) {
        metrics::counter!("vanillapick_crash_write_failures_total").increment(1);
        tracing::info!(fault = %error, "writing evidence on crashing requests failed; retrying");
    }
}

/// Keeps other hosts from a trial of a marked request; returns whether this host may run it. Without the store no host may, and
/// the caller is told so at once.
pub(crate) async fn claim_trial(host: &RelayHost, store: &StoreClient, mark: CrashMark) -> bool {
    if !host.changes.has_store(host.now()) {
        return false;
    }
    let trial = CrashGuard::trial_mark(mark, wall_now());
    let writing = tokio::time::timeout(CLAIM_TIMEOUT, write_trial(host, store, &trial));
    let written = writing.await.unwrap_or_else(|_| {
        // The claim may have arrived. Then the next trial is due later than it could be.
        Err(StoreError::Malformed { detail: "no reply in time".to_owned() })
    });
    match written {
        Ok(()) => {
            host.crash_state.guard().start_trial(trial);
            host.crash_state.guard_changed.notify_one();
            true
        }
        Err(error) => {
            tracing::info!(
                print = format!("{:016x}", mark.fingerprint),
                fault = %error,
                "trial of a marked request was not claimed"
            );
            false
        }
    }
}

async fn write_trial(
    host: &RelayHost,
    store: &StoreClient,
    trial: &CrashMark,
) -> Result<(), StoreError> {
    let wire = host.wire.store;
    let revision = host.crash_state.entries().mark_revision(trial.fingerprint);
    let lease = store.read((wire.lease)(ENTRY_TTL), Duration::ZERO, wire.read_lease).await?;
    store.send((wire.mark_crash)(trial, lease, Some(revision)), Duration::ZERO).await?;
    Ok(())
}

/// Tells random hosts the news, and now and then all that this host knows, until the process ends.
pub(crate) async fn gossip_crash_evidence(
    host: Arc<RelayHost>,
    mut received: UnboundedReceiver<CrashNews>,
) {
    let mut fresh: Vec<(CrashNews, u32)> = Vec::new();
    let mut repair_at = host.now() + REPAIR_PERIOD;
    let mut next_round = Duration::ZERO;
    loop {
        let has_repair = !host.crash_state.guard().export().is_empty();
        let wait = match (fresh.is_empty(), has_repair) {
            (false, _) => Some(next_round.saturating_sub(host.now())),
            (true, true) => Some(repair_at.saturating_sub(host.now())),
            (true, false) => None,
        };
        tokio::select! {
            news = received.recv() => {
                let Some(news) = news else { return };
                fresh.push((news, GOSSIP_ROUNDS));
                continue;
            }
            () = sleep_if(wait) => {}
        }
        if repair_at <= host.now() {
            repair_at = host.now() + REPAIR_PERIOD;
            let known = host.crash_state.guard().export();
            tell(&host, &known, 1).await;
        }
        next_round = host.now() + GOSSIP_PERIOD;
        let mut message = CrashNews::default();
        for (news, rounds) in &mut fresh {
            *rounds -= 1;
            message.losses.extend(news.losses.iter().cloned());
            message.answers.extend(news.answers.iter().copied());
            message.marks.extend(news.marks.iter().copied());
        }
        fresh.retain(|(_, rounds)| 0 < *rounds);
        tell(&host, &message, GOSSIP_FANOUT).await;
    }
}

/// Sends a message to `count` random hosts.
async fn tell(host: &Arc<RelayHost>, news: &CrashNews, count: usize) {
    if news.is_empty() {
        return;
    }
    let (Some(view), Ok(message)) = (host.view(), encode_evidence(news)) else { return };
    let peers = view.part_peers.sample(count, &mut host.rng());
    join_all(peers.iter().map(|peer| send(host, peer, message.clone()))).await;
}

async fn send(host: &Arc<RelayHost>, peer: &Arc<PartPeer>, message: bytes::Bytes) {
    let call = peer_call(Method::POST, EVIDENCE_PATH, message);
    let sending = tokio::time::timeout(MESSAGE_TIMEOUT, peer.tell(call, || host.now()));
    let result = match sending.await {
        Ok(Ok(status)) if status.is_success() => "told",
        // Hosts of earlier versions do not know the endpoint.
        Ok(Ok(_)) => "unknown",
        Ok(Err(_)) | Err(_) => "failed",
    };
    metrics::counter!("vanillapick_crash_messages_total", "result" => result).increment(1);
}
