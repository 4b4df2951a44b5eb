//! The ordinary path: due jobs are offered to machines in id order, and the first that accepts takes the task.

use super::preempt::MakeRoom;
use super::*;
use std::cmp::Reverse;

/// Tasks of one job placed in one round, so that one huge job can't take the whole round.
const TASKS_PER_JOB: usize = 512;

/// With so many machines for each task of a job, what must be fetched anyway is fetched by as many as it has tasks.
const MACHINES_PER_TASK: usize = 50;

/// Which machines a job is offered to in one pass, and how many of its tasks each may take.
#[derive(Debug, Clone, Copy, Default)]
struct Pass {
    /// Only those that have its image, are fetching it, or were cleared for it.
    with_image: bool,
    /// Only spot machines, or only ordinary ones.
    spot: Option<bool>,
    /// One task a machine: what must be fetched anyway is then had by more machines.
    one_each: bool,
    /// Only those that have work with accelerators.
    beside_cards: bool,
}

/// A machine as a round sees it.
struct Candidate {
    id: MachineId,
    spot: bool,
    free: Room,
    /// All of its accelerators.
    cards: i64,
    /// Tasks that its next report will name.
    tasks: usize,
}

impl Candidate {
    fn uses_cards(&self) -> bool {
        self.free.cards < self.cards
    }

    /// Whether a task fits; what takes no accelerators leaves so much for each free one beside others in use.
    fn holds(&self, need: &Room, beside_a_card: Room) -> bool {
        if self.tasks >= MOST_TASKS {
            return false;
        }
        if need.cards > 0 || !self.uses_cards() {
            return self.free.holds(need);
        }
        let free_cards = Room::new(0.0, 1.0, 0.0).cards.max(1);
        let kept = beside_a_card.times((self.free.cards / free_cards).max(0) as usize);
        (self.free - kept).holds(need)
    }
}

impl Scheduler {
    /// One round: offers every due job, then makes room for what must not wait.
    pub fn round(&mut self, now: Micros) {
        self.latest = now;
        self.offers_made = 0;
        self.guaranteed = self.guaranteed_jobs();
        let due = self.due_jobs(now);
        if due.is_empty() {
            return;
        }
        self.keep_for_long_waiting(now);
        let mut machines = self.candidates(&due);
        let mut room = MakeRoom::new(self.coming_room(now));
        self.beside_a_card = self.room_beside_a_card();
        let sample = self.sample_size(due.len(), machines.len());
        let everyone: Vec<usize> = (0..machines.len()).collect();
        for id in &self.with_claimants(&due) {
            if !due.contains(id) {
                self.hold_claims(id, &mut machines);
                continue;
            }
            let before = self.jobs.get(id).map_or(0, Job::waiting);
            if self.is_held_back(id) {
                self.note_offered(id, before, now);
                self.delay(id, now);
                continue;
            }
            let drawn = (sample < machines.len()).then(|| self.sample(id, &machines, sample));
            let order = drawn.as_deref().unwrap_or(&everyone);
            if spec_of(&self.jobs, id).is_some_and(|s| s.is_gang()) {
                self.offer_whole(id, &mut machines, order, now);
                self.note_offered(id, before, now);
                self.delay(id, now);
                continue;
            }
            let any = Pass::default();
            let cached = Pass {
                with_image: true,
                ..any
            };
            // What takes no accelerators first takes what is left beside those in use.
            if spec_of(&self.jobs, id).is_some_and(|s| s.cards == 0.0) {
                let beside_cards = true;
                let beside = Pass {
                    beside_cards,
                    ..any
                };
                self.offer(id, &mut machines, order, beside, now);
            }
            // Ordinary machines decline what may use spot ones, which are far cheaper, while these have room.
            if self
                .jobs
                .get(id)
                .is_some_and(|j| j.spec.spot && !j.lost_on_spot)
            {
                let spot = Some(true);
                self.offer(id, &mut machines, order, Pass { spot, ..cached }, now);
                self.offer(id, &mut machines, order, Pass { spot, ..any }, now);
            }
            self.offer(id, &mut machines, order, cached, now);
            // A task that would wait too long for its image on a free machine rather takes the place of another on
            // a machine that has it.
            if self.fetch_is_too_slow(id) {
                self.preempt_for(id, true, &mut room, now);
                // In a small fleet the machines are too few to give each task one of its own.
                let tasks = self.jobs.get(id).map_or(0, |j| j.spec.tasks as usize);
                let one_each = self.machines.len() >= tasks * MACHINES_PER_TASK;
                self.offer(id, &mut machines, order, Pass { one_each, ..any }, now);
            }
            self.offer(id, &mut machines, order, any, now);
            self.preempt_for(id, false, &mut room, now);
            self.hold_claims(id, &mut machines);
            self.note_offered(id, before, now);
            self.delay(id, now);
        }
    }

