//! Drives a real controller on loopback with thousands of stand-in workers, and measures it.
//!
//! Every figure is one of our own stand-ins on one machine: good for comparing versions, not for telling how many machines
//! a deployment carries.

mod controller;
mod measure;
mod report;
mod site;
mod worker;

use async_executor::LocalExecutor;
use async_io::Timer;
use clap::Parser;
use controller::Controller;
use measure::Measurement;
use site::Site;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

/// Drives a real controller on loopback with stand-in workers.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// The controller's program.
    #[arg(long, value_name = "FILE", default_value = "target/release/ravenhead")]
    controller: PathBuf,
    /// A second program, for example an earlier version, which is measured in the same way.
    #[arg(long, value_name = "FILE")]
    before: Option<PathBuf>,
    /// Numbers of workers.
    #[arg(long, value_delimiter = ',', default_value = "500,1000,2000,4000")]
    workers: Vec<usize>,
    /// Seconds that are measured, after as many of warming up.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Arrays of 64 tasks that wait besides, for which no room ever gets free.
    #[arg(long, default_value_t = 0)]
    backlog: usize,
    /// Lets the state service lose everything after the measurement, and measures the rebuilding; not for earlier versions.
    #[arg(long, conflicts_with = "before")]
    lose_state: bool,
    /// The controller's limit of sockets.
    #[arg(long, default_value_t = 6_000)]
    sockets: usize,
    /// Writes a report with plots to this file.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let mut all = Vec::new();
    for workers in &args.workers {
        let versions = [
            ("before", args.before.as_ref()),
            ("now", Some(&args.controller)),
        ];
        for (version, program) in versions {
            let Some(program) = program else { continue };
            match run(&args, version, program, *workers) {
                Ok(measurement) => {
                    println!("{measurement}");
                    all.push(measurement);
                }
                Err(e) => {
                    eprintln!("ravenhead-load: {e}");
                    return ExitCode::FAILURE;
                }
            }
        }
    }
    measure::print_ratios(&all);
    if let Some(path) = &args.html
        && let Err(e) = report::write(path, &all)
    {
        eprintln!("ravenhead-load: {}: {e}", path.display());
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

/// Measures one program with so many workers.
fn run(
    args: &Args,
    version: &str,
    program: &std::path::Path,
    workers: usize,
) -> std::io::Result<Measurement> {
    let ex = Rc::new(LocalExecutor::new());
    let site = Site::new(workers);
    let second = Duration::from_secs(args.seconds);
    async_io::block_on(ex.clone().run(async {
        let places = site.listen(&ex).await?;
        let controller = Controller::start(program, &places, args.sockets, args.lose_state)?;
        site.start_workers(&ex, controller.bind);
        site.submit_work(&ex, controller.bind, args.backlog).await;
        Timer::after(second).await;
        let began = controller.usage()?;
        site.begin_measuring();
        Timer::after(second).await;
        let ended = controller.usage()?;
        let measurement = site.measurement(version, args.seconds, &began, &ended);
        if args.lose_state {
            let rebuilt = site.lose_state().await;
            let memory_mb = controller.usage()?.memory_mb;
            println!("workers={workers} {rebuilt} memory_mb={memory_mb:.1}");
        }
        Ok(measurement)
    }))
}
