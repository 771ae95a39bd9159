//! Command `queues check`, which needs no server.

#[path = "support/fake_server.rs"]
#[allow(dead_code)]
mod fake_server;

use std::{fs, path::Path};

use acaciareel_platform::queues;
use acaciareel_testing::seeded_cases;
use fake_server::{ClientRun, run_client};
use proptest::prelude::*;
use serde_json::{Value, json};
use tempfile::TempDir;

const VALID: &str = r#"{
  "version": 7,
  "routes": [
    {"name": "r-1", "host": "a.example", "path_prefix": "/p/", "service": "s", "timeout_ms": 3000,
     "priority": 0, "max_attempts": 4, "slack_factor": 1.5, "target_duration_ms": 300}
  ],
  "services": [{"name": "s"}],
  "tenants": [{"name": "a", "api_keys": ["SECRET-1", "SECRET-2"], "weight": 2.5}]
}"#;

/// Writes a configuration; it exists as long as the folder.
fn write(folder: &TempDir, name: &str, text: &str) -> String {
    let file = folder.path().join(name);
    fs::write(&file, text).expect("configuration");
    file.to_str().expect("path").to_owned()
}

/// Runs the check of a configuration, with options of the client before the command.
fn check(options: &[&str], text: &str, in_force: Option<&str>) -> ClientRun {
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = write(&folder, "new.json", text);
    let mut args = options.to_vec();
    args.extend(["queues", "check", &file]);
    let in_force = in_force.map(|text| write(&folder, "current.json", text));
    if let Some(in_force) = &in_force {
        args.extend(["--in-force", in_force]);
    }
    let run = run_client(&[], &args);
    let folder = folder.path().to_str().expect("path");
    ClientRun {
        stdout: run.stdout.replace(&format!("{folder}/"), ""),
        stderr: run.stderr.replace(&format!("{folder}/"), ""),
        ..run
    }
}

/// Returns the valid configuration with some texts replaced.
fn changed(replacements: &[(&str, &str)]) -> String {
    let mut text = VALID.to_owned();
    for (from, to) in replacements {
        assert!(text.contains(from), "{from}");
        text = text.replace(from, to);
    }
    text
}

/// Guards against a valid configuration that is reported as faulty.
#[test]
fn a_sound_configuration_passes() {
    let run = check(&[], VALID, None);

    assert_eq!((run.code, run.stderr.as_str()), (Some(0), ""));
    let expected = "version 7: 1 routes, 1 services, 1 tenants: no errors, 0 warnings\n";
    assert_eq!(run.stdout, expected);
}

