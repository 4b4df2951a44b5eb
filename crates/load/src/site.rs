//! A simulated site on loopback: key-value store, cloud, workers, and users that submit jobs.

use crate::controller::Usage;
use crate::measure::{Measurement, Recorder};
use crate::worker::{self, Worker};
use async_executor::LocalExecutor;
use async_io::Timer;
use event_listener::Event;
use futures_lite::FutureExt;
use http_types::Method;
use ravenhead::http::{Client, HttpRequest, HttpResponse, serve};
use ravenhead::net::Listener;
use ravenhead::units::Micros;
use ravenhead_stand_ins::keys::{KeyValueStore, query_field};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Replicas of each service and tasks of each array.
const TASKS_PER_JOB: usize = 64;
/// Accelerators of each machine. Each task uses one.
pub const ACCELERATORS: usize = 4;
/// Accelerators per machine that services use; arrays use the others.
const SERVICE_ACCELERATORS: usize = 2;
/// Run time of a task of an array, in seconds.
pub const TASK_DURATION_S: f64 = 20.0;

/// Maximum time to wait for a rebuild.
const REBUILD_TIMEOUT: Duration = Duration::from_secs(120);

/// Listening addresses of the simulated external services.
pub struct ServiceAddresses {
    /// Address of the key-value store.
    pub state: SocketAddr,
    /// Address of the cloud API.
    pub cloud: SocketAddr,
}

/// Measurements of a rebuild after a loss of state.
pub struct RebuildResult {
    /// Number of keys that were lost.
    keys: usize,
    /// Number of requests to the key-value store until the rebuild was confirmed or timed out.
    requests: u64,
    /// Time from the loss until the records were restored, or `None` if that timed out.
    restored: Option<Duration>,
    /// Time from the loss until the rebuild was confirmed, or `None` if that timed out.
    confirmed: Option<Duration>,
}

impl fmt::Display for RebuildResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = |time: Option<Duration>| time.map_or(f64::NAN, |t| t.as_secs_f64());
        write!(
            f,
            "lost_keys={} state_requests={} restored_s={:.1} confirmed_s={:.1}",
            self.keys,
            self.requests,
            seconds(self.restored),
            seconds(self.confirmed)
        )
    }
}

/// A simulated site; clones share its state.
#[derive(Clone)]
pub struct Site(Rc<Inner>);

struct Inner {
    workers: usize,
    keys: RefCell<KeyValueStore>,
    keys_changed: Event,
    recorder: RefCell<Recorder>,
}

impl Site {
    /// Creates a site with the given number of machines, all of which are running from the start.
    pub fn new(workers: usize) -> Site {
        Site(Rc::new(Inner {
            workers,
            keys: RefCell::default(),
            keys_changed: Event::new(),
            recorder: RefCell::new(Recorder::new()),
        }))
    }

    /// Starts to serve the key-value store and the cloud API.
    pub async fn listen(
        &self,
        executor: &Rc<LocalExecutor<'static>>,
    ) -> io::Result<ServiceAddresses> {
        let state = Listener::bind(SocketAddr::from(([127, 0, 7, 2], 0))).await?;
        let cloud = Listener::bind(SocketAddr::from(([127, 0, 7, 3], 0))).await?;
        let addresses = ServiceAddresses {
            state: state.local_addr()?,
            cloud: cloud.local_addr()?,
        };
        let site = self.clone();
        executor
            .spawn(serve_connections(executor.clone(), state, move |request| {
                let site = site.clone();
                async move { site.handle_state_request(&request).await }
            }))
            .detach();
        let site = self.clone();
        executor
            .spawn(serve_connections(executor.clone(), cloud, move |request| {
                let site = site.clone();
                async move { site.handle_cloud_request(&request) }
            }))
            .detach();
        Ok(addresses)
    }

    /// Starts all workers, which send heartbeats to the controller.
    pub fn start_workers(&self, executor: &LocalExecutor<'static>, controller: SocketAddr) {
        for number in 0..self.0.workers {
            let site = self.clone();
            executor
                .spawn(async move {
                    worker::run(Worker::new(number), controller, |elapsed| {
                        site.0.recorder.borrow_mut().record_response(elapsed);
                    })
                    .await;
                })
                .detach();
        }
    }

