//! `heronhoist translate`: mapping files by hand.

use clap::{Subcommand, ValueEnum};
use heronhoist_translate::{explain, mapping, Mapping, MessageKind, Side};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

#[derive(Subcommand)]
pub enum Command {
    /// Check mapping files, and show what does not come back as it went.
    Check {
        /// Files, or directories of which every .toml file is checked.
        #[arg(required = true, value_name = "DIR")]
        paths: Vec<PathBuf>,
    },
    /// Translate one message and show what becomes of each field.
    Try {
        /// The mapping file.
        #[arg(long, value_name = "FILE")]
        map: PathBuf,
        /// The message as on the wire, without its HTTP head; - is standard input.
        #[arg(long = "in", value_name = "FILE")]
        input: PathBuf,
        /// The side that it comes from.
        #[arg(long, value_enum, default_value = "old")]
        from: From,
        /// It is an answer.
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
    /// The old one.
    Old,
    /// The new one.
    New,
}

/// What to print, or what is wrong; each line of it stands for itself.
type Told = Result<String, TranslateError>;

/// What is wrong.
pub enum TranslateError {
    /// Files or a message have faults, told in these lines.
    Invalid(String),
    /// Something can't be read.
    Unreadable(String),
}

/// Does what the command line says.
pub fn main(command: Command) -> Told {
    match command {
        Command::Check { paths } => check(&paths),
        Command::Explain { map } => read(&map).map(|mapping| explain::explain(&mapping)),
        Command::Try { map, input, from, answer } => {
            let mapping = read(&map)?;
            let message = message(&input)?;
            let message_kind = if answer { MessageKind::Response } else { MessageKind::Request };
            let from = match from {
                From::Old => Side::Old,
                From::New => Side::New,
            };
            // An editor ends the last line; a query has none.
            let message = match mapping.dialect(from).form(message_kind) {
                mapping::Form::Form => message.trim_ascii_end(),
                _ => &message,
            };
            explain::explain_message(&mapping, message_kind, from, message)
                .map_err(|why| TranslateError::Invalid(why.trim_end().to_owned()))
        }
    }
}

fn unread(path: &Path, fault: &io::Error) -> TranslateError {
    TranslateError::Unreadable(format!("{}: {fault}", path.display()))
}

fn message(path: &Path) -> Result<Vec<u8>, TranslateError> {
    let mut message = Vec::new();
    let read = match path.as_os_str() == "-" {
        true => io::stdin().read_to_end(&mut message).map(drop),
        false => std::fs::read(path).map(|bytes| message = bytes),
    };
    read.map_err(|e| unread(path, &e))?;
    Ok(message)
}

fn read(path: &Path) -> Result<Mapping, TranslateError> {
    let text = std::fs::read_to_string(path).map_err(|e| unread(path, &e))?;
    mapping::read(&text).map_err(|faults| {
        let lines = faults.iter().map(|fault| format!("{}:{fault}", path.display()));
        TranslateError::Invalid(lines.collect::<Vec<_>>().join("\n"))
    })
}

fn files(path: &Path) -> Result<Vec<PathBuf>, TranslateError> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let entries = std::fs::read_dir(path).and_then(Iterator::collect::<io::Result<Vec<_>>>);
    let mut files: Vec<PathBuf> = entries
        .map_err(|e| unread(path, &e))?
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

/// Mappings with their files, and the faults of those that have some.
type Sorted = (Vec<(PathBuf, Mapping)>, Vec<String>);

fn read_each(paths: Vec<PathBuf>) -> Result<Sorted, TranslateError> {
    let (mut sound, mut faults) = (Vec::new(), Vec::new());
    for path in paths {
        match read(&path) {
            Ok(mapping) => sound.push((path, mapping)),
            Err(TranslateError::Invalid(lines)) => faults.push(lines),
            Err(unread) => return Err(unread),
        }
    }
    Ok((sound, faults))
}

/// All mapping files of a directory, or each fault in a line of its own.
pub fn read_all(directory: &Path) -> Result<Vec<Mapping>, TranslateError> {
    let (sound, faults) = read_each(files(directory)?)?;
    match faults.is_empty() {
        true => Ok(sound.into_iter().map(|(_, mapping)| mapping).collect()),
        false => Err(TranslateError::Invalid(faults.join("\n"))),
    }
}

fn check(paths: &[PathBuf]) -> Told {
    let paths = paths.iter().map(|path| files(path)).collect::<Result<Vec<_>, _>>()?.concat();
    let (sound, mut faults) = read_each(paths)?;
    let (mut told, mut names) = (String::new(), Vec::<(String, &Path)>::new());
    for (path, mapping) in &sound {
        let name = format!("{} {}", mapping.name, mapping.version);
        if let Some((_, other)) = names.iter().find(|(known, _)| *known == name) {
            faults.push(format!("{}: name: {name} is in {} already", path.display(), other.display()));
        }
        told += &format!("{}: sound, {name}, class {}\n", path.display(), mapping.class);
        for note in &mapping.notes {
            told += &format!(
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
        true => Ok(told),
        false => {
            // What is sound is told all the same.
            let _ = io::stdout().write_all(told.as_bytes());
            Err(TranslateError::Invalid(faults.join("\n")))
        }
    }
}
