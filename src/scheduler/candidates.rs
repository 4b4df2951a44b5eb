//! The machines that a scheduling cycle may offer jobs to, indexed by their free resources so that full machines are
//! skipped.

use super::machine::{MAX_TASKS_PER_MACHINE, Machine};
use super::offers::OfferPass;
use crate::ids::MachineId;
use crate::units::Resources;
use ravenhead_index::FirstFitByKind;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// A candidate's free processors, accelerators and memory, as stored in an index.
type Amounts = [i64; 3];
type Index = FirstFitByKind<3, KINDS>;

/// The kinds of candidates that a search can ask for. Each kind has its own index.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Kind {
    Any,
    Spot,
    WithFreeAccelerator,
    SpotWithFreeAccelerator,
    UsesAccelerators,
}

const KINDS: usize = 5;

impl Kind {
    const ALL: [Kind; KINDS] = [
        Kind::Any,
        Kind::Spot,
        Kind::WithFreeAccelerator,
        Kind::SpotWithFreeAccelerator,
        Kind::UsesAccelerators,
    ];

    /// Returns the kind of candidates that a pass asks for, for tasks that need these resources.
    fn of(need: &Resources, pass: &OfferPass) -> Kind {
        match (
            pass.accelerators_in_use,
            need.accelerators > 0,
            pass.spot == Some(true),
        ) {
            (true, _, _) => Kind::UsesAccelerators,
            (false, false, false) => Kind::Any,
            (false, false, true) => Kind::Spot,
            (false, true, false) => Kind::WithFreeAccelerator,
            (false, true, true) => Kind::SpotWithFreeAccelerator,
        }
    }
}

/// A machine as seen by one scheduling cycle.
#[derive(Debug, Clone)]
pub(super) struct Candidate {
    pub(super) id: MachineId,
    spot: bool,
    free: Resources,
    /// Total accelerators of the machine, in millionths.
    accelerators: i64,
    /// Number of tasks that the machine's next heartbeat will report.
    tasks: usize,
}

impl Candidate {
    fn new(id: &MachineId, m: &Machine) -> Candidate {
        Candidate {
            id: id.clone(),
            spot: m.spot,
            free: m.free(),
            accelerators: m.total.accelerators,
            tasks: m.reported_tasks(),
        }
    }

    pub(super) fn uses_accelerators(&self) -> bool {
        self.free.accelerators < self.accelerators
    }

    /// Returns whether a task fits. On a machine with accelerators in use, a task without accelerators must leave
    /// `accelerator_headroom` for each free accelerator.
    pub(super) fn holds(&self, need: &Resources, accelerator_headroom: Resources) -> bool {
        if self.tasks >= MAX_TASKS_PER_MACHINE {
            return false;
        }
        if need.accelerators > 0 || !self.uses_accelerators() {
            return self.free.can_fit(need);
        }
        let accelerator_unit = Resources::new(0.0, 1.0, 0.0).accelerators.max(1);
        let withheld =
            accelerator_headroom.times((self.free.accelerators / accelerator_unit).max(0) as usize);
        (self.free - withheld).can_fit(need)
    }

    /// Returns the candidate's entry in the index of a kind. A search excludes a candidate whose entry is too small for
    /// a task.
    fn amounts(&self, kind: Kind) -> Amounts {
        let is_of_kind = match kind {
            Kind::Any => true,
            Kind::Spot => self.spot,
            Kind::WithFreeAccelerator => self.free.accelerators > 0,
            Kind::SpotWithFreeAccelerator => self.spot && self.free.accelerators > 0,
            Kind::UsesAccelerators => self.uses_accelerators(),
        };
        if !is_of_kind || self.tasks >= MAX_TASKS_PER_MACHINE {
            return Index::ABSENT_AMOUNTS;
        }
        self.free.amounts()
    }
}

/// The candidates of a scheduling cycle, in id order.
pub(super) struct Candidates {
    machines: Vec<Candidate>,
    index: Index,
    /// Index of the candidates that have an image or are about to fetch it, for each image that this scheduling cycle
    /// has searched for.
    by_image: HashMap<String, ImageIndex>,
}

/// Index of the free resources of the candidates that have an image.
///
/// Prevents examining, for each job, every machine that has its image, most of which are already full.
struct ImageIndex {
    has_image: Vec<bool>,
    index: Index,
}

