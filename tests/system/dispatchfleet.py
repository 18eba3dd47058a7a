"""Starts real processes of the dispatch roles on loopback, with the stand-ins of platformstandin.py.

Used by dispatch_test.py and soak.py. Each instance has its own IP address in 127.0.0.0/8. A
cuttingproxy process stands between callers and each entry, agents and each entry, the agent and each
worker, and all instances and the store, so that tests can disturb these connections.
"""
import collections
import errno
import http.client
import json
import os
import random
import re
import socket
import subprocess
import tempfile
import threading
import time
import uuid

from fleet import BIN, Process, http as call, metric, wait_until
from platformstandin import Store, Worker

# Third byte of an address 127.NETWORK.KIND.N. LINK and CALLER are proxies: LINK for the connections
# of agents and other entries to entry N (or, with N > 100, of an agent to worker N - 100), CALLER for
# the connections of callers to entry N. STORE 1 is the store, STORE 2 the proxy before it.
ENTRY, AGENT, WORKER, LINK, CALLER, STORE = range(1, 7)
LINK_PORT, METRICS_PORT, CALLER_PORT, READY_PORT, WORKER_PORT, STORE_PORT = range(7720, 7726)
LOCAL_WORKER_PORT = 7726  # of a worker on its agent's machine
CLAIM_PORT = 7719  # only bound; see claim_network()
GRACE_S = 6       # time in which a process must end after SIGTERM, as bounds.grace_s in SETTINGS
RESUBMIT_S = 1.3  # time after which a caller without an answer sends its job again

SETTINGS = """node_name = "{name}"
ip = "{ip}"
zone = "{zone}"
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
{evacuation}[platform]
address = "{store}"
parts = 4
"""


def claim_network():
    """Finds a second byte of loopback addresses that no other fleet on this machine uses.

    Returns it and a socket that keeps others from it until it is closed: an address can be bound once.
    """
    for n in range(240):
        network = 10 + (os.getpid() + n) % 240
        claim = socket.socket()
        try:
            claim.bind((f"127.{network}.0.1", CLAIM_PORT))
            return network, claim
        except OSError as error:
            claim.close()
            if error.errno != errno.EADDRINUSE:
                raise
    raise RuntimeError("all networks are in use")


class Instance:
    """The address and settings of one entry or agent, and its process if one was started.

    A restart keeps the Instance and replaces its process.
    """

    def __init__(self, role, name, ip, own, settings, zone):
        self.role = role
        self.name = name
        self.ip = ip    # IP address that it tells the other instances: the proxy's for an entry
        self.own = own  # IP address that it listens on
        self.zone = zone  # data centre
        self.settings = settings  # path of the settings file
        self.process = None
        self.metrics = f"{ip}:{METRICS_PORT}"  # address of its metrics

    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def handles(self, number):
        """Whether the process blocks or catches the signal.

        Between fork and the first code of the program it does neither, and a signal ends the process.
        """
        with open(f"/proc/{self.process.pid}/status", encoding="utf-8") as file:
            masks = [int(it.split()[1], 16) for it in file if it.startswith(("SigBlk", "SigCgt"))]
        return any(it >> (number - 1) & 1 for it in masks)


