//! The leader's in-memory state of a machine: its resources, the tasks on it and its contact with the leader.

use super::exited_attempts::ExitedAttempts;
use super::job_spec::Priority;
use super::messages::{TaskState, TaskStatusIndex};
use crate::ids::{JobId, TaskId};
use crate::units::{Micros, Resources};
use ravenhead_recovery::HeartbeatPosition;
use std::collections::{BTreeMap, BTreeSet};

/// Number of consecutive unacknowledged responses after which a machine gets no more offers.
const INBOUND_SUSPECT_AFTER: u32 = 2;
/// Number of consecutive unacknowledged responses after which a machine's heartbeats no longer show that it is alive.
const INBOUND_UNREACHABLE_AFTER: u32 = 3;
/// Maximum number of tasks on one machine.
///
/// Keeps heartbeats, which take up to about 140 bytes per task, below the maximum length of a request body. A worker
/// whose heartbeats are rejected for their length would lose its lease, and with it all of its tasks.
pub(super) const MAX_TASKS_PER_MACHINE: usize = 400;

/// The name of a cached image and its size in GB.
pub type CachedImage = (String, f64);

/// A machine's lifecycle state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Provisioned or listed by the cloud; its worker has not yet proved to this leader that it is up.
    Provisioning,
    /// Its worker has reported to this leader.
    Ready,
    /// Gets no more tasks and is terminated once it is empty.
    Draining,
    /// To be terminated, together with any tasks on it.
    Terminating,
}

/// The leader's in-memory state of a machine.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Name of its machine type; empty until known.
    pub machine_type: String,
    /// Zone in which it runs; empty until known.
    pub zone: String,
    /// Whether it is a spot machine, which the cloud may preempt.
    pub spot: bool,
    /// Total resources of its machine type; zero until the type is known.
    pub total: Resources,
    /// Resources used by placed tasks and by unexpected ones.
    pub used: Resources,
    /// Resources reserved by each placed task. Changed only by [`Machine::reserve_resources`] and [`Machine::release`].
    pub reserved: BTreeMap<TaskId, Resources>,
    /// Sum of `reserved` by the priority of the tasks.
    reserved_by_priority: BTreeMap<Priority, Resources>,
    /// Tasks reported by it that have no placement there, with their attempts and resources.
    pub unexpected_tasks: BTreeMap<(TaskId, u64), Resources>,
    /// Exited attempts in its newest heartbeat that have no placement there.
    pub exited: ExitedAttempts,
    /// Lifecycle state.
    pub state: MachineState,
    /// Time when suspicion of it was last suppressed because of a partition or a pause of the leader's process; zero if
    /// never.
    pub suspicion_suppressed_at: Micros,
    /// Time when it was provisioned; if that is not known, when this leader first knew of it.
    pub provisioned_at: Micros,
    /// Position of its newest heartbeat; `None` until this leader has received one.
    pub newest_heartbeat: Option<HeartbeatPosition>,
    /// Time of the last contact with this or another controller; initially, when this leader first knew of the machine.
    pub last_contact: Micros,
    /// Time when the cloud will preempt it; `None` unless the cloud gave notice.
    pub preemption_at: Option<Micros>,
    /// Time of the first machine list that contained it.
    pub first_listed_at: Option<Micros>,
    /// Whether the latest machine list that contained it showed it as running.
    pub listed_running: bool,
    /// Whether the cloud's machine list shows it as failed or no longer has it.
    pub is_gone: bool,
    /// Cached images with their sizes, least recently used first.
    pub images: Vec<CachedImage>,
    /// Names of the cached images that were stored for the next leader.
    pub written_images: BTreeSet<String>,
    /// Jobs with tasks that failed on it since a task last succeeded there.
    pub failed_jobs: BTreeSet<JobId>,
    /// Time since which no tasks are on it.
    pub idle_since: Option<Micros>,
    /// Time when this leader received its newest heartbeat; initially, when this leader first knew of the machine.
    /// Pauses of the leader's process move it forward.
    pub last_heartbeat_at: Micros,
    /// Whether its heartbeats reach this leader, so that commands reach the machine. Contact with another controller is
    /// not enough.
    pub is_reachable: bool,
    /// Whether its services are being moved to other machines, so that it can be terminated.
    pub consolidating: bool,
    /// Controller that forwarded its newest heartbeat; empty if it came directly to this leader.
    pub via: String,
    /// Whether this leader provisioned it, so that no heartbeat from it can be older than this leader term.
    pub is_provisioned_by_this_term: bool,
    /// Number of consecutive heartbeats that do not acknowledge the responses before them.
    pub unacknowledged_heartbeats: u32,
    /// Time when `unacknowledged_heartbeats` was last incremented.
    pub last_unacknowledged_at: Micros,
    /// Commands in the newest response, with their attempts and the effects that the next heartbeat should show.
    pub expected_effects: Vec<(TaskId, u64, ExpectedEffect)>,
}

/// The effect that a command should have on a task attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpectedEffect {
    /// The machine reports the attempt, in any state.
    Run,
    /// The attempt has exited, is saving a checkpoint, or is not reported.
    Stop,
    /// The attempt is not reported.
    Clear,
}

impl ExpectedEffect {
    /// Returns whether a heartbeat shows the effect. `state` is the state of the attempt in it, `None` if not reported.
    fn is_confirmed_by(self, state: Option<TaskState>) -> bool {
        match self {
            ExpectedEffect::Run => state.is_some(),
            ExpectedEffect::Stop => {
                state.is_none_or(|s| matches!(s, TaskState::Exited | TaskState::Saving))
            }
            ExpectedEffect::Clear => state.is_none(),
        }
    }
}

