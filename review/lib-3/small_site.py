"""A small deployment on loopback for the cases of this review.

The store runs in this process, each engine and each entry is a process of its own. The entries are started by the
command in deploy/system.toml, with the fields of a settings file of the users' pages.
"""

import base64
import http.client
import http.server
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

FOLDER = pathlib.Path(__file__).resolve().parent
ROOT = FOLDER.parent.parent
HOST = "shop.example"
KEYS = {"team-a": "key-a", "team-b": "key-b"}
HEARTBEAT_SECONDS = 1.2
CONTACT_SECONDS = 3.0
GRACE_SECONDS = 8
BOUNDS = {"contactMs": 3000, "drainMs": 2000, "applyMs": 2000, "graceS": GRACE_SECONDS, "lossSlackMs": 200,
          "retryBudgetRatio": 0.2, "budgetSlack": 94, "budgetWindowS": 10, "rollbackSlackMs": 250, "recoveryS": 12}
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}


class CannotRun(Exception):
    pass


def wait_until(condition, what, seconds=20):
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise CannotRun(f"timed out waiting for: {what}")
        time.sleep(0.02)


def free_network():
    """A loopback /24 on which the ports that the entries use are free."""
    for _ in range(50):
        network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        try:
            for port in (8227, 8220, 7340, 9464):
                with socket.socket() as trial:
                    trial.bind((f"{network}.1", port))
            return network
        except OSError:
            continue
    raise CannotRun("no free loopback network")