class DispatchFleet:
    """A store, entries, agents with one worker each, and the proxies between them.

    `seed` selects the clock rates of the workers, `cpu` is the capacity of each worker in thousandths
    of a core, entry_flags are added to the command of each entry. With several zones (data centres) the
    instances of each role take turns in them; the settings name a bound for their evacuation unless
    evacuation_bound is false. With local_workers, each worker is on its agent's machine (IP address) and
    has no proxy, so a refused call shows that it has closed its listener. The constructor starts all processes without waiting for them; see wait_ready().
    """

    def __init__(self, entries=2, agents=3, seed=0, cpu=4000, zones=1, entry_flags=(),
                 evacuation_bound=True, local_workers=False):
        self.entry_flags = entry_flags
        self.random = random.Random(seed)
        self.network, self.claim = claim_network()  # second byte of all addresses; the claim to it
        self.directory = tempfile.mkdtemp(prefix="cactuscove-dispatch-")  # settings and output
        self.zones = zones
        self.evacuation_bound = evacuation_bound and zones > 1
        self.history = []  # ended runs of all workers, in the order of their end
        self.proxies = {}  # address of the control interface, by name of the proxy
        self.children = []  # all processes that were ever started
        self.version = 0  # of the configuration that was written last
        self.store = Store(f"{self.ip(STORE, 1)}:{STORE_PORT}")
        self.start_proxy("store", self.ip(STORE, 2), STORE_PORT, self.ip(STORE, 1))
        self.apply_config()
        self.entries = [self.make_instance("entry", n + 1) for n in range(entries)]
        self.agents = [self.make_instance("agent", n + 1) for n in range(agents)]
        self.workers = []
        for n, agent in enumerate(self.agents):
            address = f"{self.ip(WORKER, n + 1)}:{WORKER_PORT}"
            announced = f"{self.ip(LINK, n + 101)}:{WORKER_PORT}"
            if local_workers:
                address = announced = f"{agent.own}:{LOCAL_WORKER_PORT}"
            else:
                self.start_proxy(f"worker{n + 1}", self.ip(LINK, n + 101), WORKER_PORT,
                                 self.ip(WORKER, n + 1))
            # The protocol allows a worker's clock to be 2% slow.
            self.workers.append(Worker(
                address, f"{agent.own}:{WORKER_PORT}", self.history, "desk", cpu,
                clock_rate=self.random.choice([1.0, 0.98]), announced=announced, zone=agent.zone))
        for instance in self.entries + self.agents:
            self.start(instance)

    def ip(self, kind, n):
        """IP address of the n-th (from 1) of a kind: ENTRY, AGENT, WORKER, LINK, CALLER or STORE."""
        return f"127.{self.network}.{kind}.{n}"

    def make_instance(self, role, n):
        """Writes the settings of the n-th entry or agent, and starts the proxies of an entry."""
        name = f"{role}{n}"
        own = self.ip(ENTRY if role == "entry" else AGENT, n)
        ip = self.ip(LINK, n) if role == "entry" else own
        if role == "entry":
            self.start_proxy(f"link{n}", ip, LINK_PORT, own)
            self.start_proxy(f"caller{n}", self.ip(CALLER, n), CALLER_PORT, own)
        instance = Instance(role, name, ip, own, os.path.join(self.directory, name + ".toml"),
                            f"z{(n - 1) % self.zones}")
        self.write_settings(instance)
        return instance

    def write_settings(self, instance):
        """Writes the settings file; a process reads it at its start and at SIGHUP."""
        seeds = ", ".join(f'"{self.ip(LINK, n)}:{LINK_PORT}"' for n in (1, 2))
        with open(instance.settings, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(
                name=instance.name, zone=instance.zone,
                evacuation="evacuate_ms = 5000\n" if self.evacuation_bound else "",
                ip=instance.ip, own=instance.own, seeds=seeds, link_port=LINK_PORT,
                metrics_port=METRICS_PORT, caller_port=CALLER_PORT, ready_port=READY_PORT,
                worker_port=WORKER_PORT, store=f"{self.ip(STORE, 2)}:{STORE_PORT}"))

    # Processes

    def start_proxy(self, name, ip, port, target):
        """Starts a proxy that passes connections to ip:port on to the same port of `target`."""
        process = Process(f"proxy-{name}", self.directory,
                          ["cuttingproxy", f"--listen={ip}:{port}", f"--target={target}:{port}"])
        self.children.append(process.child)
        self.proxies[name] = re.search(r"control (\S+)", process.log()).group(1)

    def start(self, instance):
        """Starts a process of the instance; its output is appended to that of earlier ones."""
        command = [os.path.join(BIN, "cactuscove"), f"dispatch-{instance.role}",
                   f"--settings={instance.settings}"]
        if instance.role == "entry":
            command += [f"--link-listen={instance.own}:{LINK_PORT}", *self.entry_flags]
        with open(os.path.join(self.directory, instance.name + ".log"), "ab") as out:
            instance.process = subprocess.Popen(command, stdout=out, stderr=subprocess.STDOUT)
        self.children.append(instance.process)

    def kill(self, instance):
        """Sends SIGKILL to the process of the instance and waits for its end."""
        instance.process.kill()
        instance.process.wait()

    def log_of(self, instance):
        """Output of all processes of the instance so far."""
        with open(os.path.join(self.directory, instance.name + ".log"), encoding="utf-8") as file:
            return file.read()

    def harm(self, proxy, method, path, body=None):
        """Sends a request to a proxy's control interface; tools/cuttingproxy.cpp lists the requests."""
        call(method, self.proxies[proxy], path, body, timeout=2)

    def accepted(self, proxy):
        """Number of connections that the proxy has accepted so far."""
        return call("GET", self.proxies[proxy], "/connections").body["accepted"]

    def is_ready(self, entry):
        """Whether the entry says that it is ready and has a connection to every agent."""
        reply = call("GET", f"{entry.own}:{READY_PORT}", "/-/readyz", timeout=1)
        return (reply is not None and reply.status == 200
                and metric(entry.metrics, "cactuscove_up_members") == len(self.agents))

    def wait_ready(self, limit=20):
        """Waits until all entries are ready and all workers have a lease; returns the seconds."""
        return wait_until("ready fleet", lambda: all(self.is_ready(it) for it in self.entries)
                          and all(it.has_valid_lease() for it in self.workers), limit)

    def stop(self):
        """Stops the stand-ins and kills all processes."""
        for worker in self.workers:
            worker.stop()
        self.store.stop()
        for child in self.children:
            if child.poll() is None:
                child.kill()
                child.wait()
        self.claim.close()

    # Configuration

    def apply_config(self, extra_queues=()):
        """Writes the next version of the configuration to the store.

        Its queues are `urgent`, `bulk` and extra_queues, with priorities 0, 1, 2 and so on.
        """
        self.version += 7
        queue = {"host": "walks.example", "service": "desk", "attempts": 3, "slack_factor": 2.0,
                 "target_latency_ms": 400, "timeout_ms": 4000}
        routes = [dict(queue, name=name, path_prefix=f"/{name}/", priority=n)
                  for n, name in enumerate(["urgent", "bulk", *extra_queues])]
        self.store.write("keyed.op", "config",
                         json.dumps({"version": self.version, "routes": routes, "services": []}))

    def evacuate(self, zone, is_evacuated):
        """Writes the operators' request to evacuate a data centre, or its withdrawal, to the store."""
        self.store.write("keyed.op", f"evacuate/{zone}", "{}" if is_evacuated else "")

    # Jobs

    def make_job(self, tasks=3, run_ms=50, cpu=500, queue="urgent", **spec):
        """Makes a job whose tasks run for run_ms and need `cpu` thousandths of a core each.

        `spec` holds further fields of the task specification; see Worker.
        """
        body = {"best_effort": True, "spec": json.dumps({"cpu": cpu, "run_ms": run_ms, **spec}),
                "phases": [{"count": tasks, "cpu": cpu, "mem_mb": 16, "est_runtime_ms": run_ms}]}
        return Job(uuid.uuid4().hex[:16], queue, tasks, json.dumps(body))


