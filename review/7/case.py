"""
Streams on kept channels, of engines whose event ids increase by five, the number of tokens that an event holds.

Checks the rule LOST: "At any time, a machine in touch passes a request from a kept channel on to a sound engine and closes
that channel without an answer, more than three times."
"""

import pathlib
import socket
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "lib-2"))
from paths import BINARIES, BROKEN, HELD, NOT_RUN, Record, has_trouble, run  # noqa: E402
from engine_stand_in import EVENTS  # noqa: E402
from fixture import Site, config, fields, route  # noqa: E402

ENTRIES, CALLERS = 3, 12
ALLOWED = 3
ID_STEP = 5 if has_trouble() else 1
LAST_CHUNK = b"\r\n0\r\n\r\n"


def read_answer(channel, is_stream):
    """Reads until the end of the answer or of the channel; returns the bytes and whether the answer is complete."""
    data = b""
    while True:
        if is_stream and data.endswith(LAST_CHUNK):
            return data, True
        if not is_stream and b"\r\n\r\n" in data:
            head, body = data.split(b"\r\n\r\n", 1)
            length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
            if len(body) >= length:
                return data, True
        try:
            piece = channel.recv(65536)
        except OSError:
            return data, False
        if not piece:
            return data, False
        data += piece


def call(site, record, number, results):
    """A plain request and, on the same channel, a stream."""
    channel = socket.create_connection((site.address(number % ENTRIES), 8227), timeout=2)
    channel.settimeout(9)
    for kind, path in (("plain", "/plain/x"), ("stream", "/streams/x")):
        request = f"{kind}-{number}"
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields(request, 8000).items())
        at = time.monotonic()
        try:
            channel.sendall(f"POST {path} HTTP/1.1\r\n{lines}Content-Length: 6\r\n\r\nprompt".encode())
        except OSError:
            return
        data, is_complete = read_answer(channel, kind == "stream")
        status = data.split(b" ", 2)[1].decode() if data else "none"
        results[request] = (status, is_complete, data.count(b"id: "))
        record.line(f"{at:.3f} {request} to entry {number % ENTRIES}: status {status}, {data.count(b'id: ')} events, "
                    f"{'complete' if is_complete else 'the channel was closed'} after {time.monotonic() - at:.3f} s")
    channel.close()


def main():
    record = Record("7")
    if not (BINARIES / "chivewinch-platform-entry").exists():
        record.say("the program is not built")
        return NOT_RUN
    settings = config([route("plain", "/plain/", "idempotent", "wax-llm"),
                       route("streams", "/streams/", "streaming", "wax-llm", gapTargetMs=120, resumeStreams=True)],
                      [{"name": "wax-llm", "slots": 12, "maxConns": 358, "healthPath": "/health"}])
    engines = [("wax-llm", f"kl-{zone}", 0.05) for zone in "abc"]
    with tempfile.TemporaryDirectory() as folder, Site(folder, settings, engines, ENTRIES, id_step=ID_STEP) as site:
        results = {}
        callers = [threading.Thread(target=call, args=(site, record, number, results), daemon=True)
                   for number in range(CALLERS)]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
        journal = site.journal()
    for at, engine, event, request in journal:
        record.line(f"{at:.3f} {engine} {event} {request}")
    if any(results.get(f"plain-{number}", ("none",))[0] != "200" for number in range(CALLERS)):
        record.say(f"the plain requests are not served: {results}")
        return NOT_RUN
    arrived = {request for _, _, event, request in journal if event == "arrived"}
    lost = 0
    for number in range(CALLERS):
        status, is_complete, events = results[f"stream-{number}"]
        if f"stream-{number}" in arrived and not is_complete:
            lost += 1
            record.say(f"stream-{number}: status {status}, closed after {events} of {EVENTS} events")
    record.say(f"{lost} of {CALLERS} streams on kept channels were passed on to a sound engine, and their channels closed "
               f"without a complete answer; allowed {ALLOWED}; ids increase by {ID_STEP}")
    return BROKEN if lost > ALLOWED else HELD


run(main)