impl ImageIndex {
    fn amounts(has_image: &[bool], machines: &[Candidate], i: usize, kind: Kind) -> Amounts {
        if has_image[i] {
            machines[i].amounts(kind)
        } else {
            Index::ABSENT_AMOUNTS
        }
    }

    fn update_index(&mut self, machines: &[Candidate], i: usize) {
        let has_image = &self.has_image;
        self.index.set(i, |kind| {
            ImageIndex::amounts(has_image, machines, i, Kind::ALL[kind])
        });
    }

    fn first_from(
        &mut self,
        machines: &[Candidate],
        kind: Kind,
        from: usize,
        need: &Amounts,
    ) -> Option<usize> {
        let has_image = &self.has_image;
        self.index.first_from(kind as usize, from, need, |i| {
            ImageIndex::amounts(has_image, machines, i, kind)
        })
    }
}

/// The candidates that one job is offered to in a scheduling cycle.
#[derive(Debug)]
pub(super) enum SearchOrder {
    /// All candidates.
    All,
    /// The candidates at these positions, in id order.
    Some(Vec<usize>),
    /// The candidates that have an image, and those reserved for the job.
    WithImage {
        /// Name of the image.
        image: String,
        /// Positions of the candidates with a pending reservation for the job, in id order.
        reserved: Vec<usize>,
    },
}

impl Candidates {
    /// Creates the candidates: the machines, in id order, that take offers and whose free resources hold `smallest`.
    pub(super) fn new(machines: &BTreeMap<MachineId, Machine>, smallest: &Resources) -> Candidates {
        let fitting = machines
            .iter()
            .filter(|(_, m)| m.accepts_offers() && m.free().can_fit(smallest));
        let machines: Vec<Candidate> = fitting.map(|(id, m)| Candidate::new(id, m)).collect();
        Candidates {
            index: Index::new(machines.len()),
            machines,
            by_image: HashMap::new(),
        }
    }

    /// Returns the number of index nodes visited by searches so far.
    pub(super) fn steps(&self) -> usize {
        let image_steps = self.by_image.values().map(|image| image.index.visited());
        (self.index.visited() + image_steps.sum::<u64>()) as usize
    }

    pub(super) fn len(&self) -> usize {
        self.machines.len()
    }

    pub(super) fn get(&self, i: usize) -> &Candidate {
        &self.machines[i]
    }

    /// Returns the position of a machine, or `None` if it is not a candidate.
    pub(super) fn position(&self, id: &MachineId) -> Option<usize> {
        self.machines.binary_search_by(|m| m.id.cmp(id)).ok()
    }

    /// Records that a task was placed on a candidate.
    pub(super) fn place(&mut self, i: usize, need: &Resources) {
        self.machines[i].tasks += 1;
        self.reserve(i, need);
    }

    /// Subtracts reserved resources from a candidate's free resources.
    pub(super) fn reserve(&mut self, i: usize, need: &Resources) {
        self.machines[i].free -= *need;
        self.update_index(i);
    }

    /// Undoes a placement on a candidate: its resources are free again.
    pub(super) fn undo_placement(&mut self, i: usize, need: &Resources) {
        self.machines[i].free += *need;
        self.machines[i].tasks -= 1;
        self.update_index(i);
    }

    fn update_index(&mut self, i: usize) {
        let candidate = &self.machines[i];
        self.index.set(i, |kind| candidate.amounts(Kind::ALL[kind]));
        for image in self.by_image.values_mut() {
            if image.has_image[i] {
                image.update_index(&self.machines, i);
            }
        }
    }

    /// Records that a candidate has an image or is about to fetch it.
    pub(super) fn record_image(&mut self, i: usize, image: &str) {
        if let Some(image_index) = self.by_image.get_mut(image) {
            image_index.has_image[i] = true;
            image_index.update_index(&self.machines, i);
        }
    }

    /// Indexes the candidates that have an image, at most once in a scheduling cycle.
    pub(super) fn index_image(&mut self, image: &str, machines: &BTreeMap<MachineId, Machine>) {
        if self.by_image.contains_key(image) {
            return;
        }
        let has_image = |c: &Candidate| machines.get(&c.id).is_some_and(|m| m.has_image(image));
        let image_index = ImageIndex {
            has_image: self.machines.iter().map(has_image).collect(),
            index: Index::new(self.machines.len()),
        };
        self.by_image.insert(image.to_owned(), image_index);
    }

