//! Renting, booting, consolidation and giving back.

use super::{Simulation, aborted, critical_service, spec};
use crate::scheduler::{JobId, JobSpec, MachineId, Pool, ScaleOutRequest, TaskState};
use crate::units::Micros;
use std::collections::BTreeSet;

#[test]
fn unplaced_tasks_provision_cheap_machines_once_and_another_zone_without_capacity() {
    let mut sim = Simulation::new(0.0);
    sim.submit(spec("j-1", 4));
    sim.run_cycle_and_commit();
    let rent = sim.scheduler.plan_fleet(sim.now, 0).provision;
    let count: usize = rent.iter().map(|w| w.count).sum();
    assert_eq!(count, 2);
    assert!(rent.iter().all(|w| w.pool.spot));
    for request in &rent {
        sim.scheduler.on_scale_out_started(request);
    }
    assert_eq!(
        sim.scheduler.plan_fleet(sim.now, 0).provision,
        vec![],
        "what is on its way counts"
    );
    for request in &rent {
        sim.scheduler.on_scale_out_completed(request, &[], sim.now);
    }
    for request in sim.scheduler.plan_fleet(sim.now, 0).provision {
        assert!(rent.iter().all(|w| w.pool != request.pool), "{request:?}");
    }
}

#[test]
fn machines_that_never_boot_are_terminated_and_an_unexpected_one_is_used() {
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

// Guards against counting the moving task against its own zone, by which only moves to other zones were ever made.
/// Provisions twenty machines, and plays how they come up: each after so many seconds, if at all. Gives what is terminated by
/// then, and how many more were provisioned, all as wanted for twenty tasks of two a machine.
fn boots(sim: &mut Simulation, zone: &str, after: &[Option<u64>], until: u64) -> (usize, usize) {
    let pool = Pool {
        machine_type: "rig".into(),
        zone: zone.into(),
        spot: true,
    };
    let request = ScaleOutRequest {
        pool,
        count: after.len(),
    };
    let name = |i: usize| format!("m-{zone}{i:02}");
    let rented: Vec<MachineId> = (0..after.len()).map(|i| MachineId(name(i))).collect();
    sim.scheduler.on_scale_out_started(&request);
    sim.scheduler
        .on_scale_out_completed(&request, &rented, sim.now);
    sim.submit(spec(&format!("j-{zone}"), 2 * after.len() as u32));
    let (mut given_back, mut more) = (BTreeSet::new(), 0);
    for second in 1..=until {
        sim.advance(1);
        for (i, up) in after.iter().enumerate() {
            if *up == Some(second) && !given_back.contains(&rented[i]) {
                sim.add_worker(&name(i), zone, true);
            }
        }
        sim.heartbeat_all();
        let plan = sim.scheduler.plan_fleet(sim.now, second * 1_000_000);
        given_back.extend(plan.terminate);
        more = more.max(plan.provision.iter().map(|w| w.count).sum());
    }
    (given_back.len(), more)
}

// Guards against giving up every new machine of a time in which all come up late, and renting them again for ever; and
// against waiting as long for a few that never come up.
#[test]
fn the_provisioning_timeout_grows_where_all_machines_are_late_and_not_for_a_few() {
    // The usual time is 40 s. Of twenty machines two never come up.
    let mut few = vec![Some(38); 18];
    few.extend([None, None]);
    let (given_back, more) = boots(&mut Simulation::new(0.0), "a", &few, 75);
    assert_eq!((given_back, more), (2, 2));
    // All take three and a half times as long.
    let mut sim = Simulation::new(0.0);
    let (given_back, _) = boots(&mut sim, "a", &[Some(115); 20], 118);
    assert_eq!(given_back, 0, "all may yet come");
    assert_eq!(sim.running(), 40);
    // What is known of the zone by now holds for the next machines there, and others are provisioned elsewhere.
    let (given_back, more) = boots(&mut sim, "a", &[Some(140); 10], 135);
    assert_eq!((given_back, more), (0, 0));
    // None comes up: they are replaced, and go back, after a longer while.
    let (given_back, more) = boots(&mut Simulation::new(0.0), "a", &[None; 20], 125);
    assert_eq!((given_back, more), (20, 20));
}

#[test]
fn a_scattered_service_is_consolidated_and_its_machine_terminated() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.reserved_places = Some(0);
    sim.scheduler.set_controllers(&[], sim.now);
    sim.add_worker("m-1", "a", false);
    let filler = sim.submit(critical_service("j-0"));
    sim.submit(critical_service("j-1"));
    sim.run_cycle_and_commit();
    sim.heartbeat("m-1");
    sim.add_worker("m-2", "a", false);
    sim.submit(critical_service("j-2"));
    sim.run_cycle_and_commit();
    sim.heartbeat("m-2");
    let end = aborted(u64::MAX);
    sim.scheduler.end_job(&filler, end);
    sim.heartbeat("m-1");
    sim.heartbeat("m-1");
    assert_eq!(sim.workers["m-1"].running(), 1);
    assert_eq!(sim.workers["m-2"].running(), 1);
    let mut given = Vec::new();
    for _ in 0..60 {
        sim.advance(1);
        given.extend(sim.scheduler.plan_fleet(sim.now, u64::MAX).terminate);
        sim.heartbeat("m-1");
        sim.advance(1);
        sim.heartbeat("m-2");
    }
    assert_eq!(sim.workers["m-1"].running(), 2);
    assert!(given.contains(&MachineId("m-2".into())));
}

