"""What must always hold, with real processes under failures: kills, pauses, outages, cuts, races."""
import json
import os
import re
import signal
import unittest

from fleet import (CONFIG, Fleet, FleetTest, free_port, http, in_background, job, metric, submit,
                   wait_until)


def shards_of(agent):
    return metric(agent.address, "cactuscove_shards_owned")


def is_refused(call):
    return call.is_done() and call().body.get("outcome") == "not_run"


class FaultTest(FleetTest):
    def wait_all_shards_owned(self):
        agents = self.fleet.live(self.fleet.agents)
        return wait_until("home for every shard", lambda: sum(map(shards_of, agents)) == 512)

    def submit_wave(self, count, **fields):
        """Jobs spread over the entries; returns (job, result function) pairs."""
        entries = self.fleet.live(self.fleet.entries)
        bodies = [job(**fields) for _ in range(count)]
        return [(it, in_background(submit, entries[n % len(entries)], it))
                for n, it in enumerate(bodies)]

    def check_wave(self, wave):
        """Every answer is whole or a truthful failure; returns the number of completed jobs."""
        replies = [(body, call()) for body, call in wave]
        starts = self.fleet.starts()
        for body, reply in replies:
            self.assert_answer(body, reply)
            if reply.body.get("outcome") == "not_run":
                ran = [it for it in starts if body["id"] in it[0]]
                self.assertEqual(ran, [], f"told not_run: {reply.body}")
        self.assert_started_at_most_once()
        return sum(reply.body.get("outcome") == "completed" for _, reply in replies)

    # The loss of a home must not double a task, and new jobs on every shard complete in seconds.
    def test_a_killed_agent(self):
        wave = self.submit_wave(30, tasks=4, run_ms=400)
        wait_until("running tasks", lambda: sum(self.fleet.starts().values()) >= 20)
        self.fleet.agents[0].kill()
        self.check_wave(wave)
        # A resubmission after the death of the home gets its answer at once.
        entry = self.fleet.entries[1]
        taken_over = self.wait_all_shards_owned()
        for body, _ in wave:
            seconds = wait_until("answer", lambda body=body: submit(entry, body), limit=5)
            self.assertLess(seconds, 5)
        self.assertLess(taken_over, 15)
        self.assertEqual(self.check_wave(self.submit_wave(60, tasks=1, run_ms=10)), 60)

    # A caller whose entry dies resubmits elsewhere and gets the answer of the first submission.
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

    # A home that is paused past its takeover and wakes up must not start anything again.
    def test_a_paused_agent_that_wakes_after_the_takeover(self):
        wave = self.submit_wave(30, tasks=3, run_ms=400)
        wait_until("running tasks", lambda: sum(self.fleet.starts().values()) >= 20)
        paused = self.fleet.agents[0]
        paused.signal(signal.SIGSTOP)
        others = self.fleet.agents[1:]
        wait_until("takeover", lambda: sum(map(shards_of, others)) == 512)
        # A job that was not run may run when it is submitted again, so only the others are.
        again = [(body, in_background(submit, self.fleet.entries[n % 2], body))
                 for n, (body, call) in enumerate(wave) if not is_refused(call)]
        paused.signal(signal.SIGCONT)
        self.check_wave(wave)
        self.check_wave(again)
        wait_until("return of the paused agent", lambda: shards_of(paused) > 0, limit=60)
        self.wait_all_shards_owned()
        self.assertEqual(self.check_wave(self.submit_wave(60, tasks=1, run_ms=10)), 60)

    # With the log down, jobs go on: no start needs the log.
    def test_the_log_is_down(self):
        http("PUT", self.fleet.log.address, "/faults", {"down": True})
        wait_until("outage seen", lambda: metric(self.fleet.entries[0].address,
                                                 "cactuscove_log_reachable") == 0)
        done = sum(self.check_wave(self.submit_wave(20, tasks=3, run_ms=50)) for _ in range(5))
        self.assertEqual(done, 100)
        http("PUT", self.fleet.log.address, "/faults", {"down": False})
        wait_until("log seen again", lambda: metric(self.fleet.entries[0].address,
                                                    "cactuscove_log_reachable") == 1)
        status, output = self.fleet.apply(config=self.changed_config("3"))
        self.assertEqual(status, 0, output)
        self.fleet.wait_revision(2)

    # Connections that go silent for good: new ones must be opened, and no task runs twice.
    def test_silent_connections(self):
        port = free_port()
        proxy = self.fleet.start("proxy", "cuttingproxy", f"--target=127.0.0.1:{port}")
        control = re.search(r"control (\S+)", proxy.log()).group(1)
        agent = self.fleet.add_worker(f"--advertise={proxy.address}", listen=f"127.0.0.1:{port}")
        wait_until("shards of the agent behind the proxy", lambda: shards_of(agent) > 100)
        self.assertEqual(self.check_wave(self.submit_wave(40, tasks=3, run_ms=50)), 40)
        for _ in range(2):
            wave = self.submit_wave(40, tasks=3, run_ms=300)
            wait_until("running tasks", lambda: metric(
                agent.address, "cactuscove_upstream_free_slots") < 8)
            self.assertEqual(http("POST", control, "/silence").status, 200)
            self.assertEqual(self.check_wave(wave), 40)
            self.assertEqual(self.check_wave(self.submit_wave(40, tasks=3, run_ms=50)), 40)

    def changed_config(self, weight):
        """The example file with another weight of one team; returns its path."""
        with open(CONFIG, encoding="utf-8") as file:
            text = re.sub(r"weight: \d+", f"weight: {weight}", file.read(), count=1)
        path = os.path.join(self.fleet.directory, f"fleet-{weight}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    # Both offices apply at once: one wins, the other is told who; the truth is the same everywhere.
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

    # An append whose reply is lost took effect once and is reported as accepted.
    def test_lost_append_replies(self):
        for n in range(4):
            http("PUT", self.fleet.log.address, "/faults", {"drop_replies": 1})
            status, output = self.fleet.apply(config=self.changed_config(str(n + 20)))
            self.assertEqual(status, 0, output)
            self.fleet.wait_revision(n + 2)

    # A refused file changes nothing and names line, field, value and reason.
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

    # A broken connection proves nothing, so the task must not be sent again.
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
    """The accepted file survives restarts of every process and a log that keeps few records."""

    def make_fleet(self):
        # The shortest retention, so that a snapshot is due every 15 s.
        return Fleet(options=["--log-retention-s=60"])

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
                # Killed entries leave no gap as long as agents hand their memory over.
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
