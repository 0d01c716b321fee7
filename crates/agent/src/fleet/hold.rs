//! `heronhoist hold`: acquires a permit for an agent, runs a command, and waits until the agent serves again. Neither this
//! program nor its exit releases the permit: only the agent itself does, or an operator by `heronhoist fleet free`.

use super::client::{Client, TargetArgs};
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

/// How often the permit is read while the wrapper waits for the agent, and, with a jitter of half of it, how often a permit is
/// requested.
const PERMIT_INTERVAL: Duration = Duration::from_millis(300);
/// How long the coordination service may take to grant the wrapper's lease.
const LEASE_TIMEOUT: Duration = Duration::from_secs(15);
/// How often the wrapper checks whether its lease is granted.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The limits of the delay between two requests of the lease holder, in microseconds.
const MIN_RENEWAL_DELAY: Time = 1_000;
const MAX_RENEWAL_DELAY: Time = 100_000;
/// The key prefix of the permits' records.
const BUDGET_PREFIX: &str = "budget/";
/// The exit code for a command that was ended by a signal.
const ENDED_BY_SIGNAL: u8 = 1;

/// Take a permit for an agent, run a command, and wait until the agent serves again.
///
/// Exit codes: the command's own; 3 no permit was granted and nothing was run; 4 the permit is still outstanding; 5 the council
/// did not respond.
#[derive(Args)]
pub struct Hold {
    /// The agent to take out of service, for example agent:n3.
    #[arg(long = "for", value_name = "THING")]
    unit: String,
    /// The reason, which is shown to others.
    #[arg(long)]
    why: String,
    /// Wait for a permit if none is available.
    #[arg(long)]
    wait: bool,
    #[command(flatten)]
    target: TargetArgs,
    /// The command and its arguments.
    #[arg(last = true, required = true)]
    command: Vec<String>,
}

/// Writes a line to standard error for the operator.
fn report(text: &str) {
    let _ = writeln!(std::io::stderr(), "heronhoist hold: {text}");
}

/// Runs `heronhoist hold`; returns its exit code.
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
    wrapper.acquire_permit(hold).await?;
    wrapper.start_disruption().await?;
    report(&format!("{} may be out: runs {}", hold.unit, hold.command.join(" ")));
    let code = run_command(&hold.command).await.map_err(|reason| wrapper.permit_outstanding(reason))?;
    wrapper.finish_disruption().await?;
    report(&format!("the command ended with {code}; waits until {} serves again", wrapper.agent));
    wrapper.wait_for_return().await?;
    wrapper.leave().await;
    Ok(code)
}

/// The wrapper around the command: a member of the fleet that acquires a permit for an agent.
struct Wrapper {
    /// The wrapper's name as a member.
    name: String,
    /// The incarnation of the wrapper's lease.
    incarnation: u64,
    lease: Lease,
    client: Client,
    /// The agent that is taken out of service.
    agent: String,
    /// The agent's site.
    site: String,
    /// The key of the record that holds the site's permits.
    budget_key: String,
}

impl Wrapper {
    /// Joins the fleet under a lease for this wrapper.
    async fn join(hold: &Hold) -> Result<Wrapper, CommandError> {
        let agent = hold.unit.strip_prefix("agent:").map(String::from);
        let agent =
            agent.ok_or_else(|| CommandError::Denied(format!("--for {}: wanted agent:NAME", hold.unit)))?;
        let name = format!("hold:{agent}:{}.{:08x}", std::process::id(), fastrand::u32(..));
        let mut client = Client::new(&hold.target, &name)?;
        let info = MemberInfo {
            name: name.clone(),
            site: String::new(),
            version: env!("CARGO_PKG_VERSION").into(),
            address: String::new(),
        };
        let lease = Lease::maintain(Client::new(&hold.target, &name)?, info);
        let incarnation = lease.wait_until_granted().await.ok_or(CommandError::NoLease)?;
        client.session = Some((incarnation, 0));

        let view = client.read("").await?;
        let site = view.members.get(&agent).map(|member| member.site.clone());
        let site = site.ok_or_else(|| CommandError::Denied(format!("the fleet has no agent {agent}")))?;
        let budget_key = permit::agent_budget_key(&site);
        Ok(Wrapper { name, incarnation, lease, client, agent, site, budget_key })
    }

