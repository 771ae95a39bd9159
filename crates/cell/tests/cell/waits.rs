//! Gauges that say why steps wait.

use acaciareel_cell::QueueRow;

use crate::sim::{Sim, gang, job, queue, step};

/// Returns the numbers of steps that wait for advice, for room, for held room and for tickets.
fn waits(sim: &Sim) -> [u64; 4] {
    [
        "steps_waiting_for_advice",
        "steps_waiting_for_room",
        "steps_waiting_for_held_room",
        "steps_waiting_for_tickets",
    ]
    .map(|name| sim.leader_gauge(name))
}

/// Guards against a wait for room that shows as another one.
#[test]
fn gang_without_room_shows_as_waiting_for_room() {
    let mut sim = Sim::new(1, 3, 4);
    sim.set_up(vec![queue("gangs", 1, true), queue("batch", 2, false)]);
    sim.submit("batch", 1, job(vec![step(4, 20_000, 20_000)]));
    sim.run(1_000);

    sim.submit("gangs", 2, job(vec![gang(4, 20_000, 500)]));
    sim.run(5_000);

    assert_eq!(waits(&sim), [0, 1, 0, 0]);
}

/// Guards against a wait for the policy service that shows as a lack of room.
#[test]
fn gang_with_room_shows_as_waiting_for_tickets() {
    let mut sim = Sim::new(1, 3, 4);
    let mut row = queue("gangs", 1, true);
    row.advice = row.advice.map(|mut cost| {
        cost.ticket_valid_ms = 100;
        cost
    });
    sim.set_up(vec![row]);

    // The tickets expire before they can be used.
    sim.submit("gangs", 1, job(vec![gang(1, 20_000, 500)]));
    sim.run(5_000);

    assert_eq!(waits(&sim), [0, 0, 0, 1]);
    assert_eq!(sim.leader_gauge("held_millicores"), 20_000);
    assert!(sim.leader_gauge("advice_requests") > 2);
}

/// Guards against a policy service that does not respond and shows as a lack of room.
#[test]
fn gang_without_a_response_shows_as_waiting_for_advice() {
    let mut sim = Sim::new(1, 3, 4);
    sim.advice_ms = 60_000;
    sim.set_up(vec![queue("gangs", 1, true)]);

    sim.submit("gangs", 1, job(vec![gang(2, 20_000, 500)]));
    sim.run(5_000);

    assert_eq!(waits(&sim), [1, 0, 0, 0]);
}

/// Guards against room that is held for a gang and shows as a lack of room.
#[test]
fn step_behind_a_gang_that_keeps_workers_shows_as_waiting_for_held_room() {
    let mut sim = Sim::new(1, 3, 4);
    let gangs = QueueRow {
        slack_permille: 1_000,
        target_ms: 8_000,
        ..queue("gangs", 1, false)
    };
    sim.set_up(vec![gangs, queue("batch", 2, false)]);
    sim.submit("batch", 1, job(vec![step(1, 20_000, 20_000)]));
    sim.run(1_000);

    sim.submit("gangs", 2, job(vec![gang(4, 20_000, 20_000)]));
    sim.submit("batch", 3, job(vec![step(1, 20_000, 20_000)]));
    sim.run(5_000);

    assert_eq!(waits(&sim), [0, 1, 1, 0]);
}
