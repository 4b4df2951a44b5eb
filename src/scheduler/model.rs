//! What the scheduler reasons about: ids, jobs, machines, reports and orders.

use crate::units::{Micros, Room};
use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::rc::Rc;

/// The most tasks a job may have.
pub const MAX_TASKS: u32 = 100_000;
/// Tasks of one chunk, the unit in which a job's run is written down.
pub const CHUNK: u32 = 64;
/// Longest text that a submission may carry in a name.
const MAX_NAME: usize = 200;
/// After so many unheeded answers in a row a machine takes no more offers.
const DOUBTFUL: u32 = 2;
/// After so many its reports are no sign of life.
const DEAF: u32 = 3;
/// What has no deadline goes behind what is due so soon after it came.
///
/// Guards against spare-time work that comes in thousands of long tasks: by its age it would go before all that has a
/// deadline, which could not be met any more.
const UNDATED: Micros = Micros::secs(600);
/// Most tasks on one machine.
///
/// Guards against a report that is longer than a body may be: some 140 bytes a task at the most. A machine of which such a
/// report was refused would lose its lease with everything on it.
pub(super) const MOST_TASKS: usize = 400;
/// Longest pause for a job that keeps failing.
const MOST_BACKOFF: Micros = Micros::secs(30);
/// Largest amount that a submission may name.
const MAX_AMOUNT: f64 = 1e9;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Encode, Decode)]
        #[serde(transparent)]
        pub struct $name(pub String);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

id!(
    /// A job's name, chosen by its user.
    JobId
);
id!(
    /// A machine's name, chosen by the cloud.
    MachineId
);

impl JobId {
    /// A job id as users write it, `j-` and a few letters or digits; anything else is not one.
    pub fn parse(text: &str) -> Option<JobId> {
        let rest = text.strip_prefix("j-")?;
        let fine =
            !rest.is_empty() && rest.len() <= 64 && rest.bytes().all(|b| b.is_ascii_alphanumeric());
        fine.then(|| JobId(text.to_owned()))
    }
}

/// One task of a job.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The task's number, from 0.
    pub index: u32,
}

impl TaskId {
    /// A task id as workers write it, `j-000412/3`.
    pub fn parse(text: &str) -> Option<TaskId> {
        let (job, index) = text.split_once('/')?;
        Some(TaskId {
            job: JobId::parse(job)?,
            index: index.parse().ok()?,
        })
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// Whether a job's tasks complete or run until cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Shape {
    /// Independent tasks, each runs to completion.
    #[serde(rename = "sweep")]
    Array,
    /// Tasks that run to completion, and only together.
    #[serde(rename = "gang")]
    Gang,
    /// Replicas that run until the job is cancelled.
    #[serde(rename = "standing")]
    Service,
}

/// Priority, the least first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// `low`
    Low,
    /// `normal`
    Normal,
    /// `urgent`
    Urgent,
    /// `critical`
    Critical,
}

/// A job as its user submitted it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job's id.
    #[serde(rename = "nameId")]
    pub id: JobId,
    /// The class that aims speak of.
    #[serde(rename = "lane")]
    pub class: String,
    /// The team whose guarantee and limit apply.
    #[serde(rename = "crew")]
    pub team: String,
    /// Array or service.
    pub shape: Shape,
    /// Its priority.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "takes")]
    pub tasks: u32,
    /// Processors of a task.
    pub cores: f64,
    /// Accelerators of a task.
    pub cards: f64,
    /// Memory of a task in GB.
    #[serde(rename = "ramGb")]
    pub ram_gb: f64,
    /// The image it needs.
    #[serde(rename = "reel")]
    pub image: String,
    /// The image's size in GB.
    #[serde(rename = "pullGb")]
    pub image_gb: f64,
    /// Allowed machine types, or any.
    #[serde(default)]
    pub rigs: Option<Vec<String>>,
    /// The only allowed zone, or any.
    #[serde(default, rename = "yard")]
    pub zone: Option<String>,
    /// All tasks in the same zone.
    pub together: bool,
    /// At most half of the tasks, rounded up, in one zone.
    pub spread: bool,
    /// May use spot machines.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The owner's estimate of a task's run time.
    #[serde(rename = "expectS")]
    pub expect_s: f64,
    /// Interval of checkpoints; 0: never saves.
    #[serde(rename = "markS")]
    pub checkpoint_s: f64,
    /// Time to save when stopped.
    #[serde(rename = "stowS")]
    pub save_s: f64,
    /// When the job should be complete.
    #[serde(default, rename = "dueS")]
    pub due_s: Option<f64>,
}

