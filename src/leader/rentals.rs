//! Rental requests: written down before they are sent, so that the next leader can ask for their answers.

use super::{Leading, RETRY_PAUSE};
use crate::clock::sleep;
use crate::cloud::{CloudError, MAX_RENT, Rental};
use crate::controller::Node;
use crate::http::side_by_side;
use crate::scheduler::{MachineId, RentalRequest};
use crate::state::{Change, Outcome, Urgency};
use crate::store::{RentalRecord, rental_key};
use crate::units::Micros;
use log::{debug, info};
use serde_json::json;

/// Tries of one rental request.
const RENT_TRIES: usize = 3;
/// Tries of noting rentals, which share the writes with everything else.
const NOTE_TRIES: usize = 8;
/// A rental is remembered at least so long for the next leader.
const RENTAL_KEPT: Micros = Micros::secs(90);

/// Asks again for what an earlier leader asked for without noting the answer: the same request rents only once.
pub(super) async fn finish_rentals(node: &Node, leading: &Leading) {
    let open: Vec<Rental> = leading
        .rentals
        .borrow()
        .values()
        .filter(|r| r.machines.is_none())
        .map(|r| r.rental.clone())
        .collect();
    for rental in open {
        send_rental(node, leading, &rental).await;
    }
}

/// Rents what is wanted: all requests are written down in one transaction before any is sent, so that the next leader
/// can ask for their answers, and go out side by side.
pub(super) async fn rent(node: &Node, leading: &Leading, requests: &[RentalRequest]) {
    let forgotten = forget_rentals(node, leading);
    let requests: Vec<(RentalRequest, Rental)> = requests
        .iter()
        .flat_map(split_request)
        .take(node.platform.facts.state.txn_ops / 2)
        .map(|request| {
            let rental = name_rental(leading, &request);
            (request, rental)
        })
        .collect();
    if requests.is_empty() && forgotten.is_empty() {
        return;
    }
    let at = node.clock.unix_time();
    let open = requests.iter().map(|(_, rental)| RentalRecord {
        rental: rental.clone(),
        machines: None,
        at,
    });
    if !note_rentals(node, leading, open.collect(), forgotten).await {
        return;
    }
    for (request, _) in &requests {
        leading.scheduler.borrow_mut().rent_started(request);
    }
    let asked = requests.iter().map(|(request, rental)| async move {
        let machines = send_rental(node, leading, rental).await;
        let now = node.clock.now();
        let mut scheduler = leading.scheduler.borrow_mut();
        scheduler.rent_done(request, &machines, now);
    });
    side_by_side(asked.collect()).await;
    let names = requests.iter().map(|(_, rental)| &rental.request_name);
    let answered = names.filter_map(|n| leading.rentals.borrow().get(n).cloned());
    let answered: Vec<RentalRecord> = answered.collect();
    if !answered.is_empty() {
        note_rentals(node, leading, answered, Vec::new()).await;
    }
}

/// A want in parts that one request may ask for.
fn split_request(request: &RentalRequest) -> Vec<RentalRequest> {
    let part = |count| RentalRequest {
        pool: request.pool.clone(),
        count,
    };
    let mut parts = vec![part(MAX_RENT); request.count / MAX_RENT];
    if !request.count.is_multiple_of(MAX_RENT) {
        parts.push(part(request.count % MAX_RENT));
    }
    parts
}

/// A request under a name that is never used again.
fn name_rental(leading: &Leading, request: &RentalRequest) -> Rental {
    let number = leading.rental_requests_made.get();
    leading.rental_requests_made.set(number + 1);
    Rental {
        request_name: format!("r-{}-{number}", leading.token()),
        machine_type: request.pool.machine_type.clone(),
        zone: request.pool.zone.clone(),
        spot: request.pool.spot,
        count: request.count,
    }
}

/// Sends a rental request, again where the answer is lost, and notes what came of it.
async fn send_rental(node: &Node, leading: &Leading, rental: &Rental) -> Vec<MachineId> {
    let mut machines = Vec::new();
    for _ in 0..RENT_TRIES {
        match node.cloud.rent(rental).await {
            Ok(rented) => {
                info!(
                    "event=machines_rented request={} machine_type={} zone={} spot={} asked={} got={}",
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
                info!("event=rent_failed error={:?}", e.to_string());
                sleep(Micros::secs(1)).await;
            }
        }
    }
    if let Some(record) = leading.rentals.borrow_mut().get_mut(&rental.request_name) {
        record.machines = Some(machines.clone());
        let now = node.clock.now();
        let pool = record.pool();
        let mut scheduler = leading.scheduler.borrow_mut();
        scheduler.inherit_rented(&pool, &machines, Micros::ZERO, now);
    }
    machines
}

/// The names of rentals that no later leader needs: by now their machines are in every list, or gone.
fn forget_rentals(node: &Node, leading: &Leading) -> Vec<String> {
    let unix_time = node.clock.unix_time();
    let rentals = leading.rentals.borrow();
    let old = rentals.iter().filter(|(_, r)| {
        let none_left = r.machines.as_ref().is_some_and(Vec::is_empty);
        none_left || unix_time.saturating_sub(r.at) >= RENTAL_KEPT.0
    });
    old.map(|(name, _)| name.clone())
        .take(node.platform.facts.state.txn_ops / 2)
        .collect()
}

/// Writes down rentals and removes others in one transaction; false if that was not confirmed.
async fn note_rentals(
    node: &Node,
    leading: &Leading,
    records: Vec<RentalRecord>,
    forgotten: Vec<String>,
) -> bool {
    let puts = records
        .iter()
        .map(|record| Change::put(rental_key(&record.rental.request_name), json!(record)));
    let deletes = forgotten.iter().map(|request_name| Change::Delete {
        key: rental_key(request_name),
    });
    let changes: Vec<Change> = puts.chain(deletes).collect();
    let when = [leading.leader_condition()];
    let mut good = false;
    for _ in 0..NOTE_TRIES {
        match node.state.txn(Urgency::Now, &when, &changes).await {
            Ok(Outcome::Applied(_)) => {
                good = true;
                break;
            }
            Ok(Outcome::Conflict(_)) => break,
            // The same again does no harm where a try was applied after all.
            Err(e) => debug!("event=rentals_not_noted error={:?}", e.to_string()),
        }
        sleep(RETRY_PAUSE).await;
    }
    if good {
        let mut rentals = leading.rentals.borrow_mut();
        for request_name in &forgotten {
            rentals.remove(request_name);
        }
        for record in records {
            rentals.insert(record.rental.request_name.clone(), record);
        }
    }
    good
}
