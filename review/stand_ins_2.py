"""Stand-ins for the cases 4 to 8: store, servers, clients and the platform's handling of gateways.

The store, the servers and the clients run in the process of a case; gateways are processes of the
project's own program. Everything listens on a loopback address and a free port. Python's standard
library only.
"""

import asyncio
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAM = ROOT / "target/release/thornbridge"
HOST = "127.0.0.1"
ATTEMPT = "x-thornbridge-attempt-id"
DEADLINE = "x-thornbridge-deadline-ms"
EXPECTED = "x-thornbridge-expect-instance"
STAMP = "x-thornbridge-server-stamp"
NOT_EXECUTED = "x-thornbridge-not-executed"

# Bounds of a small deployment (site meno-pamoja).
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 5000, "ack_ms": 6000, "catch_up_s": 4,
    "drain_ms": 3000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 3000,
    "downgrade_slack_ms": 250, "max_stretch_ms": 15000, "retry_budget_ratio": 0.2,
    "retry_window_s": 10, "retry_slack": 58, "recovery_s": 12,
}
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
          "idle_timeout_ms": 15000}
# Objects in one page of a list, and the interval of a server's writes to its entry.
PAGE = 50
HEARTBEAT_S = 1.2


class CannotRun(Exception):
    """The case could not be played; nothing was shown."""


