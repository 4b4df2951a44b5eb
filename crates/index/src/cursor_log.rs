//! An in-memory log that several readers consume independently, each with its own cursor.

use std::collections::VecDeque;

/// A reader's position in a [`CursorLog`]. The default is the position before the first entry ever appended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Cursor(u64);

/// A log of entries in the order in which they were appended. Old entries are dropped from the front.
#[derive(Debug, Clone)]
pub struct CursorLog<T> {
    entries: VecDeque<T>,
    dropped: u64,
}

impl<T> Default for CursorLog<T> {
    fn default() -> Self {
        CursorLog {
            entries: VecDeque::new(),
            dropped: 0,
        }
    }
}

impl<T> CursorLog<T> {
    /// Appends an entry.
    pub fn push(&mut self, entry: T) {
        self.entries.push_back(entry);
    }

    /// Returns the position after the last entry, for a reader that only needs entries appended later.
    pub fn end(&self) -> Cursor {
        Cursor(self.dropped + self.entries.len() as u64)
    }

    /// Returns at most `limit` entries starting at a position, and the position after them. Entries that were dropped
    /// in the meantime are skipped.
    pub fn read(&self, from: Cursor, limit: usize) -> (impl Iterator<Item = &T>, Cursor) {
        let first = from.0.max(self.dropped);
        let skip = usize::try_from(first - self.dropped).unwrap_or(usize::MAX);
        let count = self.entries.len().saturating_sub(skip).min(limit);
        let entries = self.entries.iter().skip(skip).take(count);
        (entries, Cursor(first + count as u64))
    }

    /// Drops entries from the front until `is_old` returns `false` for the first entry.
    pub fn drop_while(&mut self, mut is_old: impl FnMut(&T) -> bool) {
        while self.entries.front().is_some_and(&mut is_old) {
            self.entries.pop_front();
            self.dropped += 1;
        }
    }
}
