//! Short scenarios about the scheduler, told against workers and a store that exist only in memory, in virtual time.

mod commands;
mod failure_detection;
mod faults;
mod fleet;
mod latency_sensitive;
mod queue_order;
mod recovery;
mod scale;

use super::{
    AgentCommand, CachedImage, ChunkRecord, ControllerStatus, EventLevel, ExitCause, Heartbeat,
    JobEnd, JobId, JobOutcome, JobRecord, JobSpec, MachineId, MachineType, Priority, Scheduler,
    SchedulerConfig, Shape, TaskState, TaskStatus, TeamQuota, Write,
};
use crate::fencing::FencingToken;
use crate::revision::Revision;
use crate::units::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

const TOKEN: FencingToken = FencingToken(7);

/// The fencing token of a leader so many terms after another.
fn later(token: FencingToken, terms: u64) -> FencingToken {
    FencingToken(token.0 + terms)
}

/// A worker as the protocol describes it, as far as the scenarios need.
#[derive(Default)]
struct Worker {
    zone: String,
    spot: bool,
    agent_epoch: u64,
    sequence: u64,
    token: FencingToken,
    notice_s: Option<f64>,
    tasks: BTreeMap<(String, u64), (TaskState, Option<ExitCause>)>,
}

impl Worker {
    fn report(&mut self, name: &str) -> Heartbeat {
        self.sequence += 1;
        let tasks = self
            .tasks
            .iter()
            .map(|((task, attempt), (state, cause))| TaskStatus {
                task: task.clone(),
                attempt: *attempt,
                state: *state,
                cause: *cause,
            });
        Heartbeat {
            machine: MachineId(name.into()),
            machine_type: "rig".into(),
            zone: self.zone.clone(),
            spot: self.spot,
            agent_epoch: self.agent_epoch,
            sequence: self.sequence,
            token: self.token,
            notice_s: self.notice_s,
            tasks: tasks.collect(),
        }
    }

    fn execute(&mut self, orders: &[AgentCommand], token: FencingToken) {
        if token < self.token {
            return;
        }
        self.token = token;
        for order in orders {
            match order.clone() {
                AgentCommand::Run { task, attempt } => {
                    self.tasks
                        .entry((task, attempt))
                        .or_insert((TaskState::Running, None));
                }
                AgentCommand::Stop { task, attempt, .. } => {
                    if let Some(t) = self.tasks.get_mut(&(task, attempt))
                        && t.0 != TaskState::Exited
                    {
                        *t = (TaskState::Exited, Some(ExitCause::Stopped));
                    }
                }
                AgentCommand::Clear { task, attempt } => {
                    self.tasks.remove(&(task, attempt));
                }
            }
        }
    }

    fn exit_all(&mut self, cause: ExitCause) {
        for t in self.tasks.values_mut().filter(|t| t.0 != TaskState::Exited) {
            *t = (TaskState::Exited, Some(cause));
        }
    }

    fn running(&self) -> usize {
        self.tasks
            .values()
            .filter(|t| t.0 != TaskState::Exited)
            .count()
    }
}

/// A leader's scheduler with a store and workers in memory.
struct Scenario {
    s: Scheduler,
    now: Micros,
    revision: Revision,
    chunks: BTreeMap<(JobId, u32), (ChunkRecord, Revision)>,
    records: BTreeMap<JobId, JobRecord>,
    done: BTreeSet<JobId>,
    images: BTreeMap<MachineId, Vec<CachedImage>>,
    workers: BTreeMap<String, Worker>,
    /// The controller that passes heartbeats on.
    via: &'static str,
}

fn machine_type() -> MachineType {
    MachineType {
        name: "rig".into(),
        cores: 16.0,
        accelerators: 2.0,
        ram_gb: 128.0,
        cache_gb: 100.0,
        fetch_gb_per_s: 0.5,
        price: 6.0,
        spot_price: 2.0,
        provisioning_time_s: 40.0,
        zones: vec!["a".into(), "b".into()],
    }
}

