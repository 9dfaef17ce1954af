//! Simulated delays and outages of the links from this host to others, for measurements.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Interval at which [`LinkRule::cut`] polls the condition of a link.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Effect of a link on messages.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkCondition {
    /// Messages arrive after the one-way delay.
    Up(Duration),
    /// Messages are dropped; connection attempts fail at once.
    Cut,
}

/// Condition of the link to each address. Without a condition, as in production, no delay or outage is simulated.
#[derive(Clone, Default)]
pub struct LinkRule {
    condition: Option<Arc<dyn Fn(SocketAddr) -> LinkCondition + Send + Sync>>,
}

impl LinkRule {
    /// Creates a rule for measurements with stand-ins on loopback.
    pub fn new(condition: impl Fn(SocketAddr) -> LinkCondition + Send + Sync + 'static) -> Self {
        Self { condition: Some(Arc::new(condition)) }
    }

    /// Waits for the one-way delay to `address`; returns false if the link is cut.
    pub async fn pass(&self, address: SocketAddr) -> bool {
        let Some(condition) = &self.condition else { return true };
        match condition(address) {
            LinkCondition::Cut => false,
            LinkCondition::Up(delay) => {
                if !delay.is_zero() {
                    tokio::time::sleep(delay).await;
                }
                true
            }
        }
    }

    /// Completes when the link to `address` is cut, so that a pending call can be abandoned.
    pub async fn cut(&self, address: SocketAddr) {
        let Some(condition) = &self.condition else { return std::future::pending().await };
        while condition(address) != LinkCondition::Cut {
            tokio::time::sleep(CUT_POLL_INTERVAL).await;
        }
    }
}
