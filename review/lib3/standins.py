"""Stand-ins for the scripts of review/11 to 15: the platform's store, endpoints,
clients, and the starter of a small deployment of nodes on loopback addresses."""
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

REPO = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
START = time.monotonic()
BROKEN, HELD, NOT_RUN = 1, 0, 2


def now():
    return time.monotonic() - START


class Store:
    """The platform's table service, as PROTOCOL.md says it. `gate` may return
    a status with which a call is refused, or "silent"."""

    def __init__(self):
        self.rows, self.log, self.version = {}, [], 1
        self.changed = threading.Condition()
        self.gate = lambda path, body: None
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *arguments):
                pass

            def answer(self, status, body):
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def is_turned_away(self, body=b""):
                verdict = store.gate(self.path, body)
                if verdict == "silent":
                    time.sleep(120)
                    self.close_connection = True
                elif verdict is not None:
                    self.answer(verdict, {})
                return verdict is not None

            def do_POST(self):
                body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
                if not self.is_turned_away(body):
                    self.answer(*store.transact(json.loads(body)))

            def do_GET(self):
                url = urlsplit(self.path)
                query = {k: v[0] for k, v in parse_qs(url.query, keep_blank_values=True).items()}
                if self.is_turned_away():
                    return
                if url.path == "/v1/rows-get":
                    self.answer(200, store.get(query))
                elif url.path == "/v1/rows-feed":
                    self.answer(200, store.feed(query))
                else:
                    self.answer(404, {})

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 256

            def handle_error(self, *arguments):
                pass

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = "%s:%d" % self.server.server_address
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    @staticmethod
    def key_of(row):
        return row["Table"], row.get("part", ""), row["Key"]

    def row(self, key):
        value, version = self.rows[key]
        return {"Table": key[0], "part": key[1], "Key": key[2], "Value": value, "Ver": version}

    def state(self, **more):
        return {"Ver": self.version, "NowMs": int(now() * 1000) + 1000, **more}

    def transact(self, call):
        with self.changed:
            expected = call.get("ExpectedRevision") or []
            if any(self.rows.get(self.key_of(r), (0, 0))[1] != r["Ver"] for r in expected):
                keys = [self.key_of(r) for r in expected]
                return 412, self.state(Rows=[self.row(k) for k in keys if k in self.rows])
            self.version += 1
            for row in call.get("Writes") or []:
                self.rows[self.key_of(row)] = (row["Value"], self.version)
                self.log.append((self.version, self.row(self.key_of(row))))
            for row in call.get("Remove") or []:
                if self.rows.pop(self.key_of(row), None):
                    gone = {"Table": row["Table"], "part": row.get("part", ""), "Key": row["Key"]}
                    self.log.append((self.version, {**gone, "Ver": self.version, "Deleted": True}))
            self.changed.notify_all()
            return 200, self.state()

    def put(self, table, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.transact({"Writes": [{"Table": table, "part": "", "Key": key, "Value": text}]})

    def get(self, query):
        with self.changed:
            keys = sorted(k for k in self.rows
                          if k[0] == query["Table"] and k[1] == query.get("part", "")
                          and k[2] >= query.get("From", "")
                          and ("To" not in query or k[2] < query["To"]))
            limit = min(int(query.get("Limit", 500)), 500)
            return self.state(Rows=[self.row(k) for k in keys[:limit]], Truncated=len(keys) > limit)

    def feed(self, query):
        end = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        with self.changed:
            while True:
                rows = [r for v, r in self.log
                        if v > int(query["after"]) and r["Table"] == query["Table"]]
                left = end - time.monotonic()
                if rows or left <= 0:
                    return self.state(Rows=rows[:500])
                self.changed.wait(left)


def read_head(stream):
    """Returns the first line and the headers; None at the end of the input."""
    line = stream.readline()
    if not line:
        return None
    headers = {}
    while True:
        field = stream.readline()
        if field in (b"\r\n", b""):
            return line.decode("latin1").rstrip("\r\n"), headers
        name, _, value = field.decode("latin1").partition(":")
        headers.setdefault(name.strip().lower(), value.strip())


class Client:
    """A connection to a node (or to any HTTP server) that is kept open."""

    def __init__(self, address, timeout=15):
        self.socket = socket.create_connection(address, timeout)
        self.stream = self.socket.makefile("rb")
        self.address = address

    def send(self, method, path, headers, body=b""):
        lines = {"Host": "%s:%d" % self.address, **headers}
        if body or method == "POST":
            lines["Content-Length"] = str(len(body))
        head = "%s %s HTTP/1.1\r\n" % (method, path)
        head += "".join("%s: %s\r\n" % item for item in lines.items()) + "\r\n"
        self.socket.sendall(head.encode() + body)

    def read(self):
        """Returns (status, headers, body, whole); status is None if the
        connection ended without an answer."""
        try:
            head = read_head(self.stream)
            if head is None:
                return None, {}, b"", False
            length = int(head[1].get("content-length", 0))
            body = self.stream.read(length)
            return int(head[0].split()[1]), head[1], body, len(body) == length
        except (ConnectionError, socket.timeout):
            return None, {}, b"", False

    def call(self, method, path, headers, body=b""):
        self.send(method, path, headers, body)
        return self.read()

    def close(self):
        self.socket.close()


def new_id():
    return "%016x" % random.getrandbits(64)


class Endpoint:
    """An application endpoint that sends its own heartbeats. `work(endpoint,
    request)` is what it does for a request; it may return a number of seconds
    to work, and set `request["status"]`. Each request that it runs stands in `runs`."""

    def __init__(self, machine, slots=20, work=None):
        self.machine, self.slots = machine, slots
        self.work = work or (lambda endpoint, request: 0.02)
        self.id = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.sequence, self.state, self.is_beating = 0, "ready", True
        self.runs, self.lock = [], threading.Lock()
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((machine.ip, machine.ports["app"]))
        self.listener.listen(128)
        self.has_ended = False
        threading.Thread(target=self.accept, daemon=True).start()
        threading.Thread(target=self.beat_on, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        stream = connection.makefile("rb")
        try:
            while True:
                head = read_head(stream)
                if head is None:
                    return
                method, path, _ = head[0].split(" ", 2)
                body = stream.read(int(head[1].get("content-length", 0)))
                self.handle(connection, method, path, head[1], body)
        except OSError:
            pass
        finally:
            connection.close()

    def handle(self, connection, method, path, headers, body):
        if headers.get("target-instance", self.id) != self.id:
            connection.sendall(b"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: "
                               + self.id.encode() + b"\r\nContent-Length: 0\r\n\r\n")
            return
        run = {"id": headers.get("request-id"), "method": method, "path": path, "headers": headers,
               "endpoint": self.id, "started": now(), "ended": None}
        with self.lock:
            self.runs.append(run)
        time.sleep(self.work(self, run) or 0)
        run["ended"] = now()
        answer = ("answer of %s to %s\n" % (self.id, run["id"])).encode()
        status = run.get("status", "200 OK").encode()
        connection.sendall(b"HTTP/1.1 " + status + b"\r\nRequest-Id: " + run["id"].encode()
                           + b"\r\nResponse-Signature: sig." + self.id.encode()
                           + b"\r\nContent-Length: %d\r\n\r\n" % len(answer) + answer)

    def beat(self):
        self.sequence += 1
        body = {"Address": "%s:%d" % (self.machine.ip, self.machine.ports["app"]),
                "Info": {"Service": self.machine.service, "Version": "v1",
                         "Zone": self.machine.zone, "Slots": self.slots},
                "Status": {"State": self.state, "Sequence": self.sequence, "ColdRemainingMs": 0},
                "born": self.born}
        return self.tell("heartbeat", body)

    def tell(self, call, body):
        client = Client(self.machine.address("control"), 2)
        try:
            return client.call("POST", "/v1/instances/%s/%s" % (self.id, call),
                               {"Content-Type": "application/json"}, json.dumps(body).encode())[0]
        finally:
            client.close()

    def end(self):
        self.has_ended = True
        self.listener.close()

    def beat_on(self):
        while not self.has_ended:
            status = None
            if self.is_beating:
                try:
                    status = self.beat()
                except OSError:
                    pass
            time.sleep(1.5 if status == 200 else 0.2)


def lookup(fields, name):
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def fill_template(text, fields):
    """Fills in deploy/node.json.template as DEPLOY.md says it."""
    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                  lambda m: m[2] if lookup(fields, m[1]) is not None else "", text, flags=re.S)
    text = re.sub(r"\{\{\^([\w.]+)\}\}(.*?)\{\{/\1\}\}",
                  lambda m: m[2] if lookup(fields, m[1]) is None else "", text, flags=re.S)
    text = re.sub(r"\{\{([\w.]+)\|json\}\}", lambda m: json.dumps(lookup(fields, m[1])), text)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda m: "" if lookup(fields, m[1]) is None else str(lookup(fields, m[1])), text)


