//! The keys in the state service and what they hold, as of a revision.

use crate::scheduler::{
    CachedImage, ChunkRecord, JobEnd, JobId, JobOutcome, JobRecord, MachineId, MachineType, Pool,
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Everything this service keeps is below this prefix.
pub const PREFIX: &str = "r/";
/// The leader's key.
pub const LEADER: &str = "r/leader";
/// The last token, without a lease.
pub const TERM: &str = "r/term";
/// The machine types.
pub const MACHINE_TYPES: &str = "r/flavors";
/// The record of the last loss of stored state.
pub const LOSS: &str = "r/loss";
/// The status of a cancelled job.
pub const ABORTED: &str = "aborted";

/// The key of a submission.
pub fn job_key(id: &JobId) -> String {
    format!("r/job/{id}")
}

/// The key of a job's end.
pub fn end_key(id: &JobId) -> String {
    format!("r/end/{id}")
}

/// The key of a chunk of a job's tasks.
pub fn chunk_key(id: &JobId, chunk: u32) -> String {
    format!("r/run/{id}/{chunk:05}")
}

/// The keys under which a controller tells which machines it hears, as many as one value can't hold.
pub fn contacts_key(node: &str, part: usize) -> String {
    format!("r/heard/{node}/{part}")
}

/// The key of a provisioning request, by its name.
pub fn provisioning_key(request_name: &str) -> String {
    format!("r/rental/{request_name}")
}

/// The key of the images that a machine has.
pub fn images_key(machine: &MachineId) -> String {
    format!("r/images/{machine}")
}

/// The key under which a controller tells what it can rebuild from.
pub fn candidate_key(node: &str) -> String {
    format!("r/rebuild/{node}")
}

/// The key of an archive of ends, after a loss.
pub fn archive_key(loss: u64, part: usize) -> String {
    format!("r/ends/{loss}-{part:05}")
}

/// A loss of stored state, and how far its rebuilding is.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LossRecord {
    /// The number of the loss, from 1.
    pub number: u64,
    /// What is added to revisions to make tokens, so that they stay above all that were given before.
    pub base: u64,
    /// When it was found, by the time of day in microseconds.
    pub at: u64,
    /// Whether everything that was known is there again.
    pub restored: bool,
    /// Whether every machine has confirmed what runs on it.
    pub confirmed: bool,
}

/// What a controller can rebuild from, as it tells the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CandidateRecord {
    /// The losses that were rebuilt before its view: of these it has nothing more to tell.
    pub losses: u64,
    /// The revision of its view, 0 where it has none.
    pub revision: u64,
    /// The highest token that it knows.
    pub token: u64,
    /// Whether it has evidence of a loss after those, and waits for the rebuild.
    pub lost: bool,
}

/// A job's end in an archive.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ArchivedEnd {
    /// The job.
    pub job: JobId,
    /// How it ended.
    pub end: JobEnd,
}

/// The version of ends that stand in archives: no listing of single ends has them.
const ARCHIVED: u64 = u64::MAX;

/// Who leads.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The controller.
    pub node: String,
    /// Drawn anew by every process, so that a restarted one is not taken for its former self.
    pub incarnation: u64,
    /// The lease that the key hangs on.
    pub lease: u64,
}

/// A provisioning request that was asked for or answered, as a new leader must know it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ProvisioningRecord {
    /// The request.
    pub rental: crate::cloud::ProvisioningRequest,
    /// The machines, once known.
    pub machines: Option<Vec<MachineId>>,
    /// When, by the time of day in microseconds.
    pub at: u64,
}

impl ProvisioningRecord {
    /// Where it rents.
    pub fn pool(&self) -> Pool {
        Pool {
            machine_type: self.rental.machine_type.clone(),
            zone: self.rental.zone.clone(),
            spot: self.rental.spot,
        }
    }
}

/// A value with its version.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    /// The value.
    pub value: T,
    /// The version.
    pub version: u64,
}

/// What a change of the view means to its readers.
#[derive(Debug, Clone, PartialEq)]
pub enum ViewChange {
    /// A job was accepted.
    Job(JobId),
    /// A job has ended.
    JobEnded(JobId),
    /// A controller tells which machines it hears.
    Contacts(String, Vec<MachineId>),
    /// The machine types were written.
    MachineTypes,
}

