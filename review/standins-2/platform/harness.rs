//! Stand-ins and helpers for the scripts of the second review: the platform's store, a client, and the
//! project's own processes. Uses the standard library only.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Heads of HTTP messages, with header names in lower case.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("/")
    }
}

/// Reads a message's head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.line.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.line.is_empty() {
            head.line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a request's body by its length or chunks.
pub fn read_request_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    if head.get("transfer-encoding").is_some() {
        let (body, complete) = read_chunks(reader, |_| {});
        return if complete { Ok(body) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
    }
    let length = head.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Reads chunks. Returns the body and whether the last chunk arrived.
pub fn read_chunks(reader: &mut impl BufRead, mut on_chunk: impl FnMut(&[u8])) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(read) if read > 0 => {}
            _ => return (body, false),
        }
        let Ok(size) = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16) else {
            return (body, false);
        };
        let mut chunk = vec![0; size + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return (body, false);
        }
        if size == 0 {
            return (body, true);
        }
        on_chunk(&chunk[..size]);
        body.extend_from_slice(&chunk[..size]);
    }
}

/// What a client got.
#[derive(Debug, Clone)]
pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body is complete by its framing.
    pub complete: bool,
}

/// Sends one request on a connection of its own and reads the answer. An error means that there was none.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request)?;
    read_answer(&mut BufReader::new(stream))
}

/// Reads an answer.
pub fn read_answer(reader: &mut impl BufRead) -> io::Result<Answer> {
    let head = read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let (body, complete) = if head.get("transfer-encoding").is_some() {
        read_chunks(reader, |_| {})
    } else if let Some(length) = head.get("content-length").and_then(|text| text.parse::<usize>().ok()) {
        let mut body = Vec::new();
        let read = reader.by_ref().take(length as u64).read_to_end(&mut body);
        (body.clone(), read.is_ok() && body.len() == length)
    } else {
        let mut body = Vec::new();
        let read = reader.read_to_end(&mut body);
        (body, read.is_ok())
    };
    Ok(Answer { head, body, complete })
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = (0..3).fold(0u32, |word, at| word << 8 | u32::from(*part.get(at).unwrap_or(&0)));
        for at in 0..4 {
            let letter = BASE64[(word >> (18 - 6 * at) & 63) as usize] as char;
            text.push(if at <= part.len() { letter } else { '=' });
        }
    }
    text
}

/// The key of a row: table, part and key.
type RowKey = (String, String, String);

#[derive(Default)]
struct StoreState {
    version: u64,
    /// Value in base64, or none if the row was removed, with the version.
    rows: BTreeMap<RowKey, (Option<String>, u64)>,
}

