//! Logs and counts the use of the retry budgets of pools.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use vanillapick_dispatch::config_document::PoolId;
use vanillapick_dispatch::retry_budget::BudgetUsage;

use crate::relay_host::RelayHost;

/// Interval between reports: several in a window of the budget.
const REPORT_PERIOD: Duration = Duration::from_millis(2500);

/// Maximum number of pools with a log line of their own in one report.
const MAX_POOLS_PER_REPORT: usize = 5;

/// Use of the budgets at the last report, also of pools that the configuration no longer names.
#[derive(Default)]
struct BudgetReport {
    usages: HashMap<PoolId, BudgetUsage>,
}

/// Reports periodically until the process ends.
pub(crate) async fn report_budgets(host: Arc<RelayHost>) {
    let mut report = BudgetReport::default();
    loop {
        tokio::time::sleep(REPORT_PERIOD).await;
        report.update(&host);
    }
}

impl BudgetReport {
    /// Counts what was granted and refused since the last report, and logs the pools whose budget was exhausted.
    fn update(&mut self, host: &RelayHost) {
        let Some(view) = host.view() else { return };
        let (now, limits) = (host.now(), &view.serving.retry_limits);
        let (mut granted, mut refused, mut exhausted) = (0, 0, 0);
        for (id, pool) in &view.serving.pools {
            let usage = pool.state.retry_budget.usage(limits, now);
            let before = self.usages.get(id).copied().unwrap_or_default();
            granted += usage.granted - before.granted;
            if before.refused < usage.refused {
                refused += usage.refused - before.refused;
                exhausted += 1;
                if exhausted <= MAX_POOLS_PER_REPORT {
                    tracing::info!(
                        pool = &**id,
                        requests = usage.requests,
                        extras = usage.extras,
                        granted = usage.granted,
                        refused = usage.refused,
                        hosts = view.serving.host_count,
                        "retry budget exhausted"
                    );
                }
            }
            self.usages.insert(Arc::clone(id), usage);
        }
        metrics::counter!("vanillapick_retry_budget_total", "result" => "granted")
            .increment(granted);
        metrics::counter!("vanillapick_retry_budget_total", "result" => "exhausted")
            .increment(refused);
    }
}
