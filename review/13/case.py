"""An entry in touch sends requests to an engine that left seconds ago. See claim.txt."""

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
ZONES = ["z0", "z1", "z2"]
CUT = 0  # The entry that is cut from the store.
ROUNDS = 18
CUT_SECONDS = (1.4, 2.2)  # At most 5.5.
DRAIN_SECONDS = 2.0  # bounds.drainMs
CONTACT_SECONDS = 3.0  # bounds.contactMs
SENDERS = 6


async def send_steadily(site, number, stop):
    while not stop.is_set():
        await site.request(number, "/read/x")
        await asyncio.sleep(0.005)


async def start_engine(site, number):
    engine = standins.Engine(site, f"i-leaving-{number}", f"{site.network}.{150 + number}", "z0", work=0.005)
    await engine.start()
    engine.register()
    site.record("registered", engine.name)
    return engine


async def play_round(site, number, engine):
    """The engine leaves while the entry is cut from the store; the next one registers after the cut."""
    if TROUBLE:
        site.proxies[CUT].cut()
    site.record("cut" if TROUBLE else "not cut", f"front-{CUT}", "from the store")
    await asyncio.sleep(0.4)
    site.store.put("servers", engine.name, None)
    left = time.monotonic()
    site.record("removed", engine.name)
    await asyncio.sleep(random.uniform(*CUT_SECONDS) - 0.4)
    if TROUBLE:
        site.proxies[CUT].heal()
    healed = time.monotonic()
    site.record("end of the cut")
    following = await start_engine(site, number + 1)
    await asyncio.sleep(healed + CONTACT_SECONDS + 0.3 - time.monotonic())
    engine.stop()
    return left, healed, following


async def main():
    site = standins.Site(FOLDER / "record.txt")
    try:
        await site.start(ZONES, [standins.route("reads", "/read/", "idempotent")],
                         [{"name": "app", "healthPath": "/health", "maxConns": 400}], silent=True)
        for number in range(2):
            engine = standins.Engine(site, f"i-{number}", f"{site.network}.{100 + number}", f"z{number}", work=0.005)
            await engine.start()
            engine.register()
        await asyncio.sleep(4)
        stop = asyncio.Event()
        senders = [asyncio.create_task(send_steadily(site, CUT, stop)) for _ in range(SENDERS)]
        broken = 0
        engine = await start_engine(site, 0)
        await asyncio.sleep(2)
        for number in range(ROUNDS):
            name = engine.name
            left, healed, engine = await play_round(site, number, engine)
            late = [at - left for at, engine, request in site.runs
                    if engine == name and at > left + DRAIN_SECONDS
                    and site.sent[request][0] > max(healed + CONTACT_SECONDS, left + DRAIN_SECONDS)]
            site.record("result", name, "requests that an entry in touch sent later than drainMs:", len(late))
            print(name, len(late), f"up to {max(late):.2f} s after its removal" if late else "", flush=True)
            broken += len(late)
        stop.set()
        await asyncio.gather(*senders)
        if any(child.poll() is not None for child in site.entries):
            return 2
    finally:
        site.stop(keep_logs=bool(os.environ.get("KEEP")))
        if os.environ.get("KEEP"):
            print(site.folder)
    return 1 if broken > 0 else 0


standins.run(main)
