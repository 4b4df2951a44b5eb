//! Randomized fault test: runs real controllers on loopback under faults that are drawn from a seed, and checks the
//! invariants from outside.

use clap::Parser;
use ravenhead_load::soak::{self, Options, Report};
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code of a wrong command line.
const EXIT_USAGE: u8 = 2;

/// Runs real controllers on loopback under random faults and checks the invariants from outside.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// Controller binary to test.
    #[arg(long, value_name = "FILE", default_value = "target/release/ravenhead")]
    controller: PathBuf,
    /// First seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of seeds, each in a run of its own.
    #[arg(long, default_value_t = 1)]
    runs: u64,
    /// Number of controllers.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=9))]
    controllers: u64,
    /// Number of workers.
    #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u64).range(1..=500))]
    workers: u64,
    /// Seconds in which faults begin.
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=3600))]
    seconds: u64,
}

fn main() -> ExitCode {
    let args = match Args::try_parse() {
        Ok(args) => args,
        Err(e) if !e.use_stderr() => {
            print!("{e}");
            return ExitCode::SUCCESS;
        }
        Err(e) => {
            let text = e.to_string();
            eprintln!(
                "ravenhead-soak: {}",
                text.lines().next().unwrap_or_default()
            );
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if !args.controller.is_file() {
        let path = args.controller.display();
        eprintln!("ravenhead-soak: error: no controller binary at {path}");
        return ExitCode::from(EXIT_USAGE);
    }
    let mut failed = 0;
    for seed in args.seed..args.seed.saturating_add(args.runs) {
        let options = Options {
            controller: args.controller.clone(),
            seed,
            controllers: args.controllers as usize,
            workers: args.workers as usize,
            fault_s: args.seconds as f64,
        };
        match soak::run(&options) {
            Ok(report) => {
                print_report(&options, &report);
                failed += u64::from(!report.violations.is_empty());
            }
            Err(e) => {
                eprintln!("ravenhead-soak: {e}");
                return ExitCode::FAILURE;
            }
        }
    }
    println!(
        "{} of {} runs broke no invariant",
        args.runs - failed,
        args.runs
    );
    if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn print_report(options: &Options, report: &Report) {
    println!(
        "seed={} accepted={} cancelled={} starts={} answered_after_s={:.1} violations={}",
        report.seed,
        report.accepted,
        report.cancelled,
        report.starts,
        report.answered_after_s,
        report.violations.len()
    );
    if report.violations.is_empty() {
        return;
    }
    for line in &report.schedule {
        println!("fault {line}");
    }
    for line in &report.history {
        println!("history {line}");
    }
    for line in &report.violations {
        println!("violation {line}");
    }
    println!(
        "again: ravenhead-soak --controller {} --seed {} --controllers {} --workers {} --seconds {}",
        options.controller.display(),
        report.seed,
        options.controllers,
        options.workers,
        options.fault_s
    );
}
