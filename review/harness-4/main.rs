//! Stand-ins and scripts of the review. `harness worker ...` is a stand-in worker; the other
//! words are scripts, which exit with 1 if the rule was broken, 0 if it held, and 2 if the case could
//! not run. With `TROUBLE=0` a script leaves the disruption out.

mod cell;
mod http;
mod json;
mod kept;
mod suspects;
mod worker;

use std::{
    process::ExitCode,
    time::{SystemTime, UNIX_EPOCH},
};

/// How a script ended.
pub enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let trouble = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let trouble = !trouble;
    let (script, record) = match &arguments[..] {
        [word, rest @ ..] if word == "worker" => {
            return match worker::Worker::run(rest) {
                Ok(()) => ExitCode::SUCCESS,
                Err(error) => {
                    eprintln!("{error}");
                    ExitCode::FAILURE
                }
            };
        }
        [script, record] => (script.as_str(), record.as_str()),
        _ => {
            eprintln!("usage: harness SCRIPT RECORD");
            return ExitCode::from(2);
        }
    };
    let mut cell = match cell::Cell::new() {
        Ok(cell) => cell,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(2);
        }
    };
    let run = match script {
        "kept" => kept::run(&mut cell, trouble),
        "suspects" => suspects::run(&mut cell, trouble),
        _ => Ok(Verdict::NotRun("unknown script".to_owned())),
    };
    let (code, text) = match run.unwrap_or_else(|error| Verdict::NotRun(error.to_string())) {
        Verdict::Held(text) => (0, format!("the rule held: {text}")),
        Verdict::Broken(text) => (1, format!("the rule was broken: {text}")),
        Verdict::NotRun(text) => (2, format!("the case could not run: {text}")),
    };
    println!("{text}");
    if let Err(error) = cell.write_record(record, &text) {
        eprintln!("{error}");
        return ExitCode::from(2);
    }
    if let Ok(folder) = std::env::var("KEEP_LOGS") {
        cell.keep_logs(&folder);
    }
    ExitCode::from(code)
}
