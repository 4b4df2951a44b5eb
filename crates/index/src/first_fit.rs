//! First fit by several amounts at once: the first slot, in order, that has enough of each.

use std::cell::Cell;

/// A segment tree over slots with `N` amounts each.
///
/// Every inner node keeps the largest of each amount below it, so that a search skips whole ranges in which no slot has
/// enough of some amount. A slot's amounts change in `O(log n)`; a search visits `O(log n)` nodes where the amounts of a
/// slot go together, and never more than all of them.
#[derive(Debug, Clone)]
pub struct FirstFit<const N: usize> {
    slots: usize,
    leaves: usize,
    /// The root is node 1; the children of node `i` are `2i` and `2i + 1`; the leaves come last.
    nodes: Vec<[i64; N]>,
    visited: Cell<u64>,
}

impl<const N: usize> FirstFit<N> {
    /// A tree over these slots.
    pub fn new(amounts: impl IntoIterator<Item = [i64; N]>) -> FirstFit<N> {
        let amounts: Vec<[i64; N]> = amounts.into_iter().collect();
        let slots = amounts.len();
        let leaves = slots.next_power_of_two();
        let mut nodes = vec![[i64::MIN; N]; 2 * leaves];
        nodes[leaves..leaves + slots].copy_from_slice(&amounts);
        for node in (1..leaves).rev() {
            nodes[node] = largest(&nodes[2 * node], &nodes[2 * node + 1]);
        }
        FirstFit {
            slots,
            leaves,
            nodes,
            visited: Cell::new(0),
        }
    }

    /// The number of slots.
    pub fn len(&self) -> usize {
        self.slots
    }

    /// Whether there is no slot.
    pub fn is_empty(&self) -> bool {
        self.slots == 0
    }

    /// Appends a slot.
    pub fn push(&mut self, amounts: [i64; N]) {
        if self.slots == self.leaves {
            let old = self.nodes[self.leaves..].to_vec();
            let visited = self.visited.get();
            *self = FirstFit::new(old.into_iter().chain([amounts]));
            self.visited.set(visited);
            return;
        }
        self.slots += 1;
        self.set(self.slots - 1, amounts);
    }

    /// Changes the amounts of a slot.
    pub fn set(&mut self, slot: usize, amounts: [i64; N]) {
        assert!(slot < self.slots, "slot {slot} of {}", self.slots);
        let mut node = self.leaves + slot;
        self.nodes[node] = amounts;
        while node > 1 {
            node /= 2;
            self.nodes[node] = largest(&self.nodes[2 * node], &self.nodes[2 * node + 1]);
        }
    }

    /// The first slot at or after `from` that has at least these amounts.
    pub fn first_from(&self, from: usize, need: &[i64; N]) -> Option<usize> {
        if from >= self.slots {
            return None;
        }
        let mut node = self.leaves + from;
        // Upwards: the node itself and then, level by level, what lies to the right of it.
        loop {
            if self.has(node, need)
                && let Some(slot) = self.first_below(node, need)
            {
                return Some(slot);
            }
            while node % 2 == 1 {
                if node == 1 {
                    return None;
                }
                node /= 2;
            }
            node += 1;
        }
    }

    /// The first fitting slot below a node that may have one.
    fn first_below(&self, node: usize, need: &[i64; N]) -> Option<usize> {
        if node >= self.leaves {
            let slot = node - self.leaves;
            return (slot < self.slots).then_some(slot);
        }
        [2 * node, 2 * node + 1]
            .into_iter()
            .filter(|child| self.has(*child, need))
            .find_map(|child| self.first_below(child, need))
    }

    fn has(&self, node: usize, need: &[i64; N]) -> bool {
        self.visited.set(self.visited.get() + 1);
        self.nodes[node].iter().zip(need).all(|(has, n)| has >= n)
    }

    /// How many nodes searches have looked at so far, for tests that bound the work.
    pub fn visited(&self) -> u64 {
        self.visited.get()
    }
}

fn largest<const N: usize>(a: &[i64; N], b: &[i64; N]) -> [i64; N] {
    std::array::from_fn(|i| a[i].max(b[i]))
}
