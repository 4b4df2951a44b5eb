//! A machine in the leader's memory: its resources, the tasks on it and its last contact.

use super::job_spec::Priority;
use super::messages::{TaskState, TaskStatusIndex};
use crate::ids::{JobId, TaskId};
use crate::units::{Micros, Resources};
use ravenhead_recovery::HeartbeatPosition;
use std::collections::{BTreeMap, BTreeSet};

/// After so many unacknowledged answers in a row a machine takes no more offers.
const SUSPECT_AFTER: u32 = 2;
/// After so many its heartbeats are no sign of life.
const INBOUND_UNREACHABLE_AFTER: u32 = 3;
/// Maximum of tasks on one machine.
///
/// Guards against a heartbeat that is longer than a body may be: some 140 bytes a task at the most. A machine of which such a
/// heartbeat was refused would lose its lease with everything on it.
pub(super) const MAX_TASKS_PER_MACHINE: usize = 400;

/// An image's name and its size in GB.
pub type CachedImage = (String, f64);

/// A machine's place in its life cycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MachineState {
    /// Provisioned; its worker has not reported to this leader.
    Provisioning,
    /// Its worker reports to this leader.
    Ready,
    /// Takes nothing any more and is terminated once it is empty.
    Draining,
    /// Being terminated, with whatever is on it.
    Terminating,
}

/// A machine.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether spot.
    pub spot: bool,
    /// All of its resources.
    pub total: Resources,
    /// What placements and unexpected tasks take of it.
    pub used: Resources,
    /// What placed tasks reserve. Changed by [`Machine::reserve_resources`] and [`Machine::release`] only.
    pub reserved: BTreeMap<TaskId, Resources>,
    /// The same by priority.
    reserved_by_priority: BTreeMap<Priority, Resources>,
    /// Tasks on it that no placement covers, with their attempts.
    pub unexpected_tasks: BTreeMap<(TaskId, u64), Resources>,
    /// Exited tasks in its newest heartbeat, with their attempts, still to be cleared.
    pub exited: Vec<(TaskId, u64)>,
    /// Its place in its life cycle.
    pub state: MachineState,
    /// When suspicion was last suppressed because of a partition.
    pub suspicion_suppressed_at: Micros,
    /// When it was provisioned, or first known of.
    pub since: Micros,
    /// The newest heartbeat.
    pub newest: Option<HeartbeatPosition>,
    /// The last sign of life, here or at another controller; at first, when this leader first knew of the machine.
    pub last_contact: Micros,
    /// When the cloud will preempt it, once it gave notice.
    pub notice: Option<Micros>,
    /// When the machine list first had it.
    pub first_listed_at: Option<Micros>,
    /// Whether the machine list has it as up.
    pub listed_running: bool,
    /// Whether the cloud says that it is gone or has failed.
    pub lost: bool,
    /// Cached images with their sizes, the least recently used first.
    pub images: Vec<CachedImage>,
    /// The names of those that were written down for the next leader.
    pub written_images: BTreeSet<String>,
    /// Jobs that failed on it with none succeeding since.
    pub failed_jobs: BTreeSet<JobId>,
    /// Since when nothing is on it.
    pub idle_since: Option<Micros>,
    /// When its newest heartbeat came.
    pub reported_at: Micros,
    /// Whether its heartbeats arrive here, so that commands arrive there; another controller's contact does not suffice.
    pub is_reachable: bool,
    /// Whether its services are being moved to other machines, so that it can be terminated.
    pub consolidating: bool,
    /// The controller that passed its newest heartbeat on; empty: the leader itself.
    pub via: String,
    /// Whether this leader provisioned it, so that no heartbeat of it can be older than this term.
    pub is_provisioned_by_this_term: bool,
    /// Heartbeats in a row that acknowledge none of the answers before them.
    pub unacknowledged_heartbeats: u32,
    /// When one was last counted.
    pub unacknowledged_at: Micros,
    /// Commands of the newest answer, whose effect the next heartbeat should show.
    pub expected_effects: Vec<(TaskId, u64, ExpectedEffect)>,
}

/// What a command is to bring about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExpectedEffect {
    /// The attempt is on the machine.
    Run,
    /// It does not run any more.
    Stop,
    /// It is not reported any more.
    Clear,
}

