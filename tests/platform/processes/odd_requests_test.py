#!/usr/bin/env python3
"""
Sends whole requests with odd methods, targets, fields, framing and sizes to an entry. Checks after each that the entry
lives, and that a sound request is served. Guards against bytes of one caller that end the process: a field of 70,000
bytes and a TRACE with a body did.
"""

import argparse
import json
import pathlib
import random
import socket
import sys
import tempfile
import time

from site_processes import Site, STATUS_OK

CALLER_PORT = 8227
MAX_HEADER_BYTES = 1 << 20
READ_SECONDS = 0.3
METHODS = ["GET", "HEAD", "POST", "PUT", "DELETE", "TRACE", "CONNECT", "OPTIONS", "PATCH", "PURGE", "M-SEARCH", "UNLOCK",
           "LINK", "PRI", "X", "A" * 70_000]
PATHS = ["/calls/x", "/orders/x", "/streams/x"]
SIZES = [0, 1, 4096, 65_531, 65_532, 65_533, 65_534, 65_535, 65_536, 65_537, 70_000, 131_072, 262_144]
NAMES = ["X-Any", "Chivewinch-Prefix-Hash", "Chivewinch-Token-Usage", "Chivewinch-Model", "Last-Event-Id",
         "Chivewinch-Length-Hint", "Accept", "Cookie", "Connection", "Keep-Alive", "Trailer", "Upgrade", "Expect", "TE",
         "Range", "Chivewinch-Deadline-Ms", "X-Api-Key", "Chivewinch-Tenant", "Chivewinch-Request-Id", "Content-Type"]
FILLS = ["x", "9", ",", "a:1,", "close, ", "\t", "\u00ff", "-"]


def field(chance):
    size = chance.choice(SIZES)
    fill = chance.choice(FILLS)
    value = (fill * (size // len(fill) + 1))[:size]
    name = chance.choice(NAMES) if chance.random() < 0.8 else "N" * max(1, chance.choice(SIZES))
    return f"{name}: {value}\r\n"


def target(chance):
    path = chance.choice(PATHS)
    choice = chance.randrange(6)
    if choice == 0:
        return path + "y" * chance.choice(SIZES)
    if choice == 1:
        return path + "?" + "q=1&" * (chance.choice(SIZES) // 4)
    if choice == 2:
        return "http://h" + path
    if choice == 3:
        return path + "%00%ff%"
    return path


def framed(chance, body):
    """The framing fields and the body as it is sent."""
    choice = chance.randrange(6)
    if choice == 0:
        return "", b""
    if choice == 1:
        size = chance.choice(SIZES)
        extension = ";" + "e" * size if chance.random() < 0.3 else ""
        trailer = f"X-Trailer: {'t' * chance.choice(SIZES)}\r\n" if chance.random() < 0.3 else ""
        return "Transfer-Encoding: chunked\r\n", (f"{len(body):x}{extension}\r\n".encode() + body + b"\r\n0\r\n"
                                                 + trailer.encode() + b"\r\n") if body else b"0\r\n\r\n"
    if choice == 2:
        return f"Content-Length: {len(body)}\r\nContent-Length: {len(body)}\r\n", body
    if choice == 3:
        return f"Content-Length: {'9' * chance.choice([1, 18, 19, 20, 40])}\r\n", body
    return f"Content-Length: {len(body)}\r\n", body


def odd_request(chance, number):
    lines = [f"{chance.choice(METHODS)} {target(chance)} HTTP/1.{chance.choice('0111')}\r\nHost: h\r\n",
             f"X-Api-Key: key-a\r\nChivewinch-Request-Id: odd-{number}\r\n"]
    lines += [field(chance) for _ in range(chance.choice([0, 0, 1, 1, 2, 4]))]
    if chance.random() < 0.05:
        lines += ["A: b\r\n"] * 2000
    framing, sent = framed(chance, b"x" * chance.choice([0, 1, 1, 200, 65_536, 200_000]))
    return "".join([*lines, framing, "\r\n"]).encode("latin-1") + sent


def exchange(address, request):
    """First line of the answer; empty if there is none in time."""
    try:
        with socket.create_connection((address, CALLER_PORT), timeout=READ_SECONDS) as channel:
            channel.sendall(request)
            return channel.recv(4096).split(b"\r\n")[0].decode("latin-1")
    except OSError:
        return ""


def configure(site):
    """As before, with a large limit for heads."""
    _, value = site.store.rows["op", "config"]
    changed = json.loads(value)
    changed |= {"version": 2, "limits": {"maxHeaderBytes": MAX_HEADER_BYTES, "maxBodyBytes": 4 << 20,
                                         "headerTimeoutMs": 2000, "idleTimeoutMs": 15000}}
    site.store.put("op", "config", changed)
    time.sleep(2)


def describe(request):
    return f"{request[:60]!r}, {len(request)} bytes"


def check_sound(site, number, sent):
    """Failures; the entry must live and serve a sound request."""
    if site.entries[0].poll() is not None:
        return [f"the entry ended after {describe(sent)}"]
    status, _ = site.send(0, f"sound {number}", f"sound-{number}")
    return [] if status == STATUS_OK else [f"status {status} for a sound request after {describe(sent)}"]


def run(arguments, folder):
    chance = random.Random(arguments.seed)
    with Site(arguments.binaries, folder, 1, 3) as site:
        configure(site)
        failures, answers, number = check_sound(site, 0, b""), {}, 0
        end = time.monotonic() + arguments.seconds
        while time.monotonic() < end and not failures:
            number += 1
            request = odd_request(chance, number)
            status = exchange(f"{site.network}.1", request)[9:12]
            answers[status] = answers.get(status, 0) + 1
            failures += check_sound(site, number, request)
        print(f"seed {arguments.seed}: {number} odd requests, answers {dict(sorted(answers.items()))}")
        if failures:
            print((pathlib.Path(folder) / "entry-0.log").read_text()[-2000:])
        return failures


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binaries", required=True)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        failures = run(arguments, folder)
    for failure in failures:
        print(f"failed: {failure}")
    print("failed" if failures else "passed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