    /// These jobs and those that wait for room being made for them, in their order.
    fn with_claimants(&self, due: &HashSet<JobId>) -> Vec<JobId> {
        let concerned = |j: &&Job| !j.claims.is_empty() || due.contains(&j.spec.id);
        let mut all: Vec<&Job> = self.jobs.values().filter(concerned).collect();
        self.sort_by_turn(&mut all);
        all.into_iter().map(|j| j.spec.id.clone()).collect()
    }

    /// The jobs that come after this one leave it the room that is being made for it.
    ///
    /// Guards against room for a large task that frees bit by bit, each of which a smaller one takes: stops would be
    /// ordered for ever, and the large task would never begin.
    fn hold_claims(&self, id: &JobId, machines: &mut [Candidate]) {
        let Some(job) = self.jobs.get(id) else { return };
        for (machine, _) in &job.claims {
            if let Ok(i) = machines.binary_search_by(|m| m.id.cmp(machine)) {
                machines[i].free -= job.spec.need();
            }
        }
    }

    /// By priority, the processors and memory that a task with one accelerator takes at the most, of jobs that are not
    /// lower.
    ///
    /// Guards against thousands of tasks without accelerators that use up the processors beside free ones: those would
    /// be paid for, and of no use to anybody.
    fn room_beside_a_card(&self) -> BTreeMap<Priority, Room> {
        let mut beside: BTreeMap<Priority, Room> = BTreeMap::new();
        for job in self
            .jobs
            .values()
            .filter(|j| j.spec.cards > 0.0 && !j.ending)
        {
            let spec = &job.spec;
            let one = Room::new(spec.cores / spec.cards, 0.0, spec.ram_gb / spec.cards);
            for priority in [
                Priority::Low,
                Priority::Normal,
                Priority::Urgent,
                Priority::Critical,
            ] {
                if priority <= spec.priority {
                    let most = beside.entry(priority).or_default();
                    most.cores = most.cores.max(one.cores);
                    most.ram = most.ram.max(one.ram);
                }
            }
        }
        beside
    }

    /// Sets the next try of a job with waiting tasks.
    fn delay(&mut self, id: &JobId, now: Micros) {
        let jitter = self.rng.u64(0..=self.config.jitter.0);
        if let Some(job) = self.jobs.get_mut(id)
            && job.waiting() > 0
        {
            let pause = if job.at_fault {
                job.pause()
            } else {
                self.config.retry
            };
            job.next_try = now + pause + Micros(jitter);
        }
    }

    /// Offers a gang: all its tasks are placed or none. One that lost a member is stopped, and starts whole again.
    fn offer_whole(
        &mut self,
        id: &JobId,
        machines: &mut [Candidate],
        order: &[usize],
        now: Micros,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.live > 0 {
            for chunk in job.chunks.values_mut() {
                for p in chunk.live.values_mut() {
                    p.stopping.get_or_insert(StopReason::Drained);
                }
            }
            return;
        }
        let zone_of = |i: &usize| self.machines[&machines[*i].id].zone.clone();
        let mut parts: Vec<Vec<usize>> = vec![order.to_vec()];
        if job.spec.together {
            let zones: BTreeSet<String> = order.iter().map(zone_of).collect();
            let of_zone = |zone: &String| {
                let there = order.iter().filter(|i| zone_of(i) == *zone);
                there.copied().collect()
            };
            parts = zones.iter().map(of_zone).collect();
        }
        for part in parts {
            let before: Vec<Room> = machines.iter().map(|m| m.free).collect();
            self.offer(id, machines, &part, Pass::default(), now);
            if self.jobs.get(id).is_none_or(|job| job.waiting() == 0) {
                return;
            }
            self.drop_unwritten(id);
            for (machine, free) in machines.iter_mut().zip(before) {
                machine.free = free;
            }
        }
    }

