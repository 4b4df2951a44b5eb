//! Scenario tests of the scheduler in virtual time, with simulated workers and an in-memory key-value store.

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

/// Returns the fencing token of the leader `terms` leader terms after the one with `token`.
fn token_after(token: FencingToken, terms: u64) -> FencingToken {
    FencingToken(token.0 + terms)
}

/// A simulated worker that implements the part of the protocol that the scenarios need.
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
    /// Returns the next heartbeat of the worker, which runs on the machine `name`.
    fn next_heartbeat(&mut self, name: &str) -> Heartbeat {
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

    /// Executes the commands of a leader, unless its fencing token is lower than the highest one received.
    fn execute(&mut self, commands: &[AgentCommand], token: FencingToken) {
        if token < self.token {
            return;
        }
        self.token = token;
        for command in commands {
            match command.clone() {
                AgentCommand::Run { task, attempt } => {
                    self.tasks
                        .entry((task, attempt))
                        .or_insert((TaskState::Running, None));
                }
                AgentCommand::Stop { task, attempt, .. } => {
                    if let Some(status) = self.tasks.get_mut(&(task, attempt))
                        && status.0 != TaskState::Exited
                    {
                        *status = (TaskState::Exited, Some(ExitCause::Stopped));
                    }
                }
                AgentCommand::Clear { task, attempt } => {
                    self.tasks.remove(&(task, attempt));
                }
            }
        }
    }

    /// Ends all tasks with this cause.
    fn exit_all(&mut self, cause: ExitCause) {
        for status in self.tasks.values_mut().filter(|s| s.0 != TaskState::Exited) {
            *status = (TaskState::Exited, Some(cause));
        }
    }

    /// Returns the number of tasks that have not exited.
    fn running(&self) -> usize {
        self.tasks
            .values()
            .filter(|s| s.0 != TaskState::Exited)
            .count()
    }
}

