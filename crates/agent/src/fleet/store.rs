//! The persistent storage of a coordinator process: one file of an embedded database, which is synced before any message that
//! depends on the written data is sent. Each value is stored with a checksum, which is verified when the process starts.

use heronhoist_coordination::bootstrap::Identity;
use heronhoist_coordination::log::{Disk, DiskError, DurableState, LogPosition, WriteBatch};
use redb::backends::FileBackend;
use redb::{
    Builder, Database, Durability, ReadableTable, StorageBackend, Table, TableDefinition, TableError,
    WriteTransaction,
};
use rustix::fs::{fadvise, Advice};
use std::fs::{File, OpenOptions};
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// The entries of the Raft log, by index.
const ENTRIES: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("entries");
/// All other values, by the keys below.
const VALUES: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("parts");
const FORMAT_KEY: &str = "form";
const IDENTITY_KEY: &str = "identity";
const HARD_STATE_KEY: &str = "hard";
const SNAPSHOT_KEY: &str = "snapshot";
const COMPACTED_KEY: &str = "cut";
/// The format of the file; a file of another format is rejected.
const FORMAT: &[u8] = b"heronhoist council 1";
/// The size of the database's page cache, in bytes. It is small because the state is kept in memory, and the file is read only at
/// the start.
const CACHE_BYTES: usize = 4 << 20;
/// The size of an encoded number, in bytes.
const NUMBER_BYTES: usize = size_of::<u64>();

/// The open file.
pub struct Store {
    database: Database,
    /// The file had not been closed: the database checked all of it, and dropped a transaction that was not committed.
    pub was_repaired: bool,
}

fn store_error(error: impl Into<redb::Error>) -> DiskError {
    match error.into() {
        redb::Error::Io(error) => io_error(&error),
        error @ redb::Error::PreviousIo => DiskError::Failed(error.to_string()),
        error => DiskError::Unusable(error.to_string()),
    }
}

/// Classifies an I/O error. Errors of the operating system may be transient, except those of permissions. Errors that the
/// database reports about the file, for example that it is truncated or not a database, are permanent.
fn io_error(error: &io::Error) -> DiskError {
    let is_permanent = matches!(error.kind(), io::ErrorKind::PermissionDenied | io::ErrorKind::IsADirectory);
    let is_os_error = error.raw_os_error().is_some();
    let is_transient = (is_os_error && !is_permanent) || error.kind() == io::ErrorKind::WriteZero;
    match is_transient {
        true => DiskError::Failed(error.to_string()),
        false => DiskError::Unusable(error.to_string()),
    }
}

fn json_error(error: serde_json::Error) -> DiskError {
    DiskError::Unusable(error.to_string())
}

/// Adds the file and the action that failed to an error's text.
fn with_context(path: &Path, action: &str, error: DiskError) -> DiskError {
    let with_path = |reason: String| format!("{}: {action}{reason}", path.display());
    match error {
        DiskError::Failed(reason) => DiskError::Failed(with_path(reason)),
        DiskError::Unusable(reason) => DiskError::Unusable(with_path(reason)),
    }
}

/// Returns a value in its stored form: its checksum, then the value.
fn with_checksum(value: &[u8]) -> Vec<u8> {
    let checksum = crc32fast::hash(value).to_le_bytes();
    [&checksum[..], value].concat()
}

/// Verifies a stored value's checksum and returns the value. `name` is the value's name in the error.
fn verify_checksum<'b>(name: &str, stored: &'b [u8]) -> Result<&'b [u8], DiskError> {
    let damaged = || DiskError::Unusable(format!("the checksum of {name} does not fit; the file is damaged"));
    let (checksum, value) = stored.split_first_chunk::<4>().ok_or_else(damaged)?;
    let is_valid = u32::from_le_bytes(*checksum) == crc32fast::hash(value);
    is_valid.then_some(value).ok_or_else(damaged)
}

fn encode_position(position: LogPosition) -> Vec<u8> {
    [position.index, position.term].map(u64::to_le_bytes).concat()
}

fn decode_position(bytes: &[u8]) -> LogPosition {
    let number = |start: usize| {
        let bytes = bytes.get(start..start + NUMBER_BYTES).and_then(|bytes| bytes.try_into().ok());
        bytes.map_or(0, u64::from_le_bytes)
    };
    LogPosition { index: number(0), term: number(NUMBER_BYTES) }
}

/// Opens the file and drops its pages from the system's cache. After a failed sync, the cache may contain data that is not on the
/// disk and that a later sync does not write. So pages that can still be written are synced first, and the rest is read from the
/// disk again.
fn open_uncached(path: &Path, create: bool) -> io::Result<File> {
    let file = OpenOptions::new().read(true).write(true).create(create).truncate(false).open(path)?;
    file.sync_all()?;
    fadvise(&file, 0, None, Advice::DontNeed)?;
    Ok(file)
}

