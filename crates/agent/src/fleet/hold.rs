//! `heronhoist hold`: takes one of the stated permits for an agent, runs a command, and waits until the agent serves again.
//! The permit is not given back by this program, nor by its end: only by the agent itself, or by an operator's word.

use super::client::{Client, Where};
use clap::Args;
use heronhoist_council::holder::{About, Holder};
use heronhoist_council::permit::{self, Denied};
use heronhoist_council::wire::View;
use heronhoist_council::Time;
use heronhoist_disruption::denial::BudgetDenial;
use heronhoist_disruption::permits;
use std::cell::RefCell;
use std::io::Write;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, Instant};

/// How often the permit is looked at while the agent is awaited.
const LOOK_EVERY: Duration = Duration::from_millis(300);
/// Exit codes: no permit was given; it was interrupted with the permit out; the council gave no answer.
const NOT_GIVEN: u8 = 3;
const LEFT_OUT: u8 = 4;
const NO_COUNCIL: u8 = 5;

/// Take a permit for an agent, run a command, and wait until the agent serves again.
///
/// Exit codes: the command's own; 3 no permit was given and nothing was run; 4 the permit is still out; 5 the council did
/// not answer.
#[derive(Args)]
pub struct Hold {
    /// What is taken out, as agent:n3.
    #[arg(long = "for", value_name = "THING")]
    thing: String,
    /// Why; others see it.
    #[arg(long)]
    why: String,
    /// Wait for a permit if all are out.
    #[arg(long)]
    wait: bool,
    #[command(flatten)]
    at: Where,
    /// The command and its arguments.
    #[arg(last = true, required = true)]
    command: Vec<String>,
}

fn say(text: &str) {
    let _ = writeln!(std::io::stderr(), "heronhoist hold: {text}");
}

/// The wrapper's own lease, kept in the background.
struct Lease {
    holder: Rc<RefCell<Holder>>,
    begun: Instant,
    task: AbortHandle,
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Lease {
    fn keep(mut client: Client, about: About) -> Lease {
        let begun = Instant::now();
        let holder = Rc::new(RefCell::new(Holder::new(about, fastrand::u64(..), 0)));
        let kept = Rc::clone(&holder);
        let task = spawn_local(async move {
            let now = || begun.elapsed().as_micros() as Time;
            loop {
                let request = kept.borrow_mut().ask(now());
                if let Some(request) = request {
                    let incarnation = kept.borrow().incarnation();
                    client.session = Some((incarnation, 0)).filter(|(incarnation, _)| *incarnation != 0);
                    let answer = client.once(&request).await;
                    kept.borrow_mut().answered(
                        now(),
                        answer.as_ref().ok(),
                        answer.as_ref().err().copied().unwrap_or(0),
                        fastrand::f64(),
                    );
                }
                let wait = kept.borrow().due().unwrap_or(0).saturating_sub(now());
                sleep(Duration::from_micros(wait.clamp(1000, 100_000))).await;
            }
        })
        .abort_handle();
        Lease { holder, begun, task }
    }

    /// The incarnation, if the lease is there at this moment.
    fn holds(&self) -> Option<u64> {
        self.holder.borrow().holds(self.begun.elapsed().as_micros() as Time)
    }

    async fn taken(&self, within: Duration) -> Option<u64> {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Some(incarnation) = self.holds() {
                return Some(incarnation);
            }
            sleep(Duration::from_millis(10)).await;
        }
        None
    }
}

/// Does it all; the exit code.
pub async fn run(hold: Hold) -> u8 {
    match go(hold).await {
        Ok(code) => code,
        Err((code, why)) => {
            say(&why);
            code
        }
    }
}

