"""Runs real processes on loopback for the system tests: log stand-in, entries, agents, upstreams.

Every wait is for an observed state with a generous limit; no test sleeps for a fixed time.
"""
import collections
import json
import os
import signal
import socket
import subprocess
import tempfile
import threading
import time
import unittest
import urllib.error
import urllib.request
import uuid

BIN = os.environ.get("CACTUSCOVE_BIN", "build/release")
CONFIG = "examples/fleet.yaml"
LIMIT = 30.0  # seconds until a state that must come counts as missing

Reply = collections.namedtuple("Reply", "status body headers")


def http(method, address, path, body=None, timeout=20.0):
    """Returns the reply, or None if there was no HTTP answer."""
    data = body if isinstance(body, (bytes, type(None))) else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as reply:
            text, status, headers = reply.read(), reply.status, reply.headers
    except urllib.error.HTTPError as error:
        text, status, headers = error.read(), error.code, error.headers
    except OSError:
        return None
    try:
        return Reply(status, json.loads(text), headers)
    except ValueError:
        return Reply(status, text.decode(), headers)


def wait_until(what, condition, limit=LIMIT):
    """Polls until the condition holds and returns the seconds that it took."""
    begin = time.monotonic()
    while True:
        value = condition()
        if value:
            return time.monotonic() - begin
        if time.monotonic() - begin > limit:
            raise AssertionError(f"no {what} within {limit} s")
        time.sleep(0.02)


def in_background(function, *arguments):
    """Runs the function in a thread; the returned result() waits for its value."""
    box = []
    thread = threading.Thread(target=lambda: box.append(function(*arguments)), daemon=True)
    thread.start()

    def result(limit=60.0):
        thread.join(limit)
        assert box, "the call did not end"
        return box[0]

    result.is_done = lambda: bool(box)
    return result


def metric(address, name):
    """Sum over all labels; 0 without an answer."""
    reply = http("GET", address, "/metrics", timeout=2)
    total = 0.0
    for line in reply.body.splitlines() if reply else []:
        if line.startswith((name + " ", name + "{")):
            total += float(line.rsplit(" ", 1)[1])
    return total


def free_port():
    with socket.socket() as it:
        it.bind(("127.0.0.1", 0))
        return it.getsockname()[1]


class Process:
    """One process of the fleet; `address` is read from its first lines of output."""

    def __init__(self, name, directory, command):
        self.name = name
        self.output = os.path.join(directory, name + ".log")
        with open(self.output, "wb") as out:
            self.child = subprocess.Popen([os.path.join(BIN, command[0]), *command[1:]],
                                          stdout=out, stderr=subprocess.STDOUT)
        wait_until(f"address of {name}", self._read_address)

    def _read_address(self):
        assert self.child.poll() is None, f"{self.name} ended: {self.log()}"
        for mark in ("listen=", "listening on "):
            if mark in self.log():
                word = self.log().split(mark)[1].split()
                self.address = "127.0.0.1:" + word[1] if word[0] == "port" else word[0]
                return True
        return False

    def signal(self, number):
        self.child.send_signal(number)

    def kill(self):
        self.child.kill()
        self.child.wait()

    def log(self):
        with open(self.output, encoding="utf-8") as text:
            return text.read()


