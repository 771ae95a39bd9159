//! What was sent, answered and run, with the times at which it was seen.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::Mutex,
    time::Instant,
};

/// Something that a client, a worker or the operator has seen.
#[derive(Clone, Debug)]
pub struct Seen {
    pub at_ms: u64,
    /// `start`, `end`, `noted`, `answer` and so on.
    pub what: &'static str,
    /// Task, job or worker that is concerned.
    pub subject: String,
    /// Run number, status, or another number.
    pub number: u64,
    /// Outcome, worker or other text.
    pub text: String,
}

/// The record of one script.
pub struct Record {
    began: Instant,
    file: Mutex<BufWriter<File>>,
    seen: Mutex<Vec<Seen>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Mutex::new(BufWriter::new(File::create(path)?)),
            seen: Mutex::default(),
        })
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Adds an event.
    pub fn add(&self, what: &'static str, subject: &str, number: u64, text: &str) {
        let mut seen = self.seen.lock().unwrap();
        let at_ms = self.now_ms();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at_ms:>7} ms  {what:<10} {subject} {number} {text}");
        seen.push(Seen {
            at_ms,
            what,
            subject: subject.to_owned(),
            number,
            text: text.to_owned(),
        });
    }

    /// Adds a line of explanation, which is also printed.
    pub fn say(&self, text: &str) {
        println!("{:>7} ms  {text}", self.now_ms());
        let _ = writeln!(
            self.file.lock().unwrap(),
            "{:>7} ms  # {text}",
            self.now_ms()
        );
    }

    /// Returns all events so far, in order.
    pub fn all(&self) -> Vec<Seen> {
        self.seen.lock().unwrap().clone()
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
