//! `acaciareel request` against a fake server.

#[path = "support/fake_server.rs"]
#[allow(dead_code)]
mod fake_server;

use std::{fs, net::SocketAddr};

use fake_server::{ClientRun, FakeServer, Reply, json_reply, refusing_address, run_client};

const SUBMIT: [&str; 7] = [
    "request",
    "submit",
    "slot-check",
    "--tenant",
    "shop-7",
    "--key",
    "d1/key-1",
];

fn submit(servers: &[SocketAddr], more: &[&str]) -> ClientRun {
    run_client(servers, &[&SUBMIT, more].concat())
}

fn ran_reply(ok: bool, body: &str) -> Reply {
    let headers = vec![
        ("Acaciareel-Verdict", "ran".into()),
        ("Acaciareel-Answer-Ok", ok.to_string()),
        ("Acaciareel-Waited-Ms", "12".into()),
    ];
    Reply::Respond(200, headers, body.into())
}

fn verdict_reply(status: u16, verdict: &str, reason: &str) -> Reply {
    let body = format!(r#"{{"verdict":"{verdict}","reason":"{reason}","retry_after_ms":500}}"#);
    let headers = vec![
        ("Acaciareel-Verdict", verdict.into()),
        ("Acaciareel-Waited-Ms", "3".into()),
    ];
    Reply::Respond(status, headers, body)
}

fn error_reply(status: u16, verdict: &str) -> Reply {
    let body = format!(r#"{{"error":"the token is not known","verdict":"{verdict}"}}"#);
    json_reply(status, &body)
}

/// Returns the attempt numbers in the order in which a server received them.
fn attempts(server: &FakeServer) -> Vec<String> {
    let received = server.received();
    let attempt = |request: &fake_server::ReceivedRequest| {
        assert_eq!(request.header("Idempotency-Key"), "d1/key-1");
        request.header("Acaciareel-Attempt").to_owned()
    };
    received.iter().map(attempt).collect()
}

/// Guards against a request without the headers that make a resend safe, and against an answer
/// that is printed with changes.
#[test]
fn an_answer_is_printed_with_verdict_and_waiting_time() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let (token, body) = (folder.path().join("token"), folder.path().join("body"));
    fs::write(&token, "# callers\nsecret-token-0123456789 shop-7\n").expect("token file");
    fs::write(&body, "saddle 72").expect("body file");
    let server = FakeServer::start([ran_reply(true, "free at 10")]);
    let token = token.to_str().expect("path");

    let args = ["--token-file", token, "request", "submit", "slot-check"];
    let more = [
        "--tenant",
        "shop-7",
        "--key",
        "d1/key-1",
        "--time-limit-ms",
        "2000",
        "--body",
    ];
    let run = run_client(
        &[server.address],
        &[&args[..], &more, &[body.to_str().expect("path")]].concat(),
    );

    assert_eq!((run.code, run.stdout.as_str()), (Some(0), "free at 10"));
    assert_eq!(run.stderr, "ran; waited 12ms\n");
    let received = server.received();
    assert_eq!(received[0].request_line, "POST /v1/requests/slot-check");
    assert_eq!(
        received[0].header("Authorization"),
        "Bearer secret-token-0123456789"
    );
    assert_eq!(received[0].header("Acaciareel-Tenant"), "shop-7");
    assert!(
        received[0]
            .header("Acaciareel-Time-Limit-Ms")
            .parse::<u64>()
            .is_ok_and(|ms| ms <= 2_000)
    );
    assert_eq!(received[0].body, "saddle 72");
}

/// Guards against a resend with the attempt number of the first attempt, or with another key.
#[test]
fn a_lost_answer_raises_the_attempt_and_keeps_the_key() {
    let (first, second) = (
        FakeServer::start([Reply::CloseConnection]),
        FakeServer::start([ran_reply(true, "ok")]),
    );

    let run = submit(&[first.address, second.address], &["--attempt", "3"]);

    assert_eq!((run.code, run.stdout.as_str()), (Some(0), "ok"));
    assert_eq!(
        (attempts(&first), attempts(&second)),
        (vec!["3".into()], vec!["4".into()])
    );
}

/// Guards against a request that counts as resent although no server received or executed it: its
/// verdict would be `may_have_run` where `not_run` is certain.
#[test]
fn calls_that_were_not_executed_do_not_raise_the_attempt() {
    let stopping = FakeServer::start([verdict_reply(503, "not_run", "stopping")]);
    let server = FakeServer::start([ran_reply(true, "ok")]);

    let run = submit(&[refusing_address(), stopping.address, server.address], &[]);

    assert_eq!(run.code, Some(0));
    assert_eq!(
        (attempts(&stopping), attempts(&server)),
        (vec!["1".into()], vec!["1".into()])
    );
}

/// Guards against a verdict with the exit code of another one, and against a resend after a final
/// refusal.
#[test]
fn each_verdict_has_its_exit_code() {
    let cases = [
        (ran_reply(false, "no"), 1, "ran and failed; waited 12ms\n"),
        (
            verdict_reply(503, "not_run", "queue_full"),
            3,
            "not run: queue_full; retry after 500ms; waited 3ms\n",
        ),
        (
            verdict_reply(409, "not_run", "key_reused"),
            5,
            "not run: key_reused; retry after 500ms; waited 3ms\n",
        ),
        (
            error_reply(401, "not_run"),
            1,
            "error: the token is not known (401 Unauthorized)\n",
        ),
    ];

    for (reply, code, stderr) in cases {
        let server = FakeServer::start([reply]);
        let run = submit(&[server.address], &[]);

        assert_eq!((run.code, run.stderr.as_str()), (Some(code), stderr));
        assert_eq!(server.received().len(), 1, "{stderr}");
    }
    let server = FakeServer::start([verdict_reply(504, "may_have_run", "worker_lost")]);
    let run = submit(&[server.address], &[]);
    assert_eq!(run.code, Some(4));
    assert!(
        run.stderr
            .ends_with("send it again with --key d1/key-1 --attempt 2\n"),
        "{}",
        run.stderr
    );
}

/// Guards against `not run` although an earlier attempt reached a server, and against `may have
/// run` although none did.
#[test]
fn without_a_verdict_the_outcome_depends_on_what_was_sent() {
    let lost = FakeServer::start([Reply::CloseConnection]);
    let expired = FakeServer::start([error_reply(504, "may_have_run")]);
    let proxy = FakeServer::start([json_reply(502, "bad gateway")]);
    let lost_then_unauthorized =
        FakeServer::start([Reply::CloseConnection, error_reply(401, "not_run")]);
    let submit_once = |servers: &[SocketAddr], more: &[&str]| {
        run_client(servers, &[&["--rounds", "1"], &SUBMIT[..], more].concat())
    };

    let not_sent = submit_once(&[refusing_address()], &[]);
    let sent_before = submit_once(&[refusing_address()], &["--attempt", "2"]);

    assert_eq!(not_sent.code, Some(3), "{not_sent:?}");
    assert!(
        not_sent
            .stderr
            .starts_with("not run: no server answered: 127.0.0.1:1: "),
        "{not_sent:?}"
    );
    assert_eq!(sent_before.code, Some(4), "{sent_before:?}");
    for server in [&lost, &expired, &proxy] {
        let run = submit_once(&[server.address, refusing_address()], &[]);
        assert_eq!(run.code, Some(4), "{run:?}");
    }
    let run = submit_once(
        &[
            lost_then_unauthorized.address,
            lost_then_unauthorized.address,
        ],
        &[],
    );
    assert_eq!(run.code, Some(4), "{run:?}");
}

/// Guards against a random key that is neither printed nor part of the JSON output, so that the
/// user cannot resend the request.
#[test]
fn json_holds_key_attempt_and_verdict() {
    let server = FakeServer::start([ran_reply(true, "hi")]);
    let args = [
        "--json",
        "request",
        "submit",
        "slot-check",
        "--tenant",
        "shop-7",
    ];

    let run = run_client(&[server.address], &args);

    let printed: serde_json::Value = serde_json::from_str(&run.stdout).expect("JSON");
    let key = printed["key"].as_str().expect("key");
    assert_eq!(run.stderr, format!("key: {key}\n"));
    assert_eq!(server.received()[0].header("Idempotency-Key"), key);
    assert_eq!(
        (&printed["verdict"], &printed["attempt"]),
        (&"ran".into(), &1.into())
    );
    assert_eq!(
        (&printed["body"], &printed["waited_ms"]),
        (&"aGk=".into(), &12.into())
    );
}

/// Guards against a state that gives the exit code of the opposite result.
#[test]
fn states_and_cancellations_have_exit_codes() {
    let finished = r#"{"state":"finished","answer":{"ok":true,"body":"aGk="}}"#;
    let cases = [
        ("status", 200, r#"{"state":"waiting"}"#, 0),
        ("status", 200, finished, 0),
        ("status", 200, r#"{"state":"lost"}"#, 4),
        ("status", 404, r#"{"state":"unknown"}"#, 1),
        ("status", 503, r#"{"state":"unavailable"}"#, 1),
        ("cancel", 200, r#"{"state":"cancelled"}"#, 0),
        ("cancel", 200, r#"{"state":"running"}"#, 4),
        ("cancel", 200, finished, 1),
    ];

    for (command, status, body, code) in cases {
        let server = FakeServer::start([json_reply(status, body)]);
        let run = run_client(
            &[refusing_address(), server.address],
            &["request", command, "d1/key-1", "--tenant", "shop-7"],
        );

        assert_eq!(run.code, Some(code), "{command} {body} {run:?}");
        let method = if command == "status" { "GET" } else { "DELETE" };
        assert_eq!(
            server.received()[0].request_line,
            format!("{method} /v1/requests/d1/key-1")
        );
    }
}
