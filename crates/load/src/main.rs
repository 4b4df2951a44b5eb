//! Load generator: runs a real controller on loopback with thousands of simulated workers and measures it.
//!
//! The key-value store, the cloud and the workers are simulated on the same machine. The results are suitable for
//! comparing versions, but not for predicting how many machines a deployment can manage.

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

/// Measures a real controller on loopback under the load of simulated workers.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// Controller binary to measure.
    #[arg(long, value_name = "FILE", default_value = "target/release/ravenhead")]
    controller: PathBuf,
    /// Second binary to measure for comparison, for example an earlier version.
    #[arg(long, value_name = "FILE")]
    before: Option<PathBuf>,
    /// Numbers of workers; each is measured in a separate run.
    #[arg(long, value_delimiter = ',', default_value = "500,1000,2000,4000")]
    workers: Vec<usize>,
    /// Duration of the measurement in seconds, which follows a warm-up of the same length.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Number of additional low-priority arrays of 64 tasks, which stay queued as all resources are in use.
    #[arg(long, default_value_t = 0)]
    backlog: usize,
    /// Makes the key-value store lose all state after the measurement, and measures how long the rebuild takes. Can't
    /// be combined with --before, as earlier versions may not support it.
    #[arg(long, conflicts_with = "before")]
    lose_state: bool,
    /// Limit of open sockets in the controller's configuration.
    #[arg(long, default_value_t = 6_000)]
    sockets: usize,
    /// Writes an HTML report with plots to this file.
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let mut measurements = Vec::new();
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
                    measurements.push(measurement);
                }
                Err(e) => {
                    eprintln!("ravenhead-load: {e}");
                    return ExitCode::FAILURE;
                }
            }
        }
    }
    measure::print_ratios(&measurements);
    if let Some(path) = &args.html
        && let Err(e) = report::write(path, &measurements)
    {
        eprintln!("ravenhead-load: {}: {e}", path.display());
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}

/// Runs and measures one controller binary with the given number of workers.
fn run(
    args: &Args,
    version: &str,
    program: &std::path::Path,
    workers: usize,
) -> std::io::Result<Measurement> {
    let executor = Rc::new(LocalExecutor::new());
    let site = Site::new(workers);
    let phase = Duration::from_secs(args.seconds);
    async_io::block_on(executor.clone().run(async {
        let addresses = site.listen(&executor).await?;
        let controller = Controller::start(program, &addresses, args.sockets, args.lose_state)?;
        site.start_workers(&executor, controller.bind);
        site.submit_work(&executor, controller.bind, args.backlog)
            .await;
        Timer::after(phase).await;
        let usage_before = controller.usage()?;
        site.start_measurement();
        Timer::after(phase).await;
        let usage_after = controller.usage()?;
        let measurement = site.measurement(version, args.seconds, &usage_before, &usage_after);
        if args.lose_state {
            let rebuild = site.lose_state().await;
            let memory_mb = controller.usage()?.memory_mb;
            println!("workers={workers} {rebuild} memory_mb={memory_mb:.1}");
        }
        Ok(measurement)
    }))
}
