//! Counters, cold start and simulated process of one target stand-in.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use hyper::HeaderMap;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time;
use vanillapick_model::call::AttemptNumber;
use vanillapick_model::call::RequestId;
use vanillapick_model::call::TargetMarks;
use vanillapick_model::host::IncarnationNumber;

use crate::target_stand_in::TargetSetup;
use crate::target_stand_in::slot_limiter::SlotLimiter;
use crate::target_stand_in::target_behaviour::LoadReport;
use crate::target_stand_in::target_behaviour::TargetBehaviour;

/// 99th percentile of the standard normal distribution.
const NORMAL_P99: f64 = 2.326;

/// Counters of connections, calls and crashes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TargetCounts {
    /// Calls that arrived.
    pub arrived: u64,
    /// Calls that started to run.
    pub runs: u64,
    /// Refused calls by reason.
    pub refused: BTreeMap<String, u64>,
    /// Calls that were cancelled, before or during their run.
    pub cancelled: u64,
    /// Highest number of connections open at the same time.
    pub max_connections: u32,
    /// Connections closed immediately because the limit was reached.
    pub over_connections: u64,
    /// Calls shed because all slots were in use and the queue was full.
    pub over_slots: u64,
    /// Calls that arrived during a cold start while all cold slots were in use.
    pub over_cold_allowance: u64,
    /// Highest number of calls that ran at the same time.
    pub max_running: usize,
    /// Crashes caused by a body with the crash marker.
    pub crashes: u64,
}

/// State of the simulated process of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProcessState {
    /// Number of starts so far; it grows with every restart.
    pub incarnation: IncarnationNumber,
    /// Whether the process runs; false between a crash or kill and the restart.
    pub is_up: bool,
}

#[derive(Clone, Copy, Debug)]
struct ColdStart {
    started: Instant,
    served: u64,
}

