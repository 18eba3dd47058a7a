"""System test of workers that leave as planned while tasks run on them, and of how long these wait.

The workers close their listener, their connections and their process in different orders. After each
test, no task may have run twice at the same time.
"""
import signal
import time
import unittest

import dispatch_test
from dispatchfleet import Caller, DispatchFleet, in_threads, waits_after
from fleet import wait_until
from platformstandin import Shutdown

DRAIN_S = 2.3  # a little longer than drain_ms in the settings
SUSPENSION_S = 0.35  # longer than any pause of an agent that runs, and shorter than a lease
TASK_MS = 4000  # longer than any worker here drains
DEADLINE_MS = 15000

SHUTDOWNS = [
    Shutdown(listener=0, connections=0, process=0.25),
    Shutdown(listener=0, connections=0.1, process=0.6),
    Shutdown(listener=0.1, connections=0, process=0.4),
    Shutdown(listener=0, connections=1, process=0.3),
    Shutdown(listener=0, connections=0, process=0),
]


class LeaveTest(dispatch_test.DispatchCase):
    """Workers on the machines of their agents."""

    def make_fleet(self):
        return DispatchFleet(local_workers=True)

    def submit_long(self):
        """Submits a job of long tasks and returns its thread once they run, and its answers."""
        job = self.fleet.make_job(tasks=6, run_ms=TASK_MS)
        self.jobs.append(job)
        answers = []

        def submit():
            caller = Caller(self.fleet, seed=1)
            answers.append(caller.submit_once(job, deadline_ms=DEADLINE_MS))
            caller.close()

        thread = in_threads([submit])[0]
        wait_until("runs", lambda: sum(len(it.active) for it in self.fleet.workers) == 6)
        return thread, answers

    def busiest(self):
        """The worker that runs the most tasks."""
        return max(self.fleet.workers, key=lambda it: len(it.active))

    def show_waits(self, name, how="left"):
        """Prints the times from the ends of runs with their worker to the next starts."""
        waits = [1000 * it for it in waits_after(self.fleet.history, how)]
        print(f"{name}: next start of {len(waits)} tasks after " +
              ", ".join(f"{it:.0f}" for it in waits) + " ms", flush=True)

    # Guards against a task that starts elsewhere while a worker that shuts down still runs it.
    def test_no_shutdown_doubles_a_run(self):
        for shutdown in SHUTDOWNS:
            with self.subTest(shutdown=shutdown):
                thread, answers = self.submit_long()
                self.busiest().shut_down(DRAIN_S, shutdown)
                thread.join()
                self.assertEqual(answers[0].state, "completed")
        self.show_waits("leave")
        self.show_waits("leave, lease over before the end", "lapsed")

    # The same for two workers at once, one of whose DELETEs is lost.
    def test_shutdowns_at_once_double_no_run(self):
        thread, answers = self.submit_long()
        for it in in_threads([
                lambda: self.fleet.workers[0].shut_down(DRAIN_S, SHUTDOWNS[0]),
                lambda: self.fleet.workers[1].shut_down(DRAIN_S, SHUTDOWNS[1], says_delete=False)]):
            it.join()
        thread.join()
        self.assertEqual(answers[0].state, "completed")

    # Guards against an agent that takes a shutdown for a crash because it was suspended while the
    # worker said that it leaves and closed its listener.
    def test_a_shutdown_that_a_suspended_agent_misses_doubles_no_run(self):
        for shutdown in SHUTDOWNS[:2]:
            with self.subTest(shutdown=shutdown):
                thread, _ = self.submit_long()
                worker = self.busiest()
                agent = self.fleet.agents[self.fleet.workers.index(worker)]
                leaving = in_threads([lambda it=worker, how=shutdown: it.shut_down(DRAIN_S, how)])[0]
                time.sleep(DRAIN_S - SUSPENSION_S)
                agent.process.send_signal(signal.SIGSTOP)
                time.sleep(SUSPENSION_S)
                wait_until("leave", lambda it=worker: it.state is None)
                agent.process.send_signal(signal.SIGCONT)
                leaving.join()
                thread.join()

    # The same for an agent that is killed and starts again while the worker drains.
    def test_a_shutdown_beside_a_restart_of_the_agent_doubles_no_run(self):
        for before_s in (1.5, 0.3, 0.1):
            with self.subTest(before_s=before_s):
                thread, _ = self.submit_long()
                worker = self.busiest()
                agent = self.fleet.agents[self.fleet.workers.index(worker)]
                leaving = in_threads([lambda it=worker: it.shut_down(DRAIN_S, SHUTDOWNS[1])])[0]
                time.sleep(DRAIN_S - before_s)
                self.fleet.kill(agent)
                self.fleet.start(agent)
                leaving.join()
                thread.join()
                self.fleet.wait_ready()

    # Guards against tasks of a crashed worker that wait for as long as those of one that shuts down.
    def test_the_tasks_of_a_crashed_worker_start_elsewhere_at_once(self):
        for _ in range(5):
            thread, answers = self.submit_long()
            self.busiest().crash_with_connections()
            thread.join()
            self.assertEqual(answers[0].state, "completed")
        self.show_waits("crash", "crashed")


if __name__ == "__main__":
    unittest.main()
