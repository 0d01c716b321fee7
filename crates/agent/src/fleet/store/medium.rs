//! A stand-in for a file whose writes and syncs fail, for tests: what was written but not synced may be gone when it is read back.

use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// `ENOSPC` and `EIO`.
pub const NO_ROOM: i32 = 28;
pub const IO_ERROR: i32 = 5;

/// Where an operation fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    Before,
    Middle,
    After,
}

/// What is found when the file is opened again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Found {
    /// All that was written.
    All,
    /// What was synced.
    Synced,
    /// What was synced, and each other one of what was written after.
    Some,
}

#[derive(Debug, Default)]
struct Inner {
    synced: Vec<u8>,
    written: Vec<u8>,
    /// What was written since the last sync.
    since: Vec<(usize, Vec<u8>)>,
    operations: usize,
    /// The operation that fails, where, and how.
    at: Option<(usize, Place, i32)>,
    /// All fail, in this way.
    down: Option<i32>,
    failed: bool,
}

/// The file, whoever has it open.
#[derive(Debug, Clone, Default)]
pub struct Medium(Arc<Mutex<Inner>>);

impl Medium {
    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Another file with what this one holds now.
    pub fn copy(&self) -> Medium {
        let Inner { synced, written, since, operations, .. } = &*self.inner();
        let (synced, written, since) = (synced.clone(), written.clone(), since.clone());
        let inner = Inner { synced, written, since, operations: *operations, ..Inner::default() };
        Medium(Arc::new(Mutex::new(inner)))
    }

    /// Writes, changes of length and syncs so far.
    pub fn operations(&self) -> usize {
        self.inner().operations
    }

    pub fn fail_at(&self, operation: usize, place: Place, errno: i32) {
        self.inner().at = Some((operation, place, errno));
    }

    pub fn has_failed(&self) -> bool {
        self.inner().failed
    }

    /// All writes and syncs fail in this way; none do.
    pub fn set_down(&self, errno: Option<i32>) {
        self.inner().down = errno;
    }

    /// As it is found when it is opened again.
    pub fn found(&self, found: Found) {
        let mut inner = self.inner();
        let Inner { synced, written, since, .. } = &mut *inner;
        match found {
            Found::All => synced.clone_from(written),
            Found::Synced => {}
            Found::Some => {
                synced.resize(written.len().max(synced.len()), 0);
                for (at, data) in since.iter().step_by(2) {
                    if let Some(place) = synced.get_mut(*at..at + data.len()) {
                        place.copy_from_slice(data);
                    }
                }
            }
        }
        written.clone_from(synced);
        since.clear();
        (inner.failed, inner.at) = (false, None);
    }
}

impl Inner {
    /// Carries out an operation, or a part of it.
    fn operate(&mut self, half: impl FnOnce(&mut Inner), whole: impl FnOnce(&mut Inner)) -> io::Result<()> {
        let number = self.operations;
        self.operations += 1;
        let fails = self.at.filter(|(at, ..)| *at == number).map(|(_, place, errno)| (place, errno));
        match fails.or(self.down.map(|errno| (Place::Before, errno))) {
            None => {
                whole(self);
                Ok(())
            }
            Some((place, errno)) => {
                self.failed = true;
                match place {
                    Place::Before => {}
                    Place::Middle => half(self),
                    Place::After => whole(self),
                }
                Err(io::Error::from_raw_os_error(errno))
            }
        }
    }

    fn put(&mut self, at: usize, data: &[u8]) {
        if self.written.len() < at + data.len() {
            self.written.resize(at + data.len(), 0);
        }
        self.written[at..at + data.len()].copy_from_slice(data);
        self.since.push((at, data.to_vec()));
    }
}

impl StorageBackend for Medium {
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
            let Inner { synced, written, since, .. } = inner;
            synced.resize(written.len(), 0);
            for (at, data) in since.drain(..) {
                synced[at..at + data.len()].copy_from_slice(&data);
            }
        };
        self.inner().operate(|_| {}, sync)
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let at = offset as usize;
        let half = |inner: &mut Inner| inner.put(at, &data[..data.len() / 2]);
        self.inner().operate(half, |inner| inner.put(at, data))
    }
}
