//! A map whose entries are forgotten some time after they were written.

use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::Hash;

/// A map of entries that last for a while.
///
/// Expired entries are never returned. They are removed by a sweep that runs at most once in a lifetime, so that an
/// operation costs constant time on average, however many entries there are; at most those of two lifetimes are kept.
#[derive(Debug, Clone)]
pub struct ExpiringMap<K, V> {
    lifetime: u64,
    entries: HashMap<K, (u64, V)>,
    swept_at: u64,
}

impl<K: Hash + Eq, V> ExpiringMap<K, V> {
    /// An empty map whose entries last for `lifetime`, in the unit of the times that are passed in.
    pub fn new(lifetime: u64) -> ExpiringMap<K, V> {
        ExpiringMap {
            lifetime,
            entries: HashMap::new(),
            swept_at: 0,
        }
    }

    /// Writes an entry; returns the one before it, if that had not expired.
    pub fn insert(&mut self, key: K, value: V, now: u64) -> Option<V> {
        self.sweep(now);
        let before = self.entries.insert(key, (now, value));
        before
            .filter(|(at, _)| self.lasts(*at, now))
            .map(|(_, value)| value)
    }

    /// The entry and when it was written.
    pub fn get<Q>(&self, key: &Q, now: u64) -> Option<(u64, &V)>
    where
        K: Borrow<Q>,
        Q: Hash + Eq + ?Sized,
    {
        let (at, value) = self.entries.get(key)?;
        self.lasts(*at, now).then_some((*at, value))
    }

    /// All entries that have not expired, in no particular order.
    pub fn iter(&self, now: u64) -> impl Iterator<Item = (&K, &V)> {
        let lasting = self
            .entries
            .iter()
            .filter(move |(_, (at, _))| self.lasts(*at, now));
        lasting.map(|(key, (_, value))| (key, value))
    }

    /// How many entries are held, expired ones included.
    pub fn held(&self) -> usize {
        self.entries.len()
    }

    fn lasts(&self, at: u64, now: u64) -> bool {
        now.saturating_sub(at) <= self.lifetime
    }

    fn sweep(&mut self, now: u64) {
        if now.saturating_sub(self.swept_at) <= self.lifetime {
            return;
        }
        self.swept_at = now;
        let lifetime = self.lifetime;
        self.entries
            .retain(|_, (at, _)| now.saturating_sub(*at) <= lifetime);
    }
}
