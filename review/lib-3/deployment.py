"""A small deployment on loopback for the scripts of this review.

Starts the programs of deploy/system.toml with its commands, beside the project's stand-ins of the
platform (tests/system/platformstandin.py). Each machine has its own address in 127.0.0.0/8, as on the
platform; the worker of a side machine has the machine's address.
"""
import collections
import http.client
import json
import os
import random
import shutil
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
sys.path.insert(0, os.path.join(ROOT, "tests", "system"))

from platformstandin import Store, Worker  # noqa: E402

ENTRY, SIDE, STORE, LINK = 1, 2, 3, 4  # third byte of an address 127.NETWORK.KIND.N
CALLER_PORT, READY_PORT, WORKER_PORT, CONTROL_PORT, STORE_PORT = 8161, 8167, 8165, 8166, 8169
LINK_PORT, LAST_PORT = 7720, 7735

SETTINGS = """node_name = "{name}"
role = "{role}"
machine_class = "{machine_class}"
serves = [{serves}]
ip = "{ip}"
zone = "{zone}"
region = "loopback"
port_range = [{link_port},{last_port}]
seeds = [{seeds}]
bootstrap = {bootstrap}
is_counted = false
discovery = "local"
entry = "vip"
heartbeat_ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform"]
control_mode = "invoke"
{app}[bind_addrs]
{addresses}
[limits]
cpu_quota = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
region_count = 0
[bounds]
seed_lag_s = 3
reuse_delay_s = 2
stable_window_ms = 3000
ack_ms = 4000
catchup_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
max_skew_ms = 5000
recovery_s = 12
hold_max_ms = 1000
stop_timeout_ms = 50
gang_wait_ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
remote_factor = 1.5
resend_ms = 1300
fencing_enabled = true
lease_ms = 3000
[platform]
address = "{store}"
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 8
append_ms = 4.0
part_bw_s = 20.0
read_bw_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
"""

CALM_S = 3.5  # stable_window_ms and a little more, after which all machines are in touch
HOST = "walks.example"
SERVICE = "desk"


class Unavailable(Exception):
    """The case cannot run here."""


def require(condition, text):
    if not condition:
        raise Unavailable(text)


class Machine:
    """One machine with its settings and its process, if that runs."""

    def __init__(self, role, name, ip, settings):
        self.role = role
        self.name = name
        self.ip = ip
        self.settings = settings
        self.process = None


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds since the start."""

    def __init__(self, folder):
        self.begin = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def write(self, text, at=None):
        at = time.monotonic() if at is None else at
        with self.lock:
            self.file.write(f"{at - self.begin:9.3f} s  {text}\n")
            self.file.flush()


Answer = collections.namedtuple("Answer", "status body headers")


def call(method, address, path, body=None, headers=None, timeout=30.0):
    """Sends one request on a connection of its own; None without an answer."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        reply = connection.getresponse()
        return Answer(reply.status, reply.read().decode(), dict(reply.getheaders()))
    except (OSError, http.client.HTTPException):
        return None
    finally:
        connection.close()


