//! Inputs of a command other than its arguments.

use std::time::SystemTime;

use vanillapick_model::table::EditId;
use vanillapick_model::wall_clock::unix_ms;
use vanillapick_platform::config_edit::EditRetryPolicy;

/// Time, edit id and retry policy of one command. They are passed in so that sessions are reproducible.
#[derive(Clone, Debug)]
pub struct CommandContext {
    /// Wall-clock time at which the command runs.
    pub now: SystemTime,
    /// Identifies the edit that the command makes; unique per command.
    pub edit_id: EditId,
    /// Limits the number of attempts of an edit.
    pub retry_policy: EditRetryPolicy,
    /// Whether reports on files contain terminal colour codes.
    pub color: bool,
}

impl CommandContext {
    /// Creates a context with the current time and a random edit id.
    pub fn current() -> Self {
        Self {
            now: SystemTime::now(),
            edit_id: format!("ctl-{:016x}", rand::random::<u64>()),
            retry_policy: EditRetryPolicy::default(),
            color: false,
        }
    }

    /// Time of the command as a Unix time in milliseconds.
    pub(crate) fn now_ms(&self) -> u64 {
        unix_ms(self.now)
    }
}
