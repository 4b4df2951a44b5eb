//! The `ravenhead` program: reads the command line and the settings, and runs a controller.

use async_executor::LocalExecutor;
use clap::Parser;
use env_logger::fmt::Formatter;
use log::{LevelFilter, Record, warn};
use ravenhead::config::{ConfigError, Platform, Settings};
use ravenhead::controller::{self, Controller};
use std::io::{self, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

/// Exit code if the controller can't listen on one of its addresses.
const EXIT_CANNOT_LISTEN: ExitCode = ExitCode::FAILURE;
/// Exit code for an invalid settings file. Command line errors have the same code.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Environment variable that sets the log level: error, info or debug.
const LOG_LEVEL_VARIABLE: &str = "LOG_LEVEL";
/// Log level if the variable is not set or has an invalid value.
const DEFAULT_LOG_LEVEL: LevelFilter = LevelFilter::Info;

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
    match load_settings(&args) {
        Ok(_) if args.check => {
            println!("settings are fine");
            ExitCode::SUCCESS
        }
        Ok((platform, settings)) => run(platform, settings),
        Err(e) => {
            eprintln!("ravenhead: {e}");
            ExitCode::from(EXIT_INVALID_SETTINGS)
        }
    }
}

/// Runs a controller until it stops, and returns the exit code of the program.
fn run(platform: Platform, settings: Settings) -> ExitCode {
    let ex = LocalExecutor::new();
    let controller = Rc::new(Controller::new(platform, settings));
    match async_io::block_on(ex.run(controller::run(&ex, controller))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("ravenhead: cannot listen: {e}");
            EXIT_CANNOT_LISTEN
        }
    }
}

fn load_settings(args: &Args) -> Result<(Platform, Settings), ConfigError> {
    let platform = Platform::load(&args.config)?;
    let settings = match &args.settings {
        Some(path) => Settings::load(path)?,
        None => Settings::default(),
    };
    Ok((platform, settings))
}

/// Starts logging to standard error. The requested level applies to this program; its libraries log only errors.
fn start_log() {
    let requested = std::env::var(LOG_LEVEL_VARIABLE).unwrap_or_default();
    let level = parse_level(&requested);
    env_logger::Builder::new()
        .filter_level(LevelFilter::Error)
        .filter_module("ravenhead", level.unwrap_or(DEFAULT_LOG_LEVEL))
        .format(write_record)
        .init();
    if level.is_none() && !requested.is_empty() {
        warn!("event=invalid_log_level value={requested:?} using=info");
    }
}

fn parse_level(name: &str) -> Option<LevelFilter> {
    match name {
        "error" => Some(LevelFilter::Error),
        "info" => Some(LevelFilter::Info),
        "debug" => Some(LevelFilter::Debug),
        _ => None,
    }
}

/// Writes a log record as one line of `key=value` pairs that begins with the level.
fn write_record(out: &mut Formatter, record: &Record<'_>) -> io::Result<()> {
    let level = record.level().as_str().to_lowercase();
    writeln!(out, "level={level} {}", record.args())
}
