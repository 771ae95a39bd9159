//! Commands of operators against a fake server.

#[path = "support/fake_server.rs"]
#[allow(dead_code)]
mod fake_server;

use std::{fs, net::SocketAddr};

use fake_server::{ClientRun, FakeServer, Reply, json_reply, refusing_address, run_client};
use tempfile::TempDir;

const TABLES: &str = "\
[route ring-lookup]
pool = ledger
effect = idempotent
cpu_millicores = 500
memory_bytes = 1048576
time_limit_ms = 2000
run_time_ms = 50
[pool ledger]
groups = khomas-a
policy = batch
";

/// Writes a tables file; it exists as long as the returned folder.
fn tables_file(text: &str) -> (TempDir, String) {
    let folder = tempfile::tempdir().expect("temporary folder");
    let file = folder.path().join("tables.ini");
    fs::write(&file, text).expect("tables file");
    let path = file.to_str().expect("path").to_owned();
    (folder, path)
}

fn apply(servers: &[SocketAddr], text: &str) -> ClientRun {
    let (_folder, file) = tables_file(text);
    let args = [
        "--rounds",
        "1",
        "tables",
        "apply",
        &file,
        "--expected-version",
        "6",
    ];
    run_client(servers, &args)
}

/// Returns the operation id of the first change that a server received.
fn operation_id_of(server: &FakeServer) -> String {
    let body: serde_json::Value = serde_json::from_str(&server.received()[0].body).expect("JSON");
    assert_eq!(body["expected_version"], 6);
    body["operation_id"]
        .as_str()
        .expect("operation id")
        .to_owned()
}

