"""SIGTERM while a connection holds a request that was read and not started."""
import os
import signal
import socket
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import rig as rigs

HOST = "hulo84.example"
LOSS_SLACK_S = 0.2
WORK_S = 1.0
CLIENTS = 6


def unread_bytes(port):
    """Bytes that wait in the receive queues of the connections that `port` accepted."""
    total = 0
    with open("/proc/net/tcp", encoding="ascii") as file:
        for line in list(file)[1:]:
            fields = line.split()
            if int(fields[1].split(":")[1], 16) == port and fields[3] == "01":
                total += int(fields[4].split(":")[1], 16)
    return total


def play(rig, trouble):
    front = rig.add_machine("front")
    back = rig.add_machine("back")
    rig.configure(7, [
        {"Host": HOST, "Name": "r-1", "Prefix": "/leny950/", "Type": "safe", "Service": "back"},
        {"Host": HOST, "Name": "r-2", "Prefix": "/puka111/", "Type": "unsafe", "Service": "back"},
    ], ["front", "back"])
    for machine in (front, back):
        machine.start()
    for machine in (front, back):
        machine.wait_ready()
    for machine in (front, back):
        endpoint = rig.add_endpoint(machine, slots=40)
        endpoint.work_s = WORK_S
        endpoint.beat()
        endpoint.keep_beating()
    # Longer than ContactMs: both machines are in touch.
    time.sleep(5)
    lost = []
    answered = []

    def message(method, target, name, body):
        text = "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nRequest-Deadline: 5000\r\n" % (
            method, target, HOST, name)
        if body:
            text += "Content-Length: %d\r\n" % len(body)
        return text.encode() + b"\r\n" + body

    def client(number):
        names = ["%016x" % rig.random.getrandbits(64) for _ in range(2)]
        sock = socket.create_connection((front.ip, rig.port + 4), timeout=8)
        rig.record("CLIENT", number, "sends GET", names[0], "and then POST", names[1],
                   "on one connection")
        sock.sendall(message("GET", "/leny950/2f", names[0], b"")
                     + message("POST", "/puka111/2f", names[1], b"order"))
        sent = time.monotonic()
        lines = rigs.Lines(sock)
        for name in names:
            try:
                answer = rigs.read_message(lines)
            except OSError as error:
                rig.record("CLIENT", number, "error", error)
                answer = None
            after = time.monotonic() - sent
            if answer is None:
                rig.record("CLIENT", number, "connection ended without an answer to", name,
                           "%.2f s after its last byte" % after)
                if after > LOSS_SLACK_S:
                    lost.append(name)
                break
            answered.append(name)
            rig.record("CLIENT", number, "answer to", name, answer[0], answer[1])
        sock.close()

    threads = [threading.Thread(target=client, args=(number,)) for number in range(CLIENTS)]
    for thread in threads:
        thread.start()
    time.sleep(0.4)
    rig.record("bytes that the node has not read from its clients:", unread_bytes(rig.port + 4))
    if unread_bytes(rig.port + 4) != 0:
        raise rigs.Unable("the node has not read all requests")
    if trouble:
        front.signal(signal.SIGTERM)
    for thread in threads:
        thread.join()
    if trouble:
        front.process.wait(10)
        rig.record("MACHINE", front.name, "node exited with", front.process.returncode)
    rig.record("answered", len(answered), "read and never answered", len(lost))
    if not answered:
        raise rigs.Unable("no request was answered")
    return not lost


rigs.main(HERE, play)
