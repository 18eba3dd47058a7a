"""A forwarder before a worker, which may hold one order back and deliver it later.

It passes each call of the agent on to the worker and the answer back. After hold_next() the next run-start
gets no answer, and is delivered once `after_s` have passed and something listens at the worker's
address: until then a connection is tried again every millisecond, as a sender does that waits for its peer.
"""
import http.client
import http.server
import socket
import threading
import time


class Delay:
    def __init__(self, listen, target, say):
        self.target = target
        self.say = say
        self.after_s = None
        self.more_s = 0.0  # added to the time of the delivery, once something listens
        host, port = listen.rsplit(":", 1)
        self.server = Server((host, int(port)), Handler)
        self.server.delay = self
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def hold_next(self, after_s):
        """Holds the next run-start back, for this long at least; 0 or None: none."""
        self.after_s = after_s

    def takes(self, path):
        """Whether the call is the one to hold back."""
        if path != "/-/run-start" or not self.after_s:
            return False
        return True

    def deliver_late(self, path, headers, body):
        after_s, self.after_s = self.after_s, None
        self.say(f"held back at {self.target}: {body.decode()}")
        due = time.monotonic() + after_s
        while time.monotonic() < due + 10:
            time.sleep(max(0.001, due - time.monotonic()))
            try:
                if self.more_s:
                    host, port = self.target.rsplit(":", 1)
                    socket.create_connection((host, int(port)), timeout=1).close()
                    time.sleep(self.more_s)
                answer = self.call(path, headers, body)
                self.say(f"delivered late at {self.target}: {answer}")
                return
            except OSError:
                continue

    def call(self, path, headers, body):
        host, port = self.target.rsplit(":", 1)
        call = http.client.HTTPConnection(host, int(port), timeout=5)
        try:
            call.request("POST", path, body, headers)
            reply = call.getresponse()
            return reply.status, reply.read()
        finally:
            call.close()


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def do_POST(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        headers = {it: self.headers[it] for it in ("Expect-Instance", "Content-Type")
                   if it in self.headers}
        delay = self.server.delay
        if delay.takes(self.path):
            delay.deliver_late(self.path, headers, body)
            self.close_connection = True
            return
        try:
            status, answer = delay.call(self.path, headers, body)
        except (OSError, http.client.HTTPException):
            self.close_connection = True
            return
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

    def handle_error(self, request, client_address):
        pass
