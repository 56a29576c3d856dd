#!/usr/bin/env python3
"""
Lets a crowd of clients that do not behave press on an entry of a small machine. Checks that the entry lives, that its
memory and its open descriptors stay within the machine, and that ordinary requests are answered afterwards. Guards
against an entry that the memory of unfinished, unread or oversized input ends, or whose connections are all held.
"""

import argparse
import os
import pathlib
import socket
import sys
import tempfile
import threading
import time

from site_processes import Site, STATUS_OK, wait_until

MEMORY_MB = 64
# Three quarters of the memory of the machine.
MEMORY_BOUND_MB = 48
MAX_DESCRIPTORS = 900
CALLER_PORT, READY_PORT = 8227, 8220
CONNECTIONS, READY_CONNECTIONS = 1500, 300
THREADS = 50
SOURCES = 8  # Addresses from which the crowd connects.
SECONDS = 9.0
# Just below the limits of the configuration: 16 KB for a head and 4 MB for a body.
HEAD_BYTES, BODY_BYTES, MAX_BODY_BYTES = 15_000, 200_000, 4 << 20
UNFINISHED = 0.95
PIPELINED = 400
ANSWER_BYTES = 500_000
ORDINARY_TRIES = 20


def head(path, request, more=""):
    return (f"POST {path} HTTP/1.1\r\nHost: h\r\nX-Api-Key: key-a\r\nChivewinch-Request-Id: {request}\r\n"
            f"Chivewinch-Deadline-Ms: 4000\r\n{more}").encode()


