"""System test of the entry and agent roles under failures.

Processes are killed and paused, connections go silent, and configurations are applied at the same
time. In each case the answers must be true and no task may start twice.
"""
import json
import os
import re
import signal
import unittest

from fleet import (CONFIG, BatchTest, Fleet, FleetTest, free_port, http, in_background, job, metric,
                   shards_of, submit, wait_until)


def is_refused(call):
    """Whether the call made by in_background() has ended and its job was answered as not run."""
    return call.is_done() and call().body.get("outcome") == "not_run"


class FaultTest(BatchTest):
    """Failures of processes, of the log and of connections, and configurations that conflict."""

    # Guards against tasks that start twice after the death of their home, and against shards that stay
    # without a home: all jobs submitted after the takeover must complete.
    def test_a_killed_agent(self):
        batch = self.submit_batch(30, tasks=4, run_ms=400)
        wait_until("running tasks", lambda: sum(self.fleet.starts().values()) >= 20)
        self.fleet.agents[0].kill()
        self.check_batch(batch)
        # Jobs submitted again after the death of the home get an answer within 5 s.
        entry = self.fleet.entries[1]
        takeover_seconds = self.wait_all_shards_owned()
        for body, _ in batch:
            seconds = wait_until("answer", lambda body=body: submit(entry, body), limit=5)
            self.assertLess(seconds, 5)
        self.assertLess(takeover_seconds, 15)
        self.assertEqual(self.check_batch(self.submit_batch(60, tasks=1, run_ms=10)), 60)

    # Guards against running a job again when its caller loses its entry and submits it at another one:
    # the caller must get the answer of the first submission.
    def test_a_killed_entry(self):
        bodies = [job(tasks=4, run_ms=500) for _ in range(10)]
        for it in bodies:
            in_background(submit, self.fleet.entries[0], it)
        wait_until("running tasks", lambda: sum(self.fleet.starts().values()) >= 20)
        self.fleet.entries[0].kill()
        for it in bodies:
            reply = submit(self.fleet.entries[1], it)
            self.assert_completed(it, reply)
        self.assert_started_at_most_once()

    # Guards against tasks that a home starts after other agents have taken over its shards: the home
    # was paused until then and does not know of the takeover when it continues.
    def test_a_paused_agent_that_wakes_after_the_takeover(self):
        batch = self.submit_batch(30, tasks=3, run_ms=400)
        wait_until("running tasks", lambda: sum(self.fleet.starts().values()) >= 20)
        paused = self.fleet.agents[0]
        paused.signal(signal.SIGSTOP)
        others = self.fleet.agents[1:]
        wait_until("takeover", lambda: sum(map(shards_of, others)) == 512)
        # A job answered as not_run may run when it is submitted again, which check_batch() would
        # report for its first answer. So such jobs are left out.
        again = [(body, in_background(submit, self.fleet.entries[n % 2], body))
                 for n, (body, call) in enumerate(batch) if not is_refused(call)]
        paused.signal(signal.SIGCONT)
        self.check_batch(batch)
        self.check_batch(again)
        wait_until("return of the paused agent", lambda: shards_of(paused) > 0, limit=60)
        self.wait_all_shards_owned()
        self.assertEqual(self.check_batch(self.submit_batch(60, tasks=1, run_ms=10)), 60)

    # Guards against waiting forever on connections that stay open and carry nothing any more: new
    # connections must be opened, and no task may start twice.
    def test_silent_connections(self):
        port = free_port()
        proxy = self.fleet.start("proxy", "cuttingproxy", f"--target=127.0.0.1:{port}")
        control = re.search(r"control (\S+)", proxy.log()).group(1)
        agent = self.fleet.add_worker(f"--advertise={proxy.address}", listen=f"127.0.0.1:{port}")
        wait_until("shards of the agent behind the proxy", lambda: shards_of(agent) > 100)
        self.assertEqual(self.check_batch(self.submit_batch(40, tasks=3, run_ms=50)), 40)
        for _ in range(2):
            batch = self.submit_batch(40, tasks=3, run_ms=300)
            wait_until("running tasks", lambda: metric(
                agent.address, "cactuscove_upstream_free_slots") < 8)
            self.assertEqual(http("POST", control, "/silence").status, 200)
            self.assertEqual(self.check_batch(batch), 40)
            self.assertEqual(self.check_batch(self.submit_batch(40, tasks=3, run_ms=50)), 40)

    # Guards against two configurations that are accepted for the same revision: of two offices that
    # apply at once, one succeeds, the other is told which office did, and all entries agree.
    def test_two_offices_race(self):
        revision = 1
        for n in range(5):
            first, second = self.changed_config(str(2 * n + 10)), self.changed_config(str(2 * n + 11))
            base = f"--base={revision}"
            calls = [in_background(lambda e=e, c=c, o=o: self.fleet.apply(e, c, o, [base]))
                     for e, c, o in ((self.fleet.entries[0], first, "hollisdale"),
                                     (self.fleet.entries[1], second, "maji-baridi"))]
            results = [it() for it in calls]
            self.assertEqual(sorted(status for status, _ in results), [0, 4], results)
            loser = next(output for status, output in results if status == 4)
            winner = "hollisdale" if results[0][0] == 0 else "maji-baridi"
            self.assertIn(winner, loser)
            revision += 1
            self.fleet.wait_revision(revision)
            texts = {http("GET", it.address, "/v1/config").body["text"] for it in self.fleet.entries}
            self.assertEqual(len(texts), 1)

    # Guards against an append to the log that is repeated or reported as failed because its reply was
    # lost after it took effect.
    def test_lost_append_replies(self):
        for n in range(4):
            http("PUT", self.fleet.log.address, "/faults", {"drop_replies": 1})
            status, output = self.fleet.apply(config=self.changed_config(str(n + 20)))
            self.assertEqual(status, 0, output)
            self.fleet.wait_revision(n + 2)

    # Guards against a partly applied configuration, and against a refusal without the line, the field
    # and the value that are wrong.
    def test_a_bad_file_changes_nothing(self):
        path = os.path.join(self.fleet.directory, "bad.yaml")
        with open(CONFIG, encoding="utf-8") as file:
            text = re.sub(r"weight: \d+", "weight: -7", file.read(), count=1)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        status, output = self.fleet.apply(config=path)
        self.assertEqual(status, 3, output)
        line = text[:text.index("weight: -7")].count("\n") + 1
        for part in (str(line), "weight", "-7"):
            self.assertIn(part, output)
        self.fleet.wait_revision(1)

    # Guards against sending a task again after its connection broke: it may have started, which is
    # what happens here, so its outcome is "unknown".
    def test_a_task_that_breaks_after_its_start_is_unknown_and_not_repeated(self):
        for it in self.fleet.upstreams:
            http("PUT", it.address, "/faults", {"close_after_start": True})
        body = job(tasks=1)
        reply = submit(self.fleet.entries[0], body)
        self.assertEqual((reply.status, reply.body["outcome"]), (502, "unknown"), reply.body)
        again = submit(self.fleet.entries[1], body)
        self.assertEqual((again.status, again.body["outcome"]), (502, "unknown"), again.body)
        self.assertEqual(sum(self.fleet.starts().values()), 1)


