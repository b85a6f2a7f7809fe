"""DRAIN: a node that restarts takes a late heartbeat of an endpoint that has
deregistered, and sends it requests again."""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib2"))
import deployment as d  # noqa: E402
import relay  # noqa: E402

LATE_S = 4.0
# How long the endpoint goes on after its deregistration, beyond DrainMs.
LONGER_S = 9.0
DEADLINE_MS = 6000
REQUESTS_PER_S = 25
WORK_MS = 140


def send_requests(system, entry, is_over):
    """Sends unsafe requests at a steady rate, each on its own connection."""
    number = 0

    def send(request_id):
        system.record("sent", request=request_id)
        reply = d.request(entry, "POST", "/orders/1", request_id, DEADLINE_MS,
                          b"pallet")
        system.record("answered", request=request_id, status=reply.status,
                      is_whole=reply.is_whole)

    threads = []
    while not is_over.is_set():
        number += 1
        threads.append(threading.Thread(
            target=send, args=(f"7{os.getpid():07x}{number:08x}",)))
        threads[-1].start()
        time.sleep(1 / REQUESTS_PER_S)
    for thread in threads:
        thread.join()


def case(system, has_trouble):
    entry = system.add("catalog", "tpe-a")
    for number in range(2):
        system.add("catalog", ("txg-a", "khh-a")[number])
    for number in range(7):
        system.add("orders", ("tpe-a", "txg-a", "khh-a")[number % 3])
    leaving = system.machines[-1]
    leaving.heartbeats_to = (leaving.ip, system.first_port + 6)
    beats = relay.Relay(leaving.heartbeats_to, leaving.control, system.record)
    system.set_config(d.config("r1", ["catalog", "orders"], [
        d.path("orders", "unsafe", "orders")]))
    for machine in system.machines:
        machine.start_node()
        machine.start_endpoint(WORK_MS)
    system.wait_ready()
    time.sleep(5)
    is_over = threading.Event()
    clients = threading.Thread(target=send_requests,
                               args=(system, entry, is_over))
    clients.start()
    # One heartbeat comes late; the endpoint leaves in the meantime.
    beats.delay_s = LATE_S
    time.sleep(1.6)
    beats.delay_s = 0.0
    leaving.command("deregister")
    acknowledged_at = wait_for_deregistration(system, leaving)
    started_at = acknowledged_at
    if has_trouble:
        time.sleep(0.2)
        leaving.node.kill()
        leaving.node.wait()
        system.record("killed", node=leaving.name)
        time.sleep(d.RESTART_S)
        leaving.start_node()
        started_at = time.monotonic()
        system.record("started", node=leaving.name)
    time.sleep(max(0, acknowledged_at + d.DRAIN_S + LONGER_S -
                   time.monotonic()))
    leaving.endpoint.kill()
    leaving.endpoint.wait()
    system.record("exited", server=leaving.server_id)
    time.sleep(1)
    is_over.set()
    clients.join()
    # In touch again: ContactMs after its start.
    judged_from = max(acknowledged_at + d.DRAIN_S,
                      started_at + (d.CONTACT_S if has_trouble else 0))
    return judge(system, leaving, acknowledged_at, judged_from)


def wait_for_deregistration(system, machine):
    until = time.monotonic() + 3
    while time.monotonic() < until:
        for event in system.server_events():
            if event["what"] == "deregister" and \
                    event["server"] == machine.server_id:
                if event["status"] != 200:
                    raise d.CannotRun("no acknowledgement")
                return event["at"]
        time.sleep(0.02)
    raise d.CannotRun("no deregistration")


def judge(system, leaving, acknowledged_at, judged_from):
    runs = [e for e in system.server_events()
            if e["what"] == "run" and e["server"] == leaving.server_id]
    ended = {e["request"] for e in system.server_events()
             if e["what"] == "ended"}
    late = [e for e in runs if e["at"] > judged_from]
    cut = [e for e in runs if e["request"] not in ended]
    system.record("judged", acknowledged_at=acknowledged_at,
                  judged_from=round(judged_from, 3),
                  ran_before=len([e for e in runs
                                  if e["at"] < acknowledged_at]),
                  ran_too_late=len(late),
                  last_s=round(max((e["at"] - acknowledged_at for e in late),
                                   default=0), 3),
                  cut_at_exit=[e["request"] for e in cut])
    if not any(e["at"] < acknowledged_at for e in runs):
        raise d.CannotRun("the endpoint got no request before it left")
    return not late


d.run(case, os.path.join(HERE, "record.txt"))
