//! A cell of real processes on loopback, with stand-in workers that speak the platform's protocol.

mod env;
mod worker;

use std::time::Duration;

use env::{Cell, ENTRY, Signal};

/// Submits jobs one after the other and returns the ids of the accepted ones.
async fn submit(cell: &Cell, ids: std::ops::Range<u64>, gap: Duration) -> Vec<u64> {
    let mut accepted = Vec::new();
    for id in ids {
        // The caller sends again until it has a clear answer, as the platform's callers do.
        for _ in 0..10 {
            let status = cell.submit(id).await;
            if status == Some(200) {
                accepted.push(id);
                break;
            }
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        tokio::time::sleep(gap).await;
    }
    accepted
}

/// Guards against accepted jobs that are lost, and tasks that run twice, when the leader is killed,
/// and when another one stands still for longer than its lease and wakes again.
#[tokio::test]
async fn leader_killed_and_another_frozen() {
    let mut cell = Cell::start(1, 3).await;

    let mut ids = submit(&cell, 0..10, Duration::from_millis(40)).await;
    let killed = cell.leader().await;
    cell.signal(killed, Signal::Kill);
    ids.extend(submit(&cell, 10..20, Duration::from_millis(100)).await);
    cell.restart(killed);
    let frozen = cell.leader().await;
    cell.signal(frozen, Signal::Stop);
    ids.extend(submit(&cell, 20..30, Duration::from_millis(200)).await);
    cell.signal(frozen, Signal::Continue);

    cell.wait_until_completed(&ids, Duration::from_secs(40))
        .await;
    assert_eq!(ids.len(), 30);
    assert_eq!(cell.violations(), Vec::<String>::new());
}

/// Guards against a stop that takes callers' answers with it, or takes longer than the platform
/// waits.
#[tokio::test]
async fn stopped_vms_end_gracefully() {
    let mut cell = Cell::start(2, 2).await;
    let ids = submit(&cell, 0..5, Duration::from_millis(20)).await;
    let leader = cell.leader().await;

    cell.signal(leader, Signal::Terminate);
    let leader_ended = cell.wait_for_exit(leader, Duration::from_secs(6)).await;
    let ids = [ids, submit(&cell, 5..10, Duration::from_millis(50)).await].concat();
    cell.wait_until_completed(&ids, Duration::from_secs(30))
        .await;
    cell.signal(ENTRY, Signal::Terminate);
    let answered = cell.submit(5).await;
    let entry_ended = cell.wait_for_exit(ENTRY, Duration::from_secs(6)).await;

    assert_eq!((leader_ended, entry_ended), (Some(0), Some(0)));
    assert_eq!(answered, Some(200));
    assert_eq!(ids.len(), 10);
    assert_eq!(cell.violations(), Vec::<String>::new());
}

/// Guards against a changed settings file that is not noticed, and a wrong one that ends the VM.
#[tokio::test]
async fn settings_are_read_again() {
    let cell = Cell::start(3, 1).await;

    cell.spoil_settings(ENTRY);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let refused = cell.log_of(ENTRY);
    cell.write_settings(ENTRY, "level = debug");
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let reloaded = cell.log_of(ENTRY);

    assert!(refused.contains("event=settings_refused"), "{refused}");
    assert!(reloaded.contains("event=settings_reloaded"), "{reloaded}");
    assert_eq!(cell.submit(1).await, Some(200));
}
