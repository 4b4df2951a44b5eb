//! First-fit search over several amounts at once: finds the first slot, in order, that has enough of each.

use std::cell::Cell;

/// A segment tree over slots with `N` amounts each.
///
/// Every inner node stores the maximum of each amount in its subtree, so that a search skips ranges in which no slot
/// has enough of some amount. An update takes `O(log n)`. A search visits `O(log n)` nodes where the amounts of a slot
/// are correlated, and all nodes in the worst case.
#[derive(Debug, Clone)]
pub struct FirstFit<const N: usize> {
    slots: usize,
    leaves: usize,
    /// The root is node 1, the children of node `i` are `2i` and `2i + 1`, and the leaves are the second half. Leaves
    /// without a slot have the lowest possible amounts.
    nodes: Vec<[i64; N]>,
    visited: Cell<u64>,
}

impl<const N: usize> FirstFit<N> {
    /// Builds a tree from the amounts of each slot, in slot order.
    pub fn new(amounts: impl IntoIterator<Item = [i64; N]>) -> FirstFit<N> {
        let amounts: Vec<[i64; N]> = amounts.into_iter().collect();
        let slots = amounts.len();
        let leaves = slots.next_power_of_two();
        let mut nodes = vec![[i64::MIN; N]; 2 * leaves];
        nodes[leaves..leaves + slots].copy_from_slice(&amounts);
        for node in (1..leaves).rev() {
            nodes[node] = elementwise_max(&nodes[2 * node], &nodes[2 * node + 1]);
        }
        FirstFit {
            slots,
            leaves,
            nodes,
            visited: Cell::new(0),
        }
    }

    /// Returns the number of slots.
    pub fn len(&self) -> usize {
        self.slots
    }

    /// Returns whether the tree has no slots.
    pub fn is_empty(&self) -> bool {
        self.slots == 0
    }

    /// Appends a slot. When the leaves are used up, the tree is rebuilt with twice as many.
    pub fn push(&mut self, amounts: [i64; N]) {
        if self.slots == self.leaves {
            let amounts_so_far = self.nodes[self.leaves..].to_vec();
            let visited = self.visited.get();
            *self = FirstFit::new(amounts_so_far.into_iter().chain([amounts]));
            self.visited.set(visited);
            return;
        }
        self.slots += 1;
        self.set(self.slots - 1, amounts);
    }

    /// Sets the amounts of a slot.
    ///
    /// # Panics
    ///
    /// Panics if the slot does not exist.
    pub fn set(&mut self, slot: usize, amounts: [i64; N]) {
        assert!(slot < self.slots, "slot {slot} of {}", self.slots);
        let mut node = self.leaves + slot;
        self.nodes[node] = amounts;
        while node > 1 {
            node /= 2;
            self.nodes[node] = elementwise_max(&self.nodes[2 * node], &self.nodes[2 * node + 1]);
        }
    }

    /// Returns the first slot at or after `from` that has at least `need` of each amount.
    pub fn first_from(&self, from: usize, need: &[i64; N]) -> Option<usize> {
        if from >= self.slots {
            return None;
        }
        let mut node = self.leaves + from;
        // Ascends from the leaf: checks the node itself, then the next subtree to its right on each level.
        loop {
            if self.satisfies(node, need)
                && let Some(slot) = self.first_in_subtree(node, need)
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

    /// Returns the first slot with enough of each amount in the subtree of a node whose maxima satisfy `need`. There
    /// may be none, as the maxima can come from different slots.
    fn first_in_subtree(&self, node: usize, need: &[i64; N]) -> Option<usize> {
        if node >= self.leaves {
            let slot = node - self.leaves;
            return (slot < self.slots).then_some(slot);
        }
        [2 * node, 2 * node + 1]
            .into_iter()
            .filter(|child| self.satisfies(*child, need))
            .find_map(|child| self.first_in_subtree(child, need))
    }

    fn satisfies(&self, node: usize, need: &[i64; N]) -> bool {
        self.visited.set(self.visited.get() + 1);
        self.nodes[node]
            .iter()
            .zip(need)
            .all(|(available, needed)| available >= needed)
    }

    /// Returns the number of nodes visited by all searches so far. Tests use it to bound the work.
    pub fn visited(&self) -> u64 {
        self.visited.get()
    }
}

fn elementwise_max<const N: usize>(a: &[i64; N], b: &[i64; N]) -> [i64; N] {
    std::array::from_fn(|i| a[i].max(b[i]))
}
