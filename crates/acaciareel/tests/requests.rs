//! `acaciareel request` against a stand-in server.

#[path = "support/stand_in.rs"]
#[allow(dead_code)]
mod stand_in;

use std::{fs, net::SocketAddr};

use stand_in::{Run, StandIn, Step, closed, json, run};

const SUBMIT: [&str; 7] = [
    "request",
    "submit",
    "slot-check",
    "--tenant",
    "shop-7",
    "--key",
    "d1/key-1",
];

fn submit(servers: &[SocketAddr], more: &[&str]) -> Run {
    run(servers, &[&SUBMIT, more].concat())
}

fn ran(ok: bool, body: &str) -> Step {
    let headers = vec![
        ("Acaciareel-Verdict", "ran".into()),
        ("Acaciareel-Answer-Ok", ok.to_string()),
        ("Acaciareel-Waited-Ms", "12".into()),
    ];
    Step::Answer(200, headers, body.into())
}

fn verdict(status: u16, verdict: &str, reason: &str) -> Step {
    let body = format!(r#"{{"verdict":"{verdict}","reason":"{reason}","retry_after_ms":500}}"#);
    let headers = vec![
        ("Acaciareel-Verdict", verdict.into()),
        ("Acaciareel-Waited-Ms", "3".into()),
    ];
    Step::Answer(status, headers, body)
}

fn error(status: u16, verdict: &str) -> Step {
    let body = format!(r#"{{"error":"the token is not known","verdict":"{verdict}"}}"#);
    json(status, &body)
}

/// Attempt numbers in the order in which a server received them.
fn attempts(server: &StandIn) -> Vec<String> {
    let received = server.received();
    let attempt = |request: &stand_in::Received| {
        assert_eq!(request.header("Idempotency-Key"), "d1/key-1");
        request.header("Acaciareel-Attempt").to_owned()
    };
    received.iter().map(attempt).collect()
}

/// Guards against a request without the headers that make a resend safe, and against an answer
/// that does not reach the person unchanged.
#[test]
fn an_answer_is_printed_with_verdict_and_waiting_time() {
    let folder = tempfile::tempdir().expect("temporary folder");
    let (token, body) = (folder.path().join("token"), folder.path().join("body"));
    fs::write(&token, "# callers\nsecret-token-0123456789 shop-7\n").expect("token file");
    fs::write(&body, "saddle 72").expect("body file");
    let server = StandIn::start([ran(true, "free at 10")]);
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
    let run = run(
        &[server.address],
        &[&args[..], &more, &[body.to_str().expect("path")]].concat(),
    );

    assert_eq!((run.code, run.stdout.as_str()), (Some(0), "free at 10"));
    assert_eq!(run.stderr, "ran; waited 12ms\n");
    let received = server.received();
    assert_eq!(received[0].line, "POST /v1/requests/slot-check");
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

/// Guards against a resend that a server takes for a first attempt, or for another request.
#[test]
fn a_lost_answer_raises_the_attempt_and_keeps_the_key() {
    let (first, second) = (
        StandIn::start([Step::Break]),
        StandIn::start([ran(true, "ok")]),
    );

    let run = submit(&[first.address, second.address], &["--attempt", "3"]);

    assert_eq!((run.code, run.stdout.as_str()), (Some(0), "ok"));
    assert_eq!(
        (attempts(&first), attempts(&second)),
        (vec!["3".into()], vec!["4".into()])
    );
}

/// Guards against a request that counts as resent although no server received it, since its
/// verdict would become less exact.
#[test]
fn servers_that_did_nothing_do_not_raise_the_attempt() {
    let stopping = StandIn::start([verdict(503, "not_run", "stopping")]);
    let server = StandIn::start([ran(true, "ok")]);

    let run = submit(&[closed(), stopping.address, server.address], &[]);

    assert_eq!(run.code, Some(0));
    assert_eq!(
        (attempts(&stopping), attempts(&server)),
        (vec!["1".into()], vec!["1".into()])
    );
}

/// Guards against a verdict that ends in the exit code of another one, and against a refusal that
/// the client answers with a resend.
#[test]
fn each_verdict_has_its_exit_code() {
    let cases = [
        (ran(false, "no"), 1, "ran and failed; waited 12ms\n"),
        (
            verdict(503, "not_run", "queue_full"),
            3,
            "not run: queue_full; retry after 500ms; waited 3ms\n",
        ),
        (
            verdict(409, "not_run", "key_reused"),
            5,
            "not run: key_reused; retry after 500ms; waited 3ms\n",
        ),
        (
            error(401, "not_run"),
            1,
            "error: the token is not known (401 Unauthorized)\n",
        ),
    ];

    for (step, code, stderr) in cases {
        let server = StandIn::start([step]);
        let run = submit(&[server.address], &[]);

        assert_eq!((run.code, run.stderr.as_str()), (Some(code), stderr));
        assert_eq!(server.received().len(), 1, "{stderr}");
    }
    let server = StandIn::start([verdict(504, "may_have_run", "worker_lost")]);
    let run = submit(&[server.address], &[]);
    assert_eq!(run.code, Some(4));
    assert!(
        run.stderr
            .ends_with("send it again with --key d1/key-1 --attempt 2\n"),
        "{}",
        run.stderr
    );
}

/// Guards against `not run` where an earlier attempt reached a server, and the other way round.
#[test]
fn without_a_verdict_the_fate_depends_on_what_was_sent() {
    let lost = StandIn::start([Step::Break]);
    let ended = StandIn::start([error(504, "may_have_run")]);
    let foreign = StandIn::start([json(502, "bad gateway")]);
    let refused = StandIn::start([Step::Break, error(401, "not_run")]);
    let once = |servers: &[SocketAddr], more: &[&str]| {
        run(servers, &[&["--rounds", "1"], &SUBMIT[..], more].concat())
    };

    let not_sent = once(&[closed()], &[]);
    let sent_before = once(&[closed()], &["--attempt", "2"]);

    assert_eq!(not_sent.code, Some(3), "{not_sent:?}");
    assert!(
        not_sent
            .stderr
            .starts_with("not run: no server answered: 127.0.0.1:1: "),
        "{not_sent:?}"
    );
    assert_eq!(sent_before.code, Some(4), "{sent_before:?}");
    for server in [&lost, &ended, &foreign] {
        let run = once(&[server.address, closed()], &[]);
        assert_eq!(run.code, Some(4), "{run:?}");
    }
    let run = once(&[refused.address, refused.address], &[]);
    assert_eq!(run.code, Some(4), "{run:?}");
}

/// Guards against a random key that the person cannot use again, and a JSON form without it.
#[test]
fn json_holds_key_attempt_and_verdict() {
    let server = StandIn::start([ran(true, "hi")]);
    let args = [
        "--json",
        "request",
        "submit",
        "slot-check",
        "--tenant",
        "shop-7",
    ];

    let run = run(&[server.address], &args);

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

/// Guards against a state whose exit code tells a script the opposite.
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
        let server = StandIn::start([json(status, body)]);
        let run = run(
            &[closed(), server.address],
            &["request", command, "d1/key-1", "--tenant", "shop-7"],
        );

        assert_eq!(run.code, Some(code), "{command} {body} {run:?}");
        let method = if command == "status" { "GET" } else { "DELETE" };
        assert_eq!(
            server.received()[0].line,
            format!("{method} /v1/requests/d1/key-1")
        );
    }
}
