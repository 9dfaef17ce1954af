//! What a command takes from its surroundings.

use std::time::SystemTime;

use vanillapick_model::table::EditId;
use vanillapick_model::wall_clock::unix_ms;
use vanillapick_platform::config_edit::EditPatience;

/// Time and randomness of one command, as arguments so that sessions can be repeated.
#[derive(Clone, Debug)]
pub struct CommandContext {
    /// Wall time of the command.
    pub now: SystemTime,
    /// Unique to the command.
    pub edit_id: EditId,
    /// How often an edit is tried.
    pub patience: EditPatience,
    /// Whether reports on files have colours.
    pub color: bool,
}

impl CommandContext {
    /// The current time and a random edit id.
    pub fn current() -> Self {
        Self {
            now: SystemTime::now(),
            edit_id: format!("ctl-{:016x}", rand::random::<u64>()),
            patience: EditPatience::default(),
            color: false,
        }
    }

    /// Milliseconds from 1970 to the time of the command.
    pub(crate) fn now_ms(&self) -> u64 {
        unix_ms(self.now)
    }
}
