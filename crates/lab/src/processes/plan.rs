//! Scenarios of several processes that agree: a council, agents, operators, and faults of links and processes. Strict; every
//! fault of a file is told with its place.

use crate::server_model::Micros;
use heronhoist_config::reader::{
    boolean, integer, number, one_of, parse_toml, text, text_list, Presence, Reader, Section,
};
use heronhoist_config::Fault;
use heronhoist_coordination::lease::LeaseTerms;
use toml::de::DeValue;

/// A run, but for its seed.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// How long faults come; then all is healed, and everything must come right.
    pub duration: Micros,
    /// Council processes.
    pub coordinators: usize,
    /// Of leases.
    pub terms: LeaseTerms,
    /// How often a council process is given a tick.
    pub tick: Micros,
    /// Log entries that are kept behind a snapshot.
    pub log_entries: usize,
    /// Changes that are kept for watchers.
    pub changes: usize,
    /// Agents, and over how many sites.
    pub agents: usize,
    /// Sites.
    pub sites: usize,
    /// Clients that read and write records.
    pub clients: usize,
    /// The mean pause between two operations of one client.
    pub pause: Micros,
    /// Watchers of all changes.
    pub watchers: usize,
    /// Operators that take agents out under permits.
    pub operators: usize,
    /// Permits for agents of a site at a time.
    pub permits: u32,
    /// Record servers to which agents send.
    pub servers: usize,
    /// Operators that drain servers.
    pub drainers: usize,
    /// Servers that may be out at a time.
    pub servers_out: u32,
    /// One way between two processes,
    pub one_way: Micros,
    /// and up to so much more.
    pub spread: Micros,
    /// A fault begins about so often; none if 0.
    pub every: Micros,
    /// A fault lasts so long at most.
    pub most: Micros,
    /// Which faults are drawn.
    pub faults: Vec<Kind>,
    /// Faults at stated times.
    pub listed: Vec<Listed>,
    /// Messages and bytes at the leader are counted.
    pub measured: bool,
    /// What is wrong on purpose.
    pub planted: InjectedBug,
}

/// A fault at a stated time.
#[derive(Debug, Clone)]
pub struct Listed {
    /// When it begins.
    pub at: Micros,
    /// What.
    pub what: Kind,
    /// To whom: a process as c0, a3, o1, or `leader`; none to draw one.
    pub who: Option<String>,
    /// The other end of a link.
    pub to: Option<String>,
    /// How long.
    pub length: Micros,
}

/// The kinds of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A council process is stopped (SIGSTOP) and woken.
    StopCouncil,
    /// A council process is killed, and started again on its disk.
    KillCouncil,
    /// A council process is killed and comes back with an empty disk; it is replaced by what it is now.
    EmptyDisk,
    /// A council process is killed, and its disk is cut short: it must say so and not start, and is replaced.
    CutDisk,
    /// A council process is killed twice; before it starts for the second time, its disk is put back to a copy from the first. Once
    /// it hears of that it must end, and is replaced. Safe only while the others keep a leader.
    OldDisk,
    /// The disk of a council process fails for a while: a write, from any on, fails before anything of it is kept, in its middle or
    /// after all of it is, and the process is told so or killed. It must go on from what the disk holds, once that works.
    FailDisk,
    /// An agent is stopped and woken.
    StopAgent,
    /// An agent is killed and started again.
    KillAgent,
    /// An agent is stopped, another process of its name is started, and the first one is woken.
    TwinAgent,
    /// An operator's wrapper is stopped and woken.
    StopOperator,
    /// An operator's wrapper is killed; another one is started.
    KillOperator,
    /// Nothing passes a link, in both directions, and nobody is told.
    Cut,
    /// Nothing passes a link in one direction.
    OneWay,
    /// The processes fall into two parts that do not reach each other.
    Split,
    /// Each of three council processes is cut from one other.
    Ring,
    /// What passes a link is late by up to five seconds.
    Slow,
    /// What passes a link is held, and let go all at once.
    Hold,
    /// Replies of a council process to those who are not of the council are lost.
    LostReplies,
    /// All that a process says or hears comes late by some seconds.
    SlowProcess,
    /// A council process is cut from everybody.
    Isolate,
}