impl ExpectedEffect {
    /// Whether a heartbeat with the attempt in this state, or without it, shows the effect.
    fn is_shown(self, state: Option<TaskState>) -> bool {
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
    /// A machine of which only the name is known.
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
            exited: Vec::new(),
            state: MachineState::Provisioning,
            since: now,
            newest: None,
            last_contact: now,
            notice: None,
            first_listed_at: None,
            listed_running: false,
            lost: false,
            images: Vec::new(),
            written_images: BTreeSet::new(),
            failed_jobs: BTreeSet::new(),
            idle_since: None,
            suspicion_suppressed_at: Micros::ZERO,
            reported_at: now,
            is_reachable: false,
            consolidating: false,
            via: String::new(),
            is_provisioned_by_this_term: false,
            unacknowledged_heartbeats: 0,
            unacknowledged_at: Micros::ZERO,
            expected_effects: Vec::new(),
        }
    }

    /// Reserves the resources of a task that is placed on it.
    pub fn reserve_resources(&mut self, task: TaskId, need: Resources, priority: Priority) {
        self.used += need;
        *self.reserved_by_priority.entry(priority).or_default() += need;
        self.reserved.insert(task, need);
    }

    /// Releases the resources of a task that is off it.
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

    /// What tasks of a lower priority reserve.
    pub fn reserved_below(&self, priority: Priority) -> Resources {
        let below = self
            .reserved_by_priority
            .range(..priority)
            .map(|(_, room)| *room);
        below.fold(Resources::default(), |all, room| all + room)
    }

    /// Whether a task of a lower priority is placed on it.
    pub fn has_reserved_below(&self, priority: Priority) -> bool {
        self.reserved_by_priority.range(..priority).next().is_some()
    }

    /// Free resources: all of them less everything that may be on it.
    pub fn free(&self) -> Resources {
        self.total - self.used
    }

    /// Whether the image is cached, as far as this leader saw.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| name == image)
    }

    /// Records that an image was used, and drops those that its cache must have evicted for it.
    pub fn record_image(&mut self, image: &str, gb: f64, cache_gb: f64) {
        self.images.retain(|(name, _)| name != image);
        self.images.push((image.to_owned(), gb));
        let mut sum: f64 = self.images.iter().map(|(_, gb)| gb).sum();
        while sum > cache_gb && self.images.len() > 1 {
            sum -= self.images.remove(0).1;
        }
    }

    /// The names of its images.
    pub fn image_names(&self) -> BTreeSet<String> {
        self.images.iter().map(|(name, _)| name.clone()).collect()
    }

    /// Whether the images that it has are those that were written down, in whatever order they were used.
    pub fn images_are_written(&self) -> bool {
        self.images.len() == self.written_images.len()
            && self
                .images
                .iter()
                .all(|(n, _)| self.written_images.contains(n))
    }

    /// How many tasks its next heartbeat will name: those placed, those that nobody placed, and those not cleared yet.
    pub fn reported_tasks(&self) -> usize {
        self.reserved.len() + self.unexpected_tasks.len() + self.exited.len()
    }

    /// Whether nothing is on it.
    pub fn is_empty(&self) -> bool {
        self.reserved.is_empty() && self.unexpected_tasks.is_empty()
    }

    /// Whether the failure detector counts it: it is up, or tasks are placed on it.
    pub fn is_monitored(&self) -> bool {
        self.state == MachineState::Ready || !self.reserved.is_empty()
    }

    /// Whether it may be offered tasks, free resources aside.
    pub fn takes_offers(&self) -> bool {
        self.state == MachineState::Ready
            && self.notice.is_none()
            && !self.lost
            && self.is_reachable
            && !self.is_suspect()
    }

    /// Whether its heartbeats arrive but our answers seem not to reach it. One lost answer says nothing yet.
    pub fn is_suspect(&self) -> bool {
        self.unacknowledged_heartbeats >= SUSPECT_AFTER
    }

    /// Whether its heartbeats count as signs of life no more, as it acknowledges no answer.
    pub fn is_inbound_unreachable(&self) -> bool {
        self.unacknowledged_heartbeats >= INBOUND_UNREACHABLE_AFTER
    }

    /// Whether a heartbeat shows an effect of the commands in the answer before it; none if there were none.
    pub fn acknowledges(&self, report: &TaskStatusIndex<'_>) -> Option<bool> {
        if self.expected_effects.is_empty() {
            return None;
        }
        let shown = self.expected_effects.iter().any(|(task, attempt, asked)| {
            let found = report.get(task, *attempt);
            asked.is_shown(found.map(|t| t.state))
        });
        Some(shown)
    }
}
