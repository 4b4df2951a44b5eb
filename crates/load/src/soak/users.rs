//! Users: they submit, query, cancel and repeat, at all controllers.

use super::site::{Site, sleep};
use http_types::Method;
use ravenhead::http::Client;
use ravenhead::units::Micros;
use ravenhead_stand_ins::answers::{ANSWER_LIMIT_S, AnswerWatch, Question};
use serde_json::{Value, json};
use std::rc::Rc;

/// Mean seconds between two submissions.
const SUBMISSION_INTERVAL_S: f64 = 0.4;
/// Fraction of the jobs that are cancelled, and of the submissions that are repeated later.
const CANCEL_RATE: f64 = 0.3;
const REPEAT_RATE: f64 = 0.2;
/// Mean seconds between two questions of a user about a job.
const POLL_INTERVAL_S: f64 = 3.0;
/// How long a user waits for the answer to a question, and to a submission or cancellation.
const POLL_TIMEOUT: Micros = Micros::secs(2);
const REQUEST_TIMEOUT: Micros = Micros::secs(5);
/// How often a submission or cancellation is repeated, a second apart.
const MAX_ATTEMPTS: usize = 120;
/// How often a question that is asked again at the end is repeated.
const FINAL_ATTEMPTS: usize = 5;

/// The outcome of a request: the status and the state of the job, or why there was no response.
type Answer = Result<(u16, String), String>;

impl Site {
    /// Starts users who submit until submissions are stopped, and care for their jobs.
    pub(super) fn start_users(self: &Rc<Site>) {
        let site = self.clone();
        self.spawn(async move {
            let mut number = 0;
            while !site.submissions_stopped() {
                let id = format!("j-{number:05}");
                site.spawn_job(id);
                number += 1;
                sleep(SUBMISSION_INTERVAL_S * (0.5 + site.random())).await;
            }
        });
    }

    fn spawn_job(self: &Rc<Site>, id: String) {
        let spec = self.draw_job(&id);
        self.checker.borrow_mut().record_submission(&spec);
        let (site, submitted) = (self.clone(), (id.clone(), spec.clone()));
        self.spawn(async move { site.submit(&submitted.0, &submitted.1).await });
        let (site, polled) = (self.clone(), id.clone());
        self.spawn(async move { site.poll_for_ever(&polled).await });
        if self.random() < CANCEL_RATE {
            let (site, id, delay_s) = (self.clone(), id.clone(), self.random() * 8.0);
            self.spawn(async move {
                sleep(delay_s).await;
                site.cancel(&id).await;
            });
        }
        if self.random() < REPEAT_RATE {
            let (site, delay_s) = (self.clone(), self.random() * 20.0);
            self.spawn(async move {
                sleep(delay_s).await;
                site.submit(&id, &spec).await;
            });
        }
    }

    fn draw_job(&self, id: &str) -> Value {
        let team = if self.random() < 0.2 {
            "small"
        } else {
            "large"
        };
        let rank = ["low", "normal", "urgent"][self.random_below(3)];
        let tasks = 1 + self.random_below(4);
        let run_s = 1.0 + 8.0 * self.random();
        json!({"nameId": id, "lane": "batch", "crew": team, "shape": "sweep", "rank": rank, "takes": tasks,
            "cores": 4.0, "cards": 1.0, "ramGb": 8.0, "reel": "i", "pullGb": 0.1, "rigs": null, "yard": null,
            "together": false, "spread": false, "loaners": true, "expectS": run_s, "markS": 0.0, "stowS": 0.0,
            "dueS": null})
    }

    /// Sends a request and tells the checker what was answered.
    async fn request(
        &self,
        question: &Question,
        kind: &str,
        method: Method,
        path: &str,
        body: Option<String>,
        patience: Micros,
    ) -> Answer {
        let (id, node) = question;
        let since = self.now();
        let client = Client::new(self.controllers.bind[*node]);
        let body = body.map(String::into_bytes);
        let response = client.call(method, path, body, patience).await;
        let (status, bytes) = response.map_err(|e| e.to_string())?;
        let value: Value = serde_json::from_slice(&bytes).unwrap_or_default();
        let state = value["status"].as_str().unwrap_or_default().to_owned();
        let kind = format!("{kind}@{node}");
        let mut checker = self.checker.borrow_mut();
        checker.record_response(self.now(), since, &kind, id, status, &state);
        if status == 200 || status == 201 {
            return Ok((status, state));
        }
        Err(format!("{status} {}", value["error"]))
    }