/// Guards against warnings that a script cannot tell from errors, and against wrong texts.
#[test]
fn warnings_have_their_own_exit_code() {
    let text = changed(&[(r#""max_attempts": 4"#, r#""max_attempts": 0"#)]);

    let run = check(&[], &text, None);

    assert_eq!((run.code, run.stderr.as_str()), (Some(6), ""));
    let expected = "version 7: 1 routes, 1 services, 1 tenants: no errors, 1 warnings\n\
                    warning: route \"r-1\": max_attempts is 0 and counts as 1 [attempts_zero]\n";
    assert_eq!(run.stdout, expected);
}

/// Guards against errors that differ from those of the leader, name no position, or exit like
/// warnings.
#[test]
fn errors_are_those_of_the_leader() {
    let cases = [
        changed(&[(r#""service": "s","#, r#""service": "x","#)]),
        changed(&[(r#""weight": 2.5"#, r#""weight": -1"#)]),
        changed(&[(r#"["SECRET-1","#, r#"[{"SECRET-1": 1},"#)]),
        changed(&[(r#""version": 7,"#, r#""version": 7,,"#)]),
    ];

    for text in cases {
        let expected = queues::decode(text.as_bytes()).expect_err("invalid");
        let run = check(&[], &text, None);
        let json = check(&["--json"], &text, None);

        let stderr = format!("error: new.json: {expected}\n");
        assert_eq!((run.code, run.stderr), (Some(1), stderr));
        assert_eq!((run.stdout.as_str(), json.stderr.as_str()), ("", ""));
        let body: Value = serde_json::from_str(&json.stdout).expect("JSON");
        let expected = json!({ "valid": false, "error": expected.to_string() });
        assert_eq!((json.code, body), (Some(1), expected));
    }
    let syntax = check(&[], "{\n  \"version\": 7,,\n}", None);
    assert!(syntax.stderr.contains("at line 2 column 16"), "{syntax:?}");
}

/// Guards against a file that cannot be read and passes, and an invalid configuration in force that
/// is taken for the new one.
#[test]
fn files_that_cannot_be_used_are_named() {
    let missing = run_client(&[], &["queues", "check", "/nonexistent/new.json"]);
    let in_force = check(&[], VALID, Some("{"));

    assert_eq!(missing.code, Some(1));
    let expected = "error: cannot read /nonexistent/new.json: ";
    assert!(missing.stderr.starts_with(expected), "{missing:?}");
    assert_eq!(in_force.code, Some(1));
    let expected = "error: current.json: invalid configuration: ";
    assert!(in_force.stderr.starts_with(expected), "{in_force:?}");
}

/// Guards against differences that are missed or misreported, and against a version that would be
/// sent in vain.
#[test]
fn differences_from_the_version_in_force_are_listed() {
    let new = changed(&[
        (r#""version": 7"#, r#""version": 8"#),
        (r#""max_attempts": 4"#, r#""max_attempts": 5"#),
        (r#""SECRET-1", "#, r#""SECRET-3", "SECRET-4", "#),
        (r#"{"name": "s"}"#, r#"{"name": "s", "standby": true}"#),
    ]);

    let run = check(&[], &new, Some(VALID));
    let same = check(&[], VALID, Some(VALID));

    assert_eq!(run.code, Some(0));
    let expected = "version 8: 1 routes, 1 services, 1 tenants: no errors, 0 warnings\n\
                    3 entries differ from version 7\n\
                    route \"r-1\": max_attempts 4 -> 5\n\
                    service \"s\": standby none -> true\n\
                    tenant \"a\": 2 API keys added, 1 withdrawn\n";
    assert_eq!(run.stdout, expected);
    assert_eq!(same.code, Some(6));
    assert!(same.stdout.contains("[version_not_higher]"), "{same:?}");
    let end = "0 entries differ from version 7\n";
    assert!(same.stdout.ends_with(end), "{same:?}");
}

/// Guards against a change of the documented JSON shape, on which scripts depend.
#[test]
fn json_has_the_documented_shape() {
    let new = changed(&[
        (r#""version": 7"#, r#""version": 6"#),
        (r#""max_attempts": 4"#, r#""max_attempts": 5"#),
    ]);

    let run = check(&["--json"], &new, Some(VALID));
    let alone = check(&["--json"], VALID, None);

    let body: Value = serde_json::from_str(&run.stdout).expect("JSON");
    let expected = json!({
        "valid": true, "version": 6, "routes": 1, "services": 1, "tenants": 1,
        "warnings": [{
            "code": "version_not_higher",
            "entry": { "kind": "configuration", "name": null },
            "text": "the version is not higher than 7, so that nothing would change"
        }],
        "in_force_version": 7,
        "differences": [{
            "change": "changed",
            "entry": { "kind": "route", "name": "r-1" },
            "fields": [{ "name": "max_attempts", "from": "4", "to": "5" }],
            "keys_added": 0, "keys_withdrawn": 0
        }]
    });
    assert_eq!((run.code, body), (Some(6), expected));
    let body: Value = serde_json::from_str(&alone.stdout).expect("JSON");
    assert_eq!(alone.code, Some(0));
    assert_eq!(
        (&body["in_force_version"], &body["differences"]),
        (&Value::Null, &Value::Null)
    );
    assert_eq!(body["warnings"], json!([]));
}

/// Guards against keys that get into terminals and logs of continuous integration.
#[test]
fn keys_are_never_printed() {
    let tenant = r#""api_keys": ["SECRET-1", "SECRET-2"]"#;
    let cases = [
        VALID.to_owned(),
        changed(&[(tenant, r#""api_keys": ["SECRET-1 ", ""]"#)]),
        changed(&[(tenant, r#""api_keys": "SECRET-1""#)]),
        changed(&[(tenant, r#""api_key": "SECRET-1""#)]),
        changed(&[(tenant, r#""api_keys": [], "weight": "SECRET-1""#)]),
        changed(&[("\"SECRET-2\"],", "\"SECRET-2\"")]),
    ];

    for new in &cases {
        for options in [&[][..], &["--json"]] {
            for in_force in [None, Some(VALID), Some(new.as_str())] {
                let run = check(options, new, in_force);
                assert!(!format!("{run:?}").contains("SECRET"), "{run:?}");
            }
        }
    }
}

/// Guards against help that does not tell how to use the command.
#[test]
fn help_has_an_example_and_the_exit_codes() {
    let run = run_client(&[], &["queues", "check", "--help"]);

    assert_eq!(run.code, Some(0));
    assert!(
        run.stdout
            .contains("queues check new.json --in-force current.json")
    );
    assert!(run.stdout.contains("6 valid, with warnings"), "{run:?}");
}

/// Returns the exit code for a file.
fn exit_code(file: &Path) -> Option<i32> {
    run_client(&[], &["queues", "check", file.to_str().expect("path")]).code
}

proptest! {
    // Each case starts a process.
    #![proptest_config(seeded_cases(64))]

    /// Guards against a configuration for which the command exits as valid and which the decoder
    /// rejects, or the other way round.
    #[test]
    fn the_exit_code_agrees_with_the_decoder(
        at in 0..VALID.len(),
        byte in prop_oneof![Just(b'0'), Just(b'-'), Just(b' '), Just(b'"'), any::<u8>()],
    ) {
        let mut body = VALID.as_bytes().to_vec();
        body[at] = byte;
        let folder = tempfile::tempdir().expect("temporary folder");
        let file = folder.path().join("new.json");
        fs::write(&file, &body).expect("configuration");

        let code = exit_code(&file);

        let accepted = matches!(code, Some(0 | 6));
        prop_assert!(accepted || code == Some(1), "{code:?}");
        prop_assert_eq!(accepted, queues::decode(&body).is_ok());
    }
}
