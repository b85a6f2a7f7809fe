"""A small deployment on loopback addresses for the cases of this review.

Each machine has an address of its own in 127.0.0.0/8 and the same ports, as
DEPLOY.md describes. The node is started with the command of
deploy/system.toml, and its settings are rendered from the template that this
file names. Clients, endpoints and the store are stand-ins in this process.
"""

import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import socketserver
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BOUNDS = {
    "SeedLagS": "3", "AddrReuseS": "2", "ContactMs": "4000", "AckMs": "4000",
    "CatchUpS": "4", "DrainMs": "2500", "GraceS": "6", "LossSlackMs": "200",
    "ConfigApplyMs": "2500", "RollbackSlackMs": "250", "MaxStretchMs": "5000",
    "RetryBudgetRatio": "0.2", "BudgetWindowS": "10", "BudgetSlack": "49",
    "RecoveryS": "15",
}


class Unable(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def __call__(self, *words):
        with self.lock:
            line = "%8.3f %s" % (time.monotonic() - self.start,
                                 " ".join(str(word) for word in words))
            self.file.write(line + "\n")
            self.file.flush()


class Lines:
    """Buffered reader of a socket."""

    def __init__(self, sock):
        self.sock = sock
        self.data = b""

    def line(self):
        while b"\r\n" not in self.data:
            more = self.sock.recv(65536)
            if not more:
                return None
            self.data += more
        line, self.data = self.data.split(b"\r\n", 1)
        return line

    def exactly(self, size):
        while len(self.data) < size:
            more = self.sock.recv(65536)
            if not more:
                return None
            self.data += more
        body, self.data = self.data[:size], self.data[size:]
        return body


def read_message(lines):
    """Returns (first line, headers with lower-case names, body), or None."""
    first = lines.line()
    if first is None:
        return None
    headers = {}
    while True:
        line = lines.line()
        if line is None:
            return None
        if not line:
            break
        name, _, value = line.partition(b":")
        headers[name.strip().lower().decode("latin-1")] = value.strip().decode("latin-1")
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = lines.line()
            if size is None:
                return None
            size = int(size.split(b";")[0], 16)
            chunk = lines.exactly(size) if size else b""
            if chunk is None or lines.line() is None:
                return None
            body += chunk
            if size == 0:
                break
    elif "content-length" in headers:
        body = lines.exactly(int(headers["content-length"]))
        if body is None:
            return None
    return first.decode("latin-1"), headers, body


class Server:
    """Accepts connections and gives each one a thread."""

    def __init__(self, address, handle):
        outer = self
        self.connections = set()
        self.lock = threading.Lock()

        class Handler(socketserver.BaseRequestHandler):
            def handle(self):
                with outer.lock:
                    outer.connections.add(self.request)
                try:
                    self.request.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                    handle(self.request)
                except OSError:
                    pass
                finally:
                    with outer.lock:
                        outer.connections.discard(self.request)

        class Listener(socketserver.ThreadingTCPServer):
            allow_reuse_address = True
            daemon_threads = True
            request_queue_size = 256

        self.listener = Listener(address, Handler)
        threading.Thread(target=self.listener.serve_forever, kwargs={"poll_interval": 0.05},
                         daemon=True).start()

    def stop(self, reset=False):
        self.listener.shutdown()
        self.listener.server_close()
        with self.lock:
            for connection in self.connections:
                try:
                    if reset:
                        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                              b"\x01\0\0\0\0\0\0\0")
                    connection.shutdown(socket.SHUT_RDWR)
                    connection.close()
                except OSError:
                    pass


def respond(sock, status, headers=(), body=b""):
    text = "HTTP/1.1 %d X\r\n" % status
    text += "".join("%s: %s\r\n" % pair for pair in headers)
    text += "Content-Length: %d\r\n\r\n" % len(body)
    sock.sendall(text.encode("latin-1") + body)


