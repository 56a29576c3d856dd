"""An engine that has left is sent requests for good by an entry that was never disturbed. See claim.txt."""

import asyncio
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-4"))
import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["z0", "z0", "z0", "z1", "z2", "z2"]  # As on the site.
SOURCE = 0  # The entry that is cut from the store; the others of its zone read the rows from it.
ROUNDS = 9
CUT_SECONDS = 5.0  # At most 5.5.
SERVES_ON = 5.0  # Seconds for which an engine serves on after its entry was removed.
STORM_SECONDS, STORM_GAP = 4.0, 0.33  # As in the site file.
DRAIN_SECONDS = 2.0  # bounds.drainMs
CONTACT_SECONDS = 3.0  # bounds.contactMs


async def send_steadily(site, number, stop):
    while not stop.is_set():
        await site.request(number, "/read/x")
        await asyncio.sleep(0.04)


async def change_configuration(site, start):
    """A new version of the configuration every 0.33 s for 4 s."""
    await asyncio.sleep(start - time.monotonic())
    for _ in range(int(STORM_SECONDS / STORM_GAP)):
        site.put_configuration()
        await asyncio.sleep(STORM_GAP)


async def play_round(site, number):
    """One engine is started, and is taken away again, while the source is cut from the store."""
    if TROUBLE:
        site.record("cut", f"front-{SOURCE}", "from the store")
        site.proxies[SOURCE].cut()
    cut_at = time.monotonic()
    storm = asyncio.create_task(change_configuration(site, cut_at + CUT_SECONDS - STORM_SECONDS / 2))
    await asyncio.sleep(1.0)
    engine = standins.Engine(site, f"i-new-{number}", f"{site.network}.{150 + number}", "z0")
    await engine.start()
    engine.register()
    site.record("registered", engine.name)
    await asyncio.sleep(cut_at + CUT_SECONDS - random.uniform(0.0, 0.1) - time.monotonic())
    site.store.put("servers", engine.name, None)
    left = time.monotonic()
    site.record("removed", engine.name)
    await asyncio.sleep(max(cut_at + CUT_SECONDS - time.monotonic(), 0))
    site.proxies[SOURCE].heal()
    healed = time.monotonic()
    if TROUBLE:
        site.record("healed", f"front-{SOURCE}")
    await asyncio.sleep(left + SERVES_ON - time.monotonic())
    await storm
    engine.stop()
    site.record("ended", engine.name)
    await asyncio.sleep(0.5)
    return engine.name, left, healed


async def main():
    site = standins.Site(FOLDER / "record.txt")
    broken = 0
    try:
        await site.start(ZONES, [standins.route("reads", "/read/", "idempotent")],
                         [{"name": "app", "healthPath": "/health", "maxConns": 200}])
        engines = [standins.Engine(site, f"i-{number}", f"{site.network}.{100 + number}", f"z{number}")
                   for number in range(3)]
        for engine in engines:
            await engine.start()
            engine.register()
        await asyncio.sleep(4)  # The entries read the rows of their peers 1 s after their start.
        stop = asyncio.Event()
        senders = [asyncio.create_task(send_steadily(site, number, stop)) for number in range(len(ZONES))]
        await asyncio.sleep(CONTACT_SECONDS)
        rounds = [await play_round(site, number) for number in range(ROUNDS)]
        stop.set()
        await asyncio.gather(*senders)
        for name, left, healed in rounds:
            late = []
            for at, engine, request in site.runs:
                sent, entry = site.sent[request]
                # The source is out of touch until contactMs after the cut; all others were never disturbed.
                in_touch = entry != SOURCE or at > healed + CONTACT_SECONDS
                if engine == name and at > left + DRAIN_SECONDS and sent > left + DRAIN_SECONDS and in_touch:
                    late.append((at - left, entry))
            by_entry = {f"front-{entry}": sum(1 for _, other in late if other == entry) for _, entry in late}
            site.record("result", name, "requests later than drainMs after its removal:", len(late), by_entry)
            print(name, len(late), by_entry, flush=True)
            broken += len(late)
        served = sum(1 for _, engine, _ in site.runs if engine in ("i-0", "i-1", "i-2"))
        if served < 100 or any(child.poll() is not None for child in site.entries):
            print("the case could not run", flush=True)
            return 2
    finally:
        site.stop(keep_logs=bool(os.environ.get("KEEP")))
        if os.environ.get("KEEP"):
            print(site.folder)
    return 1 if broken > 0 else 0


standins.run(main)