const KINDS: [(&str, Kind); 20] = [
    ("stop-council", Kind::StopCouncil),
    ("kill-council", Kind::KillCouncil),
    ("empty-disk", Kind::EmptyDisk),
    ("cut-disk", Kind::CutDisk),
    ("old-disk", Kind::OldDisk),
    ("fail-disk", Kind::FailDisk),
    ("stop-agent", Kind::StopAgent),
    ("kill-agent", Kind::KillAgent),
    ("twin-agent", Kind::TwinAgent),
    ("stop-operator", Kind::StopOperator),
    ("kill-operator", Kind::KillOperator),
    ("cut", Kind::Cut),
    ("one-way", Kind::OneWay),
    ("split", Kind::Split),
    ("ring", Kind::Ring),
    ("slow", Kind::Slow),
    ("hold", Kind::Hold),
    ("lost-replies", Kind::LostReplies),
    ("slow-process", Kind::SlowProcess),
    ("isolate", Kind::Isolate),
];

/// What is done wrongly on purpose, to see that it is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedBug {
    /// Nothing.
    Nothing,
    /// A disk acknowledges before it has kept anything.
    AckBeforeSync,
    /// A council process acknowledges a step whose write has failed, and hears of the failure only then.
    AckBeforeFailedSync,
    /// A council process answers reads from what it has.
    StaleRead,
    /// A command that is asked again is carried out again.
    AppliedTwice,
    /// A holder counts its lease from when the grant came, by a clock that it takes for exact.
    LeaseWithoutMargin,
    /// A permit whose taker's lease has ended is taken for free.
    FreedBySilence,
    /// A budget is counted before the step that takes, and not looked at in it.
    CountedBefore,
    /// The barrier of a drain forgets agents that have never said anything of it.
    BarrierForgets,
    /// Operators agree on nothing: each takes out what it wants.
    Alone,
}

const PLANTED: [(&str, InjectedBug); 10] = [
    ("nothing", InjectedBug::Nothing),
    ("ack-before-sync", InjectedBug::AckBeforeSync),
    ("ack-before-failed-sync", InjectedBug::AckBeforeFailedSync),
    ("stale-read", InjectedBug::StaleRead),
    ("applied-twice", InjectedBug::AppliedTwice),
    ("lease-without-margin", InjectedBug::LeaseWithoutMargin),
    ("freed-by-silence", InjectedBug::FreedBySilence),
    ("counted-before", InjectedBug::CountedBefore),
    ("barrier-forgets", InjectedBug::BarrierForgets),
    ("alone", InjectedBug::Alone),
];

fn words<T>(words: &[(&str, T)]) -> String {
    words.iter().map(|(name, _)| *name).collect::<Vec<_>>().join(", ")
}

/// Whether a scenario is one of these.
pub fn is_council_scenario(text: &str) -> bool {
    text.parse::<toml::Table>().is_ok_and(|table| table.contains_key("council"))
}

/// Reads a scenario.
pub fn parse(text: &str) -> Result<Plan, Vec<Fault>> {
    let table = parse_toml(text)?;
    let (mut reader, root) = Reader::new(text, &table, &|_| None);
    let plan = read(&mut reader, root);
    let mut faults = std::mem::take(&mut reader.faults);
    faults.sort_by_key(|fault| (fault.line, fault.column));
    match plan {
        Some(plan) if faults.is_empty() => Ok(plan),
        _ => Err(faults),
    }
}

fn ms<'t>(
    reader: &mut Reader<'t>,
    section: &mut Section<'t>,
    key: &'static str,
    absent: Presence<f64>,
) -> Option<Micros> {
    let wanted = "milliseconds, 0 to 1e8";
    let read = |value: &DeValue<'_>| number(value).filter(|n| (0.0..=1e8).contains(n));
    reader.get(section, key, absent, wanted, read).map(|n| (n * 1e3) as Micros)
}

fn count<'t>(
    reader: &mut Reader<'t>,
    section: &mut Section<'t>,
    key: &'static str,
    (absent, least, most): (usize, usize, usize),
) -> Option<usize> {
    let read = move |value: &DeValue<'_>| {
        integer(value).and_then(|n| usize::try_from(n).ok()).filter(|n| (least..=most).contains(n))
    };
    reader.get(section, key, Presence::Default(absent), &format!("{least} to {most}"), read)
}

