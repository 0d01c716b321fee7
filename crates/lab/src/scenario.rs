//! Scenario files: a fleet, its agents and clients, a timeline of faults, and what must hold. Strict; every fault of a file
//! is told with its place.

use crate::judge::Repeats;
use crate::world::{Kind, Micros};
use heronhoist_config::reader::{flag, number, tables, text, whole, Absent, Reader, Section};
use heronhoist_config::Fault;
use heronhoist_decision::{Class, Effect, Group, Settings, Span};
use toml::de::DeValue;

/// A run, but for its seed.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Its name.
    pub name: String,
    /// How long clients send.
    pub length: Micros,
    /// The servers, all of one kind.
    pub servers: usize,
    /// What each is made of.
    pub kind: Kind,
    /// How many agents there are.
    pub agents: usize,
    /// What each module is told.
    pub settings: Settings,
    /// One way between an agent and a server.
    pub one_way: Micros,
    /// How late agents hear of a change to the list.
    pub told_after: Micros,
    /// Requests a second, of all clients together.
    pub rate: f64,
    /// The classes, in the order of the settings.
    pub classes: Vec<ClassMix>,
    /// What happens, in order.
    pub events: Vec<Event>,
    /// The least service that must be reached, if the file says.
    pub least_whole: Option<f64>,
}

/// A class as clients send it.
#[derive(Debug, Clone)]
pub struct ClassMix {
    /// Its part of all requests, among the parts of all classes.
    pub share: f64,
    /// The mean of its work.
    pub work: Micros,
    /// How unequal its work is: 0 for the same each time.
    pub spread: f64,
    /// What a repeat would do.
    pub repeats: Repeats,
    /// An answer within this is worth all.
    pub aim: Micros,
    /// How long its clients wait.
    pub deadline: Micros,
}

/// A fault, or its end.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// When.
    pub at: Micros,
    /// What.
    pub what: What,
    /// The servers that it happens to, from the first to before the last.
    pub servers: std::ops::Range<usize>,
}

/// What can happen to servers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum What {
    /// They die with all that they hold; the list says that they have left.
    Kill,
    /// They start, cold, in the list again.
    Start,
    /// The list says that they drain.
    Drain,
    /// They are cut off, and nobody says so.
    Cut,
    /// They can be reached again.
    Mend,
    /// They work at this multiple of their speed.
    Pace(f64),
}

/// Reads a scenario.
pub fn parse(source: &str) -> Result<Scenario, Vec<Fault>> {
    let table = tables(source)?;
    let (mut reader, root) = Reader::new(source, &table, &|_| None);
    let scenario = read(&mut reader, root);
    let mut faults = reader.faults;
    faults.sort_by_key(|fault| (fault.line, fault.column));
    scenario.filter(|_| faults.is_empty()).ok_or(faults)
}

const MS: &str = "milliseconds above 0";

fn ms(value: &DeValue<'_>) -> Option<Micros> {
    number(value).filter(|n| *n > 0.0 && *n <= 1e9).map(|n| (n * 1e3) as Micros)
}

fn ms_or_none(value: &DeValue<'_>) -> Option<Micros> {
    number(value).filter(|n| (0.0..=1e9).contains(n)).map(|n| (n * 1e3) as Micros)
}

fn count(value: &DeValue<'_>) -> Option<usize> {
    whole(value).filter(|n| (1..=100_000).contains(n)).map(|n| n as usize)
}

fn share(value: &DeValue<'_>) -> Option<f64> {
    number(value).filter(|n| (0.0..=1.0).contains(n))
}

fn positive(value: &DeValue<'_>) -> Option<f64> {
    number(value).filter(|n| *n > 0.0 && *n < 1e9)
}

