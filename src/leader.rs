//! The leader: elections, and the duties of a leader term, which are scheduling cycles and their commits, the machine
//! inventory, scale-out and scale-in.

mod commit;
mod cycles;
mod elections;
mod fleet;
mod inventory;
mod provisioning;

use crate::clock::Clock;
use crate::cloud::Cloud;
use crate::config::{Platform, Settings};
use crate::election::Election;
use crate::kv::KvClient;
use crate::membership::Membership;
use crate::pause_detector::PauseDetector;
use crate::state_loss::StateLossRecovery;
use crate::store::StateCache;
use crate::term::{CurrentTerm, LeaderTerm, TermEnd};
use crate::units::Micros;
use futures_lite::FutureExt;
use std::rc::Rc;

use commit::BatchWriter;
use cycles::SchedulingLoop;
use fleet::FleetScaler;
use inventory::MachineInventory;
use provisioning::Provisioner;

/// Pause before a transaction or a read is retried.
const RETRY_PAUSE: Micros = Micros::millis(120);

/// The components of a controller that take part in elections and leader terms.
pub struct Leader {
    /// Clock for time limits, lease validity and the times in stored records.
    pub clock: Clock,
    /// The deployment's platform: budgets of the external services and machine limits.
    pub platform: Rc<Platform>,
    /// The settings that operators may change.
    pub settings: Rc<Settings>,
    /// Client of the key-value store, with this controller's share of the request budget.
    pub kv: Rc<KvClient>,
    /// The view of the key-value store.
    pub store: Rc<StateCache>,
    /// Client of the cloud, for the machine list, the machine types, provisioning and termination.
    pub cloud: Rc<Cloud>,
    /// The other controllers and what they report about leader terms.
    pub membership: Rc<Membership>,
    /// The current leader term, shared with the duties that run whether or not this controller leads.
    pub current_term: Rc<CurrentTerm>,
    /// Acquires and renews the leader lease.
    pub election: Election,
    /// Restores stored state after a loss before the term begins.
    pub state_loss: Rc<StateLossRecovery>,
    /// Detects process pauses before decisions about machines that seem unreachable.
    pub pause_detector: Rc<PauseDetector>,
}

impl Leader {
    /// Runs all duties of the term until it ends; returns the reason.
    ///
    /// All duties are cancelled together, at whichever await point they are. A request in flight may still take effect,
    /// which is safe: writes are conditional on the leader key, and commands are sent only in responses to
    /// heartbeats, which check the lease.
    async fn run_term(&self, term: &LeaderTerm) -> TermEnd {
        // The leader makes most reads and writes, so it gets half of the request budget.
        let limits = &self.platform.facts.state;
        self.kv
            .set_rate_limits(limits.rps / 2.0, limits.write_rps / 2.0);
        let cycles = self.scheduling_loop(term);
        let inventory = self.inventory(term);
        let fleet = self.fleet_scaler(term);
        let duties = cycles
            .run()
            .or(cycles.request_on_view_changes())
            .or(inventory.refresh_machine_types())
            .or(inventory.refresh_machine_list())
            .or(fleet.run());
        self.election
            .renew_until_lost(term.lease())
            .or(duties)
            .await
    }

    fn scheduling_loop<'a>(&'a self, term: &'a LeaderTerm) -> SchedulingLoop<'a> {
        SchedulingLoop {
            clock: self.clock,
            max_batch_ops: self.platform.facts.state.txn_ops,
            kv: &self.kv,
            store: &self.store,
            term,
            writer: BatchWriter {
                clock: self.clock,
                kv: &self.kv,
                store: &self.store,
                term,
            },
        }
    }

    fn inventory<'a>(&'a self, term: &'a LeaderTerm) -> MachineInventory<'a> {
        MachineInventory {
            clock: self.clock,
            cloud_rps: self.platform.facts.cloud.rps,
            kv: &self.kv,
            store: &self.store,
            cloud: &self.cloud,
            term,
        }
    }

    fn fleet_scaler<'a>(&'a self, term: &'a LeaderTerm) -> FleetScaler<'a> {
        FleetScaler {
            clock: self.clock,
            cloud: &self.cloud,
            membership: &self.membership,
            state_loss: &self.state_loss,
            pause_detector: &self.pause_detector,
            term,
            provisioner: Provisioner {
                clock: self.clock,
                max_requests: self.platform.facts.state.txn_ops / 2,
                kv: &self.kv,
                cloud: &self.cloud,
                term,
            },
        }
    }
}