class TrimmedLogTest(FleetTest):
    """The log keeps only its last records, as if older ones had passed their retention."""

    def make_fleet(self):
        # With the shortest retention, a snapshot is written every 15 s.
        return Fleet(options=["--log-retention-s=60"])

    # Guards against an older configuration coming back: once the records of revision 4 are trimmed,
    # processes that start must take it from the snapshot while all processes are replaced in turn.
    def test_configuration_never_reverts(self):
        fleet = self.fleet
        for n in range(3):
            status, output = fleet.apply(extra=[f"--base={n + 1}"])
            self.assertEqual(status, 0, output)
        fleet.wait_revision(4)
        records = "/streams/cactuscove/records?from=0&limit=1000"
        wait_until("snapshot of revision 4", lambda: any(
            json.loads(it["body"])["type"] == "snapshot" and "hollisdale" in it["body"]
            for it in http("GET", fleet.log.address, records).body["records"]))
        http("PUT", fleet.log.address, "/faults", {"retain": 3})
        for processes, start in ((fleet.entries, fleet.start_entry), (fleet.agents, fleet.add_worker)):
            for old in list(processes):
                # Entries may be killed: nothing is lost as long as agents end in order and hand over
                # what they remember.
                old.signal(signal.SIGKILL if old in fleet.entries else signal.SIGTERM)
                wait_until(f"end of {old.name}", lambda old=old: old.child.poll() is not None)
                new = start()
                if new not in processes:
                    processes.append(new)
                fleet.wait_revision(4, [new])
                seen = [metric(it.address, "cactuscove_config_revision")
                        for it in fleet.live(fleet.entries + fleet.agents)]
                self.assertEqual(set(seen), {4.0})
        body = job()
        wait_until("completed job", lambda: submit(fleet.live(fleet.entries)[0], body).status == 200)


if __name__ == "__main__":
    unittest.main()
