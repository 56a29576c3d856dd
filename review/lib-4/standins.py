"""Stand-ins of the platform's store, of engines and of requesters, and a proxy, for the scripts of this review.

Everything runs in one process on loopback addresses; only the entries are processes of the project.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
READY_SECONDS = 30
BOUNDS = {"contactMs": 3000, "drainMs": 2000, "applyMs": 2000, "graceS": 8, "retryBudgetRatio": 0.2,
          "budgetSlack": 88, "budgetWindowS": 10}  # Those of the smallest deployment, sites/lepelgilde.toml.


def entry_command():
    """The command of the role `entry` in the deploy file, split at spaces as the platform does."""
    role = None
    for line in (ROOT / "deploy" / "system.toml").read_text().splitlines():
        if line.startswith("["):
            role = line.strip("[] \n")
        elif role == "roles.entry" and line.startswith("run"):
            return line.split("=", 1)[1].strip().strip('"').split(" ")
    raise RuntimeError("the deploy file has no role entry")


async def read_head(reader):
    """Start line and header fields, by lower-case name, of a message."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


def abort(writer):
    """Resets the connection."""
    try:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    except (OSError, AttributeError):
        pass
    writer.transport.abort()


CLOSED = (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, OSError)


class Store:
    """The platform's store: rows with versions, read in full or as a feed, changed under conditions."""

    def __init__(self):
        self.rows = {}  # (table, part, key) -> (version, bytes or None)
        self.version = 1
        self.changed = asyncio.Event()

    def put(self, table, key, value, part=""):
        """Stores a JSON value; None deletes the row. The return is the acknowledgement."""
        self.version += 1
        data = value if value is None or isinstance(value, bytes) else json.dumps(value).encode()
        self.rows[table, part, key] = (self.version, data)
        self.changed.set()
        self.changed = asyncio.Event()

    @staticmethod
    def row(table, part, key, version, data):
        row = {"table": table, "part": part, "key": key, "ver": version}
        return row | ({"tombstone": True} if data is None else {"value": base64.b64encode(data).decode()})

    def read_all(self, table, part):
        return [self.row(*row, version, data) for row, (version, data) in sorted(self.rows.items())
                if row[:2] == (table, part) and data is not None]

    async def read_changes(self, table, since, wait):
        end = time.monotonic() + wait
        while True:
            newer = sorted((version, row) for row, (version, _) in self.rows.items()
                           if row[0] == table and version > since)
            left = end - time.monotonic()
            if newer or left <= 0:
                return [self.row(*row, version, self.rows[row][1]) for version, row in newer]
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        failed = []
        for row in body["expectedRev"]:
            version, data = self.rows.get((row["table"], row["part"], row["key"]), (0, None))
            if (version if data is not None else 0) != row["ver"]:
                failed.append(self.row(row["table"], row["part"], row["key"], version, data))
        if failed:
            return 412, {"rows": [row for row in failed if "value" in row]}
        for row in body["puts"]:
            self.put(row["table"], row["key"], base64.b64decode(row["value"]), row["part"])
        for row in body["deletes"]:
            self.put(row["table"], row["key"], None, row["part"])
        return 200, {}

    async def serve(self, reader, writer):
        try:
            while True:
                start, fields = await read_head(reader)
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                url = urllib.parse.urlsplit(start.split(" ")[1])
                query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
                await asyncio.sleep(0.003)
                status, answer = 200, {}
                if url.path == "/api/rows-get":
                    answer = {"rows": self.read_all(query["table"], query.get("part", "")), "truncated": False}
                elif url.path == "/api/rows-feed":
                    answer = {"rows": await self.read_changes(
                        query["table"], int(query["sinceRev"]), int(query["waitMs"]) / 1000)}
                elif url.path == "/api/rows-tx":
                    status, answer = self.transact(json.loads(body))
                else:
                    status = 404
                data = json.dumps(answer | {"ver": self.version, "nowMs": int(time.monotonic() * 1000)}).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except CLOSED:
            pass
        finally:
            writer.close()


class Proxy:
    """Passes the connections of one machine on to the store. While cut, it resets them and refuses new ones."""

    def __init__(self, target):
        self.target = target
        self.is_cut = False
        self.writers = set()

    def cut(self):
        self.is_cut = True
        for writer in list(self.writers):
            abort(writer)

    def heal(self):
        self.is_cut = False

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except CLOSED:
            pass
        finally:
            writer.close()

    async def serve(self, reader, writer):
        if self.is_cut:
            abort(writer)
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            abort(writer)
            return
        ends = {writer, up_writer}
        self.writers |= ends
        await asyncio.gather(self.pump(reader, up_writer), self.pump(up_reader, writer))
        self.writers -= ends


