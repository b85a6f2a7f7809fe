"""Stand-in of the platform's metadata store: rows-tx, rows-get, rows-feed."""
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


class Table:
    def __init__(self):
        self.changed = threading.Condition()
        self.rows = {}
        self.ver = 0

    def put(self, table, key, value):
        """Writes a row as the operator does."""
        with self.changed:
            self.ver += 1
            self.rows[(table, "", key)] = (value, self.ver)
            self.changed.notify_all()

    def transact(self, call):
        with self.changed:
            conflict = False
            current = []
            for want in call.get("ExpectedRevision", []):
                place = (want["Table"], want.get("part", ""), want["Key"])
                row = self.rows.get(place)
                conflict |= (row[1] if row else 0) != want["Ver"]
                if row and row[0] is not None:
                    current.append(show(place, row))
            if conflict:
                return 412, {"Rows": current}
            for entry in call.get("Writes", []) + call.get("Remove", []):
                if entry["Table"] in ("op", "servers"):
                    return 403, {}
            self.ver += 1
            for entry in call.get("Writes", []):
                place = (entry["Table"], entry.get("part", ""), entry["Key"])
                self.rows[place] = (entry["Value"], self.ver)
            for entry in call.get("Remove", []):
                place = (entry["Table"], entry.get("part", ""), entry["Key"])
                self.rows[place] = (None, self.ver)
            self.changed.notify_all()
            return 200, {}

    def get(self, query):
        with self.changed:
            places = sorted(
                p for p, row in self.rows.items()
                if p[0] == query["Table"] and p[1] == query.get("part", "")
                and row[0] is not None and p[2] >= query.get("From", "")
                and ("To" not in query or p[2] < query["To"]))
            limit = min(int(query.get("Limit", 500)), 500)
            return 200, {
                "Rows": [show(p, self.rows[p]) for p in places[:limit]],
                "Truncated": len(places) > limit}

    def feed(self, query):
        until = time.monotonic() + min(int(query["WaitMs"]), 30000) / 1000
        after = int(query["after"])
        with self.changed:
            while True:
                rows = sorted(
                    (row[1], p) for p, row in self.rows.items()
                    if p[0] == query["Table"] and row[1] > after)
                left = until - time.monotonic()
                if rows or left <= 0:
                    return 200, {
                        "Rows": [show(p, self.rows[p]) for _, p in rows]}
                self.changed.wait(left)


def show(place, row):
    shown = {"Table": place[0], "part": place[1], "Key": place[2],
             "Ver": row[1]}
    if row[0] is None:
        shown["Deleted"] = True
    else:
        shown["Value"] = row[0]
    return shown


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *arguments):
        pass

    def answer(self, result):
        status, body = result
        body["Ver"] = self.server.table.ver
        body["NowMs"] = int(time.monotonic() * 1000)
        text = json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(text)))
        self.end_headers()
        self.wfile.write(text)

    def do_GET(self):
        parts = urlsplit(self.path)
        query = {k: v[0] for k, v in
                 parse_qs(parts.query, keep_blank_values=True).items()}
        if parts.path == "/v1/rows-get":
            self.answer(self.server.table.get(query))
        elif parts.path == "/v1/rows-feed":
            self.answer(self.server.table.feed(query))
        else:
            self.answer((404, {}))

    def do_POST(self):
        size = int(self.headers.get("Content-Length", 0))
        call = json.loads(self.rfile.read(size) or b"{}")
        if urlsplit(self.path).path == "/v1/rows-tx":
            self.answer(self.server.table.transact(call))
        else:
            self.answer((404, {}))


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, address):
        pass


def start(address):
    """Serves on `address` in a thread of its own; returns the table."""
    server = Server(address, Handler)
    server.table = Table()
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server.table
