//! Failures of workers and of whole failure domains.

use crate::env::{Domain, TestEnv};

const TWO_DOMAINS: &[Domain] = &[
    Domain {
        name: "east",
        vms: 3,
        workers: 2,
    },
    Domain {
        name: "west",
        vms: 2,
        workers: 1,
    },
];

/// Guards against a request of effect `once` that runs again after its worker is lost, and against
/// a request of effect `exclusive` that is lost with its worker.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_worker_ends_once_requests_and_repeats_exclusive_ones() {
    let mut env = TestEnv::start(&TWO_DOMAINS[..1], &[]).await;
    let (credit, verify) = ("gate=lost;credit", "gate=lost;verify");
    let answers = {
        let credited = env.submit(0, "credit", "east/credit", 1, credit);
        let verified = env.submit(0, "verify", "east/verify", 1, verify);
        let answers = async { tokio::join!(credited, verified) };
        tokio::pin!(answers);
        tokio::select! {
            answered = &mut answers => panic!("answered before the gate opened: {answered:?}"),
            () = env.wait_for("both tasks start", async || {
                env.starts(credit) == 1 && env.starts(verify) == 1
            }) => {}
        }
        env.kill_workers();
        env.start_worker("east", 2, &[]);
        env.open_gate("lost");
        answers.await
    };

    let credited = answers.0.expect("unbroken connection");
    assert_eq!(credited.status, 504, "{credited:?}");
    assert_eq!(credited.header("acaciareel-verdict"), "may_have_run");
    assert_eq!(env.starts(credit), 1);
    let verified = answers.1.expect("unbroken connection");
    assert_eq!(verified.text(), format!("verify:{verify}"), "{verified:?}");
    assert_eq!(env.starts(verify), 2);
}

/// Guards against a task that is placed on a worker after it has announced that it is leaving.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_worker_gets_nothing_new() {
    let mut env = TestEnv::start(&TWO_DOMAINS[..1], &[]).await;

    env.stop_worker(0).await;
    for number in 0..10 {
        let (key, body) = (format!("east/{number}"), format!("bird-{number}"));
        let answer = env.submit(0, "verify", &key, 1, &body).await;
        let answer = answer.expect("unbroken connection");

        assert_eq!(answer.text(), format!("verify:{body}"), "{answer:?}");
    }

    let log = env.task_log();
    assert!(
        log.iter().all(|line| line.ends_with("worker=east-w1")),
        "{log:#?}"
    );
}

/// Guards against a domain that stops working because another domain is unreachable, and against a
/// verdict `not_run` for a request of the other domain that may have run there.
#[tokio::test(flavor = "multi_thread")]
async fn a_domain_goes_on_without_the_other() {
    let env = TestEnv::start(TWO_DOMAINS, &[]).await;
    let west = [3, 4];

    for vm in west {
        env.signal(vm, "STOP");
    }
    env.wait_for("the other domain is suspected", async || {
        env.status(0).await["reachable_vms"] == 3
    })
    .await;
    let own = env.submit(0, "credit", "east/own", 1, "own").await;
    let first = env.submit(0, "credit", "west/other", 1, "other").await;
    let resend = env.submit(0, "credit", "west/other", 2, "other").await;
    for vm in west {
        env.signal(vm, "CONT");
    }
    let after = env
        .submit_until_ran(&[0, 1], "credit", "west/other", "other")
        .await;

    assert_eq!(own.expect("answer").text(), "credit:own");
    let first = first.expect("answer");
    assert_eq!(
        (first.status, first.header("acaciareel-verdict")),
        (503, "not_run")
    );
    assert_eq!(first.header("acaciareel-reason"), "home_unreachable");
    assert!(!first.header("retry-after").is_empty());
    let resend = resend.expect("answer");
    assert_eq!(
        (resend.status, resend.header("acaciareel-verdict")),
        (504, "may_have_run")
    );
    assert_eq!(after.text(), "credit:other");
    assert_eq!(env.starts("other"), 1);
}