def troubled():
    """Whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run, each line with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def say(self, text, show=False):
        line = f"{self.now():8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        if show:
            print(line, flush=True)


def free_ports(count):
    """Ports that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((HOST, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


async def read_head(reader):
    """First line and headers of a message; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers, until_close=False):
    """Body of a message, by its length, in chunks, or up to the end of the stream."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return body
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read(-1) if until_close else b""


def message(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


REASONS = {200: "OK", 404: "Not Found", 410: "Gone", 421: "Misdirected Request",
           503: "Service Unavailable"}


def answer(status, headers, body=b""):
    headers = dict(headers) | {"content-length": str(len(body))}
    return message(f"HTTP/1.1 {status} {REASONS[status]}", headers, body)


class Store:
    """The platform's store: lists, watches and the writes of the operator and the servers."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.objects = {}
        self.events = {}
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, 0, limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()

    def put(self, kind, name, spec, quiet=False):
        """Writes an object. `quiet`: only its `call_seq` differs, which is no change."""
        kept = self.objects.setdefault(kind, {})
        if quiet and name in kept:
            kept[name]["spec"] = spec
            return
        self.revision += 1
        made = kept[name]["meta"]["made"] if name in kept else self.revision
        meta = {"name": name, "revision": self.revision, "made": made, "finalizers": [],
                "deleting": False}
        kept[name] = {"meta": meta, "spec": spec, "status": None}
        self.tell(kind, False, kept[name])

    def remove(self, kind, name):
        gone = self.objects.get(kind, {}).pop(name, None)
        if gone:
            self.revision += 1
            gone = dict(gone, meta=dict(gone["meta"], revision=self.revision))
            self.tell(kind, True, gone)

    def tell(self, kind, gone, kept):
        event = (self.revision, {"gone": gone, "object": json.loads(json.dumps(kept))})
        self.events.setdefault(kind, []).append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                first, headers = head
                await read_body(reader, headers)
                method, target, _ = first.split(" ")
                status, body = await self.reply(method, target)
                text = json.dumps(body).encode()
                headers = {"content-type": "application/json", "store-era": "1"}
                writer.write(answer(status, headers, text))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def reply(self, method, target):
        path, _, query = target.partition("?")
        query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        parts = [urllib.parse.unquote(part) for part in path.strip("/").split("/")]
        if method != "GET" or len(parts) < 2 or parts[0] != "objects":
            return 404, {}
        kept = self.objects.get(parts[1], {})
        if len(parts) == 3:
            return (200, kept[parts[2]]) if parts[2] in kept else (404, {})
        if "watch" in query:
            return await self.watch(parts[1], int(query["watch"]), int(query.get("wait_ms", 1000)))
        names = sorted(name for name in kept if name > query.get("after", ""))
        items = [kept[name] for name in names[:PAGE]]
        return 200, {"items": items, "more": len(names) > PAGE, "at": self.revision}

    async def watch(self, kind, since, wait_ms):
        if since > self.revision:
            return 410, {}
        ends = time.monotonic() + wait_ms / 1000
        while True:
            events = [event for at, event in self.events.get(kind, []) if at > since]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Server:
    """A server of a service: registers itself, serves, drains and ends as the pages say."""

    def __init__(self, store, record, name, service, zone, work_s, slots=4, queue=18, body=None):
        self.store, self.record = store, record
        self.name, self.service, self.zone = name, service, zone
        self.work_s, self.slots, self.queue = work_s, slots, queue
        self.body = body or (lambda target: f"{name} {target}".encode())
        self.state = "ready"
        self.running = asyncio.Semaphore(slots)
        self.inside = 0
        self.call_seq = 0
        # Each request that arrived: time, attempt id, target, and what became of it.
        self.arrivals = []
        self.writers = set()

    async def start(self, register=True):
        self.server = await asyncio.start_server(self.serve, HOST, 0, limit=1 << 20)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()
        if register:
            self.register()
        self.beats = asyncio.create_task(self.beat())
        return self

    def spec(self):
        return {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state, "cold_left_ms": 0,
                "call_seq": self.call_seq}

    def register(self):
        self.record.say(f"store: {self.name} of {self.service} at {self.address} is {self.state}")
        self.store.put("servers", self.name, self.spec())

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.call_seq += 1
            if self.name in self.store.objects.get("servers", {}):
                self.store.put("servers", self.name, self.spec(), quiet=True)

    def drain(self):
        """Says that it leaves; returns when the store has taken that."""
        self.state = "draining"
        self.register()
        return self.record.now()

    def end(self):
        self.beats.cancel()
        self.store.remove("servers", self.name)
        self.server.close()
        for writer in self.writers:
            writer.close()
        self.record.say(f"server {self.name} has ended")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                reply = await self.handle(head[0], head[1], body, reader)
                if reply is None:
                    return
                writer.write(reply)
                await writer.drain()
                if b"\r\nconnection: close\r\n" in reply:
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, first, headers, body, reader):
        method, target, _ = first.split(" ")
        if target == "/health":
            return answer(200 if self.state == "ready" else 503,
                          {"x-thornbridge-instance-id": self.name})
        attempt = headers.get(ATTEMPT, "")
        echo = {ATTEMPT: attempt}
        arrival = {"at": self.record.now(), "id": attempt, "target": target, "run": False,
                   "answered": False, "bytes": len(body)}
        self.arrivals.append(arrival)
        self.record.say(f"server {self.name}: {method} {target} {attempt} arrived, "
                        f"{len(body)} bytes, {headers.get(DEADLINE)} ms left")
        if headers.get(EXPECTED, self.name) != self.name:
            return answer(421, {"x-thornbridge-instance-id": self.name})
        if self.inside >= self.slots + self.queue:
            return answer(503, echo | {NOT_EXECUTED: "1"})
        self.inside += 1
        try:
            async with self.running:
                arrival["run"] = True
                self.record.say(f"server {self.name}: {attempt} runs")
                ends = time.monotonic() + self.work_s(target)
                while (left := ends - time.monotonic()) > 0:
                    await asyncio.sleep(min(left, 0.01))
                    if reader.at_eof():
                        self.record.say(f"server {self.name}: {attempt} dropped, its connection closed")
                        return None
        finally:
            self.inside -= 1
        arrival["answered"] = True
        self.record.say(f"server {self.name}: {attempt} answered")
        if self.state != "ready":
            echo["connection"] = "close"
        stamp = f"{self.name}.{attempt}"
        return answer(200, echo | {STAMP: stamp}, self.body(target))


def settings(store, gateway, others):
    """The settings file of a gateway, as the platform writes it."""
    seeds = [f"{HOST}:{other.control}" for other in others[:3]]
    bounds = "\n".join(f"{key} = {value}" for key, value in BOUNDS.items())
    return f"""node = "{gateway.name}"
role = "gateway"
machine_class = "front"
serves = ["front","control"]
ip = "{HOST}"
zone = "{gateway.zone}"
region = "r"
port_range = [{gateway.ports[0]},{gateway.ports[-1]}]
seeds = {json.dumps(seeds)}
bootstrap = true
in_fault_budget = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[zones]
z-a = "r"
z-b = "r"
[listen]
front = "{HOST}:{gateway.front}"
ready = "{HOST}:{gateway.ready}"
control = "{HOST}:{gateway.control}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
{bounds}
[platform]
address = "{store.address}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
retention_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


class Gateway:
    """A machine of the system: its settings, and its process as the deploy file starts it."""

    def __init__(self, record, folder, name, zone="z-a"):
        self.record, self.name, self.zone = record, name, zone
        self.ports = free_ports(4)
        self.front, self.ready, self.control, self.metrics = self.ports
        self.file = pathlib.Path(folder) / f"{name}.toml"
        self.log = open(pathlib.Path(folder) / f"{name}.log", "w")
        self.process = None

    def start(self, store, others):
        self.file.write_text(settings(store, self, others))
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["THORNBRIDGE_CONFIG"] = str(self.file)
        command = [str(PROGRAM), "gateway", "--metrics-port", str(self.metrics)]
        self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                        stdout=self.log, stderr=subprocess.STDOUT)
        self.record.say(f"gateway {self.name} starts, pid {self.process.pid}")

    def signal(self, number):
        self.record.say(f"gateway {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready)
        except OSError:
            return False
        try:
            writer.write(message("GET /ready HTTP/1.1", {"host": "platform", "connection": "close"}))
            head = await asyncio.wait_for(read_head(reader), 1)
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError):
            return False
        finally:
            writer.close()

    async def until_ready(self, limit_s=15):
        ends = time.monotonic() + limit_s
        while time.monotonic() < ends:
            if await self.is_ready():
                self.record.say(f"gateway {self.name} is ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"gateway {self.name} was not ready after {limit_s} s")

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()
        self.log.close()


class Client:
    """A client with one connection, which it keeps while the gateway lets it."""

    def __init__(self, record, name, gateway, host="site.example"):
        self.record, self.name, self.gateway, self.host = record, name, gateway, host
        self.reader = self.writer = None
        self.count = 0

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(HOST, self.gateway.front,
                                                                 limit=1 << 20)

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    def headers(self, attempt, deadline_ms, length):
        headers = {"host": self.host, ATTEMPT: attempt, DEADLINE: str(deadline_ms)}
        return headers | ({"content-length": str(length)} if length else {})

    async def ask(self, target, deadline_ms, method="GET", body=b"", pieces=None):
        """One request; its status, or 0 where the connection closed without a complete answer.

        `pieces`: seconds between the pieces in which the body is sent."""
        self.count += 1
        attempt = f"{self.name}-{self.count}"
        result = {"id": attempt, "target": target, "sent": self.record.now(), "status": 0,
                  "connected": True}
        try:
            if self.writer is None:
                await self.connect()
            head = message(f"{method} {target} HTTP/1.1",
                           self.headers(attempt, deadline_ms, len(body)))
            self.record.say(f"client {self.name}: {method} {target} {attempt} to {self.gateway.name}")
            if pieces:
                size = -(-len(body) // len(pieces))
                self.writer.write(head)
                for index, pause in enumerate(pieces):
                    await asyncio.sleep(pause)
                    self.writer.write(body[index * size:(index + 1) * size])
                    await self.writer.drain()
                    self.record.say(f"client {self.name}: {attempt} piece {index + 1} of {len(pieces)}")
            else:
                self.writer.write(head + body)
                await self.writer.drain()
            result["sent"] = self.record.now()
            await asyncio.wait_for(self.receive(result), deadline_ms / 1000)
        except asyncio.TimeoutError:
            result["status"] = -1
            self.close()
        except (OSError, asyncio.IncompleteReadError):
            self.close()
        result["ended"] = self.record.now()
        said = {0: "closed without an answer", -1: "no answer in time"}
        self.record.say(f"client {self.name}: {attempt} "
                        f"{said.get(result['status'], result['status'])} "
                        f"{result.get('body', b'')[:60]!r}")
        return result

    async def receive(self, result):
        head = await read_head(self.reader)
        if head is None:
            self.close()
            return
        first, headers = head
        result["body"] = await read_body(self.reader, headers, until_close=True)
        result["headers"] = headers
        result["status"] = int(first.split(" ")[1])
        if headers.get("connection", "").lower() == "close":
            self.close()


def route(name, prefix, kind, timeout_ms, slo_ms, **target):
    return {"name": name, "host": "site.example", "path_prefix": prefix, "kind": kind,
            "timeout_ms": timeout_ms, "slo_ms": slo_ms, "priority": 1, "max_attempts": 2} | target


def configuration(version, routes, services, max_conns=110):
    services = [{"name": name, "health_path": "/health", "max_conns": max_conns, "protocol": "h1",
                 "tls": False} for name in services]
    return {"version": version, "routes": routes, "services": services, "limits": LIMITS}


def play(folder, case):
    """Runs a case with a record and a temporary folder; exits with its verdict.

    The case returns the sentences that say how the rule was broken; none if it held."""
    record = Record(folder)
    scratch = tempfile.mkdtemp(prefix="thornbridge-case-")
    gateways = []

    def gateway(name, zone="z-a"):
        gateways.append(Gateway(record, scratch, name, zone))
        return gateways[-1]

    record.say("with the disruption" if troubled() else "TROUBLE=0: without the disruption", show=True)
    verdict = 2
    try:
        if not PROGRAM.exists():
            raise CannotRun("the program is not built")
        broken = asyncio.run(asyncio.wait_for(case(record, gateway), 110))
        for sentence in broken:
            record.say(f"BROKEN {sentence}", show=True)
        record.say(f"verdict: {'broken' if broken else 'held'}", show=True)
        verdict = 1 if broken else 0
    except (CannotRun, asyncio.TimeoutError, OSError) as error:
        record.say(f"could not run: {error!r}", show=True)
    finally:
        for one in gateways:
            one.end()
        if os.environ.get("KEEP_LOGS"):
            print(scratch)
        else:
            shutil.rmtree(scratch, ignore_errors=True)
    sys.exit(verdict)
