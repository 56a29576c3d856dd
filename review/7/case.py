"""
Streams that run while their entry is stopped by SIGTERM, of which an engine once makes no event for 1.9 s.

Checks the rule LOST: "Around planned work, with no unplanned impairment [...], a process has read a whole request and the
channel ends without a complete answer [...] once it has been passed on to an engine [...] Planned work is: a SIGTERM of
the machine that took the request from the requester, until 1 s after graceS [...] An engine's silence is no reason to end
an answer sooner."
"""

import pathlib
import signal
import socket
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib-2"))
from paths import BINARIES, BROKEN, HELD, NOT_RUN, Record, has_trouble, run  # noqa: E402
from fixture import Site, config, fields, route  # noqa: E402

ENTRIES, STREAMS = 3, 12
GRACE = 8.0
ABANDON = 2.0  # Callers abandon a stream after a gap of two seconds, 4 x 400 ms or 8 x 120 ms, whichever is longest.
PAUSE = 1.9 if has_trouble() else 0.1
PAUSES = [0.1, 0.1, 0.1, PAUSE, 0.1, 0.1, 0.1]


def read_stream(site, record, request, results):
    """Reads one stream on a new channel; what it sees is (events, ended as complete, longest gap, time of the end)."""
    lines = [f"{name}: {value}" for name, value in fields(request, 8000).items()]
    head = "POST /streams/x HTTP/1.1\r\n" + "\r\n".join(
        [*lines, f"X-Pauses: {','.join(str(pause) for pause in PAUSES)}", "Content-Length: 0"]) + "\r\n\r\n"
    channel = socket.create_connection((site.address(0), 8227), timeout=2)
    channel.sendall(head.encode())
    sent = last = time.monotonic()
    data, gap, ended = b"", 0.0, "closed by the entry"
    channel.settimeout(0.02)
    while b"\r\n0\r\n\r\n" not in data:
        now = time.monotonic()
        if now - last > ABANDON:
            ended = "abandoned by the caller"
            break
        try:
            piece = channel.recv(65536)
        except TimeoutError:
            continue
        except OSError:
            ended = "reset by the entry"
            break
        if not piece:
            break
        now = time.monotonic()
        if b"id: " in piece:
            gap, last = max(gap, now - last), now
        data += piece
    else:
        ended = "complete"
    channel.close()
    status = data.split(b" ", 2)[1].decode() if b" " in data else "none"
    results[request] = (data.count(b"id: "), status, ended, gap, sent, time.monotonic())
    record.line(f"{sent:.3f} {request} sent; status {status}, {data.count(b'id: ')} events, longest gap {gap:.3f} s, "
                f"{ended} at {time.monotonic():.3f}")


def main():
    record = Record("7")
    if not (BINARIES / "chivewinch-platform-entry").exists():
        record.say("the program is not built")
        return NOT_RUN
    settings = config([route("streams", "/streams/", "streaming", "wax-llm", maxAttempts=2, gapTargetMs=120,
                             resumeStreams=True)],
                      [{"name": "wax-llm", "slots": 12, "maxConns": 358, "healthPath": "/health"}])
    engines = [("wax-llm", f"kl-{zone}", 0.05) for zone in "abc"]
    with tempfile.TemporaryDirectory() as folder, Site(folder, settings, engines, ENTRIES) as site:
        results = {}
        callers = [threading.Thread(target=read_stream, args=(site, record, f"stream-{number}", results), daemon=True)
                   for number in range(STREAMS)]
        for caller in callers:
            caller.start()
        time.sleep(0.25)
        term = time.monotonic()
        site.entries[0].send_signal(signal.SIGTERM)
        record.say(f"{term:.3f} SIGTERM to entry 0, {STREAMS} streams are running")
        for caller in callers:
            caller.join()
        journal = site.journal()
    for at, engine, event, request in journal:
        record.line(f"{at:.3f} {engine} {event} {request}")
    arrived = {request for _, _, event, request in journal if event == "arrived"}
    if len(arrived) < STREAMS or len(results) < STREAMS:
        record.say("not all streams have reached an engine")
        return NOT_RUN
    lost = []
    for request, (events, status, ended, gap, sent, end) in sorted(results.items()):
        # The engine was not at work in the last sixth of the grace time, and the time budget of 8 s was not reached.
        in_time = end < term + GRACE * 5 / 6 and end < sent + 8.0
        if status == "200" and ended.endswith("by the entry") and in_time:
            lost.append(request)
            record.say(f"{request}: ended by the entry {end - term:.2f} s after SIGTERM, {end - sent:.2f} s after it was "
                       f"sent, with {events} of {len(PAUSES)} events and a sound engine at work")
        elif ended != "complete":
            record.say(f"{request}: status {status}, {ended}, longest gap {gap:.2f} s")
    record.say(f"{len(lost)} of {STREAMS} streams lost, pause of the engines {PAUSE} s")
    return BROKEN if lost else HELD


run(main)
