//! Changes of the view: keys written and removed, and what another view adds.

use super::{Versioned, View, ViewChange};
use crate::revision::Revision;
use crate::scheduler::{ChunkRecord, JobEnd, JobId, JobRecord};
use crate::store::keys::{InvalidKey, StoreKey};
use crate::store::records::{ArchivedEnd, InvalidRecord, decode};
use serde::Deserialize;
use serde_json::Value;

/// The version of ends that stand in archives: no listing of single ends has them.
const ARCHIVED: Revision = Revision(u64::MAX);

fn versioned<T: for<'a> Deserialize<'a>>(
    value: Value,
    version: Revision,
) -> Result<Versioned<T>, InvalidRecord> {
    let value = decode(value)?;
    Ok(Versioned { value, version })
}

impl View {
    /// Applies the write of a key, and returns what it means to those who act on changes.
    ///
    /// # Errors
    ///
    /// Fails if the key or its value can't be read; the view keeps what it had under the key.
    pub fn put(
        &mut self,
        key: &str,
        value: Value,
        version: Revision,
    ) -> Result<Option<ViewChange>, InvalidRecord> {
        match StoreKey::parse(key)? {
            StoreKey::Job(id) => {
                self.put_job(&id, versioned(value, version)?);
                return Ok(Some(ViewChange::Job(id)));
            }
            StoreKey::JobEnd(id) => {
                self.put_end(&id, versioned(value, version)?);
                return Ok(Some(ViewChange::JobEnded(id)));
            }
            StoreKey::Contacts { node, .. } => {
                return Ok(Some(ViewChange::Contacts(node, decode(value)?)));
            }
            StoreKey::MachineTypes => {
                self.machine_types = Some(versioned(value, version)?);
                return Ok(Some(ViewChange::MachineTypes));
            }
            StoreKey::Chunk { job, chunk } => {
                self.put_chunk(job, chunk, versioned(value, version)?)
            }
            StoreKey::EndArchive { .. } => self.put_archive(value)?,
            StoreKey::Images(machine) => _ = self.images.insert(machine, decode(value)?),
            StoreKey::Provisioning(name) => _ = self.provisioning.insert(name, decode(value)?),
            StoreKey::RebuildCandidate(node) => _ = self.candidates.insert(node, decode(value)?),
            StoreKey::Loss => self.loss = Some(versioned(value, version)?),
            StoreKey::Leader => self.leader = Some(versioned(value, version)?),
            StoreKey::Term => self.term = version,
            StoreKey::Absent => return Err(InvalidKey::Unknown.into()),
        }
        Ok(None)
    }

    fn put_job(&mut self, id: &JobId, job: Versioned<JobRecord>) {
        let before = self.jobs.insert(id.clone(), job);
        if before.is_none() && self.ends.contains_key(id) {
            self.ended_with_record += 1;
        }
    }

    fn put_end(&mut self, id: &JobId, end: Versioned<JobEnd>) {
        let before = self.ends.insert(id.clone(), end);
        if before.is_none() && self.jobs.contains_key(id) {
            self.ended_with_record += 1;
        }
    }

    fn put_chunk(&mut self, job: JobId, chunk: u32, record: Versioned<ChunkRecord>) {
        self.chunks.entry(job).or_default().insert(chunk, record);
    }

    fn put_archive(&mut self, value: Value) -> Result<(), InvalidRecord> {
        // One that can't be read counts as well: its number is taken.
        self.archives += 1;
        for archived in decode::<Vec<ArchivedEnd>>(value)? {
            let end = Versioned {
                value: archived.end,
                version: ARCHIVED,
            };
            self.put_end(&archived.job, end);
        }
        Ok(())
    }

    /// Applies the removal of a key at this revision; a job, a chunk or a leader that was written later stays.
    ///
    /// Guards against a watch that begins before a listing: its older removals must not undo newer writes. Keys of other
    /// kinds are never removed by this service, and their removal is ignored.
    pub fn delete(&mut self, key: &str, version: Revision) {
        match StoreKey::parse(key) {
            Ok(StoreKey::Job(id)) => self.delete_job(&id, version),
            Ok(StoreKey::Chunk { job, chunk }) => self.delete_chunk(&job, chunk, version),
            Ok(StoreKey::Images(machine)) => _ = self.images.remove(&machine),
            Ok(StoreKey::Provisioning(name)) => _ = self.provisioning.remove(&name),
            Ok(StoreKey::Leader) => _ = self.leader.take_if(|leader| leader.version <= version),
            _ => {}
        }
    }

    fn delete_job(&mut self, id: &JobId, version: Revision) {
        if self.jobs.get(id).is_some_and(|j| j.version <= version) {
            self.jobs.remove(id);
            if self.ends.contains_key(id) {
                self.ended_with_record -= 1;
            }
        }
    }

    fn delete_chunk(&mut self, job: &JobId, chunk: u32, version: Revision) {
        if let Some(chunks) = self.chunks.get_mut(job) {
            if chunks.get(&chunk).is_some_and(|c| c.version <= version) {
                chunks.remove(&chunk);
            }
            if chunks.is_empty() {
                self.chunks.remove(job);
            }
        }
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
}
