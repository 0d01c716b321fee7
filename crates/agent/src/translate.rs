//! The command `heronhoist translate`: checks, tries out and explains mapping files.

use clap::{Subcommand, ValueEnum};
use heronhoist_translate::{explain, mapping, Mapping, MessageKind, Side};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

#[derive(Subcommand)]
pub enum Command {
    /// Check mapping files, and show which values do not survive a round trip.
    Check {
        /// Mapping files, or directories; of a directory every .toml file is checked.
        #[arg(required = true, value_name = "DIR")]
        paths: Vec<PathBuf>,
    },
    /// Translate one message and show the result of each field.
    Try {
        /// The mapping file.
        #[arg(long, value_name = "FILE")]
        map: PathBuf,
        /// The message body as sent on the wire; - is standard input.
        #[arg(long = "in", value_name = "FILE")]
        input: PathBuf,
        /// The side that sends the message.
        #[arg(long, value_enum, default_value = "old")]
        from: From,
        /// The message is a response.
        #[arg(long)]
        answer: bool,
    },
    /// Show a mapping as Markdown.
    Explain {
        /// The mapping file.
        #[arg(value_name = "FILE")]
        map: PathBuf,
    },
}

#[derive(Clone, Copy, ValueEnum)]
pub enum From {
    /// The old dialect.
    Old,
    /// The new dialect.
    New,
}

/// The text to print, or the errors.
type CommandResult = Result<String, TranslateError>;

/// Why a command failed.
pub enum TranslateError {
    /// Files or a message are invalid; each line describes one error on its own.
    Invalid(String),
    /// A file or standard input cannot be read.
    Unreadable(String),
}

/// Runs a command.
pub fn main(command: Command) -> CommandResult {
    match command {
        Command::Check { paths } => check(&paths),
        Command::Explain { map } => read_mapping(&map).map(|mapping| explain::explain(&mapping)),
        Command::Try { map, input, from, answer } => {
            let mapping = read_mapping(&map)?;
            let message = read_message(&input)?;
            let message_kind = if answer { MessageKind::Response } else { MessageKind::Request };
            let from = match from {
                From::Old => Side::Old,
                From::New => Side::New,
            };
            // Editors end the last line with a newline, which a form-encoded message does not have.
            let message = match mapping.dialect(from).form(message_kind) {
                mapping::Form::Form => message.trim_ascii_end(),
                _ => &message,
            };
            explain::explain_message(&mapping, message_kind, from, message)
                .map_err(|reason| TranslateError::Invalid(reason.trim_end().to_owned()))
        }
    }
}

fn unreadable(path: &Path, error: &io::Error) -> TranslateError {
    TranslateError::Unreadable(format!("{}: {error}", path.display()))
}

fn read_message(path: &Path) -> Result<Vec<u8>, TranslateError> {
    let mut message = Vec::new();
    let read = match path.as_os_str() == "-" {
        true => io::stdin().read_to_end(&mut message).map(drop),
        false => std::fs::read(path).map(|bytes| message = bytes),
    };
    read.map_err(|e| unreadable(path, &e))?;
    Ok(message)
}

fn read_mapping(path: &Path) -> Result<Mapping, TranslateError> {
    let text = std::fs::read_to_string(path).map_err(|e| unreadable(path, &e))?;
    mapping::read(&text).map_err(|faults| {
        let lines = faults.iter().map(|fault| format!("{}:{fault}", path.display()));
        TranslateError::Invalid(lines.collect::<Vec<_>>().join("\n"))
    })
}

fn mapping_files(path: &Path) -> Result<Vec<PathBuf>, TranslateError> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let entries = std::fs::read_dir(path).and_then(Iterator::collect::<io::Result<Vec<_>>>);
    let mut files: Vec<PathBuf> = entries
        .map_err(|e| unreadable(path, &e))?
        .into_iter()
        .map(|entry| entry.path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "toml"))
        .collect();
    files.sort();
    match files.is_empty() {
        true => Err(TranslateError::Unreadable(format!("{}: no .toml files", path.display()))),
        false => Ok(files),
    }
}

/// The valid mappings with their files, and the errors of the invalid ones.
type ReadMappings = (Vec<(PathBuf, Mapping)>, Vec<String>);

fn read_each(paths: Vec<PathBuf>) -> Result<ReadMappings, TranslateError> {
    let (mut valid, mut faults) = (Vec::new(), Vec::new());
    for path in paths {
        match read_mapping(&path) {
            Ok(mapping) => valid.push((path, mapping)),
            Err(TranslateError::Invalid(lines)) => faults.push(lines),
            Err(unreadable) => return Err(unreadable),
        }
    }
    Ok((valid, faults))
}

/// Reads all mapping files of a directory.
///
/// # Errors
///
/// A file cannot be read, or files are invalid; then each error is on a line of its own.
pub fn read_all(directory: &Path) -> Result<Vec<Mapping>, TranslateError> {
    let (valid, faults) = read_each(mapping_files(directory)?)?;
    match faults.is_empty() {
        true => Ok(valid.into_iter().map(|(_, mapping)| mapping).collect()),
        false => Err(TranslateError::Invalid(faults.join("\n"))),
    }
}

fn check(paths: &[PathBuf]) -> CommandResult {
    let paths = paths.iter().map(|path| mapping_files(path)).collect::<Result<Vec<_>, _>>()?.concat();
    let (valid, mut faults) = read_each(paths)?;
    let (mut report, mut names) = (String::new(), Vec::<(String, &Path)>::new());
    for (path, mapping) in &valid {
        let name = format!("{} {}", mapping.name, mapping.version);
        if let Some((_, other)) = names.iter().find(|(known, _)| *known == name) {
            faults.push(format!(
                "{}: name: {name} is already defined in {}",
                path.display(),
                other.display()
            ));
        }
        report += &format!("{}: sound, {name}, class {}\n", path.display(), mapping.class);
        for note in &mapping.notes {
            report += &format!(
                "  {} {} {}: {}\n",
                note.message_kind.name(),
                note.from.name(),
                note.field,
                note.text
            );
        }
        names.push((name, path));
    }
    match faults.is_empty() {
        true => Ok(report),
        false => {
            // The valid files are listed all the same.
            let _ = io::stdout().write_all(report.as_bytes());
            Err(TranslateError::Invalid(faults.join("\n")))
        }
    }
}
