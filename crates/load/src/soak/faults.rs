//! The schedule of faults, drawn from a seed, and their effects.

use super::Options;
use super::site::{Site, sleep};
use std::fmt;
use std::rc::Rc;

/// Number of faults that overlap on average.
const OVERLAPPING_FAULTS: f64 = 2.5;
/// Bounds of the duration of a fault in seconds.
const MIN_DURATION_S: f64 = 1.0;
const MAX_DURATION_S: f64 = 12.0;
/// Number of kinds of faults that are drawn.
const KINDS: usize = 13;
/// Most leaders that are killed one after the other.
const MAX_LEADERS_KILLED: usize = 4;

/// What is broken.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    /// A controller is killed and starts again.
    Kill(usize),
    /// All controllers are killed and start again.
    KillAll,
    /// Leaders are killed one after the other.
    KillLeaders(usize),
    /// A controller is paused.
    Pause(usize),
    /// The key-value store refuses everybody.
    StateOutage,
    /// The key-value store refuses a controller.
    StateRefuses(usize),
    /// The requests of a controller to the key-value store are held back.
    StateCut(usize),
    /// The key-value store answers late.
    StateSlow,
    /// Responses to transactions are lost, and some transactions are carried out late.
    TransactionsLost,
    /// A controller reaches no other controller.
    PeersCut(usize),
    /// The cloud refuses everything.
    CloudOutage,
    /// A fraction of the machines hangs, hears nothing or sends nothing.
    Machines(MachineFault, f64),
    /// Heartbeats arrive a second time.
    LateHeartbeats,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum MachineFault {
    Paused,
    Deaf,
    Mute,
}

/// A fault with its beginning and duration in seconds.
#[derive(Debug, Clone, Copy)]
struct ScheduledFault {
    at_s: f64,
    for_s: f64,
    fault: Fault,
}

impl fmt::Display for ScheduledFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "at {:.1} s for {:.1} s: {:?}",
            self.at_s, self.for_s, self.fault
        )
    }
}

/// The faults of a run, in the order of their beginning.
pub(super) struct Schedule(Vec<ScheduledFault>);

impl Schedule {
    /// Draws the faults of a run from its seed.
    pub(super) fn draw(options: &Options) -> Schedule {
        let mut rng = fastrand::Rng::with_seed(options.seed);
        let mean_duration_s = (MIN_DURATION_S + MAX_DURATION_S) / 2.0;
        let count = (options.fault_s * OVERLAPPING_FAULTS / mean_duration_s).ceil() as usize;
        let mut faults: Vec<ScheduledFault> = (0..count.max(1))
            .map(|_| ScheduledFault {
                at_s: rng.f64() * options.fault_s,
                for_s: MIN_DURATION_S + rng.f64() * (MAX_DURATION_S - MIN_DURATION_S),
                fault: draw_fault(&mut rng, options.controllers),
            })
            .collect();
        faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
        Schedule(faults)
    }

    /// Returns a line for each fault.
    pub(super) fn lines(&self) -> Vec<String> {
        self.0.iter().map(ToString::to_string).collect()
    }
}

fn draw_fault(rng: &mut fastrand::Rng, controllers: usize) -> Fault {
    let node = rng.usize(..controllers);
    let machine_fault =
        [MachineFault::Paused, MachineFault::Deaf, MachineFault::Mute][rng.usize(..3)];
    match rng.usize(..KINDS) {
        0 => Fault::Kill(node),
        1 => Fault::KillAll,
        2 => Fault::KillLeaders(2 + rng.usize(..MAX_LEADERS_KILLED - 1)),
        3 => Fault::Pause(node),
        4 => Fault::StateOutage,
        5 => Fault::StateRefuses(node),
        6 => Fault::StateCut(node),
        7 => Fault::StateSlow,
        8 => Fault::TransactionsLost,
        9 => Fault::PeersCut(node),
        10 => Fault::CloudOutage,
        11 => Fault::LateHeartbeats,
        _ => Fault::Machines(machine_fault, 0.1 + 0.3 * rng.f64()),
    }
}

impl Site {
    /// Plays all faults; returns when the last one has ended.
    pub(super) async fn play_faults(self: &Rc<Site>, schedule: &Schedule) {
        let played = schedule.0.iter().map(|scheduled| {
            let (site, scheduled) = (self.clone(), *scheduled);
            self.spawner.spawn(async move {
                sleep(scheduled.at_s).await;
                site.play(scheduled).await;
            })
        });
        let played: Vec<_> = played.collect();
        for fault in played {
            fault.await;
        }
        self.end_all_faults();
    }

