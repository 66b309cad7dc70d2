"""Stand-ins of the platform's store, of servers and of clients for the scripts of this review, and the start of
gateways as processes. Python's standard library only; every address is on the loopback interface.

Store and servers do what PROTOCOL.md says of them. What a case lets them do beyond a sound stand-in is written in the
case's own `case.py`, with the sentence of the pages that names it.
"""

import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "release", "thornbridge")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

ZONES = (("kbh-hall-a", "dk-east"), ("kbh-hall-b", "dk-west"), ("roskilde-hall", "se-south"))


class Record:
    """`record.txt` of a case: one line for each thing that was sent, answered or run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.begun = time.monotonic()

    def now_ms(self):
        return (time.monotonic() - self.begun) * 1000.0

    def line(self, text):
        with self.lock:
            self.file.write(f"{self.now_ms():9.1f} ms  {text}\n")
            self.file.flush()


class Closed(Exception):
    """The connection ended before a whole message was read; `received` holds what came."""

    def __init__(self, received=b"", reset=False):
        super().__init__("connection ended")
        self.received = received
        self.reset = reset


class Message:
    """A request or an answer of HTTP/1.1."""

    def __init__(self, first_line, headers, body):
        self.first_line = first_line
        self.headers = headers
        self.body = body

    def header(self, name):
        return next((value for key, value in self.headers if key == name.lower()), None)

    def headers_named(self, name):
        return [value for key, value in self.headers if key == name.lower()]


class Stream:
    """A connection that messages are read from."""

    def __init__(self, sock):
        self.sock = sock
        self.buffer = b""

    def _more(self):
        try:
            data = self.sock.recv(65536)
        except ConnectionResetError:
            raise Closed(self.buffer, reset=True) from None
        if not data:
            raise Closed(self.buffer)
        self.buffer += data

    def _until(self, mark):
        while mark not in self.buffer:
            self._more()
        head, self.buffer = self.buffer.split(mark, 1)
        return head

    def _take(self, count):
        while len(self.buffer) < count:
            self._more()
        taken, self.buffer = self.buffer[:count], self.buffer[count:]
        return taken

    def read(self, is_answer=False):
        head = self._until(b"\r\n\r\n").decode("latin-1")
        first_line, *lines = head.split("\r\n")
        headers = []
        for line in lines:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
        message = Message(first_line, headers, b"")
        length = message.header("content-length")
        if (message.header("transfer-encoding") or "").lower() == "chunked":
            while True:
                size = int(self._until(b"\r\n").split(b";")[0], 16)
                message.body += self._take(size)
                self._until(b"\r\n")
                if size == 0:
                    break
        elif length is not None:
            message.body = self._take(int(length))
        elif is_answer:
            try:
                while True:
                    self._more()
            except Closed as closed:
                if closed.reset:
                    raise
            message.body, self.buffer = self.buffer, b""
        return message


def answer_bytes(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Listener:
    """Accepts connections on a free loopback port and serves each in a thread of its own."""

    def __init__(self, serve):
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(512)
        self.address = "127.0.0.1:%d" % self.sock.getsockname()[1]
        self.serve = serve
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self.sock.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._run, args=(connection,), daemon=True).start()

    def _run(self, connection):
        try:
            self.serve(connection)
        except (Closed, OSError):
            pass
        finally:
            connection.close()


class Raw(str):
    """JSON text that the store keeps and hands out as its writer wrote it."""


class Store:
    """The platform's store: objects by kind and name, one counter of revisions, lists and watches."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.objects = {}
        self.events = []
        self.changed = threading.Condition()
        self.address = Listener(self._serve).address

    def put(self, kind, name, spec):
        """Creates or replaces an object. `spec`: a value, or `Raw` JSON text."""
        with self.changed:
            self.revision += 1
            known = self.objects.get((kind, name))
            made = known["made"] if known else self.revision
            entry = {"kind": kind, "name": name, "revision": self.revision, "made": made, "spec": spec}
            self.objects[(kind, name)] = entry
            self._event(entry, gone=False)

    def remove(self, kind, name):
        with self.changed:
            self.revision += 1
            entry = dict(self.objects.pop((kind, name)), revision=self.revision)
            self._event(entry, gone=True)

    def _event(self, entry, gone):
        self.events.append((self.revision, entry["kind"], self._text(entry), gone))
        self.changed.notify_all()

    @staticmethod
    def _text(entry):
        meta = {"name": entry["name"], "revision": entry["revision"], "made": entry["made"],
                "finalizers": [], "deleting": False}
        spec = entry["spec"] if isinstance(entry["spec"], Raw) else json.dumps(entry["spec"])
        return '{"meta":%s,"spec":%s,"status":null}' % (json.dumps(meta), spec)

    def _serve(self, connection):
        stream = Stream(connection)
        while True:
            request = stream.read()
            method, target, _ = request.first_line.split(" ", 2)
            status, body = self._answer(method, target)
            headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
            connection.sendall(answer_bytes(status, headers, body.encode()))

    def _answer(self, method, target):
        path, _, query = target.partition("?")
        fields = dict(pair.split("=", 1) for pair in query.split("&") if "=" in pair)
        parts = path.strip("/").split("/")
        if method != "GET" or parts[0] != "objects" or len(parts) != 2:
            return "404 Not Found", "{}"
        kind = parts[1]
        if "watch" in fields:
            return self._watch(kind, int(fields["watch"]), int(fields.get("wait_ms", "0")))
        with self.changed:
            entries = [entry for (of_kind, _), entry in sorted(self.objects.items()) if of_kind == kind]
            after = fields.get("after")
            entries = [entry for entry in entries if after is None or entry["name"] > after]
            items = ",".join(self._text(entry) for entry in entries)
            return "200 OK", '{"items":[%s],"more":false,"at":%d}' % (items, self.revision)

    def _watch(self, kind, since, wait_ms):
        until = time.monotonic() + wait_ms / 1000.0
        with self.changed:
            while True:
                found = [(text, gone) for revision, of_kind, text, gone in self.events
                         if of_kind == kind and revision > since]
                left = until - time.monotonic()
                if found or left <= 0:
                    events = ",".join('{"gone":%s,"object":%s}' % (str(gone).lower(), text) for text, gone in found)
                    return "200 OK", '{"events":[%s],"at":%d}' % (events, self.revision)
                self.changed.wait(left)


