"""Starts entries, engines and the platform's store of a small deployment on loopback addresses."""

import http.client
import os
import pathlib
import random
import signal
import subprocess
import sys
import threading
import time

from paths import BINARIES
from store import Store

FOLDER = pathlib.Path(__file__).resolve().parent
KEY = "n2ctnfzs989anu6wsjnb"
HEARTBEAT = 1.2
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
          "lossSlackMs": 200, "applyMs": 2000, "rollbackSlackMs": 250, "maxStretchMs": 5000, "strictRevoke": "false",
          "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 94, "recoveryS": 12,
          "passMs": 120, "retryAfterS": 0, "stall_ms": 1500, "enforceFencing": "false"}


class Engine:
    def __init__(self, site, number, service, zone, work):
        self.site, self.service, self.zone, self.work = site, service, zone, work
        self.id = f"i-{service}-{number}"
        self.listen = f"{site.network}.{100 + number}:7000"
        self.child = None
        self.cold_until = 0.0
        self.fields = {"born": 0, "seq": 0}

    def start(self, cold_seconds=0.0):
        """Starts it, or starts it again under the id that it had."""
        self.child = subprocess.Popen(
            [sys.executable, FOLDER / "engine_stand_in.py", "--listen", self.listen, "--id", self.id, "--journal",
             self.site.journal_path, "--work", str(self.work), "--id-step", str(self.site.id_step)],
            stdin=subprocess.DEVNULL)
        wait_until(lambda: accepts(self.listen), f"{self.id} listens")
        self.cold_until = time.monotonic() + cold_seconds
        self.fields = {"born": int(time.time() * 1000), "seq": 0}
        self.report()

    def crash(self):
        self.child.send_signal(signal.SIGKILL)
        self.child.wait()
        self.child = None

    def report(self, state="ready"):
        remaining = max(0, int(1000 * (self.cold_until - time.monotonic())))
        self.site.store.put("servers", self.id, {
            "service": self.service, "address": self.listen, "zone": self.zone, "version": "v1", "slots": 10,
            "state": state, "coldRemainingMs": remaining} | self.fields)


def accepts(listen):
    import socket
    address, port = listen.rsplit(":", 1)
    try:
        socket.create_connection((address, int(port)), timeout=1).close()
        return True
    except OSError:
        return False


def wait_until(condition, what, seconds=30):
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise RuntimeError(f"timed out after {seconds} s waiting for: {what}")
        time.sleep(0.02)


class Site:
    """
    config: the operator's config without its version; engines: (service, zone, seconds of work) of each; id_step:
    difference between the ids of two events of a stream.
    """

    def __init__(self, folder, config, engines, entries, bounds=None, id_step=1):
        self.folder = pathlib.Path(folder)
        self.id_step = id_step
        self.bounds = BOUNDS | (bounds or {})
        self.network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.journal_path = self.folder / "engines.journal"
        self.store = Store(f"{self.network}.250")
        self.store.put("op", "config", {"version": 1} | config)
        self.engines = [Engine(self, number, *engine) for number, engine in enumerate(engines)]
        for engine in self.engines:
            engine.start()
        self.stopping = threading.Event()
        self.beats = threading.Thread(target=self.beat, daemon=True)
        self.beats.start()
        self.entries = [self.start_entry(number) for number in range(entries)]
        for number in range(entries):
            wait_until(lambda: self.is_ready(number), f"entry {number} is ready")
        time.sleep(3.5)  # The entries know each other and are in touch.

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stopping.set()
        self.beats.join()
        for child in self.entries:
            if child.poll() is None:
                child.send_signal(signal.SIGKILL)
                child.wait()
        for engine in self.engines:
            if engine.child is not None:
                engine.crash()
        self.store.stop()

    def beat(self):
        while not self.stopping.wait(HEARTBEAT):
            for engine in self.engines:
                if engine.child is not None:
                    engine.fields["seq"] += 1
                    engine.report()

    def address(self, number):
        return f"{self.network}.{number + 1}"

    def start_entry(self, number):
        address, settings = self.address(number), self.folder / f"entry-{number}.conf"
        zone = f"kl-{'abc'[number % 3]}"
        settings.write_text("\n".join([
            f"node=front-{zone}-{number}", "role=entry", "machineClass=front", "serves=front", f"ip={address}",
            f"zone={zone}", "region=kl", "zones.kl-a=kl", "zones.kl-b=kl", "zones.kl-c=kl",
            f"listen.front={address}:8227", f"listen.ready={address}:8220", "portRange=7340,7355", "bootstrap=true",
            "limits.cpuShare=0.25", "limits.cores=1", "limits.memoryMb=260", "limits.maxFds=4100",
            "limits.linkMbps=1000.0", "discovery=platform", "entry=vip", f"heartbeatMs={int(1000 * HEARTBEAT)}",
            f"platform.address={self.store.address}", "platform.form=table",
            *(f"bounds.{name}={value}" for name, value in self.bounds.items()), ""]))
        with open(self.folder / f"entry-{number}.log", "ab") as log:
            return subprocess.Popen([BINARIES / "chivewinch-platform-entry"], stdout=log, stderr=log,
                                    stdin=subprocess.DEVNULL, env=os.environ | {"CHIVEWINCH_SETTINGS": str(settings)})

    def is_ready(self, number):
        try:
            connection = http.client.HTTPConnection(self.address(number), 8220, timeout=2)
            connection.request("GET", "/api/ready")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False

    def journal(self):
        """(time, engine, event, request) of all engines, in order."""
        found = []
        for line in self.journal_path.read_text().splitlines():
            at, engine, event, request = line.split(" ")
            found.append((float(at), engine, event, request))
        return sorted(found)


def route(name, prefix, kind, service, **more):
    return {"name": name, "hostname": "ficu95.example", "prefix": prefix, "kind": kind, "timeoutMs": 8000,
            "targetLatencyMs": 400, "priority": 1, "service": service, "maxAttempts": 2, "noAuth": False} | more


def config(routes, services):
    return {"routes": routes, "services": services, "tenants": [{"name": "hule930", "apiKeys": [KEY]}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000,
                       "idleTimeoutMs": 30000}}


def fields(request, deadline_ms):
    return {"Host": "ficu95.example", "X-Api-Key": KEY, "Chivewinch-Request-Id": request,
            "Chivewinch-Deadline-Ms": str(deadline_ms)}
