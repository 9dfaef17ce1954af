//! Binary of the entry host server.

use std::process::ExitCode;

fn main() -> ExitCode {
    vanillapick_entry::command::run(pico_args::Arguments::from_env())
}
