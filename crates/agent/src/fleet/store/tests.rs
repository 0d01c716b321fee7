use super::faulty_backend::{FailurePoint, FaultyBackend, Retained, EIO, ENOSPC};
use super::*;

mod golden;

fn temporary_path(name: &str) -> std::path::PathBuf {
    let path = std::env::temp_dir().join(format!("heronhoist-store-{}-{name}", std::process::id()));
    let _ = std::fs::remove_file(&path);
    path
}

#[test]
fn saved_state_is_loaded_as_it_is_in_memory() {
    let path = temporary_path("again");
    let mut memory = DurableState::default();
    let entry = |index: u64, text: &str| (index, text.as_bytes().to_vec());
    let batches = [
        WriteBatch {
            hard_state: Some(b"h1".to_vec()),
            entries: vec![entry(1, "a"), entry(2, "b"), entry(3, "c")],
            ..WriteBatch::default()
        },
        WriteBatch { entries: vec![entry(2, "B")], ..WriteBatch::default() },
        WriteBatch { entries: vec![entry(3, "C"), entry(4, "D")], ..WriteBatch::default() },
        WriteBatch {
            snapshot: Some(b"s".to_vec()),
            compacted: Some(LogPosition { index: 2, term: 1 }),
            ..WriteBatch::default()
        },
    ];
    for batch in &batches {
        let mut store = Store::open(&path).expect("open");
        store.save(batch).expect("saved");
        memory.apply(batch);
        assert_eq!(store.load().expect("read"), memory);
    }
    let mut store = Store::open(&path).expect("open");
    assert!(
        Store::open(&path).is_err_and(|error| error.to_string().contains("already open")),
        "only one process may open a file"
    );
    let other = WriteBatch {
        snapshot: Some(b"t".to_vec()),
        replaces_log: true,
        compacted: Some(LogPosition { index: 9, term: 2 }),
        ..WriteBatch::default()
    };
    store.save(&other).expect("saved");
    memory.apply(&other);
    assert_eq!(store.load().expect("read"), memory);
    let _ = std::fs::remove_file(&path);
}

#[test]
fn a_damaged_file_gives_an_error_and_no_panic() {
    let path = temporary_path("damaged");
    let value = vec![7; 3000];
    {
        let mut store = Store::open(&path).expect("open");
        let entries = (1..40).map(|index| (index, value.clone())).collect();
        store.save(&WriteBatch { entries, ..WriteBatch::default() }).expect("saved");
    }
    let content = std::fs::read(&path).expect("read");
    for length in [0, 1, 100, 4096, content.len() / 2, content.len() - 1] {
        std::fs::write(&path, &content[..length]).expect("written");
        let state = Store::open(&path).and_then(|store| store.load());
        let is_unusable = state.as_ref().is_err_and(|error| matches!(error, DiskError::Unusable(_)));
        assert!(state.is_ok() || is_unusable, "{length}: retried forever: {state:?}");
        assert!(
            length == 0 || state.is_err() || state.is_ok_and(|state| state.entries.len() == 39),
            "{length}"
        );
    }
    std::fs::write(&path, "another program's file".repeat(1000)).expect("written");
    let error = Store::open(&path).map(drop).expect_err("not a store file");
    assert!(matches!(error, DiskError::Unusable(_)), "retried forever: {error:?}");
    // A flipped bit in the middle of an entry.
    let offset = content.windows(64).position(|window| window == &value[..64]).expect("an entry") + 32;
    let mut corrupted = content.clone();
    corrupted[offset] ^= 1;
    std::fs::write(&path, &corrupted).expect("written");
    let error = Store::open(&path).and_then(|store| store.load()).expect_err("an invalid checksum");
    assert!(error.to_string().contains("checksum of entry"), "{error}");
    let _ = std::fs::remove_file(&path);
}

fn write_batches() -> Vec<WriteBatch> {
    let entry = |index: u64, fill: u8| (index, vec![fill; 700 * index as usize]);
    let mut batches = vec![
        WriteBatch {
            hard_state: Some(b"h1".to_vec()),
            entries: vec![entry(1, 1), entry(2, 2)],
            ..WriteBatch::default()
        },
        WriteBatch { entries: vec![entry(2, 12), entry(3, 13)], ..WriteBatch::default() },
        WriteBatch { hard_state: Some(b"h2".to_vec()), ..WriteBatch::default() },
        WriteBatch {
            snapshot: Some(vec![7; 5000]),
            compacted: Some(LogPosition { index: 2, term: 1 }),
            ..WriteBatch::default()
        },
    ];
    batches
        .extend((4..6).map(|index| WriteBatch { entries: vec![entry(index, 4)], ..WriteBatch::default() }));
    batches.push(WriteBatch {
        snapshot: Some(vec![8; 9000]),
        replaces_log: true,
        compacted: Some(LogPosition { index: 9, term: 2 }),
        ..WriteBatch::default()
    });
    batches
}

fn store_on(backend: &FaultyBackend) -> Result<Store, DiskError> {
    Store::from_backend(backend.clone(), Path::new("medium"))
}

