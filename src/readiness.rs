//! Whether this controller can take requests.

use crate::membership::Membership;
use crate::store::StateCache;

/// Returns whether this controller is ready.
///
/// One that alone can't reach the state service, or that reaches nobody at all, is not ready; in an outage for all of
/// them each stays ready and refuses at once, as no other could do better.
pub fn is_ready(store: &StateCache, membership: &Membership) -> bool {
    let view = store.view.borrow();
    if view.loaded && store.loss.borrow().is_some() && !membership.is_isolated() {
        // As in an outage: no other could do better, and each tells its users when to come back.
        return true;
    }
    if !view.loaded || view.machine_types.is_none() || membership.is_isolated() {
        return false;
    }
    store.reachable() || !membership.peer_reaches_state()
}
