"""Stand-ins of the platform's store, of a model worker and of clients, and a driver that starts the project's programs.

Only the standard library is used. All addresses are loopback addresses.
"""
import argparse
import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

REPOSITORY = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(REPOSITORY, "target", "release", "porthoistd")


def now():
    return time.monotonic()


# --- HTTP ---------------------------------------------------------------------------------------


async def read_head(reader):
    """Reads a start line and headers; None if the connection ends first."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Reads a request's body."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


def json_answer(status, value):
    body = json.dumps(value).encode()
    head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


# --- Store --------------------------------------------------------------------------------------


class Store:
    """The platform's store: rows, a feed of changes, transactions."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.started = now()
        self.changed = asyncio.Event()

    def put(self, table, key, value):
        self.version += 1
        text = None if value is None else base64.b64encode(json.dumps(value).encode()).decode()
        self.rows[(table, "", key)] = (text, self.version)
        self.changed.set()
        self.changed = asyncio.Event()
        return now()

    def now_ms(self):
        return int((now() - self.started) * 1000) + 50_000

    def row(self, place):
        table, part, key = place
        text, version = self.rows[place]
        row = {"table": table, "part": part, "key": key, "ver": version}
        row.update({"deleted": True} if text is None else {"value": text})
        return row

    def answer(self, rows, more=None):
        found = {"rows": rows, "ver": self.version, "nowMs": self.now_ms()}
        if more is not None:
            found["hasMore"] = more
        return json_answer(200, found)

    async def call(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/v1/rows-get":
            places = [place for place, (text, _version) in self.rows.items() if text is not None]
            places = sorted(
                place
                for place in places
                if place[0] == query["table"]
                and place[1] == query.get("part", "")
                and place[2] >= query.get("from", "")
                and ("destination" not in query or place[2] < query["destination"])
            )
            limit = min(500, int(query.get("limit", "500")))
            return self.answer([self.row(place) for place in places[:limit]], len(places) > limit)
        if url.path == "/v1/rows-feed":
            after, end = int(query["afterRevision"]), now() + min(30_000, int(query.get("waitMs", "0"))) / 1000
            while True:
                changed = self.changed
                places = [p for p, (_text, version) in self.rows.items() if p[0] == query["table"] and version > after]
                if places or now() >= end:
                    return self.answer([self.row(place) for place in sorted(places, key=lambda p: self.rows[p][1])])
                try:
                    await asyncio.wait_for(changed.wait(), end - now())
                except asyncio.TimeoutError:
                    pass
        if url.path == "/v1/rows-tx":
            call = json.loads(body)
            place = lambda row: (row["table"], row.get("part", ""), row["key"])
            live = lambda row: self.rows.get(place(row), (None, 0))
            unmet = [row for row in call.get("precondition", []) if (live(row)[1] if live(row)[0] else 0) != row["ver"]]
            if unmet:
                return json_answer(412, {"rows": [self.row(place(row)) for row in unmet if live(row)[0]]})
            self.version += 1
            for row in call.get("writes", []):
                self.rows[place(row)] = (row["value"], self.version)
            for row in call.get("remove", []):
                self.rows[place(row)] = (None, self.version)
            self.changed.set()
            self.changed = asyncio.Event()
            return json_answer(200, {"ver": self.version, "nowMs": self.now_ms()})
        return json_answer(404, {})

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _version = head[0].split(" ")
                body = await read_body(reader, head[1])
                await asyncio.sleep(0.004)
                writer.write(await self.call(method, target, body))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


# --- Worker -------------------------------------------------------------------------------------


class Worker:
    """A model worker, the only rank of its group. It streams numbered events."""

    def __init__(self, args):
        self.args = args
        self.running = 0
        self.step = 0
        self.started = now()

    def log(self, **fields):
        sys.stdout.write(json.dumps({"worker": self.args.id, "at": now(), **fields}) + "\n")
        sys.stdout.flush()

    def report(self):
        self.step = int((now() - self.started) * 10)
        return {
            "stage": "colocated", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
            "sequence": 0, "waiting": 0, "running": self.running, "kvUsed": 0, "kvTotal": 280000, "handles": 0,
            "group": {"name": "g-" + self.args.id, "epoch": 1, "rank": 0, "state": "open"}, "size": 1,
            "step": self.step, "map": 0, "pace": 1.0,
        }

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                line, headers = head
                body = await read_body(reader, headers)
                if not await self.answer(line, headers, body, writer):
                    break
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, line, headers, body, writer):
        method, target, _version = line.split(" ")
        path = target.split("?")[0]
        if path == "/v1/report":
            writer.write(json_answer(200, self.report()))
        elif path == "/v1/picked":
            lists = {"map": {"version": 0, "experts": [list(range(72)) for _set in range(4)]}}
            counts = {"step": self.step, "epoch": 1, "counts": [0] * 288}
            writer.write(json_answer(200, lists if "lists" in target else counts))
        elif path == "/v1/order":
            writer.write(json_answer(409, {}))
        elif path == "/health":
            writer.write(f"HTTP/1.1 200 OK\r\nX-Porthoist-Instance-Id: {self.args.id}\r\nContent-Length: 0\r\n\r\n".encode())
        else:
            return await self.run(headers, writer)
        await writer.drain()
        return True

    async def run(self, headers, writer):
        """Streams the events after `Last-Event-Id`, in chunks or as an answer that ends with its connection."""
        attempt = headers.get("x-porthoist-attempt-id", "")
        expected = headers.get("x-porthoist-expect-instance", self.args.id)
        if expected != self.args.id:
            writer.write(f"HTTP/1.1 421 X\r\nX-Porthoist-Instance-Id: {self.args.id}\r\nContent-Length: 0\r\n\r\n".encode())
            await writer.drain()
            return True
        first = int(headers.get("last-event-id", "0")) + 1
        self.log(what="run begins", attempt=attempt, first=first)
        self.running += 1
        last = first - 1
        try:
            writer.write(
                (
                    f"HTTP/1.1 200 OK\r\nX-Porthoist-Attempt-Id: {attempt}\r\n"
                    f"X-Porthoist-Response-Signature: s.{self.args.id}.{attempt}\r\n"
                    "X-Porthoist-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                    + ("Transfer-Encoding: chunked\r\n\r\n" if self.args.chunked else "Connection: close\r\n\r\n")
                ).encode()
            )
            for number in range(first, self.args.events + 1):
                await asyncio.sleep(self.args.pause)
                event = f"id: {number}\ndata: {attempt} {number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event) if self.args.chunked else event)
                await writer.drain()
                last = number
            if self.args.chunked:
                writer.write(b"0\r\n\r\n")
                await writer.drain()
        finally:
            self.running -= 1
            self.log(what="run ends", attempt=attempt, last=last, whole=last == self.args.events)
        return self.args.chunked