/// The platform's store, in this process.
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    started: Instant,
    /// Whether calls get no answer, and how often that has begun.
    silent: AtomicBool,
    outages: AtomicU64,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(listen: &str) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(listen)?;
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            started: Instant::now(),
            silent: AtomicBool::new(false),
            outages: AtomicU64::new(0),
            address: listener.local_addr()?,
        });
        let served = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let served = Arc::clone(&served);
                std::thread::spawn(move || served.serve(stream));
            }
        });
        Ok(store)
    }

    /// Begins or ends an outage, in which calls get no answer. Those that wait then never get one.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
        if silent {
            self.outages.fetch_add(1, Ordering::SeqCst);
        }
    }

    /// Writes a row; returning is the acknowledgement.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, "", key, Some(base64(value.as_bytes())));
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.write(table, "", key, None);
    }

    fn write(&self, table: &str, part: &str, key: &str, value: Option<String>) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state.rows.insert((table.into(), part.into(), key.into()), (value, version));
        drop(state);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = read_head(&mut reader) {
            let Ok(body) = read_request_body(&mut reader, &head) else { return };
            let outages = self.outages.load(Ordering::SeqCst);
            let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
            let query: BTreeMap<String, String> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(name, value)| (name.to_owned(), decode(value)))
                .collect();
            // The store's usual time for an answer.
            std::thread::sleep(Duration::from_millis(4));
            let (status, body) = match path {
                "/v1/rows-get" => (200, self.list(&query)),
                "/v1/rows-feed" => (200, self.feed(&query)),
                "/v1/rows-tx" => (200, self.transact(&String::from_utf8_lossy(&body))),
                _ => (404, "{}".to_owned()),
            };
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if self.silent.load(Ordering::SeqCst) || self.outages.load(Ordering::SeqCst) != outages {
                // Nothing more comes over a connection on which an answer was lost.
                while reader.read(&mut [0; 1_024]).is_ok_and(|read| read > 0) {}
                return;
            }
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, state: &StoreState, rows: &[String]) -> String {
        let now = self.started.elapsed().as_millis();
        format!(
            "{{\"rows\":[{}],\"hasMore\":false,\"ver\":{},\"nowMs\":{now}}}",
            rows.join(","),
            state.version
        )
    }

    fn list(&self, query: &BTreeMap<String, String>) -> String {
        let get = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (table, part, from) = (get("table"), get("part"), get("from"));
        let state = self.state.lock().unwrap();
        let rows: Vec<String> = state
            .rows
            .iter()
            .filter(|((of, within, key), _)| *of == table && *within == part && *key >= from)
            .filter(|(_, (value, _))| value.is_some())
            .map(|(key, row)| row_json(key, row))
            .collect();
        self.answer(&state, &rows)
    }

    fn feed(&self, query: &BTreeMap<String, String>) -> String {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
        let table = query.get("table").cloned().unwrap_or_default();
        let (after, end) =
            (number("afterRevision"), Instant::now() + Duration::from_millis(number("waitMs").min(30_000)));
        let mut state = self.state.lock().unwrap();
        loop {
            let mut rows: Vec<_> = state
                .rows
                .iter()
                .filter(|((of, _, _), (_, version))| *of == table && *version > after)
                .collect();
            rows.sort_by_key(|(_, (_, version))| *version);
            let rows: Vec<String> = rows.into_iter().map(|(key, row)| row_json(key, row)).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                return self.answer(&state, &rows);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Applies the writes and removals of a transaction without preconditions.
    fn transact(&self, body: &str) -> String {
        let section = |name: &str| {
            let start = body.find(&format!("\"{name}\":[")).map(|at| at + name.len() + 4);
            start.map(|start| &body[start..start + body[start..].find(']').unwrap_or(0)]).unwrap_or("")
        };
        for (name, removes) in [("writes", false), ("remove", true)] {
            for row in section(name).split('}') {
                let field = |field: &str| {
                    let start = row.find(&format!("\"{field}\":\""))? + field.len() + 4;
                    Some(row[start..start + row[start..].find('"')?].to_owned())
                };
                let (Some(table), Some(key)) = (field("table"), field("key")) else { continue };
                let value = if removes { None } else { Some(field("value").unwrap_or_default()) };
                self.write(&table, &field("part").unwrap_or_default(), &key, value);
            }
        }
        let state = self.state.lock().unwrap();
        self.answer(&state, &[])
    }
}

fn row_json((table, part, key): &RowKey, (value, version): &(Option<String>, u64)) -> String {
    let value = match value {
        Some(value) => format!("\"value\":\"{value}\""),
        None => "\"deleted\":true".to_owned(),
    };
    format!("{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",{value},\"ver\":{version}}}")
}

fn decode(text: &str) -> String {
    let (mut bytes, mut rest) = (Vec::new(), text.bytes());
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'+' => b' ',
            b'%' => {
                let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
                u8::from_str_radix(&String::from_utf8_lossy(&digits), 16).unwrap_or(b'?')
            }
            byte => byte,
        });
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A route of the configuration, on host `demo.example`.
pub struct Route<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub attempts: u32,
    pub resumable: bool,
}

impl Route<'_> {
    fn json(&self) -> String {
        let Self { prefix, kind, service, timeout_ms, attempts, resumable } = self;
        let name = prefix.trim_matches('/');
        format!(
            "{{\"name\":\"{name}\",\"host\":\"demo.example\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeoutMs\":{timeout_ms},\"targetLatencyMs\":500,\"priority\":1,\"service\":\"{service}\",\
             \"maxAttempts\":{attempts},\"public\":false,\"sticky\":{},\"resumable\":{resumable},\
             \"gapAimMs\":120}}",
            *kind == "streaming"
        )
    }
}

