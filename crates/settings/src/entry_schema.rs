//! Validation rules for the settings of an entry host.

use crate::schema::FieldSchema;
use crate::schema::ValueSchema;
use crate::schema::optional;
use crate::schema::required;

/// Upper bound on concurrent and on queued requests. With bodies of 64 KiB, one host cannot hold more in memory, so
/// that a larger value is a mistake.
const MAX_REQUESTS: u64 = 65_535;

/// A host that kept serving for longer after SIGTERM would be killed by the platform first.
const MAX_BALANCER_LAG_MS: u64 = 60_000;

/// Equal to the longest deadline of a caller, which a call to the platform must not exceed.
const MAX_PLATFORM_TIMEOUT_MS: u64 = 60_000;

/// Exceeds the number of cores of any of the small hosts.
const MAX_WORKERS: u64 = 256;

/// A larger delay indicates a value in the wrong unit.
const MAX_LINK_DELAY_MS: u64 = 10_000;

const REMOTE_ADDRESS: ValueSchema = ValueSchema::Address { allows_port_zero: false };

static HOST: ValueSchema = ValueSchema::Record(&[
    required("id", ValueSchema::Name),
    required("domain", ValueSchema::Name),
    required("address", REMOTE_ADDRESS),
    optional("incarnation", ValueSchema::Integer { min: 0, max: u64::MAX }),
    optional("leaving", ValueSchema::Boolean),
]);

static LINK: ValueSchema = ValueSchema::Record(&[
    required("from", ValueSchema::Name),
    required("to", ValueSchema::Name),
    required("one_way_ms", ValueSchema::Integer { min: 0, max: MAX_LINK_DELAY_MS }),
]);

static FIELDS: [FieldSchema; 15] = [
    required("host", ValueSchema::Name),
    required("domain", ValueSchema::Name),
    required("listen", ValueSchema::Address { allows_port_zero: true }),
    required("platform", REMOTE_ADDRESS),
    optional("peers", ValueSchema::List(&HOST)),
    optional("links", ValueSchema::List(&LINK)),
    optional("concurrency", ValueSchema::Integer { min: 1, max: MAX_REQUESTS }),
    optional("queue", ValueSchema::Integer { min: 0, max: MAX_REQUESTS }),
    optional("extra_load_percent", ValueSchema::Integer { min: 0, max: 100 }),
    optional("balancer_lag_ms", ValueSchema::Integer { min: 0, max: MAX_BALANCER_LAG_MS }),
    optional("platform_timeout_ms", ValueSchema::Integer { min: 1, max: MAX_PLATFORM_TIMEOUT_MS }),
    optional("workers", ValueSchema::Integer { min: 1, max: MAX_WORKERS }),
    optional("memory_mb", ValueSchema::Integer { min: 16, max: 1 << 20 }),
    optional("log_format", ValueSchema::Choice(&["text", "json"])),
    optional("baseline", ValueSchema::Boolean),
];

/// Schema of a complete file of entry settings.
pub(crate) static ENTRY_SETTINGS: ValueSchema = ValueSchema::Record(&FIELDS);
