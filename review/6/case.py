"""
A request that crashes each engine that runs it, 1.5 s after the engine has begun to answer it, and that comes again.

Checks the rule BUDGET: "A request that crashes the engines that run it reaches engines in more than three retries, sent
by machines in touch later than contactMs after it has crashed the third."
"""

import http.client
import pathlib
import random
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib-2"))
from paths import BINARIES, BROKEN, HELD, NOT_RUN, Record, has_trouble, run  # noqa: E402
from fixture import Site, config, fields, route  # noqa: E402

ENTRIES, ENGINES = 9, 8
CONTACT = 3.0
BACK_AFTER, EXPIRES_AFTER = 2.5, 3.6  # An engine is back after some seconds; its old entry lasts three heartbeats.
CRASHES, ALLOWED_RETRIES = 3, 3
SECONDS = 30.0
PAUSES = ",".join(["0.1"] * 25)
CRASHING_BODY = b"poison prompt 4711" if has_trouble() else b"prompt 4711"


class Supervisor:
    """Starts crashed engines again, each under a new id."""

    def __init__(self, site, record):
        self.site, self.record = site, record
        self.starts = 0
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        down = {}  # engine: time of its crash
        expiring = []  # (time, id)
        while not self.stopping.wait(0.02):
            now = time.monotonic()
            for engine in self.site.engines:
                if engine not in down and engine.child is not None and engine.child.poll() is not None:
                    down[engine] = now
                    engine.child = None  # It reports no more.
                    expiring.append((now + EXPIRES_AFTER, engine.id))
                    self.record.line(f"{now:.3f} {engine.id} has crashed")
                elif engine in down and now - down[engine] >= BACK_AFTER:
                    del down[engine]
                    self.starts += 1
                    engine.id = f"{engine.id.split('.')[0]}.{self.starts}"
                    engine.start()
                    self.record.line(f"{now:.3f} {engine.id} has started")
            for item in [item for item in expiring if item[0] <= now]:
                expiring.remove(item)
                self.site.store.put("servers", item[1], None)

    def stop(self):
        self.stopping.set()
        self.thread.join()


class Callers:
    def __init__(self, site, record):
        self.site, self.record = site, record
        self.random = random.Random(1)
        self.sent, self.statuses = {}, {}
        self.stopped = threading.Event()

    def send(self, request, body):
        """One try, on a new channel to any entry; returns the status, 0 for none, whether complete, and Retry-After."""
        entry, at = self.random.randrange(ENTRIES), time.monotonic()
        self.sent[request] = at
        connection = http.client.HTTPConnection(self.site.address(entry), 8227, timeout=9)
        status, is_complete, retry_after = 0, False, 0.0
        try:
            connection.request("POST", "/streams/x", body, fields(request, 8000) | {"X-Pauses": PAUSES})
            response = connection.getresponse()
            status = response.status
            retry_after = float(response.getheader("Retry-After", "0"))
            response.read()
            is_complete = True
        except (OSError, http.client.HTTPException):
            pass
        connection.close()
        self.record.line(f"{at:.3f} {request} to entry {entry}: status {status}, "
                         f"{'complete' if is_complete else 'cut'} after {time.monotonic() - at:.3f} s")
        key = (request.split("-")[0], status, "complete" if is_complete else "cut")
        self.statuses[key] = self.statuses.get(key, 0) + 1
        return retry_after

    def repeat(self, kind, body_of):
        number = 0
        while not self.stopped.is_set():
            number += 1
            retry_after = self.send(f"{kind}-{number}", body_of(number))
            time.sleep(max(0.3, min(retry_after, 1.0)))


def main():
    record = Record("6")
    if not (BINARIES / "chivewinch-platform-entry").exists():
        record.say("the program is not built")
        return NOT_RUN
    settings = config([route("streams", "/streams/", "streaming", "wax-llm", gapTargetMs=120, resumeStreams=True)],
                      [{"name": "wax-llm", "slots": 12, "maxConns": 358, "healthPath": "/health"}])
    engines = [("wax-llm", f"kl-{'abc'[number % 3]}", 0.05) for number in range(ENGINES)]
    with tempfile.TemporaryDirectory() as folder, Site(folder, settings, engines, ENTRIES) as site:
        supervisor, callers = Supervisor(site, record), Callers(site, record)
        threads = [threading.Thread(target=callers.repeat, args=("crash", lambda _: CRASHING_BODY), daemon=True),
                   threading.Thread(target=callers.repeat, args=("plain", lambda number: b"own %d" % number),
                                    daemon=True)]
        for thread in threads:
            thread.start()
        time.sleep(SECONDS)
        callers.stopped.set()
        for thread in threads:
            thread.join()
        supervisor.stop()
        journal = site.journal()
    for at, engine, event, request in journal:
        record.line(f"{at:.3f} {engine} {event} {request}")
    record.say(f"answers: {callers.statuses}")
    crashes = [at for at, _, event, _ in journal if event == "crashed"]
    if len(crashes) < CRASHES:
        record.say(f"{len(crashes)} crashes")
        return NOT_RUN if has_trouble() else HELD
    third = crashes[CRASHES - 1]
    late = sorted({callers.sent[request] - third for _, _, event, request in journal if event == "arrived"
                   and request.startswith("crash") and callers.sent[request] > third + CONTACT})
    record.say(f"{len(crashes)} crashes; {len(late)} retries reached engines later than {CONTACT:.0f} s after the third "
               f"one, allowed {ALLOWED_RETRIES}: {[round(at, 1) for at in late]} s after it")
    return BROKEN if len(late) > ALLOWED_RETRIES else HELD


run(main)
