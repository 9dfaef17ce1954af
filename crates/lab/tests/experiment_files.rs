//! Validates all experiment files. Otherwise a misspelt route, phase or field would show only when the experiment runs.

use std::fs;
use std::path::Path;

use vanillapick_lab::experiment::experiment_file::ExperimentFile;

#[test]
fn every_experiment_file_is_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments");
    let entries = fs::read_dir(folder).expect("the folder can be listed").flatten();
    let files: Vec<_> = entries
        .map(|entry| entry.path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "jsonc"))
        .collect();
    assert!(!files.is_empty());
    for path in files {
        let file = ExperimentFile::read(&path.display().to_string());
        let file = file.unwrap_or_else(|error| panic!("{error}"));
        assert!(!file.bounds.is_empty(), "{} has no bounds", file.name);
    }
}
