//! Guards against operator documentation with commands that the program rejects or that exit with another status than
//! documented. Runs every `vanillapick-ctl` command in a code block under docs/operators/, in the order of its page.

#[path = "../../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::collections::BTreeSet;
use std::ffi::OsString;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use vanillapick_ctl::CommandContext;
use vanillapick_ctl::CommandOutput;
use vanillapick_ctl::run_with_context;
use vanillapick_model::table::CONFIG_KEY;
use vanillapick_model::table::ConfigTable;
use vanillapick_platform::config_edit::EditRetryPolicy;
use vanillapick_settings::load_config_table;

use crate::stand_in::StandIn;

/// Address of the platform on the pages, replaced by that of the stand-in.
const PAGE_PLATFORM: &str = "127.0.0.1:7300";

/// Comment that follows a command with a nonzero exit status on a page.
const EXIT_NOTE: &str = "# exits with ";

/// Response of a host to `GET /status`.
const HOST_STATUS: &str = r#"{"host":"entry-1","domain":"lima","revision":1,"ready":true,"leaving":false,
    "rejected":null,"watches_store":true,"requests_running":0,"peer":{"bytes_in":1,"bytes_out":1,"cpu_us":1},
    "peers":[],"moves":[]}"#;

/// One command of a page.
struct PageCommand {
    line: usize,
    words: Vec<String>,
    /// File to which the output is redirected.
    output: Option<String>,
    exit: u8,
}

/// Platform, host and temporary files for the commands of one page.
struct PageRun {
    platform: StandIn,
    _host: StandIn,
    folder: PathBuf,
    commands: u32,
}

impl PageRun {
    /// Sets up the example tables and a file `tables-2.jsonc` with a pool `stock-2`, which the pages use.
    async fn start(page: &str) -> Self {
        let platform = StandIn::start().await;
        let host = StandIn::start().await;
        host.set_status(HOST_STATUS);
        platform.set_hosts(&format!(
            r#"[{{"id":"entry-1","domain":"lima","address":"{}"}}]"#,
            host.address
        ));
        let mut table = load_config_table(&root().join("examples/pajilla/tables.jsonc"))
            .expect("the example has no findings");
        table.revision = 1;
        platform.write(CONFIG_KEY, &json(&table));

        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("pages-{page}"));
        fs::create_dir_all(&folder).expect("the temporary folder can be created");
        fs::write(folder.join("tables-2.jsonc"), json(&second_version(&table)))
            .expect("the temporary file can be written");
        Self { platform, _host: host, folder, commands: 0 }
    }

    /// Runs one command, 10 s after the previous one; returns its exit status and output.
    async fn run(&mut self, command: &PageCommand) -> (u8, String) {
        self.commands += 1;
        let context = CommandContext {
            now: UNIX_EPOCH + Duration::from_secs(1_000_000 + 10 * u64::from(self.commands)),
            edit_id: format!("edit-{}", self.commands),
            retry_policy: EditRetryPolicy { max_attempts: 3, retry_delay: Duration::ZERO },
            color: false,
        };
        let mut words: Vec<OsString> =
            command.words.iter().map(|word| self.localize(word).into()).collect();
        if command.words.iter().any(|word| word == "--platform") {
            words.extend(["--timeout-ms".into(), "20000".into()]);
        }
        let mut output = CommandOutput::default();
        let status = run_with_context(&context, words, &mut output).await;
        if let Some(file) = &command.output {
            fs::write(self.folder.join(file), &output.text)
                .expect("the temporary file can be written");
        }
        (status.code(), format!("{}{}", output.text, output.errors))
    }

    /// Replaces the platform address and file names in a word of a page by those of the test.
    fn localize(&self, word: &str) -> String {
        if word == PAGE_PLATFORM {
            self.platform.address.to_string()
        } else if word.starts_with("examples/") {
            root().join(word).display().to_string()
        } else if word.ends_with(".json") || word.ends_with(".jsonc") {
            self.folder.join(word).display().to_string()
        } else {
            word.to_owned()
        }
    }
}

impl Drop for PageRun {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn json(table: &ConfigTable) -> String {
    serde_json::to_string(table).expect("tables have only string keys")
}

/// Tables with the pool `stock-2`, a copy of `stock-1` with other targets.
fn second_version(table: &ConfigTable) -> ConfigTable {
    let mut pool = table.pools["stock-1"].clone();
    pool.name = "stock-2".to_owned();
    for target in &mut pool.targets {
        target.id = target.id.replace("stock-1", "stock-2");
        target.address.set_port(target.address.port() + 1000);
    }
    ConfigTable { pools: [(pool.name.clone(), pool)].into(), ..ConfigTable::default() }
}

/// Returns the names and texts of all pages, sorted by name.
fn pages() -> Vec<(String, String)> {
    let folder = root().join("docs/operators");
    let entries = fs::read_dir(folder).expect("the folder of the pages can be listed");
    let mut pages: Vec<_> = entries
        .flatten()
        .filter(|entry| entry.path().extension().is_some_and(|extension| extension == "md"))
        .map(|entry| {
            let text = fs::read_to_string(entry.path()).expect("pages are UTF-8");
            (entry.file_name().to_string_lossy().into_owned(), text)
        })
        .collect();
    pages.sort();
    pages
}

/// Returns the commands in the code blocks of a page, which are fenced or indented by four spaces.
fn page_commands(text: &str) -> Vec<PageCommand> {
    let mut commands = Vec::new();
    let mut is_fenced = false;
    let mut lines = text.lines().enumerate();
    while let Some((index, line)) = lines.next() {
        if line.starts_with("```") {
            is_fenced = !is_fenced;
            continue;
        }
        let is_code = is_fenced || line.starts_with("    ");
        if !is_code || !line.trim().starts_with("vanillapick-ctl ") {
            continue;
        }
        let mut whole = line.trim().to_owned();
        while let Some(start) = whole.strip_suffix('\\') {
            let (_, next) = lines.next().expect("a line follows a backslash");
            whole = format!("{start} {}", next.trim());
        }
        commands.push(parse_command(index + 1, &whole));
    }
    commands
}

fn parse_command(line: usize, text: &str) -> PageCommand {
    let (text, exit) = match text.split_once(EXIT_NOTE) {
        Some((text, exit)) => (text, exit.trim().parse().expect("an exit status is a number")),
        None => (text, 0),
    };
    let (text, output) = match text.split_once(" > ") {
        Some((text, output)) => (text, Some(output.trim().to_owned())),
        None => (text, None),
    };
    let words = text.split_whitespace().skip(1).map(str::to_owned).collect();
    PageCommand { line, words, output, exit }
}

#[rocket::async_test]
async fn every_command_of_the_pages_ends_as_the_page_says() {
    let mut faults = Vec::new();
    let mut names = BTreeSet::new();
    for (page, text) in pages() {
        let mut run = PageRun::start(&page).await;
        for command in page_commands(&text) {
            let (exit, shown) = run.run(&command).await;
            if exit != command.exit {
                let PageCommand { line, words, exit: wanted, .. } = &command;
                let words = words.join(" ");
                faults.push(format!("{page}:{line}: {words}: {exit}, not {wanted}\n{shown}"));
            }
            names.extend(command.words.first().cloned());
        }
    }
    assert!(faults.is_empty(), "{}", faults.join("\n"));
    let all = ["check", "domain", "edit", "explain", "move", "pool", "route", "show", "status"];
    assert_eq!(names, all.map(str::to_owned).into());
}
