//! Parsing and validation of experiment files. experiments/README.md documents the format.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use derive_more::Display;
use derive_more::Error;
use jsonc_parser::ParseOptions;
use jsonc_parser::parse_to_serde_value;
use serde::Deserialize;
use serde_json::Value;

use crate::experiment::timed_action::TimedAction;
use crate::experiment::topology::Topology;
use crate::experiment::topology::preset_text;
use crate::json_patch::merge_patch;
use crate::load_generator::load_plan::MixEntry;

/// Upper limit on the total length of all phases, in seconds.
const MAX_TOTAL_SECONDS: f64 = 40.0;

/// Why an experiment could not run.
#[derive(Debug, Display, Error)]
#[display("{place}: {label}; {help}")]
pub struct ExperimentError {
    /// File or part of the experiment in which the error was found.
    pub place: String,
    /// Description of the error.
    pub label: String,
    /// How to fix it.
    pub help: String,
}

impl ExperimentError {
    /// Builds an error whose label is the text of `label`, often another error.
    pub fn new(
        place: impl Into<String>,
        label: impl ToString,
        help: impl Into<String>,
    ) -> ExperimentError {
        Self { place: place.into(), label: label.to_string(), help: help.into() }
    }
}

/// Load that is sent at one rate for a fixed time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PhaseSpec {
    /// Unique within the experiment.
    pub name: String,
    /// Mean requests per second; arrivals are Poisson distributed.
    pub rate: f64,
    /// Length of the phase, including the warmup.
    pub seconds: f64,
    /// Time at the start whose requests are sent but not recorded, in seconds.
    #[serde(default)]
    pub warmup_s: f64,
    /// Kinds of requests; defaults to the mix of the file.
    #[serde(default)]
    pub mix: Vec<MixEntry>,
    /// Whether the entry hosts run with the baseline setting; they are restarted where it changes between phases.
    #[serde(default)]
    pub baseline: bool,
    /// Whether the phase counts towards the `reference.LABEL.goodput` figures.
    #[serde(default)]
    pub reference: bool,
}

impl PhaseSpec {
    /// Length without the warmup, in seconds; positive, so that rates can be divided by it.
    pub fn recorded_seconds(&self) -> f64 {
        (self.seconds - self.warmup_s).max(0.001)
    }
}

/// Comparison of a figure with the value of its bound.
#[derive(Clone, Copy, Debug, Deserialize)]
pub enum BoundComparison {
    /// The figure must not exceed the value.
    #[serde(rename = "<=")]
    AtMost,
    /// The figure must not be less than the value.
    #[serde(rename = ">=")]
    AtLeast,
    /// The figure must be exactly the value.
    #[serde(rename = "==")]
    Equal,
}

/// Condition on a figure or a ratio that decides whether the experiment passes.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FigureBound {
    /// Label in reports.
    pub name: String,
    /// Name of a figure, or `A / B` for the ratio of two.
    pub figure: String,
    pub comparison: BoundComparison,
    /// Right side of the comparison.
    pub value: f64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawFile {
    #[serde(default)]
    about: String,
    #[serde(default)]
    preset: Option<String>,
    #[serde(default)]
    topology: Value,
    #[serde(default = "default_balancer_lag_ms")]
    balancer_lag_ms: u64,
    #[serde(default)]
    mix: Vec<MixEntry>,
    phases: Vec<PhaseSpec>,
    #[serde(default)]
    actions: Vec<TimedAction>,
    bounds: Vec<FigureBound>,
}

fn default_balancer_lag_ms() -> u64 {
    500
}

/// Validated experiment file.
#[derive(Clone, Debug)]
pub struct ExperimentFile {
    /// File name without its extension.
    pub name: String,
    /// What the experiment shows.
    pub about: String,
    /// Platform, targets and entry hosts to start.
    pub topology: Topology,
    /// Interval at which the load balancer checks the readiness of entry hosts, in milliseconds.
    pub balancer_lag_ms: u64,
    /// Run in this order; no phase has an empty mix.
    pub phases: Vec<PhaseSpec>,
    /// Changes to the system at set times of the phases.
    pub actions: Vec<TimedAction>,
    /// Conditions on the figures; the experiment passes if all of them hold.
    pub bounds: Vec<FigureBound>,
}

