#!/usr/bin/env python3
"""
Evacuates a zone while callers keep sending, takes it back, and checks when the engines of the zone get requests. Guards
against requests that reach an evacuated zone later than the bound allows, and against a zone that stays unused.
"""

import argparse
import collections
import sys
import tempfile
import threading
import time

from site_processes import CallerThreads, Site, STATUS_OK, wait_until

ZONES = ("z0", "z1", "z2")
EVACUATED = "z1"
EVACUATE_SECONDS = 5.0  # bounds.evacuateMs
EVACUATION_SECONDS = 14.0
ENTRIES, ENGINES, CALLERS = 6, 6, 12
PATHS = ("/calls/x", "/orders/x", "/streams/x")


class Callers(CallerThreads):
    def __init__(self, site):
        self.site, self.statuses = site, collections.Counter()
        super().__init__(CALLERS)

    def send(self, number):
        count = 0
        while not self.stopping.is_set():
            count += 1
            request = f"caller-{number}-{count}"
            status, _ = self.site.send((number + count) % ENTRIES, f"work 0.1 {request}".encode(), request,
                                       path=PATHS[count % len(PATHS)], timeout=3)
            with self.lock:
                self.statuses[status] += 1
            time.sleep(0.02 if status == STATUS_OK else 0.2)


def disturb(site, scenario):
    """Restarts, freezes or adds entries while the zone is evacuated."""
    if scenario == "restart":
        for number in range(ENTRIES):
            site.restart_entry(number)
            time.sleep(0.5)
    elif scenario == "freeze":
        site.freeze_entry(0, 4)
        site.freeze_entry(3, 2)
    elif scenario == "join":
        site.add_entry()
    elif scenario == "history_lost":
        site.store.lose_history()


def arrivals(site, zone):
    """Times of the requests that reached the engines of the zone."""
    times = []
    for engine in site.engines:
        if site.zone_of(engine) == zone and engine.journal.exists():
            for line in engine.journal.read_text().splitlines():
                at, event, _ = line.split(" ", 2)
                if event == "arrived":
                    times.append(float(at))
    return sorted(times)


def run(site, scenario):
    failures = []
    callers = Callers(site)
    time.sleep(2)
    if scenario == "freeze":
        # The entry wakes with the state of before the evacuation.
        threading.Thread(target=site.freeze_entry, args=[1, 4], daemon=True).start()
        time.sleep(0.2)
    begun = time.monotonic()
    site.store.put("op", f"evacuate/{EVACUATED}", {})
    if scenario == "overlap":
        site.store.put("op", "evacuate/z2", {})
    time.sleep(1)
    disturb(site, scenario)
    time.sleep(max(0.0, begun + EVACUATION_SECONDS - time.monotonic()))
    ended = time.monotonic()
    site.store.put("op", f"evacuate/{EVACUATED}", None)
    time.sleep(EVACUATE_SECONDS)
    for number in range(len(site.entries)):
        wait_until(lambda: site.is_ready(number), f"entry {number} is ready")
        status, _ = site.send(number, b"work 0.1", f"last-{number}")
        if status != STATUS_OK:
            failures.append(f"an ordinary request to entry {number} got status {status}")
    callers.stop()
    late = [at - begun for at in arrivals(site, EVACUATED) if begun + EVACUATE_SECONDS < at < ended]
    # An entry that was frozen is bound from contactMs after it woke, which is before the bound of the evacuation is over.
    if late:
        failures.append(f"{len(late)} requests reached the evacuated zone late, the first {late[0]:.1f} s after the request")
    if scenario == "overlap" and [at for at in arrivals(site, "z2") if at > begun + EVACUATE_SECONDS]:
        failures.append("requests reached the zone whose evacuation goes on")
    if not [at for at in arrivals(site, EVACUATED) if at > ended]:
        failures.append("no request reached the zone after its evacuation")
    if not callers.statuses[STATUS_OK]:
        failures.append(f"callers were not served: {dict(callers.statuses)}")
    print(f"{scenario}: {dict(callers.statuses)}")
    return failures


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenario", choices=["calm", "restart", "freeze", "join", "history_lost", "overlap"])
    parser.add_argument("--binaries", required=True)
    parser.add_argument("--logs", help="folder for the logs of the processes; a temporary one by default")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder, Site(
            arguments.binaries, arguments.logs or folder, ENTRIES, ENGINES, engine_zones=ZONES,
            entry_settings=[f"bounds.evacuateMs={EVACUATE_SECONDS * 1000:.0f}"]) as site:
        failures = run(site, arguments.scenario)
    print("\n".join(failures) or "passed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
