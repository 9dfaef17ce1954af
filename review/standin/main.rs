//! Stand-ins and checks of the review's cases: `standin CASE FOLDER` runs one and writes `record.txt` into the folder.

use std::path::Path;

mod cold_window;
mod early_version;
mod failed_503;
mod late_refusal;
mod stale_evidence;
mod support;
mod switching_reply;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        std::process::exit(support::NOT_RUN);
    };
    let record = support::CaseRecord::create(Path::new(folder));
    let status = match case.as_str() {
        "late_refusal" => late_refusal::run(&record),
        "stale_evidence" => stale_evidence::run(&record),
        "failed_503" => failed_503::run(&record),
        "early_version" => early_version::run(&record),
        "switching_reply" => switching_reply::run(&record),
        "cold_window" => cold_window::run(&record),
        _ => support::NOT_RUN,
    };
    record.finish(status);
}
