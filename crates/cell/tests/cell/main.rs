//! Tests of whole cells in virtual time: control VMs, entry VMs, workers and a policy service,
//! connected by a simulated network. Invariants are checked after every start on a worker.
//!
//! A name in parentheses at the head of a test is the run in which the failure was first seen: a
//! user's deployment (`loftbook`, or `vdm` for Vandermeulen; the `grown` ones are enlarged), a day
//! of faults or an incident in docs/incidents, and the seed.

mod capacity;
mod completion_lists;
mod crash_counts;
mod crashes;
mod departures;
mod domain_preference;
mod faults;
mod foreign_heartbeats;
mod held_room;
mod incarnations;
mod indexes;
mod job_memory;
mod keys;
mod limits;
mod load;
mod pending;
mod probation;
#[path = "../fixtures/records.rs"]
mod records;
mod recovery;
mod replacements;
mod restart_waits;
mod returns;
mod run_times;
mod scale;
mod services;
mod sim;
mod slow_advice;
mod slow_turns;
mod speeds;
mod stalls;
mod suspects;
mod tenant_decisions;
mod tenant_shares;
mod tenants;
mod waits;
mod wide_gangs;
mod worker;
mod worker_messages;
