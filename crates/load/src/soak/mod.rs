//! A seeded, randomized fault test: real controllers on loopback with stand-ins for workers, users, key-value store and
//! cloud.
//!
//! A schedule of overlapping faults is drawn from the seed. Meanwhile users submit, query, cancel and repeat at all
//! controllers. Every response and every start and end of a task goes to the invariant checker. After the last fault,
//! each accepted job is asked about until it is answered.

mod cloud;
mod controllers;
mod faults;
mod proxy;
mod server;
mod site;
mod spawner;
mod state_service;
mod users;
mod worker;

use async_executor::LocalExecutor;
use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};
use ravenhead_stand_ins::answers::ANSWER_LIMIT_S;
use site::Site;
use spawner::Spawner;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;

/// Seconds without faults before the first one, in which jobs start.
const WARM_UP_S: f64 = 4.0;
/// Seconds between two looks at the answers.
const CHECK_INTERVAL_S: f64 = 0.5;

/// Size of a run, and the seed from which its faults are drawn.
#[derive(Debug, Clone)]
pub struct Options {
    /// Program of the controllers.
    pub controller: PathBuf,
    /// Seed of the schedule of faults and of the users' choices.
    pub seed: u64,
    /// Number of controllers.
    pub controllers: usize,
    /// Number of machines.
    pub workers: usize,
    /// Seconds in which faults begin.
    pub fault_s: f64,
}

/// What happened in a run.
#[derive(Debug)]
pub struct Report {
    /// The seed of the run.
    pub seed: u64,
    /// The faults, in the order of their beginning.
    pub schedule: Vec<String>,
    /// Number of jobs that were accepted.
    pub accepted: usize,
    /// Number of jobs whose cancellation was confirmed.
    pub cancelled: usize,
    /// Number of tasks that started.
    pub starts: usize,
    /// Seconds after the last fault at which the last job was answered about.
    pub answered_after_s: f64,
    /// The invariants that were violated.
    pub violations: Vec<String>,
    /// All events that the invariant checker was told, in order.
    pub history: Vec<String>,
}

/// Runs one seed. All processes and tasks that it started have ended when it returns.
///
/// # Errors
///
/// Fails if a listener or a controller can't be started, or if this process is told to end.
pub fn run(options: &Options) -> io::Result<Report> {
    let executor: Rc<LocalExecutor<'static>> = Rc::default();
    let spawner = Spawner::new(&executor);
    let run = future::or(play(options, spawner), interrupted());
    async_io::block_on(executor.run(run))
}

/// Returns once this process is told to end. If the signal ended it at once, the controllers would be left behind.
async fn interrupted() -> io::Result<Report> {
    let mut signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
    signals.next().await;
    Err(io::ErrorKind::Interrupted.into())
}

async fn play(options: &Options, spawner: Spawner) -> io::Result<Report> {
    let schedule = faults::Schedule::draw(options);
    let site = Site::start(options, spawner).await?;
    site.start_users();
    site.sleep(WARM_UP_S).await;
    site.play_faults(&schedule).await;
    site.stop_submissions();
    let faults_ended_at = site.now_s();
    let answers = site.watch_answers();
    let elapsed_s = || site.now_s() - faults_ended_at;
    while elapsed_s() < ANSWER_LIMIT_S && !answers.is_complete() {
        site.sleep(CHECK_INTERVAL_S).await;
    }
    let answered_after_s = elapsed_s();
    if answers.is_complete() {
        site.ask_once_more().await;
    }
    site.check_deadlines();
    let checker = site.checker.borrow();
    let mut violations = checker.violations.clone();
    violations.extend(answers.violations());
    if checker.starts == 0 {
        violations.push("nothing_ran".to_owned());
    }
    let accepted = checker.jobs.values().filter(|j| j.accepted_at.is_some());
    let is_cancelled = |state: &Option<(String, u64)>| {
        let end = state.as_ref().map(|(state, _)| state.as_str());
        end == Some("aborted")
    };
    let cancelled = checker
        .jobs
        .values()
        .filter(|j| is_cancelled(&j.final_state));
    Ok(Report {
        seed: options.seed,
        schedule: schedule.lines(),
        accepted: accepted.count(),
        cancelled: cancelled.count(),
        starts: checker.starts,
        answered_after_s,
        violations,
        history: checker.event_log.clone(),
    })
}
