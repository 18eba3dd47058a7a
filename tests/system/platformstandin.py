"""Stand-ins of the outside systems of the dispatch roles: the platform's store and its workers.

They follow the protocol and keep a history of every run, from which the tests check the promises.
"""
import base64
import collections
import http.client
import http.server
import json
import struct
import threading
import time
import urllib.parse
import uuid

MAX_LEASE_MS = 1000
STOP_MS = 20
HEARTBEAT_S = 0.7

Run = collections.namedtuple("Run", "task attempt worker begin end how")


class Server(http.server.ThreadingHTTPServer):
    """Calls handle(method, path, query, headers, body), which returns (status, body bytes)."""

    daemon_threads = True
    request_queue_size = 256

    def __init__(self, address, handle):
        self.handle_call = handle
        host, port = address.rsplit(":", 1)
        super().__init__((host, int(port)), Handler)
        self.address = f"{host}:{self.server_address[1]}"
        threading.Thread(target=self.serve_forever, kwargs={"poll_interval": 0.5},
                         daemon=True).start()

    def stop(self):
        self.shutdown()
        self.server_close()

    def handle_error(self, request, client_address):
        """Connections are cut on purpose; handlers report their own mistakes."""


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1  # one packet an answer

    def serve(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        url = urllib.parse.urlsplit(self.path)
        answer = self.server.handle_call(self.command, url.path,
                                         dict(urllib.parse.parse_qsl(url.query)), self.headers, body)
        if answer is None:  # no answer at all
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
    return status, json.dumps(fields).encode()


class Store:
    """The metadata store: a log of records by topic. Mode: None, or "down", "busy", "silent"."""

    def __init__(self, address):
        self.mode = None
        self.is_closing = False
        self.topics = collections.defaultdict(list)  # record bodies, from offset 0
        self.changed = threading.Condition()
        self.server = Server(address, self.handle)
        self.address = self.server.address

    def write(self, topic, key, value):
        with self.changed:
            self.topics[topic].append(bytes([len(key)]) + key.encode() + value.encode())
            self.changed.notify_all()

    def handle(self, method, path, query, _, body):
        if self.mode == "down":
            return answer_json(503)
        if self.mode == "busy":
            return answer_json(429)
        if self.mode == "silent":
            while self.mode == "silent" and not self.is_closing:
                time.sleep(0.05)
            return None
        records = self.topics[query["topic"]]
        if method == "POST" and path == "/-/log-append":
            return self.append(records, body)
        if path == "/-/log-read":
            return self.read(records, int(query["from"]), int(query.get("wait_ms", 0)) / 1000)
        if path == "/-/log-newest":
            return self.newest(records, query.get("depends_on", ""))
        return answer_json(404)

    def append(self, records, body):
        with self.changed:
            first = len(records)
            while body:
                size = struct.unpack(">I", body[:4])[0]
                records.append(body[4:4 + size])
                body = body[4 + size:]
            self.changed.notify_all()
            return answer_json(200, offset=first, end_offset=len(records))

    def read(self, records, begin, wait):
        with self.changed:
            self.changed.wait_for(lambda: len(records) > begin or self.mode, timeout=wait)
            new = records[begin:]
            return 200, struct.pack(">QQ", len(records), 0) + b"".join(
                struct.pack(">I", len(it)) + it for it in new)

    def newest(self, records, after):
        with self.changed:
            found = {}
            for offset, it in enumerate(records):
                key = it[1:1 + it[0]].decode()
                found[key] = {"key": key, "offset": offset,
                              "value": base64.b64encode(it[1 + it[0]:]).decode()}
            page = sorted((it for it in found.values() if it["key"] > after),
                          key=lambda it: it["key"])
            return answer_json(200, items=page, has_more=False, end_offset=len(records))

    def stop(self):
        self.is_closing = True
        self.server.stop()


class ActiveRun:
    def __init__(self, attempt, spec, now, seconds):
        self.attempt = attempt
        self.spec = spec
        self.begin = now
        self.seconds = seconds
        self.stop_at = None


class Worker:
    """One worker; crash() begins another life at the same address.

    A task's spec is JSON with cpu (thousandths of a core) and run_ms; `fails` in it makes that many
    first runs of the task fail. Faults: `slowness` (factor), `is_failing` (all new runs end failed),
    `is_hung` (nothing ends by itself).
    """

    def __init__(self, address, agent, history, service, cpu=4000, clock_rate=1.0, announced=None):
        self.history = history
        self.agent = agent  # where it reports
        self.service = service
        self.cpu = cpu
        self.clock_rate = clock_rate
        self.slowness = 1.0
        self.is_failing = False
        self.is_hung = False
        self.is_closing = False
        self.overbooked = []  # (task, cpu in use) of starts beyond the capacity
        self.changed = threading.Condition()
        self.begin_life()
        self.server = Server(address, self.handle)
        self.announced = announced or self.server.address
        threading.Thread(target=self.work, daemon=True).start()
        threading.Thread(target=self.report, daemon=True).start()

    def begin_life(self):
        self.id = "i-" + uuid.uuid4().hex[:8]
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.lease_until = 0.0  # on its clock
        self.active = {}
        self.ended = []  # (number, task, attempt, how)
        self.last_number = 0
        self.tombstones = {}  # highest attempt stopped or ended
        self.sequence = 0

    def clock(self):
        return 1000 + (time.monotonic() - self.started) * 1000 * self.clock_rate

    def is_looked_after(self):
        """Its lease has been extended in the last second."""
        return self.clock() < self.lease_until

    def crash(self):
        with self.changed:
            for task in list(self.active):
                self.end(task, "crashed")
            self.begin_life()
            self.changed.notify_all()

    def stop(self):
        self.is_closing = True
        with self.changed:
            self.changed.notify_all()
        self.server.stop()

    # Runs

    def used(self):
        return sum(it.spec["cpu"] for it in self.active.values())

    def end(self, task, how):
        run = self.active.pop(task)
        self.history.append(Run(task, run.attempt, self.id, run.begin, time.monotonic(), how))
        self.tombstones[task] = max(run.attempt, self.tombstones.get(task, 0))
        self.last_number += 1
        self.ended.append((self.last_number, task, run.attempt, how))

    def next_event(self, run, now):
        if run.stop_at is not None:
            return run.stop_at
        if self.is_hung:
            return float("inf")
        return run.begin + run.seconds * (1.0 if self.is_failing else self.slowness)

    def work(self):
        with self.changed:
            while not self.is_closing:
                now = time.monotonic()
                if self.clock() > self.lease_until:
                    for task in list(self.active):
                        self.end(task, "lapsed")
                for task, run in list(self.active.items()):
                    if now >= self.next_event(run, now):
                        self.end(task, self.result_of(task, run))
                self.changed.notify_all()
                nearest = min((self.next_event(it, now) for it in self.active.values()),
                              default=now + 0.5)
                lease = (self.lease_until - self.clock()) / 1000 if self.active else 0.5
                self.changed.wait(max(0.001, min(nearest - now, lease + 0.001, 0.5)))

    def result_of(self, task, run):
        if run.stop_at is not None:
            return "stopped"
        wanted = run.spec.get("fails", 0)
        failed = wanted and sum(it.task == task and it.how == "failed" for it in self.history)
        return "failed" if self.is_failing or failed < wanted else "done"

    # Calls

    def handle(self, _, path, __, headers, body):
        fields = json.loads(body)
        with self.changed:
            if headers.get("Expect-Instance") not in (None, self.id):
                return answer_json(421, clock_ms=int(self.clock()))
            if path == "/-/run-start":
                return self.start_run(fields)
            if path == "/-/run-stop":
                return self.stop_run(fields)
            return self.hold(fields) if path == "/-/hold" else answer_json(404)

    def extend_lease(self, fields):
        if "deadline_ms" in fields:
            until = min(fields["deadline_ms"], self.clock() + MAX_LEASE_MS)
            self.lease_until = max(self.lease_until, until)
            self.changed.notify_all()

    def reject(self, reason):
        return answer_json(409, clock_ms=int(self.clock()), reason=reason)

    def start_run(self, fields):
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
        if self.used() + spec["cpu"] > self.cpu:
            self.overbooked.append((task, self.used()))
        self.active[task] = ActiveRun(attempt, spec, time.monotonic(), spec["run_ms"] / 1000)
        return answer_json(200, clock_ms=int(clock))

    def stop_run(self, fields):
        task, attempt = fields["task"], fields["attempt"]
        self.tombstones[task] = max(attempt, self.tombstones.get(task, 0))
        run = self.active.get(task)
        if run and run.attempt <= attempt and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_MS / 1000
            self.changed.notify_all()
        return answer_json(200, clock_ms=int(self.clock()))

    def hold(self, fields):
        life = self.id
        self.ended = [it for it in self.ended if it[0] > fields["acked_through"]]
        self.extend_lease(fields)
        self.changed.wait_for(lambda: self.ended or self.id != life or self.is_closing,
                              timeout=fields.get("wait_ms", 0) / 1000)
        if self.id != life:
            return None
        now = time.monotonic()
        return answer_json(
            200, clock_ms=int(self.clock()), born=self.born,
            active=[[task, it.attempt, "", min(100, int(100 * (now - it.begin) / it.seconds))]
                    for task, it in self.active.items()],
            finished=[[number, task, attempt, how, ""]
                      for number, task, attempt, how in self.ended[:500]])

    # Heartbeats

    def report(self):
        while not self.is_closing:
            with self.changed:
                self.sequence += 1
                path = "/-/instances/" + self.id
                body = json.dumps({
                    "service": self.service, "address": self.announced, "zone": "z0",
                    "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
                    "capacity": {"cpu": self.cpu, "mem_mb": 8192, "gpu": 0}, "labels": ["a", "r1"],
                    "born": self.born, "clock_ms": int(self.clock()), "seq_num": self.sequence})
            call = http.client.HTTPConnection(self.agent, timeout=1)
            try:
                call.request("PUT", path, body, {"Content-Type": "application/json"})
                call.getresponse().read()
            except (OSError, http.client.HTTPException):
                pass  # the agent is away; the next heartbeat tells it
            finally:
                call.close()
            time.sleep(HEARTBEAT_S)
