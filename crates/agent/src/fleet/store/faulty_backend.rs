//! A storage backend for tests, whose writes and syncs can be made to fail. Data that was written but not synced may be lost when
//! the backend is opened again.

use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The error number of a full disk.
pub const ENOSPC: i32 = 28;
/// The error number of a failed input or output.
pub const EIO: i32 = 5;

/// When a failing operation fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FailurePoint {
    /// Before it has any effect.
    Before,
    /// After half of it is done.
    Middle,
    /// After all of it is done.
    After,
}

/// Which data is there when the backend is opened again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Retained {
    /// All written data.
    All,
    /// Only synced data.
    Synced,
    /// Synced data, and every second write after the last sync.
    Some,
}

#[derive(Debug, Default)]
struct Inner {
    synced: Vec<u8>,
    written: Vec<u8>,
    /// The writes since the last sync.
    unsynced: Vec<(usize, Vec<u8>)>,
    operations: usize,
    /// The number of the operation that fails, when in the operation it fails, and its error number.
    failure: Option<(usize, FailurePoint, i32)>,
    /// The error number of all operations while the backend is down.
    down: Option<i32>,
    failed: bool,
}

/// The backend; its clones share one content.
#[derive(Debug, Clone, Default)]
pub struct FaultyBackend(Arc<Mutex<Inner>>);

impl FaultyBackend {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a separate backend with a copy of the present content.
    pub fn copy(&self) -> FaultyBackend {
        let Inner { synced, written, unsynced, operations, .. } = &*self.inner();
        let (synced, written, unsynced) = (synced.clone(), written.clone(), unsynced.clone());
        let inner = Inner { synced, written, unsynced, operations: *operations, ..Inner::default() };
        FaultyBackend(Arc::new(Mutex::new(inner)))
    }

    /// Returns the number of writes, changes of length and syncs so far.
    pub fn operations(&self) -> usize {
        self.inner().operations
    }

    /// Makes the operation with this number, as counted by [`FaultyBackend::operations`], fail.
    pub fn fail_at(&self, operation: usize, point: FailurePoint, errno: i32) {
        self.inner().failure = Some((operation, point, errno));
    }

    /// Whether an operation has failed since the backend was last opened.
    pub fn has_failed(&self) -> bool {
        self.inner().failed
    }

    /// Makes all writes, changes of length and syncs fail with this error number, or none if it is `None`.
    pub fn set_down(&self, errno: Option<i32>) {
        self.inner().down = errno;
    }

    /// Puts the content into the state in which it is found when the backend is opened again.
    pub fn reopen(&self, retained: Retained) {
        let mut inner = self.inner();
        let Inner { synced, written, unsynced, .. } = &mut *inner;
        match retained {
            Retained::All => synced.clone_from(written),
            Retained::Synced => {}
            Retained::Some => {
                synced.resize(written.len().max(synced.len()), 0);
                for (offset, data) in unsynced.iter().step_by(2) {
                    if let Some(target) = synced.get_mut(*offset..offset + data.len()) {
                        target.copy_from_slice(data);
                    }
                }
            }
        }
        written.clone_from(synced);
        unsynced.clear();
        (inner.failed, inner.failure) = (false, None);
    }
}

impl Inner {
    /// Performs an operation, or the part of it that precedes the failure.
    fn operate(
        &mut self,
        first_half: impl FnOnce(&mut Inner),
        all: impl FnOnce(&mut Inner),
    ) -> io::Result<()> {
        let number = self.operations;
        self.operations += 1;
        let fails = self
            .failure
            .filter(|(operation, ..)| *operation == number)
            .map(|(_, point, errno)| (point, errno));
        match fails.or(self.down.map(|errno| (FailurePoint::Before, errno))) {
            None => {
                all(self);
                Ok(())
            }
            Some((point, errno)) => {
                self.failed = true;
                match point {
                    FailurePoint::Before => {}
                    FailurePoint::Middle => first_half(self),
                    FailurePoint::After => all(self),
                }
                Err(io::Error::from_raw_os_error(errno))
            }
        }
    }

    fn put(&mut self, offset: usize, data: &[u8]) {
        if self.written.len() < offset + data.len() {
            self.written.resize(offset + data.len(), 0);
        }
        self.written[offset..offset + data.len()].copy_from_slice(data);
        self.unsynced.push((offset, data.to_vec()));
    }
}

impl StorageBackend for FaultyBackend {
    fn len(&self) -> io::Result<u64> {
        Ok(self.inner().written.len() as u64)
    }

    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let at = offset as usize;
        let inner = self.inner();
        inner.written.get(at..at + len).map(<[u8]>::to_vec).ok_or(io::ErrorKind::UnexpectedEof.into())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.inner().operate(|_| {}, |inner| inner.written.resize(len as usize, 0))
    }

    fn sync_data(&self, _: bool) -> io::Result<()> {
        let sync = |inner: &mut Inner| {
            let Inner { synced, written, unsynced, .. } = inner;
            synced.resize(written.len(), 0);
            for (offset, data) in unsynced.drain(..) {
                synced[offset..offset + data.len()].copy_from_slice(&data);
            }
        };
        self.inner().operate(|_| {}, sync)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let at = offset as usize;
        let first_half = |inner: &mut Inner| inner.put(at, &data[..data.len() / 2]);
        self.inner().operate(first_half, |inner| inner.put(at, data))
    }
}