/// Opens the database, and returns whether it was repaired. The database library panics on some truncated files; this function
/// returns an error for them.
fn open_database(backend: impl StorageBackend) -> Result<(Database, bool), OpenError> {
    let repaired = Arc::new(AtomicBool::new(false));
    let repaired_in_callback = Arc::clone(&repaired);
    let open = move || {
        let mut builder = Builder::new();
        builder.set_cache_size(CACHE_BYTES);
        builder.set_repair_callback(move |_| repaired_in_callback.store(true, Ordering::Relaxed));
        builder.create_with_backend(backend)
    };
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let result = catch_unwind(AssertUnwindSafe(open));
    std::panic::set_hook(hook);
    let database = result.map_err(|_| OpenError::Panicked)?.map_err(OpenError::Store)?;
    Ok((database, repaired.load(Ordering::Relaxed)))
}

/// Why the database can't be opened.
enum OpenError {
    Panicked,
    Store(redb::DatabaseError),
}

impl Store {
    /// Opens the file; creates it if it does not exist.
    ///
    /// # Errors
    /// [`DiskError`], if the file is damaged, of another format or in use, or the disk fails.
    pub fn open(path: &Path) -> Result<Store, DiskError> {
        Store::open_file(path, true)
    }

    /// Opens the file again after a failure. A missing file is not created, because a new one would lack the acknowledged writes.
    ///
    /// # Errors
    /// [`DiskError`], as for [`Store::open`], and if the file can't be written yet.
    pub fn reopen(path: &Path) -> Result<Store, DiskError> {
        let store = Store::open_file(path, false)?;
        store.check_writable().map_err(|error| with_context(path, "", error))?;
        Ok(store)
    }

    fn open_file(path: &Path, create: bool) -> Result<Store, DiskError> {
        let cannot_open = |error| with_context(path, "cannot be opened: ", error);
        let file = open_uncached(path, create).map_err(|error| cannot_open(io_error(&error)))?;
        let backend = FileBackend::new(file).map_err(|error| cannot_open(store_error(error)))?;
        Store::from_backend(backend, path)
    }

    /// Opens a store on a storage backend; `path` is the file's name in errors.
    ///
    /// # Errors
    /// [`DiskError`], if the backend's content is damaged or of another format, or the backend fails.
    pub fn from_backend(backend: impl StorageBackend, path: &Path) -> Result<Store, DiskError> {
        let (database, was_repaired) = open_database(backend).map_err(|error| match error {
            OpenError::Panicked => {
                with_context(path, "", DiskError::Unusable("it is damaged, or cut short".into()))
            }
            OpenError::Store(error) => with_context(path, "cannot be opened: ", store_error(error)),
        })?;
        let store = Store { database, was_repaired };
        store.check_format().map_err(|error| with_context(path, "", error))?;
        Ok(store)
    }

    /// Verifies the file's format; writes it to a new file.
    fn check_format(&self) -> Result<(), DiskError> {
        match self.read_value(FORMAT_KEY)? {
            Some(format) if format != FORMAT => {
                Err(DiskError::Unusable("unknown file format; it may be of a later version".into()))
            }
            Some(_) => Ok(()),
            None => self.write_values(&[(FORMAT_KEY, FORMAT)]),
        }
    }