class Fleet:
    """2 entries and 3 agents with one upstream each unless told otherwise."""

    def __init__(self, entries=2, agents=3, options=(), spans=False):
        self.spans = spans
        self.options = options  # of every entry and agent
        self.directory = tempfile.mkdtemp(prefix="cactuscove-")
        self.processes = []
        self.count = collections.Counter()
        self.log = self.start("log", "logstandin", "--listen=127.0.0.1:0")
        self.entries = [self.start_entry() for _ in range(entries)]
        self.agents = []
        self.upstreams = []
        for _ in range(agents):
            self.add_worker()
        self.wait_ready()

    def start(self, kind, *command):
        self.count[kind] += 1
        process = Process(f"{kind}{self.count[kind]}", self.directory, command)
        self.processes.append(process)
        return process

    def start_role(self, role, *extra, listen="127.0.0.1:0"):
        if self.spans:
            path = os.path.join(self.directory, f"{role}{self.count[role] + 1}.spans")
            extra += (f"--trace-file={path}",)
        return self.start(role, "cactuscove", role, f"--listen={listen}", "--data-centre=d1",
                          "--office=hollisdale", f"--log-url=http://{self.log.address}",
                          *self.options, *extra)

    def start_entry(self, *extra):
        return self.start_role("entry", *extra)

    def add_worker(self, *extra, **options):
        agent = self.start_role("agent", *extra, **options)
        self.agents.append(agent)
        self.upstreams.append(self.start("upstream", "upstreamstandin", "--listen=127.0.0.1:0",
                                         f"--agent={agent.address}", "--upstream=walk-desk"))
        return agent

    def live(self, processes):
        return [it for it in processes if it.child.poll() is None]

    def wait_ready(self):
        """Every process is registered, every shard has a home, every upstream has announced."""
        def ready():
            for it in self.live(self.entries + self.agents):
                reply = http("GET", it.address, "/readyz", timeout=2)
                if not reply or reply.status != 200:
                    return False
            agents = self.live(self.agents)
            return not agents or (
                sum(metric(it.address, "cactuscove_shards_owned") for it in agents) == 512
                and all(metric(it.address, "cactuscove_upstream_slots") > 0 for it in agents))
        wait_until("ready fleet", ready)

    def apply(self, entry=None, config=CONFIG, office="hollisdale", extra=()):
        """Runs `cactuscove apply`; returns exit status and output."""
        entry = entry or self.live(self.entries)[0]
        run = subprocess.run([os.path.join(BIN, "cactuscove"), "apply",
                              f"--entry-url=http://{entry.address}", f"--office={office}",
                              "--author=tests", *extra, config],
                             capture_output=True, text=True, timeout=60, check=False)
        return run.returncode, run.stdout + run.stderr

    def wait_revision(self, revision, processes=None):
        processes = processes or self.live(self.entries + self.agents)
        return wait_until(f"revision {revision} everywhere", lambda: all(
            metric(it.address, "cactuscove_config_revision") == revision for it in processes))

    def starts(self):
        """How often each (job, task) was started, over all upstreams that ever ran."""
        total = collections.Counter()
        for it in self.upstreams:
            reply = http("GET", it.address, "/starts", timeout=5)
            if reply:
                total.update((start["job"], start["task"]) for start in reply.body["starts"])
        return total

    def stop(self):
        for it in self.processes:
            if it.child.poll() is None:
                it.signal(signal.SIGCONT)
                it.kill()


def job(job_id=None, tasks=3, run_ms=50, **fields):
    """A job of `tasks` tasks that each take run_ms and echo their own name."""
    job_id = job_id or uuid.uuid4().hex
    return {"id": job_id, "team": "bookings", "class": "urgent", "upstream": "walk-desk",
            "deadline_ms": 20000,
            "tasks": [{"id": f"t{n}", "payload": json.dumps({"run_ms": run_ms, "echo": f"{job_id}/t{n}"})}
                      for n in range(tasks)], **fields}


def submit(entry, body, wait_ms=20000):
    return http("POST", entry.address, f"/v1/jobs?wait_ms={wait_ms}", body, timeout=wait_ms / 1000 + 10)


class FleetTest(unittest.TestCase):
    """A fleet for each test, and the checks that hold for every history."""

    def setUp(self):
        self.fleet = self.make_fleet()
        self.addCleanup(self.fleet.stop)
        status, output = self.fleet.apply()
        self.assertEqual(status, 0, output)
        self.fleet.wait_revision(1)

    def make_fleet(self):
        return Fleet()

    def assert_answer(self, body, reply):
        """The answer is whole and the request's own, or a failure without any task."""
        self.assertIsNotNone(reply, "no answer")
        if reply.status != 200:
            self.assertNotIn("tasks", reply.body if isinstance(reply.body, dict) else {})
            return
        self.assertEqual(reply.body["id"], body["id"])
        self.assertEqual([it["id"] for it in reply.body["tasks"]], [it["id"] for it in body["tasks"]])
        for it in reply.body["tasks"]:
            self.assertEqual(json.loads(it["body"])["echo"], f"{body['id']}/{it['id']}")

    def assert_completed(self, body, reply):
        self.assert_answer(body, reply)
        self.assertEqual((reply.status, reply.body.get("outcome")), (200, "completed"), reply.body)

    def assert_started_at_most_once(self):
        doubled = {it: n for it, n in self.fleet.starts().items() if n > 1}
        self.assertEqual(doubled, {}, "tasks started more than once")

    def assert_not_run(self, body):
        """No start of any task of the job is recorded."""
        key = f"{body['team']}/{body['id']}"
        self.assertEqual([it for it in self.fleet.starts() if it[0] in (key, body["id"])], [])
