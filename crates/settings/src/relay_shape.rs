//! Shape of the settings of a relay.

use crate::shape::FieldShape;
use crate::shape::ValueShape;
use crate::shape::optional;
use crate::shape::required;

const REACHABLE: ValueShape = ValueShape::Address { port_zero: false };

const MACHINE: ValueShape = ValueShape::Record(&[
    optional("cores", ValueShape::Whole { least: 1, most: 256 }),
    optional("descriptors", ValueShape::Whole { least: 64, most: u64::MAX }),
]);

const LIMITS: ValueShape = ValueShape::Record(&[
    optional("extra_ratio", ValueShape::Number),
    optional("extra_slack", ValueShape::Number),
    optional("extra_window_s", ValueShape::Number),
]);

static FIELDS: [FieldShape; 12] = [
    required("host", ValueShape::Name),
    required("domain", ValueShape::Name),
    required("regions", ValueShape::Map(&ValueShape::Name)),
    required("callers", ValueShape::Address { port_zero: true }),
    required("readiness", ValueShape::Address { port_zero: true }),
    optional("metrics", ValueShape::Address { port_zero: true }),
    // Other hosts learn the address from the store, so that it has to be known.
    optional("peers", REACHABLE),
    required("store", REACHABLE),
    optional("machine", MACHINE),
    optional("limits", LIMITS),
    optional("change_time_ms", ValueShape::Whole { least: 100, most: 600_000 }),
    // A process that stops for longer than ten minutes is not stopping.
    optional("stop_grace_s", ValueShape::Whole { least: 1, most: 600 }),
];

/// Shape of a whole file of relay settings.
pub(crate) static RELAY_SETTINGS: ValueShape = ValueShape::Record(&FIELDS);
