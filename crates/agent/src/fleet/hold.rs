//! `heronhoist hold`: takes one of the stated permits for an agent, runs a command, and waits until the agent serves again.
//! The permit is not given back by this program, nor by its end: only by the agent itself, or by an operator's word.

use super::client::{Client, Where};
use super::command_error::CommandError;
use clap::Args;
use heronhoist_coordination::lease_holder::{LeaseHolder, MemberInfo};
use heronhoist_coordination::permit::{self, PermitDenial};
use heronhoist_coordination::wire::View;
use heronhoist_coordination::Time;
use heronhoist_disruption::denial::BudgetDenial;
use heronhoist_disruption::permits;
use std::cell::RefCell;
use std::io::Write;
use std::rc::Rc;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, Instant};

/// How often the permit is read while the wrapper waits for the agent; how often one is requested, jittered by half of it.
const PERMIT_INTERVAL: Duration = Duration::from_millis(300);
/// How long the coordination service may take to grant the wrapper's lease.
const LEASE_TIMEOUT: Duration = Duration::from_secs(15);
/// How often the wrapper checks whether its lease is granted.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Limits of the pause between two requests for the lease, in microseconds.
const MIN_RENEWAL_PAUSE: Time = 1_000;
const MAX_RENEWAL_PAUSE: Time = 100_000;
/// The keys of the permits' records begin so.
const BUDGET_PREFIX: &str = "budget/";
/// The exit code of a command that was ended by a signal.
const ENDED_BY_SIGNAL: u8 = 1;

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

/// Writes a line for the operator.
fn report(text: &str) {
    let _ = writeln!(std::io::stderr(), "heronhoist hold: {text}");
}

/// Carries out `heronhoist hold`; returns its exit code.
pub async fn run(hold: Hold) -> u8 {
    match run_under_permit(&hold).await {
        Ok(code) => code,
        Err(error) => {
            report(&error.to_string());
            error.exit_code()
        }
    }
}

async fn run_under_permit(hold: &Hold) -> Result<u8, CommandError> {
    let mut wrapper = Wrapper::join(hold).await?;
    wrapper.take_permit(hold).await?;
    wrapper.start_disruption().await?;
    report(&format!("{} may be out: runs {}", hold.thing, hold.command.join(" ")));
    let code = run_command(&hold.command).await.map_err(|why| wrapper.permit_out(why))?;
    wrapper.finish_disruption().await?;
    report(&format!("the command ended with {code}; waits until {} serves again", wrapper.agent));
    wrapper.wait_for_return().await?;
    wrapper.leave().await;
    Ok(code)
}

/// A wrapper that takes part in the fleet, and the permit that it takes.
struct Wrapper {
    /// The wrapper's name as a member, and the incarnation of its lease.
    name: String,
    incarnation: u64,
    lease: Lease,
    client: Client,
    /// The agent that is taken out of service, and its site.
    agent: String,
    site: String,
    /// The key of the record of the site's permits.
    key: String,
}

impl Wrapper {
    /// Joins the fleet under a lease of its own.
    async fn join(hold: &Hold) -> Result<Wrapper, CommandError> {
        let agent = hold.thing.strip_prefix("agent:").map(String::from);
        let agent =
            agent.ok_or_else(|| CommandError::Denied(format!("--for {}: wanted agent:NAME", hold.thing)))?;
        let name = format!("hold:{agent}:{}.{:08x}", std::process::id(), fastrand::u32(..));
        let mut client = Client::new(&hold.at, &name)?;
        let about = MemberInfo {
            name: name.clone(),
            site: String::new(),
            version: env!("CARGO_PKG_VERSION").into(),
            address: String::new(),
        };
        let lease = Lease::keep(Client::new(&hold.at, &name)?, about);
        let incarnation = lease.granted().await.ok_or(CommandError::NoLease)?;
        client.session = Some((incarnation, 0));

        let view = client.read("").await?;
        let site = view.members.get(&agent).map(|member| member.site.clone());
        let site = site.ok_or_else(|| CommandError::Denied(format!("the fleet has no agent {agent}")))?;
        let key = permit::agent_budget_key(&site);
        Ok(Wrapper { name, incarnation, lease, client, agent, site, key })
    }

    /// Takes the permit; waits for it if that is asked for.
    async fn take_permit(&mut self, hold: &Hold) -> Result<(), CommandError> {
        let (key, agent, taker) = (&self.key, &self.agent, (self.name.as_str(), self.incarnation));
        let mut reported = String::new();
        loop {
            let take = |view: &View| permits::acquire_for_agent(view, key, agent, taker, &hold.why);
            let denial = match self.client.change("", take).await? {
                Ok(()) => return Ok(()),
                Err(denial) => denial,
            };
            if !(hold.wait && is_temporary(&denial)) {
                return Err(self.not_given(&denial));
            }
            let why = denial.to_string();
            if why != reported {
                report(&format!("waits: {why}"));
            }
            reported = why;
            sleep(PERMIT_INTERVAL.mul_f64(0.5 + fastrand::f64())).await;
        }
    }

    fn not_given(&self, denial: &BudgetDenial) -> CommandError {
        CommandError::Denied(match denial {
            BudgetDenial::Permits(PermitDenial::NoBudget(_)) => {
                let site = &self.site;
                format!("nobody has stated how many agents of {site} may be out; `heronhoist fleet permits --site {site} --most N` does")
            }
            denial => format!("{denial}; nothing was run"),
        })
    }