impl JobSpec {
    /// Reads a submission; the error says what is wrong with it.
    pub fn parse(body: &[u8]) -> Result<JobSpec, String> {
        // A list would pass as a struct with serde, but a submission must be an object.
        if body.iter().find(|b| !b.is_ascii_whitespace()) != Some(&b'{') {
            return Err("not an object".into());
        }
        let spec: JobSpec = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        spec.check()?;
        Ok(spec)
    }

    fn check(&self) -> Result<(), String> {
        if JobId::parse(&self.id.0).is_none() {
            return Err("nameId is not a job id".into());
        }
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Err(format!("takes must be 1 to {MAX_TASKS}"));
        }
        let amounts = [
            ("cores", self.cores),
            ("cards", self.cards),
            ("ramGb", self.ram_gb),
            ("pullGb", self.image_gb),
            ("expectS", self.expect_s),
            ("markS", self.checkpoint_s),
            ("stowS", self.save_s),
            ("dueS", self.due_s.unwrap_or(0.0)),
        ];
        for (name, value) in amounts {
            if !(0.0..=MAX_AMOUNT).contains(&value) {
                return Err(format!("{name} is out of range"));
            }
        }
        let names = [&self.class, &self.team, &self.image];
        let listed = self.rigs.iter().flatten().chain(&self.zone);
        if names.into_iter().chain(listed).any(|n| n.len() > MAX_NAME) {
            return Err("a name is too long".into());
        }
        Ok(())
    }

    /// What one task takes.
    pub fn need(&self) -> Room {
        Room::new(self.cores, self.cards, self.ram_gb)
    }

    /// Whether its tasks run only together.
    pub fn is_gang(&self) -> bool {
        self.shape == Shape::Gang
    }

    /// The most tasks that may be in one zone.
    pub fn zone_cap(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Whether a machine of this type, zone and kind is allowed at all.
    pub fn allows(&self, rig: &str, zone: &str, spot: bool) -> bool {
        self.rigs
            .as_ref()
            .is_none_or(|r| r.iter().any(|r| r == rig))
            && self.zone.as_deref().is_none_or(|z| z == zone)
            && (self.spot || !spot)
    }

    /// How long a stopped task must be given so that it saves; zero where it can't.
    pub fn save_slack(&self) -> f64 {
        if self.checkpoint_s > 0.0 {
            self.save_s
        } else {
            0.0
        }
    }
}

/// A machine type.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Flavor {
    /// Its name.
    #[serde(rename = "label")]
    pub name: String,
    /// Processors.
    pub cores: f64,
    /// Accelerators.
    pub cards: f64,
    /// Memory in GB.
    #[serde(rename = "ramGb")]
    pub ram_gb: f64,
    /// Room for cached images in GB.
    #[serde(rename = "localGb")]
    pub cache_gb: f64,
    /// Image fetch rate.
    #[serde(rename = "fetchGbPerS")]
    pub fetch_gb_per_s: f64,
    /// Price an hour.
    #[serde(rename = "rate")]
    pub price: f64,
    /// Spot price an hour.
    #[serde(rename = "lowPrice")]
    pub spot_price: f64,
    /// Usual boot time.
    #[serde(rename = "bootS")]
    pub boot_s: f64,
    /// Zones where it can be had.
    #[serde(rename = "yards")]
    pub zones: Vec<String>,
}

impl Flavor {
    /// What a machine of this type has.
    pub fn room(&self) -> Room {
        Room::new(self.cores, self.cards, self.ram_gb)
    }

    /// Usual boot time.
    pub fn boot(&self) -> Micros {
        Micros::from_secs_f64(self.boot_s)
    }
}

/// A task's state as its worker tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Waiting for its image.
    #[serde(rename = "pulling")]
    Fetching,
    /// Running.
    Running,
    /// Saving after a stop.
    #[serde(rename = "flushing")]
    Saving,
    /// Ended.
    Exited,
    /// A state that this version does not know: it holds its room.
    #[serde(other)]
    Other,
}

