"""Checks that two builds of the program work together. Run by hand; CI does not run it.

    compatibility.py OLD NEW        directories that contain a `cactuscove` binary each

The stand-ins are taken from CACTUSCOVE_BIN. Three cases, for stored jobs (StoredJobs) and for
best-effort jobs (BestEffortJobs):

- Entries of one build with agents of the other, both ways round: all jobs complete, and no process
  loses a connection or refuses a message or record.
- Rolling replacement of all processes of OLD by processes of NEW under load: no answer is lost.
- Data of OLD that NEW reads: records, snapshot and configuration in the log; for best-effort jobs
  the settings files and the records in the store, as part of the rolling replacement.
"""
import json
import os
import signal
import sys
import threading
import time
import unittest

import dispatchfleet
from dispatchfleet import (Caller, DispatchFleet, in_threads, overlapping_runs, untrue_answers)
from fleet import Fleet, FleetTest, http, job, submit, wait_until

OLD = NEW = ""  # absolute paths of the two directories
MAX_SUBMISSIONS = 40  # of one job
RESUBMIT_PAUSE_S = 0.1
RECORDS = "/streams/cactuscove/records?from=0&limit=1000"
# Log events that show a record or a connection that one build could not read or keep.
LOST_RECORDS = ("log_record_skipped", "snapshot_refused")
LOST_LINKS = ("agent_lost", "entry_lost", "job_invalid", "heartbeat_refused", "config_unreadable")


class MixedFleet(Fleet):
    """A fleet that starts entries and agents from the directories in `builds`."""

    def __init__(self, entry, agent, **options):
        self.builds = {"entry": entry, "agent": agent}
        super().__init__(**options)

    def start(self, kind, *command):
        if command[0] == "cactuscove":
            command = (os.path.join(self.builds[kind], command[0]), *command[1:])
        return super().start(kind, *command)


class MixedDispatchFleet(DispatchFleet):
    """The same for the dispatch roles; `builds` may change between starts."""

    def __init__(self, entry, agent, **options):
        self.builds = {"entry": entry, "agent": agent}
        super().__init__(**options)

    def start(self, it):
        dispatchfleet.BIN = self.builds[it.role]
        super().start(it)


class Load:
    """Callers that submit one job after the other.

    A job that is not completed is submitted again at the next entry. A job ends as failed after an
    unknown outcome or MAX_SUBMISSIONS submissions.
    """

    def __init__(self, fleet, callers=6):
        self.fleet = fleet
        self.stop = threading.Event()
        self.completed = []  # (body, reply)
        self.failed = []
        self.threads = in_threads([lambda seed=n: self._work(seed) for n in range(callers)])

    def _work(self, seed):
        turn = seed
        while not self.stop.is_set():
            body = job(tasks=3, run_ms=40)
            for _ in range(MAX_SUBMISSIONS):
                entries = self.fleet.live(self.fleet.entries)
                turn += 1
                reply = submit(entries[turn % len(entries)], body)
                if reply and reply.status == 200 and reply.body.get("outcome") == "completed":
                    self.completed.append((body, reply))
                    break
                if reply and reply.body.get("outcome") == "unknown":
                    self.failed.append((body, reply))
                    break
                time.sleep(RESUBMIT_PAUSE_S)
            else:
                self.failed.append((body, reply))

    def wait_more(self, count=40):
        before = len(self.completed)
        wait_until("answers", lambda: len(self.completed) >= before + count)

    def end(self):
        self.stop.set()
        for it in self.threads:
            it.join(60)


