//! Tests of reading and validating the settings, and of their description in `docs/SETTINGS.md`.

use std::path::Path;

use acaciareel_settings::{IniFile, SettingsError, TablesFile};
use acaciareel_testing::seeded;
use proptest::prelude::*;

use crate::config::Config;

const VALID: &str = "[vm]\nid = vm-1\nfailure_domain = east\n\
    [listen]\nhttp = 127.0.0.1:7101\npeers = 127.0.0.1:7201\n\
    [peer vm-2]\naddress = 127.0.0.1:7202\nfailure_domain = east\n\
    [peer vm-3]\naddress = 127.0.0.1:7203\nfailure_domain = west\n\
    [keys]\nauthority = ca.pem\ncertificate = vm-1.pem\nprivate_key = vm-1.key\n\
    [tokens]\noperators = operators\ncallers = callers\nworkers = workers\n";

fn check(text: &str) -> Result<Config, SettingsError> {
    Config::try_from(IniFile::parse(Path::new("/etc/vm-1.ini"), text)?)
}

/// Guards against default voters that leave a group with too few members, or without a vote outside
/// its failure domain.
#[test]
fn groups_without_a_section_get_two_voters_inside_and_one_outside() {
    let config = check(VALID).expect("valid settings");

    let ledgers: Vec<_> = config
        .groups
        .iter()
        .map(|(group, voters)| format!("{group}:{}", voters.len()))
        .collect();

    assert_eq!(ledgers, ["tables:3", "ledger-east:3", "ledger-west:3"]);
}

/// Guards against settings that are silently ignored, or rejected without file, section and key.
#[test]
fn wrong_settings_are_refused_with_file_section_key_and_reason() {
    let cases = [
        (
            "[vm]",
            "[vm]\nsed = 3",
            "/etc/vm-1.ini: [vm] sed: unknown key \"sed\"; did you mean \"seed\"?",
        ),
        (
            "[tokens]",
            "[limit]\n[tokens]",
            "/etc/vm-1.ini: [limit] unknown section \"limit\"; did you mean \"limits\"?",
        ),
        (
            "id = vm-1",
            "id = one",
            "/etc/vm-1.ini: [vm] id: \"one\": \"one\" is not a VM id such as vm-3",
        ),
        (
            "http = 127.0.0.1:7101\n",
            "",
            "/etc/vm-1.ini: [listen] http: key is required",
        ),
        (
            "[tokens]",
            "[group tables]\nvoters = vm-1, vm-9\n[tokens]",
            "/etc/vm-1.ini: [group tables] voters: vm-9 has no section peer",
        ),
        (
            "[tokens]",
            "[limits]\nconnections = 3\n[tokens]",
            "/etc/vm-1.ini: [limits] connections: 3 is outside 16 to 65536",
        ),
    ];

    for (from, to, expected) in cases {
        let error = check(&VALID.replace(from, to)).expect_err("wrong settings");

        assert_eq!(error.to_string(), expected);
    }
}

/// Guards against printed settings without their origin.
#[test]
fn printed_settings_name_their_origin() {
    let printed = check(VALID).expect("valid settings").to_string();

    assert!(printed.contains("id = vm-1 ; /etc/vm-1.ini\n"));
    assert!(printed.contains("body_bytes = 262144 ; default\n"));
}

const PAGE: &str = include_str!("../../../../docs/SETTINGS.md");

/// Returns the known keys that the error about an unknown key lists.
fn listed(error: &SettingsError) -> Vec<String> {
    let (_, keys) = error.reason.rsplit_once(" are ").expect("list of keys");
    keys.split(", ").map(str::to_owned).collect()
}

/// Returns the row of a key in `docs/SETTINGS.md`.
fn row(section: &str, key: &str) -> Option<&'static str> {
    let (_, rest) = PAGE.split_once(&format!("\n### [{section}]"))?;
    let part = rest.split("\n#").next()?;
    part.lines()
        .find(|line| line.starts_with(&format!("| `{key}` |")))
}

/// Guards against keys that `docs/SETTINGS.md` does not describe.
#[test]
fn every_key_is_described() {
    let unknown = "zzzzzzzzzzzz = 1\n";
    let sections = [
        "vm",
        "listen",
        "keys",
        "tokens",
        "peer vm-2",
        "limits",
        "logs",
    ];
    let mut known = Vec::new();

    for section in sections.into_iter().chain(["group tables"]) {
        let head = format!("[{section}]\n");
        let text = if VALID.contains(&head) {
            VALID.replace(&head, &format!("{head}{unknown}"))
        } else {
            format!("{VALID}{head}{unknown}")
        };
        let error = check(&text).expect_err("unknown key");
        let title = section
            .replace("vm-2", "vm-N")
            .replace("group tables", "group NAME");
        known.extend(listed(&error).into_iter().map(|key| (title.clone(), key)));
    }
    for section in ["route KIND", "pool NAME", "quota TENANT"] {
        let text = format!("[{section}]\n{unknown}");
        let file = TablesFile::parse(Path::new("tables.ini"), &text).expect("sections");
        let error = file.check().expect_err("unknown key");
        known.extend(listed(&error).into_iter().map(|key| (section.into(), key)));
    }

    assert!(known.len() > 40, "{known:?}");
    for (section, key) in known {
        assert!(
            row(&section, &key).is_some(),
            "[{section}] {key} has no row"
        );
    }
}

/// Guards against defaults in `docs/SETTINGS.md` that differ from those of the code.
#[test]
fn every_default_is_described() {
    let config = check(VALID).expect("valid settings");
    let sections = ["limits", "logs"];

    for setting in &config.settings {
        if sections.contains(&setting.section.as_str()) && !setting.value.is_empty() {
            let row = row(&setting.section, &setting.key).expect("row");
            let default = format!("`{}`", setting.value);
            assert!(row.contains(&default), "{row} lacks {default}");
        }
    }
}

proptest! {
    #![proptest_config(seeded())]

    /// Guards against settings on which the daemon panics, or fails with an error without the
    /// file's name.
    #[test]
    fn any_change_of_the_settings_is_read_or_refused_with_its_file(
        line in 0..VALID.lines().count(),
        text in "[\\PC\t\r\n]{0,40}|[a-z_]{1,20} = [-0-9a-z.:, ]{0,30}|\\[[a-z 0-9-]{0,12}\\]",
    ) {
        let mut lines: Vec<&str> = VALID.lines().collect();
        lines[line] = &text;

        let result = check(&lines.join("\n"));

        if let Err(error) = result {
            prop_assert!(error.to_string().starts_with("/etc/vm-1.ini: "), "{}", error);
        }
    }
}

proptest! {
    #![proptest_config(seeded())]

    /// Guards against tables on which a daemon or the client panics, or fails with an error without
    /// the file's name.
    #[test]
    fn any_tables_are_read_or_refused_with_their_file(
        lines in proptest::collection::vec(
            "\\[(route|pool|quota|group) ?[a-z\\]]{0,3}\\]|(pool|groups|policy|effect|tasks|weight) ?[=:]? ?[-0-9a-z,]{0,12}|\\PC{0,20}",
            0..12,
        ),
    ) {
        let file = Path::new("tables.ini");

        let result = TablesFile::parse(file, &lines.join("\n")).and_then(|tables| tables.check());

        if let Err(error) = result {
            prop_assert!(error.to_string().starts_with("tables.ini: "), "{}", error);
        }
    }
}
