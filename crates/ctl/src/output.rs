//! Output and exit status of a command.

/// Output of a command, collected until it ends.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CommandOutput {
    /// Text for standard output.
    pub text: String,
    /// Text for standard error.
    pub errors: String,
}

impl CommandOutput {
    pub(crate) fn line(&mut self, line: &str) {
        self.text.push_str(line);
        self.text.push('\n');
    }
}

/// Outcome of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitStatus {
    /// The command succeeded.
    Done,
    /// An edit was refused or conflicts with another one; nothing was written.
    Refused,
    /// Arguments or a file are invalid; nothing was written.
    InvalidInput,
    /// The platform is unreachable, or it is unknown whether an edit was written.
    Unreachable,
}

impl ExitStatus {
    /// Numeric exit status of the process.
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::InvalidInput => 2,
            Self::Unreachable => 3,
        }
    }
}