    /// Acquires the permit; with `--wait`, waits until one is available.
    async fn acquire_permit(&mut self, hold: &Hold) -> Result<(), CommandError> {
        let (key, agent, taker) = (&self.budget_key, &self.agent, (self.name.as_str(), self.incarnation));
        let mut reported = String::new();
        loop {
            let acquire = |view: &View| permits::acquire_for_agent(view, key, agent, taker, &hold.why);
            let denial = match self.client.change("", acquire).await? {
                Ok(()) => return Ok(()),
                Err(denial) => denial,
            };
            if !(hold.wait && is_temporary(&denial)) {
                return Err(self.denied(&denial));
            }
            let reason = denial.to_string();
            if reason != reported {
                report(&format!("waits: {reason}"));
            }
            reported = reason;
            sleep(PERMIT_INTERVAL.mul_f64(0.5 + fastrand::f64())).await;
        }
    }

    fn denied(&self, denial: &BudgetDenial) -> CommandError {
        CommandError::Denied(match denial {
            BudgetDenial::Permits(PermitDenial::NoBudget(_)) => {
                let site = &self.site;
                format!("nobody has stated how many agents of {site} may be out; `heronhoist fleet permits --site {site} --most N` does")
            }
            denial => format!("{denial}; nothing was run"),
        })
    }

    /// Records that the disruption of the agent begins.
    async fn start_disruption(&mut self) -> Result<(), CommandError> {
        let (key, agent, taker) = (&self.budget_key, &self.agent, (self.name.as_str(), self.incarnation));
        let start = |view: &View| permit::start(view, key, agent, taker);
        let started = self.client.change(BUDGET_PREFIX, start).await;
        started
            .map_err(|error| self.permit_outstanding(error))?
            .map_err(|denial| self.permit_outstanding(denial))?;
        // The last check before the command runs: a wrapper whose process was paused may have lost its lease.
        if self.lease.held_incarnation() != Some(self.incarnation) {
            let reason = "the lease of this wrapper ended before the command was run; it was not run";
            return Err(self.permit_outstanding(reason));
        }
        Ok(())
    }

    /// Records that the command has exited.
    async fn finish_disruption(&mut self) -> Result<(), CommandError> {
        let (key, agent, taker) = (&self.budget_key, &self.agent, (self.name.as_str(), self.incarnation));
        let finish = |view: &View| permit::finish(view, key, agent, taker);
        let finished = self.client.change(BUDGET_PREFIX, finish).await;
        finished
            .map_err(|error| self.permit_outstanding(error))?
            .map_err(|denial| self.permit_outstanding(denial))
    }

    /// Waits until the agent has released the permit.
    async fn wait_for_return(&mut self) -> Result<(), CommandError> {
        let mut interrupt = signal(SignalKind::interrupt())?;
        let mut terminate = signal(SignalKind::terminate())?;
        loop {
            if let Ok(view) = self.client.read(BUDGET_PREFIX).await {
                if !self.is_permit_outstanding(&view) {
                    report(&format!("{} serves again; the permit is back", self.agent));
                    return Ok(());
                }
            }
            tokio::select! {
                () = sleep(PERMIT_INTERVAL) => {}
                _ = interrupt.recv() => return Err(self.permit_outstanding("interrupted")),
                _ = terminate.recv() => return Err(self.permit_outstanding("terminated by SIGTERM")),
            }
        }
    }

