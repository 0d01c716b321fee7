//! An open-loop load generator: sends HTTP/1.1 requests to any address at times that do not depend on responses, so that a
//! slow response neither delays the next request nor hides how long other requests waited.

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

/// The options of the `load` command.
#[derive(Debug, Clone, clap::Args)]
pub struct Load {
    /// The address to send requests to.
    #[arg(long)]
    to: SocketAddr,
    /// Requests per second.
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    /// The duration in seconds.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// The class, which is also the first segment of the path.
    #[arg(long, default_value = "lookup")]
    class: String,
    /// The time budget of each request in milliseconds.
    #[arg(long, default_value_t = 1000)]
    budget_ms: u64,
    /// Send POST requests with this body instead of GET requests.
    #[arg(long)]
    body: Option<String>,
    /// An additional header, as NAME:VALUE; may be repeated.
    #[arg(long)]
    header: Vec<String>,
    /// The maximum number of requests in flight; requests beyond it are counted but not sent.
    #[arg(long = "most", value_name = "MOST", default_value_t = 10_000)]
    max_in_flight: usize,
    /// The seed of the send times.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

struct Counts {
    latencies: Histogram<u64>,
    results: BTreeMap<String, u64>,
}

/// Sends the requests. Returns a summary as text, and whether any response had status 200.
pub fn run(load: &Load) -> Result<(String, bool), String> {
    if !(load.rate > 0.0 && load.rate <= 1e6 && load.seconds > 0.0 && load.seconds <= 86_400.0) {
        return Err("--rate must be above 0 and at most 1000000, --seconds above 0 and at most 86400".into());
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("cannot create the async runtime: {e}"))?;
    let counts =
        Counts { latencies: Histogram::new(3).map_err(|e| e.to_string())?, results: BTreeMap::new() };
    let counts = Rc::new(RefCell::new(counts));
    let local = LocalSet::new();
    local.block_on(&runtime, send_all(load.clone(), Rc::clone(&counts)));
    let counts = counts.borrow();
    let mut text = String::new();
    let total: u64 = counts.results.values().sum();
    for (result, count) in &counts.results {
        let _ = writeln!(text, "{result:<24} {count:>9}  {:.4}", *count as f64 / total.max(1) as f64);
    }
    let _ = writeln!(text, "latency of responses with status 200 in ms, from the scheduled send time:");
    for share in [0.5, 0.9, 0.99, 0.999, 1.0] {
        let _ =
            writeln!(text, "  {share:<6} {:>9.2}", counts.latencies.value_at_quantile(share) as f64 / 1e3);
    }
    Ok((text, !counts.latencies.is_empty()))
}

async fn send_all(load: Load, counts: Rc<RefCell<Counts>>) {
    let mut rng = Pcg64::seed_from_u64(load.seed);
    let (start, mut offset, mut number) = (Instant::now(), 0.0, 0_u64);
    let pending = Rc::new(Cell::new(0_usize));
    let idle: Rc<RefCell<Vec<Connection>>> = Rc::default();
    let process: u32 = std::process::id();
    loop {
        offset += -(1.0 - rng.random::<f64>()).ln() / load.rate;
        if offset >= load.seconds || INTERRUPTED.load(Ordering::Relaxed) {
            break;
        }
        let due = start + Duration::from_secs_f64(offset);
        sleep_until(due).await;
        number += 1;
        if pending.get() >= load.max_in_flight {
            *counts.borrow_mut().results.entry("not sent: too many".into()).or_default() += 1;
            continue;
        }
        pending.set(pending.get() + 1);
        let (load, counts) = (load.clone(), Rc::clone(&counts));
        let (pending, idle) = (Rc::clone(&pending), Rc::clone(&idle));
        let id = format!("{process:08x}{number:08x}");
        spawn_local(async move {
            let remaining = Duration::from_millis(load.budget_ms).saturating_sub(due.elapsed());
            let response =
                timeout(remaining + Duration::from_millis(250), send(&load, &id, remaining, &idle)).await;
            let result = match response {
                Ok(Ok(200)) => {
                    let _ = counts.borrow_mut().latencies.record(due.elapsed().as_micros() as u64);
                    "200".into()
                }
                Ok(Ok(status)) => status.to_string(),
                Ok(Err(e)) => e.kind().to_string(),
                Err(_) => "no response in time".into(),
            };
            *counts.borrow_mut().results.entry(result).or_default() += 1;
            pending.set(pending.get() - 1);
        });
    }
    while pending.get() > 0 {
        sleep(Duration::from_millis(5)).await;
    }
}

async fn send(
    load: &Load,
    id: &str,
    remaining: Duration,
    idle: &RefCell<Vec<Connection>>,
) -> std::io::Result<u16> {
    let method = if load.body.is_some() { "POST" } else { "GET" };
    let mut text = format!(
        "{method} /{class} HTTP/1.1\r\nHost: load\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\nX-Budget-Ms: {}\r\n",
        remaining.as_millis().max(1),
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
        let reusable = idle.borrow_mut().pop();
        let reused = reusable.is_some();
        let mut connection = match reusable {
            Some(connection) => connection,
            None => Connection::new(TcpStream::connect(load.to).await?),
        };
        match connection.exchange(text.as_bytes()).await {
            Ok(Some(response)) => {
                if !response.closes {
                    idle.borrow_mut().push(connection);
                }
                return Ok(response.status);
            }
            // The peer closed the idle connection between two requests.
            Ok(None) | Err(_) if reused => idle.borrow_mut().clear(),
            Ok(None) => return Err(std::io::ErrorKind::UnexpectedEof.into()),
            Err(e) => return Err(e),
        }
    }
}
