//! Result of an experiment, parsed from the last line of `experiment --json`.

use std::collections::BTreeMap;

use serde::Deserialize;

/// Fields of the result that reports use.
#[derive(Clone, Debug, Deserialize)]
pub struct ExperimentResult {
    /// Name of the experiment file without its extension.
    pub experiment: String,
    /// Value of `--seed`.
    pub seed: u64,
    /// Measurements by name, as listed in experiments/README.md.
    pub figures: BTreeMap<String, f64>,
    /// In the order of the experiment file.
    pub bounds: Vec<BoundResult>,
}

/// Bound of the experiment file and whether it held.
#[derive(Clone, Debug, Deserialize)]
pub struct BoundResult {
    /// Label from the experiment file.
    pub name: String,
    /// Condition as text, for example `healthy.all.cut <= 0`.
    pub bound: String,
    /// None if the run has no such figure.
    pub figure: Option<f64>,
    /// Whether the condition was true.
    pub held: bool,
}

impl ExperimentResult {
    /// Returns the names of the phases that have latencies over all kinds of requests, without the total.
    pub fn phases(&self) -> Vec<&str> {
        let names = self.figures.keys().filter_map(|name| name.strip_suffix(".all.p99_ms"));
        names.filter(|name| *name != "total" && !name.contains('.')).collect()
    }

    /// Returns the runs in each second by group, from the figures `second.SS.SERVICE.DOMAIN`. `group_of` maps a service
    /// and a failure domain to a group.
    pub fn traffic(
        &self,
        group_of: impl Fn(&str, &str) -> String,
    ) -> BTreeMap<String, Vec<(f64, f64)>> {
        let mut sums: BTreeMap<String, BTreeMap<u32, f64>> = BTreeMap::new();
        for (name, runs) in &self.figures {
            let parts: Vec<_> = name.split('.').collect();
            let ["second", second, service, domain] = parts[..] else { continue };
            let Ok(second) = second.parse() else { continue };
            let group = sums.entry(group_of(service, domain)).or_default();
            *group.entry(second).or_default() += runs;
        }
        let line = |points: BTreeMap<u32, f64>| {
            points.into_iter().map(|(second, runs)| (f64::from(second), runs)).collect()
        };
        sums.into_iter().map(|(group, points)| (group, line(points))).collect()
    }
}
