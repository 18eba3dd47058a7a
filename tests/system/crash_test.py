"""System test of tasks that crash their workers, and of workers whose capacity changes."""
import time
import unittest

from dispatch_test import DispatchCase
from dispatchfleet import RESUBMIT_S, Caller, crashes_of, in_threads
from fleet import wait_until

MAX_CRASHES = 3  # of workers under one task; after that it must not start again
AWAY_S = 6       # longer than a capacity may be used without a new report of it


class CrashTest(DispatchCase):
    """Workers that are back at once after a crash."""

    def tearDown(self):
        super().tearDown()
        too_often = {task: n for task, n in crashes_of(self.fleet.history).items() if n > MAX_CRASHES}
        self.assertEqual(too_often, {})

    # Guards against a task that crashes its workers for as long as its caller waits.
    def test_a_task_that_crashes_its_workers_is_given_up(self):
        job = self.fleet.make_job(tasks=1, crashes=True)
        self.jobs.append(job)
        caller = Caller(self.fleet, seed=1)
        answer = caller.submit_once(job, deadline_ms=15000)
        caller.close()
        self.assertEqual((answer.status, answer.state), (200, "failed"))
        self.assertLess(job.submissions[0].answered - job.submissions[0].sent, 5)

    # Guards against a count that ends with a submission, or with the entry that it went to.
    def test_crashes_count_over_submissions_and_entries(self):
        job = self.fleet.make_job(tasks=1, crashes=True)
        self.jobs.append(job)
        for n, entry in enumerate(self.fleet.entries * 3):
            caller = Caller(self.fleet, seed=n)
            caller.connect(entry)
            answer = caller.submit_once(job, deadline_ms=400)
            caller.close()
            if answer and answer.status == 200:
                break
            self.fleet.kill(entry)
            self.fleet.start(entry)
            time.sleep(RESUBMIT_S)
            wait_until("entry", lambda it=entry: self.fleet.is_ready(it))
        self.assertEqual((answer.status, answer.state), (200, "failed"))
        for entry in self.fleet.entries:
            caller = Caller(self.fleet, seed=0)
            caller.connect(entry)
            answer = caller.submit_once(job)
            caller.close()
            self.assertEqual((answer.status, answer.state), (200, "failed"), entry.name)

    # Guards against sound jobs that are given up with a task that crashes their workers, or lost.
    def test_jobs_beside_a_crashing_task_complete(self):
        crashing = [self.fleet.make_job(tasks=2, crashes=True) for _ in range(4)]
        sound = [self.fleet.make_job(tasks=2, run_ms=150, queue="bulk") for _ in range(30)]
        self.jobs += crashing + sound
        threads = in_threads([lambda it=job, n=n: self.submit_until_answered(it, n)
                              for n, job in enumerate(crashing + sound)])
        for it in threads:
            it.join(60)
        self.assertEqual({it.answer().state for it in sound}, {"completed"})
        self.assertEqual({it.answer().state for it in crashing}, {"failed"})

    def submit_until_answered(self, job, seed):
        """Sends the job until the answer is its result, also after refusals."""
        caller = Caller(self.fleet, seed)
        for _ in range(40):
            answer = caller.submit_once(job)
            if answer and answer.status == 200:
                break
            time.sleep(0.3 if answer and answer.status == 503 else RESUBMIT_S)
        caller.close()


class CapacityTest(DispatchCase):
    """Agents that know their worker by its record in the store."""

    environment = {"CACTUSCOVE_WORKER_RECORDS": "on"}

    # Guards against a restarted agent that starts tasks by the capacity of a record from before the
    # worker's capacity shrank.
    def test_a_capacity_that_shrank_while_its_agent_was_away(self):
        for agent in self.fleet.agents:
            self.fleet.kill(agent)
        for worker in self.fleet.workers:
            worker.heartbeat_s = 60
            worker.set_capacity(500)
        time.sleep(AWAY_S)
        for agent in self.fleet.agents:
            self.fleet.start(agent)
        wait_until("agents", lambda: all(self.fleet.is_ready(it) for it in self.fleet.entries))
        for _ in range(10):
            self.submit(2, tasks=3, run_ms=100)
            time.sleep(0.1)


if __name__ == "__main__":
    unittest.main()
