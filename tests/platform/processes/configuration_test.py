#!/usr/bin/env python3
"""
Withdraws and adds keys while the entry from which a zone reads is disturbed, or has been. Guards against undisturbed
entries that judge requests by an older version of the configuration later than the bound allows.
"""

import argparse
import signal
import sys
import tempfile
import threading
import time

from site_processes import CallerThreads, Site, STATUS_OK, TEAMS, wait_until

APPLY_SECONDS = 2.0  # bounds.applyMs
CONTACT_SECONDS = 3.0  # bounds.contactMs
ENTRIES, ENGINES = 4, 2
# Times from one change of the configuration to the next, which put the calls of the entries in different phases.
PHASES = (1.2, 2.9, 4.4)
STATUS_UNAUTHORIZED = 401


class Callers(CallerThreads):
    """Send requests to each of the entries, with the key that is withdrawn next and the one that is added."""

    def __init__(self, site, entries):
        self.site, self.entries = site, entries
        self.sent = []  # (sent, entry, key, status)
        super().__init__(2 * len(entries))

    def send(self, number):
        count = 0
        entry = self.entries[number // 2]
        while not self.stopping.is_set():
            count += 1
            key = self.site.key(self.site.round + number % 2)
            sent = time.monotonic()
            status, _ = self.site.send(entry, b"work 0.002", f"caller-{number}-{count}", more_fields={"X-Api-Key": key})
            with self.lock:
                self.sent.append((sent, entry, key, status))
            time.sleep(0.02)


class KeySite(Site):
    """In round N, key N is valid until the change, and key N + 1 after it."""

    round = 1

    @staticmethod
    def key(number):
        return f"key-{number}"

    def change_key(self, version, number):
        """Returns the time at which the store has acknowledged the change."""
        self.configure(version, TEAMS | {"team-a": self.key(number)})
        return time.monotonic()


def late_requests(callers, key, is_valid, acknowledged):
    """(sent after the change, entry) of requests that were judged by the version before, later than allowed."""
    wrong = STATUS_UNAUTHORIZED if is_valid else STATUS_OK
    with callers.lock:
        return [(sent - acknowledged, entry) for sent, entry, used, status in callers.sent
                if used == key and status == wrong and sent > acknowledged]


def await_read(door, table):
    """Waits until a read of this table has begun that gets no answer."""
    begin = time.monotonic()
    wait_until(lambda: any(at > begin and name == table for at, name in list(door.unanswered)), "a read", 10)


def disturb_reads_of_configuration(site):
    """Only the reads of the configuration get no answer, from a read that has just begun."""
    site.doors[0].lost_tables = {"op"}
    await_read(site.doors[0], "op")


def disturb_all_reads(site):
    site.doors[0].is_closed = True


def disturb_two_sources(site):
    """The entry that reads for the zone and the next one, which takes its place."""
    site.doors[0].is_closed = site.doors[1].is_closed = True


def freeze(site):
    site.entries[0].send_signal(signal.SIGSTOP)


def end(site):
    site.entries[0].send_signal(signal.SIGKILL)
    site.entries[0].wait()


def disturb_after_silence(site):
    """The connections that the other entries keep for later are silent when the first one is cut off."""
    for number in range(1, ENTRIES):
        site.doors[number].silence_open_connections()
    time.sleep(CONTACT_SECONDS)
    site.doors[0].is_closed = True


def restore(site):
    for door in site.doors.values():
        door.is_closed, door.lost_tables = False, set()
    if site.entries[0].poll() is not None:
        site.entries[0] = site.start_entry(0)
    site.entries[0].send_signal(signal.SIGCONT)


# What happens to the entry that reads for the zone, and the entries that are undisturbed.
SCENARIOS = {
    "reads_of_configuration_silent": (disturb_reads_of_configuration, (1, 2, 3)),
    "all_reads_silent": (disturb_all_reads, (1, 2, 3)),
    "two_sources_silent": (disturb_two_sources, (2, 3)),
    "frozen": (freeze, (1, 2, 3)),
    "ended": (end, (1, 2, 3)),
    "kept_connections_silent": (disturb_after_silence, (1, 2, 3)),
}


def play_round(site, callers, version, disturb, phase):
    """Changes the key twice; the entry is disturbed just before the second time."""
    site.change_key(version, site.round)
    time.sleep(phase)
    disturb(site)
    time.sleep(0.02)
    acknowledged = site.change_key(version + 1, site.round + 1)
    time.sleep(APPLY_SECONDS + 1.5)
    latest = {}
    for number, is_valid in ((site.round, False), (site.round + 1, True)):
        for after, entry in late_requests(callers, site.key(number), is_valid, acknowledged):
            latest[entry] = max(after, latest.get(entry, 0))
    print(f"phase {phase}: last request judged by the version before, in seconds after the change: "
          + str({entry: round(after, 2) for entry, after in sorted(latest.items())}))
    restore(site)
    site.round += 1
    time.sleep(CONTACT_SECONDS + 2)
    return [f"entry {entry} judged requests by the version before until {after:.2f} s after the change"
            for entry, after in latest.items() if after > APPLY_SECONDS]


def run(site, disturb, entries):
    callers = Callers(site, entries)
    wait_until(lambda: len(callers.sent) > 10, "requests")
    failures = []
    for number, phase in enumerate(PHASES):
        failures += play_round(site, callers, 2 * number + 2, disturb, phase)
    callers.stop()
    return failures


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenario", choices=SCENARIOS)
    parser.add_argument("--binaries", required=True)
    parser.add_argument("--logs", help="folder for the logs of the processes; a temporary one by default")
    arguments = parser.parse_args()
    disturb, entries = SCENARIOS[arguments.scenario]
    with tempfile.TemporaryDirectory() as folder, KeySite(
            arguments.binaries, arguments.logs or folder, ENTRIES, ENGINES, entry_zones=("z0",)) as site:
        failures = run(site, disturb, entries)
    print("\n".join(failures) or "passed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
