//! A digest of all that goes over the in-memory network: when, between which hosts, and its bytes.
//!
//! The date in the heads of answers is the real one, and left out.

use std::cell::Cell;

/// The digest of nothing.
const EMPTY: u64 = 0xcbf2_9ce4_8422_2325;
/// What each byte is multiplied in by.
const PRIME: u64 = 0x0000_0100_0000_01b3;
/// How the line of a head begins that tells the real date.
const DATE: &[u8] = b"date: ";

/// FNV-1a of some bytes after those that are in a digest already.
fn fnv(digest: u64, bytes: &[u8]) -> u64 {
    let add = |digest: u64, byte: &u8| (digest ^ u64::from(*byte)).wrapping_mul(PRIME);
    bytes.iter().fold(digest, add)
}

/// The digest of some bytes.
pub fn digest(bytes: &[u8]) -> u64 {
    fnv(EMPTY, bytes)
}

/// What went over the network so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wire {
    /// The digest.
    pub digest: u64,
    /// How many writes there were.
    pub writes: u64,
    /// How many bytes they had.
    pub bytes: u64,
}

thread_local! {
    static WIRE: Cell<Option<Wire>> = const { Cell::new(None) };
}

/// Begins a digest of what this thread's networks carry.
pub fn begin() {
    WIRE.set(Some(Wire {
        digest: EMPTY,
        writes: 0,
        bytes: 0,
    }));
}

/// Ends it.
pub fn end() -> Wire {
    WIRE.take().expect("it was begun")
}

/// Something was written.
pub fn note(at: u64, from: usize, to: usize, bytes: &[u8]) {
    let Some(mut wire) = WIRE.get() else { return };
    for number in [at, from as u64, to as u64] {
        wire.digest = fnv(wire.digest, &number.to_be_bytes());
    }
    for line in bytes.split_inclusive(|b| *b == b'\n') {
        if !line.starts_with(DATE) {
            wire.digest = fnv(wire.digest, line);
            wire.bytes += line.len() as u64;
        }
    }
    wire.writes += 1;
    WIRE.set(Some(wire));
}
