"""System test of the copies of the operators' records: the loss of all processes while the store's
partition with the operators' records does not respond.
"""
import datetime
import re
import struct
import unittest

from dispatchfleet import Caller, DispatchFleet
from fleet import metric, wait_until

OPERATORS = ("keyed.op", 0)
COPIES = "keyed.cactuscove-operators"
COPY_COUNT = 3
# From the start of an entry's process to its configuration. The copies are read after 250 ms; the rest
# is for a busy test machine.
MAX_CONFIG_S = 0.5


class CopiesTest(unittest.TestCase):
    """A fleet whose entries keep copies of the operators' records."""

    def setUp(self):
        self.fleet = DispatchFleet(entries=3, zones=3,
                                   entry_flags=[f"--operator-copies={COPY_COUNT}"])
        self.addCleanup(self.fleet.stop)
        self.fleet.wait_ready()

    def copies(self):
        """The newest copy in each partition."""
        parts = [self.fleet.store.parts[COPIES, n] for n in range(COPY_COUNT)]
        return [it[-1] if it else None for it in parts]

    def wait_copied(self, before):
        """Waits until each partition has another copy than `before`; returns the seconds."""
        return wait_until("copies", lambda: all(new and new != old for new, old
                                                in zip(self.copies(), before)), limit=5)

    def restart_all(self):
        """Kills all entries and agents, then starts them."""
        for it in self.fleet.entries + self.fleet.agents:
            self.fleet.kill(it)
        for it in self.fleet.entries + self.fleet.agents:
            self.fleet.start(it)

    def version_in_force(self, entry):
        """Version of the entry's configuration; None while it serves no metrics."""
        return metric(entry.metrics, "cactuscove_config_revision")

    def lines(self, entry, event):
        """Lines about an event in the log of the entry's newest process."""
        lines = self.fleet.log_of(entry).splitlines()
        starts = [n for n, it in enumerate(lines) if "event=process_started " in it]
        return [it for it in lines[starts[-1]:] if f"event={event} " in it]

    def seconds_to_config(self, entry):
        """Time from the start of the entry's newest process to its first configuration."""
        begin, end = (datetime.datetime.fromisoformat(
            re.search(r"time=(\S+)Z ", self.lines(entry, it)[0]).group(1))
            for it in ("process_started", "config_source"))
        return (end - begin).total_seconds()

    # Guards against a fleet that has lost all processes and refuses all jobs for as long as the
    # partition with the operators' records does not respond, or starts tasks in an evacuated data centre.
    def test_all_processes_are_lost_while_the_operators_partition_is_silent(self):
        store, fleet = self.fleet.store, self.fleet
        wait_until("copies", lambda: all(self.copies()), limit=5)
        before = self.copies()
        fleet.evacuate("z1", True)
        fleet.apply_config(["later"])
        self.assertLess(self.wait_copied(before), 0.9)
        store.silent_parts = {OPERATORS, (COPIES, 0)}
        self.restart_all()
        for entry in fleet.entries:
            wait_until("configuration", lambda it=entry: self.version_in_force(it) == fleet.version)
            line = self.lines(entry, "config_source")[-1]
            self.assertRegex(line, "source=(copy|entry)")
            self.assertLess(self.seconds_to_config(entry), MAX_CONFIG_S)
            self.assertEqual(metric(entry.metrics, "cactuscove_evacuated_data_centres"), 1)
            caller = Caller(fleet, seed=1)
            caller.connect(entry)
            wait_until("job", lambda it=caller: getattr(it.submit_once(
                fleet.make_job(queue="later")), "state", None) == "completed")
            caller.close()
        # As soon as the operators' records can be read, they are followed again.
        store.silent_parts = set()
        for entry in fleet.entries:
            wait_until("reads", lambda it=entry: any(
                "topic=operators" in line for line in self.lines(it, "store_regained")), limit=4)
        fleet.apply_config(["even-later"])
        for entry in fleet.entries:
            wait_until("next configuration",
                       lambda it=entry: self.version_in_force(it) == fleet.version, limit=4)
            self.assertIn("source=store", self.lines(entry, "config_source")[-1])

    # Guards against a copy that is put in force although it is damaged, and against one that fills
    # the log.
    def test_bad_copies_are_ignored(self):
        store, fleet = self.fleet.store, self.fleet
        wait_until("copies", lambda: all(self.copies()), limit=5)
        good = self.copies()[0]
        value = good[1 + good[0]:]
        bad = {"size": value[:-5], "format": struct.pack(">I", 0) + value[4:],
               "checksum": value[:-5] + b"12345"}
        for n, it in enumerate(bad.values()):
            store.write(COPIES, "records", it, n)
        store.silent_parts = {OPERATORS}
        self.restart_all()
        entry = fleet.entries[0]
        wait_until("log lines", lambda: len(self.lines(entry, "copy_unreadable")) >= COPY_COUNT)
        wait_until("failed read of the operators' topic",
                   lambda: any("topic=operators" in it for it in self.lines(entry, "store_lost")))
        fields = [it.split("field=")[1].split()[0] for it in self.lines(entry, "copy_unreadable")]
        self.assertEqual(sorted(fields), sorted(bad))
        self.assertFalse(self.version_in_force(entry))
        store.silent_parts = set()
        wait_until("configuration", lambda: self.version_in_force(entry) == fleet.version)


if __name__ == "__main__":
    unittest.main()
