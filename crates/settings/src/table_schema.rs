//! Validation rules for a file with the routes and pools tables.

use crate::schema::FieldSchema;
use crate::schema::ValueSchema;
use crate::schema::defaults_to_min;
use crate::schema::optional;
use crate::schema::required;

/// Longest deadline of a caller, see section 4.1 of docs/design.md.
const MAX_DEADLINE_MS: u64 = 60_000;

const COUNT: ValueSchema = ValueSchema::Integer { min: 1, max: u32::MAX as u64 };
const INDEX: ValueSchema = ValueSchema::Integer { min: 0, max: u32::MAX as u64 };
const UINT64: ValueSchema = ValueSchema::Integer { min: 0, max: u64::MAX };

static ROUTE_CONTRACT: [FieldSchema; 5] = [
    required("class", ValueSchema::Integer { min: 0, max: u8::MAX as u64 }),
    required("deadline_ms", ValueSchema::Integer { min: 1, max: MAX_DEADLINE_MS }),
    required("least_coverage", ValueSchema::Fraction),
    optional("preference", ValueSchema::Choice(&["latency", "coverage"])),
    required("merge_size", COUNT),
];

const PROGRESS: ValueSchema = ValueSchema::Tagged(&[
    ("running", &[]),
    ("done", &[]),
    ("taken_back", &[required("reason", ValueSchema::Text)]),
]);

static MOVE: [FieldSchema; 5] = [
    required("id", ValueSchema::Name),
    required("to", ValueSchema::Name),
    required("start_ms", UINT64),
    required("finish_by_ms", UINT64),
    optional("progress", PROGRESS),
];

static ROUTE: ValueSchema = ValueSchema::Record(&[
    required("name", ValueSchema::Name),
    required("kind", ValueSchema::Choice(&["search", "read", "write"])),
    required("pool", ValueSchema::Name),
    required("contract", ValueSchema::Record(&ROUTE_CONTRACT)),
    optional("move", ValueSchema::Record(&MOVE)),
]);

static TARGET_CONTRACT: [FieldSchema; 5] = [
    required("slots", COUNT),
    required("connections", COUNT),
    required("connect_cost_ms", UINT64),
    required("cold_allowance", COUNT),
    required("cold_ramp_ms", UINT64),
];

static SHARD_MAP: ValueSchema =
    ValueSchema::Record(&[required("id", UINT64), required("shards", COUNT)]);

static TARGET: ValueSchema = ValueSchema::Record(&[
    required("id", ValueSchema::Name),
    required("address", ValueSchema::Address { allows_port_zero: false }),
    required("domain", ValueSchema::Name),
    required("shard_map", UINT64),
    required("shard", INDEX),
    optional("leaving", ValueSchema::Boolean),
]);

static DOMAIN: ValueSchema = ValueSchema::Tagged(&[
    ("serving", &[]),
    ("out", &[]),
    ("returning", &[required("since_ms", UINT64), required("ramp_ms", UINT64)]),
]);

static POOL: ValueSchema = ValueSchema::Record(&[
    required("name", ValueSchema::Name),
    required("contract", ValueSchema::Record(&TARGET_CONTRACT)),
    required("shard_maps", ValueSchema::List(&SHARD_MAP)),
    required("targets", ValueSchema::List(&TARGET)),
    optional("domains", ValueSchema::Map(&DOMAIN)),
]);

static BASE: [FieldSchema; 2] = [
    optional("routes", ValueSchema::Map(&ValueSchema::Text)),
    optional("pools", ValueSchema::Map(&ValueSchema::Text)),
];

static TABLES: [FieldSchema; 5] = [
    defaults_to_min("revision", UINT64),
    optional("edits", ValueSchema::List(&ValueSchema::Text)),
    optional("base", ValueSchema::Record(&BASE)),
    required("routes", ValueSchema::Map(&ROUTE)),
    required("pools", ValueSchema::Map(&POOL)),
];

/// Schema of a complete table file.
pub(crate) static CONFIG_TABLE: ValueSchema = ValueSchema::Record(&TABLES);
