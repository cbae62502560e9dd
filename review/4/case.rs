//! Processes that read the tables for their zones are killed as the store returns from a short outage. A change of
//! the configuration right after it has to be in force in time at the entries, which are disturbed by neither.

#[path = "../standins-2/platform/harness.rs"]
mod harness;

use harness::{ClientRequest, Deployment, Entry, Host, Process, Record, Route, Store, call, config};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const ZONES: [&str; 3] = ["a", "b", "c"];
const ENTRIES: usize = 6;
/// Model workers, each with the project's process beside it, as in a small deployment.
const MODEL_WORKERS: usize = 12;
/// Processes that are killed at once: the share of 0.55.
const KILLED: usize = 7;
/// Length of an outage of the store; the pages' longest is 4.5 s.
const OUTAGE: Duration = Duration::from_millis(2_300);
/// How long before the end of the outage the processes are killed, and when they start again.
const KILL_LEAD: Duration = Duration::from_millis(150);
const RESTART_AFTER: Duration = Duration::from_millis(500);
/// The bounds `configApplyMs` and `contactMs`.
const APPLY: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time from the end of an outage to the next one.
const CALM: Duration = Duration::from_millis(6_000);
const CYCLES: usize = 11;
/// Requests of a second at each entry.
const REQUESTS_PER_S: u64 = 10;
const SERVICES: [&str; 2] = ["records", "records-2"];

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let code = match args.get(1).map(String::as_str) {
        Some("worker") => harness::serve_worker(&args[2], args[3].parse().unwrap()),
        _ => run(Path::new(&args[1])).unwrap_or_else(|error| {
            eprintln!("the case could not run: {error}");
            2
        }),
    };
    std::process::exit(code);
}

fn run(folder: &Path) -> std::io::Result<i32> {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&folder.join("record.txt"))?;
    let temporary = std::env::temp_dir().join(format!("review-4-{}", std::process::id()));
    std::fs::create_dir_all(&temporary)?;
    let outcome = play(&temporary, &record, trouble);
    if std::env::var("KEEP").is_err() {
        std::fs::remove_dir_all(&temporary)?;
    }
    outcome
}

/// A configuration in which the route leads to one of the two services.
fn config_to(version: u64, service: &str) -> String {
    let route = Route {
        prefix: "/read/",
        kind: "idempotent",
        service,
        timeout_ms: 2_000,
        attempts: 2,
        resumable: false,
    };
    config(version, &[route], &["key-a"])
}

/// A change of the route, with the time from which requests have to follow it.
struct Change {
    acknowledged: Instant,
    service: &'static str,
    /// Requests sent from then on must not run at the other service: the bound after the acknowledgement, and the
    /// time after which machines are in touch again.
    judged_from: Instant,
    judged_until: Instant,
}

/// When and where each request was sent.
type Sent = Arc<Mutex<HashMap<String, (Instant, usize)>>>;

