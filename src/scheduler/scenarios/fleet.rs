//! Renting, booting, consolidation and giving back.

use super::{Scenario, aborted, live, spec};
use crate::scheduler::{JobId, JobSpec, MachineId, Pool, ScaleOutRequest, TaskState};
use crate::units::Micros;
use std::collections::BTreeSet;

#[test]
fn unplaced_tasks_provision_cheap_machines_once_and_another_zone_without_capacity() {
    let mut t = Scenario::new(0.0);
    t.submit(spec("j-1", 4));
    t.round();
    let rent = t.s.plan_fleet(t.now, 0).provision;
    let count: usize = rent.iter().map(|w| w.count).sum();
    assert_eq!(count, 2);
    assert!(rent.iter().all(|w| w.pool.spot));
    for request in &rent {
        t.s.on_scale_out_started(request);
    }
    assert_eq!(
        t.s.plan_fleet(t.now, 0).provision,
        vec![],
        "what is on its way counts"
    );
    for request in &rent {
        t.s.on_scale_out_completed(request, &[], t.now);
    }
    for request in t.s.plan_fleet(t.now, 0).provision {
        assert!(rent.iter().all(|w| w.pool != request.pool), "{request:?}");
    }
}

#[test]
fn machines_that_never_boot_are_terminated_and_an_unexpected_one_is_used() {
    let mut t = Scenario::new(0.0);
    let pool = Pool {
        machine_type: "rig".into(),
        zone: "a".into(),
        spot: true,
    };
    t.s.inherit_provisioned(&pool, &[MachineId("m-1".into())], Micros::ZERO, t.now);
    t.wait(60);
    assert!(t.s.plan_fleet(t.now, 0).terminate.is_empty());
    t.wait(30);
    assert_eq!(
        t.s.plan_fleet(t.now, 0).terminate,
        vec![MachineId("m-1".into())]
    );
    t.submit(spec("j-1", 1));
    t.worker("m-9", "b", false);
    t.wait(1);
    t.beat("m-9");
    assert_eq!(t.running(), 1);
}