class Partition:
    """Like Proxy, but while cut it is silent: bytes are held, and packets that open a connection are dropped.

    They are dropped because the queue of connections that wait to be accepted is full.
    """

    def __init__(self, target, address):
        self.target = target
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((address, 0))
        self.socket.listen(100)
        self.socket.setblocking(False)
        self.address = self.socket.getsockname()
        self.open = asyncio.Event()
        self.open.set()
        self.fillers = []
        self.tasks = set()
        self.accepting = asyncio.create_task(self.accept())

    async def accept(self):
        loop = asyncio.get_running_loop()
        while True:
            accepted, _ = await loop.sock_accept(self.socket)
            task = asyncio.create_task(self.serve(accepted))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def cut(self):
        self.open.clear()
        self.accepting.cancel()
        self.socket.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.fillers.append(filler)

    def heal(self):
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        while True:
            try:
                self.socket.accept()[0].close()
            except BlockingIOError:
                break
        self.socket.listen(100)
        self.accepting = asyncio.create_task(self.accept())
        self.open.set()

    async def pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                await self.open.wait()
                writer.write(data)
                await writer.drain()
        except CLOSED:
            pass
        finally:
            writer.close()

    async def serve(self, accepted):
        try:
            reader, writer = await asyncio.open_connection(sock=accepted)
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            accepted.close()
            return
        await asyncio.gather(self.pump(reader, up_writer), self.pump(up_reader, writer))


