//! The daemon's arguments, its exit codes and its start with a damaged data folder.

use std::{
    fs,
    path::Path,
    process::{Command, Output, Stdio},
};

use tempfile::TempDir;

fn run(arguments: &[&str]) -> Output {
    let output = Command::new(env!("CARGO_BIN_EXE_acaciareeld"))
        .args(arguments)
        .output();
    output.expect("daemon")
}

fn code(output: &Output) -> i32 {
    output.status.code().expect("exit code")
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Writes settings with a data folder that another VM's tokens and keys are not needed for.
fn settings(folder: &Path) -> String {
    let file = folder.join("vm-1.ini");
    let text = "[vm]\nid = vm-1\nfailure_domain = east\ndata_folder = data\n\
        [listen]\nhttp = 127.0.0.1:0\npeers = 127.0.0.1:0\n\
        [keys]\nauthority = ca.pem\ncertificate = vm-1.pem\nprivate_key = vm-1.key\n\
        [tokens]\noperators = tokens\ncallers = tokens\nworkers = tokens\n";
    fs::write(&file, text).expect("written file");
    fs::write(folder.join("tokens"), "token-0123456789").expect("written file");
    file.to_string_lossy().into_owned()
}

/// Guards against wrong settings that are found only when the daemon starts, or without a place.
#[test]
fn settings_are_checked_and_shown_without_a_start() {
    let folder = TempDir::new().expect("temporary folder");
    let file = settings(folder.path());
    let wrong = folder.path().join("wrong.ini");
    fs::write(&wrong, "[vm]\nid = vm-1\nfailure_domian = east\n").expect("written file");

    let valid = run(&["--check-config", &file]);
    let shown = run(&["--config", &file, "--print-config"]);
    let refused = run(&["--check-config", &wrong.to_string_lossy()]);
    let usage = run(&["--confg", &file]);

    assert_eq!((code(&valid), valid.stdout.as_slice()), (0, &b"ok\n"[..]));
    let shown_text = String::from_utf8_lossy(&shown.stdout).into_owned();
    assert!(
        shown_text.contains(&format!("id = vm-1 ; {file}")),
        "{shown_text}"
    );
    assert!(
        shown_text.contains("stop_accept_ms = 5000ms ; default"),
        "{shown_text}"
    );
    assert_eq!(code(&refused), 2);
    let reason = "[vm] failure_domian: unknown key \"failure_domian\"; did you mean \
        \"failure_domain\"?";
    assert!(stderr(&refused).contains(reason), "{}", stderr(&refused));
    assert_eq!(code(&usage), 2);
}

/// Guards against a start with a state that differs from what was promised, and against an
/// operator who is not told the way out.
#[test]
fn a_damaged_data_folder_refuses_to_start_and_names_the_way_out() {
    let folder = TempDir::new().expect("temporary folder");
    let file = settings(folder.path());
    let data = folder.path().join("data");
    fs::create_dir(&data).expect("data folder");
    fs::write(data.join("incarnation"), "vm-1 7 00000000\n").expect("written file");

    let damaged = run(&["--config", &file]);
    let set_aside = run(&["--config", &file, "--rejoin-as-new"]);

    assert_eq!(code(&damaged), 3);
    assert!(
        stderr(&damaged).contains("--rejoin-as-new"),
        "{}",
        stderr(&damaged)
    );
    // The second start gets as far as the missing keys, with a new incarnation.
    assert_eq!(code(&set_aside), 1);
    assert!(
        stderr(&set_aside).contains("ca.pem"),
        "{}",
        stderr(&set_aside)
    );
    let incarnation = fs::read_to_string(data.join("incarnation")).expect("incarnation");
    assert!(!incarnation.starts_with("vm-1 7 "), "{incarnation}");
}

/// Guards against a panic where a reader such as `head` closes the pipe early.
#[test]
fn a_closed_pipe_is_no_error() {
    let folder = TempDir::new().expect("temporary folder");
    let file = settings(folder.path());
    let mut child = Command::new(env!("CARGO_BIN_EXE_acaciareeld"))
        .args(["--config", &file, "--print-config"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("daemon");

    drop(child.stdout.take());
    let output = child.wait_with_output().expect("ended daemon");

    assert_eq!((code(&output), stderr(&output)), (0, String::new()));
}
