//! Stand-ins and checks of the scripts of the second review: `standin CASE RECORD`, with TROUBLE=0 for the same without the
//! disruption; `standin chaos SEED SECONDS CORES` and `standin rollout-empty RECORD` explore.

mod chaos;
mod cold;
mod host;
mod net;
mod rollback;
mod rollout;
mod settings;
mod site;
mod store;
mod target;
mod text;

use site::Record;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let number = |index: usize| arguments.get(index).and_then(|text| text.parse().ok());
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = || Record::create(arguments.get(2).map_or("record.txt", String::as_str));
    let status = match arguments.get(1).map(String::as_str) {
        Some("chaos") => {
            let cores = number(4).unwrap_or(1);
            chaos::run(number(2).unwrap_or(1), number(3).unwrap_or(20), cores as u32)
        }
        Some("cold") => cold::run(record(), has_trouble),
        Some("rollout") => rollout::run(record(), has_trouble, true),
        Some("rollout-empty") => rollout::run(record(), has_trouble, false),
        Some("settings") => settings::run(record(), has_trouble),
        Some("rollback") => rollback::run(record(), has_trouble),
        _ => 2,
    };
    std::process::exit(status);
}
