//! A digest of everything sent over the in-memory network: the time, the two hosts and the bytes of each write.
//!
//! The `date` header of responses contains the real time and is left out.

use std::cell::Cell;

/// FNV-1a offset basis.
const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// FNV-1a prime.
const PRIME: u64 = 0x0000_0100_0000_01b3;
/// Start of the header line that holds the real time.
const DATE_HEADER: &[u8] = b"date: ";

/// Extends a digest by some bytes (FNV-1a).
fn fnv(digest: u64, bytes: &[u8]) -> u64 {
    let add = |digest: u64, byte: &u8| (digest ^ u64::from(*byte)).wrapping_mul(PRIME);
    bytes.iter().fold(digest, add)
}

/// Returns the FNV-1a digest of some bytes.
pub fn digest(bytes: &[u8]) -> u64 {
    fnv(OFFSET_BASIS, bytes)
}

/// Digest and totals of what has been sent over the network.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Wire {
    /// Digest of times, hosts and bytes.
    pub digest: u64,
    /// Number of writes.
    pub writes: u64,
    /// Number of bytes written, without `date` header lines.
    pub bytes: u64,
}

thread_local! {
    static WIRE: Cell<Option<Wire>> = const { Cell::new(None) };
}

/// Starts a digest of what this thread's simulated networks send.
pub fn begin() {
    WIRE.set(Some(Wire {
        digest: OFFSET_BASIS,
        writes: 0,
        bytes: 0,
    }));
}

/// Ends the digest and returns it. Panics if none was started.
pub fn end() -> Wire {
    WIRE.take().expect("a digest was started")
}

/// Adds a write at time `at` (microseconds) to the digest, if one was started.
pub fn record_write(at: u64, from: usize, to: usize, bytes: &[u8]) {
    let Some(mut wire) = WIRE.get() else { return };
    for number in [at, from as u64, to as u64] {
        wire.digest = fnv(wire.digest, &number.to_be_bytes());
    }
    for line in bytes.split_inclusive(|b| *b == b'\n') {
        if !line.starts_with(DATE_HEADER) {
            wire.digest = fnv(wire.digest, line);
            wire.bytes += line.len() as u64;
        }
    }
    wire.writes += 1;
    WIRE.set(Some(wire));
}
