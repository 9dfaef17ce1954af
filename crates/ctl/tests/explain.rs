//! Guards against `explain` omitting or misattributing log lines of a request.

use std::fs;
use std::path::PathBuf;

use insta::assert_snapshot;
use vanillapick_ctl::CommandOutput;
use vanillapick_ctl::run;

/// Log of host `h1`, as written by the process.
const FIRST: &str = r#"
{"timestamp":"2026-03-09T02:56:00.000000Z","level":"INFO","message":"configuration in force","before":3,"version":5}
{"timestamp":"2026-03-09T02:56:01.500000Z","level":"WARN","message":"store lost","fault":"the store did not reply in time"}
{"timestamp":"2026-03-09T02:56:05.161000Z","level":"INFO","message":"request ended","request_id":"r1","route":"search","version":5,"outcome":"partial","took_ms":64,"shards":90,"answered":88,"sent":92,"waiting":"t1:first:64ms t2:hedge:51ms","trouble":"t3: lost no reply: reset"}
{"timestamp":"2026-03-09T02:56:06.000000Z","level":"INFO","message":"configuration in force","before":5,"version":8}
not a line of a log
"#;

/// Lines of other hosts as written by a log collector, which prefixes each line with the host.
const OTHERS: &str = r#"
  25.1000 h2 {"timestamp":"2026-03-09T02:56:05.100000Z","level":"INFO","message":"request ended","request_id":"r2","waiting":"t1:first:104ms","trouble":""}
  25.9000 h3 {"timestamp":"2026-03-09T02:56:05.900000Z","level":"INFO","message":"request ended","request_id":"r3","waiting":"t1:first:104ms t4:first:104ms","trouble":""}
  29.0000 h3 {"timestamp":"2026-03-09T02:56:09.000000Z","level":"INFO","message":"request ended","request_id":"r4","waiting":"t1:first:104ms","trouble":""}
  29.5000 h3 {"timestamp":"2026-03-09T02:56:09.500000Z","level":"INFO","message":"request refused: no route","request_id":"r1","version":8,"path":"/x"}
"#;

/// Runs the command on temporary files, which replace the words `FIRST` and `OTHERS`. Each test uses its own folder
/// `name`, because tests run concurrently.
async fn explain(name: &str, words: &str) -> String {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::create_dir_all(&folder).expect("the temporary folder can be created");
    let (first, others) = (folder.join("h1.log"), folder.join("others.log"));
    fs::write(&first, FIRST).expect("the temporary file can be written");
    fs::write(&others, OTHERS).expect("the temporary file can be written");
    let files = [("FIRST", first.display().to_string()), ("OTHERS", others.display().to_string())];
    let typed = words.to_owned();
    let words = words.split(' ').map(|word| {
        let file = files.iter().find(|(name, _)| *name == word);
        file.map_or(word, |(_, path)| path).into()
    });
    let mut output = CommandOutput::default();
    let status = run(words.collect(), &mut output).await;
    let shown = files.iter().fold(format!("{}{}", output.text, output.errors), |shown, file| {
        shown.replace(&file.1, file.0)
    });
    format!("$ vanillapick-ctl {typed}\n{shown}[{}]\n", status.code())
}

/// Guards against output that lacks the state of the host at the time of the request, or shows state logged after it.
#[tokio::test]
async fn a_request_is_explained_from_the_logs_of_all_hosts() {
    assert_snapshot!(explain("all-hosts", "explain r1 FIRST OTHERS").await);
}

#[tokio::test]
async fn a_request_without_a_line_is_refused_with_help() {
    assert_snapshot!(explain("no-line", "explain r9 FIRST OTHERS").await);
}

#[tokio::test]
async fn a_file_that_cannot_be_read_is_named() {
    assert_snapshot!(explain("no-file", "explain r1 absent.log").await);
}
