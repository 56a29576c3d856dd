"""
One request with a header field of 70,000 bytes, within the operator's limit, while other callers' orders are at their
engines.

Checks the rule LOST: "At any time, a machine in touch passes a request from a kept channel on to a sound engine and closes
that channel without an answer, more than three times." And: "A process that ends by itself counts as running all the
while, for every rule".
"""

import http.client
import pathlib
import socket
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib-2"))
from paths import BINARIES, BROKEN, HELD, NOT_RUN, Record, has_trouble, run  # noqa: E402
from fixture import Site, config, fields, route  # noqa: E402

ENTRIES, CALLERS = 3, 18
ALLOWED = 3
WORK = 0.6  # Seconds of work for an order.
MAX_HEADER_BYTES = 131_072
FIELD_BYTES = 70_000 if has_trouble() else 50_000


def order(site, record, number, results, barrier):
    """Two orders on one channel: the second one is on a kept channel."""
    connection = http.client.HTTPConnection(site.address(number % ENTRIES), 8227, timeout=5)
    for turn in ("first", "second"):
        if turn == "second":
            barrier.wait()
        request, at = f"order-{number}-{turn}", time.monotonic()
        try:
            if connection.sock is None and turn == "second":
                raise RuntimeError("the channel was not kept")
            connection.request("POST", "/orders/x", b"one carton", fields(request, 2500))
            response = connection.getresponse()
            response.read()
            results[request] = response.status
        except (OSError, http.client.HTTPException) as error:
            results[request] = type(error).__name__
        record.line(f"{at:.3f} {request} to entry {number % ENTRIES}: {results[request]} after "
                    f"{time.monotonic() - at:.3f} s")
    connection.close()


def prefix(length):
    """Parts of a prompt, in order, as ID:TOKENS."""
    parts = ",".join(f"{0x5c1e07a2 + number:x}:{number % 90 + 10}" for number in range(length // 11))
    return parts[:length].rstrip(",:")


def send_long(site, record, entry):
    """Sends a request whose prompt has very many parts."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields(f"long-{entry}", 2500).items())
    head = f"POST /orders/x HTTP/1.1\r\n{lines}Chivewinch-Prefix-Hash: {prefix(FIELD_BYTES)}\r\nContent-Length: 10\r\n\r\n"
    channel = socket.create_connection((site.address(entry), 8227), timeout=2)
    channel.settimeout(3)
    try:
        channel.sendall(head.encode() + b"one carton")
        answer = channel.recv(4096).split(b"\r\n")[0].decode()
    except OSError as error:
        answer = type(error).__name__
    channel.close()
    record.say(f"{time.monotonic():.3f} a request with a head of {len(head):,} bytes, {MAX_HEADER_BYTES:,} allowed, to entry "
               f"{entry}: {answer or 'closed without an answer'}")


def main():
    record = Record("7")
    if not (BINARIES / "chivewinch-platform-entry").exists():
        record.say("the program is not built")
        return NOT_RUN
    settings = config([route("orders", "/orders/", "non_idempotent", "order-app", timeoutMs=2500, maxAttempts=1)],
                      [{"name": "order-app", "slots": 10, "maxConns": 110, "healthPath": "/health"}])
    settings["limits"]["maxHeaderBytes"] = MAX_HEADER_BYTES
    engines = [("order-app", f"kl-{zone}", WORK) for zone in "abc"]
    with tempfile.TemporaryDirectory() as folder, Site(folder, settings, engines, ENTRIES) as site:
        results, barrier = {}, threading.Barrier(CALLERS + 1)
        callers = [threading.Thread(target=order, args=(site, record, number, results, barrier), daemon=True)
                   for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        barrier.wait()
        time.sleep(WORK / 2)  # The second orders are at their engines.
        for entry in range(ENTRIES):
            send_long(site, record, entry)
        for caller in callers:
            caller.join()
        ends = [child.poll() for child in site.entries]
        journal = site.journal()
        logs = [(site.folder / f"entry-{entry}.log").read_text() for entry in range(ENTRIES)]
    for at, engine, event, request in journal:
        record.line(f"{at:.3f} {engine} {event} {request}")
    for entry, code in enumerate(ends):
        record.say(f"entry {entry}: {'still running' if code is None else f'ended by itself, exit code {code}'}")
        for line in logs[entry].splitlines():
            if "terminate" in line or "what()" in line:
                record.say(f"  {line}")
    if any(results[f"order-{number}-first"] != 200 for number in range(CALLERS)):
        record.say(f"the first orders are not served: {results}")
        return NOT_RUN
    arrived = {request for _, _, event, request in journal if event == "arrived"}
    lost = [f"order-{number}-second" for number in range(CALLERS)
            if f"order-{number}-second" in arrived and not isinstance(results[f"order-{number}-second"], int)]
    record.say(f"{len(lost)} of {CALLERS} orders on kept channels were passed on to a sound engine and got no answer; "
               f"allowed {ALLOWED}")
    return BROKEN if len(lost) > ALLOWED else HELD


run(main)