    /// Restricts a search order to the candidates that have an image or are reserved for the job.
    pub(super) fn with_image(
        &self,
        order: &SearchOrder,
        image: &str,
        reserved: Vec<usize>,
    ) -> SearchOrder {
        let SearchOrder::Some(positions) = order else {
            let image = image.to_owned();
            return SearchOrder::WithImage { image, reserved };
        };
        let image_index = self.by_image.get(image);
        let has_image = |i: usize| image_index.is_some_and(|image_index| image_index.has_image[i]);
        let is_included = |i: &&usize| has_image(**i) || reserved.contains(*i);
        SearchOrder::Some(positions.iter().filter(is_included).copied().collect())
    }

    /// Returns the next candidate, at or after a position in the search order, that may hold a task in this pass: its
    /// position in the order and its position among the candidates.
    pub(super) fn next(
        &mut self,
        order: &SearchOrder,
        from: usize,
        need: &Resources,
        pass: &OfferPass,
    ) -> Option<(usize, usize)> {
        let kind = Kind::of(need, pass);
        match order {
            SearchOrder::Some(positions) => {
                let is_of_kind = |i: usize| pass.spot.is_none_or(|s| s == self.machines[i].spot);
                let rest = positions.iter().enumerate().skip(from);
                let mut of_kind = rest.filter(|(_, i)| is_of_kind(**i));
                of_kind.next().map(|(position, i)| (position, *i))
            }
            SearchOrder::All => {
                let i = self.first_from(kind, from, need)?;
                Some((i, i))
            }
            SearchOrder::WithImage { image, reserved } => {
                let image_index = self.by_image.get_mut(image);
                let amounts = need.amounts();
                let with_image = image_index.and_then(|image_index| {
                    image_index.first_from(&self.machines, kind, from, &amounts)
                });
                let is_of_kind =
                    |i: &usize| self.machines[*i].amounts(kind) != Index::ABSENT_AMOUNTS;
                let mut reserved = reserved.iter().copied().filter(|i| *i >= from);
                let reserved = reserved.find(is_of_kind);
                let i = with_image.into_iter().chain(reserved).min()?;
                Some((i, i))
            }
        }
    }

    /// Returns the first candidate of a kind, at or after a position, whose free resources hold `need`.
    fn first_from(&mut self, kind: Kind, from: usize, need: &Resources) -> Option<usize> {
        let machines = &self.machines;
        let need = need.amounts();
        self.index
            .first_from(kind as usize, from, &need, |i| machines[i].amounts(kind))
    }

    /// Returns up to `size` candidates that can hold a task, drawn at random, in id order. If there are no more than
    /// `size` of them, returns all.
    ///
    /// The sample is drawn only from machines that fit, as it could otherwise miss the few of them. Drawing it from the
    /// index prevents it from costing as much as offering the job to every machine.
    pub(super) fn sample(
        &mut self,
        need: &Resources,
        size: usize,
        rng: &mut fastrand::Rng,
    ) -> Vec<usize> {
        let kind = Kind::of(need, &OfferPass::default());
        let mut found = Vec::new();
        let mut next = 0;
        while let Some(i) = self.first_from(kind, next, need) {
            if found.len() == size {
                return self.draw(kind, need, size, rng);
            }
            found.push(i);
            next = i + 1;
        }
        found
    }

    /// Draws `size` candidates that can hold a task: each is the first one at or after a random position that was not
    /// drawn before. There must be more than `size` of them.
    fn draw(
        &mut self,
        kind: Kind,
        need: &Resources,
        size: usize,
        rng: &mut fastrand::Rng,
    ) -> Vec<usize> {
        let mut drawn = BTreeSet::new();
        for _ in 0..size {
            let mut from = rng.usize(..self.machines.len());
            loop {
                let at_or_after = self.first_from(kind, from, need);
                let Some(i) = at_or_after.or_else(|| self.first_from(kind, 0, need)) else {
                    break;
                };
                if drawn.insert(i) {
                    break;
                }
                from = i + 1;
            }
        }
        drawn.into_iter().collect()
    }
}
