//! Simulated targets with slots and queues.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Simulated targets that execute a limited number of calls concurrently and queue the others.
pub struct SlotTargets {
    slots: usize,
    /// Minimum and mean service time.
    service: (Duration, Duration),
    /// Slowed targets, with the start time and the factor.
    slowed: HashMap<String, (Duration, f64)>,
    /// Times at which the slots of each target become free.
    free_at: HashMap<String, Vec<Duration>>,
}

impl SlotTargets {
    pub fn new(slots: usize, least: Duration, mean: Duration) -> Self {
        Self { slots, service: (least, mean), slowed: HashMap::new(), free_at: HashMap::new() }
    }

    pub fn slow(&mut self, target: &str, from: Duration, factor: f64) {
        self.slowed.insert(target.into(), (from, factor));
    }

    /// Returns the time until the target completes a call that arrives at `now`.
    pub fn call(&mut self, target: &str, now: Duration, rng: &mut ChaCha8Rng) -> Duration {
        let (least, mean) = self.service;
        let spread = (mean - least).as_secs_f64();
        let mut service = least.as_secs_f64() - spread * (1.0 - rng.random::<f64>()).ln();
        if let Some((from, factor)) = self.slowed.get(target)
            && *from <= now
        {
            service *= factor;
        }
        let slots = self
            .free_at
            .entry(target.to_owned())
            .or_insert_with(|| vec![Duration::ZERO; self.slots]);
        let slot = slots.iter_mut().min().expect("at least one slot");
        let end = now.max(*slot) + Duration::from_secs_f64(service);
        *slot = end;
        end - now
    }
}