class Store:
    """The platform's store: rows, reads of a table, and a feed of changes."""

    def __init__(self, address):
        self.changed = threading.Condition()
        self.rows = {}  # (table, part, key) -> (version, value), the value None for a deleted row
        self.version = 1
        self.started = time.monotonic()
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_GET(self):
                path = urllib.parse.urlsplit(self.path)
                query = {name: values[0] for name, values in
                         urllib.parse.parse_qs(path.query, keep_blank_values=True).items()}
                if path.path == "/api/rows-get":
                    self.answer(200, store.read_all(query["table"], query.get("part", "")))
                elif path.path == "/api/rows-feed":
                    self.answer(200, store.read_changes(query["table"], int(query["sinceRev"]),
                                                        min(int(query["waitMs"]), 30000) / 1000))
                else:
                    self.answer(404, {})

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                self.answer(*store.transact(body))

            def answer(self, status, value):
                data = json.dumps(value).encode()
                try:
                    self.send_response(status)
                    self.send_header("Content-Type", "application/json")
                    self.send_header("Content-Length", str(len(data)))
                    self.end_headers()
                    self.wfile.write(data)
                except OSError:
                    pass  # The reader has closed its connection.

            def log_message(self, *_):
                pass

        class Server(http.server.ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 64

            def handle_error(self, *_):
                pass

            def process_request(self, request, client_address):
                self.channels.add(request)
                super().process_request(request, client_address)

            def shutdown_request(self, request):
                self.channels.discard(request)
                super().shutdown_request(request)

        self.make_server = lambda host: Server((host, 0), Handler)
        self.servers = {}
        self.address = self.listen(address)

    def listen(self, host):
        """Serves the store at one more address; returns it."""
        server = self.make_server(host)
        server.channels = set()
        address = f"{host}:{server.server_address[1]}"
        self.servers[address] = server
        threading.Thread(target=server.serve_forever, daemon=True).start()
        return address

    def leave(self, address):
        """Does not serve the store at this address any more; the others are not affected."""
        server = self.servers.pop(address)
        server.shutdown()
        server.server_close()
        for channel in list(server.channels):
            try:
                channel.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def now_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    def put(self, table, key, value, part=""):
        """Stores a JSON value, or deletes the row for None; returns when the store has accepted it."""
        with self.changed:
            self.version += 1
            self.rows[table, part, key] = (self.version, None if value is None else json.dumps(value).encode())
            self.changed.notify_all()

    def transact(self, body):
        with self.changed:
            def version_of(row):
                version, value = self.rows.get((row["table"], row["part"], row["key"]), (0, None))
                return 0 if value is None else version
            wanted = body.get("expectedRev", [])
            if any(version_of(row) != row["ver"] for row in wanted):
                rows = [self.row(row["table"], row["part"], row["key"]) for row in wanted if version_of(row) != 0]
                return 412, {"rows": rows, "ver": self.version, "nowMs": self.now_ms()}
            self.version += 1
            for row in body.get("puts", []):
                self.rows[row["table"], row["part"], row["key"]] = (self.version, base64.b64decode(row["value"]))
            for row in body.get("deletes", []):
                self.rows[row["table"], row["part"], row["key"]] = (self.version, None)
            self.changed.notify_all()
            return 200, {"ver": self.version, "nowMs": self.now_ms()}

    def row(self, table, part, key):
        version, value = self.rows[table, part, key]
        row = {"table": table, "part": part, "key": key, "ver": version}
        return row | ({"tombstone": True} if value is None else {"value": base64.b64encode(value).decode()})

    def read_all(self, table, part):
        with self.changed:
            rows = [self.row(*name) for name, (_, value) in sorted(self.rows.items())
                    if name[:2] == (table, part) and value is not None]
            return {"rows": rows, "ver": self.version, "truncated": False, "nowMs": self.now_ms()}

    def read_changes(self, table, since, wait):
        deadline = time.monotonic() + wait
        with self.changed:
            while True:
                newer = sorted((version, name) for name, (version, _) in self.rows.items()
                               if name[0] == table and version > since)
                left = deadline - time.monotonic()
                if newer or left <= 0:
                    break
                self.changed.wait(left)
            return {"rows": [self.row(*name) for _, name in newer], "ver": self.version, "nowMs": self.now_ms()}

    def stop(self):
        for address in list(self.servers):
            self.leave(address)


class Engine:
    """An engine process, listed in the store while it runs; a crashed one is back under a new id after some seconds."""

    def __init__(self, site, number):
        self.site, self.number, self.starts = site, number, 0
        self.listen = f"{site.network}.{100 + number}:7000"
        self.journal = site.folder / f"engine-{number}.journal"
        self.child = self.down_since = None

    def start(self):
        self.starts += 1
        self.id = f"i-{self.number}-{self.starts}"
        self.born = int(time.time() * 1000)
        with open(self.site.folder / f"engine-{self.number}.log", "ab") as log:
            self.child = subprocess.Popen(
                [sys.executable, FOLDER / "engine.py", "--listen", self.listen, "--id", self.id, "--journal",
                 self.journal, *self.site.engine_arguments.get(self.number, [])], stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.down_since = None
        wait_until(self.accepts, f"engine {self.number} listens")
        self.report("ready", 1)

    def accepts(self):
        address, port = self.listen.split(":")
        try:
            socket.create_connection((address, int(port)), timeout=1).close()
            return True
        except OSError:
            return False

    def report(self, state, seq):
        self.site.store.put("servers", self.id, {
            "service": "app", "address": self.listen, "zone": "z0",
            "version": "v1", "slots": 12, "state": state, "coldRemainingMs": 0, "seq": seq, "born": self.born})

    def advance(self):
        """Notices the end of the process, removes the entry after three missed reports, and starts it again."""
        if self.child is None or self.child.poll() is None:
            return
        now = time.monotonic()
        if self.down_since is None:
            self.down_since = now
            dead = self.id
            timer = threading.Timer(3 * HEARTBEAT_SECONDS, self.site.store.put, ["servers", dead, None])
            timer.daemon = True
            timer.start()
        elif now - self.down_since >= self.site.restart_seconds:
            self.start()

    def stop(self):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(signal.SIGKILL)
            self.child.wait()


class Site:
    def __init__(self, record, entries=3, engines=6, limits=None, routes=None, restart_seconds=2.0,
                 engine_arguments=None):
        self.record, self.restart_seconds = record, restart_seconds
        with open(ROOT / "deploy/system.toml", "rb") as file:
            self.command = tomllib.load(file)["roles"]["entry"]["run"].split()
        if not (ROOT / self.command[0]).exists():
            raise CannotRun(f"{self.command[0]} is not built")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.network = free_network()
        self.stopping = threading.Event()
        self.entries, self.engines, self.started = [], [], {}
        self.store = Store(f"{self.network}.250")
        self.limits, self.routes, self.version = dict(limits or LIMITS), routes or self.usual_routes(), 0
        self.service = {"name": "app", "healthPath": "/health", "maxConns": 400}
        self.keys, self.store_of = dict(KEYS), {}
        self.engine_arguments = engine_arguments or {}
        try:
            self.configure()
            for number in range(engines):
                self.engines.append(Engine(self, number))
                self.engines[-1].start()
            for number in range(entries):
                self.entries.append(None)
                self.start_entry(number)
            threading.Thread(target=self.supervise, daemon=True).start()
            for number in range(entries):
                wait_until(lambda: self.is_ready(number), f"entry {number} is ready")
            time.sleep(3)  # The entries find each other.
        except BaseException:
            self.stop()
            raise

    @staticmethod
    def usual_routes():
        usual = {"hostname": HOST, "service": "app", "timeoutMs": 8000, "targetLatencyMs": 400, "priority": 1,
                 "noAuth": False}
        return [usual | {"name": "calls", "prefix": "/calls/", "kind": "idempotent", "maxAttempts": 2},
                usual | {"name": "orders", "prefix": "/orders/", "kind": "non_idempotent", "maxAttempts": 1},
                usual | {"name": "streams", "prefix": "/streams/", "kind": "streaming", "maxAttempts": 2,
                         "sticky": True, "resumeStreams": True, "gapTargetMs": 120}]

    def configuration(self, version):
        return {"version": version, "routes": self.routes, "services": [self.service], "limits": self.limits,
                "tenants": [{"name": name, "apiKeys": [key]} for name, key in self.keys.items()]}

    def configure(self):
        """Puts the next version of the configuration; returns when the store has accepted it."""
        self.version += 1
        self.store.put("op", "config", self.configuration(self.version))
        self.note("config", version=self.version, limits=self.limits, keys=list(self.keys.values()))

    def write_settings(self, number):
        address = f"{self.network}.{number + 1}"
        settings = self.folder / f"entry-{number}.conf"
        settings.write_text("\n".join([
            f"node=front-{number}", "role=entry", "machineClass=front", "serves=front", f"ip={address}", "zone=z0",
            "region=r", "zones.z0=r", f"listen.front={address}:8227", f"listen.ready={address}:8220",
            "portRange=7340,7355", "bootstrap=true", "limits.memoryMb=260", "limits.maxFds=4100",
            "discovery=platform", "entry=vip", f"heartbeatMs={int(HEARTBEAT_SECONDS * 1000)}",
            f"platform.address={self.store_of.get(number, self.store.address)}", "platform.form=table",
            *(f"bounds.{name}={value}" for name, value in BOUNDS.items()), ""]))
        return settings

    def start_entry(self, number):
        settings = self.write_settings(number)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        with open(self.folder / f"entry-{number}.log", "ab") as log:
            self.entries[number] = subprocess.Popen(self.command, cwd=ROOT, stdout=log, stderr=log,
                                                    stdin=subprocess.DEVNULL,
                                                    env=environment | {"CHIVEWINCH_SETTINGS": str(settings)})
        self.started[number] = time.monotonic()

    def signal_entry(self, number, name):
        self.entries[number].send_signal(name)
        self.note("signal", entry=number, signal=signal.Signals(name).name)

    def is_ready(self, number):
        try:
            connection = http.client.HTTPConnection(f"{self.network}.{number + 1}", 8220, timeout=1)
            connection.request("GET", "/api/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False

    def supervise(self):
        while not self.stopping.wait(0.02):
            for engine in self.engines:
                engine.advance()

    def events(self, event, prefix=""):
        """Times, in order, and ids of this event at all engines, of the requests whose id begins with the prefix."""
        found = []
        for engine in self.engines:
            if engine.journal.exists():
                for line in engine.journal.read_text().splitlines():
                    at, name, request = line.split(" ")[:3]
                    if name == event and request.startswith(prefix):
                        found.append((float(at), request))
        return sorted(found)

    def note(self, event, **fields):
        self.record.add(event, fields)

    def stop(self):
        self.stopping.set()
        time.sleep(0.1)
        for child in self.entries:
            if child is not None and child.poll() is None:
                child.send_signal(signal.SIGKILL)
                child.wait()
        for engine in self.engines:
            engine.stop()
        self.store.stop()
        for engine in self.engines:
            if engine.journal.exists():
                for line in engine.journal.read_text().splitlines():
                    at, name, rest = line.split(" ", 2)
                    self.record.add(f"engine {engine.number} {name}", rest, float(at))
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop()


class Record:
    """What was sent, answered and run, in order of time, for record.txt."""

    def __init__(self, path):
        self.path, self.start, self.lines, self.lock = path, time.monotonic(), [], threading.Lock()
        self.short = None  # The requests whose ids begin with this get one line each.

    def add(self, event, fields, at=None):
        with self.lock:
            self.lines.append(((time.monotonic() if at is None else at) - self.start, event, fields))

    def write(self, verdict):
        with self.lock:
            requests, others = {}, []
            for line in sorted(self.lines, key=lambda line: line[0]):
                fields = line[2]
                request = fields.split(" ")[0] if isinstance(fields, str) else fields.get("request", "")
                (requests.setdefault(request, []) if self.short and request.startswith(self.short) else others).append(line)
            for request, events in requests.items():
                others.append((events[0][0], request, ", ".join(
                    f"{event} {at:.3f}" + (f" {fields['status']}" if "status" in fields else "") for at, event, fields in events)))
            lines = [f"{at:9.3f} {event} {fields if isinstance(fields, str) else json.dumps(fields)}"
                     for at, event, fields in sorted(others, key=lambda line: line[0])]
        pathlib.Path(self.path).write_text("\n".join([*lines, verdict, ""]))


class Client:
    """A requester with one channel; sends bytes as given and reads answers by their length or chunks."""

    def __init__(self, site, entry, timeout=12.0):
        self.site = site
        self.socket = socket.create_connection((f"{site.network}.{entry + 1}", 8227), timeout=timeout)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    @staticmethod
    def head(request_id, path, length, method="POST", more=()):
        fields = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Chivewinch-Request-Id: {request_id}",
                  "Chivewinch-Deadline-Ms: 8000", f"X-Api-Key: {KEYS['team-a']}", f"Content-Length: {length}", *more]
        return ("\r\n".join(fields) + "\r\n\r\n").encode()

    def send(self, data):
        self.socket.sendall(data)

    def read_answer(self):
        """Status, fields, body and whether the answer is complete; the status is 0 if no answer came."""
        data = b""
        try:
            while b"\r\n\r\n" not in data:
                piece = self.socket.recv(65536)
                if not piece:
                    return 0, {}, b"", False
                data += piece
        except OSError:
            return 0, {}, b"", False
        head, rest = data.split(b"\r\n\r\n", 1)
        lines = head.decode("latin-1").split("\r\n")
        status = int(lines[0].split(" ")[1])
        fields = {name.lower(): value.strip() for name, value in (line.split(":", 1) for line in lines[1:])}
        body = b""
        try:
            if fields.get("transfer-encoding", "").lower() == "chunked":
                while True:
                    while b"\r\n" not in rest:
                        rest += self.receive()
                    size, rest = rest.split(b"\r\n", 1)
                    length = int(size, 16)
                    while len(rest) < length + 2:
                        rest += self.receive()
                    body, rest = body + rest[:length], rest[length + 2:]
                    if length == 0:
                        return status, fields, body, True
            length = int(fields.get("content-length", 0))
            while len(rest) < length:
                rest += self.receive()
            return status, fields, rest, True
        except OSError:
            return status, fields, body or rest, False

    def receive(self):
        piece = self.socket.recv(65536)
        if not piece:
            raise ConnectionError("closed")
        return piece

    def close(self):
        self.socket.close()


def exchange(site, entry, request_id, path, body=b"", more=()):
    """Sends one request on a new channel; status, fields, body and completeness of its answer."""
    try:
        client = Client(site, entry)
    except OSError:
        site.note("no channel", request=request_id, entry=entry)
        return 0, {}, b"", False
    try:
        site.note("sent", request=request_id, entry=entry, path=path)
        client.send(Client.head(request_id, path, len(body), more=more) + body)
        answer = client.read_answer()
    except OSError:
        answer = 0, {}, b"", False
    finally:
        client.close()
    site.note("answered", request=request_id, status=answer[0], complete=answer[3])
    return answer


def main(run, folder):
    """Runs a case: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # The processes are ended on the way out.
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        failures, summary = run(record, trouble)
    except Exception as error:  # An error of the case itself must not look like a broken rule.
        record.write(f"cannot run: {error!r}")
        print(f"cannot run: {error!r}")
        return 2
    verdict = f"{'with' if trouble else 'without'} the disruption: {summary}; " + (
        "rule broken: " + "; ".join(failures) if failures else "rule held")
    record.write(verdict)
    print(verdict)
    return 1 if failures else 0
