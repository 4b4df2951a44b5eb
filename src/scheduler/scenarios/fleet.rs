//! Scale-out, provisioning, consolidation and scale-in.

use super::{Simulation, aborted, critical_service, spec};
use crate::scheduler::{JobId, JobSpec, MachineId, Pool, ScaleOutRequest, TaskState};
use crate::units::Micros;
use std::collections::BTreeSet;

#[test]
fn cheap_machines_are_provisioned_once_and_in_another_zone_if_there_is_no_capacity() {
    let mut sim = Simulation::new(0.0);
    sim.submit(spec("j-1", 4));
    sim.run_cycle_and_commit();
    let requests = sim.scheduler.plan_fleet(sim.now, 0).provision;
    let count: usize = requests.iter().map(|request| request.count).sum();
    assert_eq!(count, 2);
    assert!(requests.iter().all(|request| request.pool.spot));
    for request in &requests {
        sim.scheduler.on_scale_out_started(request);
    }
    assert_eq!(
        sim.scheduler.plan_fleet(sim.now, 0).provision,
        vec![],
        "machines being provisioned count"
    );
    for request in &requests {
        sim.scheduler.on_scale_out_completed(request, &[], sim.now);
    }
    for request in sim.scheduler.plan_fleet(sim.now, 0).provision {
        assert!(
            requests.iter().all(|other| other.pool != request.pool),
            "{request:?}"
        );
    }
}

#[test]
fn machines_that_never_become_ready_are_terminated_and_an_unexpected_machine_is_used() {
    let mut sim = Simulation::new(0.0);
    let pool = Pool {
        machine_type: "rig".into(),
        zone: "a".into(),
        spot: true,
    };
    sim.scheduler
        .inherit_provisioned(&pool, &[MachineId("m-1".into())], Micros::ZERO, sim.now);
    sim.advance(60);
    assert!(sim.scheduler.plan_fleet(sim.now, 0).terminate.is_empty());
    sim.advance(30);
    assert_eq!(
        sim.scheduler.plan_fleet(sim.now, 0).terminate,
        vec![MachineId("m-1".into())]
    );
    sim.submit(spec("j-1", 1));
    sim.add_worker("m-9", "b", false);
    sim.advance(1);
    sim.heartbeat("m-9");
    assert_eq!(sim.running(), 1);
}

/// Provisions a machine for each entry of `ready_after`, and submits a job with two tasks per machine. Each machine
/// becomes ready after its entry in seconds; `None` means never. Returns how many machines are terminated within
/// `until` seconds, and the highest number of further machines that a plan requests in that time.
fn simulate_provisioning(
    sim: &mut Simulation,
    zone: &str,
    ready_after: &[Option<u64>],
    until: u64,
) -> (usize, usize) {
    let pool = Pool {
        machine_type: "rig".into(),
        zone: zone.into(),
        spot: true,
    };
    let request = ScaleOutRequest {
        pool,
        count: ready_after.len(),
    };
    let name = |i: usize| format!("m-{zone}{i:02}");
    let provisioned: Vec<MachineId> = (0..ready_after.len()).map(|i| MachineId(name(i))).collect();
    sim.scheduler.on_scale_out_started(&request);
    sim.scheduler
        .on_scale_out_completed(&request, &provisioned, sim.now);
    sim.submit(spec(&format!("j-{zone}"), 2 * ready_after.len() as u32));
    let (mut terminated, mut max_requested) = (BTreeSet::new(), 0);
    for second in 1..=until {
        sim.advance(1);
        for (i, ready_second) in ready_after.iter().enumerate() {
            if *ready_second == Some(second) && !terminated.contains(&provisioned[i]) {
                sim.add_worker(&name(i), zone, true);
            }
        }
        sim.heartbeat_all();
        let plan = sim.scheduler.plan_fleet(sim.now, second * 1_000_000);
        terminated.extend(plan.terminate);
        max_requested = max_requested.max(plan.provision.iter().map(|request| request.count).sum());
    }
    (terminated.len(), max_requested)
}

