//! A site of stand-ins: state service, cloud, workers and users, all on loopback.

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

/// Replicas of one service, and tasks of one array.
const TASKS: usize = 64;
/// A machine's accelerators: one task each.
pub const CARDS: usize = 4;
/// Of a machine's accelerators so many are for services.
const FOR_SERVICES: usize = 2;
/// Seconds that a task of an array runs.
pub const TASK_S: f64 = 20.0;

/// How long a rebuild is waited for.
const REBUILT_WITHIN: Duration = Duration::from_secs(120);

/// Where the outside systems listen.
pub struct Places {
    /// The state service.
    pub state: SocketAddr,
    /// The cloud.
    pub cloud: SocketAddr,
}

/// How a rebuild went.
pub struct Rebuilt {
    keys: usize,
    /// Requests to the state service until it was confirmed.
    requests: u64,
    restored: Option<Duration>,
    confirmed: Option<Duration>,
}

impl fmt::Display for Rebuilt {
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

/// All stand-ins together.
#[derive(Clone)]
pub struct Site(Rc<Inner>);

struct Inner {
    workers: usize,
    keys: RefCell<KeyValueStore>,
    keys_changed: Event,
    recorder: RefCell<Recorder>,
}

impl Site {
    /// A site with so many machines, which all run from the beginning.
    pub fn new(workers: usize) -> Site {
        Site(Rc::new(Inner {
            workers,
            keys: RefCell::default(),
            keys_changed: Event::new(),
            recorder: RefCell::new(Recorder::new()),
        }))
    }

    /// Begins to serve the state service and the cloud.
    pub async fn listen(&self, ex: &Rc<LocalExecutor<'static>>) -> io::Result<Places> {
        let state = Listener::bind(SocketAddr::from(([127, 0, 7, 2], 0))).await?;
        let cloud = Listener::bind(SocketAddr::from(([127, 0, 7, 3], 0))).await?;
        let places = Places {
            state: state.local_addr()?,
            cloud: cloud.local_addr()?,
        };
        let site = self.clone();
        ex.spawn(accept(ex.clone(), state, move |call| {
            let site = site.clone();
            async move { site.answer_state(&call).await }
        }))
        .detach();
        let site = self.clone();
        ex.spawn(accept(ex.clone(), cloud, move |call| {
            let site = site.clone();
            async move { site.answer_cloud(&call) }
        }))
        .detach();
        Ok(places)
    }

    /// Lets all workers report to a controller.
    pub fn start_workers(&self, ex: &LocalExecutor<'static>, controller: SocketAddr) {
        for number in 0..self.0.workers {
            let site = self.clone();
            ex.spawn(async move {
                worker::run(Worker::new(number), controller, |took| {
                    site.0.recorder.borrow_mut().report(took);
                })
                .await;
            })
            .detach();
        }
    }

    /// Submits services for half of the places, a backlog, and then arrays for ever, so many as the other half can run.
    pub async fn submit_work(
        &self,
        ex: &LocalExecutor<'static>,
        controller: SocketAddr,
        backlog: usize,
    ) {
        let services = self.0.workers * FOR_SERVICES / TASKS;
        for number in 0..services {
            submit(controller, &job(number, true)).await;
        }
        for number in 0..backlog {
            // Of low priority, behind all others.
            let mut waiting = job(1_000_000 + number, false);
            waiting["rank"] = json!("low");
            submit(controller, &waiting).await;
        }
        let arrays_at_once = (self.0.workers * (CARDS - FOR_SERVICES)) as f64 / TASKS as f64;
        let between = Duration::from_secs_f64(TASK_S / arrays_at_once);
        ex.spawn(async move {
            for number in 0.. {
                submit(controller, &job(number, false)).await;
                Timer::after(between).await;
            }
        })
        .detach();
    }

    /// Forgets what was recorded so far.
    pub fn begin_measuring(&self) {
        self.0.recorder.replace(Recorder::new());
    }

    /// Everything that the state service holds is lost; returns when it is rebuilt and confirmed, or after two minutes.
    pub async fn lose_state(&self) -> Rebuilt {
        let keys = self.0.keys.borrow().entries.len();
        self.0.keys.borrow_mut().lose_all();
        self.0.keys_changed.notify(usize::MAX);
        let asked = || self.0.recorder.borrow().state_requests;
        let asked_before = asked();
        let began = Instant::now();
        let mut rebuilt = Rebuilt {
            keys,
            requests: 0,
            restored: None,
            confirmed: None,
        };
        while rebuilt.confirmed.is_none() && began.elapsed() < REBUILT_WITHIN {
            Timer::after(Duration::from_millis(50)).await;
            let loss = self.0.keys.borrow().entries.get("r/loss").cloned();
            let Some((loss, _)) = loss else { continue };
            let passed = began.elapsed();
            if loss["restored"] == true {
                rebuilt.restored.get_or_insert(passed);
            }
            if loss["confirmed"] == true {
                rebuilt.confirmed = Some(passed);
            }
        }
        rebuilt.requests = asked() - asked_before;
        rebuilt
    }

    /// What was measured.
    pub fn measurement(
        &self,
        version: &str,
        seconds: u64,
        began: &Usage,
        ended: &Usage,
    ) -> Measurement {
        let recorder = self.0.recorder.borrow();
        Measurement::new(version, self.0.workers, seconds, &recorder, began, ended)
    }

