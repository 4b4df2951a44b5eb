//! Provisioning requests, which are stored before they are sent, so that the next leader can send them again to learn
//! their answers.

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

/// Maximum number of times that one provisioning request is sent.
const MAX_PROVISIONING_ATTEMPTS: usize = 3;
/// Pause before a failed provisioning request is sent again.
const PROVISIONING_RETRY: Micros = Micros::secs(1);
/// Maximum number of tries to store provisioning records, which compete with all other writes for the write budget.
const MAX_RECORD_ATTEMPTS: usize = 8;
/// Minimum time for which a provisioning record is kept for the next leader, unless none of its machines remains.
const PROVISIONING_RECORD_RETENTION: Micros = Micros::secs(90);

/// Carries out the scale-out of a leader term.
pub(super) struct Provisioner<'a> {
    pub(super) clock: Clock,
    /// Maximum number of records that are stored, and of records that are deleted, in one transaction.
    pub(super) max_requests: usize,
    pub(super) kv: &'a KvClient,
    pub(super) cloud: &'a Cloud,
    pub(super) term: &'a LeaderTerm,
}

impl Provisioner<'_> {
    /// Sends requests of earlier leaders again if their answers were not stored; the cloud provisions each request
    /// once.
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

    /// Provisions the requested machines.
    ///
    /// All requests are stored in one transaction before any is sent, so that the next leader can send them again to
    /// learn their answers. They are then sent concurrently.
    pub(super) async fn provision(&self, scale_out: &[ScaleOutRequest]) {
        let expired = self.expired_records();
        let requests: Vec<(ScaleOutRequest, ProvisioningRequest)> = scale_out
            .iter()
            .flat_map(split_scale_out)
            .take(self.max_requests)
            .map(|part| {
                let request = self.build_request(&part);
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

    /// Sends stored requests concurrently.
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

    /// Stores the answers to requests.
    async fn write_answers(&self, requests: &[(ScaleOutRequest, ProvisioningRequest)]) {
        let names = requests.iter().map(|(_, request)| &request.request_name);
        let records = names.filter_map(|name| self.term.provisioning.borrow().get(name).cloned());
        let records: Vec<ProvisioningRecord> = records.collect();
        if !records.is_empty() {
            self.write_records(records, Vec::new()).await;
        }
    }

    /// Creates a request for one pool, with a name that no other request of this or another leader term has.
    fn build_request(&self, part: &ScaleOutRequest) -> ProvisioningRequest {
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

    /// Sends a request, and passes the provisioned machines to the scheduler.
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

    /// Sends a request until it is answered or the tries are used up; returns the provisioned machines, if any.
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

    /// Returns the names of requests whose records no later leader needs: their machines are listed by now, or
    /// terminated.
    fn expired_records(&self) -> Vec<String> {
        let unix_time = self.clock.unix_time();
        let provisioning = self.term.provisioning.borrow();
        let old = provisioning.iter().filter(|(_, r)| {
            let has_no_machines = r.machines.as_ref().is_some_and(Vec::is_empty);
            has_no_machines || unix_time.saturating_sub(r.at) >= PROVISIONING_RECORD_RETENTION.0
        });
        old.map(|(name, _)| name.clone())
            .take(self.max_requests)
            .collect()
    }

    /// Stores records and deletes expired ones in one transaction; returns false if that was not confirmed.
    async fn write_records(&self, records: Vec<ProvisioningRecord>, expired: Vec<String>) -> bool {
        let puts = records.iter().map(|record| {
            let name = record.request.request_name.clone();
            StoreKey::Provisioning(name).put(record)
        });
        let expired_keys = expired.iter().cloned().map(StoreKey::Provisioning);
        let deletes = expired_keys.map(|key| key.delete());
        let changes: Vec<Change> = puts.chain(deletes).collect();
        let conditions = [self.term.leader_condition()];
        let mut is_written = false;
        for _ in 0..MAX_RECORD_ATTEMPTS {
            match self.kv.txn(Urgency::Now, &conditions, &changes).await {
                Ok(Outcome::Applied(_)) => {
                    is_written = true;
                    break;
                }
                Ok(Outcome::Conflict(_)) => break,
                // Retrying is harmless if the failed transaction was applied, since it writes the same values.
                Err(e) => debug!("event=provisioning_record_failed error={:?}", e.to_string()),
            }
            sleep(RETRY_PAUSE).await;
        }
        if is_written {
            let mut provisioning = self.term.provisioning.borrow_mut();
            for request_name in &expired {
                provisioning.remove(request_name);
            }
            for record in records {
                provisioning.insert(record.request.request_name.clone(), record);
            }
        }
        is_written
    }
}

/// Splits a scale-out request into parts that each fit into one provisioning request.
fn split_scale_out(request: &ScaleOutRequest) -> Vec<ScaleOutRequest> {
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
