"""System test of the entry and agent roles: submit, query and cancel jobs, bad requests, shutdown."""
import signal
import socket
import unittest

from fleet import FleetTest, http, in_background, job, metric, submit, wait_until


class PathTest(FleetTest):
    """Tests without process failures; see fault_test.py for those."""

    # Guards against tasks that are lost or run twice in the smallest and the largest job.
    def test_jobs_of_1_and_370_tasks_complete(self):
        for tasks in (1, 370):
            body = job(tasks=tasks, run_ms=20)
            self.assert_completed(body, submit(self.fleet.entries[0], body))
        self.assertEqual(sum(self.fleet.starts().values()), 371)
        self.assert_started_at_most_once()

    # Guards against running a job twice when its submissions reach its home through two entries: it
    # must run once, and all callers get the same answer.
    def test_the_same_job_at_two_entries_at_once_runs_once(self):
        for _ in range(5):
            body = job(tasks=4, run_ms=100)
            calls = [in_background(submit, it, body) for it in self.fleet.entries for _ in range(3)]
            replies = [it() for it in calls]
            for reply in replies:
                self.assert_completed(body, reply)
                self.assertEqual(reply.body["tasks"], replies[0].body["tasks"])
        self.assertEqual(sum(self.fleet.starts().values()), 20)
        self.assert_started_at_most_once()

    # Guards against an answer that only the entry of the submission knows, and against an answer other
    # than 404 for a job that was never submitted.
    def test_the_answer_can_be_asked_for_later_at_any_entry(self):
        body = job(run_ms=300)
        reply = submit(self.fleet.entries[0], body, wait_ms=0)
        self.assertEqual(reply.status, 202, reply.body)
        path = f"/v1/jobs/{body['team']}/{body['id']}?wait_ms=10000"
        self.assert_completed(body, http("GET", self.fleet.entries[1].address, path))
        unknown = http("GET", self.fleet.entries[1].address, "/v1/jobs/bookings/never-submitted")
        self.assertEqual(unknown.status, 404, unknown.body)

    # Guards against a job that is answered with the results of another job of the same id.
    def test_another_job_under_the_same_id_is_refused(self):
        body = job()
        self.assert_completed(body, submit(self.fleet.entries[0], body))
        other = job(body["id"], tasks=2)
        self.assertEqual(submit(self.fleet.entries[1], other).status, 409)
        self.assertEqual(sum(self.fleet.starts().values()), 3)

    # Guards against malformed and oversized requests that start tasks, end the entry or get an answer
    # without an error text: a valid job completes afterwards.
    def test_bad_requests_are_refused_with_the_field(self):
        entry = self.fleet.entries[0]
        good = job()
        cases = [
            (b"{", 400), (b"", 400), (b"[" * 100000, 400),
            ({**good, "team": "nobody"}, 400), ({**good, "tasks": []}, 400),
            (job(tasks=371), 400), ({**good, "deadline_ms": 0}, 400),
            ({**good, "deadline_ms": "soon"}, 400), ({**good, "id": "a b"}, 400),
            ({**good, "tasks": good["tasks"] + good["tasks"][:1]}, 400),
            (b'{"id":"' + b"x" * (5 << 20) + b'"}', 413),
        ]
        for body, status in cases:
            reply = http("POST", entry.address, "/v1/jobs", body)
            self.assertIsNotNone(reply)
            self.assertEqual(reply.status, status, reply.body)
            self.assertIn("error", reply.body)
        self.assertEqual(http("GET", entry.address, "/v1/nothing").status, 404)
        self.assertEqual(sum(self.fleet.starts().values()), 0)
        self.assert_completed(good, submit(entry, good))

    # Guards against clients that never complete their request: the entry must close their connections
    # within 40 s, and other callers must get their answers meanwhile.
    def test_slow_clients_are_dropped_and_others_do_not_notice(self):
        entry = self.fleet.entries[0]
        host, port = entry.address.split(":")
        slow = [socket.create_connection((host, int(port))) for _ in range(50)]
        for it in slow:
            it.sendall(b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\n{")
        body = job()
        self.assert_completed(body, submit(entry, body))
        for it in slow:
            it.settimeout(40)
            self.assertIn(it.recv(1)[:1], (b"", b"H"))  # closed, or a timeout response first
            it.close()

    # Guards against "not_run" as the answer of a cancelled job whose tasks had started, and against
    # cancelled tasks that keep their slots.
    def test_a_cancelled_job_stops_and_never_claims_not_run_wrongly(self):
        body = job(run_ms=5000)
        call = in_background(submit, self.fleet.entries[0], body)
        wait_until("start", lambda: sum(self.fleet.starts().values()) == 3)
        path = f"/v1/jobs/{body['team']}/{body['id']}"
        http("DELETE", self.fleet.entries[1].address, path)
        reply = call()
        self.assertEqual((reply.status, reply.body["outcome"]), (502, "unknown"), reply.body)
        self.assertEqual(reply.body["reason"], "cancelled")
        wait_until("free slots", lambda: sum(
            metric(it.address, "cactuscove_upstream_free_slots") for it in self.fleet.agents) == 24)

    # Guards against starting part of a job when one of its tasks needs more than any upstream offers.
    def test_a_job_that_can_never_run_is_refused_at_once(self):
        body = job()
        body["tasks"][2]["needs"] = {"accelerator": 64}
        reply = submit(self.fleet.entries[0], body)
        self.assertEqual((reply.status, reply.body["outcome"]), (422, "not_run"), reply.body)
        self.assertEqual(reply.body["reason"], "cannot_run")
        self.assert_not_run(body)

    # Guards against answers that are lost, and tasks that start twice, when an entry and an agent get
    # SIGTERM while jobs run.
    def test_a_graceful_shutdown_of_every_role_cuts_off_no_request(self):
        jobs = [job(tasks=5, run_ms=700) for _ in range(12)]
        calls = [in_background(submit, self.fleet.entries[n % 2], it) for n, it in enumerate(jobs)]
        wait_until("running tasks", lambda: sum(self.fleet.starts().values()) >= 10)
        self.fleet.entries[0].signal(signal.SIGTERM)
        self.fleet.agents[0].signal(signal.SIGTERM)
        for body, call in zip(jobs, calls):
            self.assert_completed(body, call())
        wait_until("end of the entry", lambda: self.fleet.entries[0].child.poll() is not None)
        wait_until("end of the agent", lambda: self.fleet.agents[0].child.poll() is not None)
        self.assertEqual(self.fleet.entries[0].child.returncode, 0)
        self.assertEqual(self.fleet.agents[0].child.returncode, 0)
        after = job()
        self.assert_completed(after, submit(self.fleet.entries[1], after))
        self.assert_started_at_most_once()

    # Guards against starting tasks on an upstream that has told its agent that it leaves.
    def test_a_leaving_upstream_gets_no_new_work(self):
        self.fleet.upstreams[0].signal(signal.SIGTERM)
        wait_until("leave", lambda: metric(self.fleet.agents[0].address, "cactuscove_upstream_slots") == 0)
        before = metric(self.fleet.agents[0].address, "cactuscove_upstream_starts_total")
        for _ in range(10):
            body = job(tasks=8, run_ms=10)
            self.assert_completed(body, submit(self.fleet.entries[0], body))
        self.assertEqual(metric(self.fleet.agents[0].address, "cactuscove_upstream_starts_total"), before)


if __name__ == "__main__":
    unittest.main()
