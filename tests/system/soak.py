"""Fault soak of the dispatch roles: real processes, faults from outside in overlapping series.

    soak.py [--seeds LIST] [--seconds S]        LIST: 7 or 1-50 or 7,34,100-120

Each seed gives one schedule of faults and one load. While the faults go on, and until the fleet has
recovered, callers submit jobs and keep their connections until those end. Checked are the promises
of docs/API.md for best-effort jobs, from what callers and workers see:

- no task runs twice at the same time, and no worker gets more than its capacity;
- what is rejected never ran, and what is answered as completed has run to its end;
- every answer comes within the caller's deadline, or the connection ends;
- a process ends by itself only after SIGTERM, with status 0 and within the grace time;
- once the faults are over, jobs complete again within RECOVERY_S.

With a violation the logs are kept and their directory is printed.
"""
import argparse
import heapq
import random
import shutil
import signal
import subprocess
import sys
import threading
import time

from dispatchfleet import (GRACE_S, Caller, DispatchFleet, in_threads, overlapping_runs,
                           untrue_answers)
from fleet import wait_until

# Seeds that failed, with the cause.
REGRESSIONS = [
    7,   # SIGHUP ended a process that was starting: signals were handled only once all was set up
    34,  # the same with SIGTERM
]
CALLERS = 8
RECOVERY_S = 8     # with room for a worker's next heartbeat and a full proof time
ANSWER_SLACK_S = 1  # of one machine that runs everything
DEADLINE_MS = 4000


