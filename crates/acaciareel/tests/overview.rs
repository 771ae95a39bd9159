//! `top` and `histogram` against fake servers.

#[path = "support/fake_server.rs"]
#[allow(dead_code)]
mod fake_server;

use fake_server::{FakeServer, Reply, json_reply, refusing_address, run_client};
use serde_json::{Value, json as json_value};

fn vm_status(vm: &str) -> String {
    let resources = |cpu: u32| {
        json_value!({"cpu_millicores": cpu, "memory_bytes": 4_000_000_000_u64, "accelerators": 0,
            "slots": 8, "connections": 60})
    };
    json_value!({"vm": vm, "failure_domain": "east", "incarnation": 7, "tables_version": 3,
        "stopping": false, "placer": true, "vms": 3, "reachable_vms": 2, "workers": 5,
        "active_workers": 4,
        "groups": [{"group": "tables", "role": "leader", "term": 2, "leader": vm}],
        "pools": [{"failure_domain": "east", "pool": "ledger", "workers": 4, "waiting": 6,
            "predicted_wait_ms": 40, "capacity": resources(8_000), "free": resources(2_000)}],
    })
    .to_string()
}

fn vm_list() -> String {
    let vm = |name: &str| {
        json_value!({"vm": name, "failure_domain": "east", "reachable": false, "stopping": false,
            "tables_version": 3, "placer": false})
    };
    json_value!({"vms": [vm("vm-1"), vm("vm-3")]}).to_string()
}

/// Returns a metrics page with one histogram. A label value contains an escaped quote and a closing
/// brace, at which a naive parser would end the labels.
fn metrics_page(fast: u32, slow: u32) -> Reply {
    let all = fast + slow;
    let labels = r#"tenant="a\"}b",class="urgent""#;
    let text = format!(
        "# TYPE acaciareel_wait_seconds histogram\n\
         acaciareel_wait_seconds_bucket{{{labels},le=\"0.1\"}} {fast}\n\
         acaciareel_wait_seconds_bucket{{{labels},le=\"2.4\"}} {all}\n\
         acaciareel_wait_seconds_bucket{{{labels},le=\"+Inf\"}} {all}\n\
         acaciareel_wait_seconds_sum{{{labels}}} {slow}\n\
         acaciareel_wait_seconds_count{{{labels}}} {all}\n\
         acaciareel_process_cpu_seconds 2.5\n\
         acaciareel_peer_sent_bytes_total{{peer=\"vm-2\"}} 1000000\n\
         acaciareel_peer_sent_bytes_total{{peer=\"vm-3\"}} 500000\n"
    );
    Reply::Respond(200, Vec::new(), text)
}

/// Guards against a screen that omits VMs that do not answer, or adds up figures wrongly.
#[test]
fn top_shows_every_vm_that_answers_and_names_the_others() {
    let server = FakeServer::start([
        json_reply(200, &vm_status("vm-1")),
        metrics_page(1, 0),
        json_reply(200, &vm_list()),
    ]);

    let shown = run_client(&[server.address, refusing_address()], &["top"]);

    assert_eq!(shown.code, Some(0), "{}", shown.stderr);
    let assert_shown =
        |text: &str| assert!(shown.stdout.contains(text), "{text}: {}", shown.stdout);
    assert_shown("vm-1  east    3       tables  yes     4/5      2.5s  0.0MB   1.5MB  0.0MB");
    assert_shown("2/8 75%");
    assert_shown("no answer from 127.0.0.1:1: ");
    assert_shown("no answer from vm-3 (east)\n");
}

/// Guards against bars that show cumulative counts, or that omit a VM.
#[test]
fn histograms_are_merged_over_vms() {
    let first = FakeServer::start([metrics_page(10, 1)]);
    let second = FakeServer::start([metrics_page(20, 4)]);
    let servers = [first.address, second.address];

    let drawn = run_client(&servers, &["histogram"]);
    let listed = run_client(&servers[..1], &["--json", "histogram"]);

    assert_eq!(drawn.code, Some(0), "{}", drawn.stderr);
    let expected = format!(
        "a\"}}b urgent wait: 35 requests, mean 142.9ms, 99% within 2.4s\n  \
         <=    0.1s       30 {}\n  <=    2.4s        5 {}\n",
        "#".repeat(50),
        "#".repeat(9)
    );
    assert_eq!(drawn.stdout, expected);
    let listed: Value = serde_json::from_str(&listed.stdout).expect("JSON");
    assert_eq!(listed["histograms"][0]["buckets"][1]["count"], 1.0);
}

/// Guards against an empty screen with exit code 0 when no server answers, which would be taken for
/// an idle deployment.
#[test]
fn no_answer_at_all_is_an_error() {
    for command in ["top", "histogram"] {
        let shown = run_client(&[refusing_address()], &[command]);

        assert_eq!((shown.code, shown.stdout.as_str()), (Some(1), ""));
        assert!(shown.stderr.contains("no server answered: 127.0.0.1:1"));
    }
}
