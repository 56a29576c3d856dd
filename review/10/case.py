"""
Requests that crash the engines that run them, before and after all entries are killed at the same moment.

Checks the rule BUDGET: "A request that crashes the engines that run it reaches engines in more than three retries, sent
by machines in touch later than contactMs after it has crashed the third."
"""

import pathlib
import random
import signal
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib-2"))
from paths import BINARIES, BROKEN, HELD, NOT_RUN, Record, has_trouble, run  # noqa: E402
from site_processes import STATUS_OK, Site  # noqa: E402

ENTRIES, ENGINES = 9, 16
CONTACT = 3.0
RESTART_DELAY = 0.5
CRASHES, ALLOWED_RETRIES = 3, 3
BEFORE, AFTER = 12.0, 12.0  # Seconds for which the request comes again before and after the kill.
BODIES = ("crash order 4711", "crash order 4712", "crash order 4713")


class Case:
    def __init__(self, site, record):
        self.site, self.record = site, record
        self.random = random.Random(1)
        self.lock = threading.Lock()
        self.count = 0
        self.sent = {}  # request: (body, time)
        self.harmless = {}
        self.stopped = threading.Event()

    def send(self, body, kind):
        with self.lock:
            self.count += 1
            request = f"{kind}-{self.count}"
        entry = self.random.randrange(ENTRIES)
        at = time.monotonic()
        self.sent[request] = (body, at)
        status, retry_after = self.site.send(entry, body, request, path="/orders/x")
        self.record.line(f"{at:.3f} {request} to entry {entry}: status {status} after "
                         f"{time.monotonic() - at:.3f} s, Retry-After {retry_after:.3f}")
        return status, retry_after

    def send_harmless(self):
        number = 0
        while not self.stopped.is_set():
            number += 1
            status, _ = self.send(f"own {number}", "plain")
            self.harmless[status] = self.harmless.get(status, 0) + 1
            time.sleep(0.1)

    def repeat_crashing(self, seconds):
        """One caller for each; a try is a new request with the same path, caller and body, at any entry."""
        end = time.monotonic() + seconds

        def repeat(body):
            while time.monotonic() < end:
                _, retry_after = self.send(body, "crash")
                time.sleep(max(0.2, min(retry_after, 1.0)))

        callers = [threading.Thread(target=repeat, args=(body,), daemon=True) for body in BODIES]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()

    def kill_all_entries(self):
        at = time.monotonic()
        for child in self.site.entries:
            child.send_signal(signal.SIGKILL)
        for child in self.site.entries:
            child.wait()
        self.record.say(f"{at:.3f} all {ENTRIES} entries killed")
        time.sleep(RESTART_DELAY)
        self.site.entries = [self.site.start_entry(number) for number in range(ENTRIES)]
        started = time.monotonic()
        self.record.say(f"{started:.3f} all entries started again")
        return started


def main():
    record = Record("10")
    if not (BINARIES / "chivewinch-platform-entry").exists():
        record.say("the program is not built")
        return NOT_RUN
    with tempfile.TemporaryDirectory() as folder, Site(BINARIES, folder, ENTRIES, ENGINES, 2.0) as site:
        case = Case(site, record)
        plain = threading.Thread(target=case.send_harmless, daemon=True)
        plain.start()
        case.repeat_crashing(BEFORE)
        touch_from = 0.0
        if has_trouble():
            touch_from = case.kill_all_entries() + CONTACT
        # The request does not come again before the entries are in touch, and the engines are back.
        time.sleep(CONTACT + 2.0)
        resumed = time.monotonic()
        case.repeat_crashing(AFTER)
        case.stopped.set()
        plain.join()
        crashes = site.journal("ends", "crash")
        arrivals = site.journal("arrived", "crash")
    for at, request in arrivals:
        record.line(f"{at:.3f} {request} reached an engine")
    for at, request in crashes:
        record.line(f"{at:.3f} {request} crashed an engine")
    if case.harmless.get(STATUS_OK, 0) < 50:
        record.say(f"harmless requests are not served: {case.harmless}")
        return NOT_RUN
    record.say(f"harmless requests: {case.harmless}")
    worst = 0
    for body in BODIES:
        own = [at for at, request in crashes if case.sent[request][0] == body]
        if len(own) < CRASHES:
            record.say(f"{body}: only {len(own)} crashes, so the rule does not apply yet")
            continue
        third = own[CRASHES - 1]
        # The machines were killed after the first part and in touch again before the second one.
        late = sorted({case.sent[request][1] - third for _, request in arrivals if case.sent[request][0] == body
                       and case.sent[request][1] > third + CONTACT
                       and (case.sent[request][1] < resumed or case.sent[request][1] > touch_from)})
        record.say(f"{body}: {len(own)} crashes; {len(late)} retries reached engines later than {CONTACT:.0f} s after "
                   f"the third one, allowed {ALLOWED_RETRIES}: {[round(at, 1) for at in late]} s after it")
        worst = max(worst, len(late))
    if not worst:
        record.say("the requests have not come back to engines")
    return BROKEN if worst > ALLOWED_RETRIES else HELD


run(main)