/// Why a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, Encode, Decode)]
#[serde(rename_all = "snake_case")]
pub enum ExitCause {
    /// Completed.
    Done,
    /// Stopped by command.
    #[serde(rename = "halted")]
    Stopped,
    /// Failed.
    Error,
    /// Refused: not enough room.
    NoRoom,
    /// Refused: another attempt of it is there.
    Busy,
    /// Refused: no such job or task.
    Unknown,
    /// A cause that this version does not know.
    #[serde(other)]
    Other,
}

/// A task in a report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct ReportedTask {
    /// The task.
    #[serde(rename = "take")]
    pub task: String,
    /// The attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Its state.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Why it ended.
    #[serde(default)]
    pub cause: Option<ExitCause>,
}

/// A worker's report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Encode, Decode)]
pub struct Report {
    /// The machine.
    #[serde(rename = "host")]
    pub machine: MachineId,
    /// Its type.
    pub rig: String,
    /// Its zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether the cloud may take it back.
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// The worker's session.
    #[serde(rename = "watch")]
    pub session: u64,
    /// Rises with every message of a session.
    #[serde(rename = "tally")]
    pub seq: u64,
    /// Highest token seen.
    #[serde(rename = "warrant")]
    pub token: u64,
    /// Seconds until the cloud takes the machine away.
    #[serde(default, rename = "warningS")]
    pub notice_s: Option<f64>,
    /// All tasks on the machine.
    #[serde(rename = "takes")]
    pub tasks: Vec<ReportedTask>,
}

/// A command to a worker.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Encode, Decode)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Order {
    /// Start a task.
    Run {
        /// The task.
        #[serde(rename = "take")]
        task: String,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
    /// Stop a task.
    Stop {
        /// The task.
        #[serde(rename = "take")]
        task: String,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
        /// How long it may take to save.
        #[serde(rename = "slackS")]
        slack_s: f64,
    },
    /// Drop an exited task from the reports.
    Clear {
        /// The task.
        #[serde(rename = "take")]
        task: String,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u64,
    },
}

/// How a job ended; decided once for ever.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Final {
    /// All tasks completed.
    Done,
    /// Its user cancelled it.
    Aborted,
}

/// The record of a job's end.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// How.
    pub how: Final,
    /// When, in microseconds of the time of day.
    pub at: u64,
    /// Tasks completed by then.
    pub done: u32,
}

/// The record of a job's submission.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// What was asked for.
    pub spec: Rc<JobSpec>,
    /// When, in microseconds of the time of day.
    pub at: u64,
}

/// The record of a chunk of a job's tasks.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ChunkRecord {
    /// Bit by bit, the tasks that are finished; hexadecimal, as not every JSON reader keeps 64 bits.
    #[serde(rename = "f", with = "hex")]
    pub finished: u64,
    /// The highest attempt that any task of the chunk was given.
    #[serde(rename = "a")]
    pub last_attempt: u64,
    /// Tasks that may be on a machine: place within the chunk, machine, attempt.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub live: Vec<(u8, MachineId, u64)>,
}

mod hex {
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub fn serialize<S: Serializer>(bits: &u64, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(&format_args!("{bits:x}"))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<u64, D::Error> {
        let text = String::deserialize(d)?;
        u64::from_str_radix(&text, 16).map_err(D::Error::custom)
    }
}

/// Why a task is being stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// A job that goes before it takes the room.
    Preempted,
    /// Its machine is to be emptied.
    Drained,
}

/// A task that may be on a machine.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Where.
    pub machine: MachineId,
    /// The attempt.
    pub attempt: u64,
    /// Whether the placement is written down; only then may its start be sent.
    pub committed: bool,
    /// Whether an earlier leader made it, so that a start of that leader's may still be on its way.
    pub inherited: bool,
    /// The report (session, seq) whose answer carried the start.
    pub sent: Option<(u64, u64)>,
    /// Its state in the newest report.
    pub seen: Option<TaskState>,
    /// When it was first seen to run.
    pub running_since: Option<Micros>,
    /// Whether, and why, it is being stopped.
    pub stopping: Option<StopReason>,
}

/// A chunk of a job's tasks.
#[derive(Debug, Clone, Default)]
pub struct Chunk {
    /// Finished tasks, bit by bit.
    pub finished: u64,
    /// Those of them that are written down.
    pub finished_committed: u64,
    /// Highest attempt given.
    pub last_attempt: u64,
    /// Tasks that may be on a machine.
    pub live: BTreeMap<u8, Placement>,
    /// The key's version, 0 where it is not yet written.
    pub version: u64,
    /// Whether there is something to write.
    pub dirty: bool,
    /// Since when there is.
    pub changed_at: Micros,
}

