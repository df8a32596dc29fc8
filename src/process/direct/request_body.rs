//! Bodies of callers' requests, and the memory that they take together.

use std::{cell::Cell, rc::Rc};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::platform::caller::RequestRejection;

/// Part of a VM's memory that bodies may take together.
const MEMORY_SHARE: usize = 4;
/// Size up to which a body is not counted, so that large ones do not keep small requests out. The
/// limit on open files bounds how many of these there are.
const UNCOUNTED_BYTES: usize = 16 * 1024;
/// Size of the buffer for a body whose length is not known yet.
const INITIAL_BUFFER_BYTES: usize = 4 * 1024;

/// Memory that is left for the bodies of requests.
#[derive(Debug, Clone)]
pub(super) struct BodyMemory {
    left: Rc<Cell<usize>>,
}

/// Part of the memory for bodies, until it is dropped.
#[derive(Debug)]
struct MemoryShare {
    left: Rc<Cell<usize>>,
    bytes: usize,
}

/// Body of a request, which counts against the memory until it is dropped.
#[derive(Debug)]
pub(super) struct RequestBody {
    pub(super) bytes: Bytes,
    _share: MemoryShare,
}

impl BodyMemory {
    /// Returns the memory for bodies in a VM with this much memory.
    pub(super) fn of_vm(memory_bytes: usize) -> BodyMemory {
        BodyMemory { left: Rc::new(Cell::new(memory_bytes / MEMORY_SHARE)) }
    }

    /// Reads a body of up to `limit` bytes.
    ///
    /// An announced length that is too large, or for which there is no memory, is rejected before
    /// the caller sends the body.
    ///
    /// # Errors
    /// Returns why the request is rejected.
    pub(super) async fn read(
        &self,
        mut body: Incoming,
        limit: usize,
    ) -> Result<RequestBody, RequestRejection> {
        let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        if announced > limit {
            return Err(RequestRejection::BodyTooLarge);
        }
        let mut share = MemoryShare { left: self.left.clone(), bytes: 0 };
        share.grow(announced)?;
        let is_known = body.size_hint().exact().is_some();
        let capacity = if is_known { announced } else { INITIAL_BUFFER_BYTES };
        let mut buffer = BytesMut::with_capacity(capacity);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| RequestRejection::BodyIncomplete)?;
            let Ok(data) = frame.into_data() else { continue };
            if buffer.len() + data.len() > limit {
                return Err(RequestRejection::BodyTooLarge);
            }
            // A buffer that is full grows to twice its size.
            if buffer.len() + data.len() > buffer.capacity() {
                share.grow((buffer.len() + data.len()).max(2 * buffer.capacity()))?;
            }
            buffer.extend_from_slice(&data);
        }
        Ok(RequestBody { bytes: buffer.freeze(), _share: share })
    }
}

impl MemoryShare {
    /// Takes memory for a buffer of this size.
    fn grow(&mut self, size: usize) -> Result<(), RequestRejection> {
        let counted = if size > UNCOUNTED_BYTES { size } else { 0 };
        let more = counted.saturating_sub(self.bytes);
        let left = self.left.get().checked_sub(more).ok_or(RequestRejection::NoMemory)?;
        self.left.set(left);
        self.bytes += more;
        Ok(())
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.left.set(self.left.get() + self.bytes);
    }
}
