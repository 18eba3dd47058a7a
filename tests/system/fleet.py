"""Starts real processes on loopback for the system tests: log stand-in, entries, agents, upstreams.

path_test.py and fault_test.py derive their tests from FleetTest; tools/measure-control and
tools/measure-latency use Fleet alone. Tests wait until a state is observed, with a generous time
limit, and never sleep for a fixed time.
"""
import collections
import json
import os
import re
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
WAIT_LIMIT_S = 30.0  # default time limit of wait_until()

# `body` is the parsed JSON of the reply, or its text where that is not JSON.
Reply = collections.namedtuple("Reply", "status body headers")


def http(method, address, path, body=None, timeout=20.0):
    """Sends one request and returns its Reply, also for status 4xx and 5xx, or None without one.

    `body` is sent as it is if it is bytes, else as JSON. `timeout` is in seconds.
    """
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


def wait_until(what, condition, limit=WAIT_LIMIT_S):
    """Polls until condition() is true and returns the seconds that this took.

    Fails with an AssertionError that names `what` after `limit` seconds.
    """
    begin = time.monotonic()
    while True:
        value = condition()
        if value:
            return time.monotonic() - begin
        if time.monotonic() - begin > limit:
            raise AssertionError(f"no {what} within {limit} s")
        time.sleep(0.02)


def in_background(function, *arguments):
    """Calls the function in a thread and returns a function result().

    result() waits up to `limit` seconds for the value; result.is_done() does not wait.
    """
    values = []  # empty until the function has returned, then its value
    thread = threading.Thread(target=lambda: values.append(function(*arguments)), daemon=True)
    thread.start()

    def result(limit=60.0):
        thread.join(limit)
        assert values, f"{function} did not return within {limit} s"
        return values[0]

    result.is_done = lambda: bool(values)
    return result


def metric(address, name):
    """Reads a metric of the process at `address`: its sum over all labels, or 0 without an answer."""
    reply = http("GET", address, "/metrics", timeout=2)
    total = 0.0
    for line in reply.body.splitlines() if reply else []:
        if line.startswith((name + " ", name + "{")):
            total += float(line.rsplit(" ", 1)[1])
    return total


