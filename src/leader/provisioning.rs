//! Requests for machines: written down before they are sent, so that the next leader can ask for their answers.

use super::RETRY_PAUSE;
use crate::clock::{Clock, sleep};
use crate::cloud::{Cloud, CloudError, MAX_MACHINES_PER_PROVISIONING, ProvisioningRequest};
use crate::futures::join_all;
use crate::kv::{Change, KvClient, Outcome, Urgency};
use crate::scheduler::{MachineId, ScaleOutRequest};
use crate::store::{ProvisioningRecord, StoreKey};
use crate::term::LeaderTerm;
use crate::units::Micros;
use log::{debug, info};

/// Tries of one provisioning request.
const MAX_PROVISIONING_ATTEMPTS: usize = 3;
/// Pause before a provisioning request is sent again.
const PROVISIONING_RETRY: Micros = Micros::secs(1);
/// Tries of noting provisioning requests, which share the writes with everything else.
const MAX_RECORD_ATTEMPTS: usize = 8;
/// A provisioning request is remembered at least so long for the next leader.
const PROVISIONING_RECORD_RETENTION: Micros = Micros::secs(90);

/// Carries out the scale-out of a term.
pub(super) struct Provisioner<'a> {
    pub(super) clock: Clock,
    /// Most requests that are written down, or forgotten, in one transaction.
    pub(super) max_requests: usize,
    pub(super) kv: &'a KvClient,
    pub(super) cloud: &'a Cloud,
    pub(super) term: &'a LeaderTerm,
}