/// A configuration with the services `records`, `records-2` (plain) and `model`, and one tenant with these keys.
pub fn config(version: u64, routes: &[Route<'_>], keys: &[&str]) -> String {
    let routes: Vec<String> = routes.iter().map(Route::json).collect();
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"records\",\"healthPath\":\"/health\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}},\
         {{\"name\":\"records-2\",\"healthPath\":\"/health\",\"maxConnections\":100,\"protocol\":\"h1\",\"tls\":false}},\
         {{\"name\":\"model\",\"healthPath\":\"/health\",\"maxConnections\":268,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":12,\"kvCacheTokens\":280000,\"stride\":4,\"step_ms\":4.55,\"per_seq_ms\":0.9,\
         \"read_per_s\":61400.0,\"sets\":1,\"experts\":4,\"places\":4,\"spare\":2,\"expertShare\":0.85}}}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"team-a\",\"apiKeys\":[{}]}}]}}",
        routes.join(","),
        keys.join(",")
    )
}

/// A worker's row.
pub fn worker_row(service: &str, address: SocketAddr, zone: &str, state: &str, sequence: u64) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":12,\
         \"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence}}}"
    )
}

/// Finds a free port on a loopback address, below the range of outgoing connections.
pub fn free_port(ip: &str) -> u16 {
    let mut seed = std::process::id() as u64 ^ Instant::now().elapsed().subsec_nanos() as u64;
    seed ^= std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap().as_nanos() as u64;
    for _ in 0..1_000 {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let port = 10_000 + (seed >> 33) as u16 % 20_000;
        if TcpListener::bind((ip, port)).is_ok() {
            return port;
        }
    }
    panic!("no free port");
}

/// A child process, killed when dropped.
pub struct Process {
    child: Option<Child>,
}

impl Process {
    pub fn start(program: &PathBuf, args: &[String], log: &std::path::Path) -> io::Result<Self> {
        let output = std::fs::File::options().create(true).append(true).open(log)?;
        let mut command = Command::new(program);
        command.args(args).stdin(Stdio::null()).stdout(output.try_clone()?).stderr(output);
        Ok(Self { child: Some(command.spawn()?) })
    }

    /// Sends a signal by name.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            let command = format!("kill -{name} {}", child.id());
            let _ = Command::new("sh").args(["-c", &command]).status();
        }
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn running(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Words of a command.
pub fn words(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}

/// The program of the deploy file.
pub fn porthoistd() -> PathBuf {
    PathBuf::from("target/release/porthoistd")
}

/// An entry's place and ports.
pub struct Entry<'a> {
    pub host: &'a str,
    pub zone: &'a str,
    pub callers: u16,
    pub ready: u16,
    /// The bound `failClosed`.
    pub fail_closed: bool,
}

/// Arguments of the role at entry hosts, as in the deploy file, with the bounds of a small deployment.
pub fn entry_args(entry: &Entry<'_>, rank_port: u16, table: SocketAddr) -> Vec<String> {
    let Entry { host, zone, callers, ready, fail_closed } = entry;
    let ip = "127.0.0.1";
    let metrics = free_port(ip);
    words(&format!(
        "proxy --host {host} --zone {zone} --callers-listen {ip}:{callers} --ready-listen {ip}:{ready} \
         --metrics-listen {ip}:{metrics} --rank-port {rank_port} --table {table} --revoke-ms 5000 \
         --notice-ms 3000 --apply-ms 2000 --leaving-ms 2000 --refuse-unproven {fail_closed} --grace-s 8 \
         --retry-ratio 0.2 --retry-window-s 10 --retry-slack 88"
    ))
}

/// Arguments of the role beside targets, as in the deploy file.
pub fn rank_args(place: (&str, &str), ip: &str, engine: SocketAddr, rank_port: u16, table: SocketAddr) -> Vec<String> {
    let (host, zone) = place;
    let metrics = free_port(ip);
    words(&format!(
        "rank --host {host} --zone {zone} --engine {engine} --rank-listen {ip}:{rank_port} \
         --metrics-listen {ip}:{metrics} --table {table} --link-mbps 20"
    ))
}

