"""Stand-in of a group of model engines, whose ranks run each pass together and take orders for expert maps."""

import http.server
import json
import threading
import time
import urllib.parse

SERVICE, NAME = "llm", "g0"
SETS, EXPERTS, PLACEMENTS, SPARE = 2, 16, 6, 4
PASS_SECONDS, COPY_SECONDS, STATUS_OK = 0.03, 0.15, 200
PASSES_PER_REQUEST = 3
SHIFT_SECONDS = 2.0  # Other experts are in demand after this time.
TOKENS_PER_PASS = 400

LIMITS = {"slots": 12, "sets": SETS, "experts": EXPERTS, "placements": PLACEMENTS, "spare": SPARE, "expertMb": 1.0,
          "linkMbps": 1000.0, "form_ms": 600.0}


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, *_):
        pass  # A caller that closes its connection is no error of the engine.


class Rank:
    def __init__(self, number, ranks):
        self.number, self.version, self.counts = number, 0, [0] * (SETS * EXPERTS)
        self.experts = [[expert for expert in range(EXPERTS) if expert % ranks == number] for _ in range(SETS)]
        self.highest, self.prepared, self.prepared_experts, self.ready_at = 0, None, None, 0.0
        self.armed, self.held, self.sequence = None, None, 0

    def prepared_version(self):
        return self.prepared if self.prepared is not None and time.monotonic() >= self.ready_at else None


