"""Starts the entry of the deploy file as processes on loopback, with stand-ins of engines and of the platform's store."""

import os
import pathlib
import signal
import subprocess
import sys
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests/platform/processes"))

import site_processes  # noqa: E402
from site_processes import STATUS_OK, wait_until  # noqa: E402,F401

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# As in the examples of the users' pages; the figures are those of the site lepelgilde.
LIMITS = {"maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000}
SETTINGS = {
    "zones.z0": "r", "zones.z1": "r", "zones.z2": "r", "portRange": "7340,7355", "bootstrap": "true",
    "lossCounts": "false", "limits.cpuShare": 0.25, "limits.cores": 1, "limits.memoryMb": 260, "limits.maxFds": 4200,
    "limits.linkMbps": 1000.0, "limits.diskMb": 0, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
    "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants,platform,experts",
    "faultTolerance.machines": 2, "faultTolerance.zones": 1, "faultTolerance.regions": 0, "bounds.seedLagS": 3,
    "bounds.reuseAfterS": 2, "bounds.contactMs": 3000, "bounds.ackMs": 4000, "bounds.catchUpS": 4,
    "bounds.drainMs": 2000, "bounds.graceS": 8, "bounds.lossSlackMs": 200, "bounds.applyMs": 2000,
    "bounds.rollbackSlackMs": 250, "bounds.maxStretchMs": 5000, "bounds.strictRevoke": "false", "bounds.revokeMs": 5000,
    "bounds.retryBudgetRatio": 0.2, "bounds.budgetWindowS": 10, "bounds.budgetSlack": 88, "bounds.recoveryS": 12,
    "bounds.passMs": 120, "bounds.retryAfterS": 0, "bounds.stall_ms": 1500, "bounds.enforceFencing": "false",
    "platform.form": "table", "platform.writesPerS": 400, "platform.readsPerS": 2000, "platform.txMs": 3.0,
    "platform.partWritesS": 300, "platform.rowBytes": 65_536, "platform.across": "true", "platform.historyS": 20,
    "platform.blobBytes": 8_388_608, "platform.blobMs": 25.0, "platform.blobMbS": 80.0}
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def binaries():
    """Folder of the program that the deploy file names for the role on front machines; it starts in the root."""
    os.chdir(ROOT)
    with open("deploy/system.toml", "rb") as file:
        command = tomllib.load(file)["roles"]["entry"]["run"]
    program = ROOT / command
    if not program.exists():
        raise RuntimeError(f"{command} is missing: run the build of the deploy file first")
    return program.parent


class Site(site_processes.Site):
    """The project's stand-in of a site, with all fields of a small deployment; its processes end with the block."""

    def __init__(self, *arguments, **options):
        self.started = []
        try:
            super().__init__(*arguments, **options)
        except BaseException:
            self.end_processes()
            raise

    def end_processes(self):
        """Ends what was started; needed if the site does not come up, since its block is then not entered."""
        if hasattr(self, "stopping"):
            self.stopping.set()
        for engine in getattr(self, "engines", []):
            engine.stop()
        for child in self.started:
            if child.poll() is None:
                child.kill()
                child.wait()

    def start(self, program, settings, log_name):
        with open(self.folder / log_name, "ab") as log:
            self.started.append(subprocess.Popen(
                [self.binaries / program], stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env=os.environ | {"CHIVEWINCH_SETTINGS": str(settings)}))
        return self.started[-1]

    def configure(self):
        route = {"service": "app", "timeoutMs": self.timeout_ms, "targetLatencyMs": 1000, "priority": 1, "noAuth": False,
                 "sticky": False}
        self.store.put("op", "config", {
            "version": 1,
            "services": [{"name": "app", "healthPath": "/health", "maxConns": 120, "protocol": "h1", "tls": False}],
            "routes": [
                route | {"name": "calls", "hostname": "h", "prefix": "/calls/", "kind": "idempotent", "maxAttempts": 2},
                route | {"name": "orders", "hostname": "h", "prefix": "/orders/", "kind": "non_idempotent",
                         "maxAttempts": 2}],
            "limits": LIMITS,
            "tenants": [{"name": name, "apiKeys": [key]} for name, key in site_processes.TEAMS.items()]})

    def list_engine(self, engine):
        self.store.put("servers", engine.id, {
            "service": "app", "address": engine.listen, "zone": "z0", "version": "v1", "slots": self.slots,
            "state": "ready", "coldRemainingMs": 0, "seq": 1, "born": int(time.time() * 1000)})

    def start_entry(self, number):
        address = f"{self.network}.{number + 1}"
        settings = self.folder / f"entry-{number}.conf"
        fields = {"node": f"front-z{number % 3}-{number}", "role": "entry", "machineClass": "front", "serves": "front",
                  "ip": address, "zone": f"z{number % 3}", "region": "r", "listen.front": f"{address}:8227",
                  "listen.ready": f"{address}:8220", "platform.address": self.store.address} | SETTINGS
        settings.write_text("".join(f"{name}={value}\n" for name, value in fields.items()))
        return self.start("chivewinch-platform-entry", settings, f"entry-{number}.log")

    def kill_all_entries(self):
        """Ends all entries at the same moment; each is started again at once."""
        begin = time.monotonic()
        for child in self.entries:
            child.send_signal(signal.SIGKILL)
        for child in self.entries:
            child.wait()
        self.entries = [self.start_entry(number) for number in range(len(self.entries))]
        for number in range(len(self.entries)):
            self.disturbances.append((number, begin, time.monotonic()))


class Record:
    """record.txt beside the script, and standard output."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w")

    def add(self, text):
        print(text, file=self.file, flush=True)

    def say(self, text):
        self.add(text)
        print(text, flush=True)


def run(folder, case):
    """Runs the case with its record; returns the exit code."""
    record = Record(folder)
    record.say(f"disruption {'on' if TROUBLE else 'off'}")
    try:
        is_broken = case(record)
    except Exception as error:  # noqa: BLE001: any failure of the test itself means that the case could not run
        record.say(f"the case could not run: {error!r}")
        return COULD_NOT_RUN
    record.say("the rule is broken" if is_broken else "the rule held")
    return BROKEN if is_broken else HELD