// Guards against work without checkpoints being lost on spot machines over and over.
#[test]
fn work_lost_with_a_spot_machine_goes_to_an_ordinary_one() {
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

// Guards against renting for a wait that a machine's boot would only make longer.
#[test]
fn nothing_is_provisioned_for_tasks_that_soon_fit_unless_there_is_a_deadline() {
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
    // An aim that leaves time for boots does not make it hurry.
    let aim = |sim: &mut Simulation, s: u64| {
        sim.scheduler
            .config
            .max_start_delay
            .insert("batch".into(), Micros::secs(s))
    };
    aim(&mut sim, 150);
    assert_eq!(sim.scheduler.plan_fleet(sim.now, 0).provision, vec![]);
    aim(&mut sim, 60);
    assert_eq!(sim.scheduler.plan_fleet(sim.now, 0).provision.len(), 1);
    aim(&mut sim, 150);
    sim.submit(JobSpec {
        due_s: Some(90.0),
        ..spec("j-3", 1)
    });
    sim.run_cycle_and_commit();
    assert_eq!(sim.scheduler.plan_fleet(sim.now, 0).provision.len(), 1);
}

// Guards against consolidation that does not keep pace with a large fleet, and against one that takes many replicas down at
// once.
#[test]
fn a_large_scattered_service_is_consolidated_faster_but_never_much_of_it_at_once() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.reserved_places = Some(0);
    sim.scheduler.set_controllers(&[], sim.now);
    let fillers: Vec<JobId> = (0..400)
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
    fillers
        .iter()
        .step_by(2)
        .for_each(|id| sim.scheduler.end_job(id, end));
    sim.heartbeat_all();
    sim.heartbeat_all();
    let mut returned = 0;
    for second in 0..90 {
        sim.advance(1);
        let plan = sim.scheduler.plan_fleet(sim.now, u64::MAX);
        returned += plan.terminate.len();
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
        (5..50).contains(&returned),
        "{returned} machines returned in 90 s"
    );
}

// Guards against a large start that waits for the slowest of just as many boots as it needs.
#[test]
fn a_ramp_provisions_more_machines_than_wait_and_a_small_job_does_not() {
    let rented = |tasks: u32| {
        let mut sim = Simulation::new(0.0);
        sim.scheduler.config.reserved_places = Some(0);
        sim.scheduler.config.max_scale_out_per_cycle = 1_000;
        let big = JobSpec {
            tasks,
            ..critical_service("j-1")
        };
        sim.submit(big);
        let rent = sim.scheduler.plan_fleet(sim.now, 0).provision;
        rent.iter().map(|w| w.count).sum::<usize>()
    };
    assert_eq!(rented(8), 4);
    assert_eq!(rented(100), 75);
}

// Guards against what provisioned 255 machines in a zone that was cut off: all there had been given up, so that it had the
// fewest of all zones.
#[test]
fn an_unreachable_zone_is_provisioned_last() {
    let mut sim = Simulation::new(0.0);
    sim.scheduler.config.idle_timeout = Some(Micros::secs(10_000));
    for i in 0..8 {
        sim.add_worker(&format!("m-{i}"), ["a", "b", "b", "b"][i % 4], false);
    }
    let zones_rented = |sim: &mut Simulation| {
        let rent = sim.scheduler.plan_fleet(sim.now, 0).provision;
        let zones: BTreeSet<String> = rent.into_iter().map(|w| w.pool.zone).collect();
        zones.into_iter().collect::<Vec<_>>()
    };
    sim.advance(8);
    sim.heartbeat_numbered([1, 2, 3, 5, 6, 7]);
    sim.submit(spec("j-1", 40));
    sim.run_cycle_and_commit();
    assert_eq!(
        zones_rented(&mut sim),
        ["b"],
        "nothing is heard of the other"
    );
    sim.advance(2);
    sim.heartbeat_numbered([0]);
    assert!(zones_rented(&mut sim).contains(&"a".to_owned()));
}
