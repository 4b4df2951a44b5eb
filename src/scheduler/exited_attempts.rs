//! Exited attempts that a worker still reports, and which of them it may forget.

use crate::ids::TaskId;
use std::collections::{BTreeSet, VecDeque};

/// Maximum number of exited attempts that are retained on one machine. Bounds the size of its heartbeats.
const MAX_RETAINED: usize = 64;

/// An attempt of a task.
pub type Attempt = (TaskId, u64);

/// The exited attempts in the newest heartbeat of a machine.
///
/// Invariant: an attempt is cleared only if a late copy of its start command has no effect. A worker ignores a start of
/// an attempt that it reports, in any state. Once it was told to clear the attempt, it would start it again: on this
/// machine while a later attempt runs on another one, or after the job was cancelled. So an attempt is retained unless
///
/// - it completed: its result is kept, and a further start ends at once;
/// - an earlier leader started it: the worker drops commands with a lower fencing token than this leader's;
/// - [`MAX_RETAINED`] attempts that exited later are retained.
///
/// What is retained is cleared by the next leader, or forgotten by the worker with its agent epoch.
#[derive(Debug, Clone, Default)]
pub struct ExitedAttempts {
    clearable: Vec<Attempt>,
    /// Retained attempts, in the order in which they were first reported as exited.
    retained: VecDeque<Attempt>,
    /// Attempts that the worker reported before it received this leader's fencing token.
    of_earlier_leaders: BTreeSet<Attempt>,
}

impl ExitedAttempts {
    /// Records the attempts in a newer heartbeat. `reported` are those in any state, `completed` and `ended` those that
    /// exited with and without their work being done. `has_leader_token` tells whether the worker has received this
    /// leader's fencing token.
    pub fn update(
        &mut self,
        reported: impl Iterator<Item = Attempt>,
        completed: Vec<Attempt>,
        ended: BTreeSet<Attempt>,
        has_leader_token: bool,
    ) {
        self.update_origin(reported, has_leader_token);
        self.clearable = completed;
        let earlier = &self.of_earlier_leaders;
        let is_of_earlier = |attempt: &Attempt| has_leader_token && earlier.contains(attempt);
        self.retained
            .retain(|attempt| ended.contains(attempt) && !is_of_earlier(attempt));
        let known: BTreeSet<Attempt> = self.retained.iter().cloned().collect();
        for attempt in ended.into_iter().filter(|attempt| !known.contains(attempt)) {
            if is_of_earlier(&attempt) {
                self.clearable.push(attempt);
            } else {
                self.retained.push_back(attempt);
            }
        }
        let surplus = self.retained.len().saturating_sub(MAX_RETAINED);
        self.clearable.extend(self.retained.drain(..surplus));
    }

    fn update_origin(&mut self, reported: impl Iterator<Item = Attempt>, has_leader_token: bool) {
        if !has_leader_token {
            self.of_earlier_leaders = reported.collect();
        } else if !self.of_earlier_leaders.is_empty() {
            let reported: BTreeSet<Attempt> = reported.collect();
            self.of_earlier_leaders.retain(|a| reported.contains(a));
        }
    }

    /// Returns the attempts that the worker may forget once what they achieved is written.
    pub fn clearable(&self) -> &[Attempt] {
        &self.clearable
    }

    /// Returns the number of exited attempts that the worker reports.
    pub fn count(&self) -> usize {
        self.clearable.len() + self.retained.len()
    }
}

#[cfg(test)]
mod tests;
