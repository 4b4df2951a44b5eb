//! Frame encoding: the length of the body as a big-endian `u32`, followed by the body in `bitcode`.

use super::messages::Frame;
use crate::net::Stream;
use crate::scheduler::MAX_TASKS;
use bitcode::{Decode, Encode};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io;

/// Upper bound of the bytes that one machine name takes in a frame.
const MAX_NAME_BYTES: usize = 32;
/// Maximum body length in bytes: the cancellation of a job with the maximum number of tasks, each on a different
/// machine, fits. A heartbeat of 64 KiB is far smaller.
pub(super) const MAX_FRAME: usize = MAX_TASKS as usize * MAX_NAME_BYTES + 512 * 1024;

/// Reads one frame.
///
/// # Errors
///
/// Fails if the connection fails, and with `InvalidData` if the frame is too long or can't be decoded.
pub(super) async fn read_frame<T: for<'a> Decode<'a>>(stream: &mut Stream) -> io::Result<Frame<T>> {
    let mut length = [0u8; 4];
    stream.read_exact(&mut length).await?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "frame too long"));
    }
    // Memory is allocated as bytes arrive, so that a wrong length alone can't allocate the maximum.
    let mut bytes = Vec::new();
    let mut body = stream.take(length as u64);
    if body.read_to_end(&mut bytes).await? < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    bitcode::decode(&bytes).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e.to_string()))
}

/// Writes one frame with a single write.
pub(super) async fn write_frame<T: Encode>(
    stream: &mut Stream,
    frame: &Frame<T>,
) -> io::Result<()> {
    let body = bitcode::encode(frame);
    let mut bytes = Vec::with_capacity(4 + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
    bytes.extend_from_slice(&body);
    stream.write_all(&bytes).await
}