/// All keys, as of a revision.
#[derive(Debug, Default)]
pub struct View {
    /// The revision up to which all changes are in.
    pub revision: u64,
    /// Whether it was ever filled.
    pub loaded: bool,
    /// Accepted jobs.
    pub jobs: BTreeMap<JobId, Versioned<JobRecord>>,
    /// Jobs that have ended.
    pub ends: HashMap<JobId, Versioned<JobEnd>>,
    /// The last loss of stored state.
    pub loss: Option<Versioned<LossRecord>>,
    /// What controllers can rebuild from.
    pub candidates: BTreeMap<String, CandidateRecord>,
    /// How many archives of ends there are.
    pub archives: usize,
    /// How many of the accepted jobs have ended, their records waiting for their removal.
    ended_with_record: usize,
    /// Chunks of jobs.
    pub runs: BTreeMap<JobId, BTreeMap<u32, Versioned<ChunkRecord>>>,
    /// Images that machines have.
    pub images: BTreeMap<MachineId, Vec<CachedImage>>,
    /// Who leads; the version is the token.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// The last token.
    pub term: u64,
    /// Recent provisioning requests by their names.
    pub provisioning: BTreeMap<String, ProvisioningRecord>,
    /// The machine types.
    pub machine_types: Option<Versioned<Vec<MachineType>>>,
}

/// A job's state as users are told it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct JobStatus {
    /// The job.
    #[serde(rename = "nameId")]
    pub id: JobId,
    /// `pending`, `running`, `done` or `aborted`.
    pub status: &'static str,
    /// Tasks completed.
    pub done: u32,
    /// Tasks that run.
    pub running: u32,
}

impl View {
    /// A key was written.
    pub fn put(
        &mut self,
        key: &str,
        value: Value,
        version: u64,
    ) -> Result<Option<ViewChange>, String> {
        fn parse<T: for<'a> Deserialize<'a>>(value: Value) -> Result<T, String> {
            serde_json::from_value(value).map_err(|e| e.to_string())
        }
        let rest = key.strip_prefix(PREFIX).ok_or("foreign key")?;
        if let Some(id) = rest.strip_prefix("job/") {
            let id = JobId::parse(id).ok_or("bad job id")?;
            let value = parse(value)?;
            let before = self.jobs.insert(id.clone(), Versioned { value, version });
            if before.is_none() && self.ends.contains_key(&id) {
                self.ended_with_record += 1;
            }
            return Ok(Some(ViewChange::Job(id)));
        }
        if let Some(id) = rest.strip_prefix("end/") {
            let id = JobId::parse(id).ok_or("bad job id")?;
            let value = parse(value)?;
            self.put_end(&id, Versioned { value, version });
            return Ok(Some(ViewChange::JobEnded(id)));
        }
        if let Some(run) = rest.strip_prefix("run/") {
            let (id, chunk) = split_run(run).ok_or("bad chunk key")?;
            let value = parse(value)?;
            self.runs
                .entry(id)
                .or_default()
                .insert(chunk, Versioned { value, version });
            return Ok(None);
        }
        if let Some(machine) = rest.strip_prefix("images/") {
            self.images
                .insert(MachineId(machine.to_owned()), parse(value)?);
            return Ok(None);
        }
        if let Some(request_name) = rest.strip_prefix("rental/") {
            self.provisioning
                .insert(request_name.to_owned(), parse(value)?);
            return Ok(None);
        }
        if let Some(node) = rest.strip_prefix("heard/") {
            let node = node.split('/').next().unwrap_or_default();
            return Ok(Some(ViewChange::Contacts(node.to_owned(), parse(value)?)));
        }
        if let Some(node) = rest.strip_prefix("rebuild/") {
            self.candidates.insert(node.to_owned(), parse(value)?);
            return Ok(None);
        }
        if rest.starts_with("ends/") {
            self.archives += 1;
            for archived in parse::<Vec<ArchivedEnd>>(value)? {
                let end = Versioned {
                    value: archived.end,
                    version: ARCHIVED,
                };
                self.put_end(&archived.job, end);
            }
            return Ok(None);
        }
        match key {
            LOSS => {
                let value = parse(value)?;
                self.loss = Some(Versioned { value, version });
            }
            LEADER => {
                let value = parse(value)?;
                self.leader = Some(Versioned { value, version });
            }
            TERM => self.term = version,
            MACHINE_TYPES => {
                let value = parse(value)?;
                self.machine_types = Some(Versioned { value, version });
                return Ok(Some(ViewChange::MachineTypes));
            }
            _ => return Err("unknown key".into()),
        }
        Ok(None)
    }

    fn put_end(&mut self, id: &JobId, end: Versioned<JobEnd>) {
        let before = self.ends.insert(id.clone(), end);
        if before.is_none() && self.jobs.contains_key(id) {
            self.ended_with_record += 1;
        }
    }