impl Machine {
    /// Creates a machine of which only the id is known.
    pub fn unknown(now: Micros) -> Machine {
        Machine {
            machine_type: String::new(),
            zone: String::new(),
            spot: false,
            total: Resources::default(),
            used: Resources::default(),
            reserved: BTreeMap::new(),
            reserved_by_priority: BTreeMap::new(),
            unexpected_tasks: BTreeMap::new(),
            exited: ExitedAttempts::default(),
            state: MachineState::Provisioning,
            provisioned_at: now,
            newest_heartbeat: None,
            last_contact: now,
            preemption_at: None,
            first_listed_at: None,
            listed_running: false,
            is_gone: false,
            images: Vec::new(),
            written_images: BTreeSet::new(),
            failed_jobs: BTreeSet::new(),
            idle_since: None,
            suspicion_suppressed_at: Micros::ZERO,
            last_heartbeat_at: now,
            is_reachable: false,
            consolidating: false,
            via: String::new(),
            is_provisioned_by_this_term: false,
            unacknowledged_heartbeats: 0,
            last_unacknowledged_at: Micros::ZERO,
            expected_effects: Vec::new(),
        }
    }

    /// Reserves the resources of a task placed on this machine.
    pub fn reserve_resources(&mut self, task: TaskId, need: Resources, priority: Priority) {
        self.used += need;
        *self.reserved_by_priority.entry(priority).or_default() += need;
        self.reserved.insert(task, need);
    }

    /// Releases the resources reserved for a task, if there are any.
    pub fn release(&mut self, task: &TaskId, need: Resources, priority: Priority) {
        if self.reserved.remove(task).is_none() {
            return;
        }
        self.used -= need;
        if let Some(reserved) = self.reserved_by_priority.get_mut(&priority) {
            *reserved -= need;
            if *reserved == Resources::default() {
                self.reserved_by_priority.remove(&priority);
            }
        }
    }

    /// Returns the resources reserved by tasks of lower priority.
    pub fn reserved_below(&self, priority: Priority) -> Resources {
        let below = self
            .reserved_by_priority
            .range(..priority)
            .map(|(_, reserved)| *reserved);
        below.fold(Resources::default(), |sum, reserved| sum + reserved)
    }

    /// Returns whether a task of lower priority is placed on this machine.
    pub fn has_reserved_below(&self, priority: Priority) -> bool {
        self.reserved_by_priority.range(..priority).next().is_some()
    }

    /// Returns the free resources: the total less those used by placed and unexpected tasks.
    pub fn free(&self) -> Resources {
        self.total - self.used
    }

    /// Returns whether the image is cached, as far as this leader knows.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| name == image)
    }

    /// Records the use of an image, and removes the least recently used images that no longer fit into the cache.
    pub fn record_image(&mut self, image: &str, gb: f64, cache_gb: f64) {
        self.images.retain(|(name, _)| name != image);
        self.images.push((image.to_owned(), gb));
        let mut cached_gb: f64 = self.images.iter().map(|(_, gb)| gb).sum();
        while cached_gb > cache_gb && self.images.len() > 1 {
            cached_gb -= self.images.remove(0).1;
        }
    }

    /// Returns the names of the cached images.
    pub fn image_names(&self) -> BTreeSet<String> {
        self.images.iter().map(|(name, _)| name.clone()).collect()
    }

    /// Returns whether the stored image names are those of the cached images, in any order.
    pub fn images_are_written(&self) -> bool {
        self.images.len() == self.written_images.len()
            && self
                .images
                .iter()
                .all(|(name, _)| self.written_images.contains(name))
    }

    /// Returns the number of tasks that its next heartbeat will contain: placed tasks, unexpected tasks and exited
    /// attempts that are not cleared.
    pub fn reported_tasks(&self) -> usize {
        self.reserved.len() + self.unexpected_tasks.len() + self.exited.count()
    }

    /// Returns whether no placed or unexpected tasks are on it.
    pub fn is_empty(&self) -> bool {
        self.reserved.is_empty() && self.unexpected_tasks.is_empty()
    }

    /// Returns whether the failure detector monitors its heartbeats: it is ready, or tasks are placed on it.
    pub fn is_monitored(&self) -> bool {
        self.state == MachineState::Ready || !self.reserved.is_empty()
    }

    /// Returns whether it may be offered tasks, regardless of its free resources.
    pub fn accepts_offers(&self) -> bool {
        self.state == MachineState::Ready
            && self.preemption_at.is_none()
            && !self.is_gone
            && self.is_reachable
            && !self.is_inbound_suspect()
    }

    /// Returns whether the leader's responses may not reach it although its heartbeats arrive. A single unacknowledged
    /// response is not enough, as responses can get lost.
    pub fn is_inbound_suspect(&self) -> bool {
        self.unacknowledged_heartbeats >= INBOUND_SUSPECT_AFTER
    }

    /// Returns whether the leader's responses do not reach it, in which case its heartbeats no longer show that it is
    /// alive.
    pub fn is_inbound_unreachable(&self) -> bool {
        self.unacknowledged_heartbeats >= INBOUND_UNREACHABLE_AFTER
    }

    /// Returns whether a heartbeat shows an effect of the commands in the response before it, or `None` if that
    /// response contained none.
    pub fn acknowledges(&self, report: &TaskStatusIndex<'_>) -> Option<bool> {
        if self.expected_effects.is_empty() {
            return None;
        }
        let is_any_confirmed = self.expected_effects.iter().any(|(task, attempt, effect)| {
            let status = report.get(task, *attempt);
            effect.is_confirmed_by(status.map(|t| t.state))
        });
        Some(is_any_confirmed)
    }
}
