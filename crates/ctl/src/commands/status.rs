//! Implements `status`.

use serde_json::json;
use vanillapick_platform::config_edit::read_config;

use crate::arguments::CommandArguments;
use crate::columns::align_columns;
use crate::columns::cells;
use crate::commands::move_status::move_state_text;
use crate::commands::move_status::share_text;
use crate::context::CommandContext;
use crate::error::CommandError;
use crate::hosts::HostResponse;
use crate::hosts::latest_update_age;
use crate::hosts::query_hosts;
use crate::output::CommandOutput;

pub(crate) const HELP: &str = "\
usage: vanillapick-ctl status [--json] --platform IP:PORT

Queries every host in the platform's host list and shows for each host the revision that it has applied, the age of the
latest update from it that its peers have, the bytes and CPU time of its exchange with peers, the revision that it
rejected, if any, and its moves. A host that does not answer is shown as such; the exit status is still 0.

  --json   print the answers of the hosts as JSON

example:
  vanillapick-ctl status --platform 127.0.0.1:7300
";

pub(crate) async fn run(
    _context: &CommandContext,
    mut arguments: CommandArguments,
    output: &mut CommandOutput,
) -> Result<(), CommandError> {
    let is_json = arguments.flag("--json");
    let client = arguments.platform()?;
    arguments.finish()?;

    let responses = query_hosts(&client).await?;
    let stored = read_config(&client).await;
    if is_json {
        let revision = stored.ok().map(|stored| stored.table.revision);
        let status = json!({ "store_revision": revision, "hosts": responses });
        output.line(&format!("{status:#}"));
        return Ok(());
    }
    match stored {
        Ok(stored) => output.line(&format!("store at revision {}", stored.table.revision)),
        Err(error) => output.line(&format!("store: {error}")),
    }
    output.text.push_str(&host_table(&responses));
    output.text.push_str(&detail_lines(&responses));
    Ok(())
}

fn host_table(responses: &[HostResponse]) -> String {
    let header = ["HOST", "DOMAIN", "STATE", "REVISION", "AGE", "PEER IN", "PEER OUT", "PEER CPU"];
    let mut lines = vec![cells(header)];
    for response in responses {
        let mut line = vec![response.entry.id.clone(), response.entry.domain.clone()];
        line.push(state_text(response));
        if let Some(status) = &response.status {
            line.push(status.revision.to_string());
        } else {
            line.push("-".to_owned());
        }
        let age = latest_update_age(responses, &response.entry.id);
        line.push(age.map_or("-".to_owned(), |age| format!("{age} ms")));
        if let Some(status) = &response.status {
            line.push(format!("{} B", status.peer.bytes_in));
            line.push(format!("{} B", status.peer.bytes_out));
            line.push(format!("{} us", status.peer.cpu_us));
        }
        lines.push(line);
    }
    align_columns(&lines)
}

fn state_text(response: &HostResponse) -> String {
    let state = match &response.status {
        None => "no answer",
        Some(status) if status.leaving || response.entry.leaving => "leaving",
        Some(status) if status.ready => "ready",
        Some(_) => "not ready",
    };
    state.to_owned()
}

/// Formats errors, rejected revisions and moves, which do not fit into a column.
fn detail_lines(responses: &[HostResponse]) -> String {
    let mut text = String::new();
    for response in responses {
        let id = &response.entry.id;
        if let Some(error) = &response.error {
            text.push_str(&format!("{id}: no answer: {error}\n"));
        }
        let Some(status) = &response.status else { continue };
        if let Some(rejected) = &status.rejected {
            text.push_str(&format!("{id}: did not accept revision {}\n", rejected.revision));
            for finding in &rejected.findings {
                text.push_str(&format!("    {}\n", finding_text(finding)));
            }
        }
        for view in &status.moves {
            let (share, state) = (share_text(view), move_state_text(view));
            text.push_str(&format!("{id}: {} {}: {share}, {state}\n", view.route, view.move_id));
        }
    }
    text
}

/// Formats a finding as `place: label; help`, or as received if it has another structure.
fn finding_text(finding: &serde_json::Value) -> String {
    let part = |name: &str| finding.get(name).and_then(serde_json::Value::as_str);
    match (part("place"), part("label"), part("help")) {
        (Some(place), Some(label), Some(help)) => format!("{place}: {label}; {help}"),
        _ => finding.as_str().map_or_else(|| finding.to_string(), str::to_owned),
    }
}
