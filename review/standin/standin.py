"""Stand-ins for a small deployment: the platform's store, workers, list of machines and
requesters, and the start of the project's own entry hosts as separate processes.

The stand-ins follow PROTOCOL.md. Everything listens on 127.0.0.1 at free ports. All times
in the record are seconds since the start of the case.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 6000
STOP_S = 0.1
HISTORY_S = 20.0
VALUE_BYTES = 1048576
PAGE_ITEMS = 500
PAGE_BYTES = 1000000
MAX_ENDS = 500
HANG = object()

PASSED, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case couldn't be played, so it says nothing about the rule."""


class Record:
    """What was sent, answered and run, in order."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.start = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.start

    def add(self, text):
        self.lines.append("%8.3f  %s" % (self.now(), text))

    def write(self):
        with open(self.path, "w") as file:
            file.write("\n".join(self.lines) + "\n")


class HttpServer:
    """An HTTP/1.1 server on a free port of 127.0.0.1."""

    def __init__(self, handler):
        self.handler = handler
        self.port = None
        self.server = None
        self.writers = set()

    @property
    def address(self):
        return "127.0.0.1:%d" % self.port

    async def open(self):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port or 0, backlog=1024
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def crash(self):
        """Closes the listener and resets every channel, as the end of a process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        self.writers.clear()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, colon, value = line.partition(":")
                    if colon:
                        headers[name.strip().lower()] = value.strip()
                body = b""
                length = int(headers.get("content-length", "0"))
                if length:
                    body = await reader.readexactly(length)
                path, _, query = target.partition("?")
                query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                answer = await self.handler(method, path, query, headers, body)
                if answer is HANG:
                    # The channel stays open and returns nothing further.
                    await asyncio.sleep(3600)
                status, value = answer
                text = b"" if value is None else json.dumps(value).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\n"
                    b"content-length: %d\r\n\r\n" % (status, len(text)) + text
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's key-value store."""

    def __init__(self, record):
        self.record = record
        self.revision = 1
        self.items = {}
        self.history = []
        self.compacted = 0
        self.leases = {}
        self.changed = asyncio.Event()
        self.silent = False
        # Called with each transaction; returns None, or the seconds after which it is
        # executed without an answer.
        self.lose = lambda body: None
        self.refused_values = 0
        self.http = HttpServer(self.handle)

    async def open(self):
        await self.http.open()

    def put(self, key, value, lease=0, same=False):
        if not same:
            self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._changed(item)

    def put_json(self, key, value):
        self.put(key, json.dumps(value).encode())

    def remove(self, key, same=False):
        if self.items.pop(key, None) is not None:
            if not same:
                self.revision += 1
            self._changed({"key": key, "revision": self.revision, "deleted": True})

    def value(self, key):
        item = self.items.get(key)
        return None if item is None else base64.b64decode(item["value"])

    def leader(self):
        value = self.value("rhubarbrill/shared/leader")
        return None if value is None else json.loads(value)["name"]

    def _changed(self, event):
        now = time.monotonic()
        self.history.append((now, event))
        while self.history and self.history[0][0] < now - HISTORY_S:
            self.compacted = self.history.pop(0)[1]["revision"]
        self.changed.set()
        self.changed = asyncio.Event()

    def _expire(self):
        now = time.monotonic()
        for lease, (ttl, end) in list(self.leases.items()):
            if end < now:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def keep_time(self):
        while True:
            await asyncio.sleep(0.05)
            # Leases pause while the store is down.
            if self.silent:
                now = time.monotonic()
                self.leases = {
                    lease: (ttl, max(end, now + 0.2))
                    for lease, (ttl, end) in self.leases.items()
                }
            else:
                self._expire()

    async def handle(self, method, path, query, headers, body):
        if self.silent:
            return HANG
        self._expire()
        if path == "/kv-watch":
            return await self.watch(query)
        answer = self.call(method, path, query, body)
        if isinstance(answer, float):
            asyncio.get_running_loop().call_later(answer, self.transact, json.loads(body))
            return HANG
        await asyncio.sleep(0.002)
        return HANG if self.silent else answer

    def call(self, method, path, query, body):
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, None
            return 200, dict(item, **{"as-of": self.revision})
        if path == "/kv-range":
            return self.range(query)
        if path == "/kv-txn":
            body = json.loads(body)
            late = self.lose(body)
            if late is not None:
                return float(late)
            return self.transact(body)
        if path == "/kv-lease":
            ttl = max(json.loads(body)["ttl-ms"], 1000)
            self.revision += 1
            self.leases[self.revision] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.revision, "ttl-ms": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, None
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl-ms": ttl}
        if path.startswith("/kv-lease-end/"):
            self._end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, None

    def range(self, query):
        prefix, after = query["prefix"], query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page, size = [], 0
        for key in keys:
            size += len(self.items[key]["value"])
            if page and (len(page) >= PAGE_ITEMS or size > PAGE_BYTES):
                break
            page.append(self.items[key])
        more = len(page) < len(keys)
        return 200, {"items": page, "has-more": more, "as-of": self.revision}

    def transact(self, body):
        expected = body.get("expected", [])
        writes, remove = body.get("writes", []), body.get("remove", [])
        if len(expected) + len(writes) + len(remove) > 32:
            return 400, None
        for write in writes:
            if len(base64.b64decode(write["value"])) > VALUE_BYTES:
                self.refused_values += 1
                return 400, None
            if write["key"].startswith(("op/", "servers/")):
                return 403, None
        current = lambda key: self.items.get(key, {"key": key, "revision": 0})
        if any(current(row["key"])["revision"] != row["revision"] for row in expected):
            return 412, {"items": [current(row["key"]) for row in expected]}
        for write in writes:
            if write.get("lease") and write["lease"] not in self.leases:
                return 404, None
        self.revision += 1
        for write in writes:
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write.get("lease") or 0, same=True)
        for key in remove:
            self.remove(key, same=True)
        return 200, {"revision": self.revision}

    async def watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        end = time.monotonic() + min(int(query.get("wait-ms", "0")), 30000) / 1000
        while True:
            if after < self.compacted:
                return 410, None
            events = [
                event
                for _, event in self.history
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                answer = 200, {"events": events, "as-of": self.revision}
                await asyncio.sleep(0.002)
                return HANG if self.silent else answer
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
            if self.silent:
                return HANG


class Run:
    def __init__(self, task, number, work, began):
        self.task, self.number, self.work, self.began = task, number, work, began
        self.stopping = False


class Fleet:
    """What all workers have run, for the checks."""

    def __init__(self, record):
        self.record = record
        # Work of a subtask by the name of its job: seconds, or None if it lasts.
        self.work = {}
        # Demand of a subtask in thousandths of a core, by the name of its job.
        self.cpu = {}
        # (task, number, worker, began, ended or None, how or None), in order of start
        self.runs = []
        # Orders to stop: (time, worker, task, number), in order
        self.stops = []
        # Ends that were taken note of: (task, number) by worker life.
        self.noted = set()
        # Subtasks that have ended as done: time by task.
        self.done = {}

    def started(self, worker, run):
        row = [run.task, run.number, worker, time.monotonic(), None, None]
        self.runs.append(row)
        run.row = row
        self.record.add("%s starts %s run %d" % (worker, run.task, run.number))

    def ended(self, worker, run, how):
        run.row[4], run.row[5] = time.monotonic(), how
        self.record.add("%s: %s run %d ends: %s" % (worker, run.task, run.number, how))
        if how == "done":
            self.done.setdefault(run.task, time.monotonic())

    def doubles(self):
        """Returns pairs of runs of one subtask that were executing at the same time."""
        by_task = {}
        for row in self.runs:
            by_task.setdefault(row[0], []).append(row)
        found = []
        for rows in by_task.values():
            for i, first in enumerate(rows):
                for second in rows[i + 1 :]:
                    if first[4] is None or second[3] < first[4]:
                        end = min(first[4] or 1e18, second[4] or 1e18)
                        found.append((first, second, end - second[3]))
        return found

    def repeats(self):
        """Returns starts after a run of the same subtask ended as done and was noted."""
        found = []
        for row in self.runs:
            for first in self.runs:
                is_done = first[0] == row[0] and first[5] == "done"
                if is_done and first[4] < row[3] and (first[0], first[1]) in self.noted:
                    found.append((first, row))
        return found


class Worker:
    """One worker. Its lives are counted; each begins with nothing."""

    def __init__(self, fleet, store, ident, service, rack, cpu=64000, mem=262144):
        self.fleet, self.store, self.record = fleet, store, fleet.record
        self.ident, self.service, self.rack = ident, service, rack
        self.machine = "m-" + ident[2:]
        self.life = 1
        self.capacity = {"cpu": cpu, "mem-mb": mem, "gpu": 0}
        self.http = HttpServer(self.handle)
        self.up = False
        self.cut_off = False
        self.last_beat = 0.0
        self.seq = 0
        self.labels = ["a", rack]
        # Whether it rejects all starts, being unhealthy.
        self.sheds = False

    async def start(self):
        self.born = int(time.time() * 1000)
        self.booted = time.monotonic()
        self.live, self.ended, self.sequence = {}, [], 0
        self.highest, self.fence, self.until = {}, 0, 0
        self.new_end = asyncio.Event()
        self.seq = 0
        await self.http.open()
        self.up = True
        self.beat()

    def crash(self):
        self.up = False
        self.http.crash()
        for run in list(self.live.values()):
            self.fleet.ended(self.ident, run, "lost with its worker")
        self.live = {}

    def clock(self):
        return int((time.monotonic() - self.booted) * 1000)

    def beat(self):
        if self.cut_off or self.store.silent:
            return
        self.seq += 1
        self.last_beat = time.monotonic()
        entry = {
            "service": self.service, "address": self.http.address, "zone": "mobile-bay",
            "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
            "capacity": self.capacity, "labels": self.labels,
            "clock-ms": self.clock(), "seq": self.seq, "born": self.born,
        }
        self.store.put_json("servers/" + self.ident, entry)

    async def keep_time(self):
        while True:
            await asyncio.sleep(0.01)
            now = time.monotonic()
            if self.up:
                if now - self.last_beat >= HEARTBEAT_S:
                    self.beat()
                self.advance()
            # The entry is removed after three check-in intervals of silence.
            if now - self.last_beat > 3 * HEARTBEAT_S and not self.store.silent:
                self.store.remove("servers/" + self.ident)

    def advance(self):
        lapsed = self.clock() > self.until
        now = time.monotonic()
        for key, run in list(self.live.items()):
            if run.work is not None and now - run.began >= run.work:
                self.end(run, "done")
            elif lapsed:
                self.end(run, "lapsed")

    def end(self, run, how):
        if self.live.pop((run.task, run.number), None) is None:
            return
        self.sequence += 1
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.ended.append([self.sequence, run.task, run.number, how, ""])
        self.fleet.ended(self.ident, run, how)
        self.new_end.set()
        self.new_end = asyncio.Event()

    def percent(self, run):
        share = (time.monotonic() - run.began) / (0.5 if run.work is None else run.work)
        return min(100 if run.work is None else 99, int(share * 100))

    async def handle(self, method, path, query, headers, body):
        if not self.up:
            return HANG
        if path == "/health":
            return 200, None
        if headers.get("x-target-instance", self.ident) != self.ident:
            return 421, None
        body = json.loads(body)
        self.advance()
        token = body.get("fencing-token", 0)
        if token < self.fence:
            return self.reject("fence")
        self.fence = token
        if path == "/run-start":
            return self.run_start(body)
        if path == "/run-stop":
            return self.run_stop(body)
        if path == "/pace":
            return 200, {"clock-ms": self.clock()}
        if path == "/hold":
            return await self.hold(body)
        return 404, None

    def reject(self, reason):
        return 409, {"clock-ms": self.clock(), "reason": reason}

    def extend(self, until):
        if until is not None:
            self.until = max(self.until, min(until, self.clock() + MAX_HOLD_MS))

    def run_start(self, body):
        task, number = body["task"], body["run-id"]
        if self.sheds:
            return 503, None
        if (task, number) in self.live:
            self.extend(body["until-ms"])
            return 200, {"clock-ms": self.clock()}
        if number <= self.highest.get(task, 0):
            self.extend(body["until-ms"])
            return self.reject("old")
        if body["until-ms"] < self.clock():
            return self.reject("late")
        self.extend(body["until-ms"])
        job = task.split(".")[0]
        used = sum(self.fleet.cpu[run.task.split(".")[0]] for run in self.live.values())
        if used + self.fleet.cpu[job] > self.capacity["cpu"]:
            return self.reject("room")
        work = self.fleet.work[job]
        work = work(task) if callable(work) else work
        run = Run(task, number, work, time.monotonic())
        self.live[(task, number)] = run
        self.fleet.started(self.ident, run)
        return 200, {"clock-ms": self.clock()}

    def run_stop(self, body):
        task, number = body["task"], body["run-id"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.live.get((task, number))
        if run is not None and not run.stopping:
            run.stopping = True
            self.record.add("%s is told to stop %s run %d" % (self.ident, task, number))
            self.fleet.stops.append((time.monotonic(), self.ident, task, number))
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_S, lambda: self.end(run, "stopped"))
        return 200, {"clock-ms": self.clock()}

    async def hold(self, body):
        life, new_end = self.born, self.new_end
        self.extend(body.get("until-ms"))
        for row in self.ended:
            if row[0] <= body["last-seen"]:
                self.fleet.noted.add((row[1], row[2]))
        self.ended = [row for row in self.ended if row[0] > body["last-seen"]]
        wait = min(body.get("wait-ms", 0), 2000) / 1000
        if not self.ended and wait:
            try:
                await asyncio.wait_for(new_end.wait(), wait)
            except asyncio.TimeoutError:
                pass
        if not self.up or self.born != life:
            return HANG
        self.advance()
        running = [
            [run.task, run.number, "", self.percent(run), 0] for run in self.live.values()
        ]
        return 200, {
            "clock-ms": self.clock(), "born": self.born, "running": running,
            "finished": self.ended[:MAX_ENDS],
        }


class Cloud:
    """The list of machines. It moves none."""

    def __init__(self, workers):
        self.workers = workers
        self.http = HttpServer(self.handle)

    async def handle(self, method, path, query, headers, body):
        if path != "/machines":
            return 409, {"reason": "busy"}
        machines = [
            {
                "machine": worker.machine, "pool": worker.service,
                "state": "up" if worker.up else "down", "zone": "mobile-bay",
                "labels": worker.labels, "capacity": worker.capacity,
                "id": worker.ident if worker.up else "",
            }
            for worker in self.workers
        ]
        return 200, {"machines": machines, "next-token": None}


class Node:
    """An entry host: the project's own program, started as the deploy file says."""

    def __init__(self, case, name):
        self.case, self.name = case, name
        self.process = None
        ports = free_ports(3)
        self.front, self.ready, self.internal = ports
        self.settings = os.path.join(case.folder, name + ".conf")
        with open(self.settings, "w") as file:
            file.write(self.settings_text())

    def settings_text(self):
        case = self.case
        lines = [
            "node-name=" + self.name, "role=entry", "machine-class=front", "serves=front",
            "ip=127.0.0.1", "zone=mobile-bay", "region=deep-south",
            "zones.mobile-bay=deep-south",
            "listen-addrs.front=127.0.0.1:%d" % self.front,
            "listen-addrs.ready=127.0.0.1:%d" % self.ready,
            "internal-ports=%d,%d" % (self.internal, self.internal), "seeds=",
            "bootstrap=true", "limits.cpu-share=0.25", "limits.cores=1",
            "limits.memory-mb=260", "limits.max-fds=4100", "discovery=platform",
            "entry=vip", "heartbeat-ms=1500",
            "contracts=base,drain,config,cost,recover,sched,tenants,quota,platform,"
            "advice,upkeep,sharing",
            "fault-tolerance.machines=2", "fault-tolerance.zones=1",
            "bounds.contact-ms=3000", "bounds.ack-ms=4000", "bounds.grace-s=6",
            "bounds.config-ms=2000", "bounds.max-hold-ms=6000", "bounds.stop-ms=200",
            "bounds.cancel_ms=3000", "bounds.visible_ms=3000", "bounds.status_s=120",
            "bounds.lease-ms=3000", "bounds.require-fencing=false", "orders=request",
            "platform.address=" + case.store.http.address, "platform.form=kv",
            "platform.writes-per-s=400", "platform.reads-per-s=2000",
            "platform.history-s=20", "platform.value-bytes=%d" % VALUE_BYTES,
            "platform.min-ttl-ms=1000",
            "cloud-api.address=" + case.cloud.http.address, "cloud-api.rate-per-s=64.0",
            "cloud-api.duty-per-s=64.0",
        ]
        return "\n".join(lines) + "\n"

    def start(self):
        log = open(os.path.join(self.case.folder, self.name + ".log"), "ab")
        self.process = subprocess.Popen(
            ["target/release/rhubarbrilld", "--platform", "--features",
             "deploy/features.ini"],
            cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "RHUBARBRILL_NODE_FILE": self.settings},
        )
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def log_lines(self, text):
        with open(os.path.join(self.case.folder, self.name + ".log")) as file:
            return [line for line in file if text in line]


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Answer:
    def __init__(self, status, value):
        self.status, self.value = status, value


