//! Reading and writing of tables as INI files.

use std::path::Path;

use acaciareel_settings::{TablesFile, nearest, tables_to_ini};
use acaciareel_types::RawTables;

const TABLES: &str = "\
; tables of the new site
[route ring-lookup]
pool = ledger
effect = idempotent
cpu_millicores = 500
memory_bytes = 1048576
time_limit_ms = 2000
run_time_ms = 50

  # an indented comment
  [pool   ledger]
  groups = khomas-a, khomas-b
  policy = batch
[quota club-7]
weight = 3
";

fn error_of(text: &str) -> String {
    let file = Path::new("tables.ini");
    let read = TablesFile::parse(file, text).and_then(|tables| tables.check());
    read.expect_err("wrong tables").to_string()
}

/// Guards against tables that change when they are written as an INI file and read again.
#[test]
fn tables_round_trip_through_ini() {
    let file = Path::new("tables.ini");
    let tables = TablesFile::parse(file, TABLES).expect("INI");
    let checked = tables.check().expect("valid tables");

    let written = tables_to_ini(&RawTables::from(&checked));
    let again = TablesFile::parse(file, &written).expect("INI");

    assert_eq!(tables.raw.pools[0].name, "ledger");
    assert_eq!(again.check().expect("valid tables"), checked);
}

/// Guards against an error that does not name file, section and key, and against lines that the INI
/// library would join or drop.
#[test]
fn errors_name_file_section_key_and_reason() {
    let cases = [
        (
            "effect = idempotent",
            "effect = twice",
            "tables.ini: [route ring-lookup] effect: \"twice\" is not one of idempotent, exclusive, once",
        ),
        (
            "[pool   ledger]",
            "[poll ledger]",
            "tables.ini: [poll ledger] unknown section; did you mean pool? sections are [route KIND], [pool NAME] and [quota TENANT]",
        ),
        (
            "[quota club-7]",
            "[quota]",
            "tables.ini: [quota] the section has no name",
        ),
        (
            "[quota club-7]",
            "[quota club-7",
            "tables.ini: line 14: a section does not end with ]",
        ),
        (
            "weight = 3",
            "  weight",
            "tables.ini: line 15: the line is no section, no comment and has no =",
        ),
        (
            "weight = 3",
            "weight = \\",
            "tables.ini: line 15: a value cannot go on in the next line",
        ),
        (
            "; tables of the new site",
            "weight = 3",
            "tables.ini: key \"weight\" stands before the first section",
        ),
        (
            "weight = 3",
            "weight = 3\n[quota club-7]",
            "tables.ini: [quota club-7] section appears twice",
        ),
        (
            "weight = 3",
            "weight = 3\nweight = 4",
            "tables.ini: [quota club-7] weight: key is set twice",
        ),
    ];

    for (from, to, expected) in cases {
        assert_eq!(error_of(&TABLES.replace(from, to)), expected, "{to}");
    }
}

/// Guards against a missing file that is read as empty tables.
#[test]
fn a_missing_file_is_an_error() {
    let folder = tempfile::tempdir().expect("temporary folder");

    let error = TablesFile::read(&folder.path().join("none.ini")).expect_err("missing file");

    assert!(error.reason.starts_with("cannot read: "), "{error}");
}

/// Guards against a suggestion that is not similar to the misspelt name.
#[test]
fn only_similar_names_are_suggested() {
    assert_eq!(
        nearest("queue_limt", &["policy", "queue_limit"]),
        Some("queue_limit")
    );
    assert_eq!(nearest("zzzz", &["policy", "queue_limit"]), None);
}
