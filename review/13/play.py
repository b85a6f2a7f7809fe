"""A node is stopped on its own with SIGTERM. The endpoint beside it goes on
running a request, and makes calls through the node on one kept connection."""
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib3"))
from standins import *  # noqa: E402,F403

HOST = "orders.example"
TIMEOUT_MS = 5000
DEADLINE_MS = 10000
CALL_WORK_S = 0.95
CALLS = 5
# RULES, LOST: a request that was sent later than this after the SIGTERM is not
# excused by its endpoint being at work in the last sixth of GraceS.
EXCUSED_S = 3.0


def case(deployment, record, has_trouble):
    a = deployment.add("orders")
    others = [deployment.add("stores"), deployment.add("stores")]
    term_s, calls = [], []

    def run_parent(endpoint, run):
        if not run["path"].startswith("/order/"):
            return 0.02
        client = Client(a.address("outbound"))
        for number in range(CALLS):
            call = {"id": "%s.%d" % (run["id"], number), "sent": now()}
            calls.append(call)
            try:
                call["answer"] = client.call("GET", "/stock/hide", {
                    "Host": HOST, "Request-Id": call["id"], "Request-Deadline": DEADLINE_MS})
            except OSError as problem:
                call["answer"] = (None, {}, b"", False)
                record.write("call %s could not be sent: %r", call["id"], problem)
                run["status"] = "500 Internal Server Error"
                return 0
            call["answered"] = now()
            record.write("call %s: sent at %.3f, answered %s, signature %s", call["id"],
                         call["sent"], call["answer"][0],
                         call["answer"][1].get("response-signature"))
            if call["answer"][0] != 200:
                run["status"] = "500 Internal Server Error"
                break
        client.close()
        return 0

    deployment.configure(["orders", "stores"], [
        route("r-order", "/order/", "safe", "orders", TIMEOUT_MS),
        route("r-stock", "/stock/", "safe", "stores", TIMEOUT_MS)])
    for machine in deployment.machines:
        machine.start()
    Endpoint(a, work=run_parent)
    stores = [Endpoint(m, work=lambda endpoint, run: CALL_WORK_S) for m in others]
    if not deployment.wait_until_ready():
        return NOT_RUN
    time.sleep(6)  # all machines are in touch (ContactMs)

    if has_trouble:
        term_s.append(now())
        a.signal(signal.SIGTERM)
        record.write("SIGTERM to the node %s", a.name)
    threading.Thread(target=a.poll_ready, daemon=True).start()
    time.sleep(0.8)
    parent = new_id()
    record.write("request %s is sent to %s", parent, others[0].name)
    client = Client(others[0].address("outbound"))
    answer = client.call("GET", "/order/1", {"Host": HOST, "Request-Id": parent,
                                             "Request-Deadline": DEADLINE_MS})
    record.write("request %s: answered %s, signature %s", parent, answer[0],
                 answer[1].get("response-signature"))
    time.sleep(1.5)
    return judge(record, calls, stores, term_s)


def judge(record, calls, stores, term_s):
    runs = {run["id"]: run for endpoint in stores for run in endpoint.runs}
    broken = 0
    if not calls:
        return NOT_RUN
    for call in calls:
        run = runs.get(call["id"])
        if run is None or "answered" not in call:
            continue
        after_s = call["sent"] - term_s[0] if term_s else 0
        took_s = call["answered"] - call["sent"]
        is_own = call["answer"][0] is None or "response-signature" not in call["answer"][1]
        is_cut = is_own and (run["ended"] is None or run["ended"] > call["answered"])
        record.write("call %s: sent %.3f s after the SIGTERM, run at %s from %.3f to %s, %s",
                     call["id"], after_s, run["endpoint"], run["started"], run["ended"],
                     "cut after %.3f s" % took_s if is_cut else "answered in %.3f s" % took_s)
        in_time = took_s < TIMEOUT_MS / 1000 - 0.1
        if is_cut and in_time and (after_s > EXCUSED_S or not term_s):
            broken += 1
    record.write("%d calls were broken off while their endpoint was at work", broken)
    return BROKEN if broken else HELD


play(FOLDER, case)
