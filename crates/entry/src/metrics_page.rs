//! Metrics endpoint in the Prometheus text format.

use metrics::Label;
use metrics_exporter_prometheus::PrometheusBuilder;

use crate::entry_host::EntryHost;

/// Renders all metrics of the host. Sessions count in atomics of their host instead of a global recorder, because
/// several hosts may run in one process; the recorder exists only while a page is rendered.
pub fn metrics_page(host: &EntryHost) -> String {
    let recorder = PrometheusBuilder::new().build_recorder();
    metrics::with_local_recorder(&recorder, || {
        for (name, reason, value) in host.policy.counters.entries() {
            let labels =
                if reason.is_empty() { Vec::new() } else { vec![Label::new("reason", reason)] };
            metrics::counter!(name, labels).absolute(value);
        }
        for (direction, bytes) in host.peers.bytes() {
            metrics::counter!("vp_peer_bytes_total", "direction" => direction).absolute(bytes);
        }
        metrics::counter!("vp_peer_cpu_microseconds_total").absolute(host.peers.cpu_us());
        metrics::counter!("vp_platform_calls_total").absolute(host.platform.calls());
        metrics::gauge!("vp_requests_running").set(host.running.count() as f64);
        metrics::gauge!("vp_config_revision").set(host.policy.view().revision() as f64);
        metrics::gauge!("vp_ready").set(if host.is_ready() { 1.0 } else { 0.0 });
    });
    recorder.handle().render()
}
