//! Graceful stops under load.

use acaciareel_node::Event;
use acaciareel_types::Verdict;

use crate::sim::Sim;

/// Guards against a graceful stop that interrupts or loses a request, or never completes. The
/// process is killed as soon as the node reports that it has stopped, while requests still arrive
/// at other VMs.
#[test]
fn each_vm_stops_under_load_without_interrupting_requests() {
    for stopping in 1..=6 {
        let mut sim = Sim::ready(70 + u64::from(stopping), 2, 3);
        let mut connections = Vec::new();
        let mut killed = false;
        for n in 0..300 {
            let kind = ["lookup", "verify", "credit"][n % 3];
            let vm = 1 + u32::try_from(n % 6).expect("small");
            let vm = if killed && vm == stopping {
                vm % 6 + 1
            } else {
                vm
            };
            let run_ms = 50 + sim.random(1_500);
            connections.push(sim.submit(vm, kind, &format!("{n}-once"), 1, run_ms));
            if n == 150 {
                sim.deliver(stopping, Event::Stop);
            }
            for _ in 0..3 {
                sim.run_for(5);
                if sim.vms[&stopping].stopped && !killed {
                    killed = true;
                    sim.kill(stopping);
                }
            }
        }
        if !killed {
            sim.run_while(15_000, |sim| !sim.vms[&stopping].stopped);
            sim.kill(stopping);
        }
        sim.run_for(3_000);

        for connection in connections {
            let verdict = sim.verdict(connection);
            let is_final = matches!(verdict, Some(Verdict::Ran(_) | Verdict::NotRun { .. }));
            assert!(is_final, "vm-{stopping}: {verdict:?}\n{}", sim.tail());
        }
    }
}