BOUNDS = {"SeedLagS": 3, "AddrReuseS": 2, "ContactMs": 4000, "AckMs": 4000, "CatchUpS": 4,
          "DrainMs": 2500, "GraceS": 6, "LossSlackMs": 200, "ConfigApplyMs": 2500,
          "RollbackSlackMs": 250, "MaxStretchMs": 5000, "RetryBudgetRatio": 0.2,
          "BudgetWindowS": 10, "BudgetSlack": 50, "RecoveryS": 15}


class Machine:
    """A machine with its node, and the settings of a `sidecar` machine."""

    def __init__(self, deployment, number, service, zone, region):
        self.deployment, self.service, self.zone, self.region = deployment, service, zone, region
        self.ip = "%s.%d.%d" % (deployment.network, 1 + number // 250, 1 + number % 250)
        self.name = "sidecar-%s-%d" % (zone, number)
        self.ports, self.process = deployment.ports, None

    def address(self, port):
        return self.ip, self.ports[port]

    def start(self):
        deployment = self.deployment
        at = {name: "%s:%d" % self.address(name) for name in self.ports}
        fields = {"NodeName": self.name, "Ip": self.ip, "Zone": self.zone, "Region": self.region,
                  "Service": self.service, "AppAddr": at["app"], "Seeds": [],
                  "Listen": {"Inbound": at["inbound"], "Outbound": at["outbound"],
                             "Ready": at["ready"], "Control": at["control"]},
                  "InternalPorts": [self.ports["first"], self.ports["last"]],
                  "Limits": {"MemoryMb": 260, "MaxFds": 4100},
                  "Platform": {"Address": deployment.store.address}, "Bounds": deployment.bounds}
        with open(os.path.join(REPO, "deploy/node.json.template")) as template:
            text = fill_template(template.read(), fields)
        path = os.path.join(deployment.folder, self.name + ".json")
        with open(path, "w") as settings:
            settings.write(text)
        with open(os.path.join(deployment.folder, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen(
                [os.path.join(REPO, "target/node/berylvane-node"), "-s", path],
                cwd=REPO, stdout=log, stderr=subprocess.STDOUT)

    def signal(self, number):
        self.process.send_signal(number)

    def is_ready(self):
        try:
            client = Client(self.address("ready"), 1)
            status = client.call("GET", "/v1/ready", {})[0]
            client.close()
            return status == 200
        except OSError:
            return False

    def poll_ready(self):
        """The platform's question, once a second, until the process ends."""
        while self.process.poll() is None:
            self.is_ready()
            time.sleep(1)


def free_network():
    """Returns an unused part of the loopback network, such as 127.20."""
    for _ in range(50):
        network = "127.%d" % random.randrange(20, 250)
        try:
            for number in range(1, 9):
                for port in (8300, 8301, 8302, 8304, 8306, 7620, 7635):
                    probe = socket.socket()
                    probe.bind(("%s.1.%d" % (network, number), port))
                    probe.close()
            return network
        except OSError:
            continue
    raise OSError("no free loopback network")


class Deployment:
    def __init__(self, bounds=None):
        self.folder = tempfile.mkdtemp(prefix="berylvane-review-")
        self.network = free_network()
        self.ports = {"inbound": 8300, "app": 8301, "ready": 8302, "outbound": 8304,
                      "control": 8306, "first": 7620, "last": 7635}
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.store, self.machines, self.added, self.version = Store(), [], 0, 5

    def add(self, service, zone="mid-a", region="midlands"):
        self.added += 1
        machine = Machine(self, self.added, service, zone, region)
        self.machines.append(machine)
        return machine

    def configure(self, services, routes, host="orders.example", **more):
        self.version += 2
        config = {"Version": "r%d" % self.version,
                  "Services": [{"Name": name, "HealthPath": "/health", "MaxConnections": 532,
                                "Protocol": "h1", "Tls": False} for name in services],
                  "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864,
                             "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
                  "VirtualHosts": [{"Hostname": host, "Paths": routes}], **more}
        self.store.put("op", "config", config)

    def wait_until_ready(self, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if all(machine.is_ready() for machine in self.machines):
                return True
            time.sleep(0.1)
        return False

    def stop(self):
        for machine in self.machines:
            process = machine.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            if process is not None:
                process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, kind, service, timeout_ms, aim_ms=1500, priority=1, attempts=2):
    return {"Name": name, "Prefix": prefix, "Type": kind, "Service": service,
            "TimeoutMs": timeout_ms, "TargetLatencyMs": aim_ms, "Priority": priority,
            "MaxAttempts": attempts}


class Record:
    """record.txt beside the script: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()

    def write(self, format, *arguments):
        line = "%8.3f  %s" % (now(), format % arguments)
        with self.lock:
            print(line, file=self.file, flush=True)
            print(line, flush=True)


def play(folder, case):
    """Runs `case(deployment, record, has_trouble)` and exits with its result."""
    record, deployment, result = Record(folder), Deployment(), NOT_RUN
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *arguments: sys.exit(NOT_RUN))
    try:
        result = case(deployment, record, os.environ.get("TROUBLE", "1") != "0")
        record.write("result: %s", {BROKEN: "the rule was broken", HELD: "the rule held"}.get(
            result, "the case could not run"))
    except Exception as problem:  # the case could not run
        record.write("the case could not run: %r", problem)
    finally:
        deployment.stop()
    sys.stdout.flush()
    os._exit(result)