    /// Whether a task of the job could not start within its class's time where its image must be fetched first.
    fn fetch_is_too_slow(&self, id: &JobId) -> bool {
        let Some(spec) = spec_of(&self.jobs, id) else {
            return false;
        };
        let Some(within) = self.config.wait_within.get(&spec.class) else {
            return false;
        };
        let rates = self.machine_types.values().map(|f| f.fetch_gb_per_s);
        let rate = rates.fold(0.001, f64::max);
        Micros::from_secs_f64(spec.image_gb / rate) + self.config.report > *within
    }

    /// Sorts jobs: what is critical first, then guarantees before borrowing, then by priority, then by deadline or age.
    ///
    /// Guards against urgent work that another team lends room to, in front of what that team is guaranteed: the two
    /// would stop each other's tasks for ever.
    pub(super) fn sort_by_turn(&self, jobs: &mut [&Job]) {
        let place = |j: &Job| {
            let waits = j.spec.priority < Priority::Critical;
            let borrows = !self.guaranteed.contains(&j.spec.id);
            let priority = Reverse(j.spec.priority);
            (waits, borrows, priority, j.turn(self.unix_time))
        };
        jobs.sort_by(|a, b| (place(a), &a.spec.id).cmp(&(place(b), &b.spec.id)));
    }

    /// Jobs to offer now.
    fn due_jobs(&self, now: Micros) -> HashSet<JobId> {
        let due = |j: &&Job| j.next_try <= now && j.open() > 0;
        let due = self.jobs.values().filter(due);
        due.map(|j| j.spec.id.clone()).collect()
    }

    /// Machines that take offers and have room for the smallest of these jobs' tasks, in id order: the others need not
    /// be asked.
    fn candidates(&self, due: &HashSet<JobId>) -> Vec<Candidate> {
        let needs = due.iter().filter_map(|id| self.jobs.get(id));
        let needs = needs.map(|job| job.spec.need());
        let Some(smallest) = needs.reduce(|a, b| a.least(&b)) else {
            return Vec::new();
        };
        self.machines
            .iter()
            .filter(|(_, m)| m.takes_offers() && m.free().holds(&smallest))
            .map(|(id, m)| Candidate {
                id: id.clone(),
                spot: m.spot,
                free: m.free(),
                cards: m.total.cards,
                tasks: m.reported_tasks(),
            })
            .collect()
    }

    /// How many machines each job may be offered to within the round's allowance.
    fn sample_size(&self, jobs: usize, machines: usize) -> usize {
        let fair = self.config.offers_per_round / jobs.max(1);
        if fair >= machines {
            machines
        } else {
            fair.max(8)
        }
    }

    /// A random sample of the machines that have room for a task of the job, in id order.
    ///
    /// Guards against a sample that misses the few machines that fit.
    fn sample(&mut self, id: &JobId, machines: &[Candidate], size: usize) -> Vec<usize> {
        let need = self.jobs.get(id).map(|job| job.spec.need());
        let fits = |free: &Room| need.is_some_and(|need| free.holds(&need));
        let open = machines.iter().enumerate().filter(|(_, m)| fits(&m.free));
        let mut drawn = self.rng.choose_multiple(open.map(|(i, _)| i), size);
        drawn.sort_unstable();
        drawn
    }

