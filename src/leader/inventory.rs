//! What the cloud has: its machine list and its machine types, read again and again for the scheduler.

use crate::clock::{Clock, sleep};
use crate::cloud::Cloud;
use crate::kv::{Change, KvClient, Urgency};
use crate::scheduler::MachineType;
use crate::store::{MACHINE_TYPES, StateCache};
use crate::term::{LeaderTerm, TermEnd};
use crate::units::Micros;
use log::{debug, warn};
use serde_json::json;

/// How often the machine types are read.
const MACHINE_TYPES_INTERVAL: Micros = Micros::secs(30);
/// Pause before machine types that could not be read are asked for again.
const MACHINE_TYPES_RETRY: Micros = Micros::secs(1);
/// Pause before machine types that could not be written are written again.
const MACHINE_TYPES_WRITE_RETRY: Micros = Micros::millis(500);
/// Reading the machine list for longer than this is logged: machines that died are then found late.
const SLOW_MACHINE_LIST: Micros = Micros::secs(15);
/// Requests in whose time the cloud is asked for one page of the machine list, and the least time between two lists.
const REQUESTS_PER_LIST: f64 = 4.0;
const MIN_LIST_INTERVAL_S: f64 = 2.0;

/// Keeps a term's scheduler informed of what the cloud has.
pub(super) struct MachineInventory<'a> {
    pub(super) clock: Clock,
    /// Requests a second that the cloud allows.
    pub(super) cloud_rps: f64,
    pub(super) kv: &'a KvClient,
    pub(super) store: &'a StateCache,
    pub(super) cloud: &'a Cloud,
    pub(super) term: &'a LeaderTerm,
}

impl MachineInventory<'_> {
    /// Reads the machine types, and keeps them for controllers that can't.
    pub(super) async fn refresh_machine_types(&self) -> TermEnd {
        loop {
            let pause = match self.cloud.machine_types().await {
                Ok(machine_types) => self.take_machine_types(&machine_types).await,
                Err(e) => {
                    debug!("event=machine_types_failed error={:?}", e.to_string());
                    MACHINE_TYPES_RETRY
                }
            };
            sleep(pause).await;
        }
    }

    /// Takes in the machine types; returns when to ask for them again.
    async fn take_machine_types(&self, machine_types: &[MachineType]) -> Micros {
        self.term
            .scheduler
            .borrow_mut()
            .set_machine_types(machine_types);
        let known = self.store.view.borrow().machine_types.clone();
        if known.is_some_and(|k| is_same_but_prices(&k.value, machine_types)) {
            return MACHINE_TYPES_INTERVAL;
        }
        let put = Change::put(MACHINE_TYPES.into(), json!(machine_types));
        let conditions = [self.term.leader_condition()];
        match self.kv.txn(Urgency::Now, &conditions, &[put]).await {
            Ok(_) => MACHINE_TYPES_INTERVAL,
            Err(e) => {
                debug!("event=machine_types_write_failed error={:?}", e.to_string());
                MACHINE_TYPES_WRITE_RETRY
            }
        }
    }

    /// Reads the machine list.
    pub(super) async fn refresh_machine_list(&self) -> TermEnd {
        let interval = (REQUESTS_PER_LIST / self.cloud_rps).max(MIN_LIST_INTERVAL_S);
        let interval = Micros::from_secs_f64(interval);
        loop {
            // What came or went while the pages were read may stand in none or in an old one of them.
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

/// Whether nothing but prices differs: these change all the time, and nobody needs them from the state service.
fn is_same_but_prices(a: &[MachineType], b: &[MachineType]) -> bool {
    let without_prices = |f: &MachineType| MachineType {
        price: 0.0,
        spot_price: 0.0,
        ..f.clone()
    };
    a.iter()
        .map(without_prices)
        .eq(b.iter().map(without_prices))
}
