//! What a command prints and how it ends.

/// Text that a command prints.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CommandOutput {
    /// For standard output.
    pub text: String,
    /// For standard error.
    pub errors: String,
}

impl CommandOutput {
    pub(crate) fn line(&mut self, line: &str) {
        self.text.push_str(line);
        self.text.push('\n');
    }
}

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExitStatus {
    /// The command did what was asked.
    Done,
    /// An edit was refused or conflicts with another one; nothing was written.
    Refused,
    /// Arguments or a file are wrong; nothing was written.
    InvalidInput,
    /// The platform cannot be reached, or it is not known whether an edit was written.
    Unreachable,
}

impl ExitStatus {
    /// Exit status of the process.
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::InvalidInput => 2,
            Self::Unreachable => 3,
        }
    }
}