    /// Offers a job's waiting tasks to the machines of a pass; tasks that wait for a place being cleared are left out
    /// where the image is not asked for.
    fn offer(
        &mut self,
        id: &JobId,
        machines: &mut [Candidate],
        order: &[usize],
        pass: Pass,
        now: Micros,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.claims.retain(|(_, until)| *until > now);
        let spec = job.spec.clone();
        let need = spec.need();
        let beside_a_card = self.beside_a_card.get(&spec.priority);
        let beside_a_card = beside_a_card.copied().unwrap_or_default();
        let mut budget = job.open() as usize;
        if !spec.is_gang() {
            budget = budget.min(TASKS_PER_JOB);
        }
        if !pass.with_image {
            budget = budget.saturating_sub(job.claims.len());
        }
        let cleared: Vec<MachineId> = job.claims.iter().map(|(m, _)| m.clone()).collect();
        let moves = job.moving_until > now && !cleared.is_empty();
        let mut next = 0;
        for &i in order {
            let candidate = &mut machines[i];
            if pass.spot.is_some_and(|spot| spot != candidate.spot) {
                continue;
            }
            self.offers_made += 1;
            if !candidate.holds(&need, beside_a_card)
                || (pass.beside_cards && !candidate.uses_cards())
                || self.is_kept_from(&candidate.id, id)
            {
                continue;
            }
            // What is being moved goes where its place is.
            let ready = cleared.contains(&candidate.id)
                || !moves && self.machines[&candidate.id].has_image(&spec.image);
            if pass.with_image && !ready {
                continue;
            }
            while budget > 0
                && candidate.holds(&need, beside_a_card)
                && self.accepts(id, &candidate.id)
            {
                let Some(index) = self.jobs.get(id).and_then(|j| j.next_waiting(next)) else {
                    return;
                };
                if !self.within_limit(&spec.team, &need) {
                    return;
                }
                self.place(id, index, &candidate.id, now);
                candidate.free -= need;
                candidate.tasks += 1;
                next = index + 1;
                budget -= 1;
                if pass.one_each {
                    break;
                }
            }
        }
    }

    /// Whether a machine may take one more task of the job, room and team limit aside.
    pub(super) fn accepts(&self, id: &JobId, machine: &MachineId) -> bool {
        let (Some(m), Some(job)) = (self.machines.get(machine), self.jobs.get(id)) else {
            return false;
        };
        job.allows(&m.machine_type, &m.zone, m.spot)
            && !job.failed_on.contains(machine)
            && zone_takes(job, &m.zone, 0, None)
    }

    fn place(&mut self, id: &JobId, index: u32, machine: &MachineId, now: Micros) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let spec = job.spec.clone();
        let attempt = job.next_attempt(index / CHUNK);
        let chunk = job.chunks.entry(index / CHUNK).or_default();
        chunk.last_attempt = attempt;
        let claim = job.claims.iter().position(|(m, _)| m == machine);
        if let Some(i) = claim.or(job.claims.len().checked_sub(1)) {
            job.claims.swap_remove(i);
        }
        chunk.live.insert(
            (index % CHUNK) as u8,
            Placement {
                machine: machine.clone(),
                attempt: chunk.last_attempt,
                committed: false,
                inherited: false,
                sent: None,
                seen: None,
                running_since: None,
                stopping: None,
            },
        );
        self.details.push(format!(
            "event=placed task={id}/{index} machine={machine} attempt={}",
            chunk.last_attempt
        ));
        self.note_change(id, index / CHUNK);
        self.hold(id, index, machine, now);
        self.note_image(machine, &spec);
    }
}

/// Whether one more task of the job may be in the zone, beside those placed and `planned` more there; a task that
/// moves away from the zone `leaving` does not count.
///
/// Tasks on machines whose zone is not known yet count against every zone.
pub(super) fn zone_takes(job: &Job, zone: &str, planned: u32, leaving: Option<&str>) -> bool {
    let unknown = job.live_in.get("").copied().unwrap_or(0);
    let mut here = job.live_in.get(zone).copied().unwrap_or(0);
    let mut all = job.live;
    if let Some(left) = leaving {
        all -= 1;
        here -= u32::from(left == zone && here > 0);
    }
    if job.spec.together && all > here {
        return false;
    }
    here + unknown + planned < job.spec.zone_cap()
}
