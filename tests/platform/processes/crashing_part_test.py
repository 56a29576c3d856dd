#!/usr/bin/env python3
"""Sends requests that share one part of their prompts, which ends engines, next to sound ones; counts what reaches engines."""

import argparse
import sys
import tempfile
import time

from crashing_request_test import Callers, ALLOWED_RETRIES, disturb_entries, end_all_entries, start_harmless
from engine import BETWEEN, DEADLY_PART, FRAMED, INSIDE
from site_processes import Site, STATUS_OK

# Bounds of the users' rules.
CRASHES_BY_PART, CRASHES_BY_EQUAL_REQUEST = 5, 3
SOUND_SHARE = 0.5
MIN_SOUND = 20
SOUND_ONLY_SECONDS = 5  # The sound requests of this time are what later ones are compared with.
FIRST_PART = "aa01"
DEADLY_BODY, SOUND_BODY = "deadly", "sound"
PATHS = {"streams": "/streams/x", "calls": "/calls/x"}


class PartCallers(Callers):
    """Callers whose requests name the parts of their prompts."""

    def __init__(self, site, seed, end, scenario):
        super().__init__(site, seed, end)
        self.scenario = scenario
        self.path = PATHS[scenario["path"]]
        self.deadly_whole = 0  # Answers to requests that end their engines which the caller took for whole.
        self.sound = []  # (time, reached an engine at the first attempt) of each sound request
        self.deadly_times = []

    def fields(self, parts):
        with self.lock:
            framing = self.random.choice(self.scenario.get("framings", [FRAMED]))
        fields = {"X-Answer": framing}
        if parts:
            fields["Chivewinch-Prefix-Hash"] = ",".join(f"{part}:100" for part in parts)
        return fields

    def own_part(self):
        with self.lock:
            return f"{self.random.getrandbits(32):08x}"

    def send_deadly(self, body):
        """Sends equal requests if there is a body; otherwise no two have anything in common but parts of their prompts."""
        while time.monotonic() < self.end:
            self.wait_while_quiet()
            entry, request = self.next_try()
            first = self.own_part() if self.scenario.get("other_parts_differ") else FIRST_PART
            parts = [] if body else [first, DEADLY_PART, self.own_part()]
            self.deadly_times.append(time.monotonic())
            status, retry_after = self.site.send(
                entry, body or f"{DEADLY_BODY} {request}", request, path=self.path, more_fields=self.fields(parts))
            with self.lock:
                self.statuses[status] = self.statuses.get(status, 0) + 1
                self.deadly_whole += status == STATUS_OK
            time.sleep(max(0.1, min(retry_after, 1.0)))

    def send_sound(self, number):
        while time.monotonic() < self.end:
            started = time.monotonic()
            entry, request = self.next_try()
            parts = [FIRST_PART, f"bb{number:02x}", self.own_part()]
            status, _ = self.site.send(
                entry, f"{SOUND_BODY} {request}", request, path=self.path, more_fields=self.fields(parts))
            with self.lock:
                self.sound.append((started, status == STATUS_OK, entry))
            time.sleep(0.05)


def sound_shares(site, callers, ends, deadly_began):
    """Shares of the sound requests that were served before the crashes, and from when the rule holds; their numbers."""
    before = [served for at, served, _ in callers.sound if at < deadly_began - 0.5]
    begin = ends[min(len(ends), CRASHES_BY_PART) - 1] + 2 * site.contact_ms / 1000
    while_they_come = max(callers.deadly_times)
    after = [served for at, served, entry in callers.sound
             if begin < at < while_they_come and site.in_contact(entry, at)]
    return [(sum(served) / max(len(served), 1), len(served)) for served in (before, after)]


