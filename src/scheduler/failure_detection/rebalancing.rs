//! Rebalancing of workers from an overloaded controller to the others while all controllers are reachable.

use super::{FailureDetector, Machines, Micros, SchedulerConfig};

/// How long all controllers must have been reachable before workers are redirected.
const REBALANCE_AFTER: Micros = Micros::secs(20);
/// Number of surplus workers for each worker that is redirected per fleet plan.
const SURPLUS_PER_REDIRECT: usize = 10;

impl FailureDetector {
    /// Sets the number of workers, of those that send heartbeats to this controller directly, that may be redirected.
    pub(super) fn plan_redirects(
        &mut self,
        machines: &Machines,
        config: &SchedulerConfig,
        now: Micros,
    ) {
        self.redirect_budget = if self.controllers.is_stable_for(REBALANCE_AFTER, now) {
            redirects_for_surplus(machines, config.controllers)
        } else {
            0
        };
    }

    /// Takes one redirect from the budget. Returns whether there was one.
    pub(super) fn take_redirect(&mut self) -> bool {
        let has_budget = self.redirect_budget > 0;
        self.redirect_budget -= usize::from(has_budget);
        has_budget
    }
}

/// Returns how many workers to redirect: one in [`SURPLUS_PER_REDIRECT`] of those beyond twice this controller's share.
///
/// Without this, the leader would keep every worker of a large fleet after a partition between the controllers. It
/// would handle all heartbeats, and all workers would have to find another controller at once when it fails.
fn redirects_for_surplus(machines: &Machines, controllers: usize) -> usize {
    if controllers < 2 {
        return 0;
    }
    let own_workers = machines
        .values()
        .filter(|m| m.is_reachable && m.via.is_empty());
    let max_own = machines.len() * 2 / controllers;
    own_workers
        .count()
        .saturating_sub(max_own)
        .div_ceil(SURPLUS_PER_REDIRECT)
}