/// Guards against a change that is applied twice because the resend has another operation id.
#[test]
fn a_change_is_resent_under_the_same_operation_id() {
    let lost = FakeServer::start([Reply::CloseConnection]);
    let leaderless = FakeServer::start([json_reply(503, r#"{"outcome":"unavailable"}"#)]);
    let server = FakeServer::start([json_reply(200, r#"{"outcome":"accepted","version":7}"#)]);

    let run = apply(
        &[
            refusing_address(),
            lost.address,
            leaderless.address,
            server.address,
        ],
        TABLES,
    );

    assert_eq!(
        (run.code, run.stdout.as_str()),
        (Some(0), "accepted as version 7\n")
    );
    assert_eq!(server.received()[0].request_line, "PUT /v1/tables");
    assert_eq!(
        run.stderr,
        format!("operation id: {}\n", operation_id_of(&server))
    );
    assert_eq!(operation_id_of(&lost), operation_id_of(&server));
    assert_eq!(operation_id_of(&leaderless), operation_id_of(&server));
}

/// Guards against a script that takes one outcome for another because of a wrong exit code.
#[test]
fn each_outcome_of_a_change_has_its_exit_code() {
    let conflict = FakeServer::start([json_reply(409, r#"{"outcome":"conflict","version":9}"#)]);
    let invalid = FakeServer::start([json_reply(
        400,
        r#"{"outcome":"invalid","reason":"[pool x]"}"#,
    )]);
    let forbidden = FakeServer::start([json_reply(403, r#"{"error":"no","verdict":"not_run"}"#)]);
    let lost = FakeServer::start([Reply::CloseConnection]);
    let lost_then_forbidden = FakeServer::start([
        Reply::CloseConnection,
        json_reply(403, r#"{"error":"no","verdict":"not_run"}"#),
    ]);

    let cases = [
        (
            vec![conflict.address],
            5,
            "error: conflict: the current version is 9; nothing was changed\n",
        ),
        (vec![invalid.address], 1, "error: invalid: [pool x]\n"),
        (vec![forbidden.address], 1, "error: no (403 Forbidden)\n"),
        (
            vec![refusing_address()],
            3,
            "error: the tables were not changed: no server answered: ",
        ),
        (
            vec![refusing_address(), lost.address],
            4,
            "error: the tables may have been changed: no server answered: ",
        ),
        (
            vec![lost_then_forbidden.address; 2],
            4,
            "error: the tables may have been changed: no (403 Forbidden); ",
        ),
    ];

    for (servers, code, text) in cases {
        let run = apply(&servers, TABLES);
        assert_eq!(run.code, Some(code), "{run:?}");
        assert!(run.stderr.contains(text), "{run:?}");
        assert_eq!(run.stderr.lines().count(), 2, "{run:?}");
    }
}

/// Guards against invalid tables that are sent to a server instead of being rejected locally.
#[test]
fn invalid_tables_are_reported_and_not_sent() {
    let server = FakeServer::start([json_reply(200, r#"{"outcome":"accepted","version":7}"#)]);
    let invalid = TABLES.replace("policy = batch", "policy = best");
    let (_folder, file) = tables_file(&invalid);
    let message = format!(
        "error: the tables are wrong: {file}: [pool ledger] policy: \"best\" is not one of service, batch, gang\n"
    );

    let applied = apply(&[server.address], &invalid);
    let checked = run_client(&[], &["tables", "check", &file]);

    assert_eq!(applied.code, Some(1));
    assert_eq!(server.received().len(), 0);
    assert_eq!((checked.code, checked.stderr), (Some(1), message));
}

/// Guards against output of `tables show` that cannot be checked and applied again.
#[test]
fn shown_tables_are_a_valid_file() {
    let body = r#"{"version":7,"tables":{"pools":[{"name":"ledger","settings":[
        {"key":"groups","value":"khomas-a"},{"key":"policy","value":"batch"}]}]}}"#;
    let server = FakeServer::start([json_reply(200, body)]);

    let shown = run_client(&[server.address], &["tables", "show"]);
    let (_folder, file) = tables_file(&shown.stdout);
    let checked = run_client(&[], &["tables", "check", &file]);

    assert!(
        shown.stdout.starts_with("; version 7\n[pool ledger]\n"),
        "{shown:?}"
    );
    assert_eq!(checked.stdout, "0 routes, 1 pools, 0 quotas: no errors\n");
}

/// Returns a list of VMs with these versions of the tables; a VM with version 5 is unreachable.
fn vm_list(versions: [u64; 3]) -> Reply {
    let vm = |(i, version): (usize, u64)| {
        format!(
            r#"{{"vm":"vm-{}","failure_domain":"d1","reachable":{},"stopping":false,"tables_version":{version},"placer":false}}"#,
            i + 1,
            version != 5,
        )
    };
    let vms: Vec<_> = versions.into_iter().enumerate().map(vm).collect();
    json_reply(200, &format!(r#"{{"vms":[{}]}}"#, vms.join(",")))
}

/// Guards against a wait that ends before each VM has the version, or that does not name the VMs
/// that lag.
#[test]
fn wait_ends_with_the_last_vm_or_names_lagging_vms() {
    let server = FakeServer::start([vm_list([6, 6, 7]), vm_list([7, 6, 8]), vm_list([7, 7, 8])]);
    let lagging = FakeServer::start([vm_list([7, 6, 5])]);
    let args = ["tables", "wait", "--version", "7", "--timeout-ms"];

    let done = run_client(&[server.address], &[&args[..], &["600000"]].concat());
    let failed = run_client(&[lagging.address], &[&args[..], &["0"]].concat());

    assert_eq!(
        (done.code, done.stdout.as_str()),
        (Some(0), "version 7 is in force on 3 VMs\n")
    );
    assert_eq!(server.received().len(), 3);
    let message = "error: version 7 is not in force on vm-2 (version 6), vm-3 (unreachable, last version 5)\n";
    assert_eq!((failed.code, failed.stderr.as_str()), (Some(1), message));
}

/// Guards against a list without one of its columns, or a command that calls a wrong path.
#[test]
fn lists_are_printed_as_columns() {
    let report = r#"{"worker":"w-1","incarnation":1,"sequence":2,"address":"10.0.0.9:7100",
        "failure_domain":"d1","rack":"r-1","group":"khomas-a","token":3,"leaving":false,
        "capacity":{"cpu_millicores":1,"memory_bytes":2,"accelerators":0,"slots":8,"connections":60}}"#;
    let workers =
        format!(r#"{{"workers":[{{"report":{report},"report_age_ms":40,"state":"active"}}]}}"#);
    let status = r#"{"vm":"vm-1","failure_domain":"d1","incarnation":4,"tables_version":7,
        "stopping":false,"placer":true,"vms":7,"reachable_vms":6,"workers":50,"active_workers":48}"#;
    let history = r#"{"changes":[{"version":7,"operation_id":"op-1"}]}"#;
    let cases = [
        (
            "workers",
            "GET /v1/workers",
            workers.as_str(),
            "w-1     d1      r-1   khomas-a  active  0        8      10.0.0.9:7100  40ms\n",
        ),
        (
            "status",
            "GET /v1/status",
            status,
            "reachable VMs   6 of 7\n",
        ),
        (
            "tables history",
            "GET /v1/tables/history",
            history,
            "7        op-1\n",
        ),
        (
            "drain w-1",
            "POST /v1/workers/w-1/drain",
            "",
            "w-1 is draining\n",
        ),
    ];

    for (command, line, body, expected) in cases {
        let server = FakeServer::start([json_reply(200, body)]);
        let args: Vec<_> = command.split(' ').collect();
        let run = run_client(&[refusing_address(), server.address], &args);

        assert_eq!((run.code, run.stderr.as_str()), (Some(0), ""), "{command}");
        assert!(run.stdout.contains(expected), "{command}: {}", run.stdout);
        assert_eq!(server.received()[0].request_line, line);
    }
    let server = FakeServer::start([vm_list([7, 7, 5])]);
    let listed = run_client(&[server.address], &["vms"]);
    assert!(
        listed
            .stdout
            .ends_with("vm-3  d1      no         no        no      5\n"),
        "{listed:?}"
    );
}

/// Guards against invalid arguments that give the exit code of a failed request.
#[test]
fn wrong_arguments_are_usage_errors() {
    let cases: [&[&str]; 6] = [
        &["tables"],
        &["workers"],
        &["--server", "10.0.0.1", "workers"],
        &["--server", "10.0.0.1:7000", "--rounds", "0", "workers"],
        &["--server", "10.0.0.1:7000", "drain", "bad worker"],
        &["keys", "--out", "keys"],
    ];

    for args in cases {
        let run = run_client(&[], args);
        assert_eq!(run.code, Some(2), "{run:?}");
        assert!(
            run.stderr.starts_with("error: ") && run.stdout.is_empty(),
            "{run:?}"
        );
    }
    let help = run_client(&[], &["--help"]);
    assert_eq!((help.code, help.stderr.as_str()), (Some(0), ""));
}

/// Guards against an error that is not JSON under `--json`, and against a token file that is
/// accepted although it holds no token.
#[test]
fn errors_are_json_on_request() {
    let (_folder, file) = tables_file("# no token\n");
    let args = ["--json", "--token-file", &file, "vms"];

    let run = run_client(&[refusing_address()], &args);

    let error: serde_json::Value = serde_json::from_str(&run.stderr).expect("JSON");
    let text = format!("cannot use the token file {file}: it holds no token");
    assert_eq!((run.code, &error["exit_code"]), (Some(1), &1.into()));
    assert_eq!(error["error"], text);
}

/// Guards against key files that other users can read, and against a run that overwrites files of
/// an earlier set.
#[test]
fn keys_are_private_and_never_replaced() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let out = folder.path().join("keys");
    let path = out.to_str().expect("path");
    let args = [
        "keys", "--out", path, "--vm", "vm-2", "--vm", "1", "--tenant", "loft-1",
    ];

    let first = run_client(&[], &args);
    let read = |name: &str| fs::read_to_string(out.join(name)).expect("file");
    let authority = read("ca.pem");
    let second = run_client(&[], &args);

    let files = "ca.pem vm-1.pem vm-1.key vm-2.pem vm-2.key operators.token workers.token \
        caller-loft-1.token callers.token";
    assert_eq!(first.code, Some(0), "{first:?}");
    assert_eq!(first.stdout.lines().collect::<Vec<_>>().join(" "), files);
    assert!(read("vm-1.pem").starts_with("-----BEGIN CERTIFICATE-----"));
    assert_eq!(
        read("callers.token"),
        format!("{} loft-1\n", read("caller-loft-1.token").trim())
    );
    assert_eq!(second.code, Some(1), "{second:?}");
    assert_eq!(read("ca.pem"), authority);
    #[cfg(unix)]
    for name in files.split(' ') {
        let metadata = fs::metadata(out.join(name)).expect("file");
        let mode = std::os::unix::fs::PermissionsExt::mode(&metadata.permissions());
        assert_eq!(mode & 0o777, 0o600, "{name}");
    }
}
