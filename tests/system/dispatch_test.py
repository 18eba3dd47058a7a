"""The dispatch roles as real processes: the whole path, shutdown, configuration, lost parts."""
import json
import os
import signal
import threading
import unittest

from dispatchfleet import GRACE_S, Caller, DispatchFleet, in_threads, overlapping_runs, untrue_answers
from fleet import http, metric, wait_until


class DispatchTest(unittest.TestCase):
    def setUp(self):
        self.fleet = DispatchFleet()
        self.addCleanup(self.fleet.stop)
        self.fleet.wait_ready()
        self.jobs = []

    def tearDown(self):
        self.assertEqual(overlapping_runs(self.fleet.history), [])
        self.assertEqual(untrue_answers(self.fleet.history, self.jobs), [])
        self.assertEqual([it.overbooked for it in self.fleet.workers if it.overbooked], [])

    def submit(self, count=1, entry=None, **fields):
        """Answers of that many jobs, sent one after the other."""
        caller = Caller(self.fleet, seed=1)
        if entry:
            caller.connect(entry)
        batch = [self.fleet.make_job(**fields) for _ in range(count)]
        self.jobs += batch
        try:
            return [caller.submit_once(it) for it in batch]
        finally:
            caller.close()

    def keep_submitting(self, callers, until, **fields):
        """Starts callers that send one job after the other until the event is set."""
        def work(seed):
            caller = Caller(self.fleet, seed)
            while not until.is_set():
                job = self.fleet.make_job(**fields)
                self.jobs.append(job)
                caller.submit(job)
            caller.close()
        return in_threads([lambda seed=n: work(seed) for n in range(callers)])

    def wait_answers(self, count=50):
        """Until that many more answers have come."""
        def answered():
            return sum(it.answer is not None for job in list(self.jobs) for it in job.submissions)
        before = answered()
        wait_until("answers", lambda: answered() >= before + count)

    # Every task of every job runs once, and the answer says so.
    def test_the_whole_path(self):
        for entry in self.fleet.entries:
            answers = self.submit(20, entry, tasks=4, run_ms=20)
            self.assertEqual({it.state for it in answers}, {"completed"})
        self.assertEqual(len(self.fleet.history), 160)

    # A task that fails as often as its queue allows ends the job; one that fails less is repeated.
    def test_failing_tasks(self):
        self.assertEqual(self.submit(1, tasks=1, fails=2)[0].state, "completed")
        self.assertEqual(self.submit(1, tasks=1, fails=5)[0].state, "failed")

    # Guards against taking all workers for slow, and so refusing everything, where it is the
    # expected run times that are wrong.
    def test_runs_of_very_different_length_in_one_queue(self):
        answers = []
        for run_ms in (10, 10, 900, 10, 10, 900, 10, 10, 10, 900) * 2:
            answers += self.submit(1, tasks=4, run_ms=run_ms, cpu=250)
        self.assertEqual([it.state for it in answers], ["completed"] * 20)

    # What is not built is refused by name, and nothing of it starts.
    def test_an_unsupported_job_is_refused(self):
        job = self.fleet.make_job()
        body = json.loads(job.body)
        body["phases"][0]["gang"] = True
        job.body = json.dumps(body)
        caller = Caller(self.fleet, seed=1)
        self.assertEqual(caller.submit_once(job).status, 400)
        caller.close()
        self.assertEqual(self.fleet.history, [])

    # Around SIGTERM no answer is lost: callers use their open connections until they are told.
    def test_shutdown_of_an_entry_loses_no_answer(self):
        stop = threading.Event()
        threads = self.keep_submitting(8, stop, tasks=2, run_ms=60)
        self.wait_answers()
        entry = self.fleet.entries[0]
        entry.process.send_signal(signal.SIGTERM)
        seconds = wait_until("end of the entry", lambda: not entry.is_running(), limit=GRACE_S)
        self.assertLess(seconds, GRACE_S)
        self.assertEqual(entry.process.returncode, 0)
        stop.set()
        for it in threads:
            it.join(20)
        unanswered = [it for job in self.jobs for it in job.submissions if it.answer is None]
        self.assertEqual(unanswered, [])

    # An agent that stops or dies costs its own tasks a repeat, no job its answer.
    def test_agents_that_stop_and_die(self):
        stop = threading.Event()
        threads = self.keep_submitting(6, stop, tasks=2, run_ms=60)
        for number in (signal.SIGTERM, signal.SIGKILL):
            self.wait_answers()
            agent = self.fleet.agents[0]
            agent.process.send_signal(number)
            wait_until("end of the agent", lambda it=agent: not it.is_running(), limit=GRACE_S)
            self.fleet.start(agent)
        self.wait_answers()
        stop.set()
        for it in threads:
            it.join(20)
        self.assertEqual({it.answer().state for it in self.jobs if it.answer().status == 200},
                         {"completed"})
        self.fleet.wait_ready()
        wait_until("room at the restarted agent", lambda: self.submit(1)[0].state == "completed")

    # Agents wait longer and longer before they dial a lost entry again. Guards against an entry that
    # is back and refuses jobs for want of agents: the others tell their agents of it.
    def test_an_entry_that_is_back_has_its_agents_soon(self):
        entry = self.fleet.entries[0]
        for _ in range(3):
            dials = self.fleet.accepted("link1")
            self.fleet.kill(entry)
            # Five by each agent and three by the other entry: by then each agent pauses for 1 s.
            wait_until("dials", lambda n=dials: self.fleet.accepted("link1") >= n + 18)
            self.fleet.start(entry)
            wait_until("start", lambda: http("GET", entry.metrics, "/metrics", timeout=1))
            seconds = wait_until("agents", lambda: metric(
                entry.metrics, "cactuscove_up_members") == len(self.fleet.agents))
            self.assertLess(seconds, 0.3)

    # A new version is in force at every entry within its bound, and again after a restart.
    def test_configuration(self):
        self.assertEqual(self.submit(1, queue="later")[0].status, 404)
        self.fleet.apply_config(["later"])
        for entry in self.fleet.entries:
            seconds = wait_until("new queue", lambda it=entry: self.submit(
                1, it, queue="later")[0].state == "completed", limit=2)
            self.assertLess(seconds, 2)
        self.fleet.kill(self.fleet.entries[0])
        self.fleet.start(self.fleet.entries[0])
        wait_until("queue after the restart", lambda: (
            self.submit(1, self.fleet.entries[0], queue="later")[0] or (0, "", ""))[1] == "completed")

    # A signal that comes while the process starts is handled once it runs.
    def test_a_signal_during_the_start(self):
        entry = self.fleet.entries[0]
        self.fleet.kill(entry)
        with open(entry.settings, encoding="utf-8") as file:
            settings = file.read()
        entry.settings += ".pipe"
        os.mkfifo(entry.settings)
        self.fleet.start(entry)
        with open(entry.settings, "w", encoding="utf-8") as pipe:  # waits for the reader
            entry.process.send_signal(signal.SIGTERM)
            pipe.write(settings)
        self.assertEqual(entry.process.wait(GRACE_S), 0)

    # Flags that are wrong are named, and the process does not start.
    def test_wrong_flags(self):
        entry = self.fleet.entries[0]
        self.fleet.kill(entry)
        entry.settings = entry.settings + ".missing"
        self.fleet.start(entry)
        self.assertEqual(entry.process.wait(5), 2)
        self.assertIn("cannot be read", self.fleet.log_of(entry))


if __name__ == "__main__":
    unittest.main()
