"""A small deployment on loopback: the store, nodes and endpoints.

Each machine has an address of its own in 127.0.0.0/8. Nodes are started with
the command of deploy/system.toml, and their settings are rendered from
deploy/node.json.template.
"""
import base64
import json
import os
import re
import shutil
import socket
import subprocess
import sys
import tempfile
import threading
import time

import store

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HERE = os.path.dirname(os.path.abspath(__file__))
NODE = os.path.join(ROOT, "target", "node", "berylvane-node")
BOUNDS = ["SeedLagS=3", "AddrReuseS=2", "ContactMs=4000", "AckMs=4000",
          "CatchUpS=4", "DrainMs=2500", "GraceS=6", "LossSlackMs=200",
          "ConfigApplyMs=2500", "RollbackSlackMs=250", "MaxStretchMs=5000",
          "RetryBudgetRatio=0.2", "BudgetWindowS=10", "BudgetSlack=49",
          "RecoveryS=15"]
CONTACT_S = 4.0
DRAIN_S = 2.5
RESTART_S = 0.5


class CannotRun(Exception):
    """The case could not be set up."""


def look_up(fields, name):
    if name == ".":
        return fields
    for part in name.split("."):
        if isinstance(fields, list) and part.isdigit():
            fields = fields[int(part)] if int(part) < len(fields) else None
        elif isinstance(fields, dict):
            fields = fields.get(part)
        else:
            return None
    return fields


def render(template, fields):
    """Fills a template as DEPLOY.md describes it, but for lists."""
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

    def fill_section(match):
        is_present = look_up(fields, match[2]) not in (None, False)
        return render(match[3], fields) if (match[1] == "#") == is_present \
            else ""

    def fill(match):
        value = look_up(fields, match[1])
        if match[2]:
            return json.dumps(value)
        if value is None:
            return ""
        return value if isinstance(value, str) else json.dumps(value)

    template = section.sub(fill_section, template)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", fill, template)


def free_ports(count):
    """Returns the first of `count` ports that are free on all addresses."""
    for first in range(21000 + os.getpid() % 97 * 80, 32000, count):
        try:
            for port in range(first, first + count):
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as sock:
                        sock.bind(("0.0.0.0", port))
            return first
        except OSError:
            continue
    raise CannotRun("no free ports")


