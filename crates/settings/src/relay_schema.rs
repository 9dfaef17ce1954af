//! Validation rules for the settings of a relay.

use crate::schema::FieldSchema;
use crate::schema::ValueSchema;
use crate::schema::optional;
use crate::schema::required;

const REMOTE_ADDRESS: ValueSchema = ValueSchema::Address { allows_port_zero: false };

const MACHINE: ValueSchema = ValueSchema::Record(&[
    optional("cores", ValueSchema::Integer { min: 1, max: 256 }),
    optional("memory_mb", ValueSchema::Integer { min: 16, max: 1 << 20 }),
    optional("descriptors", ValueSchema::Integer { min: 64, max: u64::MAX }),
]);

const LIMITS: ValueSchema = ValueSchema::Record(&[
    optional("extra_ratio", ValueSchema::NonNegative),
    optional("extra_slack", ValueSchema::NonNegative),
    optional("extra_window_s", ValueSchema::NonNegative),
]);

static FIELDS: [FieldSchema; 14] = [
    required("host", ValueSchema::Name),
    required("domain", ValueSchema::Name),
    required("regions", ValueSchema::Map(&ValueSchema::Name)),
    required("callers", ValueSchema::Address { allows_port_zero: true }),
    required("readiness", ValueSchema::Address { allows_port_zero: true }),
    optional("metrics", ValueSchema::Address { allows_port_zero: true }),
    // The address is published in the store for other hosts, so port 0 is not allowed.
    optional("peers", REMOTE_ADDRESS),
    optional("parts", REMOTE_ADDRESS),
    required("store", REMOTE_ADDRESS),
    optional("initial_start", ValueSchema::Boolean),
    optional("machine", MACHINE),
    optional("limits", LIMITS),
    optional("change_time_ms", ValueSchema::Integer { min: 100, max: 600_000 }),
    // A process that has not exited after ten minutes is considered stuck.
    optional("stop_grace_s", ValueSchema::Integer { min: 1, max: 600 }),
];

/// Schema of a complete file of relay settings.
pub(crate) static RELAY_SETTINGS: ValueSchema = ValueSchema::Record(&FIELDS);