// Guards against counting the moving task against its own zone, by which only moves to other zones were ever made.
/// Provisions twenty machines, and plays how they come up: each after so many seconds, if at all. Gives what is terminated by
/// then, and how many more were provisioned, all as wanted for twenty tasks of two a machine.
fn boots(t: &mut Scenario, zone: &str, after: &[Option<u64>], until: u64) -> (usize, usize) {
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
    t.s.on_scale_out_started(&request);
    t.s.on_scale_out_completed(&request, &rented, t.now);
    t.submit(spec(&format!("j-{zone}"), 2 * after.len() as u32));
    let (mut given_back, mut more) = (BTreeSet::new(), 0);
    for second in 1..=until {
        t.wait(1);
        for (i, up) in after.iter().enumerate() {
            if *up == Some(second) && !given_back.contains(&rented[i]) {
                t.worker(&name(i), zone, true);
            }
        }
        t.beat_all();
        let plan = t.s.plan_fleet(t.now, second * 1_000_000);
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
    let (given_back, more) = boots(&mut Scenario::new(0.0), "a", &few, 75);
    assert_eq!((given_back, more), (2, 2));
    // All take three and a half times as long.
    let mut t = Scenario::new(0.0);
    let (given_back, _) = boots(&mut t, "a", &[Some(115); 20], 118);
    assert_eq!(given_back, 0, "all may yet come");
    assert_eq!(t.running(), 40);
    // What is known of the zone by now holds for the next machines there, and others are provisioned elsewhere.
    let (given_back, more) = boots(&mut t, "a", &[Some(140); 10], 135);
    assert_eq!((given_back, more), (0, 0));
    // None comes up: they are replaced, and go back, after a longer while.
    let (given_back, more) = boots(&mut Scenario::new(0.0), "a", &[None; 20], 125);
    assert_eq!((given_back, more), (20, 20));
}

#[test]
fn a_scattered_service_is_consolidated_and_its_machine_terminated() {
    let mut t = Scenario::new(0.0);
    t.s.config.reserved_places = Some(0);
    t.s.set_controllers(&[], t.now);
    t.worker("m-1", "a", false);
    let filler = t.submit(live("j-0"));
    t.submit(live("j-1"));
    t.round();
    t.beat("m-1");
    t.worker("m-2", "a", false);
    t.submit(live("j-2"));
    t.round();
    t.beat("m-2");
    let end = aborted(u64::MAX);
    t.s.end_job(&filler, end);
    t.beat("m-1");
    t.beat("m-1");
    assert_eq!(t.workers["m-1"].running(), 1);
    assert_eq!(t.workers["m-2"].running(), 1);
    let mut given = Vec::new();
    for _ in 0..60 {
        t.wait(1);
        given.extend(t.s.plan_fleet(t.now, u64::MAX).terminate);
        t.beat("m-1");
        t.wait(1);
        t.beat("m-2");
    }
    assert_eq!(t.workers["m-1"].running(), 2);
    assert!(given.contains(&MachineId("m-2".into())));
}

// Guards against work without checkpoints being lost on spot machines over and over.
#[test]
fn work_lost_with_a_spot_machine_goes_to_an_ordinary_one() {
    let mut t = Scenario::new(0.0);
    t.worker("m-1", "a", true);
    t.submit(JobSpec {
        checkpoint_s: 0.0,
        ..spec("j-1", 1)
    });
    t.round();
    t.beat("m-1");
    t.beat("m-1");
    t.s.on_terminated(&[MachineId("m-1".into())], t.now);
    t.workers.remove("m-1");
    t.worker("m-2", "a", true);
    t.worker("m-3", "a", false);
    t.wait(1);
    t.round();
    t.beat_all();
    assert_eq!(t.workers["m-2"].running(), 0);
    assert_eq!(t.workers["m-3"].running(), 1);
}

// Guards against renting for a wait that a machine's boot would only make longer.
#[test]
fn nothing_is_provisioned_for_tasks_that_soon_fit_unless_there_is_a_deadline() {
    let mut t = Scenario::new(0.0);
    t.worker("m-1", "a", false);
    t.submit(JobSpec {
        expected_run_s: 40.0,
        ..spec("j-1", 2)
    });
    t.round();
    t.beat("m-1");
    t.beat("m-1");
    t.wait(35);
    t.beat("m-1");
    t.submit(spec("j-2", 2));
    t.round();
    assert_eq!(t.s.plan_fleet(t.now, 0).provision, vec![]);
    // An aim that leaves time for boots does not make it hurry.
    let aim = |t: &mut Scenario, s: u64| {
        t.s.config
            .max_start_delay
            .insert("batch".into(), Micros::secs(s))
    };
    aim(&mut t, 150);
    assert_eq!(t.s.plan_fleet(t.now, 0).provision, vec![]);
    aim(&mut t, 60);
    assert_eq!(t.s.plan_fleet(t.now, 0).provision.len(), 1);
    aim(&mut t, 150);
    t.submit(JobSpec {
        due_s: Some(90.0),
        ..spec("j-3", 1)
    });
    t.round();
    assert_eq!(t.s.plan_fleet(t.now, 0).provision.len(), 1);
}

// Guards against consolidation that does not keep pace with a large fleet, and against one that takes many replicas down at
// once.
#[test]
fn a_large_scattered_service_is_consolidated_faster_but_never_much_of_it_at_once() {
    let mut t = Scenario::new(0.0);
    t.s.config.reserved_places = Some(0);
    t.s.set_controllers(&[], t.now);
    let fillers: Vec<JobId> = (0..400)
        .map(|i| t.submit(live(&format!("j-{i:04}"))))
        .collect();
    for i in 0..200 {
        t.worker(&format!("m-{i:03}"), "a", false);
    }
    t.wait(1);
    t.round();
    t.beat_all();
    t.wait(1);
    t.beat_all();
    t.beat_all();
    assert_eq!(t.running(), 400);
    let end = aborted(u64::MAX);
    fillers
        .iter()
        .step_by(2)
        .for_each(|id| t.s.end_job(id, end));
    t.beat_all();
    t.beat_all();
    let mut returned = 0;
    for second in 0..90 {
        t.wait(1);
        let plan = t.s.plan_fleet(t.now, u64::MAX);
        returned += plan.terminate.len();
        t.s.on_terminated(&plan.terminate, t.now);
        plan.terminate.iter().for_each(|m| {
            t.workers.remove(&m.0);
        });
        let names: Vec<String> = t.workers.keys().cloned().collect();
        for (i, name) in names.iter().enumerate() {
            if i % 3 == second % 3
                || t.workers[name]
                    .tasks
                    .values()
                    .any(|s| s.0 == TaskState::Exited)
            {
                t.beat(name);
            }
        }
        let down = 200 - t.running();
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
        let mut t = Scenario::new(0.0);
        t.s.config.reserved_places = Some(0);
        t.s.config.max_scale_out_per_cycle = 1_000;
        let big = JobSpec {
            tasks,
            ..live("j-1")
        };
        t.submit(big);
        let rent = t.s.plan_fleet(t.now, 0).provision;
        rent.iter().map(|w| w.count).sum::<usize>()
    };
    assert_eq!(rented(8), 4);
    assert_eq!(rented(100), 75);
}

// Guards against what provisioned 255 machines in a zone that was cut off: all there had been given up, so that it had the
// fewest of all zones.
#[test]
fn an_unreachable_zone_is_provisioned_last() {
    let mut t = Scenario::new(0.0);
    t.s.config.idle_timeout = Some(Micros::secs(10_000));
    for i in 0..8 {
        t.worker(&format!("m-{i}"), ["a", "b", "b", "b"][i % 4], false);
    }
    let zones_rented = |t: &mut Scenario| {
        let rent = t.s.plan_fleet(t.now, 0).provision;
        let zones: BTreeSet<String> = rent.into_iter().map(|w| w.pool.zone).collect();
        zones.into_iter().collect::<Vec<_>>()
    };
    t.wait(8);
    t.beat_some([1, 2, 3, 5, 6, 7]);
    t.submit(spec("j-1", 40));
    t.round();
    assert_eq!(zones_rented(&mut t), ["b"], "nothing is heard of the other");
    t.wait(2);
    t.beat_some([0]);
    assert!(zones_rented(&mut t).contains(&"a".to_owned()));
}
