//! Implements `domain out NAME`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use vanillapick_model::failure_domain::DomainId;
use vanillapick_model::failure_domain::DomainState;
use vanillapick_model::pool::PoolId;
use vanillapick_model::table::ConfigTable;
use vanillapick_model::table::TableFinding;

use crate::arguments::CommandArguments;
use crate::context::CommandContext;
use crate::difference::to_json;
use crate::error::CommandError;
use crate::error::finding;
use crate::output::CommandOutput;
use crate::write::WriteSession;

pub(crate) const HELP: &str = "\
usage: vanillapick-ctl domain out NAME --platform IP:PORT [--dry-run]

Takes a failure domain out of service in all pools with a single edit: its targets receive no new requests. A warning
names the pools that would have no other target left.

  --dry-run   show the difference by row and write nothing

example:
  vanillapick-ctl domain out lima --platform 127.0.0.1:7300
";

pub(crate) async fn run(
    context: &CommandContext,
    mut arguments: CommandArguments,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let session = WriteSession::new(&mut arguments)?;
    let name = arguments.positional("NAME")?;
    arguments.finish()?;

    let mut unserved = Vec::new();
    let mut guard = DomainConflictGuard::default();
    session
        .write(context, output, |current| {
            require_domain(current, &name)?;
            guard.check(current, &name, DomainState::Out)?;
            let mut edited = current.clone();
            for row in edited.pools.values_mut() {
                row.domains.insert(name.clone(), DomainState::Out);
            }
            unserved = unserved_pools(&edited);
            Ok(edited)
        })
        .await?;
    for pool in unserved {
        output.line(&format!("warning: pool {pool} has no target in a serving failure domain"));
    }
    Ok(())
}

/// Returns a finding if no pool contains the failure domain, because the edit would have no effect.
pub(crate) fn require_domain(table: &ConfigTable, name: &str) -> Result<(), Vec<TableFinding>> {
    let mut known: BTreeSet<&DomainId> = BTreeSet::new();
    for row in table.pools.values() {
        known.extend(row.domains.keys());
        known.extend(row.targets.iter().map(|target| &target.domain));
    }
    if known.iter().any(|domain| *domain == name) {
        return Ok(());
    }
    let known = known.into_iter().cloned().collect::<Vec<_>>().join(", ");
    let label = format!("no pool contains the failure domain {name:?}");
    Err(vec![finding("pools", label, format!("failure domains of the pools: {known}"))])
}

/// Holds the states of a failure domain by pool as the command first read them. Other concurrent changes of a pool row
/// are kept, but an operator who returns a failure domain while another one takes it out must be told.
#[derive(Default)]
pub(crate) struct DomainConflictGuard {
    first: Option<BTreeMap<PoolId, DomainState>>,
}

impl DomainConflictGuard {
    /// Returns findings if another operator has changed a state since the first call to a value other than `own`.
    pub(crate) fn check(
        &mut self,
        table: &ConfigTable,
        domain: &str,
        own: DomainState,
    ) -> Result<(), Vec<TableFinding>> {
        let states = table.pools.values().map(|row| (row.name.clone(), row.domain_state(domain)));
        let states: BTreeMap<_, _> = states.collect();
        let first = self.first.get_or_insert_with(|| states.clone());
        let mut findings = Vec::new();
        for (pool, state) in &states {
            let is_kept = first.get(pool).is_none_or(|earlier| earlier == state);
            if is_kept || *state == own {
                continue;
            }
            let (own, other) = (to_json(&own), to_json(state));
            findings.push(finding(
                format!("pools.{pool}.domains.{domain}"),
                format!("the state was changed by another operator in the meantime: yours {own}, theirs {other}"),
                "nothing was written; agree with the other operator and repeat the command",
            ));
        }
        if findings.is_empty() { Ok(()) } else { Err(findings) }
    }
}

fn unserved_pools(table: &ConfigTable) -> Vec<String> {
    let rows = table.pools.values().filter(|row| {
        let is_out = |domain: &str| row.domain_state(domain) == DomainState::Out;
        !row.targets.is_empty() && row.targets.iter().all(|target| is_out(&target.domain))
    });
    rows.map(|row| row.name.clone()).collect()
}
