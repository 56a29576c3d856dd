#!/usr/bin/env python3
"""Stand-in of an engine: one process that answers requests and ends, or falls silent, at a request that says so."""

import argparse
import http.server
import os
import pathlib
import signal
import threading
import time
import zlib

# A body that begins with WORK names the seconds of work.
CRASH, SILENCE, PARTLY, WORK = b"crash", b"silence", b"partly", b"work"
EVENT_PAUSE = 0.1
# One in this many runs of a request that crashes only some of its runs does so.
PARTLY_SHARE = 4
# An engine that begins to write an answer to a request with this part, before its last one, ends.
DEADLY_PART = "dead01"
READ_SECONDS = 0.05  # From the arrival of such a request to the beginning of its answer.
# Values of the header field that states how answers are framed, and where one breaks off if its engine ends.
FRAMED, INSIDE, BETWEEN = "framed", "inside", "between"
# Values of the header field that asks for an answer without end: what comes in place of its body.
ENDLESS = {"body": b"x" * 65536, "chunks": b"10000\r\n" + b"x" * 65536 + b"\r\n", "event": b"data: x" * 9000,
           "comments": b": x\n\n" * 2000, "chunk_extension": b"x" * 65536, "head": b"X-Field: x\r\n" * 4000,
           "interim": b"HTTP/1.1 102 Processing\r\n\r\n" * 2000}
ENDLESS_SECONDS = 20


class Journal:
    """Appends one line per event with a single write, so that a line survives the end of the process."""

    def __init__(self, path):
        self.file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT)

    def add(self, event, request, body):
        digest = body.decode("utf-8", "replace")[:80].replace(" ", "_")
        os.write(self.file, f"{time.monotonic():.4f} {event} {request} {digest}\n".encode())


def handler(arguments, journal):
    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def do_POST(self):
            body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
            # Requests without a body say in a header field, which is no part of what makes them equal, what they do.
            body = body or self.headers.get("X-Run", "").encode()
            request = self.headers.get("Chivewinch-Request-Id", "")
            expected = self.headers.get("Chivewinch-Expect-Instance", arguments.id)
            if expected != arguments.id:
                self.answer(421, b"", request, {"Chivewinch-Not-Executed": "1"})
                return
            journal.add("arrived", request, body)
            if "X-Endless" in self.headers:
                self.answer_without_end(self.headers["X-Endless"], request)
                journal.add("done", request, body)
                return
            is_crash = body.startswith(CRASH) or (
                body.startswith(PARTLY) and zlib.crc32(request.encode()) % PARTLY_SHARE == 0)
            self.framing = self.headers.get("X-Answer", FRAMED)
            if is_crash and "X-Answer" in self.headers:
                self.end_in_answer(request, body)
            if is_crash:
                journal.add("ends", request, body)
                os._exit(1)
            if body.startswith(SILENCE):
                journal.add("ends", request, body)
                os.kill(os.getpid(), signal.SIGSTOP)
            parts = self.headers.get("Chivewinch-Prefix-Hash", "").split(",")[:-1]
            if any(part.split(":")[0] == DEADLY_PART for part in parts):
                self.end_in_answer(request, body)
            seconds = float(body.split()[1]) if body.startswith(WORK) else arguments.work
            if "/streams/" in self.path:
                self.answer_stream(seconds, request)
            else:
                time.sleep(seconds)
                answer = b"answer".ljust(int(self.headers.get("X-Answer-Bytes", 0)), b"x")
                self.start_answer(request, len(answer))
                self.wfile.write(answer)
            journal.add("done", request, body)

        do_GET = do_POST

        def start_answer(self, request, length):
            """Sends the head; without a length, a framed answer comes in chunks."""
            self.send_response(200)
            fields = {"Chivewinch-Request-Id": request, "Chivewinch-Response-Seal": "seal"}
            if "/streams/" in self.path:
                fields["Content-Type"] = "text/event-stream"
            if self.framing != FRAMED:
                self.close_connection = True
                fields["Connection"] = "close"
            elif length is None:
                fields["Transfer-Encoding"] = "chunked"
            else:
                fields["Content-Length"] = str(length)
            for name, value in fields.items():
                self.send_header(name, value)
            self.end_headers()

        def write_event(self, event):
            self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event) if self.framing == FRAMED else event)

        def end_in_answer(self, request, body):
            time.sleep(READ_SECONDS)
            is_stream = "/streams/" in self.path
            self.start_answer(request, None if is_stream else len(b"answer"))
            text = b"id: 1\ndata: piece\n\n" if is_stream else b"answer"
            if self.framing != BETWEEN:
                text = text[:len(text) // 2]
            self.write_event(text) if is_stream else self.wfile.write(text)
            journal.add("ends", request, body)
            os._exit(1)

        def answer_without_end(self, kind, request):
            self.close_connection = True
            head = f"HTTP/1.1 200 OK\r\nChivewinch-Request-Id: {request}\r\nChivewinch-Response-Seal: seal\r\n"
            if kind in ("event", "comments"):
                head += "Content-Type: text/event-stream\r\n"
            if kind in ("chunks", "chunk_extension"):
                head += "Transfer-Encoding: chunked\r\n"
            try:
                if kind != "interim":
                    self.wfile.write(head.encode() + (b"" if kind == "head" else b"\r\n"))
                if kind == "chunk_extension":
                    self.wfile.write(b"5;")
                end = time.monotonic() + ENDLESS_SECONDS
                while time.monotonic() < end:
                    self.wfile.write(ENDLESS[kind])
            except OSError:
                pass  # The caller has closed the connection.

        def answer_stream(self, seconds, request):
            self.start_answer(request, None)
            for number in range(1, max(int(seconds / EVENT_PAUSE), 1) + 1):
                time.sleep(EVENT_PAUSE)
                self.write_event(f"id: {number}\ndata: piece\n\n".encode())
            if self.framing == FRAMED:
                self.wfile.write(b"0\r\n\r\n")

        def answer(self, status, body, request, fields):
            self.send_response(status)
            self.send_header("Chivewinch-Request-Id", request)
            self.send_header("Content-Length", str(len(body)))
            for name, value in fields.items():
                self.send_header(name, value)
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *_):
            pass

    return Handler


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, *_):
        pass  # A caller that closes its connection is no error of the engine.


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--id", required=True)
    parser.add_argument("--journal", type=pathlib.Path, required=True)
    parser.add_argument("--work", type=float, default=0.15, help="seconds for one request")
    arguments = parser.parse_args()
    address, port = arguments.listen.rsplit(":", 1)
    server = Server((address, int(port)), handler(arguments, Journal(arguments.journal)))
    parent = os.getppid()

    def end_with_parent():
        while os.getppid() == parent:
            time.sleep(0.5)
        os._exit(0)

    threading.Thread(target=end_with_parent, daemon=True).start()
    server.serve_forever()


if __name__ == "__main__":
    main()