/// A simulation of a leader's scheduler, its workers and the key-value store.
struct Simulation {
    scheduler: Scheduler,
    now: Micros,
    revision: Revision,
    chunks: BTreeMap<(JobId, u32), (ChunkRecord, Revision)>,
    records: BTreeMap<JobId, JobRecord>,
    done: BTreeSet<JobId>,
    images: BTreeMap<MachineId, Vec<CachedImage>>,
    workers: BTreeMap<String, Worker>,
    /// Node name of the controller that forwards heartbeats. Empty if workers send them to the leader directly.
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

/// Returns the spec of a low-priority batch array. Two of its tasks fit on a machine.
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

/// Returns the spec of a critical service with one replica on on-demand machines.
fn critical_service(id: &str) -> JobSpec {
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

impl Simulation {
    /// Creates a simulation without machines. The team may use `gpus_max` accelerators; 0 means no limit.
    fn new(gpus_max: f64) -> Simulation {
        let teams = BTreeMap::from([("team".into(), TeamQuota::new(0.0, 0.0, 0.0, gpus_max))]);
        let now = Micros::secs(1_000);
        let mut scheduler = Scheduler::new(config(), teams, TOKEN, 1, now);
        scheduler.set_machine_types(&[machine_type()]);
        scheduler.on_list(&[], now);
        Simulation {
            scheduler,
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

    /// Replaces the leader by a new one that starts from the stored state, as after a failover or a restart of all
    /// controllers.
    fn change_leader(&mut self, token: FencingToken) {
        let teams = self.scheduler.teams.clone();
        self.scheduler = Scheduler::new(config(), teams, token, 1, self.now);
        self.scheduler.set_machine_types(&[machine_type()]);
        for (id, record) in &self.records {
            let chunks = self.chunks.iter().filter(|((job, _), _)| job == id);
            let chunks = chunks.map(|((_, n), (r, v))| (*n, r.clone(), *v));
            self.scheduler.add_job(record, None, chunks, self.now);
        }
        for (machine, images) in &self.images {
            self.scheduler.inherit_images(machine, images);
        }
        self.scheduler.begin_recovery(self.now);
    }

    /// Submits a job and returns its id.
    fn submit(&mut self, spec: JobSpec) -> JobId {
        let id = spec.id.clone();
        self.revision.0 += 1;
        let record = JobRecord {
            spec: Rc::new(spec),
            at: self.revision.0,
        };
        self.scheduler
            .add_job(&record, None, std::iter::empty(), self.now);
        self.records.insert(id.clone(), record);
        id
    }

    /// Adds a machine and exchanges heartbeats with its worker until it is ready.
    fn add_worker(&mut self, name: &str, zone: &str, spot: bool) {
        let worker = Worker {
            zone: zone.into(),
            spot,
            agent_epoch: 1,
            ..Worker::default()
        };
        self.workers.insert(name.into(), worker);
        // The worker receives the fencing token in the first response and acknowledges it in the second heartbeat.
        self.heartbeat(name);
        self.heartbeat(name);
    }

    /// Advances the virtual time.
    fn advance(&mut self, seconds: u64) {
        self.now = self.now + Micros::secs(seconds);
    }

    /// Writes all pending changes to the store.
    fn commit(&mut self) {
        loop {
            let batch = self.scheduler.next_batch(20, 36_000, false);
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
                        let stored = self.chunks.get(&key).map_or(Revision::NONE, |(_, v)| *v);
                        assert_eq!(
                            stored, *version,
                            "a write must replace the version that was read"
                        );
                        self.chunks.insert(key, (record.clone(), self.revision));
                    }
                    Write::Done { job, .. } => {
                        self.done.insert(job.clone());
                    }
                    Write::DoneAndRemove { job, version, .. } => {
                        let chunk = self.chunks.remove(&(job.clone(), 0));
                        let stored = chunk.map_or(Revision::NONE, |(_, v)| v);
                        assert_eq!(
                            stored, *version,
                            "a write must replace the version that was read"
                        );
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
            self.scheduler.batch_applied(&batch, self.revision);
        }
    }

    /// Runs a scheduling cycle and writes its changes.
    fn run_cycle_and_commit(&mut self) {
        self.scheduler.run_cycle(self.now);
        self.commit();
    }

    /// Sends a heartbeat of a worker. Returns the commands in the response, which are not delivered to the worker.
    fn send_heartbeat(&mut self, name: &str) -> Vec<AgentCommand> {
        let heartbeat = self
            .workers
            .get_mut(name)
            .expect("a worker")
            .next_heartbeat(name);
        self.handle_heartbeat(&heartbeat)
    }

    /// Passes a heartbeat to the scheduler, runs a cycle and returns the commands in the response.
    fn handle_heartbeat(&mut self, heartbeat: &Heartbeat) -> Vec<AgentCommand> {
        self.scheduler.on_heartbeat(heartbeat, self.via, self.now);
        self.run_cycle_and_commit();
        let position = heartbeat.position();
        self.scheduler
            .commands_for(&heartbeat.machine, position, self.now)
    }

    /// Sends heartbeats of the machines `m-<number>` and delivers the responses.
    fn heartbeat_numbered(&mut self, numbers: impl IntoIterator<Item = usize>) {
        for i in numbers {
            self.heartbeat(&format!("m-{i}"));
        }
    }

    /// Sends heartbeats of all machines except the first `skipped`, and delivers the responses after a single
    /// scheduling cycle for all of them, as a busy leader does.
    fn heartbeat_in_one_cycle(&mut self, skipped: usize) {
        let mut heartbeats = Vec::new();
        for (name, worker) in self.workers.iter_mut().skip(skipped) {
            let heartbeat = worker.next_heartbeat(name);
            self.scheduler.on_heartbeat(&heartbeat, self.via, self.now);
            heartbeats.push(heartbeat);
        }
        self.run_cycle_and_commit();
        for heartbeat in heartbeats {
            let position = heartbeat.position();
            let commands = self
                .scheduler
                .commands_for(&heartbeat.machine, position, self.now);
            let worker = self
                .workers
                .get_mut(&heartbeat.machine.0)
                .expect("a worker");
            worker.execute(&commands, self.scheduler.token());
        }
    }

    /// Sends a heartbeat of a worker and delivers the response.
    fn heartbeat(&mut self, name: &str) {
        let commands = self.send_heartbeat(name);
        let token = self.scheduler.token();
        self.workers
            .get_mut(name)
            .expect("a worker")
            .execute(&commands, token);
    }

    /// Sends a heartbeat of each worker in turn and delivers the responses.
    fn heartbeat_all(&mut self) {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            self.heartbeat(&name);
        }
    }

    /// Returns the log lines of level `info` since the last call.
    fn info_lines(&mut self) -> Vec<String> {
        let events = self.scheduler.take_events().into_iter();
        let info = events.filter(|e| e.level() == EventLevel::Info);
        info.map(|e| e.to_string()).collect()
    }

    /// Returns the number of tasks on all machines that have not exited.
    fn running(&self) -> usize {
        self.workers.values().map(Worker::running).sum()
    }

    /// Returns how many more tasks of [`spec`] fit on a machine.
    fn free_places(&self, name: &str) -> usize {
        self.scheduler.machines[&MachineId(name.into())]
            .free()
            .count_fitting(&spec("j-0", 1).need())
    }
}

/// Returns the end of a job that its user aborted.
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

/// Returns the number of start commands.
fn count_starts(commands: &[AgentCommand]) -> usize {
    commands
        .iter()
        .filter(|c| matches!(c, AgentCommand::Run { .. }))
        .count()
}