class Group:
    def __init__(self, addresses):
        self.changed = threading.Condition()
        self.ranks = [Rank(number, len(addresses)) for number in range(len(addresses))]
        self.addresses, self.ids = addresses, [f"i-rank-{number}" for number in range(len(addresses))]
        self.step, self.running, self.mixed, self.map_changes = 0, 0, 0, 0
        self.orders = []  # (time, what was ordered and answered)
        self.is_held, self.stopping, self.born = threading.Event(), threading.Event(), int(time.time() * 1000)
        self.servers = []
        for number, address in enumerate(addresses):
            host, port = address.rsplit(":", 1)
            server = Server((host, int(port)), self.handler(number))
            self.servers.append(server)
            threading.Thread(target=server.serve_forever, daemon=True).start()
        threading.Thread(target=self.run_passes, daemon=True).start()

    def stop(self):
        self.stopping.set()
        for server in self.servers:
            server.shutdown()
            server.server_close()

    def entry(self, number):
        return {"service": SERVICE, "address": self.addresses[number], "zone": "z0", "version": "v1", "slots": 12,
                "state": "ready", "coldRemainingMs": 0, "seq": 1, "born": self.born, "stage": "mixed",
                "models": [{"name": "m", "version": 1, "adapters": []}], "size": len(self.ranks),
                "group": {"name": NAME, "epoch": 1, "rank": number, "state": "open"}}

    def run_passes(self):
        begin = time.monotonic()
        while not self.stopping.wait(PASS_SECONDS):
            with self.changed:
                if not self.running or any(rank.held == self.step + 1 for rank in self.ranks):
                    continue
                self.step += 1
                for rank in self.ranks:
                    if rank.armed and rank.armed["step"] == self.step:
                        rank.version, rank.experts, rank.armed = rank.armed["version"], rank.prepared_experts, None
                        self.map_changes += rank.number == 0
                self.mixed += len({rank.version for rank in self.ranks}) > 1
                first = int((time.monotonic() - begin) / SHIFT_SECONDS) * 5
                for rank in self.ranks:
                    for layer in range(SETS):
                        for expert in range(EXPERTS):
                            is_liked = (expert - first) % EXPERTS < 3
                            rank.counts[layer * EXPERTS + expert] += TOKENS_PER_PASS * (8 if is_liked else 1)
                self.changed.notify_all()

    def run_request(self, seconds):
        """True if the request has run for its passes within the time."""
        deadline = time.monotonic() + seconds
        with self.changed:
            self.running += 1
            last = self.step + PASSES_PER_REQUEST
            while self.step < last and time.monotonic() < deadline:
                self.changed.wait(min(0.1, max(0.001, deadline - time.monotonic())))
            self.running -= 1
            return self.step >= last

    def report(self, number):
        rank = self.ranks[number]
        with self.changed:
            return {"stage": "mixed", "models": [{"name": "m", "version": 1, "adapters": []}], "busy": False,
                    "seq": rank.sequence, "waiting": 0, "running": self.running, "kvUsed": 0, "kvTotal": 90000,
                    "handles": 0, "pace": 1, "born": self.born, "size": len(self.ranks),
                    "group": {"name": NAME, "epoch": 1, "rank": number, "state": "open"}, "step": self.step,
                    "mapping": rank.version, "prepared": rank.prepared_version(), "armed": rank.armed,
                    "held": rank.held}

    def picked(self, number, wants_lists):
        rank = self.ranks[number]
        with self.changed:
            answer = {"step": self.step, "epoch": 1, "born": self.born}
            if wants_lists:
                return answer | {"mapping": {"version": rank.version, "experts": rank.experts},
                                 "prepared": {"version": rank.prepared_version(), "experts": rank.prepared_experts}}
            return answer | {"counts": list(rank.counts)}

    def order(self, number, body):
        with self.changed:
            rank = self.ranks[number]
            status = self.carry_out(rank, body) if body.get("epoch", 1) == 1 else 409
            rank.sequence += status == 202
            self.orders.append((time.monotonic(), f"rank {number}: {body['op']}, version {body.get('version', 0)}, step "
                                f"{body.get('step', 0)}: {status}"))
            self.changed.notify_all()
            return status

    def carry_out(self, rank, body):
        kind, step, version = body["op"], body.get("step", 0), body.get("version", 0)
        if kind == "prepare":
            if rank.prepared == version:
                return STATUS_OK
            if version <= rank.highest or rank.armed:
                return 409
            rank.highest = rank.prepared = version
            rank.prepared_experts = [layer[rank.number] for layer in body["mapping"]]
            rank.ready_at = time.monotonic() + COPY_SECONDS
            return 202
        if step <= self.step and kind in ("arm", "hold"):
            return 409
        if kind == "arm":
            if rank.prepared_version() != version:
                return 409
            rank.armed = {"version": version, "step": step}
            return STATUS_OK
        if kind == "hold":
            if rank.held not in (None, step):
                return 409
            rank.held = step
            self.is_held.set()
            return STATUS_OK
        if kind == "go":
            if rank.held == step:
                rank.held = None
            return STATUS_OK
        return 400

    def handler(group, number):
        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_GET(self):
                path = urllib.parse.urlsplit(self.path)
                if path.path == "/api/report":
                    self.answer(STATUS_OK, group.report(number))
                elif path.path == "/api/picked":
                    self.answer(STATUS_OK, group.picked(number, "lists" in path.query))
                else:
                    self.answer(404, {})

            def do_POST(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                if self.headers.get("Chivewinch-Expect-Instance", group.ids[number]) != group.ids[number]:
                    self.answer(421, {})
                elif self.path == "/api/order":
                    self.answer(group.order(number, json.loads(body)), {})
                else:
                    request = self.headers["Chivewinch-Request-Id"]
                    seconds = int(self.headers["Chivewinch-Deadline-Ms"]) / 1000
                    fields = {"Chivewinch-Request-Id": request, "Chivewinch-Response-Seal": "seal"}
                    self.answer(STATUS_OK if group.run_request(seconds) else 504, {}, fields)

            def answer(self, status, value, fields=None):
                data = json.dumps(value).encode()
                try:
                    self.send_response(status)
                    for name, text in (fields or {}).items():
                        self.send_header(name, text)
                    self.send_header("Content-Type", "application/json")
                    self.send_header("Content-Length", str(len(data)))
                    self.end_headers()
                    self.wfile.write(data)
                except OSError:
                    pass  # The caller has left.

            def log_message(self, *_):
                pass

        return Handler