// Prevents two faults: new machines are terminated and provisioned again forever while all of them become ready late,
// or the leader waits just as long for a few machines that never become ready.
#[test]
fn provisioning_timeout_is_longer_if_all_machines_are_late_but_not_if_a_few_are() {
    // The usual provisioning time is 40 s. Two of twenty machines never become ready.
    let mut two_never_ready = vec![Some(38); 18];
    two_never_ready.extend([None, None]);
    let (terminated, requested) =
        simulate_provisioning(&mut Simulation::new(0.0), "a", &two_never_ready, 75);
    assert_eq!((terminated, requested), (2, 2));
    // All machines are late: they take 115 s, and the next ones 140 s, three and a half times as long as usual.
    let mut sim = Simulation::new(0.0);
    let (terminated, _) = simulate_provisioning(&mut sim, "a", &[Some(115); 20], 118);
    assert_eq!(terminated, 0, "all may still become ready");
    assert_eq!(sim.running(), 40);
    // The longer timeout of the zone also applies to the next machines there. Further machines would be
    // provisioned in another zone.
    let (terminated, requested) = simulate_provisioning(&mut sim, "a", &[Some(140); 10], 135);
    assert_eq!((terminated, requested), (0, 0));
    // No machine becomes ready: all are replaced, and terminated after the longer timeout.
    let (terminated, requested) =
        simulate_provisioning(&mut Simulation::new(0.0), "a", &[None; 20], 125);
    assert_eq!((terminated, requested), (20, 20));
}

// Prevents a task that is being moved from counting against its own zone: it could then be moved to other zones only.
#[test]
fn scattered_service_is_consolidated_and_its_machine_terminated() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.reserved_places = Some(0);
    sim.scheduler.set_controllers(&[], sim.now);
    sim.add_worker("m-1", "a", false);
    let ended_job = sim.submit(critical_service("j-0"));
    sim.submit(critical_service("j-1"));
    sim.run_cycle_and_commit();
    sim.heartbeat("m-1");
    sim.add_worker("m-2", "a", false);
    sim.submit(critical_service("j-2"));
    sim.run_cycle_and_commit();
    sim.heartbeat("m-2");
    let end = aborted(u64::MAX);
    sim.scheduler.end_job(&ended_job, end);
    sim.heartbeat("m-1");
    sim.heartbeat("m-1");
    assert_eq!(sim.workers["m-1"].running(), 1);
    assert_eq!(sim.workers["m-2"].running(), 1);
    let mut terminated = Vec::new();
    for _ in 0..60 {
        sim.advance(1);
        terminated.extend(sim.scheduler.plan_fleet(sim.now, u64::MAX).terminate);
        sim.heartbeat("m-1");
        sim.advance(1);
        sim.heartbeat("m-2");
    }
    assert_eq!(sim.workers["m-1"].running(), 2);
    assert!(terminated.contains(&MachineId("m-2".into())));
}

// Prevents work without checkpoints from being lost on spot machines again and again.
#[test]
fn task_that_lost_work_on_a_spot_machine_is_placed_on_an_on_demand_machine() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", true);
    sim.submit(JobSpec {
        checkpoint_s: 0.0,
        ..spec("j-1", 1)
    });
    sim.run_cycle_and_commit();
    sim.heartbeat("m-1");
    sim.heartbeat("m-1");
    sim.scheduler
        .on_terminated(&[MachineId("m-1".into())], sim.now);
    sim.workers.remove("m-1");
    sim.add_worker("m-2", "a", true);
    sim.add_worker("m-3", "a", false);
    sim.advance(1);
    sim.run_cycle_and_commit();
    sim.heartbeat_all();
    assert_eq!(sim.workers["m-2"].running(), 0);
    assert_eq!(sim.workers["m-3"].running(), 1);
}

// Prevents machines from being provisioned for tasks that can start on existing machines before new ones are ready.
#[test]
fn nothing_is_provisioned_for_tasks_that_soon_fit_unless_they_have_a_deadline() {
    let mut sim = Simulation::new(0.0);
    sim.add_worker("m-1", "a", false);
    sim.submit(JobSpec {
        expected_run_s: 40.0,
        ..spec("j-1", 2)
    });
    sim.run_cycle_and_commit();
    sim.heartbeat("m-1");
    sim.heartbeat("m-1");
    sim.advance(35);
    sim.heartbeat("m-1");
    sim.submit(spec("j-2", 2));
    sim.run_cycle_and_commit();
    assert_eq!(sim.scheduler.plan_fleet(sim.now, 0).provision, vec![]);
    // A start objective that leaves time for provisioning does not cause machines to be provisioned earlier.
    let set_start_objective = |sim: &mut Simulation, s: u64| {
        sim.scheduler
            .config
            .max_start_delay
            .insert("batch".into(), Micros::secs(s))
    };
    set_start_objective(&mut sim, 150);
    assert_eq!(sim.scheduler.plan_fleet(sim.now, 0).provision, vec![]);
    set_start_objective(&mut sim, 60);
    assert_eq!(sim.scheduler.plan_fleet(sim.now, 0).provision.len(), 1);
    set_start_objective(&mut sim, 150);
    sim.submit(JobSpec {
        due_s: Some(90.0),
        ..spec("j-3", 1)
    });
    sim.run_cycle_and_commit();
    assert_eq!(sim.scheduler.plan_fleet(sim.now, 0).provision.len(), 1);
}

