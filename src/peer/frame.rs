//! Frames: the length of the body in four bytes, the most significant first, and the body in `bitcode`.

use super::messages::Frame;
use crate::net::Stream;
use crate::scheduler::MAX_TASKS;
use bitcode::{Decode, Encode};
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io;

/// Bytes that a machine's name takes in a frame, with room to spare.
const NAME_BYTES: usize = 32;
/// The largest frame: the cancellation of a job of as many tasks as the protocol allows, each on a machine of its own. A
/// heartbeat of 64 KiB stays well below.
pub(super) const MAX_FRAME: usize = MAX_TASKS as usize * NAME_BYTES + 512 * 1024;

/// Reads one frame.
///
/// # Errors
///
/// Fails where the connection does, and with `InvalidData` where a frame is too long or can't be decoded.
pub(super) async fn read_frame<T: for<'a> Decode<'a>>(stream: &mut Stream) -> io::Result<Frame<T>> {
    let mut length = [0u8; 4];
    stream.read_exact(&mut length).await?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "frame too long"));
    }
    // Room is taken as bytes come, not as they are announced.
    let mut bytes = Vec::new();
    let mut body = stream.take(length as u64);
    if body.read_to_end(&mut bytes).await? < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    bitcode::decode(&bytes).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e.to_string()))
}

/// Writes one frame.
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
