//! Tests of the checked settings.

use std::path::Path;

use acaciareel_settings::{IniFile, SettingsError};

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

/// Guards against defaults that leave a group without a majority outside one failure domain.
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

/// Guards against settings that are silently ignored or reported without their place.
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

/// Guards against a printed setting whose origin cannot be told.
#[test]
fn printed_settings_name_their_origin() {
    let printed = check(VALID).expect("valid settings").to_string();

    assert!(printed.contains("id = vm-1 ; /etc/vm-1.ini\n"));
    assert!(printed.contains("body_bytes = 262144 ; default\n"));
}