class Store:
    """The platform's metadata store as PROTOCOL.md describes it."""

    def __init__(self, address):
        self.rows = {}
        self.version = 1
        self.changed = threading.Condition()
        self.start = time.monotonic()
        self.server = Server(address, self.serve)

    def now_ms(self):
        return int((time.monotonic() - self.start) * 1000) + 1

    def put(self, table, key, value):
        with self.changed:
            self.version += 1
            self.rows[(table, "", key)] = (base64.b64encode(value).decode(), self.version)
            self.changed.notify_all()

    def render(self, name):
        value, version = self.rows[name]
        row = {"Table": name[0], "part": name[1], "Key": name[2], "Ver": version}
        if value is None:
            row["Deleted"] = True
        else:
            row["Value"] = value
        return row

    def answer(self, rows):
        return {"Rows": rows, "Truncated": False, "Ver": self.version, "NowMs": self.now_ms()}

    def transact(self, request):
        with self.changed:
            for entry in request["ExpectedRevision"]:
                name = (entry["Table"], entry.get("part", ""), entry["Key"])
                value, version = self.rows.get(name, (None, 0))
                if entry["Ver"] != (version if value is not None else 0):
                    return 412, self.answer([])
            if any(entry["Table"] in ("op", "servers")
                   for entry in request["Writes"] + request["Remove"]):
                return 403, {}
            self.version += 1
            for entry in request["Writes"]:
                name = (entry["Table"], entry.get("part", ""), entry["Key"])
                self.rows[name] = (entry["Value"], self.version)
            for entry in request["Remove"]:
                name = (entry["Table"], entry.get("part", ""), entry["Key"])
                if name in self.rows:
                    self.rows[name] = (None, self.version)
            self.changed.notify_all()
            return 200, {"Ver": self.version, "NowMs": self.now_ms()}

    def get(self, query):
        with self.changed:
            rows = [self.render(name) for name in sorted(self.rows)
                    if name[0] == query.get("Table") and name[1] == query.get("part", "")
                    and name[2] >= query.get("From", "")
                    and ("To" not in query or name[2] < query["To"])
                    and self.rows[name][0] is not None]
            limit = int(query.get("Limit", 500))
            answer = self.answer(rows[:limit])
            answer["Truncated"] = len(rows) > limit
            return 200, answer

    def feed(self, query):
        end = time.monotonic() + min(int(query.get("WaitMs", 0)), 30000) / 1000
        after = int(query.get("after", 0))
        with self.changed:
            while True:
                rows = sorted((name for name in self.rows if name[0] == query.get("Table")
                               and self.rows[name][1] > after),
                              key=lambda name: self.rows[name][1])
                left = end - time.monotonic()
                if rows or left <= 0:
                    return 200, self.answer([self.render(name) for name in rows])
                self.changed.wait(left)

    def serve(self, sock):
        lines = Lines(sock)
        while True:
            message = read_message(lines)
            if message is None:
                return
            from urllib.parse import parse_qsl
            path = message[0].split(" ")[1]
            path, _, query = path.partition("?")
            query = dict(parse_qsl(query, keep_blank_values=True))
            time.sleep(0.003)
            if path == "/v1/rows-tx":
                status, answer = self.transact(json.loads(message[2]))
            elif path == "/v1/rows-get":
                status, answer = self.get(query)
            elif path == "/v1/rows-feed":
                status, answer = self.feed(query)
            else:
                status, answer = 404, {}
            respond(sock, status, [("Content-Type", "application/json")],
                    json.dumps(answer).encode())


class Endpoint:
    """A sound application endpoint beside one node."""

    def __init__(self, rig, machine, service, name=None, slots=8):
        self.rig = rig
        self.machine = machine
        self.service = service
        self.name = name or "i-%08x" % rig.random.getrandbits(32)
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.work_s = 0.0
        self.runs = []
        self.on_request = None
        self.server = Server((machine.ip, rig.port + 1), self.serve)
        self.beating = None

    def heartbeat_body(self, state=None, sequence=None):
        if sequence is None:
            self.sequence += 1
            sequence = self.sequence
        return json.dumps({
            "Address": "%s:%d" % (self.machine.ip, self.rig.port + 1),
            "Info": {"Service": self.service, "Version": "v1", "Zone": self.machine.zone,
                     "Slots": self.slots},
            "Status": {"State": state or self.state, "Sequence": sequence,
                       "ColdRemainingMs": 0},
            "born": self.born}).encode()

    def send(self, verb, body=b""):
        path = "/v1/instances/%s/%s" % (self.name, verb)
        try:
            status = http((self.machine.ip, self.rig.port + 6), "POST", path,
                          [("Content-Type", "application/json")], body, 1.0)[0]
        except OSError as error:
            status = "none (%s)" % error
        self.rig.record("ENDPOINT", self.name, "on", self.machine.name, "sent", verb,
                        body.decode(), "-> answered", status)
        return status

    def beat(self, state=None):
        return self.send("heartbeat", self.heartbeat_body(state))

    def keep_beating(self, period_s=1.5):
        stop = threading.Event()
        self.beating = stop

        def loop():
            while not stop.wait(period_s):
                self.beat()
        threading.Thread(target=loop, daemon=True).start()

    def stop_beating(self):
        if self.beating:
            self.beating.set()

    def serve(self, sock):
        lines = Lines(sock)
        while True:
            message = read_message(lines)
            if message is None:
                return
            first, headers, body = message
            method, target, _ = first.split(" ")
            identity = headers.get("request-id", "")
            if headers.get("target-instance", self.name) != self.name:
                self.rig.record("ENDPOINT", self.name, "421 for", identity)
                respond(sock, 421, [("Instance-Id", self.name), ("Request-Id", identity)])
                continue
            self.rig.record("ENDPOINT", self.name, "service", self.service, "runs", identity,
                            method, target, "body", len(body), "caller",
                            headers.get("caller-service"))
            self.runs.append((time.monotonic(), identity, method, target, body, headers))
            if self.on_request is not None and self.on_request(sock, message):
                continue
            if self.work_s:
                time.sleep(self.work_s)
            respond(sock, 200, [("Request-Id", identity),
                                ("Response-Signature", "sig.%s" % identity),
                                ("Keep-Alive", "timeout=10")], b"answer to " + identity.encode())


