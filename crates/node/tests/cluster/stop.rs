//! Graceful stops under load.

use acaciareel_node::Event;
use acaciareel_types::Verdict;

use crate::sim::Sim;

/// Guards against a stop that interrupts a request, loses one, or never completes. The process ends
/// as soon as the node says that it has stopped, while requests still arrive elsewhere.
#[test]
fn each_vm_stops_under_load_without_interrupting_anything() {
    for stopping in 1..=6 {
        let mut sim = Sim::ready(70 + u64::from(stopping), 2, 3);
        let mut open = Vec::new();
        let mut ended = false;
        for n in 0..300 {
            let kind = ["lookup", "verify", "credit"][n % 3];
            let vm = 1 + u32::try_from(n % 6).expect("small");
            let vm = if ended && vm == stopping {
                vm % 6 + 1
            } else {
                vm
            };
            let run_ms = 50 + sim.random(1_500);
            open.push(sim.submit(vm, kind, &format!("{n}-once"), 1, run_ms));
            if n == 150 {
                sim.event(stopping, Event::Stop);
            }
            for _ in 0..3 {
                sim.run_for(5);
                if sim.vms[&stopping].stopped && !ended {
                    ended = true;
                    sim.kill(stopping);
                }
            }
        }
        if !ended {
            sim.run_while(15_000, |sim| !sim.vms[&stopping].stopped);
            sim.kill(stopping);
        }
        sim.run_for(3_000);

        for connection in open {
            let verdict = sim.verdict(connection);
            let fine = matches!(verdict, Some(Verdict::Ran(_) | Verdict::NotRun { .. }));
            assert!(fine, "vm-{stopping}: {verdict:?}\n{}", sim.tail());
        }
    }
}