fn config() -> SchedulerConfig {
    SchedulerConfig {
        retry_interval: Micros::millis(400),
        max_retry_jitter: Micros::millis(100),
        idle_timeout: None,
        reserved_places: None,
        max_offers_per_cycle: 20_000,
        max_scale_out_per_cycle: 24,
        recovery_report: true,
        controllers: 3,
        heartbeat_interval: Micros::secs(3),
        worker_lease: Micros::secs(36),
        cancellation_timeout: Micros::secs(60),
        list_lag: Micros::secs(6),
        max_start_delay: BTreeMap::from([("live".into(), Micros::secs(12))]),
        guarantee_start_delay: None,
    }
}

fn spec(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        id: JobId(id.into()),
        class: "batch".into(),
        team: "team".into(),
        shape: Shape::Array,
        priority: Priority::Low,
        tasks,
        cores: 6.0,
        accelerators: 1.0,
        ram_gb: 48.0,
        image: "image".into(),
        image_gb: 1.0,
        machine_types: None,
        zone: None,
        together: false,
        spread: false,
        spot: true,
        expected_run_s: 60.0,
        checkpoint_s: 30.0,
        save_s: 4.0,
        due_s: None,
    }
}

fn live(id: &str) -> JobSpec {
    JobSpec {
        class: "live".into(),
        shape: Shape::Service,
        priority: Priority::Critical,
        spot: false,
        checkpoint_s: 0.0,
        save_s: 0.0,
        ..spec(id, 1)
    }
}

impl Scenario {
    fn new(gpus_max: f64) -> Scenario {
        let teams = BTreeMap::from([("team".into(), TeamQuota::new(0.0, 0.0, 0.0, gpus_max))]);
        let now = Micros::secs(1_000);
        let mut s = Scheduler::new(config(), teams, TOKEN, 1, now);
        s.set_machine_types(&[machine_type()]);
        s.on_list(&[], now);
        Scenario {
            s,
            now,
            revision: Revision(100),
            chunks: BTreeMap::new(),
            records: BTreeMap::new(),
            done: BTreeSet::new(),
            images: BTreeMap::new(),
            workers: BTreeMap::new(),
            via: "n-1",
        }
    }

    /// All controllers restart, or another takes over: a new scheduler gets what was written.
    fn take_over(&mut self, token: FencingToken) {
        let teams = self.s.teams.clone();
        self.s = Scheduler::new(config(), teams, token, 1, self.now);
        self.s.set_machine_types(&[machine_type()]);
        for (id, record) in &self.records {
            let chunks = self.chunks.iter().filter(|((job, _), _)| job == id);
            let chunks = chunks.map(|((_, n), (r, v))| (*n, r.clone(), *v));
            self.s.add_job(record, None, chunks, self.now);
        }
        for (machine, images) in &self.images {
            self.s.inherit_images(machine, images);
        }
        self.s.begin_recovery(self.now);
    }

    fn submit(&mut self, spec: JobSpec) -> JobId {
        let id = spec.id.clone();
        self.revision.0 += 1;
        let record = JobRecord {
            spec: Rc::new(spec),
            at: self.revision.0,
        };
        self.s.add_job(&record, None, std::iter::empty(), self.now);
        self.records.insert(id.clone(), record);
        id
    }

    fn worker(&mut self, name: &str, zone: &str, spot: bool) {
        let worker = Worker {
            zone: zone.into(),
            spot,
            agent_epoch: 1,
            ..Worker::default()
        };
        self.workers.insert(name.into(), worker);
        // The first answer tells it the token, the next heartbeat shows it.
        self.beat(name);
        self.beat(name);
    }

    fn wait(&mut self, seconds: u64) {
        self.now = self.now + Micros::secs(seconds);
    }