async def run_worker(args):
    host, port = args.address.split(":")
    worker = Worker(args)
    server = await asyncio.start_server(worker.serve, host, int(port))
    async with server:
        await server.serve_forever()


# --- Driver -------------------------------------------------------------------------------------


def free_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def common_free_port(hosts):
    """Returns a port that is free on all of these hosts."""
    while True:
        port = free_port(hosts[0])
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.bind((host, port))
            return port
        except OSError:
            continue


class World:
    """Starts the programs and the stand-ins, and ends them."""

    def __init__(self, case_directory):
        self.case_directory = case_directory
        self.processes = []
        # Addresses for callers and for readiness checks.
        self.entries = []
        self.servers = []
        self.record = open(os.path.join(case_directory, "record.txt"), "w")
        self.began = now()
        self.store = Store()
        self.temporary = tempfile.TemporaryDirectory()
        self.runs = []

    def note(self, text):
        self.record.write(f"{now() - self.began:9.3f} s  {text}\n")
        self.record.flush()

    def spawn(self, arguments, **options):
        environment = {"PATH": os.environ["PATH"], "HOME": self.temporary.name}
        process = subprocess.Popen(arguments, env=environment, cwd=REPOSITORY, **options)
        self.processes.append(process)
        return process

    async def start_store(self, host):
        self.table = await self.store_address(host)

    async def store_address(self, host):
        """Opens an address of the store."""
        port = free_port(host)
        self.servers.append(await asyncio.start_server(self.store.serve, host, port))
        return f"{host}:{port}"

    def start_entry(self, name, zone, ip, rank_port):
        self.callers, self.ready = (ip, free_port(ip)), (ip, free_port(ip))
        self.entries.append((self.callers, self.ready))
        arguments = (
            f"proxy --host {name} --zone {zone} --callers-listen {ip}:{self.callers[1]} --ready-listen {ip}:{self.ready[1]} "
            f"--metrics-listen {ip}:{free_port(ip)} --rank-port {rank_port} --table {self.table} --revoke-ms 5000 "
            "--notice-ms 3000 --apply-ms 2000 --leaving-ms 2000 --refuse-unproven true --grace-s 8 --retry-ratio 0.2 "
            "--retry-window-s 10 --retry-slack 88"
        )
        log = open(os.path.join(self.temporary.name, name + ".log"), "w")
        return self.spawn([PROGRAM, *arguments.split()], stdout=log, stderr=log)

    def start_rank(self, name, zone, ip, engine, rank_port, table=None):
        arguments = (
            f"rank --host {name} --zone {zone} --engine {engine} --rank-listen {ip}:{rank_port} "
            f"--metrics-listen {ip}:{free_port(ip)} --table {table or self.table} --link-mbps 20.0"
        )
        log = open(os.path.join(self.temporary.name, name + ".log"), "w")
        return self.spawn([PROGRAM, *arguments.split()], stdout=log, stderr=log)

    def start_worker(self, identifier, address, events, pause, chunked=False):
        output = open(os.path.join(self.temporary.name, identifier + ".jsonl"), "a")
        arguments = [sys.executable, os.path.abspath(__file__), "worker", "--id", identifier, "--address", address]
        arguments += ["--events", str(events), "--pause", str(pause)]
        arguments += ["--chunked"] if chunked else []
        return self.spawn(arguments, stdout=output)

    def worker_log(self, identifier):
        with open(os.path.join(self.temporary.name, identifier + ".jsonl")) as lines:
            return [json.loads(line) for line in lines if line.endswith("\n")]

    def entry_log(self, name):
        with open(os.path.join(self.temporary.name, name + ".log")) as lines:
            return lines.read().splitlines()

    async def wait_ready(self, limit):
        """Waits until all entries are ready."""
        end = now() + limit
        answers = [await self.wait_entry_ready(ready, end) for _callers, ready in self.entries]
        return all(answers)

    async def wait_entry_ready(self, ready, end):
        while now() < end:
            try:
                reader, writer = await asyncio.open_connection(*ready)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1)
                writer.close()
                if head and " 200 " in head[0]:
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.2)
        return False

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
        for process in self.processes:
            process.wait()
        self.temporary.cleanup()
        self.record.close()


