//! The machines that a scheduling cycle may offer jobs to, indexed by their free resources, so that full ones are skipped.

use super::machine::{MAX_TASKS_PER_MACHINE, Machine};
use super::offers::Pass;
use crate::ids::MachineId;
use crate::units::Resources;
use ravenhead_index::FirstFitByKind;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What an index knows of a candidate: its free processors, accelerators and memory.
type Amounts = [i64; 3];
type Index = FirstFitByKind<3, KINDS>;

/// Which candidates a search asks for; each kind has an index of its own.
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

    /// The kind that a pass asks for, for a task of this size.
    fn of(need: &Resources, pass: &Pass) -> Kind {
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

/// A machine as a scheduling cycle sees it.
#[derive(Debug, Clone)]
pub(super) struct Candidate {
    pub(super) id: MachineId,
    spot: bool,
    free: Resources,
    /// All of its accelerators.
    accelerators: i64,
    /// Tasks that its next heartbeat will name.
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

    /// Whether a task fits; what takes no accelerators leaves so much for each free one beside others in use.
    pub(super) fn holds(&self, need: &Resources, accelerator_headroom: Resources) -> bool {
        if self.tasks >= MAX_TASKS_PER_MACHINE {
            return false;
        }
        if need.accelerators > 0 || !self.uses_accelerators() {
            return self.free.holds(need);
        }
        let accelerator_unit = Resources::new(0.0, 1.0, 0.0).accelerators.max(1);
        let kept =
            accelerator_headroom.times((self.free.accelerators / accelerator_unit).max(0) as usize);
        (self.free - kept).holds(need)
    }

    /// What an index of a kind knows of it: it holds no task for which that says that it has too little.
    fn amounts(&self, kind: Kind) -> Amounts {
        let is_of_kind = match kind {
            Kind::Any => true,
            Kind::Spot => self.spot,
            Kind::WithFreeAccelerator => self.free.accelerators > 0,
            Kind::SpotWithFreeAccelerator => self.spot && self.free.accelerators > 0,
            Kind::UsesAccelerators => self.uses_accelerators(),
        };
        if !is_of_kind || self.tasks >= MAX_TASKS_PER_MACHINE {
            return Index::ABSENT_KEY;
        }
        self.free.amounts()
    }
}

/// The candidates of a scheduling cycle, in id order.
pub(super) struct Candidates {
    machines: Vec<Candidate>,
    index: Index,
    /// The candidates that have an image or get it, for images that were asked for in this scheduling cycle.
    by_image: HashMap<String, ImageIndex>,
}

/// The free resources of those candidates that have an image.
///
/// Guards against looking, for each job, at every machine that has its image, most of which are full by then.
struct ImageIndex {
    has_image: Vec<bool>,
    index: Index,
}

impl ImageIndex {
    fn amounts(has_image: &[bool], machines: &[Candidate], i: usize, kind: Kind) -> Amounts {
        if has_image[i] {
            machines[i].amounts(kind)
        } else {
            Index::ABSENT_KEY
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

/// Which candidates one job is offered to in a scheduling cycle.
#[derive(Debug)]
pub(super) enum SearchOrder {
    /// All of them.
    All,
    /// These, in id order.
    Some(Vec<usize>),
    /// Those that have an image, and these.
    WithImage {
        /// The image.
        image: String,
        /// Those that were cleared for the job.
        cleared: Vec<usize>,
    },
}

impl Candidates {
    /// The machines that take offers and have room for so much, in id order.
    pub(super) fn new(machines: &BTreeMap<MachineId, Machine>, smallest: &Resources) -> Candidates {
        let with_room = machines
            .iter()
            .filter(|(_, m)| m.accepts_offers() && m.free().holds(smallest));
        let machines: Vec<Candidate> = with_room.map(|(id, m)| Candidate::new(id, m)).collect();
        Candidates {
            index: Index::new(machines.len()),
            machines,
            by_image: HashMap::new(),
        }
    }

    /// How many steps searches for room took.
    pub(super) fn steps(&self) -> usize {
        let of_images = self.by_image.values().map(|image| image.index.visited());
        (self.index.visited() + of_images.sum::<u64>()) as usize
    }

    pub(super) fn len(&self) -> usize {
        self.machines.len()
    }

    pub(super) fn get(&self, i: usize) -> &Candidate {
        &self.machines[i]
    }

    /// The position of a machine, if it is a candidate.
    pub(super) fn position(&self, id: &MachineId) -> Option<usize> {
        self.machines.binary_search_by(|m| m.id.cmp(id)).ok()
    }

    /// One more task was placed on a candidate.
    pub(super) fn place(&mut self, i: usize, need: &Resources) {
        self.machines[i].tasks += 1;
        self.take(i, need);
    }

    /// Resources of a candidate are reserved.
    pub(super) fn take(&mut self, i: usize, need: &Resources) {
        self.machines[i].free -= *need;
        self.update_index(i);
    }

    /// Resources of a candidate, which a placement had taken, are free again.
    pub(super) fn take_back(&mut self, i: usize, need: &Resources) {
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

    /// A candidate gets an image.
    pub(super) fn record_image(&mut self, i: usize, image: &str) {
        if let Some(known) = self.by_image.get_mut(image) {
            known.has_image[i] = true;
            known.update_index(&self.machines, i);
        }
    }

    /// Indexes the candidates that have an image, once a scheduling cycle.
    pub(super) fn index_image(&mut self, image: &str, machines: &BTreeMap<MachineId, Machine>) {
        if self.by_image.contains_key(image) {
            return;
        }
        let has_image = |c: &Candidate| machines.get(&c.id).is_some_and(|m| m.has_image(image));
        let known = ImageIndex {
            has_image: self.machines.iter().map(has_image).collect(),
            index: Index::new(self.machines.len()),
        };
        self.by_image.insert(image.to_owned(), known);
    }

    /// The machines of a search order that have an image, or were cleared.
    pub(super) fn with_image(
        &self,
        order: &SearchOrder,
        image: &str,
        cleared: Vec<usize>,
    ) -> SearchOrder {
        let SearchOrder::Some(some) = order else {
            let image = image.to_owned();
            return SearchOrder::WithImage { image, cleared };
        };
        let known = self.by_image.get(image);
        let has_image = |i: usize| known.is_some_and(|known| known.has_image[i]);
        let ready = |i: &&usize| has_image(**i) || cleared.contains(*i);
        SearchOrder::Some(some.iter().filter(ready).copied().collect())
    }

    /// The next candidate at or after a place in this order that may have room for a task in this pass: its place in the
    /// order, and which candidate it is.
    pub(super) fn next(
        &mut self,
        order: &SearchOrder,
        from: usize,
        need: &Resources,
        pass: &Pass,
    ) -> Option<(usize, usize)> {
        let kind = Kind::of(need, pass);
        match order {
            SearchOrder::Some(some) => {
                let is_of_kind = |i: usize| pass.spot.is_none_or(|s| s == self.machines[i].spot);
                let rest = some.iter().enumerate().skip(from);
                let mut of_kind = rest.filter(|(_, i)| is_of_kind(**i));
                of_kind.next().map(|(place, i)| (place, *i))
            }
            SearchOrder::All => {
                let i = self.first_from(kind, from, need)?;
                Some((i, i))
            }
            SearchOrder::WithImage { image, cleared } => {
                let known = self.by_image.get_mut(image);
                let amounts = need.amounts();
                let imaged = known.and_then(|k| k.first_from(&self.machines, kind, from, &amounts));
                let is_of_kind = |i: &usize| self.machines[*i].amounts(kind) != Index::ABSENT_KEY;
                let mut cleared = cleared.iter().copied().filter(|i| *i >= from);
                let cleared = cleared.find(is_of_kind);
                let i = imaged.into_iter().chain(cleared).min()?;
                Some((i, i))
            }
        }
    }

    /// The first candidate of a kind at or after a position that fits.
    fn first_from(&mut self, kind: Kind, from: usize, need: &Resources) -> Option<usize> {
        let machines = &self.machines;
        let need = need.amounts();
        self.index
            .first_from(kind as usize, from, &need, |i| machines[i].amounts(kind))
    }

    /// At most `size` candidates with room for a task, drawn at random, in id order; all of them where they are no more.
    ///
    /// Guards against a sample that misses the few machines that fit, and against a sample that costs as much as offering
    /// the job to everybody.
    pub(super) fn sample(
        &mut self,
        need: &Resources,
        size: usize,
        rng: &mut fastrand::Rng,
    ) -> Vec<usize> {
        let kind = Kind::of(need, &Pass::default());
        let mut found = Vec::new();
        let mut at = 0;
        while let Some(i) = self.first_from(kind, at, need) {
            if found.len() == size {
                return self.draw(kind, need, size, rng);
            }
            found.push(i);
            at = i + 1;
        }
        found
    }

    /// The first candidates with room after `size` places drawn at random; where that one was drawn before, the next. There
    /// are more of them than are drawn.
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
                let after = self.first_from(kind, from, need);
                let Some(i) = after.or_else(|| self.first_from(kind, 0, need)) else {
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
