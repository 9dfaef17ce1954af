//! Guards the selection of recorded traces: at most ten are written, and frequent refusal codes do not displace rare
//! ones.

use std::fs;
use std::path::Path;

use vanillapick_lab::experiment::trace_selection::TraceSelection;
use vanillapick_policy::trace::SessionTrace;

fn incident(name: &str) -> SessionTrace {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../traces");
    let text = fs::read_to_string(folder.join(name)).expect("the trace can be read");
    SessionTrace::from_lines(&text).expect("a whole trace")
}

#[test]
fn the_most_remarkable_sessions_are_written() {
    let mut selection = TraceSelection::default();
    for _ in 0..9 {
        for name in ["replica-loss.jsonl", "straggler.jsonl", "overload.jsonl"] {
            selection.add(incident(name));
        }
        selection.add(incident("lost-write.jsonl"));
    }
    selection.add(incident("crashing-request.jsonl"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("trace_selection");
    let _ = fs::remove_dir_all(&folder);
    selection.write(&folder).expect("the folder can be written");
    let entries = fs::read_dir(&folder).expect("the folder can be listed").flatten();
    let texts: Vec<_> = entries
        .map(|entry| {
            let text = fs::read_to_string(entry.path()).expect("the trace can be read");
            (entry.file_name().into_string().expect("a name"), text)
        })
        .collect();
    assert_eq!(texts.len(), 10);
    let of = |prefix: &str, id: &str| {
        texts.iter().filter(|(name, text)| name.starts_with(prefix) && text.contains(id)).count()
    };
    assert_eq!(of("slowest", r#""request_id":"straggler""#), 4, "not the faster replica loss");
    assert_eq!(of("least-covered", r#""request_id":"overload""#), 3);
    assert_eq!(of("refused", r#""request_id":"crashing-request""#), 1);
}
