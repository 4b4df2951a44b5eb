//! What the keys hold, as of one revision.

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

/// A value with its version.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    /// The value.
    pub value: T,
    /// The revision at which it was written.
    pub version: Revision,
}

/// What a change of the view means to those who act on it.
#[derive(Debug, Clone, PartialEq)]
pub enum ViewChange {
    /// A job was accepted.
    Job(JobId),
    /// A job has ended.
    JobEnded(JobId),
    /// A controller published which machines it hears from.
    Contacts(String, Vec<MachineId>),
    /// The machine types were written.
    MachineTypes,
}

/// All keys, as of a revision.
///
/// Invariant: once it is loaded, every change up to [`View::revision`] is in. Writes must be applied in the order of their
/// revisions; a removal that is older than the write that is there does nothing.
#[derive(Debug, Default)]
pub struct View {
    /// The revision up to which all changes are in.
    pub revision: Revision,
    /// Whether all keys were listed once.
    pub loaded: bool,
    /// Accepted jobs.
    pub jobs: BTreeMap<JobId, Versioned<JobRecord>>,
    /// Jobs that have ended.
    pub ends: HashMap<JobId, Versioned<JobEnd>>,
    /// The last loss of stored state.
    pub loss: Option<Versioned<LossRecord>>,
    /// What controllers can rebuild from.
    pub candidates: BTreeMap<String, CandidateRecord>,
    /// How many parts of archives of ends there are.
    pub archives: usize,
    /// How many of the accepted jobs have ended, their records waiting for their removal.
    ended_with_record: usize,
    /// Chunks of jobs.
    pub chunks: BTreeMap<JobId, BTreeMap<u32, Versioned<ChunkRecord>>>,
    /// Images that machines have.
    pub images: BTreeMap<MachineId, Vec<CachedImage>>,
    /// Who leads; the version is the token.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// The revision of the last election.
    pub term: Revision,
    /// Recent provisioning requests by their names.
    pub provisioning: BTreeMap<String, ProvisioningRecord>,
    /// The machine types.
    pub machine_types: Option<Versioned<Vec<MachineType>>>,
}

impl View {
    /// Returns how a job ended.
    pub fn end(&self, id: &JobId) -> Option<JobEnd> {
        self.ends.get(id).map(|end| end.value)
    }

    /// Returns whether the job was ever accepted, as far as this view knows.
    pub fn knows(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id) || self.ends.contains_key(id)
    }

    /// Returns the number of jobs that are not ended; the records of others may wait for their removal.
    pub fn active_jobs(&self) -> usize {
        self.jobs.len() - self.ended_with_record
    }

    /// Returns the chunks of all jobs with their keys, in order of jobs and chunks.
    pub fn chunk_keys(&self) -> impl Iterator<Item = (StoreKey, &Versioned<ChunkRecord>)> {
        self.chunks.iter().flat_map(|(id, chunks)| {
            chunks.iter().map(|(chunk, record)| {
                let (job, chunk) = (id.clone(), *chunk);
                (StoreKey::Chunk { job, chunk }, record)
            })
        })
    }

    /// Returns the machines on which tasks of a job are placed, in order.
    pub fn machines_of(&self, id: &JobId) -> Vec<MachineId> {
        let chunks = self.chunks.get(id).into_iter().flat_map(|c| c.values());
        let placed = chunks.flat_map(|c| c.value.live.iter().map(|(_, machine, _)| machine));
        let machines: BTreeSet<&MachineId> = placed.collect();
        machines.into_iter().cloned().collect()
    }

    /// Returns how many losses of stored state were rebuilt, or are being rebuilt, as of this view.
    pub fn losses(&self) -> u64 {
        self.loss.as_ref().map_or(0, |loss| loss.value.number)
    }

    /// Returns whether the last loss is not rebuilt.
    pub fn has_unfinished_rebuild(&self) -> bool {
        self.loss.as_ref().is_some_and(|loss| !loss.value.restored)
    }

    /// Returns a controller that has evidence of a loss which nobody has begun to rebuild.
    pub fn peer_claiming_loss(&self) -> Option<&String> {
        let mut claims = self.candidates.iter();
        let claim = claims.find(|(_, c)| c.lost && c.losses >= self.losses());
        claim.map(|(node, _)| node)
    }

    /// Returns whether a leader was ever elected.
    pub(super) fn has_had_leader(&self) -> bool {
        self.term != Revision::NONE
    }

    /// Returns the token of a leader that was elected at this revision.
    pub fn token(&self, revision: Revision) -> FencingToken {
        let base = self.loss.as_ref().map_or(0, |loss| loss.value.base);
        FencingToken(base + revision.0)
    }

    /// Returns the highest token that was given, 0 where there was none.
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