/// Waits until an entry reports that it is ready.
pub fn wait_ready(address: SocketAddr, limit: Duration) -> bool {
    let end = Instant::now() + limit;
    let request = b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    while Instant::now() < end {
        if call(address, request, Duration::from_secs(1)).is_ok_and(|answer| answer.head.status() == 200) {
            return true;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    false
}

/// A line-by-line record with the seconds since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<std::fs::File>>,
    pub started: Instant,
}

impl Record {
    pub fn create(path: &std::path::Path) -> io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(std::fs::File::create(path)?)), started: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {text}", self.started.elapsed().as_secs_f64());
    }
}

/// Events of a stream, and the time between two of them.
pub const EVENTS: u32 = 40;
const EVENT_GAP: Duration = Duration::from_millis(100);
/// Time that a plain request takes.
const PLAIN_WORK: Duration = Duration::from_millis(900);
const READ_WORK: Duration = Duration::from_millis(10);
/// A model worker, the only rank of its group.
pub fn serve_worker(id: &str, address: SocketAddr) -> i32 {
    let listener = TcpListener::bind(address).expect("the address is free");
    let running = Arc::new(AtomicU32::new(0));
    let started = Instant::now();
    for stream in listener.incoming().flatten() {
        let (id, running) = (id.to_owned(), Arc::clone(&running));
        std::thread::spawn(move || serve_connection(&id, stream, &running, started));
    }
    0
}

