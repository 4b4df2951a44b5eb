//! Readiness: whether this controller can serve user requests.

use crate::membership::Membership;
use crate::store::StateCache;

/// Returns whether this controller is ready.
///
/// A controller is not ready until its view is loaded and contains machine types. Nor is it ready if it can't reach the
/// key-value store while a peer can, or if it is isolated from the store and all peers. In an outage that affects all
/// controllers each stays ready and refuses requests immediately, since no other controller could serve them.
pub fn is_ready(store: &StateCache, membership: &Membership) -> bool {
    let view = store.view.borrow();
    if view.loaded && store.loss.borrow().is_some() && !membership.is_isolated() {
        // After a loss of stored state, as in an outage, no other controller could serve the requests, and each tells
        // its users when to retry.
        return true;
    }
    if !view.loaded || view.machine_types.is_none() || membership.is_isolated() {
        return false;
    }
    store.reachable() || !membership.peer_reaches_state()
}
