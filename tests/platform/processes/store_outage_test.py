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
import time

from site_processes import CallerThreads, Site, STATUS_OK, wait_until

CONTACT_SECONDS = 3.0  # bounds.contactMs
CUT_ROUNDS = 3
CALLERS = 6
ENTRIES, ENGINES = 3, 3
# Engines are back within about two seconds of the return of the store, by the platform's documentation.
RETURN_SECONDS = (0.5, 1.2, 2.0)
# A call without an answer ends after 0.6 s; the next one begins up to 0.4 s later.
RETURN_PHASES = (0.05, 0.55, 0.95)
LONGEST_PAUSE = 0.2  # Between two requests at an engine, with six callers and three engines.
# Time of a call without an answer and of the pause after it, and of one more call.
NEXT_CALL_SECONDS = 1.6


class Callers(CallerThreads):
    """Send requests to some entries."""

    def __init__(self, site, entries):
        self.site, self.entries = site, entries
        self.answers = []  # (sent, status)
        self.sent = {}  # Time by request.
        super().__init__(CALLERS)

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


def await_call(door):
    """Waits for the next call for the list of engines, which gets no answer."""
    begin = time.monotonic()
    wait_until(lambda: any(at > begin and table == "servers" for at, table in list(door.unanswered)), "a call", 5)


def play_cut(site, leaving, seconds):
    """Cuts entry 0 off for a while, in which the engine leaves. The cut ends when a call has begun that will fail."""
    door = site.doors[0]
    door.is_closed = True
    cut = time.monotonic()
    time.sleep(0.4)
    site.store.put("servers", leaving.id, None)
    time.sleep(seconds - 0.4)
    await_call(door)
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


def play_outage(site, phase):
    """
    All rows of engines expire while the store is away. It returns some time after a call has begun, and the engines
    register again within two seconds.
    """
    for door in site.doors.values():
        door.is_closed = True
    time.sleep(2)
    for engine in site.engines:
        site.store.put("servers", engine.id, None)
    time.sleep(1)
    await_call(site.doors[0])
    time.sleep(phase)
    for door in site.doors.values():
        door.is_closed = False
    returned = time.monotonic()
    for engine, delay in zip(site.engines, RETURN_SECONDS):
        time.sleep(returned + delay - time.monotonic())
        site.list_engine(engine)
    time.sleep(3)
    failures = []
    for engine, delay in zip(site.engines, RETURN_SECONDS):
        times = [at - returned for at, _ in arrivals(engine) if 0 < at - returned < delay]
        last = max(times, default=0)
        print(f"return {phase} s after a call: last request at {engine.id} before it registers at {delay} s: {last:.2f} s")
        if last < delay - LONGEST_PAUSE:
            failures.append(f"{engine.id} was without requests from {last:.2f} s after the return until {delay} s")
    return failures


def run_outages(site, entries):
    callers = start_callers(site, entries)
    failures = [failure for phase in RETURN_PHASES for failure in play_outage(site, phase)]
    callers.stop()
    failed = collections.Counter(status for _, status in callers.answers if status != STATUS_OK)
    if failed:
        failures.append(f"requests failed: {dict(failed)}")
    return failures


SCENARIOS = {
    # Each entry is the only one of its zone, so that no other one knows whether engines of the zone can reach the store.
    "own_cut": (("z0", "z1", "z2"), lambda site: run_cuts(site, 2.5, CONTACT_SECONDS)),
    # Another entry of the zone was in contact all the time.
    "own_cut_beside_peer": (("z0", "z0", "z1"), lambda site: run_cuts(site, 5.0, NEXT_CALL_SECONDS)),
    "outage": (("z0", "z1", "z2"), lambda site: run_outages(site, [0])),
    "outage_beside_peer": (("z0", "z0", "z1"), lambda site: run_outages(site, range(ENTRIES))),
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