fn serve_connection(id: &str, stream: TcpStream, running: &AtomicU32, started: Instant) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(head)) = read_head(&mut reader) {
        let Ok(_body) = read_request_body(&mut reader, &head) else { return };
        let step = started.elapsed().as_millis() / 20;
        let json = match head.path() {
            "/v1/report" => format!(
                "{{\"stage\":\"colocated\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\
                 \"sequence\":0,\"waiting\":0,\"running\":{},\"kvUsed\":0,\"kvTotal\":280000,\"handles\":0,\
                 \"step\":{step},\"map\":0,\"group\":{{\"name\":\"g-{id}\",\"epoch\":1,\"rank\":0,\"state\":\"open\"}},\
                 \"size\":1,\"pace\":1.0}}",
                running.load(Ordering::Relaxed)
            ),
            "/v1/picked" => format!("{{\"step\":{step},\"epoch\":1,\"counts\":[0,0,0,0]}}"),
            "/v1/picked?lists=1" => "{\"map\":{\"version\":0,\"experts\":[[0,1,2,3]]},\"prepared\":null}".to_owned(),
            path if path.starts_with("/once/") || path.starts_with("/read/") => {
                let attempt = head.get("x-porthoist-attempt-id").unwrap_or("-").to_owned();
                println!("{id} runs {attempt}");
                std::thread::sleep(if path.starts_with("/once/") { PLAIN_WORK } else { READ_WORK });
                println!("{id} ended {attempt}");
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nX-Porthoist-Attempt-Id: {attempt}\r\n\
                     X-Porthoist-Response-Signature: {id}.{attempt}\r\nContent-Length: 4\r\n\r\ndone"
                );
                if writer.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            path if path.starts_with("/stream/") => {
                running.fetch_add(1, Ordering::Relaxed);
                let kept = answer_stream(id, &head, &mut writer);
                running.fetch_sub(1, Ordering::Relaxed);
                if kept { continue } else { return }
            }
            _ => "{}".to_owned(),
        };
        let length = json.len();
        let answer =
            format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{json}");
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// Runs a request, or goes on after its `Last-Event-Id`. Returns whether the connection stays open.
fn answer_stream(id: &str, head: &Head, writer: &mut TcpStream) -> bool {
    let attempt = head.get("x-porthoist-attempt-id").unwrap_or("-").to_owned();
    let first = head.get("last-event-id").and_then(|text| text.parse::<u32>().ok()).map_or(1, |last| last + 1);
    if head.get("x-porthoist-expect-instance") != Some(id) {
        let refusal = "HTTP/1.1 421 X\r\nX-Porthoist-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
        return writer.write_all(refusal.as_bytes()).is_ok();
    }
    println!("{id} runs {attempt} from event {first}");
    let answer = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Porthoist-Attempt-Id: {attempt}\r\n\
         X-Porthoist-Response-Signature: {id}.{attempt}\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if writer.write_all(answer.as_bytes()).is_err() {
        return false;
    }
    for event in first..=EVENTS {
        std::thread::sleep(EVENT_GAP);
        let text = format!("id: {event}\ndata: {event} of {EVENTS}\n\n");
        let bytes = format!("{:x}\r\n{text}\r\n", text.len());
        if writer.write_all(bytes.as_bytes()).is_err() {
            return false;
        }
    }
    println!("{id} ended {attempt}");
    writer.write_all(b"0\r\n\r\n").is_ok()
}

/// A model worker and the project's process beside it.
pub struct Host {
    pub id: String,
    pub address: SocketAddr,
    pub worker: Process,
    pub rank: Process,
    /// Command and output of the process beside the worker.
    rank_args: Vec<String>,
    rank_log: PathBuf,
}

pub struct Deployment {
    pub store: Arc<Store>,
    pub folder: PathBuf,
    pub rank_port: u16,
}

impl Deployment {
    /// Starts a plain worker and enters it in the store.
    pub fn add_plain(&self, index: usize, service: &str, zone: &str) -> io::Result<Process> {
        let ip = format!("127.0.0.{}", 101 + index);
        let id = format!("{service}-{index}");
        let address: SocketAddr = format!("{ip}:{}", free_port(&ip)).parse().unwrap();
        let args = words(&format!("worker {id} {address}"));
        let worker = Process::start(&std::env::current_exe()?, &args, &self.folder.join(format!("worker-{id}")))?;
        std::thread::sleep(Duration::from_millis(50));
        self.store.put("servers", &id, &worker_row(service, address, zone, "ready", 1));
        Ok(worker)
    }

    /// Starts a worker and the process beside it, and enters the worker in the store.
    pub fn add_host(&self, index: usize, zone: &str) -> std::io::Result<Host> {
        let ip = format!("127.0.0.{}", 11 + index);
        let id = format!("i-{index}");
        let address: SocketAddr = format!("{ip}:{}", free_port(&ip)).parse().unwrap();
        let own = std::env::current_exe()?;
        let args = words(&format!("worker {id} {address}"));
        let worker = Process::start(&own, &args, &self.folder.join(format!("worker-{id}")))?;
        let host = format!("side-{index}");
        let args = rank_args((&host, zone), &ip, address, self.rank_port, self.store.address);
        let rank_log = self.folder.join(format!("rank-{id}"));
        let rank = Process::start(&porthoistd(), &args, &rank_log)?;
        std::thread::sleep(Duration::from_millis(100));
        self.store.put("servers", &id, &worker_row("model", address, zone, "ready", 1));
        Ok(Host { id, address, worker, rank, rank_args: args, rank_log })
    }
}

impl Host {
    /// Starts the process beside the worker again.
    pub fn restart_rank(&mut self) -> io::Result<()> {
        self.rank = Process::start(&porthoistd(), &self.rank_args, &self.rank_log)?;
        Ok(())
    }

    /// Whether the process beside the worker has begun to read tables for entries since its last start.
    pub fn reads_tables(&self) -> bool {
        let log = std::fs::read_to_string(&self.rank_log).unwrap_or_default();
        let life = log.rfind("\"event\":\"start\"").map_or("", |at| &log[at..]);
        life.contains("\"event\":\"table_followed\"")
    }
}

/// A client's request with its headers.
pub struct ClientRequest<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub attempt: &'a str,
    pub deadline_ms: u64,
    /// Identifies the last part of the prompt, where there is one.
    pub prompt: Option<u64>,
    pub body: &'a str,
}

impl ClientRequest<'_> {
    /// The request as it is sent; its connection closes after the answer.
    pub fn bytes(&self) -> Vec<u8> {
        let Self { method, path, attempt, deadline_ms, prompt, body } = self;
        let prompt = prompt.map_or(String::new(), |part| {
            format!(
                "X-Porthoist-Model: m\r\nX-Porthoist-Token-Usage: 100,160\r\n\
                 X-Porthoist-Prompt-Prefix: {part:x}:100\r\n"
            )
        });
        let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
        format!(
            "{method} {path} HTTP/1.1\r\nHost: demo.example\r\nX-Porthoist-Attempt-Id: {attempt}\r\n\
             {prompt}X-Porthoist-Deadline-Remaining: {deadline_ms}\r\nAuthorization: Token key-a\r\n\
             Connection: close\r\n{length}\r\n{body}"
        )
        .into_bytes()
    }
}
