//! Workers sent from an overloaded controller to others, once no controller is missed.

use super::{FailureDetector, Machines, Micros, SchedulerConfig};

/// All controllers must have been reachable for so long before workers are redirected.
const REBALANCE_AFTER: Micros = Micros::secs(20);
/// One in so many surplus workers is redirected in one fleet plan.
const SURPLUS_PER_REDIRECT: usize = 10;

impl FailureDetector {
    /// Sets how many of the workers that send heartbeats to this controller itself may go to another.
    pub(super) fn plan_redirects(
        &mut self,
        machines: &Machines,
        config: &SchedulerConfig,
        now: Micros,
    ) {
        self.redirect_budget = if self.controllers.is_stable_for(REBALANCE_AFTER, now) {
            redirects_wanted(machines, config.controllers)
        } else {
            0
        };
    }

    /// Uses up one redirect, if any is left.
    pub(super) fn take_redirect(&mut self) -> bool {
        let is_left = self.redirect_budget > 0;
        self.redirect_budget -= usize::from(is_left);
        is_left
    }
}

/// Returns a part of the workers that this controller has beyond twice its share.
///
/// Guards against a leader that keeps every worker of a large fleet after a filter between controllers: it would carry
/// all the work, and all would have to find another controller at once when it fails.
fn redirects_wanted(machines: &Machines, controllers: usize) -> usize {
    if controllers < 2 {
        return 0;
    }
    let own = machines
        .values()
        .filter(|m| m.is_reachable && m.via.is_empty());
    let max_own = machines.len() * 2 / controllers;
    own.count()
        .saturating_sub(max_own)
        .div_ceil(SURPLUS_PER_REDIRECT)
}
