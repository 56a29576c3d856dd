"""Stand-in of the platform's store: rows with versions, read in full or as a feed of changes."""

import base64
import http.server
import json
import threading
import time
import urllib.parse


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, *_):
        pass  # A reader that closes its connection is no error of the store.


class Door:
    """An address of the store. While it is closed, it takes requests and answers none of them, not even later."""

    def __init__(self, store, address):
        self.is_closed = False
        self.lost_tables = set()  # Reads of these tables that come from now on get no answer either.
        self.connections = set()
        self.silent_connections = set()  # Requests on these get no answer either, also those that came before.
        self.unanswered = []  # (time, table) of requests that got no answer; the table is None if they came before it was lost
        self.server = Server((address, 0), store.handler(self))
        self.address = f"{address}:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def silence_open_connections(self):
        """Requests on the connections that are open now get no answer; new connections work."""
        self.silent_connections |= self.connections

    def stop(self):
        self.server.shutdown()
        self.server.server_close()


class Store:
    def __init__(self, address):
        self.changed = threading.Condition()
        self.rows = {}  # (table, key) -> (version, value), with the value None for a deleted row
        self.version = 1
        self.endless_table = None  # Reads of this table always get another page.
        self.oldest_version = 0  # Changes before it are not available any more.
        self.host = address
        self.doors = [Door(self, address)]
        self.address = self.doors[0].address

    def put(self, table, key, value):
        """Stores a JSON value, the bytes as they are, or, for None, deletes the row."""
        self.put_bytes(table, key, value if value is None or isinstance(value, bytes) else json.dumps(value).encode())

    def put_bytes(self, table, key, data):
        with self.changed:
            self.version += 1
            self.rows[table, key] = (self.version, data)
            self.changed.notify_all()

    def copy(self):
        """A copy of the tables of the system; those of the operator and the engines are always written again."""
        with self.changed:
            return self.version, {row: item for row, item in self.rows.items() if row[0] not in ("op", "servers")}

    def restore(self, copied):
        """Comes back from a copy; versions go back and are given out again."""
        with self.changed:
            version, rows = copied
            kept = sorted((item for item in self.rows.items() if item[0][0] in ("op", "servers")),
                          key=lambda item: item[1][0])
            self.rows, self.version = dict(rows), version
        for (table, key), (_, data) in kept:
            self.put_bytes(table, key, data)

    def lose_history(self):
        with self.changed:
            self.version += 1
            self.oldest_version = self.version
            self.changed.notify_all()

    def open_door(self):
        """Another address, for one process."""
        self.doors.append(Door(self, self.host))
        return self.doors[-1]

    def stop(self):
        for door in self.doors:
            door.stop()

    @staticmethod
    def row(table, key, version, data):
        row = {"table": table, "part": "", "key": key, "ver": version}
        if data is None:
            return row | {"tombstone": True}
        return row | {"value": base64.b64encode(data).decode()}

    def read_endless_page(self, table, first):
        """A page of the range that begins with this key, or with the first one."""
        number = int(first.rstrip("\0")[3:] or 0) + 1 if first else 0
        rows = [self.row(table, f"row{number + index:09}", 1, b"x" * 2000) for index in range(400)]
        return {"rows": rows, "ver": self.version, "truncated": True, "nowMs": 0}

    def read_all(self, table):
        with self.changed:
            rows = [self.row(table, key, version, data) for (name, key), (version, data) in sorted(self.rows.items())
                    if name == table and data is not None]
            return {"rows": rows, "ver": self.version, "truncated": False, "nowMs": 0}

    def read_changes(self, table, since, wait):
        deadline = time.monotonic() + wait
        with self.changed:
            while True:
                newer = [(version, key, data) for (name, key), (version, data) in self.rows.items()
                         if name == table and version > since]
                left = deadline - time.monotonic()
                if newer or left <= 0:
                    break
                self.changed.wait(left)
            rows = [self.row(table, key, version, data) for version, key, data in sorted(newer, key=lambda row: row[0])]
            return {"rows": rows, "ver": self.version, "nowMs": 0}

    def handler(store, door):
        class Handler(http.server.BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True
            table = None  # Of the request.

            def setup(self):
                super().setup()
                door.connections.add(self)

            def finish(self):
                door.connections.discard(self)
                door.silent_connections.discard(self)
                super().finish()

            def do_GET(self):
                path = urllib.parse.urlsplit(self.path)
                query = {name: values[0] for name, values in urllib.parse.parse_qs(path.query).items()}
                self.table = query.get("table")
                if self.is_lost():
                    return
                if path.path == "/api/rows-get" and query["table"] == store.endless_table:
                    self.answer(store.read_endless_page(query["table"], query.get("from")))
                elif path.path == "/api/rows-get":
                    self.answer(store.read_all(query["table"]))
                elif path.path == "/api/rows-feed" and int(query["sinceRev"]) < store.oldest_version:
                    self.answer({}, 410)
                elif path.path == "/api/rows-feed":
                    self.answer(store.read_changes(query["table"], int(query["sinceRev"]), int(query["waitMs"]) / 1000))
                else:
                    self.answer({}, 404)

            def do_POST(self):
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                self.table = None
                if self.is_lost():
                    return
                for row in body["puts"]:
                    store.put(row["table"], row["key"], base64.b64decode(row["value"]))
                for row in body["deletes"]:
                    store.put(row["table"], row["key"], None)
                self.answer({"ver": store.version})

            def is_lost(self, is_answer=False):
                """True if the request gets no answer; its connection then stays open until the reader closes it."""
                is_read_lost = not is_answer and self.table in door.lost_tables
                if not (door.is_closed or is_read_lost or self in door.silent_connections):
                    return False
                door.unanswered.append((time.monotonic(), None if is_answer else self.table))
                self.close_connection = True
                self.connection.settimeout(30)
                try:
                    self.rfile.read(1)
                except OSError:
                    pass
                return True

            def answer(self, value, status=200):
                data = json.dumps(value).encode()
                if self.is_lost(is_answer=True):
                    return
                try:
                    self.send_response(status)
                    self.send_header("Content-Length", str(len(data)))
                    self.end_headers()
                    self.wfile.write(data)
                except OSError:
                    pass  # The reader has closed its connection.

            def log_message(self, *_):
                pass

        return Handler