class Engine:
    """An engine of a plain service. Records each request that it begins to work on."""

    def __init__(self, site, name, address, zone, service="app", work=0.02):
        self.site, self.name, self.address, self.zone = site, name, address, zone
        self.service, self.work = service, work
        self.born = int(time.time() * 1000)
        self.server = None
        self.writers = set()

    def entry(self, state="ready"):
        return {"service": self.service, "address": f"{self.address}:7000", "zone": self.zone, "version": "v1",
                "slots": 8, "state": state, "coldRemainingMs": 0, "seq": 1, "born": self.born}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.address, 7000, limit=1 << 20)

    def register(self):
        self.site.store.put("servers", self.name, self.entry())

    def stop(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.close()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                _, fields = await read_head(reader)
                body = await reader.readexactly(int(fields.get("content-length", 0)))
                await self.answer(fields, body, writer)
        except CLOSED:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, fields, body, writer):
        request = fields.get("chivewinch-request-id", "")
        head = f"Chivewinch-Request-Id: {request}\r\nContent-Type: text/plain\r\n"
        if fields.get("chivewinch-expect-instance", self.name) != self.name:
            writer.write(f"HTTP/1.1 421 X\r\n{head}Content-Length: 0\r\n\r\n".encode())
        else:
            self.site.record("runs", self.name, request)
            self.site.runs.append((time.monotonic(), self.name, request))
            await asyncio.sleep(self.work)
            data = f"answer to {request}".encode()
            writer.write(f"HTTP/1.1 200 OK\r\n{head}Chivewinch-Response-Seal: seal\r\n"
                         f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
        await writer.drain()


class Site:
    """A store, entries with a proxy each, and engines, on loopback addresses of their own."""

    def __init__(self, record_path):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.store = Store()
        self.proxies, self.entries, self.settings = [], [], []
        self.runs = []  # (time, engine, request)
        self.sent = {}  # request -> (time, entry)
        self.started_at = time.monotonic()
        self.record_file = open(record_path, "w", buffering=1)
        self.requests = 0

    def record(self, *words):
        self.record_file.write(f"{time.monotonic() - self.started_at:8.3f} {' '.join(str(word) for word in words)}\n")

    async def start(self, zones, routes, services, silent=False):
        """Starts the store and one entry for each zone in the list, each behind a proxy whose cuts may be silent."""
        server = await asyncio.start_server(self.store.serve, f"{self.network}.250", 0, limit=1 << 22)
        store_port = server.sockets[0].getsockname()[1]
        self.configuration = {"version": 0, "routes": routes, "services": services, "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
        self.put_configuration()
        for number, zone in enumerate(zones):
            target = (f"{self.network}.250", store_port)
            if silent:
                proxy = Partition(target, f"{self.network}.249")
                port = proxy.address[1]
            else:
                proxy = Proxy(target)
                listening = await asyncio.start_server(proxy.serve, f"{self.network}.249", 0, limit=1 << 22)
                port = listening.sockets[0].getsockname()[1]
            self.proxies.append(proxy)
            address = f"{self.network}.{number + 1}"
            path = self.folder / f"entry-{number}.conf"
            path.write_text("\n".join(
                [f"node=front-{number}", f"zone={zone}", f"listen.front={address}:8227", f"listen.ready={address}:8220",
                 f"platform.address={self.network}.249:{port}",
                 "portRange=7340,7355", "limits.memoryMb=260", "limits.maxFds=4200",
                 *[f"zones.{name}=region" for name in sorted(set(zones))],
                 *[f"bounds.{name}={value}" for name, value in BOUNDS.items()], ""]))
            self.settings.append(path)
            self.entries.append(self.start_entry(number))
        for number in range(len(zones)):
            await self.wait_ready(number)

    def put_configuration(self, **changes):
        """Puts the next version of the configuration, with these fields changed."""
        self.configuration |= changes | {"version": self.configuration["version"] + random.randrange(1, 4)}
        self.store.put("op", "config", self.configuration)
        self.record("configuration", self.configuration["version"])

    def start_entry(self, number):
        environment = {"PATH": os.environ.get("PATH", ""), "CHIVEWINCH_SETTINGS": str(self.settings[number])}
        with open(self.folder / f"entry-{number}.log", "ab") as log:
            return subprocess.Popen(entry_command(), cwd=ROOT, env=environment, stdout=log, stderr=log,
                                    stdin=subprocess.DEVNULL)

    async def wait_ready(self, number):
        end = time.monotonic() + READY_SECONDS
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(f"{self.network}.{number + 1}", 8220)
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: h\r\n\r\n")
                start, _ = await read_head(reader)
                writer.close()
                if start.split(" ")[1] == "200":
                    return
            except CLOSED:
                pass
            await asyncio.sleep(0.1)
        raise RuntimeError(f"entry {number} is not ready")

    def stop(self, keep_logs=False):
        for child in self.entries:
            if child.poll() is None:
                child.send_signal(signal.SIGKILL)
            child.wait()
        self.record_file.close()
        if not keep_logs:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def request(self, number, path, method="GET", deadline_ms=1500, fields=(), body=b""):
        """Sends one request to an entry on a new connection; (status or 0, body) of its answer."""
        self.requests += 1
        request = f"r{self.requests:06}"
        lines = [f"{method} {path} HTTP/1.1", "Host: h.example", f"Chivewinch-Request-Id: {request}",
                 f"Chivewinch-Deadline-Ms: {deadline_ms}", f"Content-Length: {len(body)}", *fields, "", ""]
        self.sent[request] = (time.monotonic(), number)
        writer = None
        try:
            reader, writer = await asyncio.open_connection(f"{self.network}.{number + 1}", 8227, limit=1 << 22)
            writer.write("\r\n".join(lines).encode() + body)
            start, answer = await asyncio.wait_for(read_head(reader), deadline_ms / 1000 + 1)
            data = await asyncio.wait_for(
                reader.readexactly(int(answer.get("content-length", 0))), deadline_ms / 1000 + 1)
            status = int(start.split(" ")[1])
        except (*CLOSED, asyncio.TimeoutError):
            status, data = 0, b""
        finally:
            if writer is not None:
                writer.close()
        self.record("answer", request, "of", f"front-{number}", status)
        return status, data


def route(name, prefix, kind, service="app", **more):
    return {"name": name, "hostname": "h.example", "prefix": prefix, "kind": kind, "timeoutMs": 4000,
            "targetLatencyMs": 300, "priority": 1, "service": service, "maxAttempts": 2, "noAuth": True,
            "sticky": False} | more


def run(main):
    """Runs the case and ends the process with its code; open connections of the stand-ins end with it."""

    async def guarded():
        task = asyncio.create_task(main())
        # The time limit of the script ends it by this signal; the entries must end too.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            code = await task
        except (Exception, asyncio.CancelledError) as failure:  # The case could not run.
            print("failed:", repr(failure), flush=True)
            code = 2
        os._exit(code)

    asyncio.run(guarded())