# HTTP status, "state" of the body if the status is 200, and the Retry-After header, if any.
Answer = collections.namedtuple("Answer", "status state retry_after")
# One attempt of a caller: name of the entry, monotonic times in seconds, Answer or None.
Submission = collections.namedtuple("Submission", "entry sent answered answer")


class Job:
    """A job as its caller sees it, with all its submissions in the order in which they ended."""

    def __init__(self, job_id, queue, tasks, body):
        self.id = job_id
        self.queue = queue  # name of the queue
        self.tasks = tasks  # number of tasks
        self.body = body    # JSON text
        self.submissions = []

    def answer(self):
        """Answer of the last submission; None if that had none or there was no submission."""
        return self.submissions[-1].answer if self.submissions else None


class Caller:
    """One caller; it keeps its connection to an entry until the entry closes it or a call fails.

    `seed` selects the entries that it connects to. A Caller is used by one thread at a time.
    """

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.connection = None
        self.entry = None  # to which `connection` leads, or led last

    def connect(self, entry):
        """Leaves the current connection; the next submission connects to `entry`."""
        self.close()
        self.entry = entry
        host = f"{self.fleet.ip(CALLER, self.fleet.entries.index(entry) + 1)}:{CALLER_PORT}"
        self.connection = http.client.HTTPConnection(host, timeout=10)

    def close(self):
        if self.connection:
            self.connection.close()
        self.connection = None

    def submit_once(self, job, deadline_ms=4000, response_timeout_s=None):
        """Sends the job once and returns its Answer, or None without one.

        Goes to the entry of the current connection, or else to an entry chosen at random. The caller
        closes the connection if the answer takes longer than response_timeout_s (default: the deadline).
        """
        response_timeout_s = response_timeout_s or deadline_ms / 1000
        if not self.connection:
            self.connect(self.random.choice(self.fleet.entries))
        self.connection.timeout = response_timeout_s
        if self.connection.sock:
            self.connection.sock.settimeout(response_timeout_s)
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

    def submit(self, job, attempts=4, response_timeout_s=None):
        """Sends the job until there is an answer other than 502 and 504, as the platform's callers do.

        Returns that Answer, or None after the given number of attempts. `response_timeout_s` applies to the
        first attempt only.
        """
        for n in range(attempts):
            answer = self.submit_once(job, response_timeout_s=response_timeout_s if n == 0 else None)
            if answer and answer.status not in (502, 504):
                return answer
            time.sleep(RESUBMIT_S)
        return None


