//! A stand-in worker: reports, executes commands, and lets tasks of arrays end after their time.

use crate::site::{TASK_S, is_service};
use async_io::Timer;
use http_types::Method;
use ravenhead::http::Client;
use ravenhead::units::Micros;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Seconds between two heartbeats.
pub const REPORT_S: f64 = 2.0;
/// How long a worker waits for an answer.
const RESPONSE_TIMEOUT: Micros = Micros::secs(4);

/// The name of the machine with this number.
pub fn name(number: usize) -> String {
    format!("m-{number:06}")
}

/// Its zone.
pub fn zone(number: usize) -> &'static str {
    ["a", "b"][number % 2]
}

/// A worker's memory.
pub struct Worker {
    number: usize,
    sequence: u64,
    token: u64,
    /// When each task was started, and whether it has exited by command.
    tasks: BTreeMap<(String, u64), (Instant, bool)>,
}

impl Worker {
    /// A worker without tasks.
    pub fn new(number: usize) -> Worker {
        Worker {
            number,
            sequence: 0,
            token: 0,
            tasks: BTreeMap::new(),
        }
    }

    fn report(&mut self) -> Value {
        self.sequence += 1;
        let tasks = self
            .tasks
            .iter()
            .map(|((task, attempt), (began, stopped))| {
                let completed = !is_service(task) && began.elapsed().as_secs_f64() >= TASK_S;
                let (status, cause) = match (stopped, completed) {
                    (true, _) => ("exited", Some("halted")),
                    (false, true) => ("exited", Some("done")),
                    (false, false) => ("running", None),
                };
                json!({"take": task, "try": attempt, "status": status, "cause": cause})
            });
        let tasks: Vec<Value> = tasks.collect();
        json!({"host": name(self.number), "endpoint": "e", "rig": "g4", "yard": zone(self.number), "loaners": true,
            "watch": 1, "tally": self.sequence, "warrant": self.token, "warningS": null, "takes": tasks})
    }

    fn execute(&mut self, answer: &Value) {
        let token = answer["warrant"].as_u64().unwrap_or(0);
        if token < self.token {
            return;
        }
        self.token = token;
        for order in answer["orders"].as_array().into_iter().flatten() {
            let task = order["take"].as_str().unwrap_or_default().to_owned();
            let key = (task, order["try"].as_u64().unwrap_or(0));
            match order["verb"].as_str() {
                Some("run") => {
                    self.tasks.entry(key).or_insert((Instant::now(), false));
                }
                Some("stop") => {
                    if let Some((_, stopped)) = self.tasks.get_mut(&key) {
                        *stopped = true;
                    }
                }
                _ => {
                    self.tasks.remove(&key);
                }
            }
        }
    }
}

/// Reports for ever; `answered` is told how long each answered report took.
pub async fn run(mut worker: Worker, controller: SocketAddr, answered: impl Fn(Duration)) {
    // Workers do not report all at once.
    pause(fastrand::f64() * REPORT_S).await;
    let client = Client::new(controller);
    loop {
        let body = Some(worker.report().to_string().into_bytes());
        let sent = Instant::now();
        let answer = client.call(Method::Post, "/checkin", body, RESPONSE_TIMEOUT);
        match answer.await {
            Ok((200, bytes)) => {
                answered(sent.elapsed());
                worker.execute(&serde_json::from_slice(&bytes).unwrap_or_default());
                pause(REPORT_S * (0.75 + 0.5 * fastrand::f64())).await;
            }
            _ => {
                client.close_idle_connections();
                pause(1.0).await;
            }
        }
    }
}

async fn pause(seconds: f64) {
    Timer::after(Duration::from_secs_f64(seconds)).await;
}