#[derive(Debug)]
pub(crate) struct TargetState {
    pub(crate) setup: TargetSetup,
    pub(crate) limiter: Arc<SlotLimiter>,
    pub(crate) process_state: watch::Sender<ProcessState>,
    pub(crate) cancel_signals: Mutex<HashMap<(RequestId, AttemptNumber), Arc<Notify>>>,
    pub(crate) last_reply: Mutex<Option<(HeaderMap, Bytes)>>,
    behaviour: Mutex<(Arc<TargetBehaviour>, Instant)>,
    cold: Mutex<Option<ColdStart>>,
    reported_load: Mutex<(Instant, f64)>,
    counts: Mutex<TargetCounts>,
    open_connections: Mutex<u32>,
    generator: Mutex<ChaCha8Rng>,
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl TargetState {
    pub(crate) fn new(setup: TargetSetup) -> Self {
        let limiter = Arc::new(SlotLimiter::default());
        limiter.set_limit(setup.behaviour.slots);
        let now = Instant::now();
        Self {
            limiter,
            process_state: watch::Sender::new(ProcessState { incarnation: 1, is_up: true }),
            cancel_signals: Mutex::default(),
            last_reply: Mutex::default(),
            behaviour: Mutex::new((Arc::new(setup.behaviour.clone()), now)),
            cold: Mutex::default(),
            reported_load: Mutex::new((now, 0.0)),
            counts: Mutex::default(),
            open_connections: Mutex::default(),
            generator: Mutex::new(ChaCha8Rng::seed_from_u64(setup.seed)),
            setup,
        }
    }

    pub(crate) fn behaviour(&self) -> Arc<TargetBehaviour> {
        Arc::clone(&lock(&self.behaviour).0)
    }

    pub(crate) fn set_behaviour(&self, behaviour: TargetBehaviour) {
        *lock(&self.behaviour) = (Arc::new(behaviour), Instant::now());
        self.update_slots();
    }

    /// Returns the time since the behaviour was last set.
    pub(crate) fn behaviour_age(&self) -> Duration {
        lock(&self.behaviour).1.elapsed()
    }

    pub(crate) fn counts(&self) -> TargetCounts {
        let max_running = self.limiter.max_running();
        TargetCounts { max_running, ..lock(&self.counts).clone() }
    }

    pub(crate) fn update_counts(&self, change: impl FnOnce(&mut TargetCounts)) {
        change(&mut lock(&self.counts));
    }

    /// Counts a new connection; returns false if it exceeds the limit.
    pub(crate) fn open_connection(&self) -> bool {
        let limit = self.behaviour().connections;
        let mut open = lock(&self.open_connections);
        if limit <= *open {
            self.update_counts(|counts| counts.over_connections += 1);
            return false;
        }
        *open += 1;
        self.update_counts(|counts| counts.max_connections = counts.max_connections.max(*open));
        true
    }

    pub(crate) fn close_connection(&self) {
        *lock(&self.open_connections) -= 1;
    }

    pub(crate) fn start_cold(&self) {
        *lock(&self.cold) = Some(ColdStart { started: Instant::now(), served: 0 });
        self.update_slots();
    }

    /// Returns whether the target is in a cold start, and ends the cold start if its time or calls are used up.
    pub(crate) fn is_cold(&self) -> bool {
        let behaviour = self.behaviour();
        let mut cold = lock(&self.cold);
        let Some(start) = *cold else { return false };
        let is_over = behaviour.cold_requests <= start.served
            || Duration::from_millis(behaviour.cold_ms) <= start.started.elapsed();
        if is_over {
            *cold = None;
            drop(cold);
            self.limiter.set_limit(behaviour.slots);
        }
        !is_over
    }

    pub(crate) fn count_cold_run(&self) {
        if let Some(start) = lock(&self.cold).as_mut() {
            start.served += 1;
        }
    }

    fn update_slots(&self) {
        let behaviour = self.behaviour();
        let limit = if self.is_cold() { behaviour.cold_slots } else { behaviour.slots };
        self.limiter.set_limit(limit);
    }

    /// Returns the true load: calls in flight divided by slots, at most 1.
    pub(crate) fn load(&self) -> f64 {
        (self.limiter.in_flight() as f64 / f64::from(self.behaviour().slots.max(1))).min(1.0)
    }

    fn reported_load(&self) -> f64 {
        match self.behaviour().load_report {
            LoadReport::True => self.load(),
            LoadReport::Fixed { load } => load,
            LoadReport::Lagging { lag_ms } => {
                let mut report = lock(&self.reported_load);
                if Duration::from_millis(lag_ms) <= report.0.elapsed() {
                    *report = (Instant::now(), self.load());
                }
                report.1
            }
        }
    }

    pub(crate) fn marks(&self) -> TargetMarks {
        let behaviour = self.behaviour();
        TargetMarks {
            incarnation: self.process_state.borrow().incarnation,
            shard_map: self.setup.shard_map,
            shard: self.setup.shard,
            snapshots: behaviour.snapshots.clone(),
            load: self.reported_load(),
            cold: behaviour.cold_marked && self.is_cold(),
            draining: behaviour.draining,
        }
    }

    /// Returns the one-way delay from a caller in `domain`.
    pub(crate) fn link_delay(&self, domain: &str) -> Duration {
        let own = &self.setup.domain;
        let mut links = self.setup.links.iter();
        let link = links.find(|link| {
            (link.from == domain && link.to == *own) || (link.to == domain && link.from == *own)
        });
        link.map_or(Duration::ZERO, |link| link.delay)
    }

    /// Returns true with probability `share`.
    pub(crate) fn sample(&self, share: f64) -> bool {
        lock(&self.generator).random::<f64>() < share
    }

    /// Samples the log-normal service time of one call, without the factor of a version fault.
    pub(crate) fn service_time(&self) -> Duration {
        let behaviour = self.behaviour();
        let spread = (behaviour.p99_ms / behaviour.median_ms).max(1.0).ln() / NORMAL_P99;
        let mut factor = (spread * self.sample_normal()).exp();
        let period = u128::from(behaviour.slow_period_ms);
        let is_slow = period == 0 || (self.behaviour_age().as_millis() / period).is_multiple_of(2);
        if is_slow {
            factor *= behaviour.slow_factor;
        }
        if self.is_cold() {
            factor *= behaviour.cold_factor;
        }
        Duration::from_secs_f64(behaviour.median_ms * factor / 1e3)
    }

    /// Samples the standard normal distribution with the Box-Muller transform.
    fn sample_normal(&self) -> f64 {
        let mut generator = lock(&self.generator);
        let radius = (-2.0 * (1.0 - generator.random::<f64>()).ln()).sqrt();
        radius * (std::f64::consts::TAU * generator.random::<f64>()).cos()
    }

    pub(crate) fn kill(&self) {
        self.process_state.send_modify(|process_state| process_state.is_up = false);
    }

    pub(crate) fn restart(&self) {
        self.start_cold();
        self.process_state.send_modify(|process_state| {
            process_state.is_up = true;
            process_state.incarnation += 1;
        });
    }

    /// Stops the process immediately and restarts it after `restart_ms`, with a cold start.
    pub(crate) fn crash(self: &Arc<Self>) {
        self.update_counts(|counts| counts.crashes += 1);
        self.kill();
        let state = Arc::clone(self);
        let pause = Duration::from_millis(self.behaviour().restart_ms);
        tokio::spawn(async move {
            time::sleep(pause).await;
            state.restart();
        });
    }
}
