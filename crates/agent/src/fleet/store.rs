//! A council process's disk: one file of an embedded store, synced before anything that rests on it is sent. Each value
//! carries a checksum of its own, looked at when the process starts.

use heronhoist_coordination::bootstrap::Identity;
use heronhoist_coordination::log::{Disk, DiskError, DurableState, LogPosition, WriteBatch};
use redb::backends::FileBackend;
use redb::{Builder, Database, Durability, ReadableTable, StorageBackend, TableDefinition};
use rustix::fs::{fadvise, Advice};
use std::fs::OpenOptions;
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

const ENTRIES: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("entries");
const PARTS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("parts");
/// The form of what is written; a file of another one is refused.
const FORM: &[u8] = b"heronhoist council 1";
/// Memory for the store's pages.
const CACHE: usize = 4 << 20;

/// The open file.
pub struct Store {
    database: Database,
    /// The file was not closed: the store looked all of it through, and dropped a step that was not finished.
    pub repaired: bool,
}

fn fault(e: impl Into<redb::Error>) -> DiskError {
    match e.into() {
        redb::Error::Io(e) => io_fault(&e),
        e @ redb::Error::PreviousIo => DiskError::Failed(e.to_string()),
        e => DiskError::Unusable(e.to_string()),
    }
}

/// What the system says may be over in a while, but for who may open what. What the store says of the file, as that it ends too
/// early or is none of its own, stays so.
fn io_fault(e: &io::Error) -> DiskError {
    let stays = matches!(e.kind(), io::ErrorKind::PermissionDenied | io::ErrorKind::IsADirectory);
    let passes = (e.raw_os_error().is_some() && !stays) || e.kind() == io::ErrorKind::WriteZero;
    match passes {
        true => DiskError::Failed(e.to_string()),
        false => DiskError::Unusable(e.to_string()),
    }
}

fn unreadable(e: impl std::fmt::Display) -> DiskError {
    DiskError::Unusable(e.to_string())
}

/// The same fault, with where it was.
fn at(path: &Path, doing: &str, fault: DiskError) -> DiskError {
    let place = |why: String| format!("{}: {doing}{why}", path.display());
    match fault {
        DiskError::Failed(why) => DiskError::Failed(place(why)),
        DiskError::Unusable(why) => DiskError::Unusable(place(why)),
    }
}

fn sealed(bytes: &[u8]) -> Vec<u8> {
    let sum = crc32fast::hash(bytes).to_le_bytes();
    [&sum[..], bytes].concat()
}

fn opened<'b>(what: &str, bytes: &'b [u8]) -> Result<&'b [u8], DiskError> {
    let broken = || DiskError::Unusable(format!("the checksum of {what} does not fit; the file is damaged"));
    let (sum, rest) = bytes.split_first_chunk::<4>().ok_or_else(broken)?;
    (u32::from_le_bytes(*sum) == crc32fast::hash(rest)).then_some(rest).ok_or_else(broken)
}

impl Store {
    /// Opens the file, or makes it. One that is damaged, of another form or in use is a fault.
    pub fn open(path: &Path) -> Result<Store, DiskError> {
        Store::open_file(path, true)
    }

    /// Opens the file anew after a failure. It is not made: a new one would hold nothing of what was acknowledged.
    pub fn reopen(path: &Path) -> Result<Store, DiskError> {
        let store = Store::open_file(path, false)?;
        store.try_to_write().map_err(|fault| at(path, "", fault))?;
        Ok(store)
    }

    fn open_file(path: &Path, make: bool) -> Result<Store, DiskError> {
        let open = || {
            let file = OpenOptions::new().read(true).write(true).create(make).truncate(false).open(path)?;
            // After a sync that failed, the system's cache may show as kept what the disk does not hold, and a later sync does
            // not write it. So what can still be written is, and the rest is read from the disk.
            file.sync_all()?;
            fadvise(&file, 0, None, Advice::DontNeed)?;
            Ok(file)
        };
        let file = open().map_err(|e| at(path, "cannot be opened: ", io_fault(&e)))?;
        let backend = FileBackend::new(file).map_err(|e| at(path, "cannot be opened: ", fault(e)))?;
        Store::on(backend, path)
    }

    /// On what keeps the bytes; `path` is only said.
    pub fn on(backend: impl StorageBackend, path: &Path) -> Result<Store, DiskError> {
        let repaired = Arc::new(AtomicBool::new(false));
        let seen = Arc::clone(&repaired);
        let open = move || {
            let mut builder = Builder::new();
            builder.set_cache_size(CACHE).set_repair_callback(move |_| seen.store(true, Ordering::Relaxed));
            builder.create_with_backend(backend)
        };
        // The store panics at some files that are cut short: a plain line is owed all the same.
        let hook = std::panic::take_hook();
        std::panic::set_hook(Box::new(|_| {}));
        let database = catch_unwind(AssertUnwindSafe(open));
        std::panic::set_hook(hook);
        let unusable = |why: &str| at(path, "", DiskError::Unusable(why.into()));
        let database = database
            .map_err(|_| unusable("it is damaged, or cut short"))?
            .map_err(|e| at(path, "cannot be opened: ", fault(e)))?;
        let store = Store { database, repaired: repaired.load(Ordering::Relaxed) };
        match store.part("form").map_err(|fault| at(path, "", fault))? {
            Some(form) if form != FORM => Err(unusable("it is of another form; is it a later version's?")),
            Some(_) => Ok(store),
            None => {
                store.write(&[("form", FORM)]).map_err(|fault| at(path, "", fault))?;
                Ok(store)
            }
        }
    }