    fn random_node(&self) -> usize {
        self.random_below(self.controllers.bind.len())
    }

    async fn submit(&self, id: &str, spec: &Value) {
        for _ in 0..MAX_ATTEMPTS {
            let question = (id.to_owned(), self.random_node());
            let body = Some(spec.to_string());
            let answer = self.request(
                &question,
                "submit",
                Method::Post,
                "/work",
                body,
                REQUEST_TIMEOUT,
            );
            if answer.await.is_ok() {
                return;
            }
            sleep(1.0).await;
        }
    }

    /// Cancels a job once it is accepted.
    async fn cancel(&self, id: &str) {
        let is_accepted = || self.checker.borrow().jobs[id].accepted_at.is_some();
        while !is_accepted() {
            sleep(0.2).await;
        }
        self.checker
            .borrow_mut()
            .record_cancel_request(self.now(), id);
        let path = format!("/work/{id}/withdraw");
        for _ in 0..MAX_ATTEMPTS {
            let question = (id.to_owned(), self.random_node());
            let answer = self.request(
                &question,
                "cancel",
                Method::Post,
                &path,
                None,
                REQUEST_TIMEOUT,
            );
            if answer.await.is_ok() {
                return;
            }
            sleep(1.0).await;
        }
    }

    async fn ask(&self, question: &Question) -> Answer {
        let path = format!("/work/{}", question.0);
        self.request(question, "poll", Method::Get, &path, None, POLL_TIMEOUT)
            .await
    }

    async fn poll_for_ever(&self, id: &str) {
        loop {
            sleep(POLL_INTERVAL_S * (0.5 + self.random())).await;
            if self.checker.borrow().jobs[id].accepted_at.is_some() {
                let _ = self.ask(&(id.to_owned(), self.random_node())).await;
            }
        }
    }

    fn accepted_jobs(&self) -> Vec<String> {
        let checker = self.checker.borrow();
        let accepted = checker
            .jobs
            .iter()
            .filter(|(_, job)| job.accepted_at.is_some());
        accepted.map(|(id, _)| id.clone()).collect()
    }

    /// Starts to ask each controller about each accepted job until it is answered. Called when the last fault ends.
    pub(super) fn watch_answers(self: &Rc<Site>) -> Rc<AnswerWatch> {
        let watch: Rc<AnswerWatch> = Rc::default();
        let ends_at_s = self.now_s() + ANSWER_LIMIT_S;
        for node in 0..self.controllers.bind.len() {
            for job in self.accepted_jobs() {
                let question = (job, node);
                watch.expect(question.clone());
                let (site, watch) = (self.clone(), watch.clone());
                self.spawn(async move {
                    site.ask_until_answered(&watch, question, ends_at_s).await;
                });
            }
        }
        watch
    }

    async fn ask_until_answered(&self, watch: &AnswerWatch, question: Question, ends_at_s: f64) {
        sleep(self.random() * POLL_INTERVAL_S).await;
        while self.now_s() < ends_at_s {
            match self.ask(&question).await {
                Ok(_) => return watch.record_answer(&question),
                Err(reason) => watch.record_failure(&question, reason),
            }
            if !self.is_ready(question.1).await {
                watch.record_unready(question.1);
            }
            sleep(POLL_INTERVAL_S * (0.5 + self.random())).await;
        }
    }

    async fn is_ready(&self, node: usize) -> bool {
        let client = Client::new(self.controllers.bind[node]);
        let response = client.call(Method::Get, "/ready", None, Micros::secs(1));
        matches!(response.await, Ok((200, _)))
    }

    /// Asks each controller about each accepted job once more, so that the checker sees whether an answer went back.
    pub(super) async fn ask_once_more(&self) {
        for job in self.accepted_jobs() {
            for node in 0..self.controllers.bind.len() {
                for _ in 0..FINAL_ATTEMPTS {
                    if self.ask(&(job.clone(), node)).await.is_ok() {
                        break;
                    }
                    sleep(0.2).await;
                }
            }
        }
    }
}
