//! The local view: the parsed records of all keys as of one revision.

mod apply;
mod status;

pub use status::{ABORTED, DONE, JobStatus, PENDING, RUNNING};

use super::keys::StoreKey;
use super::records::{CandidateRecord, LeaderRecord, LossRecord, ProvisioningRecord};
use crate::fencing::FencingToken;
use crate::revision::Revision;
use crate::scheduler::{
    CachedImage, ChunkRecord, JobEnd, JobId, JobRecord, MachineId, MachineType,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A record with the version of its key.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    /// The parsed record.
    pub value: T,
    /// The revision at which the key was last written.
    pub version: Revision,
}

/// A change of the view that a leader must act on.
#[derive(Debug, Clone, PartialEq)]
pub enum ViewChange {
    /// The record of an accepted job was written.
    Job(JobId),
    /// The end of a job was written.
    JobEnded(JobId),
    /// A controller, by its node name, published the machines whose heartbeats it receives but can't forward to the
    /// leader.
    Contacts(String, Vec<MachineId>),
    /// The machine types were written.
    MachineTypes,
}

/// The records of all keys as of one revision.
///
/// Invariant: once loaded, the view contains every change up to [`View::revision`]. Writes must be applied in the order
/// of their revisions. A removal older than the current version of its job, chunk or leader record is ignored.
#[derive(Debug, Default)]
pub struct View {
    /// The revision up to which the view is complete.
    pub revision: Revision,
    /// Whether the initial listing of all keys is complete.
    pub loaded: bool,
    /// Accepted jobs, including ended jobs whose records have not been removed.
    pub jobs: BTreeMap<JobId, Versioned<JobRecord>>,
    /// The ends of all jobs that have ended.
    pub ends: HashMap<JobId, Versioned<JobEnd>>,
    /// The last loss of stored state.
    pub loss: Option<Versioned<LossRecord>>,
    /// The latest candidate record of each controller, by node name.
    pub candidates: BTreeMap<String, CandidateRecord>,
    /// Number of archive parts with job ends, including those that can't be parsed.
    pub end_archive_parts: usize,
    /// Number of ended jobs whose records in `jobs` have not been removed.
    ended_with_record: usize,
    /// Chunks of jobs, by chunk number.
    pub chunks: BTreeMap<JobId, BTreeMap<u32, Versioned<ChunkRecord>>>,
    /// Images that machines have cached.
    pub images: BTreeMap<MachineId, Vec<CachedImage>>,
    /// The current leader. Its version determines the leader's fencing token; see [`View::token`].
    pub leader: Option<Versioned<LeaderRecord>>,
    /// The revision of the last election, 0 if there was none.
    pub term: Revision,
    /// Recent provisioning requests, by request name.
    pub provisioning: BTreeMap<String, ProvisioningRecord>,
    /// The machine types that the cloud offers; `None` until they are stored.
    pub machine_types: Option<Versioned<Vec<MachineType>>>,
}

impl View {
    /// Returns the outcome of a job, or `None` if it has not ended as of this view.
    pub fn end(&self, id: &JobId) -> Option<JobEnd> {
        self.ends.get(id).map(|end| end.value)
    }

    /// Returns whether the view contains the job, whether active or ended.
    pub fn contains_job(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id) || self.ends.contains_key(id)
    }

    /// Returns the number of accepted jobs that have not ended.
    pub fn active_jobs(&self) -> usize {
        self.jobs.len() - self.ended_with_record
    }

    /// Returns the chunks of all jobs with their keys, ordered by job id and chunk number.
    pub fn chunk_keys(&self) -> impl Iterator<Item = (StoreKey, &Versioned<ChunkRecord>)> {
        self.chunks.iter().flat_map(|(id, chunks)| {
            chunks.iter().map(|(chunk, record)| {
                let (job, chunk) = (id.clone(), *chunk);
                (StoreKey::Chunk { job, chunk }, record)
            })
        })
    }

    /// Returns the machine of each placed task of a job.
    pub fn placed_on(&self, id: &JobId) -> impl Iterator<Item = &MachineId> {
        let chunks = self.chunks.get(id).into_iter().flat_map(|c| c.values());
        chunks.flat_map(|c| c.value.live.iter().map(|(_, machine, _)| machine))
    }

    /// Returns the machines on which tasks of a job are placed, in ascending order and without duplicates.
    pub fn machines_of(&self, id: &JobId) -> Vec<MachineId> {
        let machines: BTreeSet<&MachineId> = self.placed_on(id).collect();
        machines.into_iter().cloned().collect()
    }

    /// Returns the number of losses of stored state that were rebuilt or are being rebuilt as of this view.
    pub fn loss_count(&self) -> u64 {
        self.loss.as_ref().map_or(0, |loss| loss.value.number)
    }

    /// Returns whether the rebuild after the last loss is unfinished.
    pub fn has_unfinished_rebuild(&self) -> bool {
        self.loss.as_ref().is_some_and(|loss| !loss.value.restored)
    }

    /// Returns the node name of a controller that has evidence of a loss whose rebuild has not begun, if there is one.
    pub fn peer_claiming_loss(&self) -> Option<&String> {
        let mut claims = self.candidates.iter();
        let claim = claims.find(|(_, c)| c.lost && c.losses >= self.loss_count());
        claim.map(|(node, _)| node)
    }

    /// Returns whether a leader was ever elected as of this view.
    pub(super) fn has_had_leader(&self) -> bool {
        self.term != Revision::NONE
    }

    /// Returns the fencing token of a leader elected at `revision`.
    pub fn token(&self, revision: Revision) -> FencingToken {
        let base = self.loss.as_ref().map_or(0, |loss| loss.value.base);
        FencingToken(base + revision.0)
    }

    /// Returns the highest fencing token issued, 0 if there was none.
    pub fn highest_token(&self) -> FencingToken {
        let leader = self.leader.as_ref().map_or(Revision::NONE, |l| l.version);
        let newest = self.term.max(leader);
        if newest == Revision::NONE {
            FencingToken::NONE
        } else {
            self.token(newest)
        }
    }
}
