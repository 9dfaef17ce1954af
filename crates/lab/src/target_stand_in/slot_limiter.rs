//! Concurrency limit of a target, with a bounded queue.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::oneshot;

#[derive(Debug, Default)]
struct LimiterState {
    limit: usize,
    running: usize,
    max_running: usize,
    waiting: VecDeque<oneshot::Sender<SlotPermit>>,
}

/// Lets at most `limit` calls run at a time, in the order of arrival.
#[derive(Debug, Default)]
pub struct SlotLimiter {
    state: Mutex<LimiterState>,
}

/// Permit of a running call; releases the slot on drop.
#[derive(Debug)]
pub struct SlotPermit {
    limiter: Option<Arc<SlotLimiter>>,
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        if let Some(limiter) = self.limiter.take() {
            limiter.release();
        }
    }
}

impl SlotLimiter {
    /// Changes the number of slots and starts waiting calls that now fit.
    pub fn set_limit(self: &Arc<Self>, limit: u32) {
        let mut state = self.lock();
        state.limit = limit as usize;
        self.admit(&mut state);
    }

    /// Requests a slot. Returns `None` if no slot is free and `queue` calls wait already; otherwise the receiver yields
    /// the permit once a slot is free.
    pub fn acquire(self: &Arc<Self>, queue: u32) -> Option<oneshot::Receiver<SlotPermit>> {
        let mut state = self.lock();
        state.waiting.retain(|waiter| !waiter.is_closed());
        let is_free = state.running < state.limit;
        if !is_free && queue as usize <= state.waiting.len() {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        state.waiting.push_back(sender);
        self.admit(&mut state);
        Some(receiver)
    }

    /// Returns the number of calls that run or wait.
    pub fn in_flight(&self) -> usize {
        let state = self.lock();
        state.running + state.waiting.iter().filter(|waiter| !waiter.is_closed()).count()
    }

    /// Returns the highest number of calls that ran at the same time.
    pub fn max_running(&self) -> usize {
        self.lock().max_running
    }

    fn release(self: &Arc<Self>) {
        let mut state = self.lock();
        state.running -= 1;
        self.admit(&mut state);
    }

    fn admit(self: &Arc<Self>, state: &mut LimiterState) {
        while state.running < state.limit {
            let Some(waiter) = state.waiting.pop_front() else { return };
            let permit = SlotPermit { limiter: Some(Arc::clone(self)) };
            match waiter.send(permit) {
                Ok(()) => {
                    state.running += 1;
                    state.max_running = state.max_running.max(state.running);
                }
                // The receiver is gone. Disarms the permit, because its drop would lock this state again and deadlock.
                Err(mut permit) => drop(permit.limiter.take()),
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, LimiterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
