//! First fit among the slots of one kind.

use crate::FirstFit;

/// First fit over the same slots for `K` kinds of them, each kind with a tree of its own that is built when it is first
/// asked for.
///
/// A flag among the amounts of one tree would not do: where full slots of the kind stand beside free slots of another, every
/// range seems to have a free slot of the kind, and a search would look at all of them.
#[derive(Debug, Clone)]
pub struct FirstFitByKind<const N: usize, const K: usize> {
    slots: usize,
    trees: [Option<FirstFit<N>>; K],
}

impl<const N: usize, const K: usize> FirstFitByKind<N, K> {
    /// The amounts of a slot that is not of a kind.
    pub const ABSENT_KEY: [i64; N] = [i64::MIN; N];

    /// So many slots, of which nothing is known yet.
    pub fn new(slots: usize) -> FirstFitByKind<N, K> {
        FirstFitByKind {
            slots,
            trees: std::array::from_fn(|_| None),
        }
    }

    /// The first slot of a kind at or after `from` that has at least these amounts. `amounts` tells those of a slot as one
    /// of the kind, for the case that the kind was not asked for before.
    pub fn first_from(
        &mut self,
        kind: usize,
        from: usize,
        need: &[i64; N],
        amounts: impl Fn(usize) -> [i64; N],
    ) -> Option<usize> {
        let slots = self.slots;
        let tree = self.trees[kind].get_or_insert_with(|| FirstFit::new((0..slots).map(amounts)));
        tree.first_from(from, need)
    }

    /// The amounts of a slot changed; `amounts` tells them for each kind.
    pub fn set(&mut self, slot: usize, amounts: impl Fn(usize) -> [i64; N]) {
        for (kind, tree) in self.trees.iter_mut().enumerate() {
            if let Some(tree) = tree {
                tree.set(slot, amounts(kind));
            }
        }
    }

    /// Appends a slot; `amounts` tells its amounts for each kind.
    pub fn push(&mut self, amounts: impl Fn(usize) -> [i64; N]) {
        self.slots += 1;
        for (kind, tree) in self.trees.iter_mut().enumerate() {
            if let Some(tree) = tree {
                tree.push(amounts(kind));
            }
        }
    }

    /// How many nodes searches have looked at so far, for tests that bound the work.
    pub fn visited(&self) -> u64 {
        self.trees.iter().flatten().map(FirstFit::visited).sum()
    }
}