class Deployment:
    """A store, entries, and side machines with one worker each."""

    def __init__(self, entries=2, sides=3, cpu=4000, routes=None, worker=Worker):
        self.program = os.path.join(ROOT, "target", "cactuscove")
        require(os.access(self.program, os.X_OK), "target/cactuscove is not built")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            roles = tomllib.load(file)["roles"]
        self.commands = {role: roles[role]["run"].split() for role in ("entry", "agent")}
        self.network = self.free_network()
        self.directory = tempfile.mkdtemp(prefix="cactuscove-review-")
        self.history = []  # ended runs of all workers
        self.machines = []
        self.workers = []
        self.version = 0
        self.store = Store(f"{self.ip(STORE, 1)}:{STORE_PORT}")
        self.apply_config(routes)
        self.entries = [self.machine("entry", n + 1) for n in range(entries)]
        self.sides = [self.machine("agent", n + 1) for n in range(sides)]
        for it in self.machines:
            self.start(it)
        for it in self.sides:
            self.workers.append(worker(f"{it.ip}:{WORKER_PORT}", f"{it.ip}:{CONTROL_PORT}",
                                       self.history, SERVICE, cpu))

    @staticmethod
    def free_network():
        """Second byte of addresses on which nothing listens yet."""
        for network in random.sample(range(20, 250), 40):
            try:
                with socket.socket() as probe:
                    probe.bind((f"127.{network}.{STORE}.1", STORE_PORT))
                return network
            except OSError:
                continue
        raise Unavailable("no free loopback addresses")

    def ip(self, kind, n):
        return f"127.{self.network}.{kind}.{n}"

    def machine(self, role, n, ip=None):
        is_entry = role == "entry"
        name = f"{'edge' if is_entry else 'side'}-z{n}"
        ip = ip or self.ip(ENTRY if is_entry else SIDE, n)
        addresses = [f'control_plane = "{ip}:{CONTROL_PORT}"']
        if is_entry:
            addresses += [f'frontend = "{ip}:{CALLER_PORT}"', f'ready = "{ip}:{READY_PORT}"']
        it = Machine(role, name, ip, os.path.join(self.directory, name + ".toml"))
        with open(it.settings, "w", encoding="utf-8") as file:
            file.write(SETTINGS.format(
                name=name, role=role, machine_class="edge" if is_entry else "side",
                serves='"edge","control"' if is_entry else '"side"', ip=ip, zone=f"z{n}",
                link_port=LINK_PORT, last_port=LAST_PORT,
                seeds=", ".join(f'"{self.ip(ENTRY, k)}:{CONTROL_PORT}"' for k in (1, 2)),
                bootstrap="true", app="" if is_entry else f'app = "{ip}:{WORKER_PORT}"\nservice = "{SERVICE}"\n',
                addresses="\n".join(addresses), store=self.store.address))
        self.machines.append(it)
        return it

    def start(self, machine):
        command = [os.path.join(ROOT, self.commands[machine.role][0]),
                   *self.commands[machine.role][1:]]
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG")
                       if name in os.environ}
        environment["CACTUSCOVE_BOOT"] = machine.settings
        with open(os.path.join(self.directory, machine.name + ".log"), "ab") as out:
            machine.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=out,
                                               stderr=subprocess.STDOUT)

    def log_of(self, machine):
        with open(os.path.join(self.directory, machine.name + ".log"), encoding="utf-8") as file:
            return file.read()

    def apply_config(self, routes=None):
        """Writes the next version of the configuration; `routes` are fields by name of the queue."""
        self.version += 7
        routes = {"bookings": {}} if routes is None else routes
        base = {"host": HOST, "type": "non_idempotent", "service": SERVICE, "attempts": 3,
                "slack_factor": 2.0, "target_latency_ms": 400, "timeout_ms": 20000, "priority": 0}
        self.store.write("keyed.op", "config", json.dumps({
            "version": self.version,
            "routes": [dict(base, name=name, path_prefix=f"/{name}/", **fields)
                       for name, fields in routes.items()],
            "services": [{"name": SERVICE, "health_path": "/healthz", "max_conns": 64,
                          "protocol": "h1", "tls": False, "rejects_overload": False,
                          "standby": False}], "limits": {}}))

    def wait_ready(self, limit_s=20.0):
        """Waits until every entry is ready and has heard from every worker's agent."""
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if all(self.is_ready(it) for it in self.entries) and all(
                    it.has_valid_lease() for it in self.workers):
                return
            time.sleep(0.05)
        raise Unavailable("the deployment does not get ready")

    def is_ready(self, entry):
        answer = call("GET", f"{entry.ip}:{READY_PORT}", "/-/readyz", timeout=1)
        if not answer or answer.status != 200:
            return False
        answer = call("GET", f"{entry.ip}:{LAST_PORT}", "/metrics", timeout=1)
        lines = answer.body.splitlines() if answer else []
        up = [it for it in lines if it.startswith("cactuscove_up_members")]
        return bool(up) and float(up[0].rsplit(" ", 1)[1]) == len(self.sides)

    def stop(self):
        for it in self.workers:
            it.stop()
        self.store.stop()
        for it in self.machines:
            if it.process and it.process.poll() is None:
                it.process.kill()
                it.process.wait()
        shutil.rmtree(self.directory, ignore_errors=True)

    # Jobs

    def submit(self, entry, job_id, tasks, run_ms, deadline_ms, cpu=1000, declared_ms=None):
        """Sends a job that need not be kept and waits for its answer as long as the caller does.

        Its tasks take run_ms; declared_ms is what the job says of that, the truth if it is left out.
        """
        body = json.dumps({
            "best_effort": True, "spec": json.dumps({"cpu": cpu, "run_ms": run_ms}),
            "phases": [{"count": tasks, "cpu": cpu, "mem_mb": 16,
                        "est_runtime_ms": declared_ms or run_ms}]})
        return call("POST", f"{entry.ip}:{CALLER_PORT}", f"/bookings/{job_id}", body,
                    {"Host": HOST, "Content-Type": "application/json",
                     "Deadline-Ms": str(deadline_ms)}, timeout=deadline_ms / 1000)

    def active(self):
        """The runs that have not ended: (worker, task, attempt, begin)."""
        found = []
        for worker in self.workers:
            with worker.changed:
                found += [(worker.id, task, it.attempt, it.begin)
                          for task, it in worker.active.items()]
        return found


def overlapping_runs(history):
    """Pairs of runs of one task, of which the second began before the first had ended."""
    found = []
    by_task = collections.defaultdict(list)
    for it in sorted(history, key=lambda run: run.begin):
        found += [(other, it) for other in by_task[it.task] if it.begin < other.end]
        by_task[it.task].append(it)
    return found


def show(answer):
    return f"{answer.status} {answer.body}" if answer else "none"


def write_runs(record, history):
    for it in sorted(history, key=lambda run: run.begin):
        record.write(f"start of {it.task}, run {it.attempt}, on {it.worker}", it.begin)
        record.write(f"end of {it.task}, run {it.attempt}, on {it.worker}: {it.how}", it.end)


def run_case(folder, play, **fleet):
    """Starts a deployment, calls play(deployment, record) once all machines are in touch, and ends the
    script with the status that it returns."""
    record = Record(folder)
    status = 2
    try:
        deployment = Deployment(**fleet)
        try:
            deployment.wait_ready()
            time.sleep(CALM_S)
            status = play(deployment, record)
        finally:
            deployment.stop()
    except (Unavailable, OSError) as error:
        record.write(f"could not run: {error}")
    sys.exit(status)
