//! Questions about accepted jobs once all faults have ended: whether each job, by itself, is answered in time.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

/// Seconds after the last fault within which a question about each accepted job must be answered.
pub const ANSWER_LIMIT_S: f64 = 75.0;

/// A job and the number of the controller that is asked about it.
pub type Question = (String, usize);

/// What became of the questions since the last fault ended.
#[derive(Default)]
pub struct AnswerWatch {
    /// Questions that were not answered yet, with the last response or the reason why there was none.
    unanswered: RefCell<BTreeMap<Question, String>>,
    answered: RefCell<BTreeSet<Question>>,
    /// Controllers that were not ready at some time.
    unready_nodes: RefCell<BTreeSet<usize>>,
}

impl AnswerWatch {
    /// Adds a question that will be asked.
    pub fn expect(&self, question: Question) {
        let not_asked = "not asked".to_owned();
        self.unanswered.borrow_mut().insert(question, not_asked);
    }

    /// Records that a question was answered.
    pub fn record_answer(&self, question: &Question) {
        self.unanswered.borrow_mut().remove(question);
        self.answered.borrow_mut().insert(question.clone());
    }

    /// Records that a question was not answered, and why.
    pub fn record_failure(&self, question: &Question, reason: String) {
        let mut unanswered = self.unanswered.borrow_mut();
        if let Some(last) = unanswered.get_mut(question) {
            *last = reason;
        }
    }

    /// Records that a controller was not ready, so that the load balancer sent no user there.
    pub fn record_unready(&self, node: usize) {
        self.unready_nodes.borrow_mut().insert(node);
    }

    /// Returns whether every question was answered.
    pub fn is_complete(&self) -> bool {
        self.unanswered.borrow().is_empty()
    }

    /// Returns a line for each job that no controller answered about, and for each job that a controller did not answer
    /// about although it was ready all the time.
    pub fn violations(&self) -> Vec<String> {
        let answered = self.answered.borrow();
        let unready = self.unready_nodes.borrow();
        let unanswered = self.unanswered.borrow();
        let violation = |((job, node), reason): (&Question, &String)| {
            let by_any = answered.iter().any(|(answered_job, _)| answered_job == job);
            let is_exempt = by_any && unready.contains(node);
            (!is_exempt).then(|| format!("no answer about {job} at n-{node}: {reason}"))
        };
        unanswered.iter().filter_map(violation).collect()
    }
}
