//! Arguments of a command, with errors in the form of all other findings.

use std::ffi::OsString;
use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use pico_args::Arguments;
use vanillapick_platform::PlatformClient;

use crate::error::CommandError;

/// Longest time for one call unless `--timeout-ms` says otherwise; a hundred times the platform's usual answer.
const DEFAULT_TIMEOUT_MS: u64 = 2_000;

/// Arguments that have not been taken yet.
pub(crate) struct CommandArguments {
    rest: Arguments,
    command: &'static str,
}

impl CommandArguments {
    /// Options of the platform may stand before the command as well.
    pub(crate) fn new(mut arguments: Vec<OsString>) -> Self {
        let is_platform_option =
            |argument: &OsString| argument == "--platform" || argument == "--timeout-ms";
        let pairs =
            arguments.chunks(2).take_while(|pair| pair.len() == 2 && is_platform_option(&pair[0]));
        let leading_count = 2 * pairs.count();
        arguments.rotate_left(leading_count);
        Self { rest: Arguments::from_vec(arguments), command: "vanillapick-ctl" }
    }

    pub(crate) fn set_command(&mut self, command: &'static str) {
        self.command = command;
    }

    /// The words that name the command: one, or two if the first one is a group.
    pub(crate) fn command_name(
        &mut self,
        is_group: fn(&str) -> bool,
    ) -> Result<String, CommandError> {
        let Some(mut words) = self.subcommand()? else { return Ok(String::new()) };
        if is_group(&words)
            && let Some(second) = self.subcommand()?
        {
            words.push(' ');
            words.push_str(&second);
        }
        Ok(words)
    }

    pub(crate) fn flag(&mut self, key: &'static str) -> bool {
        self.rest.contains(key)
    }

    /// The value of an option; `form` says what to write, for example `--to POOL`.
    pub(crate) fn option<T: FromStr<Err: Display>>(
        &mut self,
        key: &'static str,
        usage: &str,
    ) -> Result<Option<T>, CommandError> {
        let value = self.rest.opt_value_from_str(key);
        value.map_err(|error| self.invalid(error.to_string(), &format!("write {usage}")))
    }

    pub(crate) fn required<T: FromStr<Err: Display>>(
        &mut self,
        key: &'static str,
        usage: &str,
    ) -> Result<T, CommandError> {
        let value = self.option(key, usage)?;
        value.ok_or_else(|| self.invalid(format!("{key} is missing"), &format!("write {usage}")))
    }

    pub(crate) fn repeated_option<T: FromStr<Err: Display>>(
        &mut self,
        key: &'static str,
        usage: &str,
    ) -> Result<Vec<T>, CommandError> {
        let values = self.rest.values_from_str(key);
        values.map_err(|error| self.invalid(error.to_string(), &format!("write {usage}")))
    }

    /// A whole number of milliseconds.
    pub(crate) fn millis(
        &mut self,
        key: &'static str,
        usage: &str,
    ) -> Result<Option<Duration>, CommandError> {
        Ok(self.option(key, usage)?.map(Duration::from_millis))
    }

    /// The client of `--platform`.
    pub(crate) fn platform(&mut self) -> Result<PlatformClient, CommandError> {
        let address: SocketAddr = self.required("--platform", "--platform IP:PORT")?;
        let timeout = self.millis("--timeout-ms", "--timeout-ms MILLISECONDS")?;
        let timeout = timeout.unwrap_or(Duration::from_millis(DEFAULT_TIMEOUT_MS));
        Ok(PlatformClient::new(address, timeout))
    }

    /// The next argument without a key. All options must have been taken before.
    pub(crate) fn positional(&mut self, placeholder: &str) -> Result<String, CommandError> {
        let word = self.optional_positional()?;
        word.ok_or_else(|| {
            self.invalid(format!("{placeholder} is missing"), &format!("write {placeholder}"))
        })
    }

    /// The next argument without a key, if there is one. All options must have been taken before.
    pub(crate) fn optional_positional(&mut self) -> Result<Option<String>, CommandError> {
        let word = self.rest.opt_free_from_str::<String>();
        let word = word.map_err(|error| self.invalid(error.to_string(), "write UTF-8 text"))?;
        match word {
            Some(word) if word.starts_with('-') => Err(self.unknown(&word)),
            word => Ok(word),
        }
    }

    /// Refuses what has not been taken.
    pub(crate) fn finish(self) -> Result<(), CommandError> {
        let command = self.command;
        match self.rest.finish().first() {
            None => Ok(()),
            Some(argument) => Err(unknown_argument(command, &argument.to_string_lossy())),
        }
    }

    pub(crate) fn invalid(&self, label: String, help: &str) -> CommandError {
        CommandError::invalid_input(label, format!("arguments of `{}`", self.command), help)
    }

    fn unknown(&self, argument: &str) -> CommandError {
        unknown_argument(self.command, argument)
    }

    fn subcommand(&mut self) -> Result<Option<String>, CommandError> {
        self.rest.subcommand().map_err(|error| self.invalid(error.to_string(), "write UTF-8 text"))
    }
}

fn unknown_argument(command: &str, argument: &str) -> CommandError {
    CommandError::invalid_input(
        format!("unknown argument {argument:?}"),
        format!("arguments of `{command}`"),
        format!("`vanillapick-ctl {command} --help` shows an example"),
    )
}
