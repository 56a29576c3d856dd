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
            is_crash = body.startswith(CRASH) or (
                body.startswith(PARTLY) and zlib.crc32(request.encode()) % PARTLY_SHARE == 0)
            if is_crash:
                journal.add("ends", request, body)
                os._exit(1)
            if body.startswith(SILENCE):
                journal.add("ends", request, body)
                os.kill(os.getpid(), signal.SIGSTOP)
            seconds = float(body.split()[1]) if body.startswith(WORK) else arguments.work
            if "/streams/" in self.path:
                self.answer_stream(seconds, request)
            else:
                time.sleep(seconds)
                self.answer(200, b"answer", request, {"Chivewinch-Response-Seal": "seal"})
            journal.add("done", request, body)

        do_GET = do_POST

        def answer_stream(self, seconds, request):
            self.send_response(200)
            for name, value in {"Chivewinch-Request-Id": request, "Chivewinch-Response-Seal": "seal",
                                "Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}.items():
                self.send_header(name, value)
            self.end_headers()
            for number in range(1, max(int(seconds / EVENT_PAUSE), 1) + 1):
                time.sleep(EVENT_PAUSE)
                event = f"id: {number}\ndata: piece\n\n".encode()
                self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
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
