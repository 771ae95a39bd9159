//! Arguments and exit codes of the daemon, and its start with a damaged data folder.

use std::{
    fs,
    path::Path,
    process::{Command, Output, Stdio},
};

use tempfile::TempDir;

fn run_daemon(arguments: &[&str]) -> Output {
    let output = Command::new(env!("CARGO_BIN_EXE_acaciareeld"))
        .args(arguments)
        .output();
    output.expect("daemon")
}

fn exit_code(output: &Output) -> i32 {
    output.status.code().expect("exit code")
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Writes the settings of one VM and its token file, and returns the path of the settings. The key
/// files that the settings name do not exist.
fn write_settings(folder: &Path) -> String {
    let file = folder.join("vm-1.ini");
    let text = "[vm]\nid = vm-1\nfailure_domain = east\ndata_folder = data\n\
        [listen]\nhttp = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
        [keys]\nauthority = ca.pem\ncertificate = vm-1.pem\nprivate_key = vm-1.key\n\
        [tokens]\noperators = tokens\ncallers = tokens\nworkers = tokens\n";
    fs::write(&file, text).expect("written file");
    fs::write(folder.join("tokens"), "token-0123456789").expect("written file");
    file.to_string_lossy().into_owned()
}

/// Guards against invalid settings that are reported only when the daemon starts, or without their
/// section and key.
#[test]
fn settings_are_checked_and_printed_without_starting() {
    let folder = TempDir::new().expect("temporary folder");
    let file = write_settings(folder.path());
    let wrong = folder.path().join("wrong.ini");
    fs::write(&wrong, "[vm]\nid = vm-1\nfailure_domian = east\n").expect("written file");

    let valid = run_daemon(&["--check-config", &file]);
    let shown = run_daemon(&["--config", &file, "--print-config"]);
    let refused = run_daemon(&["--check-config", &wrong.to_string_lossy()]);
    let usage = run_daemon(&["--confg", &file]);

    assert_eq!(
        (exit_code(&valid), valid.stdout.as_slice()),
        (0, &b"ok\n"[..])
    );
    let shown_text = String::from_utf8_lossy(&shown.stdout).into_owned();
    assert!(
        shown_text.contains(&format!("id = vm-1 ; {file}")),
        "{shown_text}"
    );
    assert!(
        shown_text.contains("stop_accept_ms = 5000ms ; default"),
        "{shown_text}"
    );
    assert_eq!(exit_code(&refused), 2);
    let reason = "[vm] failure_domian: unknown key \"failure_domian\"; did you mean \
        \"failure_domain\"?";
    assert!(stderr(&refused).contains(reason), "{}", stderr(&refused));
    assert_eq!(exit_code(&usage), 2);
}

/// Guards against a start with a state that differs from the one that the VM has confirmed to
/// others, and against an error that does not name the argument for recovery.
#[test]
fn a_damaged_data_folder_is_rejected_with_a_recovery_hint() {
    let folder = TempDir::new().expect("temporary folder");
    let file = write_settings(folder.path());
    let data = folder.path().join("data");
    fs::create_dir(&data).expect("data folder");
    fs::write(data.join("incarnation"), "vm-1 7 00000000\n").expect("written file");

    let damaged = run_daemon(&["--config", &file]);
    let set_aside = run_daemon(&["--config", &file, "--rejoin-as-new"]);

    assert_eq!(exit_code(&damaged), 3);
    assert!(
        stderr(&damaged).contains("--rejoin-as-new"),
        "{}",
        stderr(&damaged)
    );
    // The second start has a new incarnation and fails only at the missing keys.
    assert_eq!(exit_code(&set_aside), 1);
    assert!(
        stderr(&set_aside).contains("ca.pem"),
        "{}",
        stderr(&set_aside)
    );
    let incarnation = fs::read_to_string(data.join("incarnation")).expect("incarnation");
    assert!(!incarnation.starts_with("vm-1 7 "), "{incarnation}");
}

/// Guards against a panic when a reader such as `head` closes the pipe early.
#[test]
fn a_closed_pipe_is_no_error() {
    let folder = TempDir::new().expect("temporary folder");
    let file = write_settings(folder.path());
    let mut child = Command::new(env!("CARGO_BIN_EXE_acaciareeld"))
        .args(["--config", &file, "--print-config"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("daemon");

    drop(child.stdout.take());
    let output = child.wait_with_output().expect("ended daemon");

    assert_eq!((exit_code(&output), stderr(&output)), (0, String::new()));
}
