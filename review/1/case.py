"""Workers leave without a word while the store turns away the machines that read its tables for a zone."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins
from standins import now, read_body, read_head

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Two zones with four machines beside workers and two entries each; the plain workers are in the second one.
ZONES, SIDES, ENTRIES, PLAIN_WORKERS = ["z-1", "z-2"], 4, 2, 6
# The store turns the four machines beside workers of the first zone away, of twelve, for 5.0 to 6.4 s of every 10 s. Two
# of six plain workers leave shortly before the end of that.
CYCLES, CYCLE_S, AWAYS_S = 9, 10.0, [5.0 + 0.17 * cycle for cycle in range(9)]
LEADS_S = [[0.9, 0.45], [0.75, 0.35], [0.6, 0.3]]
DRAIN_S = 2.0
REQUEST_EVERY_S = 0.01


def side_host(zone_number, side):
    return f"127.14.{zone_number + 1}.{side + 1}"


def store_host(zone_number, side):
    """Address of the store for a machine beside a worker."""
    return f"127.14.{200 + zone_number}.{side + 1}"


class AwayStore(standins.Store):
    """A store that answers some machines with 503."""

    def __init__(self):
        super().__init__()
        self.turned_away = set()

    async def serve(self, reader, writer):
        # Each machine has an address of the store of its own, since all loopback connections look alike.
        machine = writer.get_extra_info("sockname")[0]
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                method, target, _version = head[0].split(" ")
                body = await read_body(reader, head[1])
                await asyncio.sleep(0.004)
                writer.write(await self.answer_machine(machine, method, target, body))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer_machine(self, machine, method, target, body):
        call = asyncio.ensure_future(self.call(method, target, body))
        while machine not in self.turned_away:
            await asyncio.wait([call], timeout=0.05)
            if call.done():
                return call.result()
        call.cancel()
        return standins.json_answer(503, {})


class PlainWorker:
    """A worker of a plain service in this process. It notes when each request reaches it."""

    def __init__(self, identifier):
        self.identifier = identifier
        self.arrivals = []
        self.left = None

    async def serve(self, reader, writer):
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    break
                arrived = now()
                await read_body(reader, head[1])
                attempt = head[1].get("x-porthoist-attempt-id", "")
                if head[1].get("x-porthoist-expect-instance") != self.identifier:
                    writer.write(b"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")
                    await writer.drain()
                    continue
                self.arrivals.append((arrived, attempt))
                await asyncio.sleep(0.02)
                writer.write(
                    f"HTTP/1.1 200 OK\r\nX-Porthoist-Attempt-Id: {attempt}\r\n"
                    f"X-Porthoist-Response-Signature: s.{self.identifier}\r\nContent-Length: 2\r\n\r\nok".encode()
                )
                await writer.drain()
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def start_plain(world, number, identifier):
    ip = f"127.14.50.{number + 1}"
    worker = PlainWorker(identifier)
    port = standins.free_port(ip)
    worker.server = await asyncio.start_server(worker.serve, ip, port)
    world.store.put("servers", identifier, standins.worker_row("plain", f"{ip}:{port}", "z-2", 6))
    world.plain[number] = worker
    world.all_plain.append(worker)


# Most callers are in the first zone.
ENTRY_ORDER = [0, 1, 0, 1, 0, 1, 2, 3]


async def request(world, number):
    attempt = f"a{number:06d}"
    try:
        callers, _ready = world.entries[ENTRY_ORDER[number % len(ENTRY_ORDER)]]
        reader, writer = await asyncio.open_connection(*callers)
        sent = now()
        writer.write(
            (
                f"GET /p/1 HTTP/1.1\r\nHost: a.example\r\nX-Porthoist-Attempt-Id: {attempt}\r\n"
                "X-Porthoist-Deadline-Remaining: 4000\r\nAuthorization: Token key-1\r\n\r\n"
            ).encode()
        )
        head = await asyncio.wait_for(read_head(reader), 5)
        writer.close()
        world.sent[attempt] = (sent, int(head[0].split(" ")[1]) if head else None)
    except (OSError, asyncio.TimeoutError):
        world.sent[attempt] = (None, None)


async def disturb(world, start):
    """In each cycle the store turns the machines away for a while, and the rows of two workers are removed.

    They go on serving, as workers do that never say that they leave.
    """
    machines = {store_host(0, side) for side in range(SIDES)}
    for cycle in range(CYCLES):
        away, away_s = start + cycle * CYCLE_S, AWAYS_S[cycle]
        await asyncio.sleep(max(0, away - now()))
        if TROUBLE:
            world.store.turned_away = machines
            world.note(f"the store turns {len(machines)} machines away")
        leaving = []
        for number, lead in enumerate(LEADS_S[cycle % len(LEADS_S)]):
            await asyncio.sleep(max(0, away + away_s - lead - now()))
            leaving.append((2 * cycle + number) % PLAIN_WORKERS)
            worker = world.plain[leaving[-1]]
            worker.left = world.store.put("servers", worker.identifier, None)
            world.note(f"the row of worker {worker.identifier} is removed, acknowledged by the store")
        await asyncio.sleep(max(0, away + away_s - now()))
        if TROUBLE:
            world.store.turned_away = set()
            world.note("the store serves all machines again")
        await asyncio.sleep(max(0, away + CYCLE_S - 0.5 - now()))
        for number in leaving:
            await start_plain(world, number, f"p-{number}-{cycle}")


async def drive(world):
    rank_port = standins.common_free_port(
        [side_host(zone_number, side) for zone_number in range(len(ZONES)) for side in range(SIDES)]
    )
    world.store = AwayStore()
    await world.start_store("127.0.0.1")
    world.plain, world.all_plain, world.sent = {}, [], {}
    route = {
        "name": "r-plain", "host": "a.example", "prefix": "/p/", "kind": "idempotent", "timeoutMs": 2000,
        "targetLatencyMs": 300, "priority": 2, "service": "plain", "maxAttempts": 2, "public": False,
    }
    plain = {"name": "plain", "healthPath": "/health", "maxConnections": 48, "protocol": "h1", "tls": False}
    services = [standins.MODEL_SERVICE, plain]
    world.store.put("op", "config", standins.small_config("a.example", "key-1", services, [route]))
    for number in range(PLAIN_WORKERS):
        await start_plain(world, number, f"p-{number}")
    for zone_number, zone in enumerate(ZONES):
        for side in range(SIDES):
            ip, identifier = side_host(zone_number, side), f"i-{zone_number}-{side}"
            address = f"{ip}:{standins.free_port(ip)}"
            world.start_worker(identifier, address, 10, 0.08, chunked=True)
            table = await world.store_address(store_host(zone_number, side))
            world.start_rank(f"side-{zone}-{side}", zone, ip, address, rank_port, table)
            world.store.put("servers", identifier, standins.worker_row("model", address, zone, 12))
    for zone_number, zone in enumerate(ZONES):
        for number in range(ENTRIES):
            world.start_entry(f"entry-{zone}-{number}", zone, f"127.14.{100 + zone_number}.{number + 1}", rank_port)
    if not await world.wait_ready(25):
        world.note("the entries did not become ready")
        return 2
    world.note("the entries are ready")
    await asyncio.sleep(4)
    start, tasks = now(), []
    disturbance = asyncio.create_task(disturb(world, start))
    while not disturbance.done():
        tasks.append(asyncio.create_task(request(world, len(tasks))))
        await asyncio.sleep(REQUEST_EVERY_S)
    await asyncio.gather(*tasks)
    await disturbance
    served = sum(1 for _sent, status in world.sent.values() if status == 200)
    world.note(f"{len(world.sent)} requests sent, {served} answered with 200")
    late = []
    for worker in world.all_plain:
        if worker.left is None:
            continue
        after = [(arrived - worker.left, attempt) for arrived, attempt in worker.arrivals if arrived > worker.left]
        last = max(after, default=(0, "-"))
        count = sum(1 for age, _attempt in after if age > DRAIN_S)
        late += [age for age, _attempt in after if age > DRAIN_S]
        sent = world.sent.get(last[1], (None, None))[0]
        world.record.write(
            f"worker {worker.identifier}: row removed at {worker.left - world.began:.3f} s; last request {last[1]} sent at "
            f"{(sent or worker.left) - world.began:.3f} s reached it {last[0] * 1000:.0f} ms after that; "
            f"{count} of {len(after)} later than {DRAIN_S * 1000:.0f} ms{' BROKEN' if count else ''}\n"
        )
    world.record.write(f"requests that reached a worker too late: {len(late)}\n")
    if served < len(world.sent) * 0.8:
        return 2
    return 1 if late else 0


standins.play(HERE, drive, 118)
