//! Mapping files with errors, each reported with its line, and the worked files, which have none.
mod worked;
use heronhoist_translate::mapping::{self, Diagnostic};
use worked::WORKED;

fn diagnostics(text: &str) -> Vec<Diagnostic> {
    mapping::read(text).err().unwrap_or_default()
}

#[test]
fn worked_files_are_valid_and_explain_their_losses() {
    for (name, text) in WORKED {
        let mapping = mapping::read(text).unwrap_or_else(|diagnostics| panic!("{name}: {diagnostics:?}"));
        assert_eq!((mapping.name.as_str(), mapping.class.as_str()), (name, name));
        let explained = heronhoist_translate::explain::explain(&mapping);
        assert!(
            mapping.notes.iter().all(|note| explained.contains(&format!("`{}`", note.field))),
            "{explained}"
        );
    }
}

/// Removes each rule option and policy of the worked files in turn. The compiler must report an error near the removed
/// line.
#[test]
fn missing_rule_option_is_reported() {
    let (mut attempts, mut near_line) = (0, 0);
    for (name, text) in WORKED {
        let lines: Vec<&str> = text.lines().collect();
        for (n, line) in lines.iter().enumerate() {
            let key = line.split(['=', ' ']).next().unwrap_or_default();
            let needed =
                ["policy", "finer", "unmappable", "round", "range", "pairs", "unpaired", "long", "fold"];
            if !needed.contains(&key) {
                continue;
            }
            let without: Vec<&str> =
                lines.iter().enumerate().filter(|(m, _)| *m != n).map(|(_, l)| *l).collect();
            let found = diagnostics(&without.join("\n"));
            attempts += 1;
            assert!(!found.is_empty(), "{name} without line {} ({line})", n + 1);
            assert!(
                found.iter().all(|diagnostic| diagnostic.line > 0 && !diagnostic.key.is_empty()),
                "{found:?}"
            );
            near_line += usize::from(found.iter().any(|diagnostic| diagnostic.line.abs_diff(n + 1) <= 12));
        }
    }
    assert!(attempts > 70, "{attempts}");
    assert_eq!(near_line, attempts, "each error must be reported near the removed line");
}

#[test]
fn field_without_a_rule_is_reported() {
    let (_, text) = WORKED[1];
    let without = text.replace("[[request]]\nold = \"URGENT\"\nnew = \"urgent\"\n", "");
    let found: Vec<String> = diagnostics(&without).iter().map(|diagnostic| diagnostic.key.clone()).collect();
    assert_eq!(found, ["request.old.URGENT", "request.new.urgent"]);
}

#[test]
fn errors_are_reported_with_line_and_key() {
    let (_, text) = WORKED[0];
    let assert_reported = |from: &str, to: &str, key: &str, message: &str| {
        assert!(text.contains(from), "{from}");
        let found = diagnostics(&text.replacen(from, to, 1));
        assert!(
            found
                .iter()
                .any(|diagnostic| diagnostic.key.contains(key) && diagnostic.message.contains(message)),
            "{from} -> {to}: {found:?}"
        );
    };
    assert_reported("zone = \"America/New_York\"", "zone = \"Mars/Olympus\"", "zone", "not a time zone");
    assert_reported("unit = \"kn\"", "unit = \"knots\"", "WIND", "a unit, one of");
    assert_reported("unit = \"m/s\"", "unit = \"m\"", "WIND", "is not a unit of length");
    assert_reported("name = \"STN\"", "name = \"S TN\"", "S TN", "a name may contain");
    assert_reported("old = \"STN\"", "old = \"STM\"", "STM", "no such field");
    assert_reported("name = \"END\"", "name = \"BEG\"", "BEG", "already used");
    assert_reported("format = \"%m/%d/%Y %H:%M\"", "format = \"%m/%d %H:%M\"", "BEG", "format");
    assert_reported(
        "values = [\"A\", \"W\", \"R\"]",
        "values = [\"A\", \"W\", \"R\", \"X\"]",
        "WHAT",
        "X: no counterpart",
    );
    assert_reported("type = \"choice\"", "type = \"chioce\"", "", "chioce");
    assert_reported("length = [1, 8]", "length = [1, 8]\nlenght = 3", "", "lenght");
    assert_reported("extension = \"x_old\"", "", "CLERK", "no extension");
    assert_reported(
        "range = [\"0\", \"300\"]",
        "range = [\"0\", \"300\"]\nwidth = 2",
        "WIND",
        "width does not apply",
    );
    assert_reported("length = [1, 40]", "length = [0, 40]", "NAME", "empty text");
    assert_reported(
        "new = \"observations\"",
        "new = \"station.name\"",
        "station.name",
        "another rule already",
    );
    assert_reported("[new]", "[new]\ncharset = \"iso-8859-1\"", "charset", "JSON is UTF-8");
}

#[test]
fn corrupted_mapping_files_do_not_panic() {
    for (_, text) in WORKED {
        for end in (0..text.len()).step_by(7).filter(|&end| text.is_char_boundary(end)) {
            let _ = mapping::read(&text[..end]);
        }
        let words: Vec<&str> = text.split_inclusive(' ').collect();
        for n in 0..words.len() {
            let mut swapped = words.clone();
            swapped.swap(n, (n * 7 + 3) % words.len());
            let _ = mapping::read(&swapped.concat());
        }
    }
}
