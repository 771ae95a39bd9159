//! The whole path without faults.

use crate::sim::Sim;

/// Guards against a break anywhere between tables, announcements, placement and answers.
#[test]
fn requests_of_each_effect_are_answered_through_every_vm() {
    let mut sim = Sim::ready(1, 2, 3);

    let mut connections = Vec::new();
    for vm in 1..=6 {
        for kind in ["lookup", "verify", "credit"] {
            let key = format!("{kind}-{vm}-once");
            connections.push(sim.submit(vm, kind, &key, 1, 100));
        }
    }
    sim.run_for(2_000);

    for connection in connections {
        let verdict = sim.verdict(connection);
        assert!(sim.ran(connection), "{verdict:?}\n{}", sim.tail());
    }
}
