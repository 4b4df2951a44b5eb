//! A simulated worker: sends heartbeats, executes commands, and ends tasks of arrays after their run time.

use crate::site::{TASK_DURATION_S, is_service};
use async_io::Timer;
use http_types::Method;
use ravenhead::http::Client;
use ravenhead::units::Micros;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Mean interval between heartbeats, in seconds. The worker varies it by a quarter in both directions.
pub const HEARTBEAT_INTERVAL_S: f64 = 2.0;
/// Maximum time to wait for the response to a heartbeat.
const RESPONSE_TIMEOUT: Micros = Micros::secs(4);

/// Returns the name of a machine. Names sort in the order of the numbers up to 999,999.
pub fn machine_name(number: usize) -> String {
    format!("m-{number:06}")
}

/// Returns the zone of a machine; machines alternate between two zones.
pub fn zone(number: usize) -> &'static str {
    ["a", "b"][number % 2]
}

/// The state of one worker.
pub struct Worker {
    number: usize,
    sequence: u64,
    token: u64,
    /// Tasks by id and attempt, with the start time and whether the task was stopped by a command.
    tasks: BTreeMap<(String, u64), (Instant, bool)>,
}

impl Worker {
    /// Creates a worker without tasks that has not received a fencing token yet.
    pub fn new(number: usize) -> Worker {
        Worker {
            number,
            sequence: 0,
            token: 0,
            tasks: BTreeMap::new(),
        }
    }

    fn heartbeat(&mut self) -> Value {
        self.sequence += 1;
        let tasks = self
            .tasks
            .iter()
            .map(|((task, attempt), (started, stopped))| {
                let completed =
                    !is_service(task) && started.elapsed().as_secs_f64() >= TASK_DURATION_S;
                let (status, cause) = match (stopped, completed) {
                    (true, _) => ("exited", Some("halted")),
                    (false, true) => ("exited", Some("done")),
                    (false, false) => ("running", None),
                };
                json!({"take": task, "try": attempt, "status": status, "cause": cause})
            });
        let tasks: Vec<Value> = tasks.collect();
        json!({"host": machine_name(self.number), "endpoint": "e", "rig": "g4", "yard": zone(self.number), "loaners": true,
            "watch": 1, "tally": self.sequence, "warrant": self.token, "warningS": null, "takes": tasks})
    }

    fn execute(&mut self, response: &Value) {
        let token = response["warrant"].as_u64().unwrap_or(0);
        if token < self.token {
            return;
        }
        self.token = token;
        for command in response["orders"].as_array().into_iter().flatten() {
            let task = command["take"].as_str().unwrap_or_default().to_owned();
            let key = (task, command["try"].as_u64().unwrap_or(0));
            match command["verb"].as_str() {
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

/// Sends heartbeats until the returned future is dropped. Calls `on_response` with the response time of each heartbeat
/// that was answered.
pub async fn run(mut worker: Worker, controller: SocketAddr, on_response: impl Fn(Duration)) {
    // A random delay prevents all workers from sending heartbeats at the same time.
    sleep(fastrand::f64() * HEARTBEAT_INTERVAL_S).await;
    let client = Client::new(controller);
    loop {
        let body = Some(worker.heartbeat().to_string().into_bytes());
        let sent_at = Instant::now();
        let response = client.call(Method::Post, "/checkin", body, RESPONSE_TIMEOUT);
        match response.await {
            Ok((200, bytes)) => {
                on_response(sent_at.elapsed());
                worker.execute(&serde_json::from_slice(&bytes).unwrap_or_default());
                sleep(HEARTBEAT_INTERVAL_S * (0.75 + 0.5 * fastrand::f64())).await;
            }
            _ => {
                client.close_idle_connections();
                sleep(1.0).await;
            }
        }
    }
}

async fn sleep(seconds: f64) {
    Timer::after(Duration::from_secs_f64(seconds)).await;
}