def short_fields(size):
    return b"".join(b"a%d:b\r\n" % (number % 10) for number in range(size // 6))


def unfinished_head(path, request):
    start = head(path, request)
    return [start + short_fields(HEAD_BYTES - len(start))]


def whole_head(path, request):
    start = head(path, request, "Content-Length: 0\r\n")
    return [start + short_fields(HEAD_BYTES - len(start)) + b"\r\n"]


def unfinished_body(path, request):
    sent = b"x" * int(BODY_BYTES * UNFINISHED)
    return [head(path, request, f"Content-Length: {BODY_BYTES}\r\n\r\n") + sent]


def body_in_pieces(path, request):
    pieces = [b"x" * 10_000] * int(BODY_BYTES * UNFINISHED / 10_000)
    return [head(path, request, f"Content-Length: {BODY_BYTES}\r\n\r\n"), *pieces]


def body_in_chunks(path, request):
    chunks = b"10\r\nxxxxxxxxxxxxxxxx\r\n" * int(BODY_BYTES * UNFINISHED / 16)
    return [head(path, request, "Transfer-Encoding: chunked\r\n\r\n") + chunks]


def oversized_body(path, request):
    return [head(path, request, f"Content-Length: {1 << 40}\r\n\r\n") + b"x" * BODY_BYTES]


def oversized_chunks(path, request):
    return [head(path, request, "Transfer-Encoding: chunked\r\n\r\n"),
            *[b"100000\r\n" + b"x" * (1 << 20) + b"\r\n"] * (2 * MAX_BODY_BYTES // (1 << 20))]


def pipelined(path, request):
    return [head(path, request, "Content-Length: 0\r\n\r\n") * PIPELINED]


def unread_answers(path, request):
    return [head(path, request, f"X-Answer-Bytes: {ANSWER_BYTES}\r\nContent-Length: 0\r\n\r\n") * 20]


def slow_head(path, request):
    return [bytes([byte]) for byte in head(path, request, "Content-Length: 0\r\n")]


def idle(path, request):
    return []


SCENARIOS = {"unfinished_head": unfinished_head, "whole_head": whole_head, "unfinished_body": unfinished_body,
             "body_in_pieces": body_in_pieces, "body_in_chunks": body_in_chunks, "oversized_body": oversized_body,
             "oversized_chunks": oversized_chunks, "pipelined": pipelined, "unread_answers": unread_answers,
             "slow_head": slow_head, "idle": idle}
PATHS = ("/calls/x", "/orders/x", "/streams/x", "/nowhere/x", "/")


class Client:
    """A connection that is opened again when the entry has closed it, and that never reads."""

    def __init__(self, site, number, payload, port):
        self.site, self.number, self.payload, self.port = site, number, payload, port
        self.connection, self.pieces, self.opened = None, [], 0

    def open(self):
        self.connection = socket.socket()
        self.connection.settimeout(0.5)
        try:
            self.connection.bind((f"{self.site.network}.{200 + self.number % SOURCES}", 0))
            self.connection.connect((f"{self.site.network}.1", self.port))
            self.connection.setblocking(False)
        except OSError:
            self.close()
            return
        self.opened += 1
        path = "/api/ready" if self.port == READY_PORT else PATHS[self.number % len(PATHS)]
        self.pieces = self.payload(path, f"hostile-{self.number}-{self.opened}")

    def close(self):
        if self.connection is not None:
            self.connection.close()
        self.connection = None

    def is_closed(self):
        try:
            return not self.connection.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    def advance(self):
        if self.connection is None or self.is_closed():
            self.close()
            self.open()
        elif self.pieces:
            piece = self.pieces.pop(0)
            try:
                sent = self.connection.send(piece)
                if sent < len(piece):
                    self.pieces.insert(0, piece[sent:])
            except BlockingIOError:
                self.pieces.insert(0, piece)
            except OSError:
                self.close()


class Crowd:
    def __init__(self, site, payloads):
        self.stopping = threading.Event()
        count = CONNECTIONS + READY_CONNECTIONS
        self.clients = [Client(site, number, payloads[number % len(payloads)],
                               CALLER_PORT if number < CONNECTIONS else READY_PORT) for number in range(count)]
        self.threads = [threading.Thread(target=self.run, args=[self.clients[index::THREADS]], daemon=True)
                        for index in range(THREADS)]
        for thread in self.threads:
            thread.start()

    def run(self, clients):
        while not self.stopping.is_set():
            for client in clients:
                client.advance()
            time.sleep(0.01)
        for client in clients:
            client.close()

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join()


def descriptors(site):
    return len(os.listdir(f"/proc/{site.entries[0].pid}/fd"))


def is_alive(site):
    return site.entries[0].poll() is None


def run(site, scenario):
    payloads = list(SCENARIOS.values()) if scenario == "mixed" else [SCENARIOS[scenario]]
    crowd = Crowd(site, payloads)
    failures, most = [], 0
    end = time.monotonic() + SECONDS
    while time.monotonic() < end and is_alive(site):
        most = max(most, descriptors(site))
        time.sleep(0.05)
    crowd.stop()
    opened = sum(client.opened for client in crowd.clients)
    if not is_alive(site):
        return [f"the entry ended with code {site.entries[0].returncode}"]
    peak = site.peak_memory(0)
    print(f"{scenario}: {opened} connections opened; peak {peak:.0f} MB, {most} descriptors")
    if peak > MEMORY_BOUND_MB:
        failures.append(f"the entry used {peak:.0f} MB; the bound is {MEMORY_BOUND_MB} MB")
    if most > MAX_DESCRIPTORS:
        failures.append(f"the entry had {most} open descriptors; its machine has {MAX_DESCRIPTORS}")
    wait_until(lambda: site.is_ready(0), "the entry is ready")
    for path in ("/calls/x", "/orders/x", "/streams/x"):
        statuses = []
        while STATUS_OK not in statuses and len(statuses) < ORDINARY_TRIES:
            statuses.append(site.send(0, b"work 0.1", f"ordinary{path}{len(statuses)}", path=path)[0])
            time.sleep(0.1)
        if STATUS_OK not in statuses:
            failures.append(f"an ordinary request for {path} got the statuses {statuses}")
    if not is_alive(site):
        failures.append(f"the entry ended with code {site.entries[0].returncode}")
    return failures


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("scenario", choices=[*SCENARIOS, "mixed"])
    parser.add_argument("--binaries", required=True)
    parser.add_argument("--logs", help="folder for the logs of the processes; a temporary one by default")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder, Site(
            arguments.binaries, pathlib.Path(arguments.logs or folder), 1, 4,
            entry_settings=[f"limits.memoryMb={MEMORY_MB}", f"limits.maxFds={MAX_DESCRIPTORS}"]) as site:
        failures = run(site, arguments.scenario)
    print("\n".join(failures) or "passed")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
