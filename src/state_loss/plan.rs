//! What has to be written to rebuild: what a snapshot has and the stored state lacks.

use super::StateLossRecovery;
use crate::revision::Revision;
use crate::scheduler::{JobEnd, JobId, JobOutcome};
use crate::store::{ArchivedEnd, StoreKey, View, encode};
use ravenhead_recovery::{Restore, VersionedValue, records_to_restore};
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;

/// Bytes of an archived end, with room to spare.
const ARCHIVED_BYTES: usize = 160;

impl StateLossRecovery {
    /// What is missing, as far as this controller's snapshot tells.
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
        // Ends of jobs whose records are there are keys of their own, as writes are conditional on them.
        let (of_records, archived): (Vec<_>, Vec<_>) = ends
            .into_iter()
            .partition(|(id, _)| snapshot.jobs.contains_key(*id) || view.jobs.contains_key(*id));
        // Only ends that are not there are among these: whatever their version, there is nothing that they could replace.
        let mut records: Vec<(String, VersionedValue<Value>)> = of_records
            .iter()
            .map(|(id, end)| new_record(&StoreKey::JobEnd((*id).clone()), end))
            .collect();
        records.extend(self.archives(number, &archived, &view));
        records.extend(snapshot.records(&view));
        records_to_restore(records, &view.present())
    }

    /// Ends in as few values as they fit into.
    fn archives(
        &self,
        number: u64,
        ends: &[(&JobId, JobEnd)],
        view: &View,
    ) -> Vec<(String, VersionedValue<Value>)> {
        let value_bytes = self.limits.value_kb * 1024.0;
        let most = (value_bytes as usize / ARCHIVED_BYTES).max(1);
        // A rebuild that was cut off may have written some of this loss already.
        let first = view.archives;
        let parts = ends.chunks(most).enumerate();
        parts
            .map(|(part, some)| {
                let some = some.iter().map(|(job, end)| ArchivedEnd {
                    job: (*job).clone(),
                    end: *end,
                });
                let some: Vec<ArchivedEnd> = some.collect();
                let key = StoreKey::EndArchive {
                    loss: number,
                    part: first + part,
                };
                new_record(&key, &some)
            })
            .collect()
    }
}

/// A key that is written only where there is none: its version replaces nothing.
fn new_record(key: &StoreKey, record: &impl Serialize) -> (String, VersionedValue<Value>) {
    stored_record(key, record, Revision(1))
}

/// A key as it is stored.
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

/// Keys in batches that a transaction holds.
pub(super) fn batches(plan: &[Restore<Value>], ops: usize, bytes: usize) -> Vec<&[Restore<Value>]> {
    let mut batches = Vec::new();
    let mut first = 0;
    let mut size = 0;
    for (i, restore) in plan.iter().enumerate() {
        let value = restore.value.to_string().len() + 2 * restore.key.len();
        if i > first && (i - first >= ops || size + value > bytes) {
            batches.push(&plan[first..i]);
            first = i;
            size = 0;
        }
        size += value;
    }
    batches.push(&plan[first..]);
    batches
}

/// What a snapshot has and the view lacks: ends of jobs, and jobs that are not ended.
pub(super) fn unknown_to(view: &View, snapshot: &View) -> Vec<(JobId, StoreKey, Value)> {
    let ended = snapshot
        .ends
        .iter()
        .filter(|(id, _)| !view.ends.contains_key(*id));
    let ended =
        ended.map(|(id, end)| (id.clone(), StoreKey::JobEnd(id.clone()), encode(&end.value)));
    let open = snapshot
        .jobs
        .iter()
        .filter(|(id, _)| !view.knows(id) && !snapshot.ends.contains_key(*id));
    let open = open.map(|(id, job)| (id.clone(), StoreKey::Job(id.clone()), encode(&job.value)));
    ended.chain(open).collect()
}

impl View {
    /// What a loss must not take away, ends aside: jobs and their runs, and machine types and provisioning requests that `now` lacks.
    fn records(&self, now: &View) -> Vec<(String, VersionedValue<Value>)> {
        let mut records: Vec<(String, VersionedValue<Value>)> =
            self.present().into_iter().collect();
        if let Some(types) = &self.machine_types
            && now.machine_types.is_none()
        {
            records.push(new_record(&StoreKey::MachineTypes, &types.value));
        }
        let provisioning = self.provisioning.iter();
        let provisioning = provisioning.filter(|(name, _)| !now.provisioning.contains_key(*name));
        records.extend(
            provisioning
                .map(|(name, record)| new_record(&StoreKey::Provisioning(name.clone()), record)),
        );
        records
    }

    /// What is stored of jobs and their runs.
    fn present(&self) -> BTreeMap<String, VersionedValue<Value>> {
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