async fn go(hold: Hold) -> Result<u8, (u8, String)> {
    let no_council = |why: String| (NO_COUNCIL, why);
    let agent = hold.thing.strip_prefix("agent:").map(String::from);
    let agent = agent.ok_or((NOT_GIVEN, format!("--for {}: wanted agent:NAME", hold.thing)))?;
    let name = format!("hold:{agent}:{}.{:08x}", std::process::id(), fastrand::u32(..));
    let client = |name: &str| Client::new(&hold.at, name).map_err(|why| (2, why));
    let mut council = client(&name)?;
    let about = About {
        name: name.clone(),
        site: String::new(),
        version: env!("CARGO_PKG_VERSION").into(),
        address: String::new(),
    };
    let lease = Lease::keep(client(&name)?, about);
    let within = Duration::from_secs(15);
    let incarnation = lease
        .taken(within)
        .await
        .ok_or_else(|| no_council("the council took no notice; nothing was run".into()))?;
    council.session = Some((incarnation, 0));
    let me = (name.as_str(), incarnation);

    let view = council.read("").await.map_err(no_council)?;
    let site = view.members.get(&agent).map(|member| member.site.clone());
    let site = site.ok_or((NOT_GIVEN, format!("the fleet has no agent {agent}")))?;
    let key = permit::agents_of(&site);
    let mut told = String::new();
    loop {
        let take = |view: &View| permits::take_agent(view, &key, &agent, me, &hold.why);
        match council.change("", take).await.map_err(no_council)? {
            Ok(()) => break,
            Err(BudgetDenial::Permits(Denied::NoBudget(_))) => {
                let why = format!("nobody has stated how many agents of {site} may be out; `heronhoist fleet permits --site {site} --most N` does");
                return Err((NOT_GIVEN, why));
            }
            Err(
                denied @ (BudgetDenial::LimitReached { .. }
                | BudgetDenial::Permits(Denied::AllOut { .. } | Denied::OutAlready { .. })),
            ) if hold.wait => {
                let why = denied.to_string();
                if why != told {
                    say(&format!("waits: {why}"));
                }
                told = why;
                sleep(LOOK_EVERY.mul_f64(0.5 + fastrand::f64())).await;
            }
            Err(denied) => return Err((NOT_GIVEN, format!("{denied}; nothing was run"))),
        }
    }
    let start = |view: &View| permit::start(view, &key, &agent, me);
    let started = council.change("budget/", start).await.map_err(|why| left(&agent, &why))?;
    started.map_err(|denied| left(&agent, &denied.to_string()))?;
    // At the last moment before: a wrapper that was stalled finds out here.
    if lease.holds() != Some(incarnation) {
        return Err(left(
            &agent,
            "the lease of this wrapper ended before the command was run; it was not run",
        ));
    }
    say(&format!("{} may be out: runs {}", hold.thing, hold.command.join(" ")));
    let code = command(&hold.command).await.map_err(|why| left(&agent, &why))?;

    let finish = |view: &View| permit::finish(view, &key, &agent, me);
    let finished = council.change("budget/", finish).await.map_err(|why| left(&agent, &why))?;
    finished.map_err(|denied| left(&agent, &denied.to_string()))?;
    say(&format!("the command ended with {code}; waits until {agent} serves again"));
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| (LEFT_OUT, e.to_string()))?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| (LEFT_OUT, e.to_string()))?;
    loop {
        if let Ok(view) = council.read("budget/").await {
            if permit::of(&view, &key, &agent)
                .is_none_or(|permit| permit.taker != (name.clone(), incarnation))
            {
                say(&format!("{agent} serves again; the permit is back"));
                break;
            }
        }
        tokio::select! {
            () = sleep(LOOK_EVERY) => {}
            _ = interrupt.recv() => return Err(left(&agent, "interrupted")),
            _ = terminate.recv() => return Err(left(&agent, "told to end")),
        }
    }
    let goodbye = lease.holder.borrow_mut().leave();
    if let Some(request) = goodbye {
        let _ = council.ask(&request).await;
        let _ = council.forget(&name).await;
    }
    Ok(code)
}

fn left(agent: &str, why: &str) -> (u8, String) {
    let how = format!("{why}; the permit for agent:{agent} stays out until the agent serves again, or `heronhoist fleet free agent:{agent} --why ...`");
    (LEFT_OUT, how)
}

/// Runs the command to its end. Ctrl-C goes to it as to any program of the terminal; SIGTERM is passed on.
async fn command(words: &[String]) -> Result<u8, String> {
    let (program, arguments) = words.split_first().ok_or("no command")?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let child = tokio::process::Command::new(program).args(arguments).spawn();
    let mut child = child.map_err(|e| format!("cannot run {program}: {e}"))?;
    loop {
        tokio::select! {
            ended = child.wait() => {
                let ended = ended.map_err(|e| e.to_string())?;
                return Ok(ended.code().and_then(|code| u8::try_from(code).ok()).unwrap_or(1));
            }
            _ = interrupt.recv() => say("waits for the command, which was interrupted too"),
            _ = terminate.recv() => {
                say("passes SIGTERM on to the command");
                let pid = child.id().and_then(|id| rustix::process::Pid::from_raw(id as i32));
                if let Some(pid) = pid {
                    let _ = rustix::process::kill_process(pid, rustix::process::Signal::TERM);
                }
            }
        }
    }
}
