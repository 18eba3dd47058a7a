"""A worker ends while it answers a start, and starts again; its caller is told that nothing ran."""
import os
import sys
import threading
import time
import traceback

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib-2"))
from fleet import Fleet  # noqa: E402

WORKERS = 8      # one of them is 0.125 of the service; srv_crash takes 0.14 at most
DOWN_S = 0.6     # srv_crash: for_s is 4.5 at most
CPU = 4000       # of each worker, in thousandths of a core; a task takes 3100
JOBS = 10        # one after the other


def main():
    trouble = os.environ.get("TROUBLE", "1") != "0"
    with open(os.path.join(HERE, "record.txt"), "w", encoding="utf-8") as record:
        # Workers 1 to 7 are of the kind "a", worker 8 of the kind "b", which the jobs ask for.
        fleet = Fleet(record, workers=WORKERS, cpu=CPU,
                      labels=lambda n: ("b" if n == WORKERS else "a"))
        try:
            if not fleet.wait_ready():
                fleet.say("the fleet did not become ready")
                return 2
            broken = sum(one_job(fleet, trouble) for _ in range(JOBS))
            fleet.say(f"{broken} of {JOBS} jobs were rejected although a task of them had started")
            return 1 if broken else 0
        finally:
            fleet.stop()


def one_job(fleet, trouble):
    """Submits a job of one task. Returns whether it was rejected although its task had started."""
    job = fleet.new_id()
    spec = {"run_ms": 200, "cpu": 3100}
    if trouble:
        spec["crash"] = os.path.join(fleet.directory, job)
    done = []
    caller = threading.Thread(target=lambda: done.append(
        fleet.call("POST", 1, job, fleet.job_body(spec, constraints="b"))))
    caller.start()
    worker = fleet.workers[WORKERS - 1]
    if trouble:
        worker.wait(timeout=5)
        fleet.say("worker 8 has ended")
        time.sleep(DOWN_S)
        fleet.workers[WORKERS - 1] = fleet.start_worker(WORKERS)
    caller.join()
    time.sleep(3)  # the new worker has registered, and everything of the job has ended
    status = done[0][0]
    starts = [it for it in fleet.events(job) if it["event"] == "start"]
    fleet.say(f"job {job}: answer {status}, starts {starts}")
    return status in (404, 429, 503) and bool(starts)


try:
    STATUS = main()
except Exception:  # pylint: disable=broad-except
    traceback.print_exc()
    STATUS = 2
sys.exit(STATUS)