    /// Submits services that use half of the accelerators, then the backlog, and then continuously as many arrays as
    /// the other half can run.
    pub async fn submit_work(
        &self,
        executor: &LocalExecutor<'static>,
        controller: SocketAddr,
        backlog: usize,
    ) {
        let services = self.0.workers * SERVICE_ACCELERATORS / TASKS_PER_JOB;
        for number in 0..services {
            submit(controller, &job(number, true)).await;
        }
        for number in 0..backlog {
            // Low priority keeps the backlog behind all other jobs.
            let mut backlog_job = job(1_000_000 + number, false);
            backlog_job["rank"] = json!("low");
            submit(controller, &backlog_job).await;
        }
        let concurrent_arrays =
            (self.0.workers * (ACCELERATORS - SERVICE_ACCELERATORS)) as f64 / TASKS_PER_JOB as f64;
        let interval = Duration::from_secs_f64(TASK_DURATION_S / concurrent_arrays);
        executor
            .spawn(async move {
                for number in 0.. {
                    submit(controller, &job(number, false)).await;
                    Timer::after(interval).await;
                }
            })
            .detach();
    }

    /// Starts a measurement by discarding everything recorded so far.
    pub fn start_measurement(&self) {
        self.0.recorder.replace(Recorder::new());
    }

    /// Makes the key-value store lose all state, and returns when the rebuild is confirmed or after
    /// [`REBUILD_TIMEOUT`].
    pub async fn lose_state(&self) -> RebuildResult {
        let keys = self.0.keys.borrow().entries.len();
        self.0.keys.borrow_mut().lose_all();
        self.0.keys_changed.notify(usize::MAX);
        let state_requests = || self.0.recorder.borrow().state_requests;
        let requests_before = state_requests();
        let started = Instant::now();
        let mut result = RebuildResult {
            keys,
            requests: 0,
            restored: None,
            confirmed: None,
        };
        while result.confirmed.is_none() && started.elapsed() < REBUILD_TIMEOUT {
            Timer::after(Duration::from_millis(50)).await;
            let loss = self.0.keys.borrow().entries.get("r/loss").cloned();
            let Some((loss, _)) = loss else { continue };
            let elapsed = started.elapsed();
            if loss["restored"] == true {
                result.restored.get_or_insert(elapsed);
            }
            if loss["confirmed"] == true {
                result.confirmed = Some(elapsed);
            }
        }
        result.requests = state_requests() - requests_before;
        result
    }

    /// Returns the results of the measurement that started with [`Site::start_measurement`].
    pub fn measurement(
        &self,
        version: &str,
        seconds: u64,
        usage_before: &Usage,
        usage_after: &Usage,
    ) -> Measurement {
        let recorder = self.0.recorder.borrow();
        Measurement::new(
            version,
            self.0.workers,
            seconds,
            &recorder,
            usage_before,
            usage_after,
        )
    }

    async fn handle_state_request(&self, request: &HttpRequest) -> HttpResponse {
        let site = &self.0;
        site.recorder.borrow_mut().state_requests += 1;
        let path: Vec<&str> = request.path.trim_matches('/').split('/').collect();
        match (request.method, path.as_slice()) {
            (Method::Post, ["txn"]) => {
                let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
                let changes = body["writes"].as_array().map_or(0, Vec::len);
                site.recorder.borrow_mut().state_changes += changes as u64;
                let response = site.keys.borrow_mut().apply_transaction(&body);
                site.keys_changed.notify(usize::MAX);
                response
            }
            (Method::Post, ["holds"]) => {
                let mut keys = site.keys.borrow_mut();
                keys.last_lease += 1;
                HttpResponse::json(200, &json!({ "tenure": keys.last_lease }))
            }
            (Method::Post, _) => HttpResponse::json(200, &json!({})),
            (Method::Delete, ["holds", lease]) => {
                let response = site.keys.borrow_mut().end_lease(lease.parse().unwrap_or(0));
                site.keys_changed.notify(usize::MAX);
                response
            }
            (Method::Get, ["keys"]) => site.keys.borrow().list_page(&request.query),
            (Method::Get, ["watch"]) => self.watch(request).await,
            (Method::Get, _) => {
                let key = request.path.trim_start_matches("/keys/");
                site.keys.borrow().get(key)
            }
            _ => HttpResponse::error(400, "odd"),
        }
    }

