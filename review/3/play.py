"""An endpoint says that it leaves while its node holds a queue for it."""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
import rig as rigs

HOST = "jepu9.example"
DRAIN_S = 2.5
# How long after the acknowledgement the endpoint still serves.
SERVES_S = 3.2
SLOTS = 4
WORK_S = 0.7
# Endpoints of the service. One of them leaves: a fifth of all endpoints.
BACKS = 4
CLIENTS = 28 * BACKS


def play(rig, trouble):
    front = rig.add_machine("front")
    backs = [rig.add_machine("back") for _ in range(BACKS)]
    rig.configure(7, [
        {"Host": HOST, "Name": "r-1", "Prefix": "/puka111/", "Type": "unsafe", "Priority": 0,
         "TimeoutMs": 10000, "Service": "back"}], ["front", "back"])
    for machine in [front] + backs:
        machine.start()
    for machine in [front] + backs:
        machine.wait_ready()
    for machine in [front] + backs:
        endpoint = rig.add_endpoint(machine, slots=SLOTS)
        endpoint.work_s = WORK_S
        endpoint.beat()
        endpoint.keep_beating()
    # Longer than ContactMs: both machines are in touch.
    time.sleep(5)
    answers = []

    def client():
        answers.append(rig.request(front, "POST", "/puka111/2f", HOST, 10000, b"order"))

    def send(count):
        threads = [threading.Thread(target=client) for _ in range(count)]
        for thread in threads:
            thread.start()
            time.sleep(0.002)
        return threads

    for thread in send(SLOTS * BACKS):
        thread.join()
    threads = send(CLIENTS)
    time.sleep(0.3)
    late = 0
    lost = 0
    if trouble:
        endpoint.state = "draining"
        status = endpoint.beat()
        acknowledged = time.monotonic()
        if status != 200:
            raise rigs.Unable("the leaving was not acknowledged")
        time.sleep(SERVES_S)
        endpoint.stop_beating()
        endpoint.send("deregister")
        endpoint.server.stop(reset=True)
        rig.record("ENDPOINT", endpoint.name, "exits")
    for thread in threads:
        thread.join()
    if trouble:
        for run in endpoint.runs:
            after = run[0] - acknowledged
            if after > DRAIN_S:
                late += 1
                status = [answer[1] for answer in answers if answer[0] == run[1]]
                lost += status != [200]
                rig.record("LATE: request", run[1], "reached the endpoint %.2f s after the "
                           "acknowledgement; its client got" % after, status)
    rig.record("requests that reached the endpoint later than DrainMs:", late,
               "of them not answered with success:", lost)
    if not any(answer[1] == 200 for answer in answers):
        raise rigs.Unable("no request was served")
    return late == 0


rigs.main(HERE, play)