def in_threads(functions):
    """Starts one daemon thread for each function and returns the threads."""
    threads = [threading.Thread(target=it, daemon=True) for it in functions]
    for it in threads:
        it.start()
    return threads


REJECTED = (404, 429, 503)  # statuses that promise that no task of the job was started

# Checks of promises that hold in every history of runs. Each returns its violations as texts.

def runs_of(history, job):
    """The ended runs of the job's tasks."""
    return [it for it in history if it.task.startswith(job.id + ".")]


def overlapping_runs(history):
    """Checks that no task ran twice at the same time."""
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


def waits_after(history, how):
    """Seconds from each end of this kind to the next start of the task, in the order of the ends."""
    return [min(begins) - run.end for run in list(history) if run.how == how
            if (begins := [it.begin for it in history
                           if it.task == run.task and it.begin > run.end])]


def crashes_of(history):
    """Number of workers that crashed under each task, by the name of the task."""
    return collections.Counter(it.task for it in history if it.how == "crashed")


def untrue_answers(history, jobs, max_failures=3, min_crashes=2):
    """Checks that the answer of each job agrees with the runs of its tasks.

    Of a job whose submissions were all rejected, no task may have run. Of a job answered as
    completed, every task must have a run that ended as done. Of a job answered as failed, some task
    must have failed max_failures times, or min_crashes workers must have crashed under it.
    """
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
            crashes = crashes_of(runs)
            if (max(failures.values(), default=0) < max_failures
                    and max(crashes.values(), default=0) < min_crashes):
                found.append(f"{text}, but no task failed {max_failures} times"
                             f" or crashed {min_crashes} workers")
        elif answer.status != 504:
            found.append(text)
    return found
