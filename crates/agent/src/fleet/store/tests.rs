use super::*;

fn place(name: &str) -> std::path::PathBuf {
    let place = std::env::temp_dir().join(format!("heronhoist-store-{}-{name}", std::process::id()));
    let _ = std::fs::remove_file(&place);
    place
}

#[test]
fn what_was_saved_is_there_again_and_is_the_same_as_in_memory() {
    let path = place("again");
    let mut memory = Image::default();
    let entry = |index: u64, text: &str| (index, text.as_bytes().to_vec());
    let saves = [
        Save {
            hard: Some(b"h1".to_vec()),
            entries: vec![entry(1, "a"), entry(2, "b"), entry(3, "c")],
            ..Save::default()
        },
        Save { entries: vec![entry(2, "B")], ..Save::default() },
        Save { entries: vec![entry(3, "C"), entry(4, "D")], ..Save::default() },
        Save { snapshot: Some(b"s".to_vec()), cut: Some((2, 1)), ..Save::default() },
    ];
    for save in &saves {
        let mut store = Store::open(&path).expect("open");
        store.save(save).expect("saved");
        memory.take(save);
        assert_eq!(store.image().expect("read"), memory);
    }
    let mut store = Store::open(&path).expect("open");
    assert!(Store::open(&path).is_err_and(|e| e.to_string().contains("already open")), "one process a file");
    let other = Save { snapshot: Some(b"t".to_vec()), replaces: true, cut: Some((9, 2)), ..Save::default() };
    store.save(&other).expect("saved");
    memory.take(&other);
    assert_eq!(store.image().expect("read"), memory);
    let _ = std::fs::remove_file(&path);
}

#[test]
fn a_damaged_file_is_a_fault_in_words_and_never_a_panic() {
    let path = place("damaged");
    let long = vec![7; 3000];
    {
        let mut store = Store::open(&path).expect("open");
        let entries = (1..40).map(|n| (n, long.clone())).collect();
        store.save(&Save { entries, ..Save::default() }).expect("saved");
    }
    let whole = std::fs::read(&path).expect("read");
    for length in [0, 1, 100, 4096, whole.len() / 2, whole.len() - 1] {
        std::fs::write(&path, &whole[..length]).expect("written");
        let image = Store::open(&path).and_then(|store| store.image());
        assert!(length == 0 || image.is_err() || image.is_ok_and(|i| i.entries.len() == 39), "{length}");
    }
    // A bit that has turned in the middle of an entry.
    let at = whole.windows(64).position(|w| w == &long[..64]).expect("an entry") + 32;
    let mut turned = whole.clone();
    turned[at] ^= 1;
    std::fs::write(&path, &turned).expect("written");
    let fault = Store::open(&path).and_then(|store| store.image()).expect_err("a broken checksum");
    assert!(fault.to_string().contains("checksum of entry"), "{fault}");
    let _ = std::fs::remove_file(&path);
}
