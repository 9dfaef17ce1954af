//! Validation rules for the settings of a relay.

use std::time::Duration;

use crate::duration_unit::DurationUnit;
use crate::schema::FieldSchema;
use crate::schema::ValueSchema;
use crate::schema::optional;
use crate::schema::required;
use crate::validate::REPLACE_UNUSABLE;
use crate::validate::UNUSABLE_VALUES_FIELD;

/// Shortest duration that a file may give. Intervals of zero length would keep the processor busy.
const MIN_DURATION: Duration = Duration::from_millis(1);

const REMOTE_ADDRESS: ValueSchema = ValueSchema::Address { allows_port_zero: false };

const MACHINE: ValueSchema = ValueSchema::Record(&[
    optional("cores", ValueSchema::Integer { min: 1, max: 256 }),
    optional("memory_mb", ValueSchema::Integer { min: 16, max: 1 << 20 }),
    optional("descriptors", ValueSchema::Integer { min: 64, max: u64::MAX }),
]);

const LIMITS: ValueSchema = ValueSchema::Record(&[
    optional("extra_ratio", ValueSchema::NonNegative),
    optional("extra_slack", ValueSchema::NonNegative),
    optional("extra_window_s", EXTRA_WINDOW),
]);

const EXTRA_WINDOW: ValueSchema = ValueSchema::Duration {
    unit: DurationUnit::Seconds,
    min: MIN_DURATION,
    max: Duration::from_secs(24 * 60 * 60),
};

const CHANGE_TIME: ValueSchema = ValueSchema::Duration {
    unit: DurationUnit::Milliseconds,
    min: MIN_DURATION,
    max: Duration::from_secs(600),
};

const STOP_GRACE: ValueSchema = ValueSchema::Duration {
    unit: DurationUnit::Seconds,
    min: MIN_DURATION,
    // A process that has not exited after ten minutes is considered stuck.
    max: Duration::from_secs(600),
};

static FIELDS: [FieldSchema; 15] = [
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
    optional("change_time_ms", CHANGE_TIME),
    optional("stop_grace_s", STOP_GRACE),
    optional(UNUSABLE_VALUES_FIELD, ValueSchema::Choice(&["reject", REPLACE_UNUSABLE])),
];

/// Schema of a complete file of relay settings.
pub(crate) static RELAY_SETTINGS: ValueSchema = ValueSchema::Record(&FIELDS);
