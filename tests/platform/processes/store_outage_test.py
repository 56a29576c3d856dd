#!/usr/bin/env python3
"""
Cuts entries off from the store, while engines leave or their rows expire. Guards against an entry that takes its own cut
for an outage of the store and sends requests to an engine that has left, and against engines that get no requests
although they register again soon after an outage.
"""

import argparse
import collections
import sys
import tempfile
import threading
import time

from site_processes import Site, STATUS_OK, wait_until

CONTACT_SECONDS = 3.0  # bounds.contactMs
CUT_ROUNDS = 3
CALLERS = 6
ENTRIES, ENGINES = 3, 3
# Time of a call without an answer and of the pause after it, and of one more call.
NEXT_CALL_SECONDS = 1.6


class Callers:
    """Send requests to some entries until they are stopped."""

    def __init__(self, site, entries):
        self.site, self.entries, self.stopping = site, entries, threading.Event()
        self.answers, self.lock = [], threading.Lock()  # (sent, status)
        self.sent = {}  # Time by request.
        self.threads = [threading.Thread(target=self.send, args=[number], daemon=True) for number in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def send(self, number):
        count = 0
        while not self.stopping.is_set():
            count += 1
            request = f"caller-{number}-{count}"
            sent = self.sent[request] = time.monotonic()
            status, _ = self.site.send(self.entries[count % len(self.entries)], b"work 0.01", request)
            with self.lock:
                self.answers.append((sent, status))
            time.sleep(0.01)

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()


def arrivals(engine):
    """Time and request of each arrival at the engine."""
    found = []
    for line in engine.journal.read_text().splitlines():
        at, event, request, _ = line.split(" ", 3)
        if event == "arrived":
            found.append((float(at), request))
    return found


def start_callers(site, entries):
    """Starts callers, and waits until each engine has got a request."""
    callers = Callers(site, entries)
    for engine in site.engines:
        wait_until(lambda: arrivals(engine), f"a request at {engine.id}")
    time.sleep(1)
    return callers


def play_cut(site, leaving, seconds):
    """Cuts entry 0 off for a while, in which the engine leaves. The cut ends as late as possible before a next call."""
    door = site.doors[0]
    door.unanswered.clear()
    door.is_closed = True
    cut = time.monotonic()
    time.sleep(0.4)
    site.store.put("servers", leaving.id, None)
    time.sleep(seconds - 0.4)
    begin = time.monotonic()
    wait_until(lambda: any(at > begin and table == "servers" for at, table in list(door.unanswered)), "a call", 5)
    door.is_closed = False
    print(f"cut for {time.monotonic() - cut:.2f} s")
    return time.monotonic()


def run_cuts(site, seconds, allowed):
    """Requests that reach the engine although they were sent later than allowed after the end of the cut."""
    leaving = site.engines[0]
    callers = start_callers(site, [0])
    failures = []
    for _ in range(CUT_ROUNDS):
        healed = play_cut(site, leaving, seconds)
        time.sleep(CONTACT_SECONDS + 0.8)
        after = [(at - healed, callers.sent[request] - healed) for at, request in arrivals(leaving) if at > healed]
        late = [at for at, sent in after if sent > allowed]
        print(f"last request at the engine that has left: {max(after, default=(0, 0))[0]:.2f} s after the cut")
        if late:
            failures.append(f"{len(late)} requests reached the engine that had left, up to {max(late):.2f} s after the cut")
        site.list_engine(leaving)
        listed = time.monotonic()
        wait_until(lambda: arrivals(leaving)[-1][0] > listed, "a request at the engine that is back", 5)
    callers.stop()
    failed = collections.Counter(status for _, status in callers.answers if status != STATUS_OK)
    if failed:
        failures.append(f"requests failed: {dict(failed)}")
    return failures


def run_outage(site):
    """All rows of engines expire while the store is away; the engines register again within two seconds."""
    callers = start_callers(site, range(ENTRIES))
    for door in site.doors.values():
        door.is_closed = True
    time.sleep(4)
    for engine in site.engines:
        site.store.put("servers", engine.id, None)
    time.sleep(1)
    for door in site.doors.values():
        door.is_closed = False
    returned = time.monotonic()
    for engine, delay in zip(site.engines, (0.5, 1.2, 1.9)):
        time.sleep(returned + delay - time.monotonic())
        site.list_engine(engine)
    time.sleep(3)
    callers.stop()
    failures = []
    failed = [(sent - returned, status) for sent, status in callers.answers if status != STATUS_OK]
    if failed:
        failures.append(f"{len(failed)} of {len(callers.answers)} requests failed, the first {failed[0]}")
    for engine in site.engines:
        if not any(returned + 0.2 < at < returned + 1.6 for at, _ in arrivals(engine)):
            failures.append(f"no request reached {engine.id} after the return of the store")
    return failures


SCENARIOS = {
    # Each entry is the only one of its zone, so that no other one knows whether engines of the zone can reach the store.
    "own_cut": (("z0", "z1", "z2"), lambda site: run_cuts(site, 2.5, CONTACT_SECONDS)),
    # Another entry of the zone was in contact all the time.
    "own_cut_beside_peer": (("z0", "z0", "z1"), lambda site: run_cuts(site, 5.0, NEXT_CALL_SECONDS)),
    "outage": (("z0", "z1", "z2"), run_outage),
    "outage_beside_peer": (("z0", "z0", "z1"), run_outage),
}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenario", choices=SCENARIOS)
    parser.add_argument("--binaries", required=True)
    parser.add_argument("--logs", help="folder for the logs of the processes; a temporary one by default")
    arguments = parser.parse_args()
    zones, run = SCENARIOS[arguments.scenario]
    with tempfile.TemporaryDirectory() as folder, Site(
            arguments.binaries, arguments.logs or folder, ENTRIES, ENGINES, engine_zones=("z0", "z1", "z2"),
            entry_zones=zones) as site:
        failures = run(site)
    print("\n".join(failures) or "passed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
