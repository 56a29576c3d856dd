"""Runs entries and stand-ins of engines as processes on loopback, with the platform's store in this process."""

import http.client
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import threading
import time

from store import Store

FOLDER = pathlib.Path(__file__).resolve().parent
READY_SECONDS = 60
STATUS_OK, STATUS_NONE = 200, 0
MEMORY_MB = 260  # Of the machine of an entry.
TEAMS = {"team-a": "key-a", "team-b": "key-b"}


def wait_until(condition, what, seconds=READY_SECONDS):
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise RuntimeError(f"timed out after {seconds} s waiting for: {what}")
        time.sleep(0.05)


class CallerThreads:
    """Threads that each call send(number), as the test defines it, until they are stopped."""

    def __init__(self, count):
        self.stopping, self.lock = threading.Event(), threading.Lock()
        self.threads = [threading.Thread(target=self.send, args=[number], daemon=True) for number in range(count)]
        for thread in self.threads:
            thread.start()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()


class Engine:
    """An engine process; the site starts it again when it has ended or fallen silent."""

    def __init__(self, site, number):
        self.site, self.number = site, number
        self.id = f"i-{number}"
        self.listen = f"{site.network}.{100 + number}:7000"
        self.journal = site.folder / f"engine-{number}.journal"
        self.child = None
        self.down_since = None
        self.is_listed = False

    def start(self):
        with open(self.site.folder / f"{self.id}.log", "ab") as log:
            self.child = subprocess.Popen(
                [sys.executable, FOLDER / "engine.py", "--listen", self.listen, "--id", self.id, "--journal",
                 self.journal], stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.down_since = None
        threading.Timer(self.site.list_delay if self.is_listed else 0, self.site.list_engine, [self]).start()
        self.is_listed = True

    def is_listening(self):
        host, port = self.listen.split(":")
        try:
            socket.create_connection((host, int(port)), timeout=1).close()
        except OSError:
            return False
        return True

    def advance(self):
        if self.down_since is None:
            pid, status = os.waitpid(self.child.pid, os.WNOHANG | os.WUNTRACED)
            if pid:
                self.down_since = time.monotonic()
                if not os.WIFSTOPPED(status):
                    self.child = None
        elif time.monotonic() - self.down_since >= self.site.restart_seconds:
            self.stop()
            self.start()

    def stop(self):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(signal.SIGKILL)
            self.child.wait()
        self.child = None


class Site:
    def __init__(self, binaries, folder, entries, engines, restart_seconds=2.0, list_delay=0, contact_ms=3000, slots=10,
                 timeout_ms=4000, engine_zones=("z0",), entry_settings=(), entry_zones=("z0", "z1", "z2")):
        self.binaries, self.folder = pathlib.Path(binaries), pathlib.Path(folder)
        self.restart_seconds, self.list_delay, self.contact_ms = restart_seconds, list_delay, contact_ms
        self.slots, self.timeout_ms = slots, timeout_ms
        self.engine_zones, self.entry_settings, self.entry_zones = engine_zones, entry_settings, entry_zones
        self.network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.store = Store(f"{self.network}.250")
        self.started_at = time.monotonic()
        self.stopping = threading.Event()
        self.configure()
        self.engines = [Engine(self, number) for number in range(engines)]
        for engine in self.engines:
            engine.start()
        self.doors = {}  # Addresses of the store, by entry.
        self.disturbances = []  # (entry, start, end) of each restart, freeze and start of an entry
        self.entries = [self.start_entry(number) for number in range(entries)]
        self.supervisor = threading.Thread(target=self.supervise, daemon=True)
        self.supervisor.start()
        for number in range(entries):
            wait_until(lambda: self.is_ready(number), f"entry {number} is ready")
        # The entries know the engines from the store, also those that do not listen yet.
        for engine in self.engines:
            wait_until(engine.is_listening, f"{engine.id} is listening")
        time.sleep(2)  # The entries read the list of entries one second after their registration.

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stopping.set()
        self.supervisor.join()
        for child in self.entries:
            child.send_signal(signal.SIGKILL)
            child.wait()
        for engine in self.engines:
            engine.stop()
        self.store.stop()

    def configure(self, version=1, keys=None):
        """Writes a version of the configuration, by default with the keys of all teams."""
        route = {"kind": "idempotent", "service": "app", "timeoutMs": self.timeout_ms, "targetLatencyMs": 1000,
                 "maxAttempts": 2, "priority": 1}
        self.store.put("op", "config", {
            "version": version, "services": [{"name": "app", "slots": self.slots}],
            "routes": [route | {"name": "calls", "hostname": "h", "prefix": "/calls/"},
                       route | {"name": "orders", "hostname": "h", "prefix": "/orders/", "kind": "non_idempotent",
                                "maxAttempts": 1},
                       route | {"name": "streams", "hostname": "h", "prefix": "/streams/", "kind": "streaming",
                                "resumeStreams": True, "gapTargetMs": 500}],
            "tenants": [{"name": name, "apiKeys": [key]} for name, key in (keys or TEAMS).items()]})

    def list_engine(self, engine):
        self.store.put("servers", engine.id, {
            "service": "app", "address": engine.listen, "zone": self.zone_of(engine), "version": 1, "slots": self.slots,
            "state": "ready", "coldRemainingMs": 0, "seq": 1, "born": int(time.time() * 1000)})

    def zone_of(self, engine):
        return self.engine_zones[engine.number % len(self.engine_zones)]

    def start_entry(self, number):
        address = f"{self.network}.{number + 1}"
        settings = self.folder / f"entry-{number}.conf"
        if number not in self.doors:
            self.doors[number] = self.store.open_door()
        settings.write_text("\n".join([
            f"node=front-{number}", f"zone={self.entry_zones[number % len(self.entry_zones)]}", f"listen.front={address}:8227",
            f"listen.ready={address}:8220", f"platform.address={self.doors[number].address}", "portRange=7340,7355",
            f"bounds.contactMs={self.contact_ms}", "bounds.drainMs=2000", "bounds.applyMs=2000", "bounds.graceS=8",
            "bounds.retryBudgetRatio=0.2", "bounds.budgetSlack=94", "bounds.budgetWindowS=10",
            f"limits.memoryMb={MEMORY_MB}", *self.entry_settings, ""]))
        with open(self.folder / f"entry-{number}.log", "ab") as log:
            return subprocess.Popen([self.binaries / "chivewinch-platform-entry"], stdout=log, stderr=log,
                                    stdin=subprocess.DEVNULL,
                                    env=os.environ | {"CHIVEWINCH_SETTINGS": str(settings)})

    def restart_entry(self, number):
        started = time.monotonic()
        self.entries[number].send_signal(signal.SIGKILL)
        self.entries[number].wait()
        self.entries[number] = self.start_entry(number)
        self.disturbances.append((number, started, time.monotonic()))

    def restart_all_entries(self, delay):
        """Kills all entries at the same moment and starts them after the delay."""
        started = time.monotonic()
        for child in self.entries:
            child.send_signal(signal.SIGKILL)
        for child in self.entries:
            child.wait()
        time.sleep(delay)
        self.entries = [self.start_entry(number) for number in range(len(self.entries))]
        for number in range(len(self.entries)):
            self.disturbances.append((number, started, time.monotonic()))

    def freeze_entry(self, number, seconds):
        started = time.monotonic()
        self.entries[number].send_signal(signal.SIGSTOP)
        time.sleep(seconds)
        self.entries[number].send_signal(signal.SIGCONT)
        self.disturbances.append((number, started, time.monotonic()))

    def add_entry(self):
        started = time.monotonic()
        self.entries.append(self.start_entry(len(self.entries)))
        self.disturbances.append((len(self.entries) - 1, started, time.monotonic()))

    def in_contact(self, number, at):
        """True if the entry ran undisturbed for the contact time before this moment."""
        return not any(entry == number and start <= at and at - end <= self.contact_ms / 1000
                       for entry, start, end in self.disturbances)

    def supervise(self):
        while not self.stopping.wait(0.02):
            for engine in self.engines:
                engine.advance()

    def is_ready(self, number):
        try:
            connection = http.client.HTTPConnection(f"{self.network}.{number + 1}", 8220, timeout=2)
            connection.request("GET", "/api/ready")
            return connection.getresponse().status == STATUS_OK
        except (OSError, http.client.HTTPException):
            return False

    def send(self, number, body, request_id, team="team-a", path="/calls/x", timeout=6, method="POST",
             more_fields=None):
        """
        Status and Retry-After, in seconds, of the answer of one entry; STATUS_NONE if there was no answer. A GET has no
        body; what it does at the engine is sent in a header field.
        """
        connection = http.client.HTTPConnection(f"{self.network}.{number + 1}", 8227, timeout=timeout)
        try:
            fields = {"Host": "h", "X-Api-Key": TEAMS[team], "Chivewinch-Request-Id": request_id,
                      "Chivewinch-Deadline-Ms": "4000"} | (more_fields or {})
            if method == "GET":
                connection.request(method, path, None, fields | {"X-Run": body})
            else:
                connection.request(method, path, body, fields)
            response = connection.getresponse()
            response.read()
            return response.status, float(response.getheader("Retry-After", 0))
        except (OSError, http.client.HTTPException, socket.timeout):
            return STATUS_NONE, 0.0
        finally:
            connection.close()

    def peak_memory(self, number):
        """Highest resident size of an entry, in MB."""
        for line in pathlib.Path(f"/proc/{self.entries[number].pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        raise RuntimeError(f"entry {number} has ended")

    def journal(self, event, prefix):
        """Times, in order, and requests of this event, for all requests whose body begins with the prefix."""
        found = []
        for engine in self.engines:
            if engine.journal.exists():
                for line in engine.journal.read_text().splitlines():
                    at, name, request, body = line.split(" ", 3)
                    if name == event and body.startswith(prefix):
                        found.append((float(at), request))
        return sorted(found)
