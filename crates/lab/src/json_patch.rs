//! JSON merge patch (RFC 7396). Experiment files use it to modify presets, host settings and target behaviours.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Applies `patch` to `value` in place.
pub fn merge_patch(value: &mut Value, patch: &Value) {
    let Value::Object(changes) = patch else {
        *value = patch.clone();
        return;
    };
    if !value.is_object() {
        *value = Value::Object(serde_json::Map::new());
    }
    let Value::Object(fields) = value else { return };
    for (key, change) in changes {
        if change.is_null() {
            fields.remove(key);
        } else {
            merge_patch(fields.entry(key.clone()).or_insert(Value::Null), change);
        }
    }
}

/// Returns a copy of `value` with `patch` applied; fails if the result does not deserialize.
pub fn patched<T: DeserializeOwned + Serialize>(value: &T, patch: &Value) -> serde_json::Result<T> {
    let mut json = serde_json::to_value(value)?;
    merge_patch(&mut json, patch);
    serde_json::from_value(json)
}
