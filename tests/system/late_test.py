"""System test of starts that get no answer and are carried out later, by the worker's next process.

The start is due while its worker is down, so it arrives in the first instant of the next process, which
has the same id. After each test, no task may have run twice at the same time.
"""
import signal
import time
import unittest

import dispatch_test
from dispatchfleet import Caller, DispatchFleet, in_threads, runs_of, waits_after
from fleet import wait_until
from platformstandin import Shutdown

TASK_MS = 3000
DEADLINE_MS = 12000
DOWN_S = 2.5  # the start is held back for less
SUSPENDED_S = 0.5  # for which the agent stays suspended while its worker runs the late start


class LateTest(dispatch_test.DispatchCase):
    """Workers on the machines of their agents; one job of one task at a time."""

    def make_fleet(self):
        return DispatchFleet(local_workers=True)

    def begin(self, late_starts, entry=None, deadline_ms=DEADLINE_MS):
        """Submits a job whose first starts get no answer. Returns its worker, thread and answers."""
        for it in self.fleet.workers:
            it.late_starts = late_starts
        job = self.fleet.make_job(tasks=1, run_ms=TASK_MS)
        self.jobs.append(job)
        answers = []

        def submit():
            caller = Caller(self.fleet, seed=1)
            if entry:
                caller.connect(entry)
            answers.append(caller.submit_once(job, deadline_ms=deadline_ms))
            caller.close()

        thread = in_threads([submit])[0]
        wait_until("late start", lambda: any(it.late for it in self.fleet.workers))
        worker = next(it for it in self.fleet.workers if it.late)
        if late_starts == 1:
            wait_until("run", lambda: worker.active)
        for it in self.fleet.workers:
            if it is not worker:
                it.late_starts = 0
        return worker, thread, answers

    def agent_of(self, worker):
        return self.fleet.agents[self.fleet.workers.index(worker)]

    def crash(self, worker, down_s=DOWN_S):
        worker.late_starts = 0
        worker.crash_with_connections(down_s, keeps_id=True)

    # Guards against a task that starts elsewhere after a crash while the late start runs it as well;
    # and against a task that is lost although its worker is back in time.
    def test_a_crash_before_the_start_arrives(self):
        for late_starts in (1, 1000):
            with self.subTest(late_starts=late_starts):
                worker, thread, answers = self.begin(late_starts)
                wait_until("repeat", lambda n=late_starts, it=worker: n == 1 or len(it.late) > 1)
                self.crash(worker)
                thread.join()
                self.assertEqual(answers[0].state, "completed")
                self.assertEqual({it.worker for it in runs_of(self.fleet.history, self.jobs[-1])},
                                 {worker.id})

    # The same for a worker that leaves as planned.
    def test_a_leave_before_the_start_arrives(self):
        worker, thread, _ = self.begin(1)
        worker.shut_down(0.2, Shutdown(0, 0, 0), down_s=DOWN_S, keeps_id=True)
        thread.join()

    # The same while the agent beside the worker is killed and starts again.
    def test_a_restart_of_the_agent_before_the_start_arrives(self):
        for late_starts in (1, 1000):
            with self.subTest(late_starts=late_starts):
                worker, thread, _ = self.begin(late_starts)
                agent = self.agent_of(worker)
                self.fleet.kill(agent)
                self.crash(worker)
                self.fleet.start(agent)
                thread.join()
                self.fleet.wait_ready()

    # The same while the agent is suspended as the worker comes back.
    def test_a_suspension_of_the_agent_as_the_start_arrives(self):
        worker, thread, _ = self.begin(1)
        agent = self.agent_of(worker)
        crashing = in_threads([lambda: self.crash(worker)])[0]
        time.sleep(DOWN_S - 0.2)
        agent.process.send_signal(signal.SIGSTOP)
        crashing.join()
        wait_until("run of the late start", lambda: worker.active)
        time.sleep(SUSPENDED_S)
        agent.process.send_signal(signal.SIGCONT)
        thread.join()

    # The same after the loss of the entry: the caller sends its job again to another one.
    def test_a_job_that_is_sent_again_before_the_start_arrives(self):
        entry, other = self.fleet.entries
        worker, thread, _ = self.begin(1, entry)
        crashing = in_threads([lambda: self.crash(worker)])[0]
        time.sleep(0.3)
        self.fleet.kill(entry)
        thread.join()
        time.sleep(1.3)  # the caller's pause
        caller = Caller(self.fleet, seed=2)
        caller.connect(other)
        answer = caller.submit_once(self.jobs[-1], deadline_ms=DEADLINE_MS)
        caller.close()
        crashing.join()
        self.assertEqual(answer.state, "completed")
        self.fleet.start(entry)

    # Guards against a caller that waits until its deadline although its task would end too late.
    def test_a_caller_is_answered_once_its_worker_would_be_too_late(self):
        deadline_s = 6.0
        begin = time.monotonic()
        worker, thread, answers = self.begin(1, deadline_ms=int(1000 * deadline_s))
        crashing = in_threads([lambda: self.crash(worker, down_s=deadline_s)])[0]
        thread.join()
        self.assertLess(time.monotonic() - begin, deadline_s)
        self.assertEqual(answers[0].status, 504)
        crashing.join()
        log = "".join(self.fleet.log_of(it) for it in self.fleet.entries)
        self.assertEqual(log.count("reason=start_unanswered"), 1)

    # Guards against tasks that wait although all their starts were answered.
    def test_a_crash_without_a_late_start(self):
        for _ in range(5):
            job = self.fleet.make_job(tasks=4, run_ms=TASK_MS)
            self.jobs.append(job)
            caller = Caller(self.fleet, seed=1)
            thread = in_threads([lambda it=job: caller.submit_once(it, deadline_ms=DEADLINE_MS)])[0]
            wait_until("runs", lambda: sum(len(it.active) for it in self.fleet.workers) == 4)
            time.sleep(0.1)
            max(self.fleet.workers, key=lambda it: len(it.active)).crash_with_connections()
            thread.join()
            caller.close()
        waits = [1000 * it for it in waits_after(self.fleet.history, "crashed")]
        print("crash: next start after " + ", ".join(f"{it:.0f}" for it in waits) + " ms", flush=True)


if __name__ == "__main__":
    unittest.main()
