//! A council process's disk: one file of an embedded store, synced before anything that rests on it is sent. Each value
//! carries a checksum of its own, looked at when the process starts.

use heronhoist_council::formation::Identity;
use heronhoist_council::log::{Disk, DiskFault, Image, Save};
use redb::{Builder, Database, Durability, ReadableTable, TableDefinition};
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

fn fault(e: impl std::fmt::Display) -> DiskFault {
    DiskFault(e.to_string())
}

fn sealed(bytes: &[u8]) -> Vec<u8> {
    let sum = crc32fast::hash(bytes).to_le_bytes();
    [&sum[..], bytes].concat()
}

fn opened<'b>(what: &str, bytes: &'b [u8]) -> Result<&'b [u8], DiskFault> {
    let broken = || DiskFault(format!("the checksum of {what} does not fit; the file is damaged"));
    let (sum, rest) = bytes.split_first_chunk::<4>().ok_or_else(broken)?;
    (u32::from_le_bytes(*sum) == crc32fast::hash(rest)).then_some(rest).ok_or_else(broken)
}

impl Store {
    /// Opens the file, or makes it. One that is damaged, of another form or in use is a fault.
    pub fn open(path: &Path) -> Result<Store, DiskFault> {
        let repaired = Arc::new(AtomicBool::new(false));
        let seen = Arc::clone(&repaired);
        let open = move || {
            let mut builder = Builder::new();
            builder.set_cache_size(CACHE).set_repair_callback(move |_| seen.store(true, Ordering::Relaxed));
            builder.create(path)
        };
        // The store panics at some files that are cut short: a plain line is owed all the same.
        let hook = std::panic::take_hook();
        std::panic::set_hook(Box::new(|_| {}));
        let database = catch_unwind(AssertUnwindSafe(open));
        std::panic::set_hook(hook);
        let at = |why: String| DiskFault(format!("{}: {why}", path.display()));
        let database = database
            .map_err(|_| at("it is damaged, or cut short".into()))?
            .map_err(|e| at(format!("cannot be opened: {e}")))?;
        let store = Store { database, repaired: repaired.load(Ordering::Relaxed) };
        match store.part("form").map_err(|e| at(e.0))? {
            Some(form) if form != FORM => Err(at("it is of another form; is it a later version's?".into())),
            Some(_) => Ok(store),
            None => {
                store.write(&[("form", FORM)]).map_err(|e| at(e.0))?;
                Ok(store)
            }
        }
    }

    fn part(&self, name: &str) -> Result<Option<Vec<u8>>, DiskFault> {
        let reading = self.database.begin_read().map_err(fault)?;
        let table = match reading.open_table(PARTS) {
            Ok(table) => table,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(e) => return Err(fault(e)),
        };
        let value = table.get(name).map_err(fault)?;
        value.map(|value| opened(name, value.value()).map(<[u8]>::to_vec)).transpose()
    }

    fn write(&self, parts: &[(&str, &[u8])]) -> Result<(), DiskFault> {
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

    /// Who this disk is; none if it is new.
    pub fn identity(&self) -> Result<Option<Identity>, DiskFault> {
        let part = self.part("identity")?;
        part.map(|bytes| serde_json::from_slice(&bytes).map_err(fault)).transpose()
    }

    /// Keeps who this disk is, with what its council begins with.
    pub fn begin(&self, identity: &Identity, image: Option<&Image>) -> Result<(), DiskFault> {
        let identity = serde_json::to_vec(identity).map_err(fault)?;
        let mut parts: Vec<(&str, &[u8])> = vec![("identity", &identity)];
        let cut = image.map(|image| [image.cut.0, image.cut.1].map(u64::to_le_bytes).concat());
        if let Some(image) = image {
            parts.extend(image.hard.as_deref().map(|hard| ("hard", hard)));
            parts.extend(image.snapshot.as_deref().map(|snapshot| ("snapshot", snapshot)));
            parts.extend(cut.as_deref().map(|cut| ("cut", cut)));
        }
        self.write(&parts)
    }

    /// All that is kept. A checksum that does not fit is a fault.
    pub fn image(&self) -> Result<Image, DiskFault> {
        let mut image =
            Image { hard: self.part("hard")?, snapshot: self.part("snapshot")?, ..Image::default() };
        if let Some(cut) = self.part("cut")? {
            let number =
                |at: usize| cut.get(at..at + 8).and_then(|b| b.try_into().ok()).map_or(0, u64::from_le_bytes);
            image.cut = (number(0), number(8));
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
    fn save(&mut self, save: &Save) -> Result<(), DiskFault> {
        let mut writing = self.database.begin_write().map_err(fault)?;
        writing.set_durability(Durability::Immediate);
        {
            let mut parts = writing.open_table(PARTS).map_err(fault)?;
            if let Some(hard) = &save.hard {
                parts.insert("hard", sealed(hard).as_slice()).map_err(fault)?;
            }
            if let Some(snapshot) = &save.snapshot {
                parts.insert("snapshot", sealed(snapshot).as_slice()).map_err(fault)?;
            }
            let mut entries = writing.open_table(ENTRIES).map_err(fault)?;
            if save.replaces {
                entries.retain(|_, _| false).map_err(fault)?;
            }
            if let Some((first, _)) = save.entries.first() {
                entries.retain_in(*first.., |_, _| false).map_err(fault)?;
                for (index, entry) in &save.entries {
                    entries.insert(index, sealed(entry).as_slice()).map_err(fault)?;
                }
            }
            if let Some((index, term)) = save.cut {
                entries.retain_in(..=index, |_, _| false).map_err(fault)?;
                let cut = [index, term].map(u64::to_le_bytes).concat();
                parts.insert("cut", sealed(&cut).as_slice()).map_err(fault)?;
            }
        }
        writing.commit().map_err(fault)
    }
}

#[cfg(test)]
mod tests;
