//! The randomized fault test with a few seeds: real controllers on loopback, killed, paused, cut off and refused.

use ravenhead_load::soak::{self, Options, Report};
use std::path::PathBuf;

/// Seconds in which faults begin.
const FAULT_S: f64 = 8.0;

fn run(seed: u64) -> Report {
    let options = Options {
        controller: PathBuf::from(env!("CARGO_BIN_EXE_ravenhead")),
        seed,
        controllers: 3,
        workers: 20,
        fault_s: FAULT_S,
    };
    soak::run(&options).expect("the stand-ins and controllers start")
}

fn assert_holds(seed: u64) {
    let report = run(seed);
    let broken: Vec<&String> = report.violations.iter().take(10).collect();
    assert!(
        broken.is_empty(),
        "seed {seed}: {broken:#?}\n{:#?}",
        report.schedule
    );
    assert!(report.accepted > 0 && report.cancelled > 0, "{report:?}");
}

/// Returns the processes that run this test's controller.
fn controllers_left() -> usize {
    let own = format!(
        "--config {}/ravenhead-soak-",
        std::env::temp_dir().display()
    );
    let processes = std::fs::read_dir("/proc").expect("the process list");
    let command_lines = processes.flatten().filter_map(|process| {
        let line = std::fs::read(process.path().join("cmdline")).ok()?;
        Some(String::from_utf8_lossy(&line).replace('\0', " "))
    });
    let program = env!("CARGO_BIN_EXE_ravenhead");
    command_lines
        .filter(|line| line.starts_with(program) && line.contains(&own))
        .count()
}

#[test]
fn invariants_hold_under_random_faults_and_no_process_is_left() {
    for seed in [1, 2] {
        assert_holds(seed);
    }
    assert_eq!(controllers_left(), 0);
}

#[test]
fn missing_controller_ends_the_run_with_an_error() {
    let options = Options {
        controller: PathBuf::from("/nonexistent/ravenhead"),
        seed: 1,
        controllers: 1,
        workers: 1,
        fault_s: FAULT_S,
    };
    assert!(soak::run(&options).is_err());
}