    fn read_value(&self, key: &str) -> Result<Option<Vec<u8>>, DiskError> {
        let transaction = self.database.begin_read().map_err(store_error)?;
        let table = match transaction.open_table(VALUES) {
            Ok(table) => table,
            Err(TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(error) => return Err(store_error(error)),
        };
        let stored = table.get(key).map_err(store_error)?;
        stored.map(|stored| verify_checksum(key, stored.value()).map(<[u8]>::to_vec)).transpose()
    }

    fn begin_write(&self) -> Result<WriteTransaction, DiskError> {
        let mut transaction = self.database.begin_write().map_err(store_error)?;
        transaction.set_durability(Durability::Immediate);
        Ok(transaction)
    }

    fn write_values(&self, values: &[(&str, &[u8])]) -> Result<(), DiskError> {
        let transaction = self.begin_write()?;
        {
            let mut table = transaction.open_table(VALUES).map_err(store_error)?;
            for (key, value) in values {
                insert_value(&mut table, key, value)?;
            }
            // The table is created with the first values, so that it can be read before there are entries.
            transaction.open_table(ENTRIES).map_err(store_error)?;
        }
        transaction.commit().map_err(store_error)
    }

    /// Checks that the store can be written, by writing a value that it has already: on a full disk, reads may still succeed.
    ///
    /// # Errors
    /// [`DiskError`], if the write fails.
    pub fn check_writable(&self) -> Result<(), DiskError> {
        self.write_values(&[(FORMAT_KEY, FORMAT)])
    }

    /// Returns the identity of the process that the file belongs to, or `None` if the file is new.
    ///
    /// # Errors
    /// [`DiskError`], if the identity can't be read.
    pub fn identity(&self) -> Result<Option<Identity>, DiskError> {
        let value = self.read_value(IDENTITY_KEY)?;
        value.map(|bytes| serde_json::from_slice(&bytes).map_err(json_error)).transpose()
    }

    /// Stores the identity of the process, with the initial state of its cluster if there is one.
    ///
    /// # Errors
    /// [`DiskError`], if the disk fails. Either all values are stored or none.
    pub fn initialize(&self, identity: &Identity, initial: Option<&DurableState>) -> Result<(), DiskError> {
        let identity = serde_json::to_vec(identity).map_err(json_error)?;
        let compacted = initial.map(|state| encode_position(state.compacted));
        let hard_state = initial.and_then(|state| state.hard_state.as_deref());
        let snapshot = initial.and_then(|state| state.snapshot.as_deref());
        let mut values: Vec<(&str, &[u8])> = vec![(IDENTITY_KEY, &identity)];
        values.extend(hard_state.map(|value| (HARD_STATE_KEY, value)));
        values.extend(snapshot.map(|value| (SNAPSHOT_KEY, value)));
        values.extend(compacted.as_deref().map(|value| (COMPACTED_KEY, value)));
        self.write_values(&values)
    }

    /// Reads the whole stored state.
    ///
    /// # Errors
    /// [`DiskError`], if the disk fails or a checksum does not match.
    pub fn load(&self) -> Result<DurableState, DiskError> {
        let mut state = DurableState {
            hard_state: self.read_value(HARD_STATE_KEY)?,
            snapshot: self.read_value(SNAPSHOT_KEY)?,
            ..DurableState::default()
        };
        if let Some(compacted) = self.read_value(COMPACTED_KEY)? {
            state.compacted = decode_position(&compacted);
        }
        let transaction = self.database.begin_read().map_err(store_error)?;
        let table = transaction.open_table(ENTRIES).map_err(store_error)?;
        for entry in table.iter().map_err(store_error)? {
            let (index, stored) = entry.map_err(store_error)?;
            let index = index.value();
            let value = verify_checksum(&format!("entry {index}"), stored.value())?;
            state.entries.insert(index, value.to_vec());
        }
        Ok(state)
    }
}

fn insert_value(table: &mut Table<'_, &str, &[u8]>, key: &str, value: &[u8]) -> Result<(), DiskError> {
    table.insert(key, with_checksum(value).as_slice()).map_err(store_error)?;
    Ok(())
}

/// Writes the values of a batch.
fn save_values(transaction: &WriteTransaction, batch: &WriteBatch) -> Result<(), DiskError> {
    let mut table = transaction.open_table(VALUES).map_err(store_error)?;
    if let Some(hard_state) = &batch.hard_state {
        insert_value(&mut table, HARD_STATE_KEY, hard_state)?;
    }
    if let Some(snapshot) = &batch.snapshot {
        insert_value(&mut table, SNAPSHOT_KEY, snapshot)?;
    }
    if let Some(compacted) = batch.compacted {
        insert_value(&mut table, COMPACTED_KEY, &encode_position(compacted))?;
    }
    Ok(())
}

/// Writes the entries of a batch. They replace all entries from the index of the first one on. Compacted entries are removed.
fn save_entries(transaction: &WriteTransaction, batch: &WriteBatch) -> Result<(), DiskError> {
    let mut table = transaction.open_table(ENTRIES).map_err(store_error)?;
    if batch.replaces_log {
        table.retain(|_, _| false).map_err(store_error)?;
    }
    if let Some((first, _)) = batch.entries.first() {
        table.retain_in(*first.., |_, _| false).map_err(store_error)?;
    }
    for (index, entry) in &batch.entries {
        table.insert(index, with_checksum(entry).as_slice()).map_err(store_error)?;
    }
    if let Some(compacted) = batch.compacted {
        table.retain_in(..=compacted.index, |_, _| false).map_err(store_error)?;
    }
    Ok(())
}

impl Disk for Store {
    fn save(&mut self, batch: &WriteBatch) -> Result<(), DiskError> {
        let transaction = self.begin_write()?;
        save_values(&transaction, batch)?;
        save_entries(&transaction, batch)?;
        transaction.commit().map_err(store_error)
    }
}

#[cfg(test)]
pub(super) mod faulty_backend;
#[cfg(test)]
mod tests;