class StoredJobs(FleetTest):
    def make_fleet(self):
        return MixedFleet(OLD, OLD, options=["--log-retention-s=60"])

    def use(self, entry, agent):
        self.fleet.stop()
        self.fleet = MixedFleet(entry, agent, options=["--log-retention-s=60"])
        self.addCleanup(self.fleet.stop)
        self.assertEqual(self.fleet.apply()[0], 0)
        self.fleet.wait_revision(1)

    def check_logs(self):
        for it in self.fleet.processes:
            for event in LOST_RECORDS:
                self.assertNotIn(f"event={event}", it.log(), it.name)
            reply = http("GET", it.address, "/metrics") if it.child.poll() is None else None
            for line in reply.body.splitlines() if reply and isinstance(reply.body, str) else []:
                if line.startswith("cactuscove_peer_calls_total{") and 'result="error"' in line:
                    self.assertEqual(float(line.rsplit(" ", 1)[1]), 0, f"{it.name}: {line}")

    def check_jobs(self, count=20):
        for entry in self.fleet.live(self.fleet.entries):
            for _ in range(count):
                body = job(tasks=4, run_ms=10)
                self.assert_completed(body, submit(entry, body))
        self.assert_started_at_most_once()

    # Guards against messages that only processes of the same build understand.
    def test_entries_of_one_build_agents_of_the_other(self):
        for entry, agent in ((OLD, NEW), (NEW, OLD)):
            self.use(entry, agent)
            self.check_jobs()
            self.check_logs()

    # Guards against jobs that fail because their home or entry is replaced by another build.
    def test_rolling_replacement(self):
        load = Load(self.fleet)
        load.wait_more()
        self.fleet.builds = {"entry": NEW, "agent": NEW}
        for it in list(self.fleet.agents):
            self.fleet.add_worker()
            self.fleet.wait_ready()
            self.leave(it)
            load.wait_more()
        for it in list(self.fleet.entries):
            self.fleet.entries.append(self.fleet.start_entry())
            self.fleet.wait_ready()
            self.leave(it)
            load.wait_more()
        load.end()
        self.assertEqual(load.failed, [])
        for body, reply in load.completed:
            self.assert_completed(body, reply)
        self.assert_started_at_most_once()
        self.check_logs()
        print(f"rolling replacement: {len(load.completed)} jobs completed", file=sys.stderr)

    def leave(self, process):
        process.signal(signal.SIGTERM)
        wait_until(f"end of {process.name}", lambda: process.child.poll() is not None, limit=60)
        self.assertEqual(process.child.returncode, 0)

    # Guards against records or a snapshot of the old build that the new one reads differently. Only
    # the last 3 records are left in the log, so that a new process has to start from the snapshot.
    def test_a_log_that_the_old_build_wrote(self):
        self.check_jobs(5)
        old = self.fleet.entries + self.fleet.agents
        config = http("GET", self.fleet.entries[0].address, "/v1/config").body
        wait_until("snapshot", lambda: any(
            json.loads(it["body"])["type"] == "snapshot" and "hollisdale" in it["body"]
            for it in http("GET", self.fleet.log.address, RECORDS).body["records"]))
        http("PUT", self.fleet.log.address, "/faults", {"retain": 3})
        self.fleet.builds = {"entry": NEW, "agent": NEW}
        for _ in range(2):
            self.fleet.entries.append(self.fleet.start_entry())
            self.fleet.wait_revision(1, self.fleet.entries[-1:])
        for _ in range(3):
            self.fleet.add_worker()
        self.fleet.wait_ready()
        for it in old:
            self.leave(it)
        self.fleet.wait_ready()
        entry = self.fleet.live(self.fleet.entries)[0]
        self.assertEqual(http("GET", entry.address, "/v1/config").body, config)
        self.check_jobs(5)
        self.check_logs()


class BestEffortJobs(unittest.TestCase):
    fleet = None

    def use(self, entry, agent):
        if self.fleet:
            self.fleet.stop()
        self.fleet = MixedDispatchFleet(entry, agent)
        self.addCleanup(self.fleet.stop)
        self.fleet.wait_ready()
        self.jobs = []

    def check_history(self):
        self.assertEqual(overlapping_runs(self.fleet.history), [])
        self.assertEqual(untrue_answers(self.fleet.history, self.jobs), [])
        self.assertEqual([it.overbooked for it in self.fleet.workers if it.overbooked], [])

    # Guards against messages that only processes of the same build understand.
    def test_entries_of_one_build_agents_of_the_other(self):
        for entry, agent in ((OLD, NEW), (NEW, OLD)):
            self.use(entry, agent)
            for it in self.fleet.entries:
                caller = Caller(self.fleet, seed=1)
                caller.connect(it)
                for _ in range(30):
                    self.jobs.append(self.fleet.make_job(tasks=4, run_ms=20))
                    self.assertEqual(caller.submit_once(self.jobs[-1]).state, "completed")
                caller.close()
            self.check_history()
            for it in self.fleet.entries + self.fleet.agents:
                for event in LOST_LINKS:
                    self.assertNotIn(f"event={event}", self.fleet.log_of(it), it.name)

    # Guards against answers that are lost while processes are replaced. The settings files and the
    # records of entries in the store are those that the old build has used.
    def test_rolling_replacement(self):
        self.use(OLD, OLD)
        stop = threading.Event()

        def work(seed):
            caller = Caller(self.fleet, seed)
            while not stop.is_set():
                self.jobs.append(it := self.fleet.make_job(tasks=2, run_ms=60))
                caller.submit(it)
            caller.close()

        def answers():
            return sum(it.answer() is not None for it in list(self.jobs))

        threads = in_threads([lambda seed=n: work(seed) for n in range(6)])
        self.fleet.builds = {"entry": NEW, "agent": NEW}
        for it in self.fleet.entries + self.fleet.agents:
            before = answers()
            wait_until("answers", lambda n=before: answers() >= n + 50)
            it.process.send_signal(signal.SIGTERM)
            self.assertEqual(it.process.wait(dispatchfleet.GRACE_S), 0)
            self.fleet.start(it)
            self.fleet.wait_ready()
        before = answers()
        wait_until("answers", lambda: answers() >= before + 50)
        stop.set()
        for it in threads:
            it.join(20)
        unanswered = [it for job in self.jobs for it in job.submissions if it.answer is None]
        self.assertEqual(unanswered, [])
        self.check_history()
        states = [it.answer().state for it in self.jobs if it.answer().status == 200]
        self.assertEqual(set(states), {"completed"})
        print(f"rolling replacement: {len(states)} of {len(self.jobs)} best-effort jobs completed,"
              f" the others refused", file=sys.stderr)


if __name__ == "__main__":
    OLD, NEW = map(os.path.abspath, sys.argv[1:3])
    unittest.main(argv=sys.argv[:1], verbosity=2)