class Stream:
    """What a client saw of one streaming request."""

    def __init__(self, attempt):
        self.attempt = attempt
        self.status = None
        self.signature = None
        self.ids = []
        # "whole": the last chunk came; "cut": the connection ended before it.
        self.end = "no answer"


async def request_stream(address, host, path, key, attempt, remaining_ms):
    seen = Stream(attempt)
    try:
        reader, writer = await asyncio.open_connection(*address)
        body = b"{}"
        writer.write(
            (
                f"POST {path} HTTP/1.1\r\nHost: {host}\r\nX-Porthoist-Attempt-Id: {attempt}\r\n"
                f"X-Porthoist-Model: m\r\nX-Porthoist-Token-Usage: 100,200\r\nX-Porthoist-Prompt-Prefix: {attempt}:100\r\n"
                f"X-Porthoist-Deadline-Remaining: {remaining_ms}\r\nAuthorization: Token {key}\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            ).encode()
            + body
        )
        head = await read_head(reader)
        if head is None:
            return seen
        seen.status = int(head[0].split(" ")[1])
        seen.signature = head[1].get("x-porthoist-response-signature")
        seen.end = "cut"
        if "chunked" not in head[1].get("transfer-encoding", ""):
            await reader.readexactly(int(head[1].get("content-length", "0")))
            seen.end = "whole"
            return seen
        text = b""
        while True:
            line = await reader.readline()
            if not line.endswith(b"\r\n"):
                return seen
            size = int(line, 16)
            text += (await reader.readexactly(size + 2))[:-2]
            seen.ids = [int(part[4:]) for part in text.decode().split("\n") if part.startswith("id: ")]
            if size == 0:
                seen.end = "whole"
                return seen
    except (OSError, ConnectionError, asyncio.IncompleteReadError):
        return seen
    finally:
        if "writer" in locals():
            writer.close()


def small_config(host, key, services, routes):
    return {
        "version": 7, "routes": routes, "services": services,
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "team", "apiKeys": [key]}],
    }


