"""System test of messages and records that no well-behaved sender writes, one odd among good ones:
from callers, workers, and other writers of the store's topics. No process may end or stop following.
"""
import json
import unittest

import dispatch_test
from dispatchfleet import WORKER_PORT
from fleet import http, metric, wait_until

DEPTH = 5000  # of nested lists; the JSON library gives up at 1,000
NESTED = "[" * DEPTH + "]" * DEPTH


class OddTest(dispatch_test.DispatchCase):
    """The default fleet; agents keep records of their workers."""

    environment = {"CACTUSCOVE_WORKER_RECORDS": "on"}

    def check_service(self):
        """Checks that every process runs and that every entry completes a job."""
        for it in self.fleet.entries + self.fleet.agents:
            self.assertTrue(it.is_running(), f"{it.name} has ended: {it.process.poll()}")
        for it in self.fleet.entries:
            wait_until("job", lambda entry=it: getattr(
                self.submit(1, entry)[0], "state", None) == "completed", limit=5)

    def wait_logged(self, instance, text):
        """Waits until the log of the instance contains the text, or its process has ended."""
        wait_until(text, lambda: text in self.fleet.log_of(instance) or not instance.is_running(),
                   limit=5)

    # Guards against a caller that ends entries with one request.
    def test_a_deeply_nested_job_is_refused(self):
        for entry in self.fleet.entries:
            job = self.fleet.make_job()
            job.body = f'{{"tasks":{NESTED}}}'
            self.assertEqual(self.submit_job(job, entry).status, 400)
        self.check_service()

    def submit_job(self, job, entry):
        """Sends one job to the entry and returns its answer, which must not be missing."""
        caller = dispatch_test.Caller(self.fleet, seed=1)
        caller.connect(entry)
        answer = caller.submit_once(job)
        caller.close()
        self.assertIsNotNone(answer, f"no answer of {entry.name}")
        return answer

    # Guards against a record that ends all entries, again at each start.
    def test_a_deeply_nested_configuration_is_skipped(self):
        self.fleet.store.write("keyed.op", "config", f'{{"version":8,"routes":{NESTED}}}')
        for entry in self.fleet.entries:
            self.wait_logged(entry, "event=config_unreadable")
        self.check_service()
        self.fleet.apply_config(["later"])
        for entry in self.fleet.entries:
            wait_until("next configuration", lambda it=entry: metric(
                it.metrics, "cactuscove_config_revision") == self.fleet.version, limit=2)

    # Guards against a heartbeat of another writer that ends an agent or replaces its worker.
    def test_odd_heartbeats_name_no_worker(self):
        agent, worker = self.fleet.agents[0], self.fleet.workers[0]
        good = {"service": "desk", "address": worker.announced, "zone": agent.zone,
                "state": "ready", "capacity": {"cpu": 4000}, "born": worker.born, "seq_num": 10**9}
        odd = [f'{{"labels":{NESTED}}}'] + [json.dumps({**good, **it}) for it in (
            {"address": "127.0.0.1:0"}, {"address": "127.0.0.1:70000"}, {"address": "nowhere:80"},
            {"seq_num": 10**30}, {"born": 2**63 - 1}, {"capacity": {"cpu": 2**63 - 1}},
            {"labels": ["a", 7]}, {"state": "odd"}, {"zone": 7})]
        for number, body in enumerate(odd):
            for name in (worker.id, "i-other"):
                reply = http("PUT", f"{agent.own}:{WORKER_PORT}", f"/-/instances/{name}",
                             body.encode(), timeout=2)
                self.assertEqual(reply.status if reply else None, 400, f"heartbeat {number}")
        self.check_service()
        self.assertEqual(metric(agent.metrics, "cactuscove_known_workers"), 1)

    # Guards against a record in a topic of the fleet that ends its readers, or that they cannot pass.
    def test_odd_records_of_instances_are_skipped(self):
        store = self.fleet.store
        for n, value in enumerate([f'{{"a":{NESTED}}}', "127.0.0.1:0", "127.0.0.1:70000", "1.2.3:80",
                                   "nowhere", "", b"\xff\xfe\x00"]):
            store.write("keyed.cactuscove-entries", f"odd{n}", value)
        for agent in self.fleet.agents:
            for part in range(4):
                for value in (NESTED, b"\x01" + bytes(8) + b"\x91" * DEPTH):
                    store.write("keyed.cactuscove-workers", agent.name, value, part)
        for it in self.fleet.agents + self.fleet.entries[:1]:
            self.fleet.kill(it)
            self.fleet.start(it)
        self.fleet.wait_ready()
        self.check_service()
        known = self.fleet.log_of(self.fleet.entries[0])
        for address in ("127.0.0.1:0", "1.2.3:80"):
            self.assertNotIn(f"event=entry_known role=entry instance=entry1 address={address} ", known)


if __name__ == "__main__":
    unittest.main()