impl Chunk {
    /// The record as it would be written now.
    pub fn record(&self) -> ChunkRecord {
        ChunkRecord {
            finished: self.finished,
            last_attempt: self.last_attempt,
            live: self
                .live
                .iter()
                .map(|(i, p)| (*i, p.machine.clone(), p.attempt))
                .collect(),
        }
    }

    /// A chunk as an earlier leader left it.
    pub fn inherit(record: &ChunkRecord, version: u64) -> Chunk {
        let live = record.live.iter().map(|(i, machine, attempt)| {
            let placement = Placement {
                machine: machine.clone(),
                attempt: *attempt,
                committed: true,
                inherited: true,
                sent: None,
                seen: None,
                running_since: None,
                stopping: None,
            };
            (*i, placement)
        });
        Chunk {
            finished: record.finished,
            finished_committed: record.finished,
            last_attempt: record.last_attempt,
            live: live.collect(),
            version,
            dirty: false,
            changed_at: Micros::ZERO,
        }
    }
}

/// A job that is not over, or whose tasks may still be on machines.
#[derive(Debug, Clone)]
pub struct Job {
    /// What was asked for.
    pub spec: Rc<JobSpec>,
    /// When it was submitted, by the time of day.
    pub at: u64,
    /// Whether it is over.
    pub end: Option<End>,
    /// Whether a try to write its end is under way or done.
    pub ending: bool,
    /// Its chunks, as far as anything happened in them.
    pub chunks: BTreeMap<u32, Chunk>,
    /// Finished tasks.
    pub done: u32,
    /// Tasks that may be on a machine.
    pub live: u32,
    /// Those of them by zone.
    pub live_in: BTreeMap<String, u32>,
    /// When its waiting tasks are offered next.
    pub next_try: Micros,
    /// Machines where it failed: they are not offered again.
    pub failed_on: BTreeSet<MachineId>,
    /// Failures in a row, for backing off.
    pub failures: u32,
    /// Whether it failed on so many machines, with no success between, that it is itself at fault.
    pub at_fault: bool,
    /// Whether a spot machine was taken with work of it that could not be saved.
    pub lost_on_spot: bool,
    /// Machines where tasks are being stopped for waiting ones of this job, and until when that is believed.
    pub claims: Vec<(MachineId, Micros)>,
    /// Until when a task of it that waits is one that was stopped only to be moved.
    pub moving_until: Micros,
    /// Since when it is offered with nothing of it placed.
    pub stuck_since: Option<Micros>,
}

impl Job {
    /// A job of which nothing was placed yet.
    pub fn new(spec: Rc<JobSpec>, at: u64, end: Option<End>, now: Micros) -> Job {
        Job {
            spec,
            at,
            end,
            ending: end.is_some(),
            chunks: BTreeMap::new(),
            done: 0,
            live: 0,
            live_in: BTreeMap::new(),
            next_try: now,
            failed_on: BTreeSet::new(),
            failures: 0,
            at_fault: false,
            lost_on_spot: false,
            claims: Vec::new(),
            moving_until: Micros::ZERO,
            stuck_since: None,
        }
    }

    /// When it should be complete, by the time of day; without a deadline so long after it came.
    pub fn due_at(&self) -> u64 {
        let due = self.spec.due_s.map_or(UNDATED, Micros::from_secs_f64);
        self.at.saturating_add(due.0)
    }

    /// Its place among jobs of its priority at a time of day: the one due first goes first.
    ///
    /// Guards against an overload in which every job is served just too late: one that by its owner's estimate can't be
    /// in time any more counts as due half as late again, and if not even then, at three times its time. It gives way
    /// to what may still be in time, but only so far, so that none waits for ever.
    pub fn turn(&self, wall: u64) -> u64 {
        let due = self.due_at();
        let allowed = due - self.at;
        let done_at = wall.saturating_add(Micros::from_secs_f64(self.spec.expect_s).0);
        if self.spec.due_s.is_none() || done_at <= due {
            due
        } else if done_at <= due.saturating_add(allowed / 2) {
            due.saturating_add(allowed / 2)
        } else {
            due.saturating_add(allowed).saturating_add(allowed)
        }
    }

