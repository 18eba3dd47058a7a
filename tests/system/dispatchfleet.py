"""Runs real dispatch processes on loopback beside the stand-ins of the platform.

Each instance has an address of its own in 127.0.0.0/8. Proxies stand between callers and entries,
agents and entries, agents and workers, and before the store.
"""
import collections
import http.client
import json
import os
import random
import re
import subprocess
import tempfile
import threading
import time
import uuid

from fleet import BIN, Process, http as call, metric, wait_until
from platformstandin import Store, Worker

ENTRY, AGENT, WORKER, LINK, CALLER, STORE = range(1, 7)  # third number of an address
LINK_PORT, METRICS_PORT, CALLER_PORT, READY_PORT, WORKER_PORT, STORE_PORT = range(7720, 7726)
GRACE_S = 6
RESUBMIT_S = 1.3

SETTINGS = """node_name = "{name}"
ip = "{ip}"
zone = "z0"
port_range = [{link_port}, {metrics_port}]
seeds = [{seeds}]
[bind_addrs]
frontend = "{own}:{caller_port}"
ready = "{own}:{ready_port}"
control_plane = "{own}:{worker_port}"
[bounds]
hold_max_ms = 1000
stop_timeout_ms = 50
grace_s = 6
resend_ms = 1300
drain_ms = 2000
config_apply_ms = 2000
[platform]
address = "{store}"
"""


class Instance:
    """One machine of a role and its process, which may be away."""

    def __init__(self, role, name, ip, own, settings):
        self.role = role
        self.name = name
        self.ip = ip    # where the other instances reach it
        self.own = own  # where it listens
        self.settings = settings
        self.process = None
        self.metrics = f"{ip}:{METRICS_PORT}"

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def handles(self, number):
        """Whether the process has taken over the signal; before its program runs, no code can."""
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
            masks = [int(it.split()[1], 16) for it in file if it.startswith(("SigBlk", "SigCgt"))]
        return any(it >> (number - 1) & 1 for it in masks)


