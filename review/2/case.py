"""An order to hold a step is carried out late, after its sender was killed, during the next change; see claim.txt."""

import http.server
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import deployment  # noqa: E402
from store import Store  # noqa: E402

RANKS, SETS, EXPERTS, PLACEMENTS, SPARE = 4, 3, 16, 6, 4
PASS_SECONDS, STEP_TOKENS = 0.03, 4_000
COPY_SECONDS = 0.21  # For the weights of one expert: EXPERT_MB over LINK_MBPS.
EXPERT_MB, LINK_MBPS = 4_725.0, 180_000.0
LATE_SHARE = 0.35  # Most of the orders of a round that get no answer and are carried out late.
LATE_SPAN = 1.2  # From the late hold to the end of the disturbance of the orders.
LATE_SECONDS = 2.0
RESTART_SECONDS = 0.5
QUIET_SECONDS = 0.08  # From the pass before the held one to the late order.
ROUND_SECONDS = 12.0
SERVICE, NAME, EPOCH = "llm", "g0", 1


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, *_):
        pass  # A caller that closes its connection is no error of the engine.


class Rank:
    def __init__(self, number):
        self.number, self.version, self.counts = number, 0, [0] * (SETS * EXPERTS)
        self.experts = [[expert for expert in range(EXPERTS) if expert % RANKS == number] for _ in range(SETS)]
        self.highest, self.preparing, self.prepared, self.ready_at = 0, None, None, 0.0
        self.armed, self.armed_experts, self.held, self.sequence = None, None, None, 0

    def prepared_version(self):
        """The newest map whose copy is complete."""
        if self.preparing and time.monotonic() >= self.ready_at:
            self.prepared, self.preparing = self.preparing, None
        return self.prepared[0] if self.prepared else None


