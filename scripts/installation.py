"""Starts a small installation on loopback: stand-ins, agents and entries of several availability zones."""

import hashlib
import json
import pathlib
import random
import signal
import socket
import subprocess
import threading
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
ADDRESS = "127.0.0.1"
OWNERS = {"kilat-lilin": ("assistant", "ordering"), "lepelgilde": ("inscription", "order-desk")}
START_SECONDS = 20
STOP_SECONDS = 30


# These ports lie below the system's ephemeral port range, so that outgoing connections cannot occupy a chosen port.
FIRST_PORT, LAST_PORT = 12000, 32000
CHOSEN_PORTS = set()
PORT_LOCK = threading.Lock()


def free_ports(count):
    """Ports without a listener. No port is returned twice in this process, so that installations do not share ports."""
    ports = []
    with PORT_LOCK:
        while len(ports) < count:
            port = random.randrange(FIRST_PORT, LAST_PORT)
            with socket.socket() as probe:
                if port in CHOSEN_PORTS or probe.connect_ex((ADDRESS, port)) == 0:
                    continue
            CHOSEN_PORTS.add(port)
            ports.append(port)
    return ports


def http(method, port, path, body=None, headers=None, timeout=10):
    """Status and body of the response; status 0 if there was none."""
    data = body.encode() if isinstance(body, str) else body
    request = urllib.request.Request(f"http://{ADDRESS}:{port}{path}", data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.read()
    except urllib.error.HTTPError as error:
        return error.code, error.read()
    except OSError:
        return 0, b""


def key_hash(key):
    return hashlib.sha256(key.encode()).hexdigest()


def wait_until(condition, what, seconds=START_SECONDS):
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > deadline:
            raise RuntimeError(f"timed out after {seconds} s waiting for: {what}")
        time.sleep(0.02)


class Process:
    """One process that this installation started."""

    def __init__(self, name, arguments, log_folder):
        self.name = name
        self.arguments = [str(argument) for argument in arguments]
        self.log = pathlib.Path(log_folder) / f"{name}.log"
        self.child = None

    def start(self):
        with open(self.log, "ab") as log:
            # Ctrl-C signals the whole foreground process group. A separate session keeps the processes running until
            # stop() ends them in order.
            self.child = subprocess.Popen(self.arguments, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                          start_new_session=True)
        return self

    @property
    def pid(self):
        return self.child.pid

    def running(self):
        return self.child is not None and self.child.poll() is None

    def signal(self, number):
        if self.running():
            self.child.send_signal(number)

    def terminate(self):
        self.signal(signal.SIGTERM)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.wait()

    def wait(self, seconds=STOP_SECONDS):
        """Exit code, or None if the process is still running."""
        try:
            return self.child.wait(seconds)
        except subprocess.TimeoutExpired:
            return None


class Installation:
    """Processes of an installation, by name."""

    def __init__(self, folder, binaries=None, zones=("zone-a", "zone-b", "zone-c"), entries_per_zone=2,
                 engines_per_zone=1, engine_flags=(), team_limits=(10000, 10000), capacity=8):
        self.folder = pathlib.Path(folder)
        self.binaries = pathlib.Path(binaries or ROOT / "build" / "release" / "bin")
        self.zones = zones
        self.entries_per_zone = entries_per_zone
        self.engines_per_zone = engines_per_zone
        self.engine_flags = list(engine_flags)
        self.team_limits = team_limits
        self.capacity = capacity
        self.processes = {}
        self.targets = []
        self.owner_keys = {}
        self.extra_teams = []
        self.entry_ports = {}
        self.bundle_path = self.folder / "bundle.toml"
        self.folder.mkdir(parents=True, exist_ok=True)
        self.plan()

    def plan(self):
        """Chooses ports and targets."""
        per_owner = self.engines_per_zone * len(self.zones) + 1
        target_count = per_owner * len(OWNERS)
        entry_count = self.entries_per_zone * len(self.zones)
        ports = iter(free_ports(3 + 3 * target_count + 2 * entry_count))
        self.tables, self.objects, self.instances = next(ports), next(ports), next(ports)
        for index, (owner, (model, service)) in enumerate(OWNERS.items()):
            for zone in self.zones:
                for number in range(self.engines_per_zone):
                    self.add_target(f"{model}-{zone}-{number}", owner, "engine", model, zone, ports)
            self.add_target(f"{service}-0", owner, "service", service, self.zones[index % len(self.zones)], ports)
        self.entries = [(f"entry-{zone}-{number}", zone, next(ports), next(ports))
                        for zone in self.zones for number in range(self.entries_per_zone)]
        self.entry_ports = {name: port for name, _, port, _ in self.entries}

    def add_target(self, name, owner, kind, pool, zone, ports):
        self.targets.append({"id": name, "owner": owner, "kind": kind, "pool": pool, "zone": zone,
                             "port": next(ports), "agent_port": next(ports), "http_port": next(ports)})

    def bundle_text(self):
        lines = ["format = 1", ""]
        for owner in OWNERS:
            lines += ["[[owner]]", f'id = "{owner}"', f'name = "{owner}"', f'public_key = "{self.owner_keys[owner]}"', ""]
        for zone in self.zones:
            lines += ["[[zone]]", f'id = "{zone}"', 'region = "local"', f"expected_entries = {self.entries_per_zone}", ""]
        for owner, (model, service) in OWNERS.items():
            lines += ["[[model]]", f'id = "{model}"', f'owner = "{owner}"', ""]
            lines += ["[[service]]", f'id = "{service}"', f'owner = "{owner}"', 'non_repeatable = ["POST /orders"]', ""]
            rate, concurrency = self.team_limits
            lines += ["[[team]]", f'id = "{owner}-team"', f'owner = "{owner}"', f'key_hash = "{key_hash(owner + "-key")}"',
                      f"rate = {rate}", f"concurrency = {concurrency}", 'models = ["*"]', 'services = ["*"]', ""]
        for team in self.extra_teams:
            lines += ["[[team]]", f'id = "{team}"', 'owner = "kilat-lilin"', f'key_hash = "{key_hash(team + "-key")}"',
                      "rate = 100", "concurrency = 100", 'models = ["*"]', 'services = ["*"]', ""]
        for target in self.targets:
            field = "model" if target["kind"] == "engine" else "service"
            lines += ["[[target]]", f'id = "{target["id"]}"', f'owner = "{target["owner"]}"', f'kind = "{target["kind"]}"',
                      f'{field} = "{target["pool"]}"', f'zone = "{target["zone"]}"', f'address = "{ADDRESS}"',
                      f'port = {target["agent_port"]}', f"capacity = {self.capacity if target['kind'] == 'engine' else 64}",
                      f'can_resume = {"true" if target["kind"] == "engine" else "false"}', ""]
        return "\n".join(lines)

    def add(self, name, program, *arguments):
        process = Process(name, [self.binaries / f"chivewinch-{program}", *arguments], self.folder)
        self.processes[name] = process
        return process.start()

    def start_platform(self):
        for kind, port in (("tables", self.tables), ("objects", self.objects), ("instances", self.instances)):
            self.add(kind, "standin", kind, "--listen", f"{ADDRESS}:{port}")

    def start_target(self, target):
        flags = ["--listen", f"{ADDRESS}:{target['port']}"]
        if target["kind"] == "engine":
            flags += ["--model", target["pool"], "--slots", self.capacity, *self.engine_flags]
        return self.add(f"target-{target['id']}", "standin", target["kind"], *flags)

    def start_agent(self, target):
        return self.add(f"agent-{target['id']}", "agent", "--instance", f"agent-{target['id']}", "--zone", target["zone"],
                        "--target", target["id"], "--kind", target["kind"], "--listen", f"{ADDRESS}:{target['agent_port']}",
                        "--http-listen", f"{ADDRESS}:{target['http_port']}",
                        "--target-endpoint", f"{ADDRESS}:{target['port']}", "--object-store", f"{ADDRESS}:{self.objects}",
                        "--capacity", self.capacity if target["kind"] == "engine" else 64, "--usage-interval", "2s",
                        "--usage-key", self.usage_seed(f"agent-{target['id']}"))

    def start_entry(self, entry):
        name, zone, port, peer_port = entry
        peers = ",".join(f"{ADDRESS}:{other[3]}" for other in self.entries if other[0] != name)
        return self.add(name, "entry", "--instance", name, "--zone", zone, "--listen", f"{ADDRESS}:{port}",
                        "--peer-listen", f"{ADDRESS}:{peer_port}", "--peers", peers,
                        "--table-service", f"{ADDRESS}:{self.tables}", "--object-store", f"{ADDRESS}:{self.objects}",
                        "--owner-keys", self.owner_key_setting(), "--usage-interval", "2s",
                        "--usage-key", self.usage_seed(name))

    def usage_seed(self, instance):
        return key_hash(f"usage of {instance}")

    def owner_key_setting(self):
        return ",".join(f"{owner}={key}" for owner, key in self.owner_keys.items())

    def ctl(self, *arguments, check=True):
        """Runs a command of chivewinch-ctl and returns its result."""
        command = [self.binaries / "chivewinch-ctl", *[str(argument) for argument in arguments]]
        result = subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)
        if check and result.returncode != 0:
            raise RuntimeError(f"{' '.join(map(str, arguments))}: exit code {result.returncode}: {result.stderr}")
        return result

    def bundle_ctl(self, command, *arguments, check=True):
        return self.ctl("bundle", command, "--table-service", f"{ADDRESS}:{self.tables}", "--object-store",
                        f"{ADDRESS}:{self.objects}", "--owner-keys", self.owner_key_setting(), *arguments, check=check)

    def write_process_keys(self):
        """Writes the public usage keys of all entries and agents to a file and returns its path."""
        keys = []
        for side, names in (("entry", [entry[0] for entry in self.entries]),
                            ("agent", [f"agent-{target['id']}" for target in self.targets])):
            for name in names:
                keys += json.loads(self.ctl("keys", "usage", "--seed", self.usage_seed(name), "--instance", name,
                                            "--side", side).stdout)
        path = self.folder / "process-keys.json"
        path.write_text(json.dumps(keys), encoding="utf-8")
        return path

    def usage_ctl(self, command, *arguments, check=True):
        return self.ctl("usage", command, "--table-service", f"{ADDRESS}:{self.tables}", "--object-store",
                        f"{ADDRESS}:{self.objects}", "--process-keys", self.write_process_keys(), *arguments, check=check)

    def bundle_versions(self):
        """Version in force at each entry; None for an entry that does not answer."""
        statuses = [self.status(entry[2]) for entry in self.entries]
        return [status["bundle_version"] if status else None for status in statuses]

    def stop_daemons(self):
        """Stops entries, then agents; returns the names of processes that did not exit with 0."""
        return self.stop_group("entry-") + self.stop_group("agent-")

    def key_file(self, owner):
        return self.folder / f"{owner}.pem"

    def make_keys(self):
        for owner in OWNERS:
            self.owner_keys[owner] = self.ctl("keys", "new", "--file", self.key_file(owner)).stdout.strip()

    def roll_bundle(self, base=0):
        """Proposes the bundle file, signs it for both owners and rolls it; returns its version."""
        proposed = self.bundle_ctl("propose", "--file", self.bundle_path, "--base", base, "--output", "json")
        version = json.loads(proposed.stdout)[0]["version"]
        for owner in OWNERS:
            self.bundle_ctl("sign", "--version", version, "--owner", owner, "--key-file", self.key_file(owner))
        self.bundle_ctl("roll", "--version", version)
        return version

    def write_bundle(self):
        self.bundle_path.write_text(self.bundle_text(), encoding="utf-8")

    def start(self):
        self.make_keys()
        self.write_bundle()
        self.start_platform()
        for port in (self.tables, self.objects):
            wait_until(lambda: http("GET", port, "/journal")[0] == 200, "platform stand-ins")
        self.roll_bundle()
        for target in self.targets:
            self.start_target(target)
        for target in self.targets:
            self.start_agent(target)
        for entry in self.entries:
            self.start_entry(entry)
        for entry in self.entries:
            wait_until(lambda: self.sees_targets(entry), f"{entry[0]} with live targets")
        return self

    def status(self, port):
        code, body = http("GET", port, "/status")
        return json.loads(body) if code == 200 else None

    def sees_targets(self, entry):
        status = self.status(entry[2])
        return status is not None and sum(target["state"] == "live" for target in status["targets"]) == len(self.targets)

    def stop_group(self, prefix):
        failed = []
        group = [process for name, process in self.processes.items() if name.startswith(prefix) and process.running()]
        for process in group:
            process.terminate()
        for process in group:
            code = process.wait()
            if code is None:
                process.kill()
            if code != 0:
                failed.append(f"{process.name} ({code})")
        return failed

    def stop(self):
        """Stops daemons, then stand-ins; returns the names of processes that did not exit with 0."""
        return self.stop_daemons() + self.stop_group("")