fn read<'t>(reader: &mut Reader<'t>, mut root: Section<'t>) -> Option<Scenario> {
    let name = reader.get(&mut root, "name", Absent::Fault, "a name", text);
    let length = reader.get(&mut root, "length_ms", Absent::Fault, MS, ms);
    let least_whole = reader.get(&mut root, "least_whole", Absent::Nothing, "a service of 0 to 1", share);

    let mut fleet = reader.section(&mut root, "fleet");
    let servers = reader.get(&mut fleet, "servers", Absent::Fault, "how many servers", count);
    let cores = reader.get(&mut fleet, "cores", Absent::Default(2), "how many cores", count);
    let speed = reader.get(&mut fleet, "speed", Absent::Default(1.0), "a speed above 0", positive);
    let room = reader.get(&mut fleet, "room", Absent::Default(20), "how many may wait", count);
    let cold_share = reader.get(&mut fleet, "cold_share", Absent::Default(0.2), "0 to 1", share);
    let warm_after = reader.get(&mut fleet, "warm_after_ms", Absent::Default(20_000_000), MS, ms);
    let one_way = reader.get(&mut fleet, "one_way_ms", Absent::Default(500), MS, ms);
    let told_after =
        reader.get(&mut fleet, "told_after_ms", Absent::Default(200_000), "milliseconds", ms_or_none);
    reader.end(fleet);

    let mut agents = reader.section(&mut root, "agents");
    let number = reader.get(&mut agents, "count", Absent::Fault, "how many agents", count);
    let attempts = reader.get(&mut agents, "max_attempts", Absent::Default(3), "how many attempts", count);
    let copies = reader.get(&mut agents, "second_copies", Absent::Default(true), "true or false", flag);
    let grace = reader.get(&mut agents, "drain_grace_ms", Absent::Default(500_000), MS, ms);
    reader.end(agents);

    let mut clients = reader.section(&mut root, "clients");
    let rate = reader.get(&mut clients, "rate_per_s", Absent::Fault, "requests a second", positive);
    reader.end(clients);

    let classes = classes(reader, &mut root);
    let events = events(reader, &mut root, servers.unwrap_or(usize::MAX));
    reader.end(root);
    let (mixes, terms): (Vec<ClassMix>, Vec<Class>) = classes?.into_iter().unzip();
    let kind = Kind {
        cores: cores?,
        speed: speed?,
        room: room?,
        cold_share: cold_share?,
        warm_after: warm_after?,
        overload_factor: 3.0,
        fall_after: 3_000_000,
    };
    let settings = Settings {
        balancers: number? as u32,
        classes: terms,
        max_attempts: attempts? as u32,
        second_copies: copies?,
        retry_after: true,
        drain_grace: Span(grace?),
        cold_share: kind.cold_share,
        warm_after: Span(kind.warm_after),
        overload_factor: kind.overload_factor,
        fall_after: Span(kind.fall_after),
        ..Settings::default()
    };
    Some(Scenario {
        name: name?,
        length: length?,
        servers: servers?,
        kind,
        agents: number?,
        settings,
        one_way: one_way?,
        told_after: told_after?,
        rate: rate?,
        classes: mixes,
        events: events?,
        least_whole,
    })
}

fn classes<'t>(reader: &mut Reader<'t>, root: &mut Section<'t>) -> Option<Vec<(ClassMix, Class)>> {
    let sections = reader.sections(root, "class");
    if sections.is_empty() {
        reader.fault(root, "class", "found none; wanted one [[class]] at least".into());
    }
    let mut classes = Some(Vec::new());
    for mut section in sections {
        let class = class(reader, &mut section);
        reader.end(section);
        classes = classes.zip(class).map(|(mut classes, class)| {
            classes.push(class);
            classes
        });
    }
    classes
}

