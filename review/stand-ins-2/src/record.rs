//! The time since the start of the run, and the record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

static START: OnceLock<Instant> = OnceLock::new();
static FILE: OnceLock<Mutex<File>> = OnceLock::new();

/// Seconds since the start of the run.
pub fn now() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

pub fn open(path: &str) {
    now();
    let file = File::create(path).expect("the record can be written");
    let _ = FILE.set(Mutex::new(file));
}

pub fn write(line: &str) {
    let line = format!("{:8.3} {line}\n", now());
    if let Some(file) = FILE.get() {
        let _ = file.lock().unwrap().write_all(line.as_bytes());
    }
}

#[macro_export]
macro_rules! rec {
    ($($arg:tt)*) => { $crate::record::write(&format!($($arg)*)) };
}
