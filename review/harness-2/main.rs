//! Runs one case of the second review: `harness NAME RECORD`. Exits with 1 if the rule was broken, 0
//! if it held, and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod cell;
mod http;
mod json;
mod record;
mod worker;

use std::{process, sync::Arc, thread, time::Duration};

use cases::Verdict;
use record::Record;

/// Time after which a case counts as one that could not run.
const LIMIT: Duration = Duration::from_secs(112);

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, path] = arguments.as_slice() else {
        eprintln!("usage: harness NAME RECORD");
        process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = Record::new(path) else {
        eprintln!("cannot write {path}");
        process::exit(2);
    };
    let record = Arc::new(record);
    record.line(&format!(
        "case {name}, {}",
        if trouble {
            "with the disruption"
        } else {
            "TROUBLE=0"
        }
    ));
    let verdict = cases::run(name, trouble, &record, LIMIT);
    thread::sleep(Duration::from_millis(50));
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken(what) => (1, format!("the rule was broken: {what}")),
        Verdict::NotRun(why) => (2, format!("the case could not run: {why}")),
    };
    record.line(&text);
    println!("{name}: {text}");
    process::exit(code);
}