fn class<'t>(reader: &mut Reader<'t>, section: &mut Section<'t>) -> Option<(ClassMix, Class)> {
    reader.get(section, "name", Absent::Fault, "a name", text)?;
    let wanted = "\"idempotent\", \"at_most_once\" or \"deduplicated\"";
    let effect = reader.get(section, "effect", Absent::Fault, wanted, |v| match text(v)?.as_str() {
        "idempotent" => Some(0),
        "at_most_once" => Some(1),
        "deduplicated" => Some(2),
        _ => None,
    });
    let part = reader.get(section, "share", Absent::Default(1.0), "a part above 0", positive);
    let work = reader.get(section, "work_ms", Absent::Fault, MS, ms);
    let spread = reader.get(section, "work_spread", Absent::Default(0.5), "0 to 3", |v| {
        number(v).filter(|n| (0.0..=3.0).contains(n))
    });
    let aim = reader.get(section, "aim_ms", Absent::Fault, MS, ms);
    let deadline = reader.get(section, "deadline_ms", Absent::Fault, MS, ms);
    let effect = match effect? {
        0 => Effect::Idempotent,
        1 => Effect::AtMostOnce,
        _ => Effect::Deduplicated { group: Group::All, window: Span(60_000_000) },
    };
    let repeats = if effect == Effect::AtMostOnce { Repeats::Doubled } else { Repeats::Harmless };
    let (aim, deadline) = (aim?, deadline?);
    let terms =
        Class { effect, aim: Span(aim), deadline: Span(deadline), late_worth: 0.5, ..Class::default() };
    let mix = ClassMix { share: part?, work: work?, spread: spread?, repeats, aim, deadline };
    Some((mix, terms))
}

fn events<'t>(reader: &mut Reader<'t>, root: &mut Section<'t>, servers: usize) -> Option<Vec<Event>> {
    let mut events = Some(Vec::new());
    for mut section in reader.sections(root, "fault") {
        let at = reader.get(&mut section, "at_ms", Absent::Fault, "milliseconds", ms_or_none);
        let pace = reader.get(&mut section, "pace", Absent::Nothing, "a factor above 0", positive);
        let kinds = "\"kill\", \"start\", \"drain\", \"cut\", \"mend\" or \"pace\" (with pace = factor)";
        let what = reader.get(&mut section, "what", Absent::Fault, kinds, |v| match text(v)?.as_str() {
            "kill" => Some(What::Kill),
            "start" => Some(What::Start),
            "drain" => Some(What::Drain),
            "cut" => Some(What::Cut),
            "mend" => Some(What::Mend),
            "pace" => pace.map(What::Pace),
            _ => None,
        });
        let index =
            |v: &DeValue<'_>| whole(v).filter(|n| *n >= 0).map(|n| n as usize).filter(|n| *n < servers);
        let wanted = "a server, counted from 0";
        let first = reader.get(&mut section, "server", Absent::Fault, wanted, index);
        let last = reader.get(&mut section, "to_server", Absent::Nothing, wanted, index);
        reader.end(section);
        let event = at.zip(what).zip(first).map(|((at, what), first)| Event {
            at,
            what,
            servers: first..last.unwrap_or(first).max(first) + 1,
        });
        events = events.zip(event).map(|(mut events, event)| {
            events.push(event);
            events
        });
    }
    let mut events = events?;
    events.sort_by_key(|event| event.at);
    Some(events)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_scenario_is_read_and_its_faults_have_places() {
        let source = include_str!("../../../scenarios/rolling-release.toml");
        let scenario = parse(source).expect("sound");
        assert_eq!(scenario.servers, 12);
        assert!(scenario.events.windows(2).all(|pair| pair[0].at <= pair[1].at));
        for (old, new, fault) in [
            ("servers = 12", "servers = 0", "fleet.servers: found 0; wanted how many servers"),
            ("servers = 12", "servers = 3", "found 11; wanted a server, counted from 0"),
            ("\"drain\"", "\"drown\"", "found \"drown\"; wanted \"kill\""),
            ("[clients]", "[client]", "client: no such key"),
        ] {
            let faults = parse(&source.replace(old, new)).expect_err(new);
            assert!(faults.iter().any(|f| f.to_string().contains(fault)), "{new}: {faults:?}");
        }
    }
}
