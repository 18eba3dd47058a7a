"""TWICE: a task runs on two workers at once when the first of them leaves as planned."""
import os
import sys
import threading
import time

sys.dont_write_bytecode = True
FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-3"))

from deployment import Worker, overlapping_runs, require, run_case, show, write_runs  # noqa: E402

IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
JOB = "5c0e7a21d94b36f8"
TASKS = 6
RUN_MS = 5000
DEADLINE_MS = 12000
LEAVE_AT_S = 0.5   # after the submission
DRAIN_S = 3.0      # drain_ms is 2 s; "and a little longer (at times many seconds)"
SHUTDOWN_S = 0.25  # from the end of the worker's interface to the end of its process


class LeavingWorker(Worker):
    """Shuts down like any server: it closes its listener and its connections, and then ends."""

    is_closed = False

    def handle(self, method, path, query, headers, body):
        return None if self.is_closed else super().handle(method, path, query, headers, body)

    def leave_for_good(self, record):
        with self.changed:
            self.state = "draining"
        self.send_heartbeat()
        record.write(f"{self.id} has said that it drains")
        time.sleep(DRAIN_S)
        with self.changed:
            self.state = None
        self.say("DELETE", self.id)
        record.write(f"{self.id} has sent DELETE, and closes its listener and its connections")
        self.is_closed = True
        self.server.stop()
        time.sleep(SHUTDOWN_S)
        with self.changed:
            for task in list(self.active):
                self.end(task, "ended with the worker")
            self.is_closing = True
            self.changed.notify_all()
        record.write(f"the process of {self.id} has ended, and what ran on it")

    def stop(self):
        if not self.is_closed:
            super().stop()


def play(deployment, record):
    answers = []

    def submit():
        record.write(f"POST of job {JOB}: {TASKS} tasks of {RUN_MS} ms, Deadline-Ms {DEADLINE_MS}")
        answers.append(deployment.submit(deployment.entries[0], JOB, TASKS, RUN_MS, DEADLINE_MS))
        record.write(f"answer to the POST of job {JOB}: {show(answers[0])}")

    thread = threading.Thread(target=submit)
    thread.start()
    time.sleep(LEAVE_AT_S)
    active = deployment.active()
    require(active, "no task runs")
    if IS_TROUBLED:
        worker = next(it for it in deployment.workers if it.id == active[0][0])
        worker.leave_for_good(record)
    thread.join()
    time.sleep(0.5)
    write_runs(record, deployment.history)
    require(IS_TROUBLED or (answers[0] and answers[0].status == 200),
            "the job was not served without the disruption")
    twice = overlapping_runs(deployment.history)
    for first, second in twice:
        record.write(f"BROKEN: {first.task} ran on {first.worker} and, "
                     f"{1000 * (min(first.end, second.end) - second.begin):.0f} ms of it at the same "
                     f"time, on {second.worker}")
    record.write("TWICE broken" if twice else "TWICE held")
    return 1 if twice else 0


run_case(FOLDER, play, entries=2, sides=3, cpu=4000, worker=LeavingWorker)
