"""
Entries of another writer in the list of engines, for a service that no config names, at the addresses of sound engines.

Checks the rule CONFIG: "In steady state, machines in touch get 20 or more requests on routes that were added later, and
serve them less than a quarter as often as those on the first routes."
"""

import http.client
import pathlib
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib-2"))
from paths import BINARIES, BROKEN, HELD, NOT_RUN, Record, has_trouble, run  # noqa: E402
from fixture import Site, config, fields, route  # noqa: E402

ENTRIES, REQUESTS = 3, 60
SETTLE = 6.0  # Longer than applyMs and contactMs together.


def send(site, record, entry, path, request):
    at = time.monotonic()
    connection = http.client.HTTPConnection(site.address(entry), 8227, timeout=4)
    try:
        connection.request("GET", path, None, fields(request, 1500))
        response = connection.getresponse()
        response.read()
        status = response.status
    except (OSError, http.client.HTTPException):
        status = 0
    connection.close()
    record.line(f"{at:.3f} {request} {path} to entry {entry}: status {status} after {time.monotonic() - at:.3f} s")
    return status


def main():
    record = Record("10")
    if not (BINARIES / "chivewinch-platform-entry").exists():
        record.say("the program is not built")
        return NOT_RUN
    first = route("first", "/first/", "idempotent", "order-app", timeoutMs=800)
    later = route("later", "/later/", "idempotent", "stock-app", timeoutMs=800)
    services = [{"name": name, "slots": 6, "maxConns": 110, "healthPath": "/health"}
                for name in ("order-app", "stock-app")]
    engines = [(name, f"kl-{zone}", 0.02) for name in ("order-app", "stock-app") for zone in "abc"]
    with tempfile.TemporaryDirectory() as folder, Site(folder, config([first], services), engines, ENTRIES) as site:
        if has_trouble():
            for engine in site.engines:
                if engine.service == "stock-app":
                    site.store.put("servers", f"probe-of-{engine.id}", {
                        "service": "port-check", "address": engine.listen, "zone": engine.zone, "version": "1",
                        "slots": 1, "state": "ready", "coldRemainingMs": 0, "seq": 1, "born": int(time.time() * 1000)})
            record.say("another writer has stored entries for the service port-check, which no config names")
        site.store.put("op", "config", {"version": 4} | config([first, later], services))
        record.say("a new version of the config has added the route /later/")
        time.sleep(SETTLE)
        served = {"/first/x": 0, "/later/x": 0}
        statuses = {path: {} for path in served}
        for number in range(REQUESTS):
            for path in served:
                status = send(site, record, number % ENTRIES, path, f"{path[1:6]}-{number}")
                served[path] += status == 200
                statuses[path][status] = statuses[path].get(status, 0) + 1
        journal = site.journal()
    for at, engine, event, request in journal:
        record.line(f"{at:.3f} {engine} {event} {request}")
    for path, counts in statuses.items():
        record.say(f"{path}: {REQUESTS} requests, answers {counts}")
    if served["/first/x"] < REQUESTS / 2:
        record.say("the first route is not served")
        return NOT_RUN
    return BROKEN if served["/later/x"] < served["/first/x"] / 4 else HELD


run(main)