    async fn watch(&self, request: &HttpRequest) -> HttpResponse {
        let number = |name| query_field(&request.query, name).and_then(|v| v.parse::<u64>().ok());
        let since = number("from").unwrap_or(0);
        let changed = self.0.keys_changed.listen();
        if self.0.keys.borrow().revision <= since {
            let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
            let timeout = async {
                Timer::after(wait).await;
            };
            changed.or(timeout).await;
        }
        let keys = self.0.keys.borrow();
        let news: Vec<&Value> = keys.changes_since(since).collect();
        HttpResponse::json(200, &json!({"epoch": keys.revision, "news": news}))
    }

    fn handle_cloud_request(&self, request: &HttpRequest) -> HttpResponse {
        match (request.method, request.path.as_str()) {
            (Method::Get, "/flavors") => HttpResponse::json(
                200,
                &json!({"rigs": [{"label": "g4", "cores": 16.0, "cards": ACCELERATORS as f64, "ramGb": 64.0,
                    "localGb": 100.0, "fetchGbPerS": 1.0, "rate": 6.0, "lowPrice": 2.0, "bootS": 10.0,
                    "yards": ["a", "b"]}]}),
            ),
            (Method::Get, "/hosts") => self.list_machines(&request.query),
            (Method::Post, "/hosts") => HttpResponse::error(503, "no capacity"),
            _ => HttpResponse::json(200, &json!({})),
        }
    }

    fn list_machines(&self, query: &str) -> HttpResponse {
        let page = query_field(query, "page").and_then(|p| p.parse().ok());
        let page: usize = page.unwrap_or(500);
        let from = query_field(query, "from").unwrap_or_default();
        let first = (0..self.0.workers).find(|n| worker::machine_name(*n).as_str() > from);
        let first = first.unwrap_or(self.0.workers);
        let end = (first + page).min(self.0.workers);
        let hosts: Vec<Value> = (first..end)
            .map(|n| {
                json!({"nameId": worker::machine_name(n), "endpoint": "e", "rig": "g4", "yard": worker::zone(n),
                    "loaners": true, "status": "running", "ageS": 600.0})
            })
            .collect();
        HttpResponse::json(200, &json!({"hosts": hosts, "more": end < self.0.workers}))
    }
}

/// Submits a job, and retries until the controller accepts it.
async fn submit(controller: SocketAddr, job: &Value) {
    let client = Client::new(controller);
    loop {
        let body = Some(job.to_string().into_bytes());
        let response = client.call(Method::Post, "/work", body, Micros::secs(5));
        if matches!(response.await, Ok((200 | 201, _))) {
            return;
        }
        Timer::after(Duration::from_millis(200)).await;
    }
}

async fn serve_connections<F, Fut>(
    executor: Rc<LocalExecutor<'static>>,
    listener: Listener,
    handler: F,
) where
    F: Fn(HttpRequest) -> Fut + Clone + 'static,
    Fut: Future<Output = HttpResponse> + 'static,
{
    while let Ok(stream) = listener.accept().await {
        let handler = handler.clone();
        executor
            .spawn(async move { serve(stream, || Micros::secs(120), handler).await })
            .detach();
    }
}

/// Returns whether a task belongs to a service. Such a task runs until it is stopped.
pub fn is_service(task: &str) -> bool {
    task.starts_with(SERVICE_PREFIX)
}

/// Prefix of the job ids of services.
const SERVICE_PREFIX: &str = "j-s";
/// Prefix of the job ids of arrays.
const ARRAY_PREFIX: &str = "j-a";

fn job(number: usize, service: bool) -> Value {
    let (prefix, shape, rank, expect_s) = if service {
        (SERVICE_PREFIX, "standing", "critical", 0.0)
    } else {
        (ARRAY_PREFIX, "sweep", "normal", TASK_DURATION_S)
    };
    json!({"nameId": format!("{prefix}{number:06}"), "lane": "load", "crew": "team", "shape": shape, "rank": rank,
        "takes": TASKS_PER_JOB, "cores": 4.0, "cards": 1.0, "ramGb": 8.0, "reel": format!("i-{}", number % 16),
        "pullGb": 1.0, "rigs": null, "yard": null, "together": false, "spread": false, "loaners": true,
        "expectS": expect_s, "markS": 0.0, "stowS": 0.0, "dueS": null})
}