impl Provisioner<'_> {
    /// Asks again for what an earlier leader asked for without noting the answer: the same request provisions only once.
    pub(super) async fn resume(&self) {
        let unanswered: Vec<ProvisioningRequest> = self
            .term
            .provisioning
            .borrow()
            .values()
            .filter(|record| record.machines.is_none())
            .map(|record| record.request.clone())
            .collect();
        for request in unanswered {
            self.send(&request).await;
        }
    }

    /// Provisions what is wanted: all requests are written down in one transaction before any is sent, so that the next leader
    /// can ask for their answers, and go out side by side.
    pub(super) async fn provision(&self, wanted: &[ScaleOutRequest]) {
        let expired = self.expired_records();
        let requests: Vec<(ScaleOutRequest, ProvisioningRequest)> = wanted
            .iter()
            .flat_map(split_request)
            .take(self.max_requests)
            .map(|part| {
                let request = self.name_request(&part);
                (part, request)
            })
            .collect();
        if requests.is_empty() && expired.is_empty() {
            return;
        }
        let at = self.clock.unix_time();
        let records = requests.iter().map(|(_, request)| ProvisioningRecord {
            request: request.clone(),
            machines: None,
            at,
        });
        if !self.write_records(records.collect(), expired).await {
            return;
        }
        self.send_all(&requests).await;
        self.write_answers(&requests).await;
    }

    /// Sends requests that are written down, side by side.
    async fn send_all(&self, requests: &[(ScaleOutRequest, ProvisioningRequest)]) {
        for (part, _) in requests {
            self.term.scheduler.borrow_mut().on_scale_out_started(part);
        }
        let sent = requests.iter().map(|(part, request)| async move {
            let machines = self.send(request).await;
            let now = self.clock.now();
            let mut scheduler = self.term.scheduler.borrow_mut();
            scheduler.on_scale_out_completed(part, &machines, now);
        });
        join_all(sent.collect()).await;
    }

    /// Writes down what came of requests.
    async fn write_answers(&self, requests: &[(ScaleOutRequest, ProvisioningRequest)]) {
        let names = requests.iter().map(|(_, request)| &request.request_name);
        let records = names.filter_map(|name| self.term.provisioning.borrow().get(name).cloned());
        let records: Vec<ProvisioningRecord> = records.collect();
        if !records.is_empty() {
            self.write_records(records, Vec::new()).await;
        }
    }

    /// A request under a name that is never used again.
    fn name_request(&self, part: &ScaleOutRequest) -> ProvisioningRequest {
        let number = self.term.provisioning_requests_sent.get();
        self.term.provisioning_requests_sent.set(number + 1);
        ProvisioningRequest {
            request_name: format!("r-{}-{number}", self.term.token()),
            machine_type: part.pool.machine_type.clone(),
            zone: part.pool.zone.clone(),
            spot: part.pool.spot,
            count: part.count,
        }
    }

    /// Sends a request, and hands the machines that came of it to the scheduler.
    async fn send(&self, request: &ProvisioningRequest) -> Vec<MachineId> {
        let machines = self.send_until_answered(request).await;
        let mut provisioning = self.term.provisioning.borrow_mut();
        if let Some(record) = provisioning.get_mut(&request.request_name) {
            record.machines = Some(machines.clone());
            let now = self.clock.now();
            let mut scheduler = self.term.scheduler.borrow_mut();
            scheduler.inherit_provisioned(&record.pool(), &machines, Micros::ZERO, now);
        }
        machines
    }

    /// Sends a request, again where the answer is lost; returns the machines, none where none were to be had.
    async fn send_until_answered(&self, request: &ProvisioningRequest) -> Vec<MachineId> {
        for _ in 0..MAX_PROVISIONING_ATTEMPTS {
            match self.cloud.provision(request).await {
                Ok(machines) => {
                    info!(
                        "event=machines_provisioned request={} machine_type={} zone={} spot={} asked={} got={}",
                        request.request_name,
                        request.machine_type,
                        request.zone,
                        request.spot,
                        request.count,
                        machines.len()
                    );
                    return machines;
                }
                Err(CloudError::NoCapacity) => {
                    info!(
                        "event=no_capacity machine_type={} zone={} spot={}",
                        request.machine_type, request.zone, request.spot
                    );
                    break;
                }
                Err(e) => {
                    info!("event=provisioning_failed error={:?}", e.to_string());
                    sleep(PROVISIONING_RETRY).await;
                }
            }
        }
        Vec::new()
    }

    /// The names of provisioning requests that no later leader needs: by now their machines are in every list, or gone.
    fn expired_records(&self) -> Vec<String> {
        let unix_time = self.clock.unix_time();
        let provisioning = self.term.provisioning.borrow();
        let old = provisioning.iter().filter(|(_, r)| {
            let none_left = r.machines.as_ref().is_some_and(Vec::is_empty);
            none_left || unix_time.saturating_sub(r.at) >= PROVISIONING_RECORD_RETENTION.0
        });
        old.map(|(name, _)| name.clone())
            .take(self.max_requests)
            .collect()
    }

    /// Writes down provisioning requests and removes others in one transaction; false if that was not confirmed.
    async fn write_records(
        &self,
        records: Vec<ProvisioningRecord>,
        forgotten: Vec<String>,
    ) -> bool {
        let puts = records.iter().map(|record| {
            let name = record.request.request_name.clone();
            StoreKey::Provisioning(name).put(record)
        });
        let forgotten_keys = forgotten.iter().cloned().map(StoreKey::Provisioning);
        let deletes = forgotten_keys.map(|key| key.delete());
        let changes: Vec<Change> = puts.chain(deletes).collect();
        let when = [self.term.leader_condition()];
        let mut is_written = false;
        for _ in 0..MAX_RECORD_ATTEMPTS {
            match self.kv.txn(Urgency::Now, &when, &changes).await {
                Ok(Outcome::Applied(_)) => {
                    is_written = true;
                    break;
                }
                Ok(Outcome::Conflict(_)) => break,
                // The same again does no harm where a try was applied after all.
                Err(e) => debug!("event=provisioning_record_failed error={:?}", e.to_string()),
            }
            sleep(RETRY_PAUSE).await;
        }
        if is_written {
            let mut provisioning = self.term.provisioning.borrow_mut();
            for request_name in &forgotten {
                provisioning.remove(request_name);
            }
            for record in records {
                provisioning.insert(record.request.request_name.clone(), record);
            }
        }
        is_written
    }
}

/// What is wanted of a pool in parts that one request may ask for.
fn split_request(request: &ScaleOutRequest) -> Vec<ScaleOutRequest> {
    let part = |count| ScaleOutRequest {
        pool: request.pool.clone(),
        count,
    };
    let mut parts =
        vec![part(MAX_MACHINES_PER_PROVISIONING); request.count / MAX_MACHINES_PER_PROVISIONING];
    if !request.count.is_multiple_of(MAX_MACHINES_PER_PROVISIONING) {
        parts.push(part(request.count % MAX_MACHINES_PER_PROVISIONING));
    }
    parts
}
