#!/usr/bin/env python3
"""
Lets engines or the store answer without end, or callers send large bodies, and checks the memory of the entry and that
sound requests are served.
"""

import argparse
import collections
import sys
import tempfile
import threading
import time

from site_processes import MEMORY_MB, Site, STATUS_NONE, STATUS_OK, wait_until

PATHS = {"body": "/calls/x", "orders": "/orders/x", "chunks": "/calls/x", "event": "/streams/x",
         "comments": "/streams/x", "head": "/calls/x", "interim": "/calls/x", "chunk_extension": "/calls/x"}
LARGE_BODY_BYTES = 4_000_000
SOUND_CALLERS = 6
# Time after which a request that was refused for lack of memory must have been told so.
TOLD_SECONDS = 1.0
REFUSED = 503


class Load:
    def __init__(self, site, scenario, callers, seconds):
        self.site, self.scenario = site, scenario
        self.end = time.monotonic() + seconds
        self.statuses, self.sound, self.told_late = collections.Counter(), collections.Counter(), 0
        self.lock = threading.Lock()
        if scenario == "store_pages":
            callers = 0
        threads = [threading.Thread(target=self.send_faulty, args=[number], daemon=True) for number in range(callers)]
        threads += [threading.Thread(target=self.send_sound, args=[number], daemon=True)
                    for number in range(SOUND_CALLERS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def send_faulty(self, number):
        count = 0
        while time.monotonic() < self.end:
            count += 1
            request = f"faulty-{number}-{count}"
            begin = time.monotonic()
            if self.scenario == "large_requests":
                body = f"work 1.0 {request} ".encode().ljust(LARGE_BODY_BYTES, b"x")
                status, _ = self.site.send(0, body, request)
            else:
                kind = "body" if self.scenario == "orders" else self.scenario
                status, _ = self.site.send(0, request.encode(), request, path=PATHS[self.scenario], timeout=8,
                                           more_fields={"X-Endless": kind})
            with self.lock:
                self.statuses[status] += 1
                self.told_late += status == REFUSED and time.monotonic() - begin > TOLD_SECONDS
            if status == REFUSED:
                time.sleep(0.2)

    def send_sound(self, number):
        count = 0
        while time.monotonic() < self.end and self.site.peak_memory(0) <= 2 * MEMORY_MB:
            count += 1
            request = f"sound-{number}-{count}"
            path = ["/calls/x", "/orders/x", "/streams/x"][count % 3]
            status, _ = self.site.send(0, f"work 0.1 {request}".encode(), request, path=path)
            with self.lock:
                self.sound[status] += 1


def failures_of(site, load, peak):
    failures = []
    if peak > MEMORY_MB:
        failures.append(f"the entry used {peak:.0f} MB of its machine's {MEMORY_MB}")
    if set(load.sound) != {STATUS_OK}:
        failures.append(f"sound requests were not all served: {dict(load.sound)}")
    log = (site.folder / "entry-0.log").read_text(errors="replace")
    blamed = [line for line in log.splitlines() if "crash=true" in line or "event=crash" in line]
    if blamed:
        failures.append(f"requests were blamed {len(blamed)} times, first: {blamed[0]}")
    if load.scenario == "large_requests":
        if load.told_late:
            failures.append(f"{load.told_late} requests were refused later than {TOLD_SECONDS} s after they began")
        if load.statuses[STATUS_NONE]:
            failures.append(f"{load.statuses[STATUS_NONE]} requests were closed without an answer")
        if not load.statuses[STATUS_OK]:
            failures.append("no large request was served")
    return failures


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenario", choices=[*PATHS, "large_requests", "store_pages"])
    parser.add_argument("--binaries", required=True)
    parser.add_argument("--callers", type=int, default=48)
    parser.add_argument("--engines", type=int, default=8)
    parser.add_argument("--seconds", type=float, help="10 by default, or 20 for the pages of the store")
    parser.add_argument("--logs", help="folder for the logs of the processes; a temporary one by default")
    arguments = parser.parse_args()
    seconds = arguments.seconds or (20 if arguments.scenario == "store_pages" else 10)
    with tempfile.TemporaryDirectory() as folder, Site(arguments.binaries, arguments.logs or folder, 1,
                                                       arguments.engines, slots=12) as site:
        if arguments.scenario == "store_pages":
            # A process reads the tables in full when it starts.
            site.store.endless_table = "peers"
            site.restart_entry(0)
            wait_until(lambda: site.is_ready(0), "the entry is ready")
        load = Load(site, arguments.scenario, arguments.callers, seconds)
        peak = site.peak_memory(0)
        failures = failures_of(site, load, peak)
    print(f"{arguments.scenario}: peak {peak:.0f} MB; faulty {dict(load.statuses)}; sound {dict(load.sound)}")
    print("\n".join(failures) or "passed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
