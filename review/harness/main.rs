//! Scripts of the review: each starts the project's own programs with stand-ins for workers, clients
//! and the operator, and checks one rule. See `review/REPORT.md`.
//!
//! Usage: `harness CASE RECORD`. With `TROUBLE=0` in the environment the disruption is left out.
//! Ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cell;
mod http;
mod json;
mod proxy;
mod record;
mod scripts;
mod site;
mod worker;

use std::{
    path::Path,
    process,
    sync::{Arc, mpsc},
    thread,
    time::Duration,
};

use record::Record;

/// Outcome of a script: whether the rule held, or why it could not run.
pub type Outcome = Result<bool, String>;

/// Longest time of a script.
const LIMIT: Duration = Duration::from_secs(115);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: harness CASE RECORD");
        process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::create(Path::new(path)).expect("record"));
    record.say(&format!("case {case}, trouble {trouble}"));
    let (sender, receiver) = mpsc::channel();
    let (case, kept) = (case.clone(), record.clone());
    thread::spawn(move || {
        let outcome = scripts::play(&case, trouble, &kept);
        let _ = sender.send(outcome);
    });
    let outcome = receiver
        .recv_timeout(LIMIT)
        .unwrap_or_else(|_| Err("the script panicked or took too long".to_owned()));
    let code = match outcome {
        Ok(true) => {
            record.say("the rule held");
            0
        }
        Ok(false) => {
            record.say("THE RULE WAS BROKEN");
            1
        }
        Err(reason) => {
            record.say(&format!("the case could not run: {reason}"));
            2
        }
    };
    record.flush();
    cell::end_all();
    process::exit(code);
}
