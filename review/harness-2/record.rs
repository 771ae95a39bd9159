//! The record of a case: what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    sync::Mutex,
    time::{Instant, SystemTime, UNIX_EPOCH},
};

/// Lines with the time since the start of the case.
pub struct Record {
    file: Mutex<File>,
    began: Instant,
}

impl Record {
    pub fn new(path: &str) -> std::io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(path)?),
            began: Instant::now(),
        })
    }

    pub fn line(&self, text: &str) {
        let ms = self.began.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>4}.{:03} {text}", ms / 1_000, ms % 1_000);
    }
}

/// Returns the time of day in Unix milliseconds.
pub fn unix_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(0)
}