class Soak:
    def __init__(self, seed, seconds):
        self.random = random.Random(seed)
        self.seed = seed
        self.seconds = seconds
        self.fleet = DispatchFleet(entries=3, agents=4, seed=seed)
        self.jobs = []
        self.violations = []
        self.events = []  # (at, order, description, function)
        self.terminated = {}  # entry or agent -> when SIGTERM was sent
        self.is_over = threading.Event()

    # Faults. Each returns what ends it, or None.

    def kill(self):
        it = self.random.choice(self.fleet.entries + self.fleet.agents)
        if not it.is_running():
            return None
        self.fleet.kill(it)
        self.terminated.pop(it.name, None)
        return it.name, lambda: self.restart(it)

    def terminate(self):
        it = self.random.choice(self.fleet.entries + self.fleet.agents)
        if not it.is_running() or it.name in self.terminated or not it.handles(signal.SIGTERM):
            return None
        self.terminated[it.name] = time.monotonic()
        it.process.send_signal(signal.SIGTERM)
        return it.name, lambda: self.restart(it)

    def restart(self, it):
        began = self.terminated.pop(it.name, None)
        if it.is_running() and began is not None:
            left = max(0.1, began + GRACE_S - time.monotonic())
            it.process.send_signal(signal.SIGCONT)
            try:
                status = it.process.wait(left)
                if status != 0:
                    self.violations.append(f"{it.name} ended with {status} after SIGTERM")
            except subprocess.TimeoutExpired:
                self.violations.append(f"{it.name} still runs {GRACE_S} s after SIGTERM")
                self.fleet.kill(it)
        if not it.is_running():
            self.fleet.start(it)

    def pause(self):
        it = self.random.choice(self.fleet.entries + self.fleet.agents)
        if not it.is_running() or it.name in self.terminated:
            return None
        process = it.process
        process.send_signal(signal.SIGSTOP)
        return it.name, lambda: process.poll() is None and process.send_signal(signal.SIGCONT)

    def harm_connections(self):
        proxy = self.random.choice(list(self.fleet.proxies))
        how = self.random.choice(["cut", "silence", "deafen"])
        self.fleet.harm(proxy, "POST", "/" + how)
        return f"{how} {proxy}", None

    def delay_connections(self):
        proxy = self.random.choice(list(self.fleet.proxies))
        ms = self.random.choice([20, 100, 400])
        self.fleet.harm(proxy, "PUT", "/delay", {"ms": ms})
        return f"{ms} ms {proxy}", lambda: self.fleet.harm(proxy, "PUT", "/delay", {"ms": 0})

    def refuse_connections(self):
        proxy = self.random.choice(list(self.fleet.proxies))
        self.fleet.harm(proxy, "PUT", "/refuse", {"on": True})
        self.fleet.harm(proxy, "POST", "/cut")
        return proxy, lambda: self.fleet.harm(proxy, "PUT", "/refuse", {"on": False})

    def harm_store(self):
        self.fleet.store.mode = self.random.choice(["down", "busy", "silent"])
        return self.fleet.store.mode, self.mend_store

    def mend_store(self):
        self.fleet.store.mode = None

    def crash_worker(self):
        worker = self.random.choice(self.fleet.workers)
        worker.crash()
        return worker.announced, None

    def harm_worker(self):
        worker = self.random.choice(self.fleet.workers)
        how = self.random.choice(["is_failing", "is_hung"])
        setattr(worker, how, True)
        return f"{how} {worker.announced}", lambda: setattr(worker, how, False)

    def slow_worker(self):
        worker = self.random.choice(self.fleet.workers)
        worker.slowness = self.random.choice([3.0, 6.0])
        return worker.announced, lambda: setattr(worker, "slowness", 1.0)

    def reload(self):
        it = self.random.choice(self.fleet.entries + self.fleet.agents)
        if not it.is_running() or not it.handles(signal.SIGHUP):
            return None
        self.fleet.write_settings(it)
        it.process.send_signal(signal.SIGHUP)
        return it.name, None

    def change_config(self):
        self.fleet.apply_config(["later"] if self.fleet.version % 2 else [])
        return str(self.fleet.version), None

    FAULTS = (kill, kill, terminate, terminate, pause, pause, harm_connections, harm_connections,
              delay_connections, refuse_connections, harm_store, crash_worker, harm_worker,
              slow_worker, reload, change_config)

    def schedule(self):
        """Series of one to three faults that overlap, with pauses between the series."""
        at = 1.0
        while at < self.seconds:
            for _ in range(self.random.randint(1, 3)):
                at += self.random.uniform(0, 0.6)
                self.at(at, "", self.random.choice(self.FAULTS))
            at += self.random.uniform(0.5, 2.5)

    def at(self, at, what, function):
        heapq.heappush(self.events, (at, len(self.events) + self.random.random(), what, function))

    def play(self):
        begin = time.monotonic()
        while self.events:
            at, _, what, function = heapq.heappop(self.events)
            time.sleep(max(0.0, begin + at - time.monotonic()))
            if what:
                self.note(begin, what)
                function()
                continue
            done = function(self)
            if done is None:
                continue
            name, end = done
            self.note(begin, f"{function.__name__} {name}")
            if end:
                self.at(at + self.random.choice([0.3, 0.8, 2.0, 3.5]), f"end of {name}", end)

    def note(self, begin, what):
        with open(self.fleet.directory + "/faults.log", "a", encoding="utf-8") as file:
            file.write(f"{time.monotonic():.3f} {time.monotonic() - begin:7.3f} {what}\n")

    # Load

    def call(self, seed):
        caller = Caller(self.fleet, seed)
        while not self.is_over.is_set():
            # Long runs and callers that come back soon: what a suspended entry left behind must have
            # ended before its job begins elsewhere.
            job = self.fleet.make_job(
                tasks=caller.random.choice([1, 2, 3, 8]),
                run_ms=caller.random.choice([10, 50, 200, 2500]),
                cpu=caller.random.choice([250, 500]), queue=caller.random.choice(["urgent", "bulk"]))
            self.jobs.append(job)
            answer = caller.submit(job, patience_s=caller.random.choice([0.6, None]))
            if answer is None or answer.status != 200:
                time.sleep(0.05)
        caller.close()

    def check_recovery(self):
        caller = Caller(self.fleet, self.seed)

        def is_serving(entry):
            caller.connect(entry)
            job = self.fleet.make_job(tasks=4, run_ms=20)
            self.jobs.append(job)
            answer = caller.submit_once(job, DEADLINE_MS)
            return answer is not None and answer.state == "completed"

        begin = time.monotonic()
        for entry in self.fleet.entries:
            left = max(0.5, begin + RECOVERY_S - time.monotonic())
            try:
                wait_until(f"service of {entry.name}", lambda it=entry: is_serving(it), left)
            except AssertionError as error:
                self.violations.append(str(error))
        caller.close()

    def check_history(self):
        history = self.fleet.history
        self.violations += overlapping_runs(history)
        self.violations += untrue_answers(history, self.jobs)
        for it in self.fleet.workers:
            self.violations += [f"overbooked {it.id}: {entry}" for entry in it.overbooked]
        for job in self.jobs:
            for it in job.submissions:
                if it.answer and it.answered - it.sent > DEADLINE_MS / 1000 + ANSWER_SLACK_S:
                    self.violations.append(f"job {job.id} answered after {it.answered - it.sent:.1f} s")
        for it in self.fleet.entries + self.fleet.agents:
            if not it.is_running():
                self.violations.append(f"{it.name} has ended: {it.process.returncode}")

    def run(self):
        try:
            self.fleet.wait_ready()
            callers = in_threads([lambda n=n: self.call(self.seed * 100 + n) for n in range(CALLERS)])
            self.schedule()
            self.play()
            self.check_recovery()
            self.is_over.set()
            for it in callers:
                it.join(30)
            self.check_history()
        finally:
            self.fleet.stop()
        return self.violations

    def summary(self):
        states = [it.answer() for it in self.jobs]
        completed = sum(it is not None and it.state == "completed" for it in states)
        rejected = sum(it is not None and it.status in (429, 503) for it in states)
        return (f"{len(self.jobs)} jobs, {completed} completed, {rejected} rejected,"
                f" {len(self.fleet.history)} runs")


def seed_list(text):
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def main():
    parser = argparse.ArgumentParser(description="Fault soak of the dispatch roles.")
    parser.add_argument("--seeds", type=seed_list, default=REGRESSIONS,
                        help="as 7 or 1-50 or 7,34,100-120; default: the seeds that once failed")
    parser.add_argument("--seconds", type=float, default=12.0, help="of faults for each seed")
    arguments = parser.parse_args()
    failed = []
    for seed in arguments.seeds:
        soak = Soak(seed, arguments.seconds)
        violations = soak.run()
        print(f"seed {seed}: {soak.summary()}, {len(violations)} violations", flush=True)
        if not violations:
            shutil.rmtree(soak.fleet.directory)
            continue
        failed.append(seed)
        print(f"  logs: {soak.fleet.directory}")
        for it in violations[:20]:
            print("  " + it, flush=True)
    sys.exit(f"seeds with violations: {failed}" if failed else 0)


if __name__ == "__main__":
    main()
