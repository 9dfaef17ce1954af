//! Parses the arguments of a command and reports errors in the same format as other findings.

use std::ffi::OsString;
use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use pico_args::Arguments;
use vanillapick_platform::PlatformClient;

use crate::error::CommandError;

/// Default of `--timeout-ms`, the timeout of one call; a hundred times the usual latency of the platform.
const DEFAULT_TIMEOUT_MS: u64 = 2_000;

/// Arguments of a command that have not been consumed yet.
pub(crate) struct CommandArguments {
    rest: Arguments,
    command: &'static str,
}

impl CommandArguments {
    /// Moves leading platform options behind the command, since they are accepted in both positions.
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

    /// Consumes the name of the command: one word, or two if the first is a group.
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

    /// Consumes an optional option with a value; `usage` describes it in error messages, for example `--to POOL`.
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

    /// Consumes an optional option whose value is an integer number of milliseconds.
    pub(crate) fn millis(
        &mut self,
        key: &'static str,
        usage: &str,
    ) -> Result<Option<Duration>, CommandError> {
        Ok(self.option(key, usage)?.map(Duration::from_millis))
    }

    /// Consumes `--platform` and `--timeout-ms` and returns the client that they describe.
    pub(crate) fn platform(&mut self) -> Result<PlatformClient, CommandError> {
        let address: SocketAddr = self.required("--platform", "--platform IP:PORT")?;
        let timeout = self.millis("--timeout-ms", "--timeout-ms MILLISECONDS")?;
        let timeout = timeout.unwrap_or(Duration::from_millis(DEFAULT_TIMEOUT_MS));
        Ok(PlatformClient::new(address, timeout))
    }

    /// Consumes the next positional argument. All options must have been consumed before.
    pub(crate) fn positional(&mut self, placeholder: &str) -> Result<String, CommandError> {
        let word = self.optional_positional()?;
        word.ok_or_else(|| {
            self.invalid(format!("{placeholder} is missing"), &format!("write {placeholder}"))
        })
    }

    /// Consumes the next positional argument, if any. All options must have been consumed before.
    pub(crate) fn optional_positional(&mut self) -> Result<Option<String>, CommandError> {
        let word = self.rest.opt_free_from_str::<String>();
        let word = word.map_err(|error| self.invalid(error.to_string(), "write UTF-8 text"))?;
        match word {
            Some(word) if word.starts_with('-') => Err(self.unknown(&word)),
            word => Ok(word),
        }
    }

    /// Returns an error if any argument has not been consumed.
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
