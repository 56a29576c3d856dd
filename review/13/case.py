"""After a change of their settings, entries act on an old configuration for good. See claim.txt."""

import asyncio
import os
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-4"))
import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = ["z0", "z1", "z2", "z0", "z1"]
CHANGED = [0, 1, 2]  # Entries whose settings change: 3 of 5, the limit of 0.6.
GAP_SECONDS = 2.0  # Over this time, as in the site file.
CONTACT_SECONDS = 3.0  # bounds.contactMs
APPLY_SECONDS = 2.0  # bounds.applyMs
OLD_KEY, NEW_KEY = "key-old", "key-new"


async def change_settings(site, number):
    """The store serves this machine at another address from now on, which its settings name."""
    old = site.proxies[number]
    new = standins.Proxy(old.target)
    listening = await asyncio.start_server(new.serve, f"{site.network}.248", 0, limit=1 << 22)
    port = listening.sockets[0].getsockname()[1]
    lines = [f"platform.address={site.network}.248:{port}" if line.startswith("platform.address=") else line
             for line in site.settings[number].read_text().splitlines()]
    site.settings[number].write_text("\n".join(lines) + "\n")
    site.entries[number].send_signal(signal.SIGHUP)
    site.record("settings of", f"front-{number}", "changed, SIGHUP sent")
    await asyncio.sleep(0.2)
    old.cut()  # Nobody serves the old address any more.


async def main():
    site = standins.Site(FOLDER / "record.txt")
    try:
        route = standins.route("reads", "/read/", "idempotent", noAuth=False)
        added = standins.route("added", "/added/", "idempotent", noAuth=False)
        tenant = {"name": "house-a", "apiKeys": [OLD_KEY]}
        await site.start(ZONES, [route], [{"name": "app", "healthPath": "/health", "maxConns": 400}])
        site.put_configuration(tenants=[tenant])
        for number in range(3):
            engine = standins.Engine(site, f"i-{number}", f"{site.network}.{100 + number}", f"z{number}")
            await engine.start()
            engine.register()
        await asyncio.sleep(5)
        for number in range(len(ZONES)):
            status, _ = await site.request(number, "/read/x", fields=[f"X-Api-Key: {OLD_KEY}"])
            if status != 200:
                print("a first request was not served", flush=True)
                return 2
        if TROUBLE:
            for number in CHANGED:
                await change_settings(site, number)
                await asyncio.sleep(GAP_SECONDS / len(CHANGED))
        await asyncio.sleep(2 * CONTACT_SECONDS)
        # The version adds a route, and takes a key away and adds another.
        site.put_configuration(routes=[route, added], tenants=[tenant | {"apiKeys": [NEW_KEY]}])
        acknowledged = time.monotonic()
        await asyncio.sleep(APPLY_SECONDS + 1)
        broken = 0
        for _ in range(5):
            for number in range(len(ZONES)):
                dropped, _ = await site.request(number, "/read/x", fields=[f"X-Api-Key: {OLD_KEY}"])
                fresh, _ = await site.request(number, "/added/x", fields=[f"X-Api-Key: {NEW_KEY}"])
                site.record(f"front-{number}", f"{time.monotonic() - acknowledged:.2f} s after the ack:",
                            "dropped key", dropped, "added route and key", fresh)
                broken += (dropped == 200) + (fresh in (401, 403, 404))
            await asyncio.sleep(1)
        ran = sum(1 for _, _, request in site.runs if request in site.sent)
        print(f"requests handled as only the older version allows: {broken}; runs: {ran}", flush=True)
        for number in range(len(ZONES)):
            dropped, _ = await site.request(number, "/read/x", fields=[f"X-Api-Key: {OLD_KEY}"])
            fresh, _ = await site.request(number, "/added/x", fields=[f"X-Api-Key: {NEW_KEY}"])
            print(f"front-{number}: with the dropped key {dropped}, on the added route {fresh}", flush=True)
        if any(child.poll() is not None for child in site.entries):
            return 2
    finally:
        site.stop()
    return 1 if broken > 0 else 0


standins.run(main)
