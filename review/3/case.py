"""A worker leaves as planned while a long task runs on it. See claim.txt."""
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib"))
from deployment import (BOUNDS, BROKEN, HELD, Deployment, Job, NotRun, Worker, in_thread,  # noqa: E402
                        overlaps, play)

RUN_MS = 6000
DEADLINE_MS = 20000
END_S = 0.01  # from the answer to DELETE to the end of the process and its runs


class LeavingWorker(Worker):
    """A worker that can leave as PROTOCOL.md describes it ("Service discovery")."""

    def leave(self):
        with self.changed:
            self.state = "draining"
        self.record.add(self.name, f"says that it drains: {self.send_heartbeat()}")
        time.sleep(BOUNDS["drain_ms"] / 1000 + 0.5)
        self.is_leaving = True
        self.record.add(self.name, f"DELETE: {self.say('DELETE')}")
        time.sleep(END_S)
        with self.changed:
            for task in list(self.active):
                self.finish(task, "ended with its worker")
            self.life = None
            self.closing = True
            self.changed.notify_all()
        self.record.add(self.name, "process ends")
        self.server.stop()

    is_leaving = False

    def is_beating(self):
        return not self.is_leaving


def case(has_trouble):
    with Deployment(entries=2, agents=3, worker=LeavingWorker) as it:
        job = Job(6, RUN_MS)
        thread = in_thread(it.submit, it.entries[0], job, DEADLINE_MS)
        time.sleep(1)
        loaded = max(it.workers, key=lambda worker: len(worker.active))
        if not loaded.active:
            raise NotRun("no task has started")
        if has_trouble:
            loaded.leave()
        thread.join(DEADLINE_MS / 1000 + 1)
        found = overlaps(it.all_runs())
        if found:
            return BROKEN, it, "TWICE broken: " + "; ".join(
                f"{first.task}: attempt {first.attempt} on {first.worker} until"
                f" {first.end - it.record.begin:.3f} s, attempt {second.attempt} on {second.worker} from"
                f" {second.begin - it.record.begin:.3f} s" for first, second in found)
        return HELD, it, f"held: {len(it.all_runs())} runs"


play(FOLDER, case)
