//! The record of a run: one line for each thing that was sent, answered or run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, OnceLock, PoisonError};
use std::time::Instant;

struct Record {
    started: Instant,
    file: Mutex<File>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

pub fn open(path: &Path) {
    let file = File::create(path).expect("the record can be written");
    let started = Instant::now();
    let _ = RECORD.set(Record { started, file: Mutex::new(file) });
}

/// Milliseconds since the start of the run.
pub fn now_ms() -> u64 {
    let record = RECORD.get().expect("the record is open");
    u64::try_from(record.started.elapsed().as_millis()).unwrap_or(u64::MAX)
}

pub fn write(line: &str) {
    let record = RECORD.get().expect("the record is open");
    let mut file = record.file.lock().unwrap_or_else(PoisonError::into_inner);
    let _ = writeln!(file, "{:>7} ms  {line}", now_ms());
}
