"""A worker of the users' platform as its own process, so that a script can kill and restart it.

Follows PROTOCOL.md, "Running tasks" and "Service discovery". The specification of a task is JSON:
`run_ms`, the run time, and for one case `crash`: the worker process ends by SIGKILL right after it
has begun the task, before it answers, once (the file that `crash` names marks that it has happened).
SIGUSR1 makes the worker drain: it says so at once and in each later heartbeat, and serves on.
Every start and every end is appended to the file of events as one line of JSON, with the monotonic
time in seconds, before anything else happens; so the lines outlive the process.
"""
import argparse
import http.client
import http.server
import json
import os
import signal
import threading
import time
import urllib.parse

HOLD_MAX_MS = 1000  # bounds.hold_max_ms
STOP_MS = 20        # bounds.stop_timeout_ms is 50


class Run:
    def __init__(self, attempt, seconds, cpu):
        self.attempt = attempt
        self.begin = time.monotonic()
        self.seconds = seconds
        self.cpu = cpu
        self.stop_at = None


class Worker:
    def __init__(self, options):
        self.options = options
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.lease_until = 0.0
        self.active = {}
        self.ended = []
        self.last_number = 0
        self.barred = {}  # highest attempt that was stopped or has ended, by task
        self.sequence = 0
        self.state = "ready"
        self.said = threading.Event()  # set to send a heartbeat at once
        self.changed = threading.Condition()
        self.events = os.open(options.events, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
        threading.Thread(target=self.run_tasks, daemon=True).start()
        threading.Thread(target=self.send_heartbeats, daemon=True).start()

    def note(self, event, **fields):
        line = json.dumps({"t": round(time.monotonic(), 4), "event": event,
                           "worker": self.options.id, "born": self.born, **fields})
        os.write(self.events, (line + "\n").encode())

    def clock(self):
        return 1000 + (time.monotonic() - self.started) * 1000

    def end(self, task, how):
        run = self.active.pop(task)
        self.barred[task] = max(run.attempt, self.barred.get(task, 0))
        self.last_number += 1
        self.ended.append((self.last_number, task, run.attempt, how))
        self.note("end", task=task, attempt=run.attempt, how=how)

    def run_tasks(self):
        with self.changed:
            while True:
                now = time.monotonic()
                if self.clock() > self.lease_until:
                    for task in list(self.active):
                        self.end(task, "lapsed")
                for task, run in list(self.active.items()):
                    if run.stop_at is not None and now >= run.stop_at:
                        self.end(task, "stopped")
                    elif now >= run.begin + run.seconds:
                        self.end(task, "done")
                self.changed.notify_all()
                waits = [it.stop_at or it.begin + it.seconds for it in self.active.values()]
                wait = min(waits, default=now + 0.5) - now
                if self.active:
                    wait = min(wait, (self.lease_until - self.clock()) / 1000 + 0.001)
                self.changed.wait(max(0.001, min(wait, 0.5)))

    # Calls of the agent

    def handle(self, path, headers, body):
        fields = json.loads(body)
        with self.changed:
            if headers.get("Expect-Instance") not in (None, self.options.id):
                return 421, {"clock_ms": int(self.clock())}
            if path == "/-/run-start":
                return self.start(fields)
            if path == "/-/run-stop":
                return self.stop(fields)
            return self.hold(fields) if path == "/-/hold" else (404, {})

    def extend(self, fields):
        if "deadline_ms" in fields:
            until = min(fields["deadline_ms"], self.clock() + HOLD_MAX_MS)
            self.lease_until = max(self.lease_until, until)
            self.changed.notify_all()

    def start(self, fields):
        task, attempt, clock = fields["task"], fields["attempt"], int(self.clock())
        if clock > fields["deadline_ms"]:
            return 409, {"clock_ms": clock, "reason": "late"}
        self.extend(fields)
        running = self.active.get(task)
        if running and running.attempt == attempt:
            return 200, {"clock_ms": clock}
        if running or attempt <= self.barred.get(task, 0):
            return 409, {"clock_ms": clock, "reason": "old"}
        try:
            spec = json.loads(fields["spec"])
        except ValueError:
            spec = None
        if not isinstance(spec, dict):
            spec = {"run_ms": 50}  # a text that means nothing to this stand-in
        self.active[task] = Run(attempt, spec["run_ms"] / 1000, spec.get("cpu", 0))
        self.note("start", task=task, attempt=attempt, spec=fields["spec"],
                  used=sum(it.cpu for it in self.active.values()), capacity=self.options.cpu,
                  labels=self.options.labels)
        marker = spec.get("crash")
        if marker and not os.path.exists(marker):
            with open(marker, "w", encoding="utf-8"):
                pass
            self.note("crash")
            os.kill(os.getpid(), signal.SIGKILL)
        return 200, {"clock_ms": clock}

    def stop(self, fields):
        task, attempt = fields["task"], fields["attempt"]
        self.barred[task] = max(attempt, self.barred.get(task, 0))
        run = self.active.get(task)
        self.note("stop_order", task=task, attempt=attempt)
        if run and run.attempt <= attempt and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_MS / 1000
            self.changed.notify_all()
        return 200, {"clock_ms": int(self.clock())}

    def hold(self, fields):
        self.ended = [it for it in self.ended if it[0] > fields["acked_through"]]
        self.extend(fields)
        self.changed.wait_for(lambda: self.ended, timeout=fields.get("wait_ms", 0) / 1000)
        now = time.monotonic()
        active = [[task, it.attempt, "", min(100, int(100 * (now - it.begin) / it.seconds)), it.cpu]
                  for task, it in self.active.items()]
        return 200, {"clock_ms": int(self.clock()), "born": self.born, "active": active,
                     "finished": [[n, task, attempt, how, ""]
                                  for n, task, attempt, how in self.ended[:500]]}

    # Heartbeats

    def send_heartbeats(self):
        while True:
            with self.changed:
                self.sequence += 1
                body = json.dumps({
                    "service": self.options.service,
                    "address": self.options.announce or self.options.listen,
                    "zone": self.options.zone, "version": "v1", "slots": 8, "state": self.state,
                    "cold_left_ms": 0, "labels": self.options.labels.split(","),
                    "capacity": {"cpu": self.options.cpu, "mem_mb": 131072, "gpu": 0},
                    "born": self.born, "clock_ms": int(self.clock()), "seq_num": self.sequence})
                state = self.state
            call = http.client.HTTPConnection(self.options.agent, timeout=1)
            try:
                call.request("PUT", "/-/instances/" + self.options.id, body,
                             {"Content-Type": "application/json"})
                reply = call.getresponse()
                reply.read()
                if state == "draining":
                    self.note("draining", answer=reply.status)
            except (OSError, http.client.HTTPException):
                pass  # the next heartbeat says the same
            finally:
                call.close()
            self.said.wait(self.options.heartbeat_ms / 1000)
            self.said.clear()

    def drain(self, *_):
        self.state = "draining"
        self.said.set()


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def do_POST(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        status, fields = self.server.worker.handle(urllib.parse.urlsplit(self.path).path,
                                                   self.headers, body)
        answer = json.dumps(fields).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(answer)))
        self.end_headers()
        self.wfile.write(answer)

    def log_message(self, *_):
        pass


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256
    allow_reuse_address = True

    def handle_error(self, request, client_address):
        pass


def main():
    parser = argparse.ArgumentParser()
    for name in ("id", "listen", "agent", "service", "zone", "labels", "events"):
        parser.add_argument("--" + name, required=True)
    parser.add_argument("--cpu", type=int, required=True)
    parser.add_argument("--announce", default="")  # address in the heartbeats, if it is another one
    parser.add_argument("--heartbeat-ms", type=int, default=1500)
    options = parser.parse_args()
    host, port = options.listen.rsplit(":", 1)
    server = Server((host, int(port)), Handler)
    server.worker = Worker(options)
    signal.signal(signal.SIGUSR1, server.worker.drain)
    server.serve_forever()


if __name__ == "__main__":
    main()
