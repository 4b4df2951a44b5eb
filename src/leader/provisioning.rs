//! Requests for machines: written down before they are sent, so that the next leader can ask for their answers.

use super::RETRY_PAUSE;
use crate::clock::{Clock, sleep};
use crate::cloud::{Cloud, CloudError, MAX_MACHINES_PER_PROVISIONING, ProvisioningRequest};
use crate::http::join_all;
use crate::kv::{Change, KvClient, Outcome, Urgency};
use crate::scheduler::{MachineId, ScaleOutRequest};
use crate::store::{ProvisioningRecord, provisioning_key};
use crate::term::LeaderTerm;
use crate::units::Micros;
use log::{debug, info};
use serde_json::json;

/// Tries of one provisioning request.
const MAX_PROVISIONING_ATTEMPTS: usize = 3;
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
        let open: Vec<ProvisioningRequest> = self
            .term
            .provisioning
            .borrow()
            .values()
            .filter(|r| r.machines.is_none())
            .map(|r| r.rental.clone())
            .collect();
        for rental in open {
            self.send(&rental).await;
        }
    }

    /// Provisions what is wanted: all requests are written down in one transaction before any is sent, so that the next leader
    /// can ask for their answers, and go out side by side.
    pub(super) async fn provision(&self, requests: &[ScaleOutRequest]) {
        let forgotten = self.expired_records();
        let requests: Vec<(ScaleOutRequest, ProvisioningRequest)> = requests
            .iter()
            .flat_map(split_request)
            .take(self.max_requests)
            .map(|request| {
                let rental = self.name_request(&request);
                (request, rental)
            })
            .collect();
        if requests.is_empty() && forgotten.is_empty() {
            return;
        }
        let at = self.clock.unix_time();
        let open = requests.iter().map(|(_, rental)| ProvisioningRecord {
            rental: rental.clone(),
            machines: None,
            at,
        });
        if !self.write_records(open.collect(), forgotten).await {
            return;
        }
        for (request, _) in &requests {
            self.term
                .scheduler
                .borrow_mut()
                .on_scale_out_started(request);
        }
        let sent = requests.iter().map(|(request, rental)| async move {
            let machines = self.send(rental).await;
            let now = self.clock.now();
            let mut scheduler = self.term.scheduler.borrow_mut();
            scheduler.on_scale_out_completed(request, &machines, now);
        });
        join_all(sent.collect()).await;
        let names = requests.iter().map(|(_, rental)| &rental.request_name);
        let answered = names.filter_map(|n| self.term.provisioning.borrow().get(n).cloned());
        let answered: Vec<ProvisioningRecord> = answered.collect();
        if !answered.is_empty() {
            self.write_records(answered, Vec::new()).await;
        }
    }

    /// A request under a name that is never used again.
    fn name_request(&self, request: &ScaleOutRequest) -> ProvisioningRequest {
        let number = self.term.provisioning_requests_sent.get();
        self.term.provisioning_requests_sent.set(number + 1);
        ProvisioningRequest {
            request_name: format!("r-{}-{number}", self.term.token()),
            machine_type: request.pool.machine_type.clone(),
            zone: request.pool.zone.clone(),
            spot: request.pool.spot,
            count: request.count,
        }
    }

    /// Sends a provisioning request, again where the answer is lost, and notes what came of it.
    async fn send(&self, rental: &ProvisioningRequest) -> Vec<MachineId> {
        let mut machines = Vec::new();
        for _ in 0..MAX_PROVISIONING_ATTEMPTS {
            match self.cloud.provision(rental).await {
                Ok(rented) => {
                    info!(
                        "event=machines_provisioned request={} machine_type={} zone={} spot={} asked={} got={}",
                        rental.request_name,
                        rental.machine_type,
                        rental.zone,
                        rental.spot,
                        rental.count,
                        rented.len()
                    );
                    machines = rented;
                    break;
                }
                Err(CloudError::NoCapacity) => {
                    info!(
                        "event=no_capacity machine_type={} zone={} spot={}",
                        rental.machine_type, rental.zone, rental.spot
                    );
                    break;
                }
                Err(e) => {
                    info!("event=provisioning_failed error={:?}", e.to_string());
                    sleep(Micros::secs(1)).await;
                }
            }
        }
        if let Some(record) = self
            .term
            .provisioning
            .borrow_mut()
            .get_mut(&rental.request_name)
        {
            record.machines = Some(machines.clone());
            let now = self.clock.now();
            let pool = record.pool();
            let mut scheduler = self.term.scheduler.borrow_mut();
            scheduler.inherit_provisioned(&pool, &machines, Micros::ZERO, now);
        }
        machines
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
            Change::put(provisioning_key(&record.rental.request_name), json!(record))
        });
        let deletes = forgotten.iter().map(|request_name| Change::Delete {
            key: provisioning_key(request_name),
        });
        let changes: Vec<Change> = puts.chain(deletes).collect();
        let when = [self.term.leader_condition()];
        let mut good = false;
        for _ in 0..MAX_RECORD_ATTEMPTS {
            match self.kv.txn(Urgency::Now, &when, &changes).await {
                Ok(Outcome::Applied(_)) => {
                    good = true;
                    break;
                }
                Ok(Outcome::Conflict(_)) => break,
                // The same again does no harm where a try was applied after all.
                Err(e) => debug!("event=provisioning_record_failed error={:?}", e.to_string()),
            }
            sleep(RETRY_PAUSE).await;
        }
        if good {
            let mut provisioning = self.term.provisioning.borrow_mut();
            for request_name in &forgotten {
                provisioning.remove(request_name);
            }
            for record in records {
                provisioning.insert(record.rental.request_name.clone(), record);
            }
        }
        good
    }
}

/// A want in parts that one request may ask for.
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
