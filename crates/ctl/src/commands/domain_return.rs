//! Implements `domain return NAME`.

use std::time::Duration;

use vanillapick_model::failure_domain::DomainState;

use crate::arguments::CommandArguments;
use crate::commands::domain_out::DomainConflictGuard;
use crate::commands::domain_out::require_domain;
use crate::context::CommandContext;
use crate::error::CommandError;
use crate::error::finding;
use crate::output::CommandOutput;
use crate::write::WriteSession;

pub(crate) const HELP: &str = "\
usage: vanillapick-ctl domain return NAME [--ramp SECONDS] --platform IP:PORT [--dry-run]

Returns a failure domain to service in all pools in which it is out, with a single edit. Its share increases from 0 to
the full share during the ramp, because its targets may be cold.

  --ramp SECONDS   time until the full share; 60 by default
  --dry-run        show the difference by row and write nothing

example:
  vanillapick-ctl domain return lima --ramp 120 --platform 127.0.0.1:7300
";

/// Twice the cold ramp of the targets in the examples.
const DEFAULT_RAMP_SECONDS: u64 = 60;

pub(crate) async fn run(
    context: &CommandContext,
    mut arguments: CommandArguments,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let session = WriteSession::new(&mut arguments)?;
    let seconds: Option<u32> = arguments.option("--ramp", "--ramp SECONDS")?;
    let name = arguments.positional("NAME")?;
    arguments.finish()?;

    let ramp = Duration::from_secs(seconds.map_or(DEFAULT_RAMP_SECONDS, u64::from));
    let returning = DomainState::Returning { since_ms: context.now_ms(), ramp };
    let mut guard = DomainConflictGuard::default();
    session
        .write(context, output, |current| {
            require_domain(current, &name)?;
            guard.check(current, &name, returning)?;
            let mut edited = current.clone();
            let mut is_out_anywhere = false;
            for row in edited.pools.values_mut() {
                if row.domain_state(&name) == DomainState::Out {
                    row.domains.insert(name.clone(), returning);
                    is_out_anywhere = true;
                }
            }
            if !is_out_anywhere {
                let label = format!("{name} is not out of service in any pool");
                let help = "`vanillapick-ctl show pools` shows the state of every failure domain";
                return Err(vec![finding("pools", label, help)]);
            }
            Ok(edited)
        })
        .await
}
