"""Stand-ins for the systems around the dispatch roles: the platform's store and its workers.

They run in threads of the test and follow the platform's protocol. Workers append every ended run to
a history, from which dispatchfleet.py checks the answers.
"""
import base64
import collections
import contextlib
import http.client
import http.server
import json
import random
import socket
import struct
import threading
import time
import urllib.parse
import uuid

MAX_LEASE_MS = 1000  # longest time for which a call extends a worker's lease
STOP_MS = 20         # time from a stop call to the end of the run
HEARTBEAT_S = 0.7    # time between a worker's reports to its agent
CAPACITY_GRACE_S = 3 + HEARTBEAT_S  # after which a capacity that has shrunk must be kept
CRASH_DELAY_S = 0.01  # from the start of a task that crashes its worker to the crash
MIN_LATE_S, MAX_LATE_S = 2.0, 12.0  # from a start without an answer until it is carried out

# An ended run. `worker` is the id of the worker's incarnation; begin and end are monotonic times in
# seconds; `how` is "done", "failed", "stopped" (by a call), "lapsed" (with the lease), "crashed" or
# "left" (with a worker that left as planned).
Run = collections.namedtuple("Run", "task attempt worker begin end how")

# How a worker shuts down: seconds from its DELETE until it closes its listener and its open connections,
# and until its process ends, which closes what is still open.
Shutdown = collections.namedtuple("Shutdown", "listener connections process")


class Server(http.server.ThreadingHTTPServer):
    """An HTTP server that answers with handle(method, path, query, headers, body).

    `handle` returns (status, body bytes), or None to close the connection without an answer. Each
    connection has its own thread.
    """

    daemon_threads = True
    request_queue_size = 256

    def __init__(self, address, handle):
        self.handle_call = handle
        self.connections = set()  # open sockets
        host, port = address.rsplit(":", 1)
        super().__init__((host, int(port)), Handler)
        self.address = f"{host}:{self.server_address[1]}"
        threading.Thread(target=self.serve_forever, kwargs={"poll_interval": 0.5},
                         daemon=True).start()

    def stop(self):
        self.shutdown()
        self.server_close()

    def close_listener(self):
        """Refuses new connections from now on; the open ones stay."""
        self.socket.shutdown(socket.SHUT_RDWR)  # wakes serve_forever(), which close() would not
        self.stop()

    def close_connections(self):
        """Ends all open connections; new ones are accepted."""
        for it in list(self.connections):
            try:
                it.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass  # its other end has closed it

    def handle_error(self, request, client_address):
        """Prints nothing, because tests break connections on purpose."""


