//! A deployment on loopback: controllers, stand-ins, users and the invariant checker.

use super::Options;
use super::cloud::Cloud;
use super::controllers::{Controllers, Outside, SMALL_LIMIT, ZONES};
use super::server;
use super::spawner::Spawner;
use super::state_service::StateService;
use super::worker::{CANCEL_S, LEASE_S};
use async_io::Timer;
use http_types::Method;
use ravenhead::http::Client;
use ravenhead::units::Micros;
use ravenhead_stand_ins::invariants::InvariantChecker;
use std::cell::{Cell, OnceCell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::ops::Deref;
use std::rc::Rc;
use std::time::{Duration, Instant};

const MICROS_PER_SECOND: f64 = 1e6;
/// Machines that the cloud has beyond those that run from the start, as a part of these.
const SPARE_CAPACITY: f64 = 0.5;
/// Seconds between two checks of the deadlines of cancellations.
const DEADLINE_CHECK_INTERVAL_S: f64 = 0.25;
/// How long a duplicate of a heartbeat waits for the response, which nobody reads.
const DUPLICATE_TIMEOUT: Micros = Micros::secs(4);

/// Waits for some seconds.
pub(super) async fn sleep(seconds: f64) {
    Timer::after(Duration::from_secs_f64(seconds)).await;
}

/// The controllers, which start after the stand-ins that they need.
#[derive(Default)]
pub(super) struct LateControllers(OnceCell<Controllers>);

impl Deref for LateControllers {
    type Target = Controllers;

    fn deref(&self) -> &Controllers {
        self.0.get().expect("the controllers are started")
    }
}

/// A deployment.
pub(super) struct Site {
    pub(super) spawner: Spawner,
    started: Instant,
    rng: RefCell<fastrand::Rng>,
    pub(super) checker: RefCell<InvariantChecker>,
    pub(super) state: StateService,
    pub(super) cloud: Cloud,
    pub(super) controllers: LateControllers,
    submissions_stopped: Cell<bool>,
    /// Fraction of the heartbeats of which a duplicate arrives later.
    pub(super) duplicate_rate: Cell<f64>,
}

impl Site {
    /// Starts the stand-ins, the controllers and the machines.
    pub(super) async fn start(options: &Options, spawner: Spawner) -> io::Result<Rc<Site>> {
        let limits = [("small", SMALL_LIMIT)];
        let capacity = options.workers + (options.workers as f64 * SPARE_CAPACITY) as usize;
        let site = Rc::new(Site {
            spawner: spawner.clone(),
            started: Instant::now(),
            rng: RefCell::new(fastrand::Rng::with_seed(options.seed)),
            checker: RefCell::new(InvariantChecker::new(CANCEL_S, &limits)),
            state: StateService::new(),
            cloud: Cloud::new(capacity),
            controllers: LateControllers::default(),
            submissions_stopped: Cell::new(false),
            duplicate_rate: Cell::new(0.0),
        });
        let cloud = site.listen_cloud().await?;
        let mut outside = Vec::new();
        for node in 0..options.controllers {
            let state = site.listen_state(node).await?;
            outside.push(Outside { state, cloud });
        }
        let controllers = Controllers::start(&spawner, &options.controller, &outside).await?;
        let _ = site.controllers.0.set(controllers);
        for number in 0..options.workers {
            site.add_machine(ZONES[number % ZONES.len()], number % 3 == 0, 0.5);
        }
        let checked = site.clone();
        site.spawn(async move {
            loop {
                sleep(DEADLINE_CHECK_INTERVAL_S).await;
                checked.check_deadlines();
            }
        });
        Ok(site)
    }

    async fn listen_cloud(self: &Rc<Site>) -> io::Result<SocketAddr> {
        let site = self.clone();
        server::listen(&self.spawner, move |request| {
            site.clone().answer_cloud(request)
        })
        .await
    }

    async fn listen_state(self: &Rc<Site>, node: usize) -> io::Result<SocketAddr> {
        let site = self.clone();
        let answer = move |request| site.clone().answer_state(node, request);
        server::listen(&self.spawner, answer).await
    }

    /// Returns the time since the start in microseconds.
    pub(super) fn now(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    /// Returns the time since the start in seconds.
    pub(super) fn now_s(&self) -> f64 {
        self.now() as f64 / MICROS_PER_SECOND
    }

    pub(super) async fn sleep(&self, seconds: f64) {
        sleep(seconds).await;
    }

    /// Returns a random number from 0 to 1.
    pub(super) fn random(&self) -> f64 {
        self.rng.borrow_mut().f64()
    }

    /// Returns a random number below `n`.
    pub(super) fn random_below(&self, n: usize) -> usize {
        self.rng.borrow_mut().usize(..n)
    }

    pub(super) fn spawn(&self, work: impl Future<Output = ()> + 'static) {
        self.spawner.spawn(work).detach();
    }

    pub(super) fn stop_submissions(&self) {
        self.submissions_stopped.set(true);
    }

    pub(super) fn submissions_stopped(&self) -> bool {
        self.submissions_stopped.get()
    }

    pub(super) fn check_deadlines(&self) {
        self.checker.borrow_mut().check_deadlines(self.now());
    }

    /// Returns the run time of a job's tasks in microseconds.
    pub(super) fn run_time(&self, job: &str) -> u64 {
        let checker = self.checker.borrow();
        let spec = checker.jobs.get(job).map(|job| &job.spec);
        let run_s = spec.and_then(|spec| spec["expectS"].as_f64());
        (run_s.unwrap_or(1.0) * MICROS_PER_SECOND) as u64
    }

    /// Delivers a duplicate of a heartbeat to a controller some seconds later, at random.
    pub(super) fn duplicate_heartbeat(self: &Rc<Site>, node: usize, body: &[u8]) {
        if self.random() >= self.duplicate_rate.get() {
            return;
        }
        let (site, body) = (self.clone(), body.to_vec());
        let delay_s = 1.0 + self.random() * LEASE_S * 1.5;
        self.spawn(async move {
            sleep(delay_s).await;
            let client = Client::new(site.controllers.bind[node]);
            let call = client.call(Method::Post, "/checkin", Some(body), DUPLICATE_TIMEOUT);
            let _ = call.await;
        });
    }
}