def free_port():
    """A TCP port of 127.0.0.1 that nothing listens on at the time of the call."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Process:
    """One child process, whose output goes to a file.

    The constructor returns once the process has printed the ip:port that it listens on (`address`).
    """

    def __init__(self, name, directory, command):
        self.name = name
        self.output = os.path.join(directory, name + ".log")  # path of its stdout and stderr
        with open(self.output, "wb") as out:
            self.child = subprocess.Popen([os.path.join(BIN, command[0]), *command[1:]],
                                          stdout=out, stderr=subprocess.STDOUT)
        wait_until(f"address of {name}", self._read_address)

    def _read_address(self):
        """Sets `address` from the output; False while the process has not printed it."""
        assert self.child.poll() is None, f"{self.name} ended: {self.log()}"
        for prefix in ("listen=", "listening on "):
            if prefix in self.log():
                words = self.log().split(prefix)[1].split()
                self.address = "127.0.0.1:" + words[1] if words[0] == "port" else words[0]
                return True
        return False

    def signal(self, number):
        """Sends the signal; the process need not have ended afterwards."""
        self.child.send_signal(number)

    def kill(self):
        """Sends SIGKILL and waits for the end of the process."""
        self.child.kill()
        self.child.wait()

    def log(self):
        """Everything that the process has printed so far."""
        with open(self.output, encoding="utf-8") as text:
            return text.read()


class Fleet:
    """A log stand-in, entries, and agents with one upstream stand-in each, all on loopback.

    The constructor returns when the fleet is ready. `options` are flags of every entry and agent;
    with `spans` each of them writes its trace spans to ROLE<n>.spans in `directory`.
    """

    def __init__(self, entries=2, agents=3, options=(), spans=False):
        self.spans = spans
        self.options = options
        self.directory = tempfile.mkdtemp(prefix="cactuscove-")  # output of all processes
        self.processes = []  # all that were ever started
        self.count = collections.Counter()  # processes started, by kind
        self.log = self.start("log", "logstandin", "--listen=127.0.0.1:0")
        self.entries = [self.start_entry() for _ in range(entries)]
        self.agents = []
        self.upstreams = []
        for _ in range(agents):
            self.add_worker()
        self.wait_ready()

    def start(self, kind, *command):
        """Starts a program of the build directory; its name is `kind` and a running number."""
        self.count[kind] += 1
        process = Process(f"{kind}{self.count[kind]}", self.directory, command)
        self.processes.append(process)
        return process

    def start_role(self, role, *extra, listen="127.0.0.1:0"):
        """Starts an entry or agent with `extra` flags; the caller adds it to `entries` or `agents`."""
        if self.spans:
            path = os.path.join(self.directory, f"{role}{self.count[role] + 1}.spans")
            extra += (f"--trace-file={path}",)
        return self.start(role, "cactuscove", role, f"--listen={listen}", "--data-centre=d1",
                          "--office=hollisdale", f"--log-url=http://{self.log.address}",
                          *self.options, *extra)

    def start_entry(self, *extra):
        """Starts one more entry; the caller adds it to `entries`."""
        return self.start_role("entry", *extra)

    def add_worker(self, *extra, **options):
        """Starts an agent and an upstream that announces itself to this agent; returns the agent."""
        agent = self.start_role("agent", *extra, **options)
        self.agents.append(agent)
        self.upstreams.append(self.start("upstream", "upstreamstandin", "--listen=127.0.0.1:0",
                                         f"--agent={agent.address}", "--upstream=walk-desk"))
        return agent

    def live(self, processes):
        """Those of the given processes that have not ended."""
        return [it for it in processes if it.child.poll() is None]

    def wait_ready(self):
        """Waits until live processes are ready, shards have a home and agents have an upstream."""
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
        """Runs `cactuscove apply` against an entry; returns its exit status and output."""
        entry = entry or self.live(self.entries)[0]
        run = subprocess.run([os.path.join(BIN, "cactuscove"), "apply",
                              f"--entry-url=http://{entry.address}", f"--office={office}",
                              "--author=tests", *extra, config],
                             capture_output=True, text=True, timeout=60, check=False)
        return run.returncode, run.stdout + run.stderr

    def wait_revision(self, revision, processes=None):
        """Waits until all given processes (default: all live ones) use this configuration revision."""
        processes = processes or self.live(self.entries + self.agents)
        return wait_until(f"revision {revision} everywhere", lambda: all(
            metric(it.address, "cactuscove_config_revision") == revision for it in processes))

    def starts(self):
        """Number of starts by (job, task), summed over the upstreams that answer."""
        total = collections.Counter()
        for it in self.upstreams:
            reply = http("GET", it.address, "/starts", timeout=5)
            if reply:
                total.update((start["job"], start["task"]) for start in reply.body["starts"])
        return total

    def stop(self):
        """Kills all processes, also those that a test has stopped with SIGSTOP."""
        for it in self.processes:
            if it.child.poll() is None:
                it.signal(signal.SIGCONT)
                it.kill()


def job(job_id=None, tasks=3, run_ms=50, **fields):
    """Body of a job whose tasks each take run_ms and echo "JOB/TASK"; `fields` replace its fields."""
    job_id = job_id or uuid.uuid4().hex
    return {"id": job_id, "team": "bookings", "class": "urgent", "upstream": "walk-desk",
            "deadline_ms": 20000,
            "tasks": [{"id": f"t{n}", "payload": json.dumps({"run_ms": run_ms, "echo": f"{job_id}/t{n}"})}
                      for n in range(tasks)], **fields}


def submit(entry, body, wait_ms=20000):
    """Submits a job at the entry and waits up to wait_ms for its answer; returns the Reply or None."""
    return http("POST", entry.address, f"/v1/jobs?wait_ms={wait_ms}", body, timeout=wait_ms / 1000 + 10)


def shards_of(agent):
    """Number of shards whose home the agent is, by its own metrics."""
    return metric(agent.address, "cactuscove_shards_owned")


class FleetTest(unittest.TestCase):
    """Base of the tests: starts a fleet with the example configuration for each test, and has checks.

    Subclasses replace make_fleet() to start another fleet.
    """

    def setUp(self):
        self.fleet = self.make_fleet()
        self.addCleanup(self.fleet.stop)
        status, output = self.fleet.apply()
        self.assertEqual(status, 0, output)
        self.fleet.wait_revision(1)

    def make_fleet(self):
        return Fleet()

    def assert_answer(self, body, reply):
        """Checks that an answer has every task's own result in order, or is an error without tasks."""
        self.assertIsNotNone(reply, "no answer")
        if reply.status != 200:
            self.assertNotIn("tasks", reply.body if isinstance(reply.body, dict) else {})
            return
        self.assertEqual(reply.body["id"], body["id"])
        self.assertEqual([it["id"] for it in reply.body["tasks"]], [it["id"] for it in body["tasks"]])
        for it in reply.body["tasks"]:
            self.assertEqual(json.loads(it["body"])["echo"], f"{body['id']}/{it['id']}")

    def assert_completed(self, body, reply):
        """Checks that the job was answered as completed, with the result of every task."""
        self.assert_answer(body, reply)
        self.assertEqual((reply.status, reply.body.get("outcome")), (200, "completed"), reply.body)

    def assert_started_at_most_once(self):
        """Checks that no task was started more than once, counted over all upstreams."""
        doubled = {it: n for it, n in self.fleet.starts().items() if n > 1}
        self.assertEqual(doubled, {}, "tasks started more than once")

    def assert_not_run(self, body):
        """Checks that no upstream has started a task of the job."""
        key = f"{body['team']}/{body['id']}"
        self.assertEqual([it for it in self.fleet.starts() if it[0] in (key, body["id"])], [])


