#!/usr/bin/env python3
"""Stand-in of an engine: answers requests as the users' page says; the body of a request says how long it runs.

"work S": an answer after S seconds. On /streams/ "work S" is a stream of one event each 0.1 s for S seconds.
"crash S": the process ends S seconds after it began to run the request; on /streams/ it writes events until then.
"either S": as "work S"; an engine with --unframed gives the answer no length, so that it ends with its channel.
"pause S A P": a stream as for "work S" that is silent for P seconds after its event A, as if it had been preempted.
"""

import argparse
import http.server
import os
import threading
import time

EVENT_SECONDS = 0.1


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, *_):
        pass  # A caller that closes its channel is no error of the engine.


def handler(own_id, journal, leaves_length_out):
    def note(event, request):
        os.write(journal, f"{time.monotonic():.4f} {event} {request} {own_id}\n".encode())

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def do_GET(self):
            if self.path == "/health":
                self.answer(200, b"", {"Chivewinch-Instance-Id": own_id})
            else:
                self.do_POST()

        def do_POST(self):
            body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
            request = self.headers.get("Chivewinch-Request-Id", "")
            if self.headers.get("Chivewinch-Expect-Instance", own_id) != own_id:
                self.answer(421, b"", {"Chivewinch-Not-Executed": "1", "Chivewinch-Instance-Id": own_id,
                                       "Chivewinch-Request-Id": request})
                return
            note("arrived", request)
            if body.startswith(b"either") and leaves_length_out:
                note("unframed", request)
            words = body.split()[:4]
            verb, seconds = (words[0], float(words[1])) if len(words) >= 2 else (b"work", 0.02)
            self.pause_after, self.pause = (int(words[2]), float(words[3])) if verb == b"pause" else (None, 0)
            try:
                if "/streams/" in self.path:
                    self.stream(request, verb, seconds)
                else:
                    # It does not drop a request whose channel closes; the users' page says that most engines do.
                    time.sleep(seconds)
                    if verb == b"crash":
                        self.crash(request)
                    self.answer(200, b"answer to " + request.encode(), {
                        "Chivewinch-Request-Id": request, "Chivewinch-Response-Seal": f"seal.{request}"})
            except OSError:
                note("left", request)
                self.close_connection = True
                return
            note("done", request)

        def crash(self, request):
            note("crashes", request)
            os._exit(1)

        def stream(self, request, verb, seconds):
            is_framed = not (verb == b"either" and leaves_length_out)
            self.close_connection = self.close_connection or not is_framed
            self.send_response(200)
            for name, value in {"Chivewinch-Request-Id": request, "Chivewinch-Response-Seal": f"seal.{request}",
                                "Content-Type": "text/event-stream",
                                **({"Transfer-Encoding": "chunked"} if is_framed else {"Connection": "close"})}.items():
                self.send_header(name, value)
            self.end_headers()
            first = int(self.headers.get("Last-Event-Id", 0)) + 1
            began = time.monotonic()
            last = first + 1000 if verb == b"crash" else max(int(seconds / EVENT_SECONDS), 1)
            for number in range(first, last + 1):
                if verb == b"crash" and time.monotonic() - began >= seconds:
                    self.crash(request)
                event = f"id: {number}\ndata: piece {number}\n\n".encode()
                self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event) if is_framed else event)
                time.sleep(self.pause if number == self.pause_after else EVENT_SECONDS)
            if is_framed:
                self.wfile.write(b"0\r\n\r\n")

        def answer(self, status, body, fields):
            self.send_response(status)
            for name, value in (fields | {"Content-Length": str(len(body))}).items():
                self.send_header(name, value)
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *_):
            pass

    return Handler


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--listen", required=True)
    parser.add_argument("--id", required=True)
    parser.add_argument("--journal", required=True)
    parser.add_argument("--unframed", action="store_true")
    arguments = parser.parse_args()
    address, port = arguments.listen.rsplit(":", 1)
    journal = os.open(arguments.journal, os.O_WRONLY | os.O_APPEND | os.O_CREAT)
    parent = os.getppid()

    def end_with_parent():
        while os.getppid() == parent:
            time.sleep(0.5)
        os._exit(0)

    threading.Thread(target=end_with_parent, daemon=True).start()
    Server((address, int(port)), handler(arguments.id, journal, arguments.unframed)).serve_forever()


if __name__ == "__main__":
    main()