    /// Whether the permit that this wrapper acquired is outstanding.
    fn is_permit_outstanding(&self, view: &View) -> bool {
        let taker = (self.name.clone(), self.incarnation);
        permit::find(view, &self.budget_key, &self.agent).is_some_and(|permit| permit.taker == taker)
    }

    /// Leaves the fleet; if that fails, the lease expires by itself.
    async fn leave(&mut self) {
        let leave = self.lease.holder.borrow_mut().leave();
        if let Some(request) = leave {
            let _ = self.client.call(&request).await;
            let _ = self.client.forget(&self.name).await;
        }
    }

    fn permit_outstanding(&self, reason: impl ToString) -> CommandError {
        CommandError::PermitOutstanding { agent: self.agent.clone(), reason: reason.to_string() }
    }
}

/// Whether the permit may become available later without an operator's action.
fn is_temporary(denial: &BudgetDenial) -> bool {
    matches!(
        denial,
        BudgetDenial::LimitReached { .. }
            | BudgetDenial::Permits(PermitDenial::Exhausted { .. } | PermitDenial::AlreadyTaken { .. })
    )
}

/// The wrapper's lease, which is renewed in the background.
struct Lease {
    holder: Rc<RefCell<LeaseHolder>>,
    started_at: Instant,
    task: AbortHandle,
}

impl Drop for Lease {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Lease {
    /// Requests a lease, and renews it until the returned value is dropped.
    fn maintain(mut client: Client, info: MemberInfo) -> Lease {
        let started_at = Instant::now();
        let holder = Rc::new(RefCell::new(LeaseHolder::new(info, fastrand::u64(..), 0)));
        let shared_holder = Rc::clone(&holder);
        let task = spawn_local(async move {
            let now = || started_at.elapsed().as_micros() as Time;
            loop {
                let request = shared_holder.borrow_mut().next_request(now());
                if let Some(request) = request {
                    let incarnation = shared_holder.borrow().incarnation();
                    client.session = Some((incarnation, 0)).filter(|(incarnation, _)| *incarnation != 0);
                    let response = client.call_once(&request).await;
                    shared_holder.borrow_mut().handle_response(
                        now(),
                        response.as_ref().ok(),
                        response.as_ref().err().copied().unwrap_or(0),
                        fastrand::f64(),
                    );
                }
                let delay = shared_holder.borrow().next_request_at().unwrap_or(0).saturating_sub(now());
                sleep(Duration::from_micros(delay.clamp(MIN_RENEWAL_DELAY, MAX_RENEWAL_DELAY))).await;
            }
        })
        .abort_handle();
        Lease { holder, started_at, task }
    }

    /// Returns the incarnation, if the lease is held at this moment.
    fn held_incarnation(&self) -> Option<u64> {
        self.holder.borrow().held_incarnation(self.started_at.elapsed().as_micros() as Time)
    }

    /// Waits until the lease is granted and returns its incarnation, or `None` after [`LEASE_TIMEOUT`].
    async fn wait_until_granted(&self) -> Option<u64> {
        let deadline = Instant::now() + LEASE_TIMEOUT;
        while Instant::now() < deadline {
            if let Some(incarnation) = self.held_incarnation() {
                return Some(incarnation);
            }
            sleep(LEASE_CHECK_INTERVAL).await;
        }
        None
    }
}

/// Runs the command until it exits, and returns its exit code. The terminal sends Ctrl-C to the command too; SIGTERM is forwarded
/// to it.
async fn run_command(command: &[String]) -> Result<u8, String> {
    let (program, arguments) = command.split_first().ok_or("no command is given")?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let child = tokio::process::Command::new(program).args(arguments).spawn();
    let mut child = child.map_err(|e| format!("cannot run {program}: {e}"))?;
    loop {
        tokio::select! {
            status = child.wait() => {
                let status = status.map_err(|e| e.to_string())?;
                return Ok(status.code().and_then(|code| u8::try_from(code).ok()).unwrap_or(ENDED_BY_SIGNAL));
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
