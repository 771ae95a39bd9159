//! Daemons that are killed and start again with their disk and their settings.

use std::collections::BTreeSet;

use crate::{
    client::Response,
    env::{Domain, TestEnv},
};

const TWO_DOMAINS: &[Domain] = &[
    Domain {
        name: "east",
        vms: 2,
        workers: 2,
    },
    Domain {
        name: "west",
        vms: 1,
        workers: 1,
    },
];

/// Submits a request until it is not refused as not run, and returns the response.
async fn submit_until_accepted(env: &TestEnv, vm: usize, kind: &str, body: &str) -> Response {
    let mut accepted = None;
    env.wait_for("the request is accepted", async || {
        let response = env.submit(vm, kind, body, 1, body).await;
        let response = response.expect("unbroken connection");
        let refused = response.status == 503;
        accepted = Some(response);
        !refused
    })
    .await;
    accepted.expect("response")
}

/// Guards against requests without an answer, or with the answer to another one, after a daemon has
/// started again with the same settings and repeats the numbers of its earlier requests and tasks.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_daemons_answer_new_requests() {
    let mut env = TestEnv::start(TWO_DOMAINS, &[]).await;
    env.time_limit_ms = 10_000;

    for round in 0..9 {
        for vm in 0..3 {
            for kind in ["lookup", "verify", "credit"] {
                let body = format!("{kind}-{round}-{vm}");
                let answer = submit_until_accepted(&env, vm, kind, &body).await;

                assert_eq!(answer.text(), format!("{kind}:{body}"), "{answer:?}");
                assert!(kind == "lookup" || env.starts(&body) == 1, "{body}");
            }
        }
        let restarted = round % 3;
        env.kill(restarted);
        env.start_vm(restarted);
        env.wait_for("the VM has the tables again", async || {
            env.status(restarted).await["tables_version"].as_u64() >= Some(1)
        })
        .await;
    }
    let log = env.task_log();
    let starts = log.iter().filter(|line| line.starts_with("start "));
    let tasks: Vec<_> = starts.map(|line| line.split(' ').nth(1)).collect();
    let distinct: BTreeSet<_> = tasks.iter().collect();
    assert_eq!(distinct.len(), tasks.len(), "{log:#?}");
    for vm in 0..3 {
        env.signal(vm, "TERM");
    }
    for vm in 0..3 {
        let status = env.wait_for_exit(vm).await;
        assert!(status.success(), "{status}");
    }
}
