//! Runs one case of the third review: `harness NAME RECORD`. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod cell;
mod http;
mod json;
mod proxy;
mod worker;

use std::{
    fs::File,
    io::Write,
    process,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Time after which a case counts as one that could not run.
const LIMIT: Duration = Duration::from_secs(114);

/// What a case has shown.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

/// The file `record.txt`: what was sent, answered and run, with the seconds since the start.
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, path] = arguments.as_slice() else {
        eprintln!("usage: harness NAME RECORD");
        process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(file) = File::create(path) else {
        eprintln!("cannot write {path}");
        process::exit(2);
    };
    let record = Arc::new(Record {
        file: Mutex::new(file),
        began: Instant::now(),
    });
    record.line(&format!("case {name}, TROUBLE={}", u8::from(trouble)));
    let late = Arc::clone(&record);
    // The nodes end with this process.
    thread::spawn(move || {
        thread::sleep(LIMIT);
        late.line("the case could not run: it takes too long");
        process::exit(2);
    });
    let verdict = cases::run(name, trouble, &record);
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken(what) => (1, format!("the rule was broken: {what}")),
        Verdict::NotRun(why) => (2, format!("the case could not run: {why}")),
    };
    record.line(&text);
    println!("{name}: {text}");
    process::exit(code);
}
