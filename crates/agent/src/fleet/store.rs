//! The disk of a process of the coordination service: one file of an embedded store, synced before anything that rests on it is
//! sent. Each value has a checksum of its own, which is verified when the process starts.

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
/// All else, by the keys below.
const VALUES: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("parts");
const FORMAT_KEY: &str = "form";
const IDENTITY_KEY: &str = "identity";
const HARD_STATE_KEY: &str = "hard";
const SNAPSHOT_KEY: &str = "snapshot";
const COMPACTED_KEY: &str = "cut";
/// The format of the file; one of another format is refused.
const FORMAT: &[u8] = b"heronhoist council 1";
/// Memory for the store's pages, in bytes: the state is in memory anyway, and the file is read at the start only.
const CACHE_BYTES: usize = 4 << 20;
/// The bytes of a number.
const NUMBER_BYTES: usize = size_of::<u64>();

/// The open file.
pub struct Store {
    database: Database,
    /// The file had not been closed: the store checked all of it, and dropped a transaction that was not committed.
    pub was_repaired: bool,
}

fn store_error(error: impl Into<redb::Error>) -> DiskError {
    match error.into() {
        redb::Error::Io(error) => io_error(&error),
        error @ redb::Error::PreviousIo => DiskError::Failed(error.to_string()),
        error => DiskError::Unusable(error.to_string()),
    }
}

/// Errors of the system may pass, except those of permissions. What the store reports of the file, such as that it is cut short
/// or is none of its own, does not pass.
fn io_error(error: &io::Error) -> DiskError {
    let is_permanent = matches!(error.kind(), io::ErrorKind::PermissionDenied | io::ErrorKind::IsADirectory);
    let is_of_system = error.raw_os_error().is_some();
    let may_pass = (is_of_system && !is_permanent) || error.kind() == io::ErrorKind::WriteZero;
    match may_pass {
        true => DiskError::Failed(error.to_string()),
        false => DiskError::Unusable(error.to_string()),
    }
}

fn json_error(error: serde_json::Error) -> DiskError {
    DiskError::Unusable(error.to_string())
}

/// The same error, with the file and what was done with it.
fn with_context(path: &Path, action: &str, error: DiskError) -> DiskError {
    let with_path = |reason: String| format!("{}: {action}{reason}", path.display());
    match error {
        DiskError::Failed(reason) => DiskError::Failed(with_path(reason)),
        DiskError::Unusable(reason) => DiskError::Unusable(with_path(reason)),
    }
}

/// A value as it is stored, behind its checksum.
fn with_checksum(value: &[u8]) -> Vec<u8> {
    let checksum = crc32fast::hash(value).to_le_bytes();
    [&checksum[..], value].concat()
}

/// The value behind a checksum. `name` is that of the value, for the error.
fn verify_checksum<'b>(name: &str, stored: &'b [u8]) -> Result<&'b [u8], DiskError> {
    let damaged = || DiskError::Unusable(format!("the checksum of {name} does not fit; the file is damaged"));
    let (checksum, value) = stored.split_first_chunk::<4>().ok_or_else(damaged)?;
    let is_sound = u32::from_le_bytes(*checksum) == crc32fast::hash(value);
    is_sound.then_some(value).ok_or_else(damaged)
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

/// Opens the file. After a sync that failed, the system's cache may show as written what the disk does not hold, and a later sync
/// does not write it. So what can still be written is, and the rest is read from the disk.
fn open_uncached(path: &Path, create: bool) -> io::Result<File> {
    let file = OpenOptions::new().read(true).write(true).create(create).truncate(false).open(path)?;
    file.sync_all()?;
    fadvise(&file, 0, None, Advice::DontNeed)?;
    Ok(file)
}

/// Opens the database, and says whether it was repaired. The store panics at some files that are cut short; that is an error
/// here.
fn open_database(backend: impl StorageBackend) -> Result<(Database, bool), OpenError> {
    let repaired = Arc::new(AtomicBool::new(false));
    let repaired_by_store = Arc::clone(&repaired);
    let open = move || {
        let mut builder = Builder::new();
        builder.set_cache_size(CACHE_BYTES);
        builder.set_repair_callback(move |_| repaired_by_store.store(true, Ordering::Relaxed));
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
    /// Opens the file, or creates it.
    ///
    /// # Errors
    /// [`DiskError`], if the file is damaged, of another format or in use, or the disk fails.
    pub fn open(path: &Path) -> Result<Store, DiskError> {
        Store::open_file(path, true)
    }

    /// Opens the file again after a failure. It is not created: a new one would hold nothing of what was acknowledged.
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

    /// A store on a backend, which holds the bytes; errors name `path`.
    ///
    /// # Errors
    /// [`DiskError`], if what the backend holds is damaged or of another format, or the backend fails.
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

    /// Verifies the format, which a new file gets here.
    fn check_format(&self) -> Result<(), DiskError> {
        match self.read_value(FORMAT_KEY)? {
            Some(format) if format != FORMAT => {
                Err(DiskError::Unusable("it is of another form; is it a later version's?".into()))
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
            // Created with the first values, so that it can be read before there are entries.
            transaction.open_table(ENTRIES).map_err(store_error)?;
        }
        transaction.commit().map_err(store_error)
    }

    /// Writes what is there already: reading may work where there is no room to write.
    ///
    /// # Errors
    /// [`DiskError`], if that fails.
    pub fn check_writable(&self) -> Result<(), DiskError> {
        self.write_values(&[(FORMAT_KEY, FORMAT)])
    }

    /// The identity of the process that the disk belongs to; none if the disk is new.
    ///
    /// # Errors
    /// [`DiskError`], if it can't be read.
    pub fn identity(&self) -> Result<Option<Identity>, DiskError> {
        let value = self.read_value(IDENTITY_KEY)?;
        value.map(|bytes| serde_json::from_slice(&bytes).map_err(json_error)).transpose()
    }

    /// Stores the identity of the process, with the initial state of its cluster if there is one.
    ///
    /// # Errors
    /// [`DiskError`], if the disk fails; nothing is stored then, or all of it.
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

    /// Reads all that is stored.
    ///
    /// # Errors
    /// [`DiskError`], if the disk fails or a checksum does not fit.
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

/// Writes the entries of a batch, in place of those from the first one's index on, and removes those that are compacted.
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
pub(super) mod medium;
#[cfg(test)]
mod tests;