fn read<'t>(reader: &mut Reader<'t>, mut root: Section<'t>) -> Option<Plan> {
    let name = reader.get(&mut root, "name", Presence::Required, "a name", text);
    let length = ms(reader, &mut root, "length_ms", Presence::Required);
    let measured = reader.get(&mut root, "measured", Presence::Default(false), "true or false", boolean);
    let planted = reader.get(
        &mut root,
        "planted",
        Presence::Default(InjectedBug::Nothing),
        &format!("one of {}", words(&PLANTED)),
        one_of(&PLANTED),
    );

    let mut section = reader.section(&mut root, "council");
    let council = count(reader, &mut section, "processes", (3, 1, 9));
    let term = ms(reader, &mut section, "lease_ms", Presence::Default(3000.0));
    let drift = reader.get(&mut section, "drift", Presence::Default(0.01), "0 to 0.2", |value| {
        number(value).filter(|n| (0.0..=0.2).contains(n))
    });
    let tick = ms(reader, &mut section, "tick_ms", Presence::Default(50.0));
    let log_entries = count(reader, &mut section, "log_entries", (4096, 8, 1 << 20));
    let changes = count(reader, &mut section, "changes", (4096, 64, 1 << 20));
    reader.finish(section);

    let mut section = reader.section(&mut root, "agents");
    let agents = count(reader, &mut section, "count", (6, 0, 10_000));
    let sites = count(reader, &mut section, "sites", (3, 1, 100));
    reader.finish(section);

    let mut section = reader.section(&mut root, "clients");
    let clients = count(reader, &mut section, "count", (0, 0, 1000));
    let pause = ms(reader, &mut section, "pause_ms", Presence::Default(100.0));
    let watchers = count(reader, &mut section, "watchers", (0, 0, 1000));
    reader.finish(section);

    let mut section = reader.section(&mut root, "permits");
    let operators = count(reader, &mut section, "operators", (0, 0, 100));
    let permits = count(reader, &mut section, "most", (2, 1, 1000));
    reader.finish(section);

    let mut section = reader.section(&mut root, "servers");
    let servers = count(reader, &mut section, "count", (0, 0, 1000));
    let drainers = count(reader, &mut section, "drainers", (0, 0, 100));
    let servers_out = count(reader, &mut section, "most_out", (2, 1, 1000));
    reader.finish(section);

    let mut section = reader.section(&mut root, "links");
    let one_way = ms(reader, &mut section, "one_way_ms", Presence::Default(1.0));
    let spread = ms(reader, &mut section, "spread_ms", Presence::Default(1.0));
    reader.finish(section);

    let mut section = reader.section(&mut root, "chaos");
    let every = ms(reader, &mut section, "every_ms", Presence::Default(0.0));
    let most = ms(reader, &mut section, "most_ms", Presence::Default(5000.0));
    let wanted = format!("a list of {}", words(&KINDS));
    let faults = reader.get(&mut section, "of", Presence::Default(Vec::new()), &wanted, |value| {
        let kind = |word: &String| KINDS.iter().find(|(name, _)| name == word).map(|(_, kind)| *kind);
        text_list(value)?.iter().map(kind).collect()
    });
    reader.finish(section);

    let mut listed = Vec::new();
    for mut section in reader.sections(&mut root, "fault") {
        let at = ms(reader, &mut section, "at_ms", Presence::Required);
        let what = reader.get(
            &mut section,
            "what",
            Presence::Required,
            &format!("one of {}", words(&KINDS)),
            one_of(&KINDS),
        );
        let process = "a process as c0, a3, o1, or leader";
        let who = reader.get(&mut section, "who", Presence::Optional, process, text);
        let to = reader.get(&mut section, "to", Presence::Optional, process, text);
        let length = ms(reader, &mut section, "for_ms", Presence::Default(3000.0));
        reader.finish(section);
        listed.extend((|| Some(Listed { at: at?, what: what?, who, to, length: length? }))());
    }
    reader.finish(root);
    Some(Plan {
        name: name?,
        duration: length?,
        coordinators: council?,
        terms: LeaseTerms { duration: term?, max_clock_drift: drift? },
        tick: tick?.max(1000),
        log_entries: log_entries?,
        changes: changes?,
        agents: agents?,
        sites: sites?,
        clients: clients?,
        pause: pause?.max(1000),
        watchers: watchers?,
        operators: operators?,
        permits: permits? as u32,
        servers: servers?,
        drainers: drainers?,
        servers_out: servers_out? as u32,
        one_way: one_way?,
        spread: spread?,
        every: every?,
        most: most?.max(1000),
        faults: faults?,
        listed,
        measured: measured?,
        planted: planted?,
    })
}