/// Returns the backend with which each run starts.
fn initialized_backend() -> FaultyBackend {
    let (backend, identity) =
        (FaultyBackend::default(), Identity { node_id: 5, name: "c1".into(), cluster: None });
    store_on(&backend).and_then(|store| store.initialize(&identity, None)).expect("initialized");
    backend
}

/// Each write, change of length and sync of a run, those of opening and closing included, fails once: before it has an effect, in
/// its middle or after it. The state that is loaded afterwards must be the one before or the one after the failed batch, with all
/// earlier batches, and further batches can be saved.
#[test]
fn after_any_failed_write_or_sync_the_loaded_state_is_consistent() {
    const POINTS: [FailurePoint; 3] = [FailurePoint::Before, FailurePoint::Middle, FailurePoint::After];
    const RETAINED: [Retained; 3] = [Retained::All, Retained::Synced, Retained::Some];
    let initialized = initialized_backend();
    let reference = initialized.copy();
    let mut store = store_on(&reference).expect("open");
    write_batches().iter().for_each(|batch| store.save(batch).expect("saved"));
    drop(store);
    let (first, last) = (initialized.operations(), reference.operations());
    assert!(last > first + 40, "{first} to {last}");
    let mut counts = [0, 0];
    for operation in first..last {
        // Each operation fails at one point, with one choice of retained data. The nine combinations take turns, shifted by one
        // after each nine operations.
        let combination = operation + (operation - first) / 9;
        let (point, retained) = (POINTS[combination % 3], RETAINED[combination / 3 % 3]);
        let case = format!("operation {operation}, {point:?}, retained {retained:?}");
        let backend = initialized.copy();
        backend.fail_at(operation, point, if operation % 2 == 0 { ENOSPC } else { EIO });
        let mut before = DurableState::default();
        let mut after = before.clone();
        let failed = store_on(&backend).and_then(|mut store| {
            for batch in write_batches() {
                after.apply(&batch);
                store.save(&batch)?;
                before.clone_from(&after);
            }
            // A failure to close is not reported.
            Ok(())
        });
        assert!(backend.has_failed(), "{case}: not reached");
        if let Err(error) = &failed {
            assert!(matches!(error, DiskError::Failed(_)), "{case}: {error}");
        }
        backend.reopen(retained);
        let mut store = store_on(&backend).unwrap_or_else(|error| panic!("{case}: {error}"));
        assert_eq!(store.identity().expect("read").map(|identity| identity.node_id), Some(5));
        let mut state = store.load().unwrap_or_else(|error| panic!("{case}: {error}"));
        assert!(state == before || state == after, "{case}: {failed:?}");
        if failed.is_err() && before != after {
            counts[usize::from(state == after)] += 1;
        }
        let next = WriteBatch { entries: vec![(20, vec![9; 3000])], ..WriteBatch::default() };
        store.save(&next).unwrap_or_else(|error| panic!("{case}: {error}"));
        state.apply(&next);
        assert_eq!(store.load().expect("read"), state, "{case}");
    }
    assert!(counts.iter().all(|count| *count > 0), "batches lost and kept: {counts:?}");
}

/// A store that has failed rejects all batches until it is reopened, even if the backend works again.
#[test]
fn a_failed_store_saves_nothing_until_it_is_reopened() {
    let backend = initialized_backend();
    let mut store = store_on(&backend).expect("open");
    store.save(&write_batches()[0]).expect("saved");
    backend.set_down(Some(ENOSPC));
    assert!(
        matches!(store.save(&write_batches()[1]), Err(DiskError::Failed(reason)) if reason.contains("No space left"))
    );
    backend.set_down(None);
    assert!(matches!(store.save(&write_batches()[1]), Err(DiskError::Failed(_))));
    drop(store);
    backend.reopen(Retained::Synced);
    let mut store = store_on(&backend).expect("open");
    store.check_writable().expect("writable again");
    store.save(&write_batches()[1]).expect("saved");
}

/// A file that was created as by the previous version, directly by its path, can be opened and read.
#[test]
fn a_file_of_the_previous_version_opens() {
    let path = temporary_path("before");
    {
        let mut builder = Builder::new();
        builder.set_cache_size(CACHE_BYTES);
        let store = Store { database: builder.create(&path).expect("created"), was_repaired: false };
        store.write_values(&[("form", FORMAT)]).expect("written");
        let identity = Identity { node_id: 7, name: "c1".into(), cluster: None };
        store.initialize(&identity, None).expect("initialized");
        let mut store = store;
        store.save(&write_batches()[0]).expect("saved");
    }
    let store = Store::reopen(&path).expect("opened");
    let mut memory = DurableState::default();
    memory.apply(&write_batches()[0]);
    assert_eq!(store.load().expect("read"), memory);
    assert_eq!(store.identity().expect("read").map(|identity| identity.node_id), Some(7));
    drop(store);
    std::fs::remove_file(&path).expect("removed");
    assert!(matches!(Store::reopen(&path), Err(DiskError::Failed(_))), "a missing file must not be created");
    assert!(!path.exists());
}