    async fn play(self: &Rc<Site>, scheduled: ScheduledFault) {
        let state_faults = &self.state.faults;
        match scheduled.fault {
            Fault::Kill(node) => {
                self.controllers.kill(node);
                sleep(scheduled.for_s).await;
                self.restart(node);
            }
            Fault::KillAll => {
                let nodes = 0..self.controllers.bind.len();
                nodes.clone().for_each(|node| self.controllers.kill(node));
                sleep(scheduled.for_s).await;
                nodes.for_each(|node| self.restart(node));
            }
            Fault::KillLeaders(count) => self.kill_leaders(count).await,
            Fault::Pause(node) => {
                self.controllers.set_paused(node, true);
                sleep(scheduled.for_s).await;
                self.controllers.set_paused(node, false);
            }
            Fault::StateOutage => {
                self.state.set_outage(true, self.now());
                sleep(scheduled.for_s).await;
                self.state.set_outage(false, self.now());
            }
            Fault::StateRefuses(node) => {
                state_faults.borrow_mut().refused.insert(node);
                sleep(scheduled.for_s).await;
                state_faults.borrow_mut().refused.remove(&node);
            }
            Fault::StateCut(node) => {
                state_faults.borrow_mut().cut.insert(node);
                sleep(scheduled.for_s).await;
                state_faults.borrow_mut().cut.remove(&node);
            }
            Fault::StateSlow => {
                state_faults.borrow_mut().latency_s = 0.4;
                sleep(scheduled.for_s).await;
                state_faults.borrow_mut().latency_s = 0.0;
            }
            Fault::TransactionsLost => {
                self.set_transactions_lost(0.15, 0.1);
                sleep(scheduled.for_s).await;
                self.set_transactions_lost(0.0, 0.0);
            }
            Fault::PeersCut(node) => {
                self.controllers.set_cut_from_peers(node, true);
                sleep(scheduled.for_s).await;
                self.controllers.set_cut_from_peers(node, false);
            }
            Fault::CloudOutage => {
                self.cloud.is_down.set(true);
                sleep(scheduled.for_s).await;
                self.cloud.is_down.set(false);
            }
            Fault::Machines(fault, share) => {
                self.break_machines(fault, share, scheduled.for_s).await
            }
            Fault::LateHeartbeats => {
                self.duplicate_rate.set(0.2);
                sleep(scheduled.for_s).await;
                self.duplicate_rate.set(0.0);
            }
        }
    }

    fn set_transactions_lost(&self, lost_response_rate: f64, late_commit_rate: f64) {
        let mut faults = self.state.faults.borrow_mut();
        faults.lost_response_rate = lost_response_rate;
        faults.late_commit_rate = late_commit_rate;
    }

    /// Starts a controller that was killed, unless another fault has started it meanwhile.
    fn restart(&self, node: usize) {
        self.controllers.kill(node);
        let started = self.controllers.start_node(node);
        started.expect("the program that ran before can be started");
    }

    async fn kill_leaders(&self, count: usize) {
        for _ in 0..count {
            if let Some(leader) = self.state.leader() {
                self.controllers.kill(leader);
                sleep(0.3 + self.random()).await;
                self.restart(leader);
            }
            sleep(1.0 + 2.0 * self.random()).await;
        }
    }

    async fn break_machines(&self, fault: MachineFault, share: f64, for_s: f64) {
        let workers = self.cloud.workers();
        let affected: Vec<_> = workers
            .into_iter()
            .filter(|_| self.random() < share)
            .collect();
        let set_broken = |broken: bool| {
            for worker in &affected {
                match fault {
                    MachineFault::Paused => worker.faults.paused.set(broken),
                    MachineFault::Deaf => worker.faults.deaf.set(broken),
                    MachineFault::Mute => worker.faults.mute.set(broken),
                }
            }
        };
        set_broken(true);
        sleep(for_s).await;
        set_broken(false);
    }

    /// Ends what two overlapping faults of the same kind may have left.
    fn end_all_faults(&self) {
        for node in 0..self.controllers.bind.len() {
            self.controllers.set_paused(node, false);
            self.controllers.set_cut_from_peers(node, false);
        }
        for node in self.controllers.ended() {
            self.restart(node);
        }
        self.state.set_outage(false, self.now());
        self.state.faults.replace(Default::default());
    }
}