def run(arguments, folder, scenario):
    equal = scenario.get("equal", False)
    with Site(arguments.binaries, folder, arguments.entries, arguments.engines, restart_seconds=2.0) as site:
        seconds = scenario.get("seconds", 20)
        callers = PartCallers(site, arguments.seed, time.monotonic() + SOUND_ONLY_SECONDS + seconds, scenario)
        if scenario.get("sound", True):
            for number in range(8):
                callers.start(callers.send_sound, number)
        start_harmless(callers)
        time.sleep(SOUND_ONLY_SECONDS)
        deadly_began = time.monotonic()
        for _ in range(3):
            callers.start(callers.send_deadly, "crash" if equal else None)
        if scenario.get("entries_change"):
            callers.start(disturb_entries, callers)
        if scenario.get("all_end"):
            callers.start(lambda: end_all_entries(callers, scenario["all_end"]))
        callers.join()
        return check(site, callers, arguments.seed, "crash" if equal else DEADLY_BODY,
                     CRASHES_BY_EQUAL_REQUEST if equal else CRASHES_BY_PART, deadly_began)


def check(site, callers, seed, prefix, counted_crashes, deadly_began):
    ends = [at for at, _ in site.journal("ends", prefix)]
    failures = [f"harmless request not served: {item}" for item in callers.unserved]
    late = []
    if len(ends) >= counted_crashes:
        known = ends[counted_crashes - 1] + site.contact_ms / 1000
        late = [round(at - known, 2) for at, request in site.journal("arrived", prefix)
                if at > known and site.in_contact(callers.entry_of[request], at)]
    print(f"seed {seed}: {len(ends)} crashes, {len(late)} requests reached engines later than {site.contact_ms} ms after "
          f"crash {counted_crashes}; answers {callers.statuses}, {callers.deadly_whole} of them whole; harmless: "
          f"{callers.served} served, {len(callers.unserved)} not")
    if len(ends) < 2:
        failures.append("too few crashes to check the rule")
        return failures
    if len(late) > ALLOWED_RETRIES:
        failures.append(f"{len(late)} late requests, allowed {ALLOWED_RETRIES}: {late}")
    if callers.deadly_whole:
        failures.append(f"{callers.deadly_whole} answers that broke off looked whole")
    if callers.sound:
        (before, count_before), (after, count_after) = sound_shares(site, callers, ends, deadly_began)
        print(f"sound requests served: {before:.2f} of {count_before} before, {after:.2f} of {count_after} later")
        if min(count_before, count_after) < MIN_SOUND:
            failures.append("too few sound requests to check the rule")
        elif after < SOUND_SHARE * before:
            failures.append(f"sound requests served: {after:.2f} instead of {before:.2f}")
    return failures


UNFRAMED = [FRAMED, INSIDE, BETWEEN]
SCENARIOS = {
    # Requests of which no two are alike but in one part; sound ones share their key and first part.
    "streams": {"path": "streams"},
    "calls": {"path": "calls"},
    "other_parts_differ": {"path": "streams", "other_parts_differ": True},
    "alone": {"path": "streams", "sound": False},
    # Answers without length or chunks, which end with their connection, inside an event or between two.
    "streams_unframed": {"path": "streams", "framings": UNFRAMED},
    "calls_unframed": {"path": "calls", "framings": UNFRAMED},
    "entries_change": {"path": "streams", "framings": UNFRAMED, "entries_change": True},
    # All entries are killed at the same moment, twice.
    "all_entries_end": {"path": "streams", "seconds": 28, "all_end": [10, 18]},
    # The older rule, on equal requests, with such answers.
    "equal_streams_unframed": {"path": "streams", "framings": [INSIDE, BETWEEN], "equal": True, "sound": False},
    "equal_calls_unframed": {"path": "calls", "framings": [INSIDE, BETWEEN], "equal": True, "sound": False},
}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenario", choices=SCENARIOS)
    parser.add_argument("--binaries", required=True)
    parser.add_argument("--entries", type=int, default=9)
    parser.add_argument("--engines", type=int, default=8)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--logs", help="folder for the logs of the processes; a temporary one by default")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        failures = run(arguments, arguments.logs or folder, SCENARIOS[arguments.scenario])
    print("\n".join(failures) or "passed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