    fn part(&self, name: &str) -> Result<Option<Vec<u8>>, DiskError> {
        let reading = self.database.begin_read().map_err(fault)?;
        let table = match reading.open_table(PARTS) {
            Ok(table) => table,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(e) => return Err(fault(e)),
        };
        let value = table.get(name).map_err(fault)?;
        value.map(|value| opened(name, value.value()).map(<[u8]>::to_vec)).transpose()
    }

    fn write(&self, parts: &[(&str, &[u8])]) -> Result<(), DiskError> {
        let mut writing = self.database.begin_write().map_err(fault)?;
        writing.set_durability(Durability::Immediate);
        {
            let mut table = writing.open_table(PARTS).map_err(fault)?;
            for (name, value) in parts {
                table.insert(name, sealed(value).as_slice()).map_err(fault)?;
            }
            writing.open_table(ENTRIES).map_err(fault)?;
        }
        writing.commit().map_err(fault)
    }

    /// Reading may work where there is no room to write.
    pub fn try_to_write(&self) -> Result<(), DiskError> {
        self.write(&[("form", FORM)])
    }

    /// Who this disk is; none if it is new.
    pub fn identity(&self) -> Result<Option<Identity>, DiskError> {
        let part = self.part("identity")?;
        part.map(|bytes| serde_json::from_slice(&bytes).map_err(unreadable)).transpose()
    }

    /// Keeps who this disk is, with what its council begins with.
    pub fn begin(&self, identity: &Identity, image: Option<&DurableState>) -> Result<(), DiskError> {
        let identity = serde_json::to_vec(identity).map_err(unreadable)?;
        let mut parts: Vec<(&str, &[u8])> = vec![("identity", &identity)];
        let cut =
            image.map(|image| [image.compacted.index, image.compacted.term].map(u64::to_le_bytes).concat());
        if let Some(image) = image {
            parts.extend(image.hard_state.as_deref().map(|hard| ("hard", hard)));
            parts.extend(image.snapshot.as_deref().map(|snapshot| ("snapshot", snapshot)));
            parts.extend(cut.as_deref().map(|cut| ("cut", cut)));
        }
        self.write(&parts)
    }

    /// All that is kept. A checksum that does not fit is a fault.
    pub fn image(&self) -> Result<DurableState, DiskError> {
        let mut image = DurableState {
            hard_state: self.part("hard")?,
            snapshot: self.part("snapshot")?,
            ..DurableState::default()
        };
        if let Some(cut) = self.part("cut")? {
            let number =
                |at: usize| cut.get(at..at + 8).and_then(|b| b.try_into().ok()).map_or(0, u64::from_le_bytes);
            image.compacted = LogPosition { index: number(0), term: number(8) };
        }
        let reading = self.database.begin_read().map_err(fault)?;
        let table = reading.open_table(ENTRIES).map_err(fault)?;
        for entry in table.iter().map_err(fault)? {
            let (index, value) = entry.map_err(fault)?;
            let value = opened(&format!("entry {}", index.value()), value.value())?;
            image.entries.insert(index.value(), value.to_vec());
        }
        Ok(image)
    }
}

impl Disk for Store {
    fn save(&mut self, save: &WriteBatch) -> Result<(), DiskError> {
        let mut writing = self.database.begin_write().map_err(fault)?;
        writing.set_durability(Durability::Immediate);
        {
            let mut parts = writing.open_table(PARTS).map_err(fault)?;
            if let Some(hard) = &save.hard_state {
                parts.insert("hard", sealed(hard).as_slice()).map_err(fault)?;
            }
            if let Some(snapshot) = &save.snapshot {
                parts.insert("snapshot", sealed(snapshot).as_slice()).map_err(fault)?;
            }
            let mut entries = writing.open_table(ENTRIES).map_err(fault)?;
            if save.replaces_log {
                entries.retain(|_, _| false).map_err(fault)?;
            }
            if let Some((first, _)) = save.entries.first() {
                entries.retain_in(*first.., |_, _| false).map_err(fault)?;
                for (index, entry) in &save.entries {
                    entries.insert(index, sealed(entry).as_slice()).map_err(fault)?;
                }
            }
            if let Some(LogPosition { index, term }) = save.compacted {
                entries.retain_in(..=index, |_, _| false).map_err(fault)?;
                let cut = [index, term].map(u64::to_le_bytes).concat();
                parts.insert("cut", sealed(&cut).as_slice()).map_err(fault)?;
            }
        }
        writing.commit().map_err(fault)
    }
}

#[cfg(test)]
pub(super) mod medium;
#[cfg(test)]
mod tests;
