//! Leading: elections, and what the leader does during its term: scheduling cycles, their commits, the machine inventory, scale-out and scale-in.

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

/// Pause before a transaction is sent again.
const RETRY_PAUSE: Micros = Micros::millis(120);

/// The parts of a controller that leading takes.
pub struct Leader {
    /// The clock.
    pub clock: Clock,
    /// The platform's settings.
    pub platform: Rc<Platform>,
    /// The operators' settings.
    pub settings: Rc<Settings>,
    /// The state service.
    pub kv: Rc<KvClient>,
    /// The cached view.
    pub store: Rc<StateCache>,
    /// The cloud.
    pub cloud: Rc<Cloud>,
    /// The other controllers.
    pub membership: Rc<Membership>,
    /// The term that this controller leads, for the duties that must know it.
    pub current_term: Rc<CurrentTerm>,
    /// Wins and renews the lease.
    pub election: Election,
    /// Recovery after a loss of stored state.
    pub state_loss: Rc<StateLossRecovery>,
    /// Process pauses.
    pub pause_detector: Rc<PauseDetector>,
}

impl Leader {
    /// Leads until the term ends; returns why.
    ///
    /// All duties of the term end together, wherever they are. A request that is under way then may still be carried out:
    /// writes are conditional on the leader key, and commands are sent in answers to heartbeats only, which look at the
    /// lease.
    async fn run_term(&self, term: &LeaderTerm) -> TermEnd {
        // The leader does most of the reading and writing: half of the budget is its own.
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
        self.election.hold(term.lease()).or(duties).await
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
