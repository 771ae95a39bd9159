//! Partitions and poor links between daemons.

use std::sync::Arc;

use tokio::task::JoinSet;

use crate::{
    env::{Domain, TestEnv},
    links::LinkFaults,
};

const TWO_DOMAINS: &[Domain] = &[
    Domain {
        name: "east",
        vms: 3,
        workers: 2,
    },
    Domain {
        name: "west",
        vms: 2,
        workers: 2,
    },
];

/// The delay between the failure domains of the deployment Loftbook, and a loss rate that affects
/// most exchanges of several packets.
const POOR_LINKS: LinkFaults = LinkFaults {
    delay_ms: 4,
    jitter_ms: 4,
    loss_percent: 5,
};

/// Guards against requests that are lost or run twice because packets between daemons are lost,
/// delayed or reordered.
#[tokio::test(flavor = "multi_thread")]
async fn poor_links_lose_and_repeat_nothing() {
    let env = TestEnv::start_with_links(TWO_DOMAINS, &["--run-spread-ms", "30"], POOR_LINKS);
    let env = Arc::new(env.await);
    let mut callers = JoinSet::new();

    for number in 0..60_usize {
        let env = Arc::clone(&env);
        callers.spawn(async move {
            let kind = ["lookup", "verify", "credit"][number % 3];
            let domain = ["east", "west"][number % 2];
            let (key, body) = (format!("{domain}/{number}"), format!("bird-{number}"));
            let vms = [number % 5, (number + 1) % 5];
            let response = env.submit_until_ran(&vms, kind, &key, &body).await;
            (format!("{kind}:{body}"), response.text())
        });
    }

    for (expected, answered) in callers.join_all().await {
        assert_eq!(answered, expected);
    }
    for number in (0..60).filter(|number| number % 3 != 0) {
        assert_eq!(env.starts(&format!("bird-{number}")), 1, "bird-{number}");
    }
}

/// Guards against two active placers in a domain, and against a domain without a placer, when the
/// links of the placer fail in one direction or in both.
#[tokio::test(flavor = "multi_thread")]
async fn a_placer_that_is_cut_off_is_replaced_and_places_nothing() {
    let links = LinkFaults::default();
    let mut env = TestEnv::start_with_links(&TWO_DOMAINS[..1], &[], links).await;

    for (round, (outgoing, incoming)) in [(true, true), (true, false), (false, true)]
        .into_iter()
        .enumerate()
    {
        let cut = env.placer("east").await;
        let others: Vec<usize> = (0..3).filter(|vm| *vm != cut).collect();
        for other in &others {
            if outgoing {
                env.links.block(cut, *other);
            }
            if incoming {
                env.links.block(*other, cut);
            }
        }
        env.wait_for("another VM places work", async || {
            for vm in &others {
                if env.status(*vm).await["placer"] == true {
                    return true;
                }
            }
            false
        })
        .await;
        env.wait_for(
            "the cut-off VM reports that it is not the placer",
            async || env.status(cut).await["placer"] == false,
        )
        .await;
        let (key, body) = (format!("east/{round}"), format!("loft-{round}"));
        let lost = format!("lost-{round}");
        env.time_limit_ms = 2_000;
        let refused = env.submit(cut, "credit", &format!("east/{lost}"), 1, &lost);
        let refused = refused.await.expect("answer");
        env.time_limit_ms = 60_000;
        let placed = env.submit_until_ran(&others, "credit", &key, &body).await;
        env.links.unblock_all();
        let again = env.submit_until_ran(&[cut], "credit", &key, &body).await;

        // If only its incoming links are cut, the VM may still forward the request. It must not
        // report then that the request was not run.
        let verdict = refused.header("acaciareel-verdict");
        assert_ne!(verdict, "ran", "{refused:?}");
        let starts = env.starts(&lost);
        assert!(verdict != "not_run" || starts == 0, "{refused:?}");
        assert_eq!(placed.text(), format!("credit:{body}"));
        assert_eq!(again.text(), placed.text());
        assert_eq!(env.starts(&body), 1, "{:#?}", env.task_log());
    }
}
