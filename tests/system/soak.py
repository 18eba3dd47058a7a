"""Soak test of the dispatch roles: real processes under load and random, overlapping faults.

    soak.py [--seeds LIST] [--seconds S]        LIST: 7 or 1-50 or 7,34,100-120

Each seed gives one schedule of faults and one load. Callers submit jobs while the faults go on and
until the fleet has recovered, and use their connections until those end. The promises of docs/API.md
for best-effort jobs are checked from what callers and workers see:

- no task runs twice at the same time, and no worker gets more than its capacity;
- a task that crashes its workers is started at most twice after three of them have crashed;
- what is rejected never ran, and what is answered as completed has run to its end;
- every answer comes within the caller's deadline, or the connection ends;
- a process ends by itself only after SIGTERM, with status 0 and within the grace time;
- once the faults are over, jobs complete again within RECOVERY_S, and a change of the configuration is
  in force at every entry within STABLE_WINDOW_S after all connections have gone silent.

If a promise is broken, the output of all processes and the list of faults (faults.log) are kept, and
their directory is printed.
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

from dispatchfleet import (GRACE_S, WORKER_PORT, Caller, DispatchFleet, in_threads,
                           crashes_of, overlapping_runs, untrue_answers)
from fleet import http, metric, wait_until
from platformstandin import Shutdown

# Seeds that have found a fault; the default of --seeds.
REGRESSIONS = [
    7,   # SIGHUP ended a process during its start, because its handler was set up last
    34,  # the same with SIGTERM
    500,  # a deeply nested heartbeat ended agents
    600,  # the first with tasks that crash their workers
    700,  # the first with workers that restart under their ids or leave as planned
    800,  # the first with workers that end before they have answered a start
    900,  # the first with workers that close their listener and connections before they end
    1000,  # the first with starts that get no answer and arrive late
]
FIRST_LATER_SEED = 500
FIRST_CRASH_SEED = 600
FIRST_LEAVE_SEED = 700
FIRST_UNANSWERED_SEED = 800
FIRST_SHUTDOWN_SEED = 900
FIRST_LATE_SEED = 1000
MAX_CRASHES = 5  # of workers under one task
CALLERS = 8
RECOVERY_S = 8      # includes a worker's next heartbeat and one full proof time
ANSWER_SLACK_S = 1  # answers may be late by this much, because one machine runs all processes
STABLE_WINDOW_S = 3  # stable_window_ms of the users' platform
DEADLINE_MS = 4000  # of all jobs, the default of Caller.submit_once()


class Soak:
    """The test for one seed; `seconds` is the time in which faults begin."""

    def __init__(self, seed, seconds):
        self.random = random.Random(seed)
        self.seed = seed
        self.seconds = seconds
        # A refused call is no proof of anything if a proxy may have refused it.
        self.fleet = DispatchFleet(entries=3, agents=4, seed=seed,
                                   local_workers=seed >= FIRST_SHUTDOWN_SEED)
        self.jobs = []  # that callers have submitted
        self.violations = []  # texts
        # Heap of (seconds from the begin, order, description, function). Without a description, the
        # event is the begin of a fault and `function` one of FAULTS; else it is the end of a fault.
        self.events = []
        self.terminated = {}  # monotonic time of SIGTERM by name of the instance, until its restart
        self.is_over = threading.Event()  # callers stop when it is set

    # Faults. Each chooses its target at random and returns a description and a function that ends the
    # fault (None if it ends by itself), or None alone if it does not apply to the target now.

    def kill(self):
        """Kills an instance with SIGKILL; it is started again later."""
        it = self.random.choice(self.fleet.entries + self.fleet.agents)
        if not it.is_running():
            return None
        self.fleet.kill(it)
        self.terminated.pop(it.name, None)
        return it.name, lambda: self.restart(it)

    def terminate(self):
        """Sends SIGTERM to an instance; restart() checks later that it ended in time."""
        it = self.random.choice(self.fleet.entries + self.fleet.agents)
        if not it.is_running() or it.name in self.terminated or not it.handles(signal.SIGTERM):
            return None
        self.terminated[it.name] = time.monotonic()
        it.process.send_signal(signal.SIGTERM)
        return it.name, lambda: self.restart(it)

    def restart(self, it):
        """Ends the faults kill and terminate: starts the instance again.

        Records a violation if the process did not end with status 0 within GRACE_S after SIGTERM.
        """
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
        """Stops an instance with SIGSTOP; it continues later."""
        it = self.random.choice(self.fleet.entries + self.fleet.agents)
        if not it.is_running() or it.name in self.terminated:
            return None
        process = it.process
        process.send_signal(signal.SIGSTOP)
        return it.name, lambda: process.poll() is None and process.send_signal(signal.SIGCONT)

    def break_connections(self):
        """Resets the connections of a proxy, or makes them silent in one or both directions."""
        proxy = self.random.choice(list(self.fleet.proxies))
        how = self.random.choice(["cut", "silence", "deafen"])
        self.fleet.harm(proxy, "POST", "/" + how)
        return f"{how} {proxy}", None

    def silence_all(self):
        """Makes all open connections silent at once, but for those of callers; new ones work.

        An entry cannot learn that a caller behind a silent connection has left, and runs its job on
        while the caller submits it elsewhere.
        """
        for proxy in self.fleet.proxies:
            if not proxy.startswith("caller"):
                self.fleet.harm(proxy, "POST", "/silence")
        return "all", None

    def send_odd(self):
        """Sends a message that no well-behaved sender writes, or writes such a record."""
        agent = self.random.choice(self.fleet.agents)
        nested = "[" * 5000 + "]" * 5000
        what = self.random.choice(["heartbeat", "entry", "worker", "config"])
        if what == "heartbeat":
            http("PUT", f"{agent.own}:{WORKER_PORT}", "/-/instances/i-odd",
                 f'{{"labels":{nested}}}'.encode(), timeout=0.2)
        elif what == "config":
            self.fleet.store.write("keyed.op", "config", f'{{"version":{nested}}}')
            self.fleet.apply_config([])
        else:
            topic = "entries" if what == "entry" else "workers"
            for part in range(4):
                self.fleet.store.write(f"keyed.cactuscove-{topic}", agent.name,
                                       self.random.choice([nested, "127.0.0.1:0", "odd"]), part)
        return what, None

    def delay_connections(self):
        """Delays all data through a proxy."""
        proxy = self.random.choice(list(self.fleet.proxies))
        ms = self.random.choice([20, 100, 400])
        self.fleet.harm(proxy, "PUT", "/delay", {"ms": ms})
        return f"{ms} ms {proxy}", lambda: self.fleet.harm(proxy, "PUT", "/delay", {"ms": 0})

    def refuse_connections(self):
        """Resets the connections of a proxy and lets it refuse new ones."""
        proxy = self.random.choice(list(self.fleet.proxies))
        self.fleet.harm(proxy, "PUT", "/refuse", {"on": True})
        self.fleet.harm(proxy, "POST", "/cut")
        return proxy, lambda: self.fleet.harm(proxy, "PUT", "/refuse", {"on": False})

    def fail_store(self):
        """Sets a fault of the store."""
        self.fleet.store.mode = self.random.choice(["down", "busy", "silent"])
        return self.fleet.store.mode, self.restore_store

    def restore_store(self):
        """Ends the fault of the store."""
        self.fleet.store.mode = None

    def crash_worker(self):
        """Ends all runs of a worker and its incarnation."""
        worker = self.random.choice(self.fleet.workers)
        worker.crash()
        return worker.announced, None

    def restart_worker(self):
        """Ends all runs of a worker; its next incarnation keeps the id."""
        worker = self.random.choice(self.fleet.workers)
        worker.restart()
        return worker.announced, None

    def leave_worker(self):
        """Lets a worker leave as planned; its next incarnation has a new id."""
        worker = self.random.choice(self.fleet.workers)
        drain_s, end_s = self.random.choice([0.2, 1.0]), self.random.choice([0.003, 0.01, 0.3])
        in_threads([lambda: worker.leave(drain_s, end_s)])
        return f"{worker.announced} after {drain_s} s, ends {end_s} s later", None

    def shut_down_worker(self):
        """Lets a worker leave as planned; it closes its listener and its connections on its own time."""
        worker = self.random.choice(self.fleet.workers)
        drain_s = self.random.choice([2.1, 3.0])
        shutdown = Shutdown(*[self.random.choice([0.0, 0.1, 0.3]) for _ in range(2)],
                            self.random.choice([0.0, 0.25, 0.6]))
        says_delete = self.random.random() < 0.7
        in_threads([lambda: worker.shut_down(drain_s, shutdown, says_delete)])
        return (f"{worker.announced} after {drain_s} s, closes after {tuple(shutdown)} s,"
                f" {'with' if says_delete else 'without'} DELETE"), None

    def crash_with_connections(self):
        """Ends a worker's incarnation with its listener and all connections at once."""
        worker = self.random.choice(self.fleet.workers)
        in_threads([worker.crash_with_connections])
        return worker.announced, None

    def hold_starts(self):
        """Lets part of a worker's starts arrive late and without an answer."""
        worker = self.random.choice(self.fleet.workers)
        worker.late_share = self.random.choice([0.1, 0.3])
        return f"{worker.announced} {worker.late_share}", lambda: setattr(worker, "late_share", 0.0)

    def hold_and_crash(self):
        """The same for the next start; its worker ends soon, and comes back with the same id."""
        worker = self.random.choice(self.fleet.workers)
        worker.late_starts = self.random.choice([1, 2, 6])
        delay_s, down_s = self.random.choice([0.1, 0.6]), self.random.choice([1.7, 2.5])

        def crash():
            time.sleep(delay_s)
            worker.late_starts = 0
            worker.crash_with_connections(down_s, keeps_id=True)

        in_threads([crash])
        return f"{worker.announced} after {delay_s} s for {down_s} s", None

    def submit_crashing(self):
        """Submits a job whose tasks crash their workers."""
        job = self.fleet.make_job(tasks=self.random.choice([1, 3]), crashes=True)
        self.jobs.append(job)
        caller = Caller(self.fleet, self.random.randrange(1 << 30))
        in_threads([lambda: caller.submit(job)])
        return job.id, None

    def submit_ending(self):
        """Submits a job whose task ends its worker before the start is answered.

        It takes most of a worker, so it often finds no other one before its time is over.
        """
        job = self.fleet.make_job(tasks=1, run_ms=200, cpu=3500,
                                  ends_worker_s=self.random.choice([0.05, 0.3, 0.6]))
        self.jobs.append(job)
        caller = Caller(self.fleet, self.random.randrange(1 << 30))
        in_threads([lambda: caller.submit(job)])
        return job.id, None

    def change_capacity(self):
        """Shrinks the capacity of a worker, and lets it grow again later."""
        worker = self.random.choice(self.fleet.workers)
        cpu = worker.cpu
        worker.set_capacity(self.random.choice([500, 1000, 2000]))
        return f"{worker.announced} {worker.cpu}", lambda: worker.set_capacity(max(cpu, 4000))

    def fail_worker(self):
        """Lets all runs of a worker fail, or none of them end."""
        worker = self.random.choice(self.fleet.workers)
        how = self.random.choice(["is_failing", "is_hung"])
        setattr(worker, how, True)
        return f"{how} {worker.announced}", lambda: setattr(worker, how, False)

    def slow_worker(self):
        """Multiplies the run times of a worker."""
        worker = self.random.choice(self.fleet.workers)
        worker.slowness = self.random.choice([3.0, 6.0])
        return worker.announced, lambda: setattr(worker, "slowness", 1.0)

    def reload(self):
        """Lets an instance read its settings again."""
        it = self.random.choice(self.fleet.entries + self.fleet.agents)
        if not it.is_running() or not it.handles(signal.SIGHUP):
            return None
        self.fleet.write_settings(it)
        it.process.send_signal(signal.SIGHUP)
        return it.name, None

    def change_config(self):
        """Writes a new configuration, with or without the queue "later" in turn."""
        self.fleet.apply_config(["later"] if self.fleet.version % 2 else [])
        return str(self.fleet.version), None

    # A fault that stands here twice is twice as likely. A seed keeps its schedule only while its list
    # stays as it is, so seeds from FIRST_LATER_SEED on have a list of their own.
    FAULTS = (kill, kill, terminate, terminate, pause, pause, break_connections, break_connections,
              delay_connections, refuse_connections, fail_store, crash_worker, fail_worker,
              slow_worker, reload, change_config)
    LATER_FAULTS = (*FAULTS, silence_all, send_odd)
    CRASH_FAULTS = (*LATER_FAULTS, submit_crashing, submit_crashing, change_capacity,
                    change_capacity)
    LEAVE_FAULTS = (*CRASH_FAULTS, restart_worker, restart_worker, restart_worker, leave_worker,
                    leave_worker, leave_worker)
    UNANSWERED_FAULTS = (*LEAVE_FAULTS, *[submit_ending] * 30)
    SHUTDOWN_FAULTS = (*CRASH_FAULTS, *[shut_down_worker] * 10, *[crash_with_connections] * 4)

    # Without changes of the capacity, which late starts alone could exceed after a crash.
    LATE_FAULTS = (*LATER_FAULTS, *[submit_crashing] * 2, *[shut_down_worker] * 3,
                   *[crash_with_connections] * 3, *[hold_starts] * 8, *[hold_and_crash] * 8)

    # First seed and faults of each range of seeds.
    FAULTS_BY_SEED = ((0, FAULTS), (FIRST_LATER_SEED, LATER_FAULTS), (FIRST_CRASH_SEED, CRASH_FAULTS),
                      (FIRST_LEAVE_SEED, LEAVE_FAULTS), (FIRST_UNANSWERED_SEED, UNANSWERED_FAULTS),
                      (FIRST_SHUTDOWN_SEED, SHUTDOWN_FAULTS), (FIRST_LATE_SEED, LATE_FAULTS))

    def schedule(self):
        """Schedules the begins of all faults: groups of one to three, with pauses between them."""
        faults = [it for first, it in self.FAULTS_BY_SEED if self.seed >= first][-1]
        at = 1.0
        while at < self.seconds:
            for _ in range(self.random.randint(1, 3)):
                at += self.random.uniform(0, 0.6)
                self.at(at, "", self.random.choice(faults))
            at += self.random.uniform(0.5, 2.5)

    def at(self, at, what, function):
        """Schedules an event; see `events`."""
        heapq.heappush(self.events, (at, len(self.events) + self.random.random(), what, function))

    def run_schedule(self):
        """Runs all events at their times; each fault that needs an end schedules it."""
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
        """Writes a line to faults.log: monotonic time, seconds since `begin`, what happened."""
        with open(self.fleet.directory + "/faults.log", "a", encoding="utf-8") as file:
            file.write(f"{time.monotonic():.3f} {time.monotonic() - begin:7.3f} {what}\n")

    # Load

    def submit_jobs(self, seed):
        """The work of one caller: submits random jobs one after the other until is_over is set."""
        caller = Caller(self.fleet, seed)
        while not self.is_over.is_set():
            # Some tasks run long and some callers submit their job again soon at another entry. The
            # runs that a paused entry has started must end before the job starts again there.
            job = self.fleet.make_job(
                tasks=caller.random.choice([1, 2, 3, 8]),
                run_ms=caller.random.choice([10, 50, 200, 2500]),
                cpu=caller.random.choice([250, 500]), queue=caller.random.choice(["urgent", "bulk"]))
            self.jobs.append(job)
            answer = caller.submit(job, response_timeout_s=caller.random.choice([0.6, None]))
            if answer is None or answer.status != 200:
                time.sleep(0.05)
        caller.close()

    def check_recovery(self):
        """Checks that within RECOVERY_S every entry completes a job within its deadline."""
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

    def check_configuration(self):
        """Checks that a change is in force in time, beside connections that have all gone silent.

        The time counts from the silence: an instance is held to the bound once its connections were
        calm for STABLE_WINDOW_S.
        """
        self.silence_all()
        begin = time.monotonic()
        self.fleet.apply_config(["checked"])
        for entry in self.fleet.entries:
            try:
                wait_until(f"version {self.fleet.version} at {entry.name}", lambda it=entry: metric(
                    it.metrics, "cactuscove_config_revision") == self.fleet.version,
                           max(0.1, begin + STABLE_WINDOW_S - time.monotonic()))
            except AssertionError as error:
                self.violations.append(str(error))

    def check_history(self):
        """Checks the runs and answers, the times of the answers, and that all instances run."""
        history = self.fleet.history
        self.violations += overlapping_runs(history)
        self.violations += untrue_answers(history, self.jobs)
        crashing = {it.id for it in self.jobs if "crashes" in it.body}
        self.violations += [f"{task} crashed {n} workers" for task, n in crashes_of(history).items()
                            if n > MAX_CRASHES and task.split(".")[0] in crashing]
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
        """Runs the whole test, stops the fleet and returns the violations."""
        try:
            self.fleet.wait_ready()
            callers = in_threads([lambda n=n: self.submit_jobs(self.seed * 100 + n)
                                  for n in range(CALLERS)])
            self.schedule()
            self.run_schedule()
            self.check_recovery()
            self.check_configuration()
            self.is_over.set()
            for it in callers:
                it.join(30)
            self.check_history()
        finally:
            self.fleet.stop()
        return self.violations

    def summary(self):
        """The numbers of jobs by answer and of runs, as text."""
        states = [it.answer() for it in self.jobs]
        completed = sum(it is not None and it.state == "completed" for it in states)
        rejected = sum(it is not None and it.status in (429, 503) for it in states)
        return (f"{len(self.jobs)} jobs, {completed} completed, {rejected} rejected,"
                f" {len(self.fleet.history)} runs")


def seed_list(text):
    """Parses the value of --seeds, such as 7,34,100-120."""
    seeds = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def main():
    parser = argparse.ArgumentParser(description="Soak test of the dispatch roles.")
    parser.add_argument("--seeds", type=seed_list, default=REGRESSIONS,
                        help="as 7 or 1-50 or 7,34,100-120; default: the seeds that have found faults")
    parser.add_argument("--seconds", type=float, default=12.0,
                        help="time in which faults begin, for each seed")
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
