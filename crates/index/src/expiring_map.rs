//! A map whose entries expire a fixed time after they were written.

use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::Hash;

/// A hash map with one time to live for all entries.
///
/// Expired entries are never returned. They are removed by a sweep that runs at most once per lifetime, so that an
/// operation takes amortized constant time regardless of the number of entries. The map holds at most the entries
/// written within two lifetimes.
#[derive(Debug, Clone)]
pub struct ExpiringMap<K, V> {
    lifetime: u64,
    entries: HashMap<K, (u64, V)>,
    last_sweep_at: u64,
}

impl<K: Hash + Eq, V> ExpiringMap<K, V> {
    /// Creates an empty map whose entries expire after `lifetime`, in the unit of the times that callers pass in.
    pub fn new(lifetime: u64) -> ExpiringMap<K, V> {
        ExpiringMap {
            lifetime,
            entries: HashMap::new(),
            last_sweep_at: 0,
        }
    }

    /// Inserts an entry and returns the previous value of the key, if it had not expired.
    pub fn insert(&mut self, key: K, value: V, now: u64) -> Option<V> {
        self.sweep(now);
        let previous = self.entries.insert(key, (now, value));
        previous
            .filter(|(written_at, _)| self.is_live(*written_at, now))
            .map(|(_, value)| value)
    }

    /// Returns an entry's value and the time at which it was written, or `None` if it is missing or expired.
    pub fn get<Q>(&self, key: &Q, now: u64) -> Option<(u64, &V)>
    where
        K: Borrow<Q>,
        Q: Hash + Eq + ?Sized,
    {
        let (written_at, value) = self.entries.get(key)?;
        self.is_live(*written_at, now)
            .then_some((*written_at, value))
    }

    /// Iterates over all entries that have not expired, in no particular order.
    pub fn iter(&self, now: u64) -> impl Iterator<Item = (&K, &V)> {
        let live = self
            .entries
            .iter()
            .filter(move |(_, (written_at, _))| self.is_live(*written_at, now));
        live.map(|(key, (_, value))| (key, value))
    }

    /// Returns the number of entries in memory, including expired ones that are not yet removed.
    pub fn stored_entries(&self) -> usize {
        self.entries.len()
    }

    fn is_live(&self, written_at: u64, now: u64) -> bool {
        now.saturating_sub(written_at) <= self.lifetime
    }

    fn sweep(&mut self, now: u64) {
        if now.saturating_sub(self.last_sweep_at) <= self.lifetime {
            return;
        }
        self.last_sweep_at = now;
        let lifetime = self.lifetime;
        self.entries
            .retain(|_, (written_at, _)| now.saturating_sub(*written_at) <= lifetime);
    }
}
