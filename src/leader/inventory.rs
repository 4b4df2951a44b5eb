//! Periodically reads the cloud's machine list and machine types for the scheduler.

use crate::clock::{Clock, sleep};
use crate::cloud::Cloud;
use crate::kv::{KvClient, Urgency};
use crate::scheduler::MachineType;
use crate::store::{StateCache, StoreKey};
use crate::term::{LeaderTerm, TermEnd};
use crate::units::Micros;
use log::{debug, warn};

/// Pause between two reads of the machine types.
const MACHINE_TYPES_INTERVAL: Micros = Micros::secs(30);
/// Pause after a failed read of the machine types.
const MACHINE_TYPES_RETRY: Micros = Micros::secs(1);
/// Pause after a failed write of the machine types to the key-value store.
const MACHINE_TYPES_WRITE_RETRY: Micros = Micros::millis(500);
/// Reads of the machine list that take longer are logged, because machines that failed are then detected late.
const SLOW_MACHINE_LIST: Micros = Micros::secs(15);
/// The pause between two reads of the machine list is the time in which the cloud admits this many requests, but at
/// least [`MIN_LIST_INTERVAL_S`].
const REQUESTS_PER_LIST: f64 = 4.0;
/// Minimum pause between two reads of the machine list in seconds.
const MIN_LIST_INTERVAL_S: f64 = 2.0;

/// Updates the scheduler of a leader term with the machines and machine types of the cloud.
pub(super) struct MachineInventory<'a> {
    pub(super) clock: Clock,
    /// The cloud's rate limit in requests per second.
    pub(super) cloud_rps: f64,
    pub(super) kv: &'a KvClient,
    pub(super) store: &'a StateCache,
    pub(super) cloud: &'a Cloud,
    pub(super) term: &'a LeaderTerm,
}

impl MachineInventory<'_> {
    /// Periodically reads the machine types and stores them for controllers that can't read them; never returns.
    pub(super) async fn refresh_machine_types(&self) -> TermEnd {
        loop {
            let pause = match self.cloud.machine_types().await {
                Ok(machine_types) => self.update_machine_types(&machine_types).await,
                Err(e) => {
                    debug!("event=machine_types_failed error={:?}", e.to_string());
                    MACHINE_TYPES_RETRY
                }
            };
            sleep(pause).await;
        }
    }

    /// Passes the machine types to the scheduler and stores them if they changed; returns the pause until the next
    /// read.
    async fn update_machine_types(&self, machine_types: &[MachineType]) -> Micros {
        self.term
            .scheduler
            .borrow_mut()
            .set_machine_types(machine_types);
        let stored = self.store.view.borrow().machine_types.clone();
        if stored.is_some_and(|s| is_equal_ignoring_prices(&s.value, machine_types)) {
            return MACHINE_TYPES_INTERVAL;
        }
        let put = StoreKey::MachineTypes.put(&machine_types);
        let conditions = [self.term.leader_condition()];
        match self.kv.txn(Urgency::Now, &conditions, &[put]).await {
            Ok(_) => MACHINE_TYPES_INTERVAL,
            Err(e) => {
                debug!("event=machine_types_write_failed error={:?}", e.to_string());
                MACHINE_TYPES_WRITE_RETRY
            }
        }
    }

    /// Periodically reads the machine list; never returns.
    pub(super) async fn refresh_machine_list(&self) -> TermEnd {
        let interval = (REQUESTS_PER_LIST / self.cloud_rps).max(MIN_LIST_INTERVAL_S);
        let interval = Micros::from_secs_f64(interval);
        loop {
            // A machine that is provisioned or terminated while the pages are read may be missing or still listed, so
            // the list counts as of the time of the request.
            let requested_at = self.clock.now();
            match self.cloud.list().await {
                Ok(list) => {
                    let took = self.clock.now().since(requested_at);
                    if took > SLOW_MACHINE_LIST {
                        warn!(
                            "event=machine_list_slow machines={} took={took}",
                            list.len()
                        );
                    }
                    let mut scheduler = self.term.scheduler.borrow_mut();
                    scheduler.on_list(&list, requested_at);
                }
                Err(e) => debug!("event=machine_list_failed error={:?}", e.to_string()),
            }
            sleep(interval).await;
        }
    }
}

/// Returns whether the machine types are equal apart from their prices, which change often and are not needed from the
/// key-value store.
fn is_equal_ignoring_prices(a: &[MachineType], b: &[MachineType]) -> bool {
    let without_prices = |t: &MachineType| MachineType {
        price: 0.0,
        spot_price: 0.0,
        ..t.clone()
    };
    a.iter()
        .map(without_prices)
        .eq(b.iter().map(without_prices))
}