class DispatchFleet:
    def __init__(self, entries=2, agents=3, seed=0, cpu=4000):
        self.random = random.Random(seed)
        self.network = 10 + os.getpid() % 240
        self.directory = tempfile.mkdtemp(prefix="cactuscove-dispatch-")
        self.history = []
        self.proxies = {}  # by name
        self.children = []
        self.version = 0
        self.store = Store(f"{self.ip(STORE, 1)}:{STORE_PORT}")
        self.start_proxy("store", self.ip(STORE, 2), STORE_PORT, self.ip(STORE, 1))
        self.apply_config()
        self.entries = [self.make_instance("entry", n + 1) for n in range(entries)]
        self.agents = [self.make_instance("agent", n + 1) for n in range(agents)]
        self.workers = []
        for n, agent in enumerate(self.agents):
            name = f"worker{n + 1}"
            self.start_proxy(name, self.ip(LINK, n + 101), WORKER_PORT, self.ip(WORKER, n + 1))
            # Workers' clocks may be 2% slow.
            self.workers.append(Worker(
                f"{self.ip(WORKER, n + 1)}:{WORKER_PORT}", f"{agent.own}:{WORKER_PORT}",
                self.history, "desk", cpu, clock_rate=self.random.choice([1.0, 0.98]),
                announced=f"{self.ip(LINK, n + 101)}:{WORKER_PORT}"))
        for it in self.entries + self.agents:
            self.start(it)

    def ip(self, kind, n):
        return f"127.{self.network}.{kind}.{n}"

    def make_instance(self, role, n):
        name = f"{role}{n}"
        own = self.ip(ENTRY if role == "entry" else AGENT, n)
        ip = self.ip(LINK, n) if role == "entry" else own
        if role == "entry":
            self.start_proxy(f"link{n}", ip, LINK_PORT, own)
            self.start_proxy(f"caller{n}", self.ip(CALLER, n), CALLER_PORT, own)
        it = Instance(role, name, ip, own, os.path.join(self.directory, name + ".toml"))
        self.write_settings(it)
        return it

    def write_settings(self, it):
        seeds = ", ".join(f'"{self.ip(LINK, n)}:{LINK_PORT}"' for n in (1, 2))
        with open(it.settings, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(
                name=it.name, ip=it.ip, own=it.own, seeds=seeds, link_port=LINK_PORT,
                metrics_port=METRICS_PORT, caller_port=CALLER_PORT, ready_port=READY_PORT,
                worker_port=WORKER_PORT, store=f"{self.ip(STORE, 2)}:{STORE_PORT}"))

    # Processes

    def start_proxy(self, name, ip, port, target):
        process = Process(f"proxy-{name}", self.directory,
                          ["cuttingproxy", f"--listen={ip}:{port}", f"--target={target}:{port}"])
        self.children.append(process.child)
        self.proxies[name] = re.search(r"control (\S+)", process.log()).group(1)

    def start(self, it):
        command = [os.path.join(BIN, "cactuscove"), f"dispatch-{it.role}", f"--settings={it.settings}"]
        if it.role == "entry":
            command.append(f"--link-listen={it.own}:{LINK_PORT}")
        with open(os.path.join(self.directory, it.name + ".log"), "ab") as out:
            it.process = subprocess.Popen(command, stdout=out, stderr=subprocess.STDOUT)
        self.children.append(it.process)

    def kill(self, it):
        it.process.kill()
        it.process.wait()

    def log_of(self, it):
        with open(os.path.join(self.directory, it.name + ".log"), encoding="utf-8") as file:
            return file.read()

    def harm(self, proxy, method, path, body=None):
        call(method, self.proxies[proxy], path, body, timeout=2)

    def accepted(self, proxy):
        """Connections that the proxy has accepted so far."""
        return call("GET", self.proxies[proxy], "/connections").body["accepted"]

    def is_ready(self, entry):
        reply = call("GET", f"{entry.own}:{READY_PORT}", "/-/readyz", timeout=1)
        return (reply is not None and reply.status == 200
                and metric(entry.metrics, "cactuscove_up_members") == len(self.agents))

    def wait_ready(self, limit=20):
        """Every entry is connected to every agent, and each worker is looked after by its agent."""
        return wait_until("ready fleet", lambda: all(self.is_ready(it) for it in self.entries)
                          and all(it.is_looked_after() for it in self.workers), limit)

    def stop(self):
        for it in self.workers:
            it.stop()
        self.store.stop()
        for it in self.children:
            if it.poll() is None:
                it.kill()
                it.wait()

    # Operators

    def apply_config(self, extra_queues=()):
        """Puts the next version in force: `urgent` (priority 0) and `bulk`, and the names given."""
        self.version += 7
        queue = {"host": "walks.example", "service": "desk", "attempts": 3, "slack_factor": 2.0,
                 "target_latency_ms": 400, "timeout_ms": 4000}
        routes = [dict(queue, name=name, path_prefix=f"/{name}/", priority=n)
                  for n, name in enumerate(["urgent", "bulk", *extra_queues])]
        self.store.write("keyed.op", "config",
                         json.dumps({"version": self.version, "routes": routes, "services": []}))

    # Callers

    def make_job(self, tasks=3, run_ms=50, cpu=500, queue="urgent", **spec):
        body = {"best_effort": True, "spec": json.dumps({"cpu": cpu, "run_ms": run_ms, **spec}),
                "phases": [{"count": tasks, "cpu": cpu, "mem_mb": 16, "est_runtime_ms": run_ms}]}
        return Job(uuid.uuid4().hex[:16], queue, tasks, json.dumps(body))


Answer = collections.namedtuple("Answer", "status state retry_after")
Submission = collections.namedtuple("Submission", "entry sent answered answer")


class Job:
    def __init__(self, job_id, queue, tasks, body):
        self.id = job_id
        self.queue = queue
        self.tasks = tasks
        self.body = body
        self.submissions = []

    def answer(self):
        return self.submissions[-1].answer if self.submissions else None


