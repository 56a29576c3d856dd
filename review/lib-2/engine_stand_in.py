#!/usr/bin/env python3
"""
Stand-in of an engine of the second review: one process that answers HTTP/1.1 requests and writes down what reaches it.

Plain requests take --work seconds. The path /streams/ gives EVENTS events, one each 0.1 s, whose ids increase by --id-step;
after Last-Event-Id it goes on with the event that follows that one.
"""

import argparse
import asyncio
import os
import time

EVENTS, PAUSE = 10, 0.1


class Engine:
    def __init__(self, arguments):
        self.arguments = arguments
        self.journal = os.open(arguments.journal, os.O_WRONLY | os.O_APPEND | os.O_CREAT)

    def add(self, event, request):
        os.write(self.journal, f"{time.monotonic():.4f} {self.arguments.id} {event} {request}\n".encode())

    async def serve(self, reader, writer):
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, path, _ = head[0].split(" ", 2)
        fields = {}
        for line in head[1:]:
            if ":" in line:
                name, value = line.split(":", 1)
                fields[name.strip().lower()] = value.strip()
        await reader.readexactly(int(fields.get("content-length", "0")))
        request = fields.get("chivewinch-request-id", "-")
        if fields.get("chivewinch-expect-instance", self.arguments.id) != self.arguments.id:
            writer.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n"
                         b"Chivewinch-Instance-Id: " + self.arguments.id.encode() + b"\r\n\r\n")
            await writer.drain()
            return True
        self.add("arrived", request)
        common = (f"Chivewinch-Request-Id: {request}\r\nChivewinch-Response-Seal: seal-{request}\r\n").encode()
        if path.startswith("/streams/"):
            await self.stream(writer, int(fields.get("last-event-id", "0")), common)
        else:
            await asyncio.sleep(self.arguments.work)
            body = f"{method} {path} by {self.arguments.id}".encode()
            writer.write(b"HTTP/1.1 200 OK\r\n" + common + b"Content-Length: %d\r\n\r\n" % len(body) + body)
            await writer.drain()
        self.add("done", request)
        return True

    async def stream(self, writer, last, common):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + common
                     + b"\r\n")
        for number in range(1, EVENTS + 1):
            event_id = number * self.arguments.id_step
            if event_id <= last:
                continue
            await asyncio.sleep(PAUSE)
            event = f"id: {event_id}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--id", required=True)
    parser.add_argument("--journal", required=True)
    parser.add_argument("--work", type=float, default=0.05)
    parser.add_argument("--id-step", type=int, default=1)
    arguments = parser.parse_args()
    address, port = arguments.listen.rsplit(":", 1)
    engine = Engine(arguments)
    server = await asyncio.start_server(engine.serve, address, int(port), backlog=512, limit=1 << 20)
    parent = os.getppid()
    while os.getppid() == parent:
        await asyncio.sleep(0.2)
    server.close()


if __name__ == "__main__":
    asyncio.run(main())
