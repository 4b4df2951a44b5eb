//! The machines that a round may offer jobs to, indexed by their free room, so that what is full is never looked at.

use super::ids::MachineId;
use super::machine::{MOST_TASKS, Machine};
use super::offers::Pass;
use crate::units::Room;
use ravenhead_index::FirstFit;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// What the index knows of a candidate: its free room, and as flags what passes ask for.
type Amounts = [i64; 5];

/// A machine as a round sees it.
#[derive(Debug, Clone)]
pub(super) struct Candidate {
    pub(super) id: MachineId,
    spot: bool,
    free: Room,
    /// All of its accelerators.
    cards: i64,
    /// Tasks that its next report will name.
    tasks: usize,
}

impl Candidate {
    fn new(id: &MachineId, m: &Machine) -> Candidate {
        Candidate {
            id: id.clone(),
            spot: m.spot,
            free: m.free(),
            cards: m.total.cards,
            tasks: m.reported_tasks(),
        }
    }

    pub(super) fn uses_cards(&self) -> bool {
        self.free.cards < self.cards
    }

    /// Whether a task fits; what takes no accelerators leaves so much for each free one beside others in use.
    pub(super) fn holds(&self, need: &Room, beside_a_card: Room) -> bool {
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

    /// A candidate holds no task for which the index says that it has too little.
    fn amounts(&self) -> Amounts {
        if self.tasks >= MOST_TASKS {
            return [i64::MIN; 5];
        }
        [
            self.free.cores,
            self.free.cards,
            self.free.ram,
            i64::from(self.spot),
            i64::from(self.uses_cards()),
        ]
    }
}

/// The least amounts of a candidate that may take a task in a pass.
fn least_amounts(need: &Room, pass: &Pass) -> Amounts {
    let spot = pass.spot == Some(true);
    [
        need.cores,
        need.cards,
        need.ram,
        i64::from(spot),
        i64::from(pass.beside_cards),
    ]
}

/// The candidates of a round, in id order.
pub(super) struct Candidates {
    machines: Vec<Candidate>,
    index: FirstFit<5>,
    /// Candidates by an image that they have or get, for images that were asked for in this round.
    with_image: HashMap<String, Vec<usize>>,
}

/// Which candidates one job is offered to in a round.
#[derive(Debug)]
pub(super) enum Order {
    /// All of them.
    All,
    /// These, in id order.
    Some(Vec<usize>),
}

impl Candidates {
    /// The machines that take offers and have room for so much, in id order.
    pub(super) fn new(machines: &BTreeMap<MachineId, Machine>, smallest: &Room) -> Candidates {
        let with_room = machines
            .iter()
            .filter(|(_, m)| m.takes_offers() && m.free().holds(smallest));
        let machines: Vec<Candidate> = with_room.map(|(id, m)| Candidate::new(id, m)).collect();
        Candidates {
            index: FirstFit::new(machines.iter().map(Candidate::amounts)),
            machines,
            with_image: HashMap::new(),
        }
    }

    pub(super) fn len(&self) -> usize {
        self.machines.len()
    }

    pub(super) fn get(&self, i: usize) -> &Candidate {
        &self.machines[i]
    }

    /// The place of a machine, if it is a candidate.
    pub(super) fn position(&self, id: &MachineId) -> Option<usize> {
        self.machines.binary_search_by(|m| m.id.cmp(id)).ok()
    }

    /// One more task was placed on a candidate.
    pub(super) fn place(&mut self, i: usize, need: &Room) {
        self.machines[i].tasks += 1;
        self.take(i, need);
    }

    /// Room of a candidate is spoken for.
    pub(super) fn take(&mut self, i: usize, need: &Room) {
        self.machines[i].free -= *need;
        self.index.set(i, self.machines[i].amounts());
    }

    /// Room of a candidate, which a placement had taken, is free again.
    pub(super) fn take_back(&mut self, i: usize, need: &Room) {
        self.machines[i].free += *need;
        self.machines[i].tasks -= 1;
        self.index.set(i, self.machines[i].amounts());
    }

    /// A candidate gets an image.
    pub(super) fn note_image(&mut self, i: usize, image: &str) {
        if let Some(known) = self.with_image.get_mut(image)
            && let Err(place) = known.binary_search(&i)
        {
            known.insert(place, i);
        }
    }

    /// The candidates that have an image, in id order. They are looked up once a round for each image.
    pub(super) fn with_image(
        &mut self,
        image: &str,
        machines: &BTreeMap<MachineId, Machine>,
    ) -> Vec<usize> {
        if let Some(known) = self.with_image.get(image) {
            return known.clone();
        }
        let has_image = |c: &Candidate| machines.get(&c.id).is_some_and(|m| m.has_image(image));
        let all = self.machines.iter().enumerate();
        let found: Vec<usize> = all.filter(|(_, c)| has_image(c)).map(|(i, _)| i).collect();
        self.with_image.insert(image.to_owned(), found.clone());
        found
    }

    /// The next candidate at or after a place in this order that may have room for a task in this pass: its place in the
    /// order, and which candidate it is.
    pub(super) fn next(
        &self,
        order: &Order,
        from: usize,
        need: &Room,
        pass: &Pass,
    ) -> Option<(usize, usize)> {
        let is_of_kind = |i: usize| pass.spot.is_none_or(|spot| spot == self.machines[i].spot);
        match order {
            Order::Some(some) => {
                let rest = some.iter().enumerate().skip(from);
                let mut of_kind = rest.filter(|(_, i)| is_of_kind(**i));
                of_kind.next().map(|(place, i)| (place, *i))
            }
            Order::All => {
                let least = least_amounts(need, pass);
                let mut at = from;
                loop {
                    let i = self.index.first_from(at, &least)?;
                    if is_of_kind(i) {
                        return Some((i, i));
                    }
                    at = i + 1;
                }
            }
        }
    }

    /// At most `size` candidates with room for a task, drawn at random, in id order; all of them where they are no more.
    ///
    /// Guards against a sample that misses the few machines that fit, and against a sample that costs as much as offering
    /// the job to everybody.
    pub(super) fn sample(&self, need: &Room, size: usize, rng: &mut fastrand::Rng) -> Vec<usize> {
        let least = least_amounts(need, &Pass::default());
        let mut found = Vec::new();
        let mut at = 0;
        while let Some(i) = self.index.first_from(at, &least) {
            if found.len() == size {
                return self.draw(&least, size, rng);
            }
            found.push(i);
            at = i + 1;
        }
        found
    }

    /// The first candidates with room after `size` places drawn at random; where that one was drawn before, the next. There
    /// are more of them than are drawn.
    fn draw(&self, least: &Amounts, size: usize, rng: &mut fastrand::Rng) -> Vec<usize> {
        let mut drawn = BTreeSet::new();
        for _ in 0..size {
            let mut from = rng.usize(..self.machines.len());
            loop {
                let after = self.index.first_from(from, least);
                let Some(i) = after.or_else(|| self.index.first_from(0, least)) else {
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
