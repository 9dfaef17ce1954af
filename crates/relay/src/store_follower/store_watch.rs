//! One watch on the store or on a peer, from its start until it returns or is replaced.

use std::time::Duration;

use futures_util::future::BoxFuture;
use futures_util::future::OptionFuture;
use vanillapick_dispatch::change_source::ChangeSource;
use vanillapick_dispatch::follow_pace::FollowStep;
use vanillapick_dispatch::watch_supervisor::WatchStep;
use vanillapick_dispatch::watch_supervisor::WatchSupervisor;

use super::StoreFollower;
use super::WATCH_NOW;
use super::WATCH_WAIT;
use crate::change_log::PeerChanges;
use crate::peer_changes::PEER_TIMEOUT;
use crate::peer_changes::PEER_WAIT;
use crate::peer_changes::changes_call;
use crate::peer_changes::read_changes;
use crate::store_client::StoreError;
use crate::wire::StorePosition;

/// Interval between checks while a watch waits, as a fraction of the time within which a change must take effect. The
/// store may stop replying to a watch without closing its connection; then only a newer revision shows that it is dead. The rest
/// of the time is for the reply to the check, [`WATCH_RETURN_GRACE`] and another watch.
const CHECK_PERIOD_FRACTION: f64 = 0.66;

/// Minimum interval between checks, however short the time for a change to take effect is.
const MIN_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Time in which a watch must return after a check has found a newer revision.
const WATCH_RETURN_GRACE: Duration = Duration::from_millis(300);

/// How a watch ended.
pub(super) enum WatchEnd {
    Returned(Result<PeerChanges, StoreError>),
    /// It is given up, and this step follows.
    Replaced(FollowStep),
}

/// Call of a watch that has not returned.
type PendingWatch = BoxFuture<'static, Result<PeerChanges, StoreError>>;

impl StoreFollower {
    /// Waits until a watch that is sent at `asked` returns or has to be replaced. Checks the watch meanwhile.
    pub(super) async fn await_changes(
        &mut self,
        source: &ChangeSource,
        position: StorePosition,
        asked: Duration,
    ) -> WatchEnd {
        let mut watch = self.start_watch(source, position);
        // A peer checks its own watch, so changes that it forwards need no check here.
        let (check_period, proven_at) = match source {
            ChangeSource::Store => (self.check_period(), self.proven_at),
            ChangeSource::Peer(..) => (WATCH_WAIT, asked),
        };
        let mut supervisor =
            WatchSupervisor::new(position, check_period, proven_at, self.is_store_lost, asked);
        let mut check = OptionFuture::from(None);
        let mut is_checking = false;
        loop {
            let now = self.host.now();
            let expiry =
                self.registry.next_expiry().map_or(WATCH_WAIT, |at| at.saturating_sub(now));
            let check_delay = supervisor.next_check().saturating_sub(now);
            // The watch continues meanwhile, because a new call would be charged for again.
            let (sent, reply) = tokio::select! {
                changes = watch.as_mut() => return WatchEnd::Returned(changes),
                () = tokio::time::sleep(expiry) => {
                    self.expire();
                    continue;
                }
                () = tokio::time::sleep(check_delay), if !is_checking => {
                    is_checking = true;
                    check = OptionFuture::from(Some(self.start_check()));
                    continue;
                }
                Some(checked) = &mut check, if is_checking => checked,
            };
            is_checking = false;
            if let Err(error) = &reply {
                tracing::debug!(fault = %error, "store revision check failed");
                self.host.changes.mark_store_lost();
                // Registrations may expire meanwhile, as with a watch that fails.
                self.is_store_lost |= *source == ChangeSource::Store;
            }
            let current = reply.ok();
            let step = supervisor.after_check(sent, current, self.host.now());
            if let Some(end) = self.after_check(step, &mut watch, position, current).await {
                return end;
            }
        }
    }

    /// Acts on the consequence of a check; returns how the watch ends, if it does. `current` is the position of the store.
    async fn after_check(
        &mut self,
        step: WatchStep,
        watch: &mut PendingWatch,
        position: StorePosition,
        current: Option<StorePosition>,
    ) -> Option<WatchEnd> {
        let revision = position.revision;
        let current = current.unwrap_or(position);
        match step {
            WatchStep::Unproven => None,
            WatchStep::Keep { proven_at } => {
                self.confirm_store(proven_at);
                self.check_silent_attempts();
                None
            }
            WatchStep::Renew { proven_at } => {
                self.on_store_reply(self.host.now());
                self.confirm_store(proven_at);
                tracing::info!(revision, "watch may be silent since a check failed; restarting it");
                Some(WatchEnd::Replaced(WATCH_NOW))
            }
            WatchStep::Overdue => {
                self.on_store_reply(self.host.now());
                // The changes may be on their way.
                let changes = tokio::time::timeout(WATCH_RETURN_GRACE, watch).await;
                if let Ok(changes) = changes {
                    return Some(WatchEnd::Returned(changes));
                }
                let current = current.revision;
                tracing::info!(revision, current, "watch is silent; restarting it");
                Some(WatchEnd::Replaced(WATCH_NOW))
            }
            WatchStep::NewEra => {
                self.on_store_reply(self.host.now());
                Some(WatchEnd::Replaced(self.start_era(position, current.era)))
            }
        }
    }

    /// Asks for the position of the store; returns it with the time at which the call was sent.
    pub(super) fn start_check(
        &self,
    ) -> BoxFuture<'static, (Duration, Result<StorePosition, StoreError>)> {
        let (store, wire) = (self.store.clone(), self.host.wire.store);
        let sent = self.host.now();
        Box::pin(async move {
            let reply = store.read_in_era((wire.check)(), Duration::ZERO, wire.read_check).await;
            (sent, reply.map(|(revision, era)| StorePosition { era, revision }))
        })
    }

    /// Interval between checks of this host's own watch; shorter if peers depend on it.
    fn check_period(&self) -> Duration {
        let default = self.host.settings.change_time.mul_f64(CHECK_PERIOD_FRACTION);
        let period = self.shared_check_period().map_or(default, |period| period.min(default));
        period.max(MIN_CHECK_PERIOD)
    }

    pub(super) fn shared_check_period(&self) -> Option<Duration> {
        self.sources.shared_check_interval(self.registry.hosts())
    }

    fn start_watch(&self, source: &ChangeSource, position: StorePosition) -> PendingWatch {
        let wire = self.host.wire.store;
        match source {
            ChangeSource::Store => {
                let (store, call) =
                    (self.store.clone(), (wire.watch)(position.revision, WATCH_WAIT));
                Box::pin(async move {
                    let page = store.read_page(call, WATCH_WAIT, wire.read_watch).await?;
                    Ok(PeerChanges {
                        page,
                        expiry_grace_left: Duration::ZERO,
                        has_store: true,
                        is_complete: false,
                    })
                })
            }
            ChangeSource::Peer(_, address) => {
                let peer = self.store.for_peer(*address, PEER_TIMEOUT);
                let call = changes_call(position);
                Box::pin(async move { peer.read(call, PEER_WAIT, read_changes).await })
            }
        }
    }
}
