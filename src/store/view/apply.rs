//! Updates of the view: writes and removals of keys, and merging with another view.

use super::{Versioned, View, ViewChange};
use crate::revision::Revision;
use crate::scheduler::{ChunkRecord, JobEnd, JobId, JobRecord};
use crate::store::keys::{InvalidKey, StoreKey};
use crate::store::records::{ArchivedEnd, InvalidRecord, decode};
use serde::Deserialize;
use serde_json::Value;

/// The version given to archived job ends, which have no key of their own and are in no listing of such keys.
const ARCHIVED: Revision = Revision(u64::MAX);

fn versioned<T: for<'a> Deserialize<'a>>(
    value: Value,
    version: Revision,
) -> Result<Versioned<T>, InvalidRecord> {
    let value = decode(value)?;
    Ok(Versioned { value, version })
}

impl View {
    /// Applies the write of a key, and returns the change if a leader must act on it.
    ///
    /// # Errors
    ///
    /// Fails if the key or its value can't be parsed; the view keeps its previous record of the key.
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
        let previous = self.jobs.insert(id.clone(), job);
        if previous.is_none() && self.ends.contains_key(id) {
            self.ended_with_record += 1;
        }
    }

    fn put_end(&mut self, id: &JobId, end: Versioned<JobEnd>) {
        let previous = self.ends.insert(id.clone(), end);
        if previous.is_none() && self.jobs.contains_key(id) {
            self.ended_with_record += 1;
        }
    }

    fn put_chunk(&mut self, job: JobId, chunk: u32, record: Versioned<ChunkRecord>) {
        self.chunks.entry(job).or_default().insert(chunk, record);
    }

    fn put_archive(&mut self, value: Value) -> Result<(), InvalidRecord> {
        // A part that can't be parsed counts as well, because its number is already in use.
        self.end_archive_parts += 1;
        for archived in decode::<Vec<ArchivedEnd>>(value)? {
            let end = Versioned {
                value: archived.end,
                version: ARCHIVED,
            };
            self.put_end(&archived.job, end);
        }
        Ok(())
    }

    /// Applies the removal of a key at revision `version`. A job, chunk or leader written later is kept.
    ///
    /// A watch starts at the revision of the listing's first page, so it reports removals older than writes that the
    /// listing already contained; these must not undo the writes. Images and provisioning requests are removed without
    /// comparing versions. Keys of other kinds are never removed by this service, so their removal is ignored.
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

    /// Adds the jobs and job ends of another view that this view lacks.
    pub fn merge_missing(&mut self, other: View) {
        for (id, end) in other.ends {
            if !self.ends.contains_key(&id) {
                self.put_end(&id, end);
            }
        }
        for (id, job) in other.jobs {
            if !self.contains_job(&id) {
                self.jobs.insert(id, job);
            }
        }
    }
}
