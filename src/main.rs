//! The program: reads the command line and the settings, and runs a controller.

use async_executor::LocalExecutor;
use clap::Parser;
use log::{LevelFilter, warn};
use ravenhead::config::{ConfigError, Platform, Settings};
use ravenhead::controller::{self, Controller};
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

/// A controller of the ravenhead cluster scheduler.
///
/// Takes jobs from users, rents machines from a cloud and tells workers what to run. State is kept only in the state
/// service that the platform's settings name. The log goes to standard error; LOG_LEVEL is error, info or debug.
#[derive(Parser)]
#[command(version)]
struct Args {
    /// The platform's settings (TOML).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// The operators' own settings (XML); without it every default holds.
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// Only check the settings.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    start_log();
    match load(&args) {
        Ok(_) if args.check => {
            println!("settings are fine");
            ExitCode::SUCCESS
        }
        Ok((platform, settings)) => {
            let ex = LocalExecutor::new();
            let node = Rc::new(Controller::new(platform, settings));
            match async_io::block_on(ex.run(controller::run(&ex, node))) {
                Ok(()) => ExitCode::SUCCESS,
                Err(e) => {
                    eprintln!("ravenhead: cannot listen: {e}");
                    ExitCode::FAILURE
                }
            }
        }
        Err(e) => {
            eprintln!("ravenhead: {e}");
            ExitCode::from(2)
        }
    }
}

fn load(args: &Args) -> Result<(Platform, Settings), ConfigError> {
    let platform = Platform::load(&args.config)?;
    let settings = match &args.settings {
        Some(path) => Settings::load(path)?,
        None => Settings::default(),
    };
    Ok((platform, settings))
}

fn start_log() {
    let asked = std::env::var("LOG_LEVEL").unwrap_or_default();
    let level = match asked.as_str() {
        "error" => Some(LevelFilter::Error),
        "info" => Some(LevelFilter::Info),
        "debug" => Some(LevelFilter::Debug),
        _ => None,
    };
    env_logger::Builder::new()
        .filter_level(LevelFilter::Error)
        .filter_module("ravenhead", level.unwrap_or(LevelFilter::Info))
        .format(|out, record| {
            use std::io::Write;
            let level = record.level().as_str().to_lowercase();
            writeln!(out, "level={level} {}", record.args())
        })
        .init();
    if level.is_none() && !asked.is_empty() {
        warn!("event=invalid_log_level value={asked:?} using=info");
    }
}