    /// Records that the agent may be touched from now on.
    async fn start_disruption(&mut self) -> Result<(), CommandError> {
        let (key, agent, taker) = (&self.key, &self.agent, (self.name.as_str(), self.incarnation));
        let start = |view: &View| permit::start(view, key, agent, taker);
        let started = self.client.change(BUDGET_PREFIX, start).await;
        started.map_err(|error| self.permit_out(error))?.map_err(|denial| self.permit_out(denial))?;
        // At the last moment before the command: a wrapper that was paused finds out here.
        if self.lease.holds() != Some(self.incarnation) {
            let why = "the lease of this wrapper ended before the command was run; it was not run";
            return Err(self.permit_out(why));
        }
        Ok(())
    }

    /// Records that the command has ended.
    async fn finish_disruption(&mut self) -> Result<(), CommandError> {
        let (key, agent, taker) = (&self.key, &self.agent, (self.name.as_str(), self.incarnation));
        let finish = |view: &View| permit::finish(view, key, agent, taker);
        let finished = self.client.change(BUDGET_PREFIX, finish).await;
        finished.map_err(|error| self.permit_out(error))?.map_err(|denial| self.permit_out(denial))
    }

    /// Waits until the agent has given the permit back.
    async fn wait_for_return(&mut self) -> Result<(), CommandError> {
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut terminate = signal(SignalKind::terminate())?;
        loop {
            if let Ok(view) = self.client.read(BUDGET_PREFIX).await {
                if !self.has_permit(&view) {
                    report(&format!("{} serves again; the permit is back", self.agent));
                    return Ok(());
                }
            }
            tokio::select! {
                () = sleep(PERMIT_INTERVAL) => {}
                _ = interrupt.recv() => return Err(self.permit_out("interrupted")),
                _ = terminate.recv() => return Err(self.permit_out("told to end")),
            }
        }
    }

    /// Whether the permit that this wrapper took is out.
    fn has_permit(&self, view: &View) -> bool {
        let taker = (self.name.clone(), self.incarnation);
        permit::find(view, &self.key, &self.agent).is_some_and(|permit| permit.taker == taker)
    }

    /// Leaves the fleet; if that fails, the lease expires by itself.
    async fn leave(&mut self) {
        let leave = self.lease.holder.borrow_mut().leave();
        if let Some(request) = leave {
            let _ = self.client.ask(&request).await;
            let _ = self.client.forget(&self.name).await;
        }
    }

    fn permit_out(&self, why: impl ToString) -> CommandError {
        CommandError::PermitOut { agent: self.agent.clone(), why: why.to_string() }
    }
}

/// Whether the permit may be granted later without an operator's doing.
fn is_temporary(denial: &BudgetDenial) -> bool {
    matches!(
        denial,
        BudgetDenial::LimitReached { .. }
            | BudgetDenial::Permits(PermitDenial::Exhausted { .. } | PermitDenial::AlreadyTaken { .. })
    )
}

/// The wrapper's own lease, renewed in the background.
struct Lease {
    holder: Rc<RefCell<LeaseHolder>>,
    begun: Instant,
    task: AbortHandle,
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Lease {
    /// Requests a lease, and renews it until this is dropped.
    fn keep(mut client: Client, about: MemberInfo) -> Lease {
        let begun = Instant::now();
        let holder = Rc::new(RefCell::new(LeaseHolder::new(about, fastrand::u64(..), 0)));
        let kept = Rc::clone(&holder);
        let task = spawn_local(async move {
            let now = || begun.elapsed().as_micros() as Time;
            loop {
                let request = kept.borrow_mut().next_request(now());
                if let Some(request) = request {
                    let incarnation = kept.borrow().incarnation();
                    client.session = Some((incarnation, 0)).filter(|(incarnation, _)| *incarnation != 0);
                    let answer = client.once(&request).await;
                    kept.borrow_mut().handle_response(
                        now(),
                        answer.as_ref().ok(),
                        answer.as_ref().err().copied().unwrap_or(0),
                        fastrand::f64(),
                    );
                }
                let wait = kept.borrow().next_request_at().unwrap_or(0).saturating_sub(now());
                sleep(Duration::from_micros(wait.clamp(MIN_RENEWAL_PAUSE, MAX_RENEWAL_PAUSE))).await;
            }
        })
        .abort_handle();
        Lease { holder, begun, task }
    }

    /// The incarnation, if the lease is held at this moment.
    fn holds(&self) -> Option<u64> {
        self.holder.borrow().held_incarnation(self.begun.elapsed().as_micros() as Time)
    }

    /// Waits until the lease is granted; `None` if it is not in time.
    async fn granted(&self) -> Option<u64> {
        let until = Instant::now() + LEASE_TIMEOUT;
        while Instant::now() < until {
            if let Some(incarnation) = self.holds() {
                return Some(incarnation);
            }
            sleep(LEASE_CHECK_INTERVAL).await;
        }
        None
    }
}

/// Runs the command to its end. Ctrl-C goes to it as to any program of the terminal; SIGTERM is passed on.
async fn run_command(words: &[String]) -> Result<u8, String> {
    let (program, arguments) = words.split_first().ok_or("no command")?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let child = tokio::process::Command::new(program).args(arguments).spawn();
    let mut child = child.map_err(|e| format!("cannot run {program}: {e}"))?;
    loop {
        tokio::select! {
            ended = child.wait() => {
                let ended = ended.map_err(|e| e.to_string())?;
                return Ok(ended.code().and_then(|code| u8::try_from(code).ok()).unwrap_or(ENDED_BY_SIGNAL));
            }
            _ = interrupt.recv() => report("waits for the command, which was interrupted too"),
            _ = terminate.recv() => {
                report("passes SIGTERM on to the command");
                let pid = child.id().and_then(|id| rustix::process::Pid::from_raw(id as i32));
                if let Some(pid) = pid {
                    let _ = rustix::process::kill_process(pid, rustix::process::Signal::TERM);
                }
            }
        }
    }
}
