//! A log from which several readers read at their own pace.

use std::collections::VecDeque;

/// A reader's place in a [`CursorLog`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Cursor(u64);

/// Entries in the order in which they came; old ones are dropped from the front.
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

    /// The place after the last entry, for a reader that wants only what comes from now on.
    pub fn end(&self) -> Cursor {
        Cursor(self.dropped + self.entries.len() as u64)
    }

    /// At most `most` entries from a place on, and the place after them. What was dropped meanwhile is skipped.
    pub fn read(&self, from: Cursor, most: usize) -> (impl Iterator<Item = &T>, Cursor) {
        let first = from.0.max(self.dropped);
        let skip = usize::try_from(first - self.dropped).unwrap_or(usize::MAX);
        let count = self.entries.len().saturating_sub(skip).min(most);
        let entries = self.entries.iter().skip(skip).take(count);
        (entries, Cursor(first + count as u64))
    }

    /// Drops entries from the front as long as they are old.
    pub fn drop_while(&mut self, mut is_old: impl FnMut(&T) -> bool) {
        while self.entries.front().is_some_and(&mut is_old) {
            self.entries.pop_front();
            self.dropped += 1;
        }
    }
}
