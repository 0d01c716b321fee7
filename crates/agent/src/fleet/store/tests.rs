use super::medium::{Found, Medium, Place, IO_ERROR, NO_ROOM};
use super::*;

mod golden;

fn place(name: &str) -> std::path::PathBuf {
    let place = std::env::temp_dir().join(format!("heronhoist-store-{}-{name}", std::process::id()));
    let _ = std::fs::remove_file(&place);
    place
}

#[test]
fn what_was_saved_is_there_again_and_is_the_same_as_in_memory() {
    let path = place("again");
    let mut memory = DurableState::default();
    let entry = |index: u64, text: &str| (index, text.as_bytes().to_vec());
    let saves = [
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
    for save in &saves {
        let mut store = Store::open(&path).expect("open");
        store.save(save).expect("saved");
        memory.apply(save);
        assert_eq!(store.load().expect("read"), memory);
    }
    let mut store = Store::open(&path).expect("open");
    assert!(Store::open(&path).is_err_and(|e| e.to_string().contains("already open")), "one process a file");
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
fn a_damaged_file_is_a_fault_in_words_and_never_a_panic() {
    let path = place("damaged");
    let long = vec![7; 3000];
    {
        let mut store = Store::open(&path).expect("open");
        let entries = (1..40).map(|n| (n, long.clone())).collect();
        store.save(&WriteBatch { entries, ..WriteBatch::default() }).expect("saved");
    }
    let whole = std::fs::read(&path).expect("read");
    for length in [0, 1, 100, 4096, whole.len() / 2, whole.len() - 1] {
        std::fs::write(&path, &whole[..length]).expect("written");
        let image = Store::open(&path).and_then(|store| store.load());
        let stays = image.as_ref().is_err_and(|fault| matches!(fault, DiskError::Unusable(_)));
        assert!(image.is_ok() || stays, "{length}: tried again for ever: {image:?}");
        assert!(length == 0 || image.is_err() || image.is_ok_and(|i| i.entries.len() == 39), "{length}");
    }
    std::fs::write(&path, "another program's file".repeat(1000)).expect("written");
    let fault = Store::open(&path).map(drop).expect_err("none of its own");
    assert!(matches!(fault, DiskError::Unusable(_)), "tried again for ever: {fault:?}");
    // A bit that has turned in the middle of an entry.
    let at = whole.windows(64).position(|w| w == &long[..64]).expect("an entry") + 32;
    let mut turned = whole.clone();
    turned[at] ^= 1;
    std::fs::write(&path, &turned).expect("written");
    let fault = Store::open(&path).and_then(|store| store.load()).expect_err("a broken checksum");
    assert!(fault.to_string().contains("checksum of entry"), "{fault}");
    let _ = std::fs::remove_file(&path);
}

fn saves() -> Vec<WriteBatch> {
    let entry = |index: u64, fill: u8| (index, vec![fill; 700 * index as usize]);
    let mut saves = vec![
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
    saves.extend((4..6).map(|index| WriteBatch { entries: vec![entry(index, 4)], ..WriteBatch::default() }));
    saves.push(WriteBatch {
        snapshot: Some(vec![8; 9000]),
        replaces_log: true,
        compacted: Some(LogPosition { index: 9, term: 2 }),
        ..WriteBatch::default()
    });
    saves
}

fn on(medium: &Medium) -> Result<Store, DiskError> {
    Store::from_backend(medium.clone(), Path::new("medium"))
}

/// The file that each run begins with.
fn begun() -> Medium {
    let (medium, identity) = (Medium::default(), Identity { node_id: 5, name: "c1".into(), cluster: None });
    on(&medium).and_then(|store| store.initialize(&identity, None)).expect("a sound store");
    medium
}

/// Each write, change of length and sync of a run fails in turn, before it is carried out, in its middle or after it, and so
/// does closing and opening. What is read back is what was there before the step that failed, or what was there after it;
/// what had been saved before is always there, and it goes on from there.
#[test]
fn each_write_and_sync_may_fail_and_what_is_read_back_is_whole() {
    const PLACES: [Place; 3] = [Place::Before, Place::Middle, Place::After];
    const FINDS: [Found; 3] = [Found::All, Found::Synced, Found::Some];
    let begun = begun();
    let counted = begun.copy();
    let mut store = on(&counted).expect("open");
    saves().iter().for_each(|save| store.save(save).expect("saved"));
    drop(store);
    let (first, last) = (begun.operations(), counted.operations());
    assert!(last > first + 40, "{first} to {last}");
    let mut seen = [0, 0];
    for operation in first..last {
        // Each operation at one place and with one find; all nine in turn, the next run of them at the other places.
        let turn = operation + (operation - first) / 9;
        let (place, found) = (PLACES[turn % 3], FINDS[turn / 3 % 3]);
        let case = format!("operation {operation}, {place:?}, found {found:?}");
        let medium = begun.copy();
        medium.fail_at(operation, place, if operation % 2 == 0 { NO_ROOM } else { IO_ERROR });
        let mut before = DurableState::default();
        let mut after = before.clone();
        let failed = on(&medium).and_then(|mut store| {
            for save in saves() {
                after.apply(&save);
                store.save(&save)?;
                before.clone_from(&after);
            }
            // Nothing tells that closing failed.
            Ok(())
        });
        assert!(medium.has_failed(), "{case} was not reached");
        if let Err(fault) = &failed {
            assert!(matches!(fault, DiskError::Failed(_)), "{case}: {fault}");
        }
        medium.found(found);
        let mut store = on(&medium).unwrap_or_else(|fault| panic!("{case}: {fault}"));
        assert_eq!(store.identity().expect("read").map(|identity| identity.node_id), Some(5));
        let mut image = store.load().unwrap_or_else(|fault| panic!("{case}: {fault}"));
        assert!(image == before || image == after, "{case}: {failed:?}");
        if failed.is_err() && before != after {
            seen[usize::from(image == after)] += 1;
        }
        let next = WriteBatch { entries: vec![(20, vec![9; 3000])], ..WriteBatch::default() };
        store.save(&next).unwrap_or_else(|fault| panic!("{case}: {fault}"));
        image.apply(&next);
        assert_eq!(store.load().expect("read"), image, "{case}");
    }
    assert!(seen.iter().all(|count| *count > 0), "kept and not kept: {seen:?}");
}

/// A store that has failed says so until it is opened again, also where the medium works once more.
#[test]
fn after_a_failure_nothing_is_saved_until_it_is_opened_again() {
    let medium = begun();
    let mut store = on(&medium).expect("open");
    store.save(&saves()[0]).expect("saved");
    medium.set_down(Some(NO_ROOM));
    assert!(matches!(store.save(&saves()[1]), Err(DiskError::Failed(why)) if why.contains("No space left")));
    medium.set_down(None);
    assert!(matches!(store.save(&saves()[1]), Err(DiskError::Failed(_))));
    drop(store);
    medium.found(Found::Synced);
    let mut store = on(&medium).expect("open");
    store.check_writable().expect("it works again");
    store.save(&saves()[1]).expect("saved");
}

/// A file as the version before made it, by the path alone, opens and is read.
#[test]
fn a_file_of_the_version_before_opens() {
    let path = place("before");
    {
        let mut builder = Builder::new();
        builder.set_cache_size(CACHE_BYTES);
        let store = Store { database: builder.create(&path).expect("made"), was_repaired: false };
        store.write_values(&[("form", FORMAT)]).expect("written");
        let identity = Identity { node_id: 7, name: "c1".into(), cluster: None };
        store.initialize(&identity, None).expect("begun");
        let mut store = store;
        store.save(&saves()[0]).expect("saved");
    }
    let store = Store::reopen(&path).expect("opened");
    let mut memory = DurableState::default();
    memory.apply(&saves()[0]);
    assert_eq!(store.load().expect("read"), memory);
    assert_eq!(store.identity().expect("read").map(|identity| identity.node_id), Some(7));
    drop(store);
    std::fs::remove_file(&path).expect("removed");
    assert!(
        matches!(Store::reopen(&path), Err(DiskError::Failed(_))),
        "a file that is away is not made anew"
    );
    assert!(!path.exists());
}
