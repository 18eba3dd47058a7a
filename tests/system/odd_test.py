"""System test of messages and records that no well-behaved sender writes, one odd among good ones:
from callers, workers, and other writers of the store's topics. No process may end or stop following.
"""
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
        odd = [f'{{"labels":{NESTED}}}']
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
        store.write("keyed.cactuscove-entries", "odd", f'{{"a":{NESTED}}}')
        for agent in self.fleet.agents:
            for part in range(4):
                for value in (NESTED, b"\x01" + bytes(8) + b"\x91" * DEPTH):
                    store.write("keyed.cactuscove-workers", agent.name, value, part)
        for it in self.fleet.agents + self.fleet.entries[:1]:
            self.fleet.kill(it)
            self.fleet.start(it)
        self.fleet.wait_ready()
        self.check_service()


if __name__ == "__main__":
    unittest.main()
