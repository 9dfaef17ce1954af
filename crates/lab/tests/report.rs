//! Guards against a report whose table omits bounds that did not hold, and against missing plots.

use std::ffi::OsString;
use std::fs;
use std::path::Path;

use pico_args::Arguments;
use vanillapick_lab::report;

const RESULT: &str = r#"{
    "experiment": "sample", "seed": 3, "held": false,
    "figures": {
        "steady.all.p50_ms": 10.0, "steady.all.p99_ms": 30.0, "steady.all.p999_ms": 31.0,
        "moved.all.p50_ms": 11.0, "moved.all.p99_ms": 40.0, "moved.all.p999_ms": 45.0,
        "second.00.stock.lima": 5.0, "second.01.stock.lima": 1.0, "second.00.stock.lima.share": 1.0,
        "second.00.stock-next.lima": 0.0, "second.01.stock-next.lima": 4.0
    },
    "bounds": [
        { "name": "tail", "bound": "moved.all.p99_ms <= 35", "figure": 40.0, "held": false },
        { "name": "cut", "bound": "total.all.cut == 0", "figure": null, "held": false }
    ]
}"#;

#[test]
fn report_shows_each_bound_and_draws_its_plots() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("report");
    fs::create_dir_all(&folder).expect("the folder can be made");
    fs::write(folder.join("sample.json"), RESULT).expect("the file can be written");
    let arguments = vec![folder.clone().into_os_string(), "--commit".into(), OsString::from("abc")];
    let status = report::run_command(Arguments::from_vec(arguments));
    assert_eq!(format!("{status:?}"), format!("{:?}", std::process::ExitCode::SUCCESS));

    let table = fs::read_to_string(folder.join("results.md")).expect("the table");
    for line in [
        "at commit abc",
        "| sample | 3 | tail: `moved.all.p99_ms <= 35` | 40 | **no** |",
        "| sample | 3 | cut: `total.all.cut == 0` | none | **no** |",
    ] {
        assert!(table.contains(line), "{line} is not in\n{table}");
    }
    for (plot, text) in [("latency", "moved"), ("traffic", "stock-next")] {
        let drawn =
            fs::read_to_string(folder.join(format!("sample-{plot}.svg"))).expect("the plot");
        assert!(drawn.contains(text), "{plot} names {text}");
    }
}