class Caller:
    """One caller; it keeps its connection to an entry until that is gone."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.connection = None
        self.entry = None

    def connect(self, entry):
        self.close()
        self.entry = entry
        host = f"{self.fleet.ip(CALLER, self.fleet.entries.index(entry) + 1)}:{CALLER_PORT}"
        self.connection = http.client.HTTPConnection(host, timeout=10)

    def close(self):
        if self.connection:
            self.connection.close()
        self.connection = None

    def submit_once(self, job, deadline_ms=4000, patience_s=None):
        """Sends the job to the connected entry; the answer is None if there is none.

        The caller leaves after patience_s, if that is sooner than its deadline.
        """
        patience_s = patience_s or deadline_ms / 1000
        if not self.connection:
            self.connect(self.random.choice(self.fleet.entries))
        self.connection.timeout = patience_s
        if self.connection.sock:
            self.connection.sock.settimeout(patience_s)
        sent = time.monotonic()
        answer = None
        try:
            self.connection.request("POST", f"/{job.queue}/{job.id}", job.body, {
                "Host": "walks.example", "Content-Type": "application/json",
                "Deadline-Ms": str(deadline_ms)})
            reply = self.connection.getresponse()
            text = reply.read()
            state = json.loads(text).get("state") if reply.status == 200 else None
            answer = Answer(reply.status, state, reply.headers.get("Retry-After"))
            if reply.headers.get("Connection") == "close":
                self.close()
        except (OSError, http.client.HTTPException):
            self.close()
        job.submissions.append(Submission(self.entry.name, sent, time.monotonic(), answer))
        return answer

    def submit(self, job, attempts=4, patience_s=None):
        """As the platform's callers do: without an answer the same job goes to some entry again.

        `patience_s` holds for the first attempt.
        """
        for n in range(attempts):
            answer = self.submit_once(job, patience_s=patience_s if n == 0 else None)
            if answer and answer.status not in (502, 504):
                return answer
            time.sleep(RESUBMIT_S)
        return None


def in_threads(functions):
    threads = [threading.Thread(target=it, daemon=True) for it in functions]
    for it in threads:
        it.start()
    return threads


REJECTED = (404, 429, 503)

# What must hold for every history; each check returns the violations as text.

def runs_of(history, job):
    return [it for it in history if it.task.startswith(job.id + ".")]


def overlapping_runs(history):
    """A task runs at most once at a time."""
    found = []
    by_task = collections.defaultdict(list)
    for it in history:
        by_task[it.task].append(it)
    for runs in by_task.values():
        runs.sort(key=lambda it: it.begin)
        for first, second in zip(runs, runs[1:]):
            if second.begin < first.end:
                found.append(f"{first.task}: {first.attempt} on {first.worker} until {first.end:.3f}"
                             f" ({first.how}), {second.attempt} on {second.worker}"
                             f" from {second.begin:.3f}")
    return found


def untrue_answers(history, jobs, max_failures=3):
    """A refused job ran nothing, a completed one all its tasks, a failed one has failed."""
    found = []
    for job in jobs:
        answer = job.answer()
        runs = runs_of(history, job)
        if answer is None:
            continue
        text = f"job {job.id} answered {answer} by {job.submissions[-1].entry}"
        if answer.status in REJECTED:
            if all(it.answer and it.answer.status in REJECTED for it in job.submissions) and runs:
                found.append(f"{text}, but ran {runs[0]}")
        elif answer.state == "completed":
            done = {it.task for it in runs if it.how == "done"}
            if len(done) != job.tasks:
                found.append(f"{text}, but only {len(done)} of {job.tasks} tasks are done")
        elif answer.state == "failed":
            failures = collections.Counter(it.task for it in runs if it.how == "failed")
            if not failures or max(failures.values()) < max_failures:
                found.append(f"{text}, but no task failed {max_failures} times")
        elif answer.status != 504:
            found.append(text)
    return found