    /// Tasks that are neither finished nor possibly on a machine.
    pub fn waiting(&self) -> u32 {
        if self.end.is_some() || self.ending {
            0
        } else {
            self.spec.tasks - self.done - self.live
        }
    }

    /// Tasks that wait and may be offered now: of a job at fault one, and then none for a while.
    ///
    /// Guards against a large job submitted with a mistake: all of its tasks would be started, and rented for, again and
    /// again, only to fail.
    pub fn open(&self) -> u32 {
        if self.at_fault {
            self.waiting().min(1)
        } else {
            self.waiting()
        }
    }

    /// How long it pauses after its latest failure.
    pub fn pause(&self) -> Micros {
        Micros::secs(1 << self.failures.min(5)).min(MOST_BACKOFF)
    }

    /// Whether its tasks may go to such a machine. What lost its work on a spot machine once does not try its luck again:
    /// a job without checkpoints could lose it over and over and never be in time.
    pub fn allows(&self, rig: &str, zone: &str, spot: bool) -> bool {
        self.spec.allows(rig, zone, spot) && !(spot && self.lost_on_spot)
    }

    /// The first waiting task at or after `from`.
    pub fn next_waiting(&self, from: u32) -> Option<u32> {
        let mut index = from;
        while index < self.spec.tasks {
            let (c, i) = (index / CHUNK, index % CHUNK);
            let Some(chunk) = self.chunks.get(&c) else {
                return Some(index);
            };
            if chunk.finished >> i & 1 == 0 && !chunk.live.contains_key(&(i as u8)) {
                return Some(index);
            }
            index += 1;
        }
        None
    }

    /// The attempt that the next placement of a task of this chunk gets. The tasks of a gang find each other by it, so it
    /// is the same for all that are placed together.
    pub fn next_attempt(&self, chunk: u32) -> u64 {
        if !self.spec.is_gang() {
            return self.chunks.get(&chunk).map_or(0, |c| c.last_attempt) + 1;
        }
        let live = self.chunks.values().flat_map(|c| c.live.values());
        let highest = self.chunks.values().map(|c| c.last_attempt).max();
        match live.map(|p| p.attempt).max() {
            Some(attempt) => attempt,
            None => highest.unwrap_or(0) + 1,
        }
    }

    /// The placement of a task.
    pub fn placement(&self, index: u32) -> Option<&Placement> {
        self.chunks
            .get(&(index / CHUNK))?
            .live
            .get(&((index % CHUNK) as u8))
    }

    /// The placement of a task, to change.
    pub fn placement_mut(&mut self, index: u32) -> Option<&mut Placement> {
        self.chunks
            .get_mut(&(index / CHUNK))?
            .live
            .get_mut(&((index % CHUNK) as u8))
    }

    /// Whether a task is finished.
    pub fn is_finished(&self, index: u32) -> bool {
        self.chunks
            .get(&(index / CHUNK))
            .is_some_and(|c| c.finished >> (index % CHUNK) & 1 == 1)
    }

    /// Whether a finished task is written down as such.
    pub fn is_finish_committed(&self, index: u32) -> bool {
        self.chunks
            .get(&(index / CHUNK))
            .is_some_and(|c| c.finished_committed >> (index % CHUNK) & 1 == 1)
    }
}

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
    pub rig: String,
    /// Its zone.
    pub zone: String,
    /// Whether spot.
    pub spot: bool,
    /// What it has in all.
    pub total: Room,
    /// What placements and unexpected tasks take of it.
    pub used: Room,
    /// Placed tasks.
    pub held: BTreeMap<TaskId, Room>,
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
    pub newest: Option<(u64, u64)>,
    /// When that came, or when this leader first knew of the machine.
    pub heard_at: Micros,
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
    pub folding: bool,
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
    pub fn heeds(&self, report: &Report) -> Option<bool> {
        if self.asked.is_empty() {
            return None;
        }
        let shown = self.asked.iter().any(|(task, attempt, asked)| {
            let name = task.to_string();
            let found = report
                .tasks
                .iter()
                .find(|t| t.attempt == *attempt && t.task == name);
            asked.is_shown(found.map(|t| t.state))
        });
        Some(shown)
    }
}

#[cfg(test)]
mod tests;
