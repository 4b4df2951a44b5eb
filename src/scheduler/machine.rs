//! A machine in the leader's memory: what it has, what is on it and when it was last in contact.

use super::ids::{JobId, TaskId};
use super::job_spec::Priority;
use super::messages::{ReportIndex, TaskState};
use crate::units::{Micros, Room};
use ravenhead_recovery::Position;
use std::collections::{BTreeMap, BTreeSet};

/// After so many unheeded answers in a row a machine takes no more offers.
const DOUBTFUL: u32 = 2;
/// After so many its reports are no sign of life.
const DEAF: u32 = 3;
/// Most tasks on one machine.
///
/// Guards against a report that is longer than a body may be: some 140 bytes a task at the most. A machine of which such a
/// report was refused would lose its lease with everything on it.
pub(super) const MOST_TASKS: usize = 400;

/// An image's name and its size in GB.
pub type CachedImage = (String, f64);

/// How far a machine is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Life {
    /// Rented; its worker has not reported to this leader.
    Booting,
    /// Its worker reports to this leader.
    Up,
    /// Takes nothing any more and is given back once it is empty.
    Draining,
    /// Being given back, with whatever is on it.
    Returning,
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
    /// What it has in all.
    pub total: Room,
    /// What placements and unexpected tasks take of it.
    pub used: Room,
    /// Placed tasks. Changed by [`Machine::hold`] and [`Machine::release`] only.
    pub held: BTreeMap<TaskId, Room>,
    /// What they take, by their priority.
    held_by: BTreeMap<Priority, Room>,
    /// Tasks on it that no placement covers, with their attempts.
    pub extra: BTreeMap<(TaskId, u64), Room>,
    /// Exited tasks in its newest report, with their attempts, still to be cleared.
    pub exited: Vec<(TaskId, u64)>,
    /// How far it is.
    pub life: Life,
    /// When its silence was last excused by a cut.
    pub excused_at: Micros,
    /// When it was rented, or first known of.
    pub since: Micros,
    /// The newest report.
    pub newest: Option<Position>,
    /// When that came, or when this leader first knew of the machine.
    pub last_contact: Micros,
    /// When the cloud will take it, once it said so.
    pub notice: Option<Micros>,
    /// When the machine list first had it.
    pub listed_at: Option<Micros>,
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
    /// When its newest report came.
    pub reported_at: Micros,
    /// Whether its reports get here, so that orders get there; not only another controller's word that it is alive.
    pub in_touch: bool,
    /// Whether its services are being moved to machines that have room, so that it can go back.
    pub consolidating: bool,
    /// The controller that passed its newest report on; empty: the leader itself.
    pub via: String,
    /// Whether this leader rented it, so that no report of it can be older than this term.
    pub rented_now: bool,
    /// Reports in a row that show no sign of the answers before them.
    pub unheeded: u32,
    /// When one was last counted.
    pub unheeded_at: Micros,
    /// Orders of the newest answer, whose effect the next report should show.
    pub asked: Vec<(TaskId, u64, Asked)>,
}

/// What an order is to bring about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asked {
    /// The attempt is on the machine.
    Run,
    /// It does not run any more.
    Stop,
    /// It is not reported any more.
    Clear,
}

impl Asked {
    /// Whether a report with the attempt in this state, or without it, shows the effect.
    fn is_shown(self, state: Option<TaskState>) -> bool {
        match self {
            Asked::Run => state.is_some(),
            Asked::Stop => state.is_none_or(|s| matches!(s, TaskState::Exited | TaskState::Saving)),
            Asked::Clear => state.is_none(),
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
            total: Room::default(),
            used: Room::default(),
            held: BTreeMap::new(),
            held_by: BTreeMap::new(),
            extra: BTreeMap::new(),
            exited: Vec::new(),
            life: Life::Booting,
            since: now,
            newest: None,
            last_contact: now,
            notice: None,
            listed_at: None,
            listed_running: false,
            lost: false,
            images: Vec::new(),
            written_images: BTreeSet::new(),
            failed_jobs: BTreeSet::new(),
            idle_since: None,
            excused_at: Micros::ZERO,
            reported_at: now,
            in_touch: false,
            consolidating: false,
            via: String::new(),
            rented_now: false,
            unheeded: 0,
            unheeded_at: Micros::ZERO,
            asked: Vec::new(),
        }
    }

    /// A task is placed on it.
    pub fn hold(&mut self, task: TaskId, need: Room, priority: Priority) {
        self.used += need;
        *self.held_by.entry(priority).or_default() += need;
        self.held.insert(task, need);
    }

    /// A task is off it.
    pub fn release(&mut self, task: &TaskId, need: Room, priority: Priority) {
        if self.held.remove(task).is_none() {
            return;
        }
        self.used -= need;
        if let Some(held) = self.held_by.get_mut(&priority) {
            *held -= need;
            if *held == Room::default() {
                self.held_by.remove(&priority);
            }
        }
    }

    /// What tasks of a lower priority take.
    pub fn held_below(&self, priority: Priority) -> Room {
        let below = self.held_by.range(..priority).map(|(_, room)| *room);
        below.fold(Room::default(), |all, room| all + room)
    }

    /// Whether it holds a task of a lower priority.
    pub fn holds_below(&self, priority: Priority) -> bool {
        self.held_by.range(..priority).next().is_some()
    }

    /// Free room: what is there less everything that may be on it.
    pub fn free(&self) -> Room {
        self.total - self.used
    }

    /// Whether the image is cached, as far as this leader saw.
    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| name == image)
    }

    /// Notes that an image was used, and what must have made room for it.
    pub fn note_image(&mut self, image: &str, gb: f64, cache_gb: f64) {
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

    /// How many tasks its next report will name: those placed, those that nobody placed, and those not cleared yet.
    pub fn reported_tasks(&self) -> usize {
        self.held.len() + self.extra.len() + self.exited.len()
    }

    /// Whether nothing is on it.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty() && self.extra.is_empty()
    }

    /// Whether its silence would mean something: it is up, or should hold tasks.
    pub fn is_counted(&self) -> bool {
        self.life == Life::Up || !self.held.is_empty()
    }

    /// Whether it may be offered tasks, room aside.
    pub fn takes_offers(&self) -> bool {
        self.life == Life::Up
            && self.notice.is_none()
            && !self.lost
            && self.in_touch
            && !self.is_doubtful()
    }

    /// Whether its reports arrive but our answers seem not to reach it. One lost answer says nothing yet.
    pub fn is_doubtful(&self) -> bool {
        self.unheeded >= DOUBTFUL
    }

    /// Whether its reports count as signs of life no more, as it heeds no answer.
    pub fn is_deaf(&self) -> bool {
        self.unheeded >= DEAF
    }

    /// Whether a report shows an effect of the orders in the answer before it; none if there were none.
    pub fn heeds(&self, report: &ReportIndex<'_>) -> Option<bool> {
        if self.asked.is_empty() {
            return None;
        }
        let shown = self.asked.iter().any(|(task, attempt, asked)| {
            let found = report.get(task, *attempt);
            asked.is_shown(found.map(|t| t.state))
        });
        Some(shown)
    }
}
