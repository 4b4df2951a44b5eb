//! First-fit search restricted to the slots of one kind.

use crate::FirstFit;

/// A first-fit index over slots that belong to one or more of `K` kinds, with a separate [`FirstFit`] tree for each
/// kind. A tree is built when its kind is first searched.
///
/// A single tree that stores the kind as a further amount would be slow: where full slots of the kind are mixed with
/// free slots of another kind, every range appears to contain a free slot of the kind, and a search would visit all
/// slots.
#[derive(Debug, Clone)]
pub struct FirstFitByKind<const N: usize, const K: usize> {
    slots: usize,
    trees: [Option<FirstFit<N>>; K],
}

impl<const N: usize, const K: usize> FirstFitByKind<N, K> {
    /// The amounts to return for a slot that does not belong to a kind. A search for any larger amount skips it.
    pub const ABSENT_AMOUNTS: [i64; N] = [i64::MIN; N];

    /// Creates an index over `slots` slots. Amounts are read when a kind is first searched.
    pub fn new(slots: usize) -> FirstFitByKind<N, K> {
        FirstFitByKind {
            slots,
            trees: std::array::from_fn(|_| None),
        }
    }

    /// Returns the first slot of a kind at or after `from` that has at least `need` of each amount.
    ///
    /// `amounts` returns the amounts of a slot for this kind. It is called for every slot if the kind was not searched
    /// before, and not at all otherwise.
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

    /// Updates a slot; `amounts` returns the slot's amounts for a kind.
    pub fn set(&mut self, slot: usize, amounts: impl Fn(usize) -> [i64; N]) {
        for (kind, tree) in self.trees.iter_mut().enumerate() {
            if let Some(tree) = tree {
                tree.set(slot, amounts(kind));
            }
        }
    }

    /// Appends a slot; `amounts` returns the slot's amounts for a kind.
    pub fn push(&mut self, amounts: impl Fn(usize) -> [i64; N]) {
        self.slots += 1;
        for (kind, tree) in self.trees.iter_mut().enumerate() {
            if let Some(tree) = tree {
                tree.push(amounts(kind));
            }
        }
    }

    /// Returns the number of tree nodes visited by all searches so far. Tests use it to bound the work.
    pub fn visited(&self) -> u64 {
        self.trees.iter().flatten().map(FirstFit::visited).sum()
    }
}