fn play(folder: &Path, record: &Record, trouble: bool) -> std::io::Result<i32> {
    let store = Store::start("127.0.0.1:0")?;
    store.put("op", "config", &config_to(1, SERVICES[0]));
    let rank_port = harness::free_port("127.0.0.11");
    let deployment = Deployment { store: Arc::clone(&store), folder: folder.to_owned(), rank_port };
    let mut hosts: Vec<Host> = (0..MODEL_WORKERS)
        .map(|index| deployment.add_host(index, ZONES[index % 3]))
        .collect::<Result<_, _>>()?;
    let mut plain = Vec::new();
    for index in 0..6 {
        plain.push(deployment.add_plain(index, SERVICES[index / 3], ZONES[index % 3])?);
    }
    let (mut entries, mut callers): (Vec<Process>, Vec<SocketAddr>) = (Vec::new(), Vec::new());
    for index in 0..ENTRIES {
        let (port, ready) = (harness::free_port("127.0.0.1"), harness::free_port("127.0.0.1"));
        let host = format!("frontend-{index}");
        let place =
            Entry { host: &host, zone: ZONES[index % 3], callers: port, ready, fail_closed: false };
        let args = harness::entry_args(&place, rank_port, store.address);
        entries.push(Process::start(&harness::porthoistd(), &args, &folder.join(&host))?);
        callers.push(format!("127.0.0.1:{port}").parse().unwrap());
        if !harness::wait_ready(format!("127.0.0.1:{ready}").parse().unwrap(), Duration::from_secs(20)) {
            return Err(std::io::Error::other("an entry did not become ready"));
        }
    }
    record.line(if trouble { "start" } else { "start, without the disruption" });
    let (stop, sent) = (Arc::new(AtomicBool::new(false)), Sent::default());
    let clients: Vec<_> = callers
        .iter()
        .enumerate()
        .map(|(index, address)| start_client(index, *address, record, &stop, &sent))
        .collect();
    std::thread::sleep(CONTACT);
    let mut changes: Vec<Change> = Vec::new();
    for cycle in 0..CYCLES {
        let began = Instant::now();
        if let Some(last) = changes.last_mut() {
            last.judged_until = began;
        }
        if trouble {
            record.line("the store gives no answers");
            store.set_silent(true);
        }
        std::thread::sleep(OUTAGE - KILL_LEAD);
        let killed = if trouble { kill_readers(&mut hosts, record) } else { Vec::new() };
        std::thread::sleep((began + OUTAGE).saturating_duration_since(Instant::now()));
        store.set_silent(false);
        let returned = Instant::now();
        record.line("the store answers");
        std::thread::sleep(Duration::from_millis(50));
        let service = SERVICES[(cycle + 1) % 2];
        let version = cycle as u64 + 2;
        store.put("op", "config", &config_to(version, service));
        let acknowledged = Instant::now();
        record.line(&format!("version {version} acknowledged: the route leads to {service}"));
        let judged_from = (acknowledged + APPLY).max(returned + CONTACT);
        changes.push(Change { acknowledged, service, judged_from, judged_until: judged_from });
        std::thread::sleep((began + OUTAGE - KILL_LEAD + RESTART_AFTER).saturating_duration_since(Instant::now()));
        for index in killed {
            hosts[index].restart_rank()?;
        }
        std::thread::sleep((returned + CALM).saturating_duration_since(Instant::now()));
    }
    if let Some(last) = changes.last_mut() {
        last.judged_until = Instant::now();
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let alive = entries.iter_mut().filter_map(|entry| entry.running().then_some(())).count();
    if alive < ENTRIES {
        return Err(std::io::Error::other("an entry has ended"));
    }
    judge(folder, record, &sent.lock().unwrap(), &changes)
}

/// Kills the processes that read the tables for their zones, zone by zone.
fn kill_readers(hosts: &mut [Host], record: &Record) -> Vec<usize> {
    let mut readers: Vec<usize> = (0..hosts.len()).filter(|index| hosts[*index].reads_tables()).collect();
    readers.sort_by_key(|index| (index % 3, *index));
    readers.truncate(KILLED);
    for index in &readers {
        hosts[*index].rank.kill();
    }
    record.line(&format!("SIGKILL: the processes beside workers {readers:?}"));
    readers
}

/// Sends requests to one entry, each on a connection of its own.
fn start_client(
    entry: usize,
    address: SocketAddr,
    record: &Record,
    stop: &Arc<AtomicBool>,
    sent: &Sent,
) -> std::thread::JoinHandle<()> {
    let (record, stop, sent) = (record.clone(), Arc::clone(stop), Arc::clone(sent));
    std::thread::spawn(move || {
        for number in 0.. {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let (record, sent) = (record.clone(), Arc::clone(&sent));
            std::thread::spawn(move || {
                let attempt = format!("{entry}-{number:08x}");
                let request = ClientRequest {
                    method: "GET",
                    path: "/read/x",
                    attempt: &attempt,
                    deadline_ms: 2_000,
                    prompt: None,
                    body: "",
                };
                let request = request.bytes();
                sent.lock().unwrap().insert(attempt.clone(), (Instant::now(), entry));
                let answer = call(address, &request, Duration::from_secs(3));
                let status = answer.map_or(0, |answer| answer.head.status());
                record.line(&format!("answered {attempt} status {status}"));
            });
            std::thread::sleep(Duration::from_millis(1_000 / REQUESTS_PER_S));
        }
    })
}

/// A request that is sent later than the bound after the acknowledgement and runs at the service of the older
/// version breaks the rule.
fn judge(
    folder: &Path,
    record: &Record,
    sent: &HashMap<String, (Instant, usize)>,
    changes: &[Change],
) -> std::io::Result<i32> {
    let (mut runs, mut broken, mut judged) = (0, 0, 0);
    let mut logs: Vec<PathBuf> = std::fs::read_dir(folder)?.flatten().map(|entry| entry.path()).collect();
    logs.sort();
    for path in logs.iter().filter(|path| path.to_string_lossy().contains("worker-records")) {
        for line in std::fs::read_to_string(path)?.lines() {
            let [id, "runs", attempt, ..] = line.split(' ').collect::<Vec<_>>()[..] else { continue };
            runs += 1;
            let Some((at, entry)) = sent.get(attempt) else { continue };
            let Some(change) = changes.iter().find(|change| change.judged_from < *at && *at < change.judged_until)
            else {
                continue;
            };
            judged += 1;
            let service = id.rsplit_once('-').map_or(id, |(service, _index)| service);
            if service != change.service {
                broken += 1;
                let (late, second) = (*at - change.acknowledged, *at - record.started);
                record.line(&format!(
                    "broken: {attempt}, sent to entry {entry} at {:.3} s, {:.3} s after the acknowledgement, ran at {id}",
                    second.as_secs_f64(),
                    late.as_secs_f64()
                ));
            }
        }
    }
    let line = format!("{runs} runs, {judged} judged, {broken} of them as only an older version allows");
    record.line(&line);
    println!("{line}");
    if judged < 100 {
        return Err(std::io::Error::other("too few requests"));
    }
    Ok(i32::from(broken > 0))
}
