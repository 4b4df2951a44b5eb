//! Rental requests: written down before they are sent, so that the next leader can ask for their answers.

use super::{LeaderTerm, RETRY_PAUSE};
use crate::clock::sleep;
use crate::cloud::{CloudError, MAX_MACHINES_PER_PROVISIONING, ProvisioningRequest};
use crate::controller::Controller;
use crate::http::join_all;
use crate::kv::{Change, Outcome, Urgency};
use crate::scheduler::{MachineId, ScaleOutRequest};
use crate::store::{ProvisioningRecord, provisioning_key};
use crate::units::Micros;
use log::{debug, info};
use serde_json::json;

/// Tries of one provisioning request.
const MAX_PROVISIONING_ATTEMPTS: usize = 3;
/// Tries of noting provisioning requests, which share the writes with everything else.
const MAX_RECORD_ATTEMPTS: usize = 8;
/// A provisioning request is remembered at least so long for the next leader.
const PROVISIONING_RECORD_RETENTION: Micros = Micros::secs(90);

/// Asks again for what an earlier leader asked for without noting the answer: the same request rents only once.
pub(super) async fn resume_provisioning(node: &Controller, leading: &LeaderTerm) {
    let open: Vec<ProvisioningRequest> = leading
        .provisioning
        .borrow()
        .values()
        .filter(|r| r.machines.is_none())
        .map(|r| r.rental.clone())
        .collect();
    for rental in open {
        send_provisioning_request(node, leading, &rental).await;
    }
}

/// Provisions what is wanted: all requests are written down in one transaction before any is sent, so that the next leader
/// can ask for their answers, and go out side by side.
pub(super) async fn provision(
    node: &Controller,
    leading: &LeaderTerm,
    requests: &[ScaleOutRequest],
) {
    let forgotten = expired_provisioning_records(node, leading);
    let requests: Vec<(ScaleOutRequest, ProvisioningRequest)> = requests
        .iter()
        .flat_map(split_request)
        .take(node.platform.facts.state.txn_ops / 2)
        .map(|request| {
            let rental = name_provisioning_request(leading, &request);
            (request, rental)
        })
        .collect();
    if requests.is_empty() && forgotten.is_empty() {
        return;
    }
    let at = node.clock.unix_time();
    let open = requests.iter().map(|(_, rental)| ProvisioningRecord {
        rental: rental.clone(),
        machines: None,
        at,
    });
    if !write_provisioning_records(node, leading, open.collect(), forgotten).await {
        return;
    }
    for (request, _) in &requests {
        leading.scheduler.borrow_mut().on_scale_out_started(request);
    }
    let asked = requests.iter().map(|(request, rental)| async move {
        let machines = send_provisioning_request(node, leading, rental).await;
        let now = node.clock.now();
        let mut scheduler = leading.scheduler.borrow_mut();
        scheduler.on_scale_out_completed(request, &machines, now);
    });
    join_all(asked.collect()).await;
    let names = requests.iter().map(|(_, rental)| &rental.request_name);
    let answered = names.filter_map(|n| leading.provisioning.borrow().get(n).cloned());
    let answered: Vec<ProvisioningRecord> = answered.collect();
    if !answered.is_empty() {
        write_provisioning_records(node, leading, answered, Vec::new()).await;
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

/// A request under a name that is never used again.
fn name_provisioning_request(
    leading: &LeaderTerm,
    request: &ScaleOutRequest,
) -> ProvisioningRequest {
    let number = leading.provisioning_requests_sent.get();
    leading.provisioning_requests_sent.set(number + 1);
    ProvisioningRequest {
        request_name: format!("r-{}-{number}", leading.token()),
        machine_type: request.pool.machine_type.clone(),
        zone: request.pool.zone.clone(),
        spot: request.pool.spot,
        count: request.count,
    }
}

/// Sends a provisioning request, again where the answer is lost, and notes what came of it.
async fn send_provisioning_request(
    node: &Controller,
    leading: &LeaderTerm,
    rental: &ProvisioningRequest,
) -> Vec<MachineId> {
    let mut machines = Vec::new();
    for _ in 0..MAX_PROVISIONING_ATTEMPTS {
        match node.cloud.provision(rental).await {
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
    if let Some(record) = leading
        .provisioning
        .borrow_mut()
        .get_mut(&rental.request_name)
    {
        record.machines = Some(machines.clone());
        let now = node.clock.now();
        let pool = record.pool();
        let mut scheduler = leading.scheduler.borrow_mut();
        scheduler.inherit_provisioned(&pool, &machines, Micros::ZERO, now);
    }
    machines
}

/// The names of provisioning requests that no later leader needs: by now their machines are in every list, or gone.
fn expired_provisioning_records(node: &Controller, leading: &LeaderTerm) -> Vec<String> {
    let unix_time = node.clock.unix_time();
    let provisioning = leading.provisioning.borrow();
    let old = provisioning.iter().filter(|(_, r)| {
        let none_left = r.machines.as_ref().is_some_and(Vec::is_empty);
        none_left || unix_time.saturating_sub(r.at) >= PROVISIONING_RECORD_RETENTION.0
    });
    old.map(|(name, _)| name.clone())
        .take(node.platform.facts.state.txn_ops / 2)
        .collect()
}

/// Writes down provisioning requests and removes others in one transaction; false if that was not confirmed.
async fn write_provisioning_records(
    node: &Controller,
    leading: &LeaderTerm,
    records: Vec<ProvisioningRecord>,
    forgotten: Vec<String>,
) -> bool {
    let puts = records
        .iter()
        .map(|record| Change::put(provisioning_key(&record.rental.request_name), json!(record)));
    let deletes = forgotten.iter().map(|request_name| Change::Delete {
        key: provisioning_key(request_name),
    });
    let changes: Vec<Change> = puts.chain(deletes).collect();
    let when = [leading.leader_condition()];
    let mut good = false;
    for _ in 0..MAX_RECORD_ATTEMPTS {
        match node.state.txn(Urgency::Now, &when, &changes).await {
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
        let mut provisioning = leading.provisioning.borrow_mut();
        for request_name in &forgotten {
            provisioning.remove(request_name);
        }
        for record in records {
            provisioning.insert(record.rental.request_name.clone(), record);
        }
    }
    good
}
