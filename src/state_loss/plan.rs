//! Determines the records to write in a rebuild: those of a snapshot that the stored state lacks or has in an older
//! version.

use super::StateLossRecovery;
use crate::revision::Revision;
use crate::scheduler::{JobEnd, JobId, JobOutcome};
use crate::store::{ArchivedEnd, StoreKey, View, encode};
use ravenhead_recovery::{Restore, VersionedValue, records_to_restore};
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// Upper estimate of the stored size of an archived job end, in bytes.
const ARCHIVED_END_BYTES: usize = 160;

impl StateLossRecovery {
    /// Returns the records that the stored state lacks or has in an older version, compared with this controller's
    /// snapshot and the cancellations it knows.
    pub(super) fn plan(&self, number: u64) -> Vec<Restore<Value>> {
        let loss = self.store.loss.borrow();
        let Some(snapshot) = loss.as_ref().and_then(|l| l.snapshot.as_ref()) else {
            return Vec::new();
        };
        let view = self.store.view.borrow();
        let cancelled = self.cancellations.cancelled();
        let cancelled = cancelled.iter().map(|(job, at)| {
            let end = JobEnd {
                outcome: JobOutcome::Aborted,
                at: *at,
                done: 0,
            };
            (job, end)
        });
        let mut ends: BTreeMap<&JobId, JobEnd> = cancelled.collect();
        ends.extend(snapshot.ends.iter().map(|(id, end)| (id, end.value)));
        ends.retain(|id, _| !view.ends.contains_key(*id));
        // Ends of jobs that still have records get keys of their own, because other writes are conditional on those
        // keys.
        let (ends_of_recorded_jobs, archived): (Vec<_>, Vec<_>) = ends
            .into_iter()
            .partition(|(id, _)| snapshot.jobs.contains_key(*id) || view.jobs.contains_key(*id));

        // These are only ends that are not stored, so their version does not matter: there is nothing they could
        // replace.
        let mut records: Vec<(String, VersionedValue<Value>)> = ends_of_recorded_jobs
            .iter()
            .map(|(id, end)| new_record(&StoreKey::JobEnd((*id).clone()), end))
            .collect();
        records.extend(self.archive_records(number, &archived, &view));
        records.extend(snapshot.records_to_preserve(&view));
        records_to_restore(records, &view.job_and_chunk_records())
    }

    /// Returns records that archive job ends in as few values as the size limit allows.
    fn archive_records(
        &self,
        number: u64,
        ends: &[(&JobId, JobEnd)],
        view: &View,
    ) -> Vec<(String, VersionedValue<Value>)> {
        let value_bytes = self.limits.value_kb * 1024.0;
        let max_ends_per_value = (value_bytes as usize / ARCHIVED_END_BYTES).max(1);
        // An interrupted rebuild may have written some archives of this loss already.
        let first_part = view.end_archive_parts;
        let parts = ends.chunks(max_ends_per_value).enumerate();
        parts
            .map(|(part, batch)| {
                let archived = batch.iter().map(|(job, end)| ArchivedEnd {
                    job: (*job).clone(),
                    end: *end,
                });
                let archived: Vec<ArchivedEnd> = archived.collect();
                let key = StoreKey::EndArchive {
                    loss: number,
                    part: first_part + part,
                };
                new_record(&key, &archived)
            })
            .collect()
    }
}

/// Returns a record that is written only if its key does not exist. Its version replaces nothing.
fn new_record(key: &StoreKey, record: &impl Serialize) -> (String, VersionedValue<Value>) {
    stored_record(key, record, Revision(1))
}

/// Returns a key with its value and version as stored.
fn stored_record(
    key: &StoreKey,
    record: &impl Serialize,
    version: Revision,
) -> (String, VersionedValue<Value>) {
    let value = encode(record);
    (
        key.to_string(),
        VersionedValue {
            value,
            version: version.0,
        },
    )
}

/// Splits the records to write into batches that fit into one transaction.
pub(super) fn split_into_batches(
    plan: &[Restore<Value>],
    max_ops: usize,
    max_bytes: usize,
) -> Vec<&[Restore<Value>]> {
    let mut batches = Vec::new();
    let mut first = 0;
    let mut size = 0;
    for (i, restore) in plan.iter().enumerate() {
        let restore_bytes = restore.value.to_string().len() + 2 * restore.key.len();
        if i > first && (i - first >= max_ops || size + restore_bytes > max_bytes) {
            batches.push(&plan[first..i]);
            first = i;
            size = 0;
        }
        size += restore_bytes;
    }
    batches.push(&plan[first..]);
    batches
}

/// Returns the job ends, and the jobs that have not ended, that the snapshot has and the view lacks.
pub(super) fn missing_from(view: &View, snapshot: &View) -> Vec<(JobId, StoreKey, Value)> {
    let ended = snapshot
        .ends
        .iter()
        .filter(|(id, _)| !view.ends.contains_key(*id));
    let ended =
        ended.map(|(id, end)| (id.clone(), StoreKey::JobEnd(id.clone()), encode(&end.value)));
    let unfinished = snapshot
        .jobs
        .iter()
        .filter(|(id, _)| !view.contains_job(id) && !snapshot.ends.contains_key(*id));
    let unfinished =
        unfinished.map(|(id, job)| (id.clone(), StoreKey::Job(id.clone()), encode(&job.value)));
    ended.chain(unfinished).collect()
}

impl View {
    /// Returns the records that have to survive a loss, apart from job ends: jobs and their chunks, and the machine
    /// types and provisioning requests that `current` lacks.
    fn records_to_preserve(&self, current: &View) -> Vec<(String, VersionedValue<Value>)> {
        let mut records: Vec<(String, VersionedValue<Value>)> =
            self.job_and_chunk_records().into_iter().collect();
        if let Some(types) = &self.machine_types
            && current.machine_types.is_none()
        {
            records.push(new_record(&StoreKey::MachineTypes, &types.value));
        }
        let provisioning = self.provisioning.iter();
        let provisioning =
            provisioning.filter(|(name, _)| !current.provisioning.contains_key(*name));
        records.extend(
            provisioning
                .map(|(name, record)| new_record(&StoreKey::Provisioning(name.clone()), record)),
        );
        records
    }

    /// Returns the records of jobs and their chunks.
    fn job_and_chunk_records(&self) -> BTreeMap<String, VersionedValue<Value>> {
        let jobs = self.jobs.iter().map(|(id, job)| {
            let key = StoreKey::Job(id.clone());
            stored_record(&key, &job.value, job.version)
        });
        let chunks = self
            .chunk_keys()
            .map(|(key, chunk)| stored_record(&key, &chunk.value, chunk.version));
        jobs.chain(chunks).collect()
    }
}