class Handler(http.server.BaseHTTPRequestHandler):
    """Reads the requests of one connection of a Server and writes the answers."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1  # buffers the output, so that an answer leaves in one packet

    def setup(self):
        super().setup()
        self.server.connections.add(self.connection)

    def finish(self):
        self.server.connections.discard(self.connection)
        super().finish()

    def serve(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        url = urllib.parse.urlsplit(self.path)
        answer = self.server.handle_call(self.command, url.path,
                                         dict(urllib.parse.parse_qsl(url.query)), self.headers, body)
        if answer is None:
            self.close_connection = True
            return
        self.send_response(answer[0])
        self.send_header("Content-Length", str(len(answer[1])))
        self.end_headers()
        self.wfile.write(answer[1])

    do_GET = do_POST = do_PUT = do_DELETE = serve

    def log_message(self, *_):
        pass


def answer_json(status, **fields):
    """An answer for Server with the fields as a JSON object."""
    return status, json.dumps(fields).encode()


class Store:
    """The metadata store: one log of records for each partition of a topic.

    A record is one byte with the length of its key, the key, and the value. `mode` is the fault in
    force: None, "down" (answers 503), "busy" (answers 429) or "silent" (no answer until the mode
    changes, then the connection closes). `silent_parts` holds the (topic, partition) pairs that are
    silent in this way while the others answer. `calls` counts the calls by (path, topic, partition).
    """

    def __init__(self, address):
        self.mode = None
        self.silent_parts = set()
        self.is_closing = False
        self.parts = collections.defaultdict(list)  # records from offset 0, by (topic, partition)
        self.calls = collections.Counter()
        self.changed = threading.Condition()  # guards these two, signalled after each append
        self.server = Server(address, self.handle)
        self.address = self.server.address

    def write(self, topic, key, value, part=0):
        """Appends a record, as an operator does; `value` is a str or bytes."""
        value = value if isinstance(value, bytes) else value.encode()
        with self.changed:
            self.parts[topic, part].append(bytes([len(key)]) + key.encode() + value)
            self.changed.notify_all()

    def is_silent(self, part):
        """Whether calls to the (topic, partition) get no answer."""
        return self.mode == "silent" or part in self.silent_parts

    def handle(self, method, path, query, _, body):
        """Answers one request; called by Server."""
        if self.mode == "down":
            return answer_json(503)
        if self.mode == "busy":
            return answer_json(429)
        part = (query["topic"], int(query["part"]))
        if self.is_silent(part):
            while self.is_silent(part) and not self.is_closing:
                time.sleep(0.05)
            return None
        with self.changed:
            self.calls[path, *part] += 1
            records = self.parts[part]
        if method == "POST" and path == "/-/log-append":
            return self.append(records, body, query.get("at"))
        if path == "/-/log-read":
            answer = self.read(records, int(query["from"]), int(query.get("wait_ms", 0)) / 1000)
            return None if self.is_silent(part) else answer
        if path == "/-/log-newest":
            return self.newest(records, query.get("depends_on", ""))
        return answer_json(404)

    def append(self, records, body, at):
        """Appends the records of the body, each after its size as a 32-bit big-endian number.

        With `at`, only if the partition ends at that offset.
        """
        with self.changed:
            first = len(records)
            if at is not None and int(at) != first:
                return answer_json(412, end_offset=first)
            while body:
                size = struct.unpack(">I", body[:4])[0]
                records.append(body[4:4 + size])
                body = body[4 + size:]
            self.changed.notify_all()
            return answer_json(200, offset=first, end_offset=len(records))

    def read(self, records, begin, wait):
        """Answers with the records from offset `begin`; waits `wait` seconds at most for one."""
        with self.changed:
            self.changed.wait_for(lambda: len(records) > begin or self.mode, timeout=wait)
            new = records[begin:]
            return 200, struct.pack(">QQ", len(records), 0) + b"".join(
                struct.pack(">I", len(it)) + it for it in new)

    def newest(self, records, after):
        """Answers with the newest record of each key greater than `after`, by ascending key."""
        with self.changed:
            found = {}
            for offset, it in enumerate(records):
                key = it[1:1 + it[0]].decode()
                found[key] = {"key": key, "offset": offset,
                              "value": base64.b64encode(it[1 + it[0]:]).decode()}
            # A key whose newest record has no value is deleted.
            page = sorted((it for it in found.values() if it["key"] > after and it["value"]),
                          key=lambda it: it["key"])
            return answer_json(200, items=page, has_more=False, end_offset=len(records))

    def stop(self):
        self.is_closing = True
        self.server.stop()


class ActiveRun:
    """A run that has not ended."""

    def __init__(self, attempt, spec, now, seconds):
        self.attempt = attempt
        self.spec = spec        # parsed specification of the task; see Worker
        self.begin = now        # monotonic time in seconds
        self.seconds = seconds  # run time without faults
        self.stop_at = None     # monotonic time of its end after a stop call


class LateStart:
    """A start that has had no answer, and is still under way to the worker."""

    def __init__(self, worker, fields, due):
        self.worker = worker  # id that it names
        self.fields = fields
        self.due = due        # monotonic time in seconds; then the worker gets it, if it listens
        self.expires = time.monotonic() + MAX_LATE_S


class Worker:
    """One worker, which runs tasks by waiting for their run time and reports to one agent.

    set_capacity() changes the capacity; a smaller one counts after CAPACITY_GRACE_S.
    crash() ends the current incarnation; the next one starts at the same address with a new id, and
    after restart() with the same id. leave() ends it as planned; shut_down() does so too, and closes
    its listener and its connections at times of their own. The specification of a task is JSON
    with `cpu` (thousandths of a core) and `run_ms`; with `fails`, the first that many runs of the task
    fail; with `crashes`, each run of the task crashes its worker; with `ends_worker_s`, the first run
    ends its worker before it has answered the start, and the next incarnation, with the same id,
    answers that many seconds later. Tests set these faults:
    slowness    factor of the run times, unless is_failing
    is_failing  runs end as failed
    is_hung     no run ends by itself
    late_starts    so many of the next starts get no answer and arrive MIN_LATE_S later
    late_share     the same for this share of the starts, up to MAX_LATE_S later. A start that is due while
                   nothing listens arrives as the next incarnation begins to, before any other call
    heartbeat_s time between its reports

    `address` is where it listens, `agent` where it sends its heartbeats, `announced` the address in
    the heartbeats if that differs. Its clock advances clock_rate seconds in each second.
    """

    def __init__(self, address, agent, history, service, cpu=4000, clock_rate=1.0, announced=None,
                 zone="z0"):
        self.history = history
        self.agent = agent
        self.service = service
        self.cpu = cpu
        self.capacities = [(0.0, cpu)]  # monotonic time in seconds of each change, and the capacity
        self.clock_rate = clock_rate
        self.zone = zone
        self.slowness = 1.0
        self.is_failing = False
        self.is_hung = False
        self.late_starts = 0
        self.late_share = 0.0
        self.late = []  # LateStart, in the order of arrival
        self.random = random.Random(address)
        self.heartbeat_s = HEARTBEAT_S
        self.id = ""
        self.is_closing = False
        self.away_until = 0.0  # monotonic time; calls get no answer before it
        self.overbooked = []  # (task, cpu in use before) of each start beyond the capacity
        self.changed = threading.Condition()  # guards the state of the incarnation
        self.closing = threading.Lock()  # held while the listener or the connections close and reopen
        self.begin_incarnation()
        self.server = Server(address, self.handle)
        self.announced = announced or self.server.address
        threading.Thread(target=self.run_tasks, daemon=True).start()
        threading.Thread(target=self.send_heartbeats, daemon=True).start()

    def begin_incarnation(self, keeps_id=False):
        """Sets the state that a crash loses."""
        self.id = self.id if keeps_id else "i-" + uuid.uuid4().hex[:8]
        self.state = "ready"    # in heartbeats; None: it has left, and sends no more of them
        self.born = int(time.time() * 1000)  # start of the incarnation, ms since 1970
        self.started = time.monotonic()
        self.lease_until = 0.0  # clock() at which all runs end unless the lease is extended, ms
        self.active = {}  # ActiveRun by task
        self.ended = []  # (number, task, attempt, how) that the agent has not acknowledged
        self.last_number = 0  # of the run that ended last
        self.tombstones = {}  # highest attempt that was stopped or has ended, by task
        self.sequence = 0  # number of heartbeats sent

    def clock(self):
        """The worker's own clock in ms, from 1000 at the start of the incarnation."""
        return 1000 + (time.monotonic() - self.started) * 1000 * self.clock_rate

    def has_valid_lease(self):
        """Whether the lease is in force: an agent has extended it within the last MAX_LEASE_MS."""
        return self.clock() < self.lease_until

    def crash(self, incarnation=None):
        """Ends all runs and the incarnation at once, and begins the next incarnation.

        With `incarnation`, only if that is the current one. Nothing happens while the worker shuts down.
        """
        with self.changed:
            if incarnation in (None, self.id) and not self.closing.locked():
                self.end_incarnation()

    def crash_with_connections(self, down_s=0.3, keeps_id=False):
        """The same, but all connections end, and nothing listens at the address for `down_s`."""
        if not self.closing.acquire(blocking=False):
            return
        with self.closing_server() as server:
            with self.changed:
                self.end_incarnation(keeps_id)
                self.begin_later(down_s)
            server.close_connections()
            server.close_listener()
            time.sleep(down_s)

    def restart(self):
        """The same as crash(), but the next incarnation keeps the id.

        It sends its first heartbeat when one is due.
        """
        with self.changed:
            if not self.closing.locked():
                self.end_incarnation(keeps_id=True)

    @contextlib.contextmanager
    def closing_server(self):
        """The server, to be closed while `closing` is held; afterwards the worker listens again."""
        try:
            yield self.server
            self.server.close_connections()
            if not self.is_closing:
                self.server = Server(self.server.address, self.handle)
        finally:
            self.closing.release()

    def end_incarnation(self, keeps_id=False, how="crashed"):
        """Ends all runs and begins the next incarnation. The caller holds `changed`."""
        for task in list(self.active):
            self.end(task, how)
        self.begin_incarnation(keeps_id)
        self.changed.notify_all()

    def begin_later(self, down_s):
        """Lets the incarnation that has just begun be `down_s` younger: until then nothing answers."""
        self.away_until = time.monotonic() + down_s
        self.started += down_s
        self.born += int(1000 * down_s)

    def leave(self, drain_s, end_s):
        """Leaves as planned: drains, sends DELETE, and ends `end_s` after the answer to it.

        Its next incarnation takes over the listener and the connections.
        """
        incarnation = self.drain(drain_s)
        if incarnation:
            time.sleep(end_s)
            self.end_planned(incarnation)

    def shut_down(self, drain_s, shutdown, says_delete=True, down_s=0.0, keeps_id=False):
        """Leaves as planned: drains, sends DELETE and ends as `shutdown` says.

        Its next incarnation opens the listener again after `down_s`. Without says_delete the DELETE is lost.
        """
        incarnation = self.drain(drain_s, says_delete)
        if not incarnation or not self.closing.acquire(blocking=False):
            return
        begin = time.monotonic()
        with self.closing_server() as server:
            steps = [(min(shutdown.connections, shutdown.process), server.close_connections),
                     (min(shutdown.listener, shutdown.process), server.close_listener),
                     (shutdown.process, lambda: self.end_planned(incarnation, down_s, keeps_id))]
            for at_s, step in sorted(steps, key=lambda it: it[0]):
                time.sleep(max(0.0, begin + at_s - time.monotonic()))
                step()
            time.sleep(down_s)

    def drain(self, drain_s, says_delete=True):
        """Drains and says DELETE. Returns the incarnation, or None if it has ended meanwhile."""
        with self.changed:
            incarnation = self.id, self.born
            self.state = "draining"
        self.send_heartbeat()
        time.sleep(drain_s)
        with self.changed:
            if (self.id, self.born) != incarnation:
                return None
            self.state = None
        if says_delete:
            self.say("DELETE", incarnation[0])
        return incarnation

    def end_planned(self, incarnation, down_s=0.0, keeps_id=False):
        """Ends the incarnation as planned, unless it has ended before."""
        with self.changed:
            if (self.id, self.born) == incarnation:
                self.end_incarnation(keeps_id, how="left")
                self.begin_later(down_s)

    def set_capacity(self, cpu):
        """Changes the capacity; the next heartbeat reports it."""
        with self.changed:
            self.cpu = cpu
            self.capacities.append((time.monotonic(), cpu))

    def counted_capacity(self):
        """The largest capacity that a start may use now."""
        limit = time.monotonic() - CAPACITY_GRACE_S
        older = [it for it in self.capacities if it[0] <= limit]
        return max(cpu for _, cpu in older[-1:] + [it for it in self.capacities if it[0] > limit])

    def stop(self):
        self.is_closing = True
        with self.changed:
            self.changed.notify_all()
        self.server.stop()

    # Runs. The caller holds `changed`, except for run_tasks().

    def used(self):
        """Thousandths of a core that the active runs take."""
        return sum(it.spec["cpu"] for it in self.active.values())

    def end(self, task, how):
        """Ends an active run; `how` is one of the values of Run."""
        run = self.active.pop(task)
        self.history.append(Run(task, run.attempt, self.id, run.begin, time.monotonic(), how))
        self.tombstones[task] = max(run.attempt, self.tombstones.get(task, 0))
        self.last_number += 1
        self.ended.append((self.last_number, task, run.attempt, how))

    def end_time(self, run, now):
        """Monotonic time in seconds at which the run ends under the present faults."""
        if run.stop_at is not None:
            return run.stop_at
        if self.is_hung:
            return float("inf")
        return run.begin + run.seconds * (1.0 if self.is_failing else self.slowness)

    def run_tasks(self):
        """Ends runs when their time has come or the lease has lapsed; has its own thread."""
        with self.changed:
            while not self.is_closing:
                self.deliver_late_starts()
                now = time.monotonic()
                if self.clock() > self.lease_until:
                    for task in list(self.active):
                        self.end(task, "lapsed")
                for task, run in list(self.active.items()):
                    if now >= self.end_time(run, now):
                        self.end(task, self.result_of(task, run))
                self.changed.notify_all()
                nearest = min((self.end_time(it, now) for it in self.active.values()),
                              default=now + 0.5)
                lease = (self.lease_until - self.clock()) / 1000 if self.active else 0.5
                late = min((max(it.due, self.away_until) - now for it in self.late), default=0.5)
                self.changed.wait(max(0.001, min(nearest - now, lease + 0.001, late, 0.5)))

    def result_of(self, task, run):
        """How a run that ends by itself or after a stop call ends; see Run."""
        if run.stop_at is not None:
            return "stopped"
        wanted = run.spec.get("fails", 0)
        failed = wanted and sum(it.task == task and it.how == "failed" for it in self.history)
        return "failed" if self.is_failing or failed < wanted else "done"

    # Requests of the agent. Those with Expect-Instance are for that incarnation only.

    def handle(self, _, path, __, headers, body):
        """Answers one request; called by Server. The other functions are called with `changed` held."""
        fields = json.loads(body)
        with self.changed:
            if time.monotonic() < self.away_until:
                return None
            self.deliver_late_starts()
            if headers.get("Expect-Instance") not in (None, self.id):
                return answer_json(421, clock_ms=int(self.clock()))
            if path == "/-/run-start":
                return None if self.holds_back(fields) else self.start_run(fields)
            if path == "/-/run-stop":
                return self.stop_run(fields)
            return self.hold(fields) if path == "/-/hold" else answer_json(404)

    def extend_lease(self, fields):
        """Extends the lease up to `deadline_ms` on the worker's clock, but by MAX_LEASE_MS at most."""
        if "deadline_ms" in fields:
            until = min(fields["deadline_ms"], self.clock() + MAX_LEASE_MS)
            self.lease_until = max(self.lease_until, until)
            self.changed.notify_all()

    def holds_back(self, fields):
        """Whether this start gets no answer and arrives late; see late_starts and late_share.

        No more are held back than the worker has room for: no agent can prevent that an incarnation
        which gets all of them at once is filled beyond its capacity.
        """
        now = time.monotonic()
        needs = {it.fields["task"]: json.loads(it.fields["spec"])["cpu"] for it in self.late}
        needs[fields["task"]] = json.loads(fields["spec"])["cpu"]
        if sum(needs.values()) > self.cpu:
            return False
        if self.late_starts > 0:
            self.late_starts -= 1
            due = now + MIN_LATE_S
        elif self.random.random() < self.late_share:
            due = now + self.random.uniform(MIN_LATE_S, MAX_LATE_S)
        else:
            return False
        self.late.append(LateStart(self.id, fields, due))
        self.changed.notify_all()
        return True

    def deliver_late_starts(self):
        """Carries out the starts that are due, unless nothing listens now."""
        now = time.monotonic()
        if now < self.away_until:
            return
        self.late = [it for it in self.late if now <= it.expires]
        for it in [it for it in self.late if now >= it.due]:
            self.late.remove(it)
            if it.worker == self.id:
                self.start_run(it.fields)

    def reject(self, reason):
        """The answer to a start that the worker does not carry out."""
        return answer_json(409, clock_ms=int(self.clock()), reason=reason)

    def start_run(self, fields):
        """Starts a run, unless the call is late or the attempt is older than one that it knows of.

        A repeated call for the active attempt is answered as the first one was.
        """
        task, attempt, clock = fields["task"], fields["attempt"], self.clock()
        if clock > fields["deadline_ms"]:
            return self.reject("late")
        self.extend_lease(fields)
        running = self.active.get(task)
        if running and running.attempt == attempt:
            return answer_json(200, clock_ms=int(clock))
        if attempt <= self.tombstones.get(task, 0) or running:
            return self.reject("old")
        spec = json.loads(fields["spec"])
        if self.used() + spec["cpu"] > self.counted_capacity():
            self.overbooked.append((task, self.used()))
        self.active[task] = ActiveRun(attempt, spec, time.monotonic(), spec["run_ms"] / 1000)
        if spec.get("crashes"):
            threading.Timer(CRASH_DELAY_S, self.crash, [self.id]).start()
        if spec.get("ends_worker_s") and not any(it.task == task for it in self.history):
            self.end_incarnation(keeps_id=True)
            self.begin_later(spec["ends_worker_s"])
            return None
        return answer_json(200, clock_ms=int(clock))

    def stop_run(self, fields):
        """Stops the task's active run up to this attempt, and bars starts of these attempts."""
        task, attempt = fields["task"], fields["attempt"]
        self.tombstones[task] = max(attempt, self.tombstones.get(task, 0))
        run = self.active.get(task)
        if run and run.attempt <= attempt and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_MS / 1000
            self.changed.notify_all()
        return answer_json(200, clock_ms=int(self.clock()))

    def hold(self, fields):
        """Extends the lease and reports the active and ended runs.

        Forgets ended runs up to `acked_through`, and waits up to `wait_ms` for a run to report.
        """
        incarnation = self.id, self.born
        self.ended = [it for it in self.ended if it[0] > fields["acked_through"]]
        self.extend_lease(fields)
        self.changed.wait_for(
            lambda: self.ended or (self.id, self.born) != incarnation or self.is_closing,
            timeout=fields.get("wait_ms", 0) / 1000)
        if (self.id, self.born) != incarnation:
            return None
        now = time.monotonic()
        return answer_json(
            200, clock_ms=int(self.clock()), born=self.born,
            active=[[task, it.attempt, "", min(100, int(100 * (now - it.begin) / it.seconds))]
                    for task, it in self.active.items()],
            finished=[[number, task, attempt, how, ""]
                      for number, task, attempt, how in self.ended[:500]])

    # Heartbeats

    def send_heartbeats(self):
        """Sends the worker's state to its agent every HEARTBEAT_S; has its own thread."""
        while not self.is_closing:
            self.send_heartbeat()
            time.sleep(self.heartbeat_s)

    def send_heartbeat(self):
        """Sends the worker's state, unless it has left."""
        with self.changed:
            if self.state is None or time.monotonic() < self.away_until:
                return
            self.sequence += 1
            worker = self.id
            body = json.dumps({
                "service": self.service, "address": self.announced, "zone": self.zone,
                "version": "v1", "slots": 8, "state": self.state, "cold_left_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": 8192, "gpu": 0}, "labels": ["a", "r1"],
                "born": self.born, "clock_ms": int(self.clock()), "seq_num": self.sequence})
        self.say("PUT", worker, body)

    def say(self, method, worker, body=None):
        """Makes one call about the worker with this id to the agent."""
        call = http.client.HTTPConnection(self.agent, timeout=1)
        try:
            call.request(method, "/-/instances/" + worker, body,
                         {"Content-Type": "application/json"})
            call.getresponse().read()
        except (OSError, http.client.HTTPException):
            pass  # the agent is down or unreachable; the next heartbeat reports the state again
        finally:
            call.close()