class Server:
    """A server of a service. `handle(server, request, connection)` answers one request, and returns whether the
    connection stays open."""

    def __init__(self, store, service, name, zone, slots, handle):
        self.store = store
        self.service = service
        self.name = name
        self.zone = zone
        self.slots = slots
        self.handle = handle
        self.address = Listener(self._serve).address

    def register(self, state="ready"):
        self.store.put("servers", self.name, {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": state, "cold_left_ms": 0, "call_seq": 1,
        })

    def _serve(self, connection):
        stream = Stream(connection)
        while True:
            request = stream.read()
            if request.first_line.startswith("GET /health "):
                connection.sendall(answer_bytes("200 OK", [("X-Thornbridge-Instance-Id", self.name)]))
                continue
            expected = request.header("x-thornbridge-expect-instance")
            if expected is not None and expected != self.name:
                connection.sendall(answer_bytes("421 Misdirected Request", [("X-Thornbridge-Instance-Id", self.name)]))
                continue
            if not self.handle(self, request, connection):
                return


def route(name, host, prefix, kind, timeout_ms, slo_ms, priority, **target):
    return dict({"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout_ms,
                 "slo_ms": slo_ms, "priority": priority, "max_attempts": 2}, **target)


def configuration(version, routes, services):
    services = [{"name": name, "health_path": "/health", "max_conns": limit, "protocol": "h1", "tls": False}
                for name, limit in services]
    return {"version": version, "routes": routes, "services": services, "limits": {
        "max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def free_ports(count):
    """Ports below the ephemeral range, so that no outgoing connection takes one between two lives of a gateway."""
    found = []
    while len(found) < count:
        port = random.randrange(20000, 32000)
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


class Gateway:
    """One gateway as a process, with the command of `deploy/system.toml` and settings as on DEPLOY.md."""

    def __init__(self, folder, index, ports, seeds, store):
        self.zone, self.region = ZONES[index % len(ZONES)]
        self.name = f"front-{self.zone}-{index + 1}"
        front, ready, control, metrics = ports
        self.front, self.ready, self.control = (("127.0.0.1", port) for port in (front, ready, control))
        self.metrics = metrics
        self.settings = os.path.join(folder, f"node-{index}.toml")
        self.log = os.path.join(folder, f"node-{index}.log")
        self.process = None
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(self._settings_text(seeds, store))

    def _settings_text(self, seeds, store):
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in ZONES)
        front, ready, control = (f"{ip}:{port}" for ip, port in (self.front, self.ready, self.control))
        return f'''node = "{self.name}"
role = "gateway"
machine_class = "front"
serves = ["front","control"]
ip = "127.0.0.1"
zone = "{self.zone}"
region = "{self.region}"
seeds = {json.dumps(seeds)}
bootstrap = true
in_fault_budget = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[zones]
{zones}
[listen]
front = "{front}"
ready = "{ready}"
control = "{control}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 5000
ack_ms = 6000
catch_up_s = 4
drain_ms = 3000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
downgrade_slack_ms = 250
max_stretch_ms = 15000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_slack = 58
recovery_s = 12
[platform]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
retention_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
'''

    def start(self):
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["THORNBRIDGE_CONFIG"] = self.settings
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen([PROGRAM, "gateway", "--metrics-port", str(self.metrics)], cwd=ROOT,
                                            env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        if self.process is not None:
            self.signal(signal.SIGKILL)
            self.process.wait()

    def is_ready(self):
        try:
            with socket.create_connection(self.ready, timeout=1) as sock:
                sock.sendall(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
                return Stream(sock).read(is_answer=True).first_line.split(" ")[1] == "200"
        except (OSError, Closed, IndexError):
            return False


class Deployment:
    """Three gateways, one in each zone, and the store."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.TemporaryDirectory(prefix="thornbridge-review-")
        self.store = Store(record)
        ports = free_ports(12)
        ports = [ports[index * 4:index * 4 + 4] for index in range(3)]
        seeds = [f"127.0.0.1:{control}" for _, _, control, _ in ports]
        self.gateways = [Gateway(self.folder.name, index, ports[index], seeds, self.store.address)
                         for index in range(3)]

    def start(self):
        for gateway in self.gateways:
            gateway.start()

    def wait_ready(self, seconds=20, gateways=None):
        """Whether all gateways are ready in time."""
        until = time.monotonic() + seconds
        waiting = list(gateways or self.gateways)
        while waiting and time.monotonic() < until:
            waiting = [gateway for gateway in waiting if not gateway.is_ready()]
            time.sleep(0.1)
        return not waiting

    def end(self):
        for gateway in self.gateways:
            gateway.end()
        self.folder.cleanup()


def attempt_id():
    return "%016x" % random.getrandbits(64)


def request_bytes(method, path, host, identity, deadline_ms, body=b"", headers=()):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}", f"X-Thornbridge-Attempt-Id: {identity}",
             f"X-Thornbridge-Deadline-Ms: {deadline_ms}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def run(folder, case):
    """Runs `case(record, deployment)`, which returns an exit code, and ends all processes that it started."""
    record = Record(folder)
    if not os.path.exists(PROGRAM):
        record.line("target/release/thornbridge is missing: build first")
        sys.exit(COULD_NOT_RUN)
    deployment = Deployment(record)

    def stopped(*_):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, stopped)
    code = COULD_NOT_RUN
    try:
        code = case(record, deployment)
    except Exception as error:  # the case could not be run
        record.line(f"could not run: {error!r}")
    finally:
        deployment.end()
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "the case could not run"}
    record.line(f"exit {code}: {verdict[code]}")
    print(verdict[code])
    sys.stdout.flush()
    os._exit(code)
