"""Workers restart under their ids while short jobs come. See claim.txt."""
import os
import random
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from deployment import (BOUNDS, BROKEN, HELD, Deployment, Job, NotRun, Server, Worker,  # noqa: E402
                        in_thread, overlaps, play)

LENGTH_S = 90
DOWN_S = 0.1        # from the end of a worker's process to the start of the next one
REGISTER_S = 0.02   # from the start of a process to its first heartbeat
BETWEEN_S = (0.5, 0.8)  # from one restart to the next one, of any worker
JOBS_EVERY_S = 0.3
RUN_MS = 100
DEADLINE_MS = 1500


class RestartingWorker(Worker):
    """A worker whose process can end and start again under the same id."""

    def restart(self):
        with self.changed:
            self.server.refuse()
            self.record.add(self.name, f"process {self.id} ends")
            for task in list(self.active):
                self.finish(task, "crashed")
            self.life = None
            self.changed.notify_all()
        self.server.stop()
        time.sleep(DOWN_S)
        with self.changed:
            self.begin_life()
            self.server = Server((self.ip, self.port), self.handle)
            self.record.add(self.name, f"process {self.id} starts, born {self.born}")
        time.sleep(REGISTER_S)
        self.record.add(self.name, f"heartbeat of {self.born}: {self.send_heartbeat()}")


def submit_until_done(it, job, n):
    """As clients do: a job without an answer, or with 502 or 504, comes again after resend_ms."""
    for attempt in range(3):
        answer = it.submit(it.entries[(n + attempt) % len(it.entries)], job, DEADLINE_MS)
        if answer and answer.status not in (502, 504):
            return
        time.sleep(BOUNDS["resend_ms"] / 1000)


def case(has_trouble):
    pick = random.Random(35)
    with Deployment(entries=2, agents=7, worker=RestartingWorker) as it:
        end = time.monotonic() + LENGTH_S
        stop = threading.Event()

        def restarts():
            while not stop.is_set():
                pick.choice(it.workers).restart()
                stop.wait(pick.uniform(*BETWEEN_S))

        if has_trouble:
            in_thread(restarts)
        threads = []
        n = 0
        while time.monotonic() < end:
            n += 1
            threads.append(in_thread(submit_until_done, it, Job(8, RUN_MS), n))
            time.sleep(JOBS_EVERY_S)
        stop.set()
        for thread in threads:
            thread.join(10)
        runs = it.all_runs()
        if not runs:
            raise NotRun("no task has run")
        found = overlaps(runs)
        text = "; ".join(
            f"{first.task}: attempt {first.attempt} on {first.worker} until {(first.end or time.monotonic()) - it.record.begin:.3f} s"
            f" ({first.how}), attempt {second.attempt} on {second.worker} from"
            f" {second.begin - it.record.begin:.3f} s" for first, second in found)
        if found:
            return BROKEN, it, f"TWICE broken {len(found)} times in {len(runs)} runs: {text}"
        return HELD, it, f"held: {len(runs)} runs of {n} jobs"


play(FOLDER, case)