class Case:
    """A small deployment, and what a case does with it."""

    def __init__(self, folder, nodes=3, workers=9, services=("sizing-desk",)):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(self.record)
        self.fleet = Fleet(self.record)
        self.services = services
        self.workers = [
            Worker(self.fleet, self.store, "i-%02x%02x" % (0xA0 + s, i), service,
                   "r%d-%d" % (s + 1, i // 4 + 1))
            for s, service in enumerate(services)
            for i in range(workers)
        ]
        self.cloud = Cloud(self.workers)
        self.count = nodes
        self.nodes = []
        self.tasks = []
        self.next_node = 0
        self.jobs = 0

    def configuration(self, version=1):
        return {
            "version": version,
            "routes": [{
                "name": "r-" + service, "host": "shop.example",
                "prefix": "/%s/" % service, "kind": "unsafe", "timeout-ms": 3000,
                "target-latency-ms": 600, "priority": 0, "service": service,
                "attempts": 2, "stretch": 1.6, "public": False,
            } for service in self.services],
            "services": [{
                "name": service, "health-path": "/health", "max-conns": 64,
                "protocol": "h1", "tls": False, "rejects-overload": True,
                "standby": False,
            } for service in self.services],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": "stores", "api-keys": ["key-of-stores"], "priority": 1,
                         "weight": 49, "max-count": {"cpu": 0, "mem-mb": 0, "gpu": 0}}],
        }

    async def open(self):
        await self.store.open()
        await self.cloud.http.open()
        self.tasks.append(asyncio.ensure_future(self.store.keep_time()))
        self.store.put_json("op/config", self.configuration())
        for worker in self.workers:
            await worker.start()
            self.tasks.append(asyncio.ensure_future(worker.keep_time()))
        for i in range(self.count):
            node = Node(self, "front-mobile-bay-%d" % (i + 1))
            self.nodes.append(node)
            node.start()
        self.record.add("started: %d entry hosts, %d workers" % (self.count, len(self.workers)))
        await self.until(15, "an entry host leads", lambda: self.store.leader())
        for node in self.nodes:
            await self.until_ready(node)

    async def until_ready(self, node):
        end = time.monotonic() + 15
        while time.monotonic() < end:
            answer = await self.http(node.ready, "GET", "/readiness", None, 1.0)
            if answer is not None and answer.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CannotRun("%s isn't ready" % node.name)

    async def until(self, seconds, what, condition):
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise CannotRun("waited in vain: " + what)
            await asyncio.sleep(0.02)

    def leader(self):
        name = self.store.leader()
        return next((node for node in self.nodes if node.name == name), None)

    async def http(self, port, method, path, value, timeout):
        """Makes one call on a channel of its own; returns None without a whole answer."""
        body = b"" if value is None else json.dumps(value).encode()
        head = (
            "%s %s HTTP/1.1\r\nhost: shop.example\r\ncontent-type: application/json\r\n"
            "authorization: Bearer key-of-stores\r\nx-deadline-ms: 3000\r\n"
            "connection: close\r\ncontent-length: %d\r\n\r\n" % (method, path, len(body))
        )
        try:
            return await asyncio.wait_for(self._exchange(port, head.encode() + body), timeout)
        except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return None

    @staticmethod
    async def _exchange(port, request):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(request)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ")[1])
            length = 0
            for line in head.split("\r\n")[1:]:
                name, _, text = line.partition(":")
                if name.lower() == "content-length":
                    length = int(text)
            text = await reader.readexactly(length)
            return Answer(status, json.loads(text) if text else None)
        finally:
            writer.close()

    def node(self):
        """Returns the next entry host in turn, as the platform's balancer picks one."""
        self.next_node += 1
        return self.nodes[self.next_node % len(self.nodes)]

    async def submit(self, steps, work, ident=None, service="sizing-desk", **fields):
        """Hands a job in, up to five times, until it is accepted; returns its ID."""
        self.jobs += 1
        ident = ident or "%016x" % (0x51B2000000000000 + self.jobs)
        self.fleet.work[ident] = work
        self.fleet.cpu[ident] = steps[0]["cpu"]
        body = dict({"spec": "quote", "steps": steps}, **fields)
        for _ in range(5):
            node = self.node()
            answer = await self.http(node.front, "POST", "/%s/%s" % (service, ident), body, 3.0)
            status = None if answer is None else answer.status
            self.record.add("POST %s at %s: %s" % (ident, node.name, status))
            if status is not None and 200 <= status < 300:
                return ident
            await asyncio.sleep(0.5)
        raise CannotRun("a job wasn't accepted")

    async def state(self, ident, service="sizing-desk"):
        """Asks each entry host in turn for a job's state until one answers."""
        for _ in range(2 * len(self.nodes)):
            node = self.node()
            answer = await self.http(node.front, "GET", "/%s/%s" % (service, ident), None, 3.0)
            if answer is not None and answer.status in (200, 410):
                state = "410" if answer.status == 410 else answer.value["state"]
                self.record.add("GET %s at %s: %s" % (ident, node.name, state))
                return state
        return None

    async def until_state(self, ident, state, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.state(ident) == state:
                return True
            await asyncio.sleep(0.5)
        return False

    def close(self):
        for node in self.nodes:
            node.kill()
        for task in self.tasks:
            task.cancel()
        for server in [self.store.http, self.cloud.http] + [w.http for w in self.workers]:
            server.crash()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def play(folder, script, seconds=110, **options):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.

    `script` is called with the case, after all programs are ready, and returns the breaks
    of the rule, as text."""
    if not os.path.exists(os.path.join(ROOT, "target/release/rhubarbrilld")):
        print("build the deploy file first")
        sys.exit(NOT_RUN)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))

    async def main():
        case = Case(folder, **options)
        try:
            async def whole():
                await case.open()
                return await script(case)
            breaks = await asyncio.wait_for(whole(), seconds)
        except (CannotRun, asyncio.TimeoutError) as error:
            case.record.add("couldn't run: %r" % error)
            case.record.write()
            print("couldn't run: %r" % error)
            return NOT_RUN
        finally:
            case.close()
        for text in breaks:
            case.record.add("BROKEN " + text)
            print("broken: " + text)
        if not breaks:
            case.record.add("the rule held")
            print("the rule held")
        case.record.write()
        return BROKEN if breaks else PASSED

    sys.exit(asyncio.run(main()))