    /// How a job ended.
    pub fn end(&self, id: &JobId) -> Option<JobEnd> {
        self.ends.get(id).map(|end| end.value)
    }

    /// How many losses of stored state were rebuilt, or are being rebuilt, as of this view.
    pub fn losses(&self) -> u64 {
        self.loss.as_ref().map_or(0, |loss| loss.value.number)
    }

    /// Takes in the jobs and ends that only another view has.
    pub fn merge_missing(&mut self, other: View) {
        for (id, end) in other.ends {
            if !self.ends.contains_key(&id) {
                self.put_end(&id, end);
            }
        }
        for (id, job) in other.jobs {
            if !self.knows(&id) {
                self.jobs.insert(id, job);
            }
        }
    }

    /// A controller that has evidence of a loss which nobody has begun to rebuild.
    pub fn peer_claiming_loss(&self) -> Option<&String> {
        let mut claims = self.candidates.iter();
        let claim = claims.find(|(_, c)| c.lost && c.losses >= self.losses());
        claim.map(|(node, _)| node)
    }

    /// Whether the last loss is not rebuilt.
    pub fn has_unfinished_rebuild(&self) -> bool {
        self.loss.as_ref().is_some_and(|loss| !loss.value.restored)
    }

    /// The token of a leader that was elected at this revision.
    pub fn token(&self, revision: u64) -> u64 {
        self.loss.as_ref().map_or(0, |loss| loss.value.base) + revision
    }

    /// The highest token that stands in it.
    pub fn highest_token(&self) -> u64 {
        let leader = self.leader.as_ref().map_or(0, |l| l.version);
        let newest = self.term.max(leader);
        if newest == 0 { 0 } else { self.token(newest) }
    }

    /// A key was removed at this revision.
    pub fn delete(&mut self, key: &str, version: u64) {
        let Some(rest) = key.strip_prefix(PREFIX) else {
            return;
        };
        if let Some(id) = rest.strip_prefix("job/").and_then(JobId::parse) {
            if self.jobs.get(&id).is_some_and(|j| j.version <= version) {
                self.jobs.remove(&id);
                if self.ends.contains_key(&id) {
                    self.ended_with_record -= 1;
                }
            }
        } else if let Some((id, chunk)) = rest.strip_prefix("run/").and_then(split_run) {
            if let Some(chunks) = self.runs.get_mut(&id) {
                if chunks.get(&chunk).is_some_and(|c| c.version <= version) {
                    chunks.remove(&chunk);
                }
                if chunks.is_empty() {
                    self.runs.remove(&id);
                }
            }
        } else if let Some(machine) = rest.strip_prefix("images/") {
            self.images.remove(&MachineId(machine.to_owned()));
        } else if let Some(request_name) = rest.strip_prefix("rental/") {
            self.provisioning.remove(request_name);
        } else if key == LEADER && self.leader.as_ref().is_some_and(|l| l.version <= version) {
            self.leader = None;
        }
    }

    /// Whether the job was ever accepted, as far as this view knows.
    pub fn knows(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id) || self.ends.contains_key(id)
    }

    /// Jobs that are not ended; the records of others may wait for their removal.
    pub fn active_jobs(&self) -> usize {
        self.jobs.len() - self.ended_with_record
    }

    /// The machines on which tasks of a job are placed.
    pub fn machines_of(&self, id: &JobId) -> Vec<MachineId> {
        let chunks = self.runs.get(id).into_iter().flat_map(|c| c.values());
        let placed = chunks.flat_map(|c| c.value.live.iter().map(|(_, machine, _)| machine));
        let machines: BTreeSet<&MachineId> = placed.collect();
        machines.into_iter().cloned().collect()
    }

    /// A job's state.
    pub fn status(&self, id: &JobId) -> Option<JobStatus> {
        if let Some(end) = self.end(id) {
            let status = match end.outcome {
                JobOutcome::Done => "done",
                JobOutcome::Aborted => ABORTED,
            };
            return Some(JobStatus {
                id: id.clone(),
                status,
                done: end.done,
                running: 0,
            });
        }
        self.jobs.get(id)?;
        let (mut done, mut running) = (0, 0);
        for chunk in self.runs.get(id).into_iter().flat_map(|c| c.values()) {
            done += chunk.value.finished.count_ones();
            running += chunk.value.live.len() as u32;
        }
        Some(JobStatus {
            id: id.clone(),
            status: if running > 0 { "running" } else { "pending" },
            done,
            running,
        })
    }
}

fn split_run(run: &str) -> Option<(JobId, u32)> {
    let (id, chunk) = run.split_once('/')?;
    Some((JobId::parse(id)?, chunk.parse().ok()?))
}
