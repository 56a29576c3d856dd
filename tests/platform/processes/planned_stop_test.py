#!/usr/bin/env python3
"""Stops an entry by SIGTERM while callers keep sending, and checks that each request that was read gets an answer."""

import argparse
import http.client
import random
import signal
import sys
import tempfile
import threading
import time

from site_processes import Site, TEAMS

GRACE_SECONDS = 8
# A request whose connection ends later than this after its last byte counts as read.
SLACK_SECONDS = 0.2
# A refused request may have waited for a target, for the latency objective of the routes; otherwise it is refused at once.
REFUSED_SECONDS = 1.0 + 0.5
PATHS = {"call": "/calls/x", "order": "/orders/x", "stream": "/streams/x"}
TIMEOUT_MS = 6000


class Caller(threading.Thread):
    """Sends requests on one connection until it is closed; records what became of each."""

    def __init__(self, stop, number, chance):
        super().__init__(daemon=True)
        self.stop, self.number, self.random = stop, number, random.Random(chance)
        self.results = []
        self.connection = None

    def connect(self):
        self.connection = http.client.HTTPConnection(f"{self.stop.site.network}.1", 8227, timeout=TIMEOUT_MS / 1000 + 3)
        self.connection.connect()

    def send(self, kind, seconds, body_seconds):
        """Sends the head at once and the body over some seconds; returns False if the connection is of no more use."""
        request = f"{kind}-{self.number}-{len(self.results)}"
        result = {"id": request, "kind": kind, "status": None, "sent": None, "ended": None}
        body = f"work {seconds:.2f} {request}".encode()
        try:
            self.connection.putrequest("POST", PATHS[kind], skip_host=True)
            for name, value in {"Host": "h", "X-Api-Key": TEAMS["team-a"], "Chivewinch-Request-Id": request,
                                "Chivewinch-Deadline-Ms": str(TIMEOUT_MS), "Content-Length": str(len(body))}.items():
                self.connection.putheader(name, value)
            self.connection.endheaders()
            for index in range(len(body)):
                time.sleep(body_seconds / len(body))
                self.connection.send(body[index:index + 1])
            result["sent"] = time.monotonic()
            self.results.append(result)
            response = self.connection.getresponse()
            response.read()
            result["status"] = response.status
            result["keeps"] = response.getheader("Connection", "") != "close"
        except (OSError, http.client.HTTPException):
            pass
        result["ended"] = time.monotonic()
        return bool(result.get("keeps"))

    def run(self):
        begin = self.stop.begin + self.random.uniform(-1.0, 4.0)
        is_kept = self.random.random() < 0.5
        try:
            if is_kept:
                self.connect()
            time.sleep(max(0, begin - time.monotonic()))
            if not is_kept:
                self.connect()
            while self.send(self.random.choice(list(PATHS)), self.random.choice([0.1, 0.5, 2.0, 4.0]),
                            self.random.choice([0, 0, self.random.uniform(0.1, 2.8)])):
                time.sleep(self.random.uniform(0, 0.4))
        except OSError:
            pass  # New connections are not accepted any more.
        finally:
            if self.connection is not None:
                self.connection.close()


class PlannedStop:
    def __init__(self, site, seed, callers):
        self.site = site
        self.begin = time.monotonic() + 1.5
        self.callers = [Caller(self, number, f"{seed}-{number}") for number in range(callers)]
        for caller in self.callers:
            caller.start()
        time.sleep(max(0, self.begin - time.monotonic()))
        site.entries[0].send_signal(signal.SIGTERM)
        self.end = None
        deadline = self.begin + GRACE_SECONDS
        while time.monotonic() < deadline and self.end is None:
            if site.entries[0].poll() is not None:
                self.end = time.monotonic()
            time.sleep(0.01)
        for caller in self.callers:
            caller.join(timeout=GRACE_SECONDS + TIMEOUT_MS / 1000)

    def failures(self):
        arrived = {request for _, request in self.site.journal("arrived", "work")}
        failures = [] if self.end else [f"the process was still there {GRACE_SECONDS} s after the signal"]
        for result in (result for caller in self.callers for result in caller.results):
            sent = result["sent"] - self.begin
            took = result["ended"] - result["sent"]
            label = f"{result['id']} sent at {sent:.2f} s, status {result['status']} after {took:.2f} s"
            if result["status"] is None and result["id"] in arrived:
                failures.append(f"passed on and not answered: {label}")
            elif result["status"] is None and took > SLACK_SECONDS:
                failures.append(f"read and not answered: {label}")
            elif result["status"] == 503 and result["id"] in arrived:
                failures.append(f"refused although it has run: {label}")
            elif result["status"] == 503 and sent > 0 and took > REFUSED_SECONDS:
                failures.append(f"held and then refused: {label}")
        return failures

    def summary(self):
        counts = {}
        for result in (result for caller in self.callers for result in caller.results):
            key = (result["kind"], result["status"])
            counts[key] = counts.get(key, 0) + 1
        return ", ".join(f"{kind} {status}: {count}" for (kind, status), count in
                         sorted(counts.items(), key=str))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binaries", required=True)
    parser.add_argument("--callers", type=int, default=150)
    parser.add_argument("--engines", type=int, default=6)
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--stops", type=int, default=1, help="stops with consecutive seeds")
    parser.add_argument("--logs", help="folder for the logs of the processes; a temporary one by default")
    arguments = parser.parse_args()
    failures = []
    for seed in range(arguments.seed, arguments.seed + arguments.stops):
        with tempfile.TemporaryDirectory() as folder, Site(arguments.binaries, arguments.logs or folder, 1,
                                                           arguments.engines, slots=arguments.slots,
                                                           timeout_ms=TIMEOUT_MS) as site:
            stop = PlannedStop(site, seed, arguments.callers)
            found = stop.failures()
            print(f"seed {seed}: {stop.summary()}; {len(found)} failures", flush=True)
            failures += [f"seed {seed}: {failure}" for failure in found]
    print("\n".join(failures) or "passed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
