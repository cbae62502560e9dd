//! Workers are reclaimed two seconds after their notice, while they answer streams without a length.

#[path = "../standins-2/harness.rs"]
mod harness;

use harness::{Deployment, EVENTS, Host, Process, Record, Route, Store, call, config, worker_row};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// One worker of seven is reclaimed at a time: the pages' share of 0.15.
const WORKERS: usize = 7;
/// Number of workers that are reclaimed, one after the other.
const WAVES: usize = 3;
/// A reclaimed worker is gone two seconds after its notice, and another comes four seconds later.
const NOTICE: Duration = Duration::from_secs(2);
/// Time after the notice when a worker that isn't reclaimed has left: its streams have ended by then.
const LEAVE: Duration = Duration::from_secs(7);
/// With these, 6 of about 210 answers have no length: the pages' share of 0.03.
const STREAM_INTERVAL: Duration = Duration::from_millis(130);

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
    let mut workers: Vec<PathBuf> = std::fs::read_dir(&temporary)?.flatten().map(|entry| entry.path()).collect();
    workers.sort();
    for path in workers.iter().filter(|path| path.to_string_lossy().contains("worker-")) {
        for line in std::fs::read_to_string(path).unwrap_or_default().lines() {
            record.line(&format!("ran: {line}"));
        }
    }
    if std::env::var("KEEP").is_err() {
        std::fs::remove_dir_all(&temporary)?;
    }
    outcome
}

fn play(folder: &Path, record: &Record, trouble: bool) -> std::io::Result<i32> {
    let store = Store::start("127.0.0.1:0")?;
    let route = Route {
        prefix: "/stream/",
        kind: "streaming",
        service: "model",
        timeout_ms: 8_000,
        attempts: 2,
        resumable: true,
    };
    store.put("op", "config", &config(1, &[route], &["key-a"]));
    let rank_port = harness::free_port("127.0.0.11");
    let deployment = Deployment { store: Arc::clone(&store), folder: folder.to_owned(), rank_port };
    let mut hosts = (0..WORKERS).map(|index| deployment.add_host(index)).collect::<Result<Vec<_>, _>>()?;
    let (callers, ready) = (harness::free_port("127.0.0.1"), harness::free_port("127.0.0.1"));
    let args = harness::entry_args("frontend-1", "127.0.0.1", callers, ready, rank_port, store.address);
    let _entry = Process::start(&harness::porthoistd(), &args, &folder.join("entry"))?;
    if !harness::wait_ready(format!("127.0.0.1:{ready}").parse().unwrap(), Duration::from_secs(20)) {
        return Err(std::io::Error::other("the entry did not become ready"));
    }
    record.line(if trouble { "start" } else { "start, without the disruption" });
    let stop = Arc::new(AtomicBool::new(false));
    let results: Arc<Mutex<HashMap<String, (u16, bool, u32)>>> = Arc::default();
    let clients = start_clients(format!("127.0.0.1:{callers}").parse().unwrap(), record, &stop, &results);
    std::thread::sleep(Duration::from_secs(4));
    for wave in 0..WAVES {
        let Host { id, address, .. } = &hosts[wave];
        let (id, address) = (id.clone(), *address);
        let control = format!("POST /control/unframed HTTP/1.1\r\nHost: {address}\r\nContent-Length: 0\r\n\r\n");
        call(address, control.as_bytes(), Duration::from_secs(1))?;
        std::thread::sleep(Duration::from_millis(1_500));
        store.put("servers", &id, &worker_row("model", address, "draining", 2));
        record.line(&format!("{id} reports that it is draining"));
        std::thread::sleep(if trouble { NOTICE } else { LEAVE });
        hosts[wave].worker.kill();
        record.line(&format!("{id} is gone"));
        // Three heartbeats of silence.
        std::thread::sleep(Duration::from_millis(3_600));
        store.remove("servers", &id);
        hosts.push(deployment.add_host(WORKERS + wave)?);
        std::thread::sleep(Duration::from_millis(400));
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients.join().expect("the clients' thread ends") {
        let _ = client.join();
    }
    judge(record, &results.lock().unwrap())
}

type Results = Arc<Mutex<HashMap<String, (u16, bool, u32)>>>;
type Clients = std::thread::JoinHandle<Vec<std::thread::JoinHandle<()>>>;

fn start_clients(entry: SocketAddr, record: &Record, stop: &Arc<AtomicBool>, results: &Results) -> Clients {
    let (record, stop, results) = (record.clone(), Arc::clone(stop), Arc::clone(results));
    std::thread::spawn(move || {
        let mut clients = Vec::new();
        for number in 0.. {
            if stop.load(Ordering::Relaxed) {
                break;
            }
            let (record, results) = (record.clone(), Arc::clone(&results));
            clients.push(std::thread::spawn(move || {
                let attempt = format!("{number:016x}");
                let request = format!(
                    "POST /stream/x HTTP/1.1\r\nHost: demo.example\r\nX-Porthoist-Attempt-Id: {attempt}\r\n\
                     X-Porthoist-Model: m\r\nX-Porthoist-Token-Usage: 100,160\r\n\
                     X-Porthoist-Prompt-Prefix: {number:x}:100\r\nX-Porthoist-Deadline-Remaining: 8000\r\n\
                     Authorization: Token key-a\r\nContent-Length: 5\r\n\r\nhello"
                );
                record.line(&format!("sent {attempt}"));
                let result = match call(entry, request.as_bytes(), Duration::from_secs(9)) {
                    Ok(answer) => {
                        let text = String::from_utf8_lossy(&answer.body).into_owned();
                        let last = text.lines().filter_map(|line| line.strip_prefix("id: ")).next_back();
                        let last = last.and_then(|id| id.parse().ok()).unwrap_or(0);
                        (answer.head.status(), answer.complete, last)
                    }
                    Err(_) => (0, false, 0),
                };
                let end = if result.1 { "complete" } else { "not complete" };
                record.line(&format!("answered {attempt} status {} {end} last event {}", result.0, result.2));
                results.lock().unwrap().insert(attempt, result);
            }));
            std::thread::sleep(STREAM_INTERVAL);
        }
        clients
    })
}

/// A stream that ends as complete before its last event breaks the rule.
fn judge(record: &Record, results: &HashMap<String, (u16, bool, u32)>) -> std::io::Result<i32> {
    let broken: Vec<&String> = results
        .iter()
        .filter(|(_, (status, complete, last))| *status == 200 && *complete && *last < EVENTS)
        .map(|(attempt, _)| attempt)
        .collect();
    let whole = results.values().filter(|(status, complete, last)| *status == 200 && *complete && *last == EVENTS);
    let line = format!(
        "{} streams, {} whole, {} ended as complete before their last event: {broken:?}",
        results.len(),
        whole.count(),
        broken.len()
    );
    record.line(&line);
    println!("{line}");
    if results.len() < 20 {
        return Err(std::io::Error::other("too few streams"));
    }
    Ok(i32::from(!broken.is_empty()))
}