impl ExperimentFile {
    /// Reads `experiments/NAME.jsonc`, or the file at a path.
    pub fn read(name: &str) -> Result<Self, ExperimentError> {
        let path = find_file(name);
        let place = path.display().to_string();
        let text = fs::read_to_string(&path).map_err(|error| {
            ExperimentError::new(&place, error, "give the name of a file in experiments/ or a path")
        })?;
        let stem = path.file_stem().unwrap_or_default().to_string_lossy();
        Self::parse(&stem, &text)
    }

    /// Parses and validates JSON with comments; `name` is used in error messages.
    pub fn parse(name: &str, text: &str) -> Result<Self, ExperimentError> {
        let help = "see experiments/README.md";
        let raw: RawFile = parse_to_serde_value(text, &ParseOptions::default())
            .map_err(|error| ExperimentError::new(name, error, help))?;
        let topology = read_topology(name, &raw)?;
        let RawFile { about, balancer_lag_ms, mix, mut phases, actions, bounds, .. } = raw;
        for phase in &mut phases {
            if phase.mix.is_empty() {
                phase.mix.clone_from(&mix);
            }
        }
        let name = name.to_owned();
        let file = Self { name, about, topology, balancer_lag_ms, phases, actions, bounds };
        file.check()?;
        Ok(file)
    }

    fn check(&self) -> Result<(), ExperimentError> {
        let fail = |label: String, help: &str| Err(ExperimentError::new(&self.name, label, help));
        let total_seconds: f64 = self.phases.iter().map(|phase| phase.seconds).sum();
        if MAX_TOTAL_SECONDS < total_seconds {
            return fail(
                format!("the phases last {total_seconds} s"),
                "shorten them to 40 s in total",
            );
        }
        let names: BTreeSet<_> = self.phases.iter().map(|phase| phase.name.as_str()).collect();
        if names.len() != self.phases.len() {
            return fail("two phases have the same name".to_owned(), "use unique names");
        }
        for phase in &self.phases {
            if phase.mix.is_empty() || phase.rate <= 0.0 {
                return fail(
                    format!("phase {} has no mix or no positive rate", phase.name),
                    "set both",
                );
            }
            for entry in &phase.mix {
                if !self.topology.routes.contains_key(&entry.route) {
                    return fail(
                        format!("unknown route {:?}", entry.route),
                        "use a route of the topology",
                    );
                }
                let is_allowed = |letter: char| letter.is_ascii_alphanumeric() || letter == '-';
                if !entry.label().chars().all(is_allowed) {
                    return fail(
                        format!("invalid label {:?}", entry.label()),
                        "use ASCII letters, digits and -",
                    );
                }
            }
        }
        for action in &self.actions {
            action.check().map_err(|label| {
                ExperimentError::new(&self.name, label, "see experiments/README.md")
            })?;
            if let Some(name) = action.phases.iter().find(|name| !names.contains(name.as_str())) {
                return fail(format!("unknown phase {name:?}"), "use phases of this file");
            }
        }
        Ok(())
    }
}

fn find_file(name: &str) -> PathBuf {
    if Path::new(name).extension().is_some() {
        return PathBuf::from(name);
    }
    let file = format!("experiments/{name}.jsonc");
    let here = PathBuf::from(&file);
    if here.exists() {
        return here;
    }
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").join(file)
}

fn read_topology(name: &str, raw: &RawFile) -> Result<Topology, ExperimentError> {
    let help = "see experiments/README.md";
    let mut topology = Value::Null;
    if let Some(preset) = &raw.preset {
        let text = preset_text(preset).ok_or_else(|| {
            ExperimentError::new(
                name,
                format!("unknown preset {preset:?}"),
                "use pajilla or calendar",
            )
        })?;
        topology = parse_to_serde_value(text, &ParseOptions::default())
            .map_err(|error| ExperimentError::new(preset, error, help))?;
    }
    if !raw.topology.is_null() {
        merge_patch(&mut topology, &raw.topology);
    }
    serde_json::from_value(topology)
        .map_err(|error| ExperimentError::new(format!("{name}: topology"), error, help))
}