    fn commit(&mut self) {
        loop {
            let batch = self.s.next_batch(20, 36_000, false);
            if batch.is_empty() {
                return;
            }
            self.revision.0 += 1;
            for write in &batch {
                match write {
                    Write::Chunk {
                        job,
                        chunk,
                        record,
                        version,
                        ..
                    } => {
                        let key = (job.clone(), *chunk);
                        let before = self.chunks.get(&key).map_or(Revision::NONE, |(_, v)| *v);
                        assert_eq!(before, *version, "a write must replace what was read");
                        self.chunks.insert(key, (record.clone(), self.revision));
                    }
                    Write::Done { job, .. } => {
                        self.done.insert(job.clone());
                    }
                    Write::DoneAndRemove { job, version, .. } => {
                        let chunk = self.chunks.remove(&(job.clone(), 0));
                        let before = chunk.map_or(Revision::NONE, |(_, v)| v);
                        assert_eq!(before, *version, "a write must replace what was read");
                        self.records.remove(job);
                        self.done.insert(job.clone());
                    }
                    Write::Images { machine, images } => {
                        match images {
                            Some(i) => self.images.insert(machine.clone(), i.clone()),
                            None => self.images.remove(machine),
                        };
                    }
                    Write::Remove { job, .. } => self.chunks.retain(|(j, _), _| j != job),
                }
            }
            self.s.batch_applied(&batch, self.revision);
        }
    }

    fn round(&mut self) {
        self.s.run_cycle(self.now);
        self.commit();
    }

    /// A heartbeat and the commands of its answer, which do not reach the worker yet.
    fn ask(&mut self, name: &str) -> Vec<AgentCommand> {
        let report = self.workers.get_mut(name).expect("a worker").report(name);
        self.deliver(&report)
    }

    fn deliver(&mut self, report: &Heartbeat) -> Vec<AgentCommand> {
        self.s.on_heartbeat(report, self.via, self.now);
        self.round();
        let at = report.position();
        self.s.commands_for(&report.machine, at, self.now)
    }

    /// Reports of machines whose names are these numbers, and answers that arrive.
    fn beat_some(&mut self, numbers: impl IntoIterator<Item = usize>) {
        for i in numbers {
            self.beat(&format!("m-{i}"));
        }
    }

    /// Reports of all machines but the first few, answered after one scheduling cycle for them all, as by a busy leader.
    fn beat_together(&mut self, but: usize) {
        let mut reports = Vec::new();
        for (name, worker) in self.workers.iter_mut().skip(but) {
            let report = worker.report(name);
            self.s.on_heartbeat(&report, self.via, self.now);
            reports.push(report);
        }
        self.round();
        for report in reports {
            let at = report.position();
            let orders = self.s.commands_for(&report.machine, at, self.now);
            let worker = self.workers.get_mut(&report.machine.0).expect("a worker");
            worker.execute(&orders, self.s.token());
        }
    }

    /// A heartbeat whose answer arrives.
    fn beat(&mut self, name: &str) {
        let orders = self.ask(name);
        let token = self.s.token();
        self.workers
            .get_mut(name)
            .expect("a worker")
            .execute(&orders, token);
    }

    fn beat_all(&mut self) {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            self.beat(&name);
        }
    }

    /// The lines of the log since the last call, those in detail left out.
    fn info_lines(&mut self) -> Vec<String> {
        let events = self.s.take_events().into_iter();
        let info = events.filter(|e| e.level() == EventLevel::Info);
        info.map(|e| e.to_string()).collect()
    }

    fn running(&self) -> usize {
        self.workers.values().map(Worker::running).sum()
    }

    fn free_of(&self, name: &str) -> usize {
        self.s.machines[&MachineId(name.into())]
            .free()
            .count_fitting(&spec("j-0", 1).need())
    }
}

fn aborted(at: u64) -> JobEnd {
    JobEnd {
        outcome: JobOutcome::Aborted,
        at,
        done: 0,
    }
}

fn controller(node: &str, zone: &str, is_reachable: bool) -> ControllerStatus {
    ControllerStatus {
        node: node.into(),
        zone: zone.into(),
        is_reachable,
    }
}

fn runs(orders: &[AgentCommand]) -> usize {
    orders
        .iter()
        .filter(|o| matches!(o, AgentCommand::Run { .. }))
        .count()
}