class Group:
    """Ranks that run each pass together and take orders for maps. A pass begins if a request asks for it."""

    def __init__(self, addresses):
        self.changed = threading.Condition()
        self.ranks = [Rank(number) for number in range(RANKS)]
        self.addresses, self.ids = addresses, [f"i-rank-{number}" for number in range(RANKS)]
        self.born, self.random = int(time.time() * 1000), random.Random(time.time_ns())
        self.step, self.wanted, self.liked, self.mixed, self.changes = 0, 0, 0, [], 0
        self.is_late, self.on_late_hold, self.log = False, None, []
        self.ordered, self.unanswered, self.highest_share = 0, 0, 0.0
        self.stopping, self.servers, self.late_orders = threading.Event(), [], []
        for number, address in enumerate(addresses):
            host, port = address.rsplit(":", 1)
            self.servers.append(Server((host, int(port)), self.handler(number)))
            threading.Thread(target=self.servers[-1].serve_forever, daemon=True).start()
        threading.Thread(target=self.run_passes, daemon=True).start()

    def stop(self):
        self.stopping.set()
        for server in self.servers:
            server.shutdown()
            server.server_close()

    def entry(self, number):
        return {"service": SERVICE, "address": self.addresses[number], "zone": "z0", "version": "v1", "slots": 12,
                "state": "ready", "coldRemainingMs": 0, "seq": 1, "born": self.born, "stage": "mixed",
                "models": [{"name": "m", "version": 1, "adapters": []}], "size": RANKS,
                "group": {"name": NAME, "epoch": EPOCH, "rank": number, "state": "open"}}

    def ask_for_passes(self, count):
        """A request that needs so many passes."""
        with self.changed:
            self.wanted = max(self.wanted, self.step + count)
            self.changed.notify_all()

    def end_requests(self):
        with self.changed:
            self.wanted = self.step

    def run_passes(self):
        while not self.stopping.is_set():
            with self.changed:
                if self.step >= self.wanted or any(rank.held == self.step + 1 for rank in self.ranks):
                    self.changed.wait(0.2)
                    continue
                self.begin_pass()
            time.sleep(PASS_SECONDS)

    def begin_pass(self):
        self.step += 1
        for rank in self.ranks:
            if rank.armed and rank.armed["step"] <= self.step:
                rank.version, rank.experts, rank.armed = rank.armed["version"], rank.armed_experts, None
                self.changes += rank.number == 0
        versions = [rank.version for rank in self.ranks]
        if len(set(versions)) > 1:
            self.mixed.append((self.step, versions))
            self.note(f"pass {self.step} begins with the maps {versions}")
        for rank in self.ranks:
            for layer in range(SETS):
                for expert in range(EXPERTS):
                    is_liked = (expert - self.liked) % EXPERTS in (0, RANKS, 2 * RANKS)
                    rank.counts[layer * EXPERTS + expert] += STEP_TOKENS * (8 if is_liked else 1)

    def note(self, text):
        self.log.append((time.monotonic(), text))

    def report(self, number):
        rank = self.ranks[number]
        with self.changed:
            return {"stage": "mixed", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
                    "seq": rank.sequence, "waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 90000, "handles": 0,
                    "pace": 1, "born": self.born, "size": RANKS,
                    "group": {"name": NAME, "epoch": EPOCH, "rank": number, "state": "open"}, "step": self.step,
                    "mapping": rank.version, "prepared": rank.prepared_version(), "armed": rank.armed,
                    "held": rank.held}

    def picked(self, number, wants_lists):
        rank = self.ranks[number]
        with self.changed:
            answer = {"step": self.step, "epoch": EPOCH, "born": self.born}
            if not wants_lists:
                return answer | {"counts": list(rank.counts)}
            version = rank.prepared_version()
            return answer | {"mapping": {"version": rank.version, "experts": rank.experts},
                             "prepared": {"version": version, "experts": rank.prepared[1] if version else []}}

    def order(self, number, body):
        """The status, or None for an order that gets no answer and is carried out late."""
        with self.changed:
            text = f"rank {number}: {body['op']}, version {body.get('version', 0)}, step {body.get('step', 0)}"
            self.ordered += 1
            # One hold of each round is late, and of what follows it a share.
            if self.on_late_hold and body["op"] == "hold":
                call, self.on_late_hold = self.on_late_hold, None
                self.note(f"{text}: no answer, to be carried out {LATE_SECONDS} s later")
                self.count_unanswered()
                call(number, body, text)
                return None
            is_allowed = self.unanswered + 1 <= LATE_SHARE * self.ordered
            if self.is_late and is_allowed and self.random.random() < LATE_SHARE:
                self.count_unanswered()
                self.note(f"{text}: no answer, to be carried out {LATE_SECONDS} s later")
                threading.Timer(LATE_SECONDS, self.carry_out, [number, body, text]).start()
                return None
            return self.carry_out(number, body, text)

    def count_unanswered(self):
        self.unanswered += 1
        self.highest_share = max(self.highest_share, self.unanswered / self.ordered)

    def carry_out(self, number, body, text):
        with self.changed:
            rank = self.ranks[number]
            rank.prepared_version()
            status = self.status_of(rank, body) if body.get("epoch", EPOCH) == EPOCH else 409
            rank.sequence += status == 202
            self.note(f"{text}: {status}")
            self.changed.notify_all()
            return status

    def status_of(self, rank, body):
        kind, step, version = body["op"], body.get("step", 0), body.get("version", 0)
        if kind == "prepare":
            if rank.prepared and rank.prepared[0] == version:
                return 200
            if rank.preparing and rank.preparing[0] == version:
                return 202
            experts = [layer[rank.number] for layer in body["mapping"]]
            new = [len(set(mine) - set(had)) for mine, had in zip(experts, rank.experts)]
            if version <= rank.highest or rank.armed or max(new) > SPARE:
                return 409
            rank.highest, rank.preparing = version, (version, experts)
            rank.ready_at = time.monotonic() + sum(new) * COPY_SECONDS
            return 202
        if kind in ("arm", "hold") and step <= self.step:
            return 409
        if kind == "arm":
            if not rank.prepared or rank.prepared[0] != version:
                return 409
            rank.armed, rank.armed_experts = {"version": version, "step": step}, rank.prepared[1]
            return 200
        if kind == "hold":
            if rank.held not in (None, step):
                return 409
            rank.held = step
            return 200
        if kind == "go":
            if rank.held == step:
                rank.held = None
            return 200
        return 400

    def handler(group, number):
        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_GET(self):
                path = urllib.parse.urlsplit(self.path)
                if path.path == "/api/report":
                    self.answer(200, group.report(number))
                elif path.path == "/api/picked":
                    self.answer(200, group.picked(number, "lists" in path.query))
                else:
                    self.answer(404, {})

            def do_POST(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                if self.headers.get("Chivewinch-Expect-Instance", group.ids[number]) != group.ids[number]:
                    self.answer(421, {})
                    return
                status = group.order(number, json.loads(body))
                if status is None:
                    self.rfile.read(1)  # Until the sender closes the channel.
                    self.close_connection = True
                    return
                self.answer(status, {})

            def answer(self, status, value):
                data = json.dumps(value).encode()
                try:
                    self.send_response(status)
                    self.send_header("Content-Type", "application/json")
                    self.send_header("Content-Length", str(len(data)))
                    self.end_headers()
                    self.wfile.write(data)
                except OSError:
                    pass  # The caller has left.

            def log_message(self, *_):
                pass

        return Handler


class Agents:
    """The agents of the deploy file, one beside each rank's engine, and the store."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        self.store = Store(f"{self.network}.250")
        self.group = Group([f"{self.network}.{100 + number}:7000" for number in range(RANKS)])
        engine = {"sets": SETS, "experts": EXPERTS, "placements": PLACEMENTS, "spare": SPARE, "expertMb": EXPERT_MB,
                  "linkMbps": LINK_MBPS, "form_ms": 600.0}
        self.store.put("op", "config", {
            "version": 1, "services": [{"name": SERVICE, "healthPath": "/health", "maxConns": 178, "slots": 12,
                                        "engine": engine}],
            "routes": [{"name": "drafts", "hostname": "h", "prefix": "/drafts/", "kind": "streaming",
                        "service": SERVICE, "timeoutMs": 8_000, "targetLatencyMs": 400, "gapTargetMs": 120,
                        "maxAttempts": 2, "priority": 1, "resumeStreams": True}],
            "limits": deployment.LIMITS, "tenants": []})
        for number in range(RANKS):
            self.store.put("servers", self.group.ids[number], self.group.entry(number))
        deployment.binaries()  # Changes to the root of the project.
        with open("deploy/system.toml", "rb") as file:
            self.command = tomllib.load(file)["roles"]["agent"]["run"].split()
        self.children = [self.start(number) for number in range(RANKS)]

    def start(self, number):
        address = f"{self.network}.{100 + number}"
        settings = self.folder / f"agent-{number}.conf"
        fields = {"node": f"side-z0-{number}", "role": "agent", "machineClass": "side", "serves": "side", "ip": address,
                  "zone": "z0", "region": "r", "service": SERVICE, "app": f"{address}:7000",
                  "listen.ready": f"{address}:8220", "platform.address": self.store.address} | deployment.SETTINGS
        settings.write_text("".join(f"{name}={value}\n" for name, value in fields.items()))
        with open(self.folder / f"agent-{number}.log", "ab") as log:
            return subprocess.Popen(self.command, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                    env=os.environ | {"CHIVEWINCH_SETTINGS": str(settings)})

    def kill_first(self):
        self.children[0].send_signal(signal.SIGKILL)
        self.children[0].wait()
        self.group.note("the agent of rank 0 is killed")
        threading.Timer(RESTART_SECONDS, self.restart_first).start()

    def restart_first(self):
        if not self.group.stopping.is_set():
            self.children[0] = self.start(0)
            self.group.note("the agent of rank 0 is started again")

    def end(self):
        self.group.stop()
        time.sleep(RESTART_SECONDS + 0.1)
        for child in self.children:
            child.kill()
            child.wait()
        self.store.stop()


def play_round(agents):
    """Traffic until a change holds its step, a pause, one pass of traffic, and traffic again."""
    group, held = agents.group, threading.Event()
    state = {}
    group.ordered = group.unanswered = 0

    def on_late_hold(number, body, text):
        group.wanted = group.step  # The requests have ended.
        state["order"] = (number, body, text + " (late)")
        state["at"] = time.monotonic() + LATE_SECONDS
        threading.Thread(target=agents.kill_first, daemon=True).start()
        held.set()

    if deployment.TROUBLE:
        group.on_late_hold = on_late_hold
    group.liked = (group.liked + 1) % EXPERTS
    end = time.monotonic() + ROUND_SECONDS
    while not held.is_set() and time.monotonic() < end:
        group.ask_for_passes(5)
        held.wait(0.1)
    if held.is_set():
        group.liked = (group.liked + 1) % EXPERTS
        time.sleep(max(0, state["at"] - QUIET_SECONDS - time.monotonic()))
        group.is_late = True
        group.ask_for_passes(1)
        time.sleep(max(0, state["at"] - time.monotonic()))
        group.carry_out(*state["order"])
    begin = time.monotonic()
    while time.monotonic() - begin < LATE_SPAN + 0.3:
        group.is_late = group.is_late and time.monotonic() - begin < LATE_SPAN
        group.ask_for_passes(5)
        time.sleep(0.1)
    group.is_late = False
    time.sleep(0.2)


def case(record):
    begin = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        agents = Agents(os.environ.get("LOGS", folder))
        group = agents.group
        try:
            rounds = 0
            while time.monotonic() - begin < 95 and not group.mixed:
                play_round(agents)
                rounds += 1
        finally:
            agents.end()
    for at, text in group.log:
        record.add(f"{at - begin:.3f} s: {text}")
    record.add(f"highest share of the orders of a round without an answer: {group.highest_share:.2f}")
    if not group.changes and not group.mixed:
        raise RuntimeError("no map has been changed")
    record.say(f"{rounds} rounds, {group.changes} changes of the map, {len(group.mixed)} passes with different maps")
    return bool(group.mixed)


if __name__ == "__main__":
    sys.exit(deployment.run(FOLDER, case))