class BatchTest(FleetTest):
    """Base of the tests that submit many jobs and change the configuration beside faults."""

    def wait_all_shards_owned(self):
        """Waits until the live agents are the homes of all 512 shards; returns the seconds it took."""
        agents = self.fleet.live(self.fleet.agents)
        return wait_until("home for every shard", lambda: sum(map(shards_of, agents)) == 512)

    def submit_batch(self, count, **fields):
        """Submits jobs at the live entries in turn, without waiting for the answers.

        Returns a pair for each job: its body and the result function of in_background().
        """
        entries = self.fleet.live(self.fleet.entries)
        bodies = [job(**fields) for _ in range(count)]
        return [(it, in_background(submit, entries[n % len(entries)], it))
                for n, it in enumerate(bodies)]

    def check_batch(self, batch):
        """Waits for all answers of a batch and checks them; returns the number of completed jobs.

        No task of a job answered as not_run may have started, and no task at all twice. Prints the
        answers of the jobs that did not complete, and what the processes say of them.
        """
        replies = [(body, call()) for body, call in batch]
        for body, reply in replies:
            if reply is None or reply.body.get("outcome") != "completed":
                print(f"{self.id()}: job {body['id']} was answered {reply and reply.body}")
                for it in self.fleet.processes:
                    print("".join(f"  {it.name}: {line}\n" for line in it.log().splitlines()
                                  if body["id"] in line or "suspect" in line or "lost" in line),
                          end="")
        starts = self.fleet.starts()
        for body, reply in replies:
            self.assert_answer(body, reply)
            if reply.body.get("outcome") == "not_run":
                ran = [it for it in starts if body["id"] in it[0]]
                self.assertEqual(ran, [], f"told not_run: {reply.body}")
        self.assert_started_at_most_once()
        return sum(reply.body.get("outcome") == "completed" for _, reply in replies)

    def changed_config(self, weight):
        """Writes the example configuration with another weight of its first team; returns the path."""
        with open(CONFIG, encoding="utf-8") as file:
            text = re.sub(r"weight: \d+", f"weight: {weight}", file.read(), count=1)
        path = os.path.join(self.fleet.directory, f"fleet-{weight}.yaml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path
