"""Stand-in of an application endpoint, one process each.

Arguments: JSON with id, service, zone, address, control, slots, work_ms,
record. Commands on standard input, one a line: `deregister`.

With `spoil_every` N, each Nth answer is spoiled: a byte of its status line is
lost, which makes "HTTP/1.1 200 OK" "HTTP/1.1 20 OK" (PROTOCOL.md: "send bytes
that are not a response").

A request whose path has "/early/" is answered before its body is read, with
an answer that has no length and ends with its connection. PROTOCOL.md and
RULES.md name both.
"""
import hashlib
import json
import os
import socket
import sys
import threading
import time

HEARTBEAT_S = 1.5
EARLY_BYTES = 1000000
EARLY_PIECE_BYTES = 50000
EARLY_PIECE_S = 0.1

options = json.loads(sys.argv[1])
born_ms = int(time.time() * 1000)
state = {"sequence": 0, "has_left": False, "answers": 0}
answers_lock = threading.Lock()
slots = threading.Semaphore(options["slots"])
record_fd = os.open(options["record"],
                    os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)


def record(what, **fields):
    fields = dict(fields, at=round(time.monotonic(), 3), what=what,
                  server=options["id"])
    os.write(record_fd, (json.dumps(fields, sort_keys=True) + "\n").encode())


def early_body(request):
    block = hashlib.sha256(request.encode()).hexdigest().encode()
    return (block * (EARLY_BYTES // len(block) + 1))[:EARLY_BYTES]


def call_control(path, body):
    """Returns the status of the answer, or 0 if none came in a second."""
    host, port = options["control"]
    try:
        with socket.create_connection((host, port), timeout=1) as sock:
            text = body.encode()
            sock.sendall((f"POST {path} HTTP/1.1\r\nHost: {host}:{port}\r\n"
                          "Content-Type: application/json\r\n"
                          f"Content-Length: {len(text)}\r\n"
                          "Connection: close\r\n\r\n").encode() + text)
            answer = sock.recv(4096)
            return int(answer.split()[1]) if answer else 0
    except (OSError, ValueError, IndexError):
        return 0


def heartbeat():
    state["sequence"] += 1
    sequence = state["sequence"]
    body = json.dumps({
        "Address": "%s:%d" % tuple(options["address"]), "born": born_ms,
        "Info": {"Service": options["service"], "Version": "v1",
                 "Zone": options["zone"], "Slots": options["slots"]},
        "Status": {"State": "ready", "Sequence": sequence,
                   "ColdRemainingMs": 0}})
    status = call_control(f"/v1/instances/{options['id']}/heartbeat", body)
    record("heartbeat", sequence=sequence, status=status)


def send_heartbeats():
    while not state["has_left"]:
        threading.Thread(target=heartbeat, daemon=True).start()
        time.sleep(HEARTBEAT_S)


def read_commands():
    for line in sys.stdin:
        if line.strip() == "deregister":
            state["has_left"] = True
            status = call_control(
                f"/v1/instances/{options['id']}/deregister", "")
            record("deregister", status=status)


def read_head(sock, data):
    while b"\r\n\r\n" not in data:
        piece = sock.recv(16384)
        if not piece:
            return None, None, b""
        data += piece
    head, rest = data.split(b"\r\n\r\n", 1)
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, value = line.split(":", 1)
        fields[name.strip().lower()] = value.strip()
    return lines[0].split(), fields, rest


def signature(body):
    return hashlib.sha256(body).hexdigest()[:32]


def answer(sock, request, status, fields, body):
    lines = [f"HTTP/1.1 {status}", f"Request-Id: {request}",
             f"Content-Length: {len(body)}"] + fields
    sock.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + body)


def answer_early(sock, request, left):
    """Answers while the rest of the body waits; reads that afterwards."""
    body = early_body(request)
    sock.sendall((f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\n"
                  f"Response-Signature: {signature(body)}\r\n"
                  "Connection: close\r\n\r\n").encode())
    for start in range(0, len(body), EARLY_PIECE_BYTES):
        sock.sendall(body[start:start + EARLY_PIECE_BYTES])
        record("sent", request=request, bytes=start + EARLY_PIECE_BYTES)
        time.sleep(EARLY_PIECE_S)
    while left > 0:
        piece = sock.recv(min(left, 262144))
        if not piece:
            break
        left -= len(piece)
    record("ended", request=request, body_left=left)


def status_of_answer(request):
    """Returns the status of a whole answer, or what is left of it."""
    spoil_every = options.get("spoil_every", 0)
    with answers_lock:
        state["answers"] += 1
        is_spoiled = spoil_every > 0 and state["answers"] % spoil_every == 0
    if is_spoiled:
        record("spoiled", request=request)
    return "20 OK" if is_spoiled else "200 OK"


def serve_request(sock, start, fields, rest):
    """Returns the bytes after the request; None ends the connection."""
    request = fields.get("request-id", "")
    length = int(fields.get("content-length", 0))
    named = fields.get("target-instance")
    if named is not None and named != options["id"]:
        answer(sock, request, "421 Misdirected Request",
               [f"Instance-Id: {options['id']}", "Connection: close"], b"")
        return None
    with slots:
        record("run", request=request, path=start[1],
               caller=fields.get("caller-service"),
               deadline=fields.get("request-deadline"))
        if "/early/" in start[1]:
            answer_early(sock, request, length - len(rest))
            return None
        while len(rest) < length:
            piece = sock.recv(262144)
            if not piece:
                return None
            rest += piece
        time.sleep(options["work_ms"] / 1000)
        body = f"done {request} by {options['id']}".encode()
        answer(sock, request, status_of_answer(request),
               [f"Response-Signature: {signature(body)}"], body)
        record("ended", request=request)
    return rest[length:]


def serve_connection(sock):
    data = b""
    try:
        with sock:
            while data is not None:
                start, fields, rest = read_head(sock, data)
                if start is None:
                    return
                data = serve_request(sock, start, fields, rest)
    except (OSError, ValueError) as error:
        record("connection", error=str(error))


def main():
    listener = socket.create_server(tuple(options["address"]), backlog=128)
    # Small windows, as DEPLOY.md states for links.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    threading.Thread(target=send_heartbeats, daemon=True).start()
    threading.Thread(target=read_commands, daemon=True).start()
    while True:
        sock, _ = listener.accept()
        threading.Thread(target=serve_connection, args=(sock,),
                         daemon=True).start()


main()