    async fn answer_state(&self, call: &HttpRequest) -> HttpResponse {
        let site = &self.0;
        site.recorder.borrow_mut().state_requests += 1;
        let path: Vec<&str> = call.path.trim_matches('/').split('/').collect();
        match (call.method, path.as_slice()) {
            (Method::Post, ["txn"]) => {
                let body: Value = serde_json::from_slice(&call.body).unwrap_or_default();
                let changes = body["writes"].as_array().map_or(0, Vec::len);
                site.recorder.borrow_mut().state_changes += changes as u64;
                let reply = site.keys.borrow_mut().apply_transaction(&body);
                site.keys_changed.notify(usize::MAX);
                reply
            }
            (Method::Post, ["holds"]) => {
                let mut keys = site.keys.borrow_mut();
                keys.last_lease += 1;
                HttpResponse::json(200, &json!({ "tenure": keys.last_lease }))
            }
            (Method::Post, _) => HttpResponse::json(200, &json!({})),
            (Method::Delete, ["holds", lease]) => {
                let reply = site.keys.borrow_mut().end_lease(lease.parse().unwrap_or(0));
                site.keys_changed.notify(usize::MAX);
                reply
            }
            (Method::Get, ["keys"]) => site.keys.borrow().list_page(&call.query),
            (Method::Get, ["watch"]) => self.watch(call).await,
            (Method::Get, _) => {
                let key = call.path.trim_start_matches("/keys/");
                site.keys.borrow().get(key)
            }
            _ => HttpResponse::error(400, "odd"),
        }
    }

    async fn watch(&self, call: &HttpRequest) -> HttpResponse {
        let number = |name| query_field(&call.query, name).and_then(|v| v.parse::<u64>().ok());
        let since = number("from").unwrap_or(0);
        let changed = self.0.keys_changed.listen();
        if self.0.keys.borrow().revision <= since {
            let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
            let time_out = async {
                Timer::after(wait).await;
            };
            changed.or(time_out).await;
        }
        let keys = self.0.keys.borrow();
        let news: Vec<&Value> = keys.changes_since(since).collect();
        HttpResponse::json(200, &json!({"epoch": keys.revision, "news": news}))
    }

    fn answer_cloud(&self, call: &HttpRequest) -> HttpResponse {
        match (call.method, call.path.as_str()) {
            (Method::Get, "/flavors") => HttpResponse::json(
                200,
                &json!({"rigs": [{"label": "g4", "cores": 16.0, "cards": CARDS as f64, "ramGb": 64.0,
                    "localGb": 100.0, "fetchGbPerS": 1.0, "rate": 6.0, "lowPrice": 2.0, "bootS": 10.0,
                    "yards": ["a", "b"]}]}),
            ),
            (Method::Get, "/hosts") => self.list_machines(&call.query),
            (Method::Post, "/hosts") => HttpResponse::error(503, "no capacity"),
            _ => HttpResponse::json(200, &json!({})),
        }
    }

    fn list_machines(&self, query: &str) -> HttpResponse {
        let page = query_field(query, "page").and_then(|p| p.parse().ok());
        let page: usize = page.unwrap_or(500);
        let from = query_field(query, "from").unwrap_or_default();
        let first = (0..self.0.workers).find(|n| worker::name(*n).as_str() > from);
        let first = first.unwrap_or(self.0.workers);
        let end = (first + page).min(self.0.workers);
        let hosts: Vec<Value> = (first..end)
            .map(|n| {
                json!({"nameId": worker::name(n), "endpoint": "e", "rig": "g4", "yard": worker::zone(n),
                    "loaners": true, "status": "running", "ageS": 600.0})
            })
            .collect();
        HttpResponse::json(200, &json!({"hosts": hosts, "more": end < self.0.workers}))
    }
}

/// Submits a job until it is taken.
async fn submit(controller: SocketAddr, job: &Value) {
    let client = Client::new(controller);
    loop {
        let body = Some(job.to_string().into_bytes());
        let answer = client.call(Method::Post, "/work", body, Micros::secs(5));
        if matches!(answer.await, Ok((200 | 201, _))) {
            return;
        }
        Timer::after(Duration::from_millis(200)).await;
    }
}

async fn accept<F, Fut>(ex: Rc<LocalExecutor<'static>>, listener: Listener, answer: F)
where
    F: Fn(HttpRequest) -> Fut + Clone + 'static,
    Fut: Future<Output = HttpResponse> + 'static,
{
    while let Ok(stream) = listener.accept().await {
        let answer = answer.clone();
        ex.spawn(async move { serve(stream, || Micros::secs(120), answer).await })
            .detach();
    }
}

/// Whether a task is one of a service, which does not end by itself.
pub fn is_service(task: &str) -> bool {
    task.starts_with(SERVICE)
}

/// How the names of services begin, and those of arrays.
const SERVICE: &str = "j-s";
const ARRAY: &str = "j-a";

fn job(number: usize, service: bool) -> Value {
    let (prefix, shape, rank, expect_s) = if service {
        (SERVICE, "standing", "critical", 0.0)
    } else {
        (ARRAY, "sweep", "normal", TASK_S)
    };
    json!({"nameId": format!("{prefix}{number:06}"), "lane": "load", "crew": "team", "shape": shape, "rank": rank,
        "takes": TASKS, "cores": 4.0, "cards": 1.0, "ramGb": 8.0, "reel": format!("i-{}", number % 16),
        "pullGb": 1.0, "rigs": null, "yard": null, "together": false, "spread": false, "loaners": true,
        "expectS": expect_s, "markS": 0.0, "stowS": 0.0, "dueS": null})
}