class Machine:
    def __init__(self, deployment, number, service, zone):
        self.deployment = deployment
        self.ip = f"127.0.7.{number}"
        self.name = f"sidecar-{zone}-{number}"
        self.service = service
        self.zone = zone
        self.server_id = f"i-{number:08x}"
        self.node = None
        self.endpoint = None
        ports = deployment.first_port
        self.outbound = (self.ip, ports + 1)
        self.app = (self.ip, ports + 2)
        self.ready = (self.ip, ports + 3)
        self.control = (self.ip, ports + 4)
        # Where the endpoint sends its heartbeats.
        self.heartbeats_to = self.control

    def write_settings(self):
        ports = self.deployment.first_port
        fields = {
            "NodeName": self.name, "Role": "node", "Ip": self.ip,
            "Zone": self.zone, "Region": "r-" + self.zone,
            "Listen": {"Inbound": f"{self.ip}:{ports}",
                       "Outbound": "%s:%d" % self.outbound,
                       "Ready": "%s:%d" % self.ready,
                       "Control": "%s:%d" % self.control},
            "InternalPorts": [ports + 5, ports + 7], "Seeds": [],
            "Limits": {"MemoryMb": 260, "MaxFds": 4100},
            "Bounds": dict(b.split("=") for b in self.deployment.bounds),
            "AppAddr": "%s:%d" % self.app, "Service": self.service,
            "Platform": {"Address": "%s:%d" % self.deployment.store_address},
        }
        with open(os.path.join(ROOT, "deploy", "node.json.template"),
                  encoding="utf-8") as file:
            text = render(file.read(), fields)
        path = os.path.join(self.deployment.folder, self.name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        json.loads(text)
        return path

    def start_node(self):
        path = self.write_settings()
        with open(os.path.join(self.deployment.folder, self.name + ".log"),
                  "ab") as log:
            self.node = subprocess.Popen(
                [NODE, "-s", path], cwd=ROOT, stdin=subprocess.DEVNULL,
                stdout=log, stderr=log,
                env={"PATH": os.environ["PATH"], "BERYLVANE_BOOT": path})

    def start_endpoint(self, work_ms, **further):
        options = {"id": self.server_id, "service": self.service,
                   "zone": self.zone, "address": self.app,
                   "control": self.heartbeats_to, "slots": 42,
                   "work_ms": work_ms,
                   "record": self.deployment.server_record, **further}
        self.endpoint = subprocess.Popen(
            [sys.executable, os.path.join(HERE, "endpoint.py"),
             json.dumps(options)], stdin=subprocess.PIPE, text=True)

    def command(self, line):
        self.endpoint.stdin.write(line + "\n")
        self.endpoint.stdin.flush()


class Deployment:
    def __init__(self, record_path, bounds=None):
        if not os.access(NODE, os.X_OK):
            raise CannotRun("no " + NODE)
        self.folder = tempfile.mkdtemp(prefix="berylvane-review-")
        self.server_record = os.path.join(self.folder, "servers.txt")
        self.record_file = open(record_path, "w", encoding="utf-8")
        self.record_lock = threading.Lock()
        self.first_port = free_ports(8)
        self.store_address = ("127.0.7.250", self.first_port)
        self.table = store.start(self.store_address)
        self.bounds = bounds or BOUNDS
        self.machines = []

    def record(self, what, **fields):
        fields = dict(fields, at=round(time.monotonic(), 3), what=what)
        with self.record_lock:
            self.record_file.write(json.dumps(fields, sort_keys=True) + "\n")
            self.record_file.flush()

    def add(self, service, zone):
        machine = Machine(self, len(self.machines) + 1, service, zone)
        self.machines.append(machine)
        return machine

    def set_config(self, config):
        text = json.dumps(config).encode()
        self.table.put("op", "config", base64.b64encode(text).decode())
        self.record("config", version=config["Version"])

    def wait_ready(self, limit_s=15):
        until = time.monotonic() + limit_s
        for machine in self.machines:
            while not is_ready(machine):
                if time.monotonic() > until:
                    raise CannotRun(machine.name + " is not ready")
                time.sleep(0.1)

    def server_events(self):
        """Returns what the endpoints have recorded."""
        try:
            with open(self.server_record, encoding="utf-8") as file:
                return [json.loads(line) for line in file]
        except FileNotFoundError:
            return []

    def stop(self):
        for machine in self.machines:
            for process in (machine.endpoint, machine.node):
                if process is not None and process.poll() is None:
                    process.kill()
        for machine in self.machines:
            for process in (machine.endpoint, machine.node):
                if process is not None:
                    process.wait()
        for event in self.server_events():
            at = event.pop("at")
            with self.record_lock:
                self.record_file.write(json.dumps(
                    dict(event, at=at), sort_keys=True) + "\n")
        self.record_file.close()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def is_ready(machine):
    try:
        with socket.create_connection(machine.ready, timeout=1) as sock:
            sock.sendall(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n"
                         b"Connection: close\r\n\r\n")
            return sock.recv(64).startswith(b"HTTP/1.1 200")
    except OSError:
        return False


def config(version, services, paths, tenants=None):
    limits = {"Tenants": tenants} if tenants is not None else {}
    return dict(limits, **{
        "Version": version,
        "Services": [{"Name": name, "HealthPath": "/health",
                      "MaxConnections": 352, "Protocol": "h1", "Tls": False}
                     for name in services],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864,
                   "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "VirtualHosts": [{"Hostname": "shop.example", "Paths": paths}]})


def path(name, kind, service, timeout_ms=6000):
    return {"Name": "r-" + name, "Prefix": f"/{name}/", "Type": kind,
            "TimeoutMs": timeout_ms, "TargetLatencyMs": 1500, "Priority": 0,
            "Service": service, "MaxAttempts": 2}


class Reply:
    def __init__(self, status=0, fields=None, body=b"", is_whole=False):
        self.status = status
        self.fields = fields or {}
        self.body = body
        self.is_whole = is_whole


def request(machine, method, path_text, request_id, deadline_ms, body=b"",
            key=None):
    """Sends a request on a new connection, and reads its answer."""
    head = (f"{method} {path_text} HTTP/1.1\r\nHost: shop.example\r\n"
            f"Request-Id: {request_id}\r\n"
            f"Request-Deadline: {deadline_ms}\r\n")
    if key is not None:
        head += f"Authorization: Bearer {key}\r\n"
    if method != "GET":
        head += f"Content-Length: {len(body)}\r\n"
    data = b""
    try:
        with socket.create_connection(machine.outbound, timeout=1) as sock:
            sock.settimeout(deadline_ms / 1000)
            sock.sendall((head + "\r\n").encode() + body)
            while True:
                piece = sock.recv(262144)
                if not piece:
                    break
                data += piece
                reply = parse_reply(data)
                if reply.is_whole:
                    return reply
    except OSError:
        pass
    return parse_reply(data)


def parse_reply(data):
    if b"\r\n\r\n" not in data:
        return Reply()
    head, body = data.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, value = line.split(":", 1)
        fields[name.strip().lower()] = value.strip()
    length = fields.get("content-length")
    is_whole = length is not None and len(body) >= int(length)
    return Reply(int(lines[0].split()[1]), fields, body, is_whole)


def run(case, record_path, bounds=None):
    """Runs `case` with a deployment; exits with 0, 1 or 2."""
    deployment = None
    try:
        deployment = Deployment(record_path, bounds)
        has_held = case(deployment, os.environ.get("TROUBLE", "1") != "0")
        status = 0 if has_held else 1
    except (CannotRun, OSError) as error:
        print("cannot run:", error)
        status = 2
    finally:
        if deployment is not None:
            deployment.stop()
    print({0: "held", 1: "broken", 2: "not run"}[status])
    sys.exit(status)
