//! A load generator of its own: requests over HTTP/1.1 to any address, at times drawn ahead, so that a slow answer neither
//! slows the next request nor hides how long others had to wait.

use crate::emulation::INTERRUPTED;
use crate::wire::Connection;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, timeout, Instant};

/// What is sent, and how often.
#[derive(Debug, Clone, clap::Args)]
pub struct Load {
    /// Where to.
    #[arg(long)]
    to: SocketAddr,
    /// Requests a second.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    /// For so many seconds.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// The class, which is the first part of the path too.
    #[arg(long, default_value = "lookup")]
    class: String,
    /// How long each client waits.
    #[arg(long, default_value_t = 1000)]
    budget_ms: u64,
    /// POST with this body instead of GET.
    #[arg(long)]
    body: Option<String>,
    /// Further headers, as NAME:VALUE.
    #[arg(long)]
    header: Vec<String>,
    /// Requests under way at most; what comes beyond is counted and not sent.
    #[arg(long, default_value_t = 10_000)]
    most: usize,
    /// For all draws.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

struct Counts {
    times: Histogram<u64>,
    ends: BTreeMap<String, u64>,
}

/// Sends it all; returns what came of it as text, and whether anything was answered with 200.
pub fn run(load: &Load) -> Result<(String, bool), String> {
    if !(load.rate > 0.0 && load.rate <= 1e6 && load.seconds > 0.0 && load.seconds <= 86_400.0) {
        return Err("the rate must be up to 1000000 a second, and the time up to a day".into());
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("no runtime: {e}"))?;
    let counts = Counts { times: Histogram::new(3).map_err(|e| e.to_string())?, ends: BTreeMap::new() };
    let counts = Rc::new(RefCell::new(counts));
    let local = LocalSet::new();
    local.block_on(&runtime, send_all(load.clone(), Rc::clone(&counts)));
    let counts = counts.borrow();
    let mut text = String::new();
    let all: u64 = counts.ends.values().sum();
    for (end, n) in &counts.ends {
        let _ = writeln!(text, "{end:<24} {n:>9}  {:.4}", *n as f64 / all.max(1) as f64);
    }
    let _ = writeln!(text, "answered with 200, in ms from when each was meant to be sent:");
    for share in [0.5, 0.9, 0.99, 0.999, 1.0] {
        let _ = writeln!(text, "  {share:<6} {:>9.2}", counts.times.value_at_quantile(share) as f64 / 1e3);
    }
    Ok((text, !counts.times.is_empty()))
}

async fn send_all(load: Load, counts: Rc<RefCell<Counts>>) {
    let mut rng = Pcg64::seed_from_u64(load.seed);
    let (start, mut at, mut number) = (Instant::now(), 0.0, 0_u64);
    let pending = Rc::new(Cell::new(0_usize));
    let resting: Rc<RefCell<Vec<Connection>>> = Rc::default();
    let run: u32 = std::process::id();
    loop {
        at += -(1.0 - rng.random::<f64>()).ln() / load.rate;
        if at >= load.seconds || INTERRUPTED.load(Ordering::Relaxed) {
            break;
        }
        let due = start + Duration::from_secs_f64(at);
        sleep_until(due).await;
        number += 1;
        if pending.get() >= load.most {
            *counts.borrow_mut().ends.entry("not sent: too many".into()).or_default() += 1;
            continue;
        }
        pending.set(pending.get() + 1);
        let (load, counts) = (load.clone(), Rc::clone(&counts));
        let (pending, resting) = (Rc::clone(&pending), Rc::clone(&resting));
        let id = format!("{run:08x}{number:08x}");
        spawn_local(async move {
            let left = Duration::from_millis(load.budget_ms).saturating_sub(due.elapsed());
            let asked = timeout(left + Duration::from_millis(250), ask(&load, &id, left, &resting)).await;
            let end = match asked {
                Ok(Ok(200)) => {
                    let _ = counts.borrow_mut().times.record(due.elapsed().as_micros() as u64);
                    "200".into()
                }
                Ok(Ok(status)) => status.to_string(),
                Ok(Err(e)) => e.kind().to_string(),
                Err(_) => "no answer in time".into(),
            };
            *counts.borrow_mut().ends.entry(end).or_default() += 1;
            pending.set(pending.get() - 1);
        });
    }
    while pending.get() > 0 {
        sleep(Duration::from_millis(5)).await;
    }
}

async fn ask(
    load: &Load,
    id: &str,
    left: Duration,
    resting: &RefCell<Vec<Connection>>,
) -> std::io::Result<u16> {
    let method = if load.body.is_some() { "POST" } else { "GET" };
    let mut text = format!(
        "{method} /{class} HTTP/1.1\r\nHost: load\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\nX-Budget-Ms: {}\r\n",
        left.as_millis().max(1),
        class = load.class
    );
    for header in &load.header {
        text += &format!("{header}\r\n");
    }
    match &load.body {
        Some(body) => text += &format!("Content-Length: {}\r\n\r\n{body}", body.len()),
        None => text += "\r\n",
    }
    loop {
        let kept = resting.borrow_mut().pop();
        let reused = kept.is_some();
        let mut line = match kept {
            Some(line) => line,
            None => Connection::new(TcpStream::connect(load.to).await?),
        };
        match line.exchange(text.as_bytes()).await {
            Ok(Some(answer)) => {
                if !answer.closes {
                    resting.borrow_mut().push(line);
                }
                return Ok(answer.status);
            }
            // It was closed between two requests.
            Ok(None) | Err(_) if reused => resting.borrow_mut().clear(),
            Ok(None) => return Err(std::io::ErrorKind::UnexpectedEof.into()),
            Err(e) => return Err(e),
        }
    }
}
