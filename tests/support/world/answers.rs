//! Questions of users about accepted jobs once all faults have ended.

use super::{World, public_addr};
use http_types::Method;
use ravenhead::http::Client;
use ravenhead::units::Micros;
use ravenhead_stand_ins::answers::{ANSWER_LIMIT_S, AnswerWatch, Question};
use serde_json::Value;
use std::rc::Rc;

/// Mean seconds between two questions of a user about a job.
const POLL_INTERVAL_S: f64 = 5.0;
/// How long a user waits for the answer to a question.
const POLL_TIMEOUT: Micros = Micros::secs(2);
/// How long the load balancer waits for the answer to a health check.
const READY_TIMEOUT: Micros = Micros::secs(1);

impl World {
    /// Starts to ask each controller about each accepted job, from now until it is answered or [`ANSWER_LIMIT_S`] has
    /// passed. Called when the last fault ends.
    pub fn watch_answers(self: &Rc<Self>) -> Rc<AnswerWatch> {
        let watch = Rc::new(AnswerWatch::default());
        let ends_at = self.sim.now() + (ANSWER_LIMIT_S * 1e6) as u64;
        let jobs: Vec<String> = {
            let invariants = self.invariants.borrow();
            let accepted = invariants.jobs.iter();
            let accepted = accepted.filter(|(_, job)| job.accepted_at.is_some());
            accepted.map(|(id, _)| id.clone()).collect()
        };
        for node in 0..self.nodes {
            for job in &jobs {
                let question = (job.clone(), node);
                watch.expect(question.clone());
                let (w, watch) = (self.clone(), watch.clone());
                self.spawn(async move { w.ask_until_answered(&watch, question, ends_at).await });
            }
        }
        watch
    }

    async fn ask_until_answered(&self, watch: &AnswerWatch, question: Question, ends_at: u64) {
        let (job, node) = &question;
        self.sim.sleep(self.sim.random() * POLL_INTERVAL_S).await;
        while self.sim.now() < ends_at {
            match self.ask(job, *node).await {
                Ok(()) => {
                    watch.record_answer(&question);
                    return;
                }
                Err(reason) => watch.record_failure(&question, reason),
            }
            if !self.is_node_ready(*node).await {
                watch.record_unready(*node);
            }
            let interval_s = POLL_INTERVAL_S * (0.5 + self.sim.random());
            self.sim.sleep(interval_s).await;
        }
    }

    /// Asks a controller about a job as its user does. Returns why there was no answer, if there was none.
    pub async fn ask(&self, job: &str, node: usize) -> Result<(), String> {
        let since = self.sim.now();
        let path = format!("/work/{job}");
        let client = Client::new(public_addr(node));
        let response = client.call(Method::Get, &path, None, POLL_TIMEOUT).await;
        let (status, body) = response.map_err(|e| e.to_string())?;
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let state = body["status"].as_str().unwrap_or_default();
        let now = self.sim.now();
        let mut invariants = self.invariants.borrow_mut();
        invariants.record_response(now, since, &format!("poll@{node}"), job, status, state);
        match status {
            200 => Ok(()),
            _ => Err(format!("{status} {}", body["error"])),
        }
    }

    /// Returns whether a controller answers that it is ready.
    async fn is_node_ready(&self, node: usize) -> bool {
        let client = Client::new(public_addr(node));
        let response = client.call(Method::Get, "/ready", None, READY_TIMEOUT);
        matches!(response.await, Ok((200, _)))
    }
}