MODEL_SERVICE = {
    "name": "model", "healthPath": "/health", "maxConnections": 268, "protocol": "h1", "tls": False,
    "engine": {
        "slots": 12, "kvCacheTokens": 280000, "kvTokenBytes": 35136, "linkMbps": 180000.0, "stride": 4,
        "models": [{"name": "m"}], "step_ms": 4.55, "per_seq_ms": 0.905, "context_per_k": 0.0183,
        "read_per_s": 61400.0, "pairs_per_m": 0.525, "chunk": 512, "report_lag_ms": 200.0, "loadsPerS": 0.0,
        "loads_at_once": 8, "delays": [], "usual": {"prompt": 835, "answer": 97}, "sets": 4, "experts": 72,
        "places": 72, "spare": 3, "expertMb": 2200.0, "expertShare": 0.85, "form_ms": 600.0,
    },
}


def worker_row(service, address, zone, slots, state="ready"):
    return {
        "service": service, "address": address, "zone": zone, "version": "v1", "slots": slots, "state": state,
        "coldRemainingMs": 0, "stage": "colocated", "models": [{"name": "m", "version": 1, "adapters": []}],
        "sequence": 4,
    }


def record_runs(world, identifiers):
    """Writes what the workers ran."""
    runs = [line for identifier in sorted(set(identifiers)) for line in world.worker_log(identifier)]
    for line in sorted(runs, key=lambda line: line["at"]):
        text = " ".join(f"{name}={value}" for name, value in line.items() if name != "at")
        world.record.write(f"{line['at'] - world.began:9.3f} s  worker: {text}\n")


def record_streams(world, seen, events):
    """Writes what the clients got; returns how many streams were whole, and how many only looked so."""
    counts = {"whole": 0, "short": 0, "other": 0}
    for stream in seen:
        if stream.status != 200 or stream.end != "whole":
            kind, verdict = "other", "not complete, and the client can see it"
        elif stream.ids == list(range(1, events + 1)):
            kind, verdict = "whole", "whole"
        else:
            kind, verdict = "short", "BROKEN: ends as complete"
        counts[kind] += 1
        last = stream.ids[-1] if stream.ids else 0
        world.record.write(
            f"client: {stream.attempt} status={stream.status} signature={stream.signature} end={stream.end} "
            f"last={last} of {events}: {verdict}\n"
        )
    world.record.write(f"whole={counts['whole']} complete-looking-but-short={counts['short']} other={counts['other']}\n")
    return counts["whole"], counts["short"]


def play(case_directory, drive, limit):
    """Runs a case, ends all processes that it started, and exits with its code."""
    world = World(case_directory)

    async def run():
        try:
            return await asyncio.wait_for(drive(world), limit)
        except asyncio.TimeoutError:
            return 2

    signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(2))
    loop = asyncio.new_event_loop()
    code = 2
    try:
        code = loop.run_until_complete(run())
    finally:
        world.end()
        print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
        sys.stdout.flush()
        # Connections that are still open need no orderly end.
        os._exit(code)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    commands = parser.add_subparsers(dest="command", required=True)
    worker = commands.add_parser("worker")
    worker.add_argument("--id")
    worker.add_argument("--address")
    worker.add_argument("--events", type=int)
    worker.add_argument("--pause", type=float)
    worker.add_argument("--chunked", action="store_true")
    asyncio.run(run_worker(parser.parse_args()))
