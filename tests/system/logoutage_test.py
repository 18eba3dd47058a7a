"""System test of the entry and agent roles while the log is down."""
import unittest

from fleet import BatchTest, http, metric, wait_until


class LogOutageTest(BatchTest):
    """The log closes every connection without an answer."""

    # Guards against jobs that wait for the log: tasks start without it, so jobs must complete while it
    # is down. Afterwards configurations must be accepted again.
    def test_the_log_is_down(self):
        http("PUT", self.fleet.log.address, "/faults", {"down": True})
        wait_until("outage seen", lambda: metric(self.fleet.entries[0].address,
                                                 "cactuscove_log_reachable") == 0)
        done = sum(self.check_batch(self.submit_batch(20, tasks=3, run_ms=50)) for _ in range(5))
        self.assertEqual(done, 100)
        http("PUT", self.fleet.log.address, "/faults", {"down": False})
        wait_until("log seen again", lambda: metric(self.fleet.entries[0].address,
                                                    "cactuscove_log_reachable") == 1)
        status, output = self.fleet.apply(config=self.changed_config("3"))
        self.assertEqual(status, 0, output)
        self.fleet.wait_revision(2)


if __name__ == "__main__":
    unittest.main()