class Machine:
    def __init__(self, rig, number, service, zone):
        self.rig = rig
        self.ip = "127.%d.%d.%d" % (rig.network[0], rig.network[1], number)
        self.name = "sidecar-%s-%d" % (zone, number)
        self.service = service
        self.zone = zone
        self.process = None
        self.directory = os.path.join(rig.directory, self.name)
        os.mkdir(self.directory)

    def settings(self):
        port = self.rig.port
        return {
            "NodeName": self.name, "Role": "node", "MachineClass": "sidecar",
            "Serves": ["sidecar"], "Ip": self.ip, "Zone": self.zone, "Region": "tw-north",
            "Zones": {"tpe-a": "tw-north", "tpe-b": "tw-north"},
            "Listen": {"Inbound": "%s:%d" % (self.ip, port),
                       "Outbound": "%s:%d" % (self.ip, port + 4),
                       "Ready": "%s:%d" % (self.ip, port + 2),
                       "Control": "%s:%d" % (self.ip, port + 6)},
            "InternalPorts": [port + 10, port + 25], "Seeds": [], "Bootstrap": True,
            "AppAddr": "%s:%d" % (self.ip, port + 1), "Service": self.service,
            "HeartbeatMs": 1500, "Bounds": BOUNDS,
            "Platform": {"Address": "%s:%d" % self.rig.store_address},
        }

    def start(self):
        path = os.path.join(self.directory, "boot.json")
        with open(os.path.join(ROOT, self.rig.template), encoding="utf-8") as file:
            text = render(file.read(), self.settings())
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        words = [word if word != "/etc/berylvane/boot.json" else path
                 for word in self.rig.command]
        log = open(os.path.join(self.directory, "log"), "ab")
        self.process = subprocess.Popen(
            words, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"], "BERYLVANE_BOOT": path})
        log.close()
        self.rig.record("MACHINE", self.name, "node started, service", self.service)

    def signal(self, number):
        self.rig.record("MACHINE", self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def is_ready(self):
        try:
            return http((self.ip, self.rig.port + 2), "GET", "/v1/ready", [], b"", 1.0)[0] == 200
        except OSError:
            return False

    def wait_ready(self, limit_s=10):
        end = time.monotonic() + limit_s
        while not self.is_ready():
            if time.monotonic() > end or self.process.poll() is not None:
                raise Unable("%s is not ready" % self.name)
            time.sleep(0.05)


def lookup(settings, path):
    value = settings
    for part in path.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def render(text, settings):
    """Fills in the placeholders that deploy/node.json.template uses."""
    def section(match):
        present = bool(lookup(settings, match.group(2)))
        return match.group(3) if present == (match.group(1) == "#") else ""

    def value(match):
        found = lookup(settings, match.group(1))
        if match.group(2):
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", section, text)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


def http(address, method, target, headers, body=b"", timeout=5.0, sock=None):
    """Sends one request; returns (status, headers, body)."""
    own = sock is None
    if own:
        sock = socket.create_connection(address, timeout=timeout)
    try:
        sock.settimeout(timeout)
        text = "%s %s HTTP/1.1\r\n" % (method, target)
        names = [name.lower() for name, _ in headers]
        if "host" not in names:
            text += "Host: %s\r\n" % address[0]
        text += "".join("%s: %s\r\n" % pair for pair in headers)
        if body or method == "POST":
            text += "Content-Length: %d\r\n" % len(body)
        sock.sendall(text.encode("latin-1") + b"\r\n" + body)
        message = read_message(Lines(sock))
        if message is None:
            raise ConnectionError("closed without an answer")
        return int(message[0].split(" ")[1]), message[1], message[2]
    finally:
        if own:
            sock.close()


class Rig:
    def __init__(self, folder, seed=None):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.random = random.Random(seed)
        self.directory = tempfile.mkdtemp(prefix="berylvane-review-")
        self.network = (self.random.randint(10, 200), self.random.randint(1, 250))
        self.machines = []
        self.endpoints = []
        self.next_id = 0
        with open(os.path.join(ROOT, "deploy/system.toml"), encoding="utf-8") as file:
            text = file.read()
        self.command = re.search(r'^run = "(.*)"$', text, re.M).group(1).split(" ")
        self.template = re.search(r'^template = "(.*)"$', text, re.M).group(1)
        if not os.access(os.path.join(ROOT, self.command[0]), os.X_OK):
            raise Unable("%s is not built" % self.command[0])
        self.port = self.free_ports()
        self.store_address = ("127.%d.%d.250" % self.network, self.port + 9)
        self.store = Store(self.store_address)

    def free_ports(self):
        for _ in range(50):
            port = self.random.randrange(12000, 30000, 40)
            try:
                for host in (1, 2, 3, 4, 5, 250):
                    for offset in (0, 1, 2, 4, 6, 9, 10, 25):
                        with socket.socket() as probe:
                            probe.bind(("127.%d.%d.%d" % (self.network + (host,)),
                                        port + offset))
                return port
            except OSError:
                continue
        raise Unable("no free ports")

    def add_machine(self, service, zone="tpe-a"):
        machine = Machine(self, len(self.machines) + 1, service, zone)
        self.machines.append(machine)
        return machine

    def add_endpoint(self, machine, **options):
        endpoint = Endpoint(self, machine, machine.service, **options)
        self.endpoints.append(endpoint)
        return endpoint

    def configure(self, version, routes, services):
        """`routes`: dicts with Host, Name, Prefix, Type, Service, ..."""
        hosts = {}
        for route in routes:
            path = {"TimeoutMs": 3000, "TargetLatencyMs": 1500, "Priority": 1,
                    "MaxAttempts": 2}
            path.update((key, value) for key, value in route.items() if key != "Host")
            hosts.setdefault(route["Host"], []).append(path)
        value = {
            "Version": "r%d" % version,
            "Services": [{"Name": name, "HealthPath": "/health", "MaxConnections": 352,
                          "Protocol": "h1", "Tls": False} for name in services],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864,
                       "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
            "VirtualHosts": [{"Hostname": name, "Paths": paths}
                             for name, paths in hosts.items()]}
        self.record("OPERATOR writes op/config", json.dumps(value))
        self.store.put("op", "config", json.dumps(value).encode())

    def request(self, machine, method, target, host, deadline_ms=5000, body=b"", headers=(),
                sock=None, name=None):
        """Sends a client's request to its machine; returns (id, status, headers, body)."""
        self.next_id += 1
        name = name or "%016x" % (self.random.getrandbits(48) * 65536 + self.next_id)
        lines = [("Host", host), ("Request-Id", name), ("Request-Deadline", deadline_ms)]
        self.record("CLIENT sends", name, method, target, "body", len(body), "to", machine.name)
        try:
            status, answered, content = http((machine.ip, self.port + 4), method, target,
                                             lines + list(headers), body,
                                             deadline_ms / 1000 + 1, sock)
        except OSError as error:
            status, answered, content = 0, {}, str(error).encode()
        self.record("CLIENT answer", name, status, answered, content[:60])
        return name, status, answered, content

    def runs(self, name):
        return [(endpoint, run) for endpoint in self.endpoints for run in endpoint.runs
                if run[1] == name]

    def stop(self):
        for endpoint in self.endpoints:
            endpoint.stop_beating()
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)


def main(folder, play):
    """Runs `play(rig, trouble)`, which returns True if the rule held."""
    rig = None
    status = 2
    try:
        rig = Rig(folder, os.environ.get("SEED"))
        trouble = os.environ.get("TROUBLE", "1") != "0"
        rig.record("TROUBLE", int(trouble))
        held = play(rig, trouble)
        status = 0 if held else 1
        rig.record("RESULT", "the rule held" if held else "THE RULE WAS BROKEN")
    except Unable as error:
        print("the case could not run:", error)
    except Exception as error:  # a fault of the rig is no broken rule
        import traceback
        traceback.print_exc()
    finally:
        if rig is not None:
            rig.stop()
    print({0: "the rule held", 1: "THE RULE WAS BROKEN", 2: "could not run"}[status])
    sys.stdout.flush()
    os._exit(status)