// Consolidation must keep pace with a large fleet without taking many replicas down at once.
#[test]
fn large_scattered_service_is_consolidated_faster_but_with_few_replicas_down_at_once() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.reserved_places = Some(0);
    sim.scheduler.set_controllers(&[], sim.now);
    let ended_jobs: Vec<JobId> = (0..400)
        .map(|i| sim.submit(critical_service(&format!("j-{i:04}"))))
        .collect();
    for i in 0..200 {
        sim.add_worker(&format!("m-{i:03}"), "a", false);
    }
    sim.advance(1);
    sim.run_cycle_and_commit();
    sim.heartbeat_all();
    sim.advance(1);
    sim.heartbeat_all();
    sim.heartbeat_all();
    assert_eq!(sim.running(), 400);
    let end = aborted(u64::MAX);
    ended_jobs
        .iter()
        .step_by(2)
        .for_each(|id| sim.scheduler.end_job(id, end));
    sim.heartbeat_all();
    sim.heartbeat_all();
    let mut terminated = 0;
    for second in 0..90 {
        sim.advance(1);
        let plan = sim.scheduler.plan_fleet(sim.now, u64::MAX);
        terminated += plan.terminate.len();
        sim.scheduler.on_terminated(&plan.terminate, sim.now);
        plan.terminate.iter().for_each(|m| {
            sim.workers.remove(&m.0);
        });
        let names: Vec<String> = sim.workers.keys().cloned().collect();
        for (i, name) in names.iter().enumerate() {
            if i % 3 == second % 3
                || sim.workers[name]
                    .tasks
                    .values()
                    .any(|s| s.0 == TaskState::Exited)
            {
                sim.heartbeat(name);
            }
        }
        let down = 200 - sim.running();
        assert!(down <= 2, "{down} of 200 replicas down at once");
    }
    assert!(
        (5..50).contains(&terminated),
        "{terminated} machines terminated in 90 s"
    );
}

// Prevents the start of a large job from waiting for the slowest of exactly as many machines as it needs.
#[test]
fn large_job_provisions_more_machines_than_it_needs_and_a_small_job_does_not() {
    let provisioned_for = |tasks: u32| {
        let mut sim = Simulation::new(0.0);
        sim.scheduler.config.reserved_places = Some(0);
        sim.scheduler.config.max_scale_out_per_cycle = 1_000;
        let service = JobSpec {
            tasks,
            ..critical_service("j-1")
        };
        sim.submit(service);
        let requests = sim.scheduler.plan_fleet(sim.now, 0).provision;
        requests.iter().map(|request| request.count).sum::<usize>()
    };
    assert_eq!(provisioned_for(8), 4);
    assert_eq!(provisioned_for(100), 75);
}

// Once, 255 machines were provisioned in a partitioned zone: all machines there had been terminated, so that the zone
// had the fewest of all.
#[test]
fn unreachable_zone_is_provisioned_last() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.idle_timeout = Some(Micros::secs(10_000));
    for i in 0..8 {
        sim.add_worker(&format!("m-{i}"), ["a", "b", "b", "b"][i % 4], false);
    }
    let requested_zones = |sim: &mut Simulation| {
        let requests = sim.scheduler.plan_fleet(sim.now, 0).provision;
        let zones: BTreeSet<String> = requests
            .into_iter()
            .map(|request| request.pool.zone)
            .collect();
        zones.into_iter().collect::<Vec<_>>()
    };
    sim.advance(8);
    sim.heartbeat_numbered([1, 2, 3, 5, 6, 7]);
    sim.submit(spec("j-1", 40));
    sim.run_cycle_and_commit();
    assert_eq!(
        requested_zones(&mut sim),
        ["b"],
        "no heartbeats arrive from zone a"
    );
    sim.advance(2);
    sim.heartbeat_numbered([0]);
    assert!(requested_zones(&mut sim).contains(&"a".to_owned()));
}
