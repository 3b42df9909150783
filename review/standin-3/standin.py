"""Stand-ins of the platform (store, list of hosts), of endpoints and of callers.

They follow PROTOCOL.md. Everything runs in one asyncio loop on loopback addresses. A case
imports this module, starts entry hosts with `System.start_entry` and describes its disruption.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
PROGRAM = os.path.join(ROOT, "target", "release", "rhubarbrilld")
ARGUMENTS = ["--platform", "--features", "deploy/features.ini"]

HEARTBEAT_S = 1.5
SILENT_HEARTBEATS = 3
MAX_HOLD_MS = 6000
GANG_TIMEOUT_S = 3.0
STOP_S = 0.02


# Ports below those that the system gives to outgoing connections, so that an endpoint which is
# down for a while finds its port free.
PORTS = range(14_000, 30_000)
used_ports = set()


def free_port():
    while True:
        port = random.choice(PORTS)
        if port in used_ports:
            continue
        used_ports.add(port)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                pass


class Request:
    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method, self.path, self.headers = method, parts.path, headers
        query = parse_qs(parts.query, keep_blank_values=True)
        self.query = {key: values[0] for key, values in query.items()}
        try:
            self.body = json.loads(body) if body else {}
        except ValueError:
            self.body = {}


NO_ANSWER = object()


class Server:
    """An HTTP server. The handler returns a status and a JSON value, or NO_ANSWER."""

    def __init__(self, handler):
        self.handler, self.port, self.writers = handler, free_port(), set()
        self.server = None

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def open(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, limit=1 << 22
        )
        return self

    def close(self):
        """Stops listening and resets all connections."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = {}
                for line in head[1:]:
                    if ":" in line:
                        key, value = line.split(":", 1)
                        headers[key.strip().lower()] = value.strip()
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length) if length else b""
                answer = await self.handler(Request(method, target, headers, body))
                if answer is NO_ANSWER:
                    await asyncio.sleep(3600)
                status, value = answer
                payload = b"" if value is None else json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} x\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(payload)}\r\n\r\n".encode() + payload
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.LimitOverrunError):
            pass
        except asyncio.CancelledError:
            # The case is over.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(port, method, path, headers=None, body=None, timeout=4.0):
    """Sends one request on a connection of its own. Returns the status (0: none) and the body."""

    async def exchange():
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            payload = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1", f"content-length: {len(payload)}"]
            lines += [f"{key}: {value}" for key, value in (headers or {}).items()]
            lines.append("connection: close")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + payload)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
            fields = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
            data = await reader.readexactly(int(fields.get("content-length", 0)))
            return int(head[0].split()[1]), json.loads(data) if data else None
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return 0, None


class Store:
    """The platform's key-value store. Loses nothing, and answers at once."""

    def __init__(self):
        self.revision, self.items, self.history, self.leases = 1, {}, [], {}
        self.changed = asyncio.Event()
        self.next_lease, self.writes = 1, 0

    async def open(self):
        self.server = await Server(self.handle).open()
        asyncio.ensure_future(self.expire())
        return self

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """Writes as the operator or an endpoint does."""
        self.revision += 1
        self.set(key, json.dumps(value).encode(), lease)
        self.wake()

    def delete(self, key):
        if key in self.items:
            self.revision += 1
            self.unset(key)
            self.wake()

    def value(self, key):
        item = self.items.get(key)
        return json.loads(item["raw"]) if item else None

    def set(self, key, raw, lease):
        created = self.items.get(key, {}).get("created", self.revision)
        item = {"raw": raw, "revision": self.revision, "created": created, "lease": lease}
        self.items[key] = item
        self.history.append((self.revision, key, item))

    def unset(self, key):
        if self.items.pop(key, None):
            self.history.append((self.revision, key, None))

    @staticmethod
    def shown(key, item):
        return {
            "key": key,
            "value": base64.b64encode(item["raw"]).decode(),
            "revision": item["revision"],
            "created": item["created"],
            "lease": item["lease"],
        }

    def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.unset(key)
            self.wake()

    async def expire(self):
        while True:
            now = time.monotonic()
            for lease in [l for l, (_, end) in self.leases.items() if end <= now]:
                self.end_lease(lease)
            await asyncio.sleep(0.01)

    async def handle(self, request):
        path, body = request.path, request.body
        if path == "/kv-key":
            key = request.query.get("key", "")
            item = self.items.get(key)
            return (200, dict(self.shown(key, item), **{"as-of": self.revision})) if item else (404, {"as-of": self.revision})
        if path == "/kv-range":
            prefix, after = request.query.get("prefix", ""), request.query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.shown(key, self.items[key]) for key in keys[:500]]
            return 200, {"items": page, "has-more": len(keys) > 500, "as-of": self.revision}
        if path == "/kv-watch":
            return await self.watch(request)
        if path == "/kv-txn":
            return self.transact(body)
        if path == "/kv-lease":
            ttl = min(max(int(body["ttl-ms"]), 1000), 600_000)
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (ttl / 1000, time.monotonic() + ttl / 1000)
            return 200, {"lease": lease, "ttl-ms": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl, _ = self.leases[lease]
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {"ttl-ms": int(ttl * 1000)}
        if path.startswith("/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    async def watch(self, request):
        prefix, after = request.query.get("prefix", ""), int(request.query.get("after", 0))
        deadline = time.monotonic() + int(request.query.get("wait-ms", 0)) / 1000
        while True:
            changed = self.changed
            events = []
            for revision, key, item in reversed(self.history):
                if revision <= after:
                    break
                if key.startswith(prefix):
                    events.append(
                        self.shown(key, item)
                        if item
                        else {"key": key, "revision": revision, "deleted": True}
                    )
            if events or time.monotonic() >= deadline:
                return 200, {"events": events[::-1], "as-of": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), max(0.0, deadline - time.monotonic()))
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        self.writes += 1
        expected = body.get("expected", [])
        current = lambda key: self.items.get(key, {}).get("revision", 0)
        if any(current(row["key"]) != row["revision"] for row in expected):
            items = [
                self.shown(row["key"], self.items[row["key"]])
                if row["key"] in self.items
                else {"key": row["key"], "revision": 0}
                for row in expected
            ]
            return 412, {"items": items}
        writes = body.get("writes", [])
        if any(write.get("lease") and write["lease"] not in self.leases for write in writes):
            return 404, {}
        self.revision += 1
        for write in writes:
            self.set(write["key"], base64.b64decode(write["value"]), write.get("lease") or 0)
        for key in body.get("remove", []):
            self.unset(key)
        self.wake()
        return 200, {"revision": self.revision}


class Run:
    def __init__(self, task, number, spec, demand):
        self.task, self.number, self.spec, self.demand = task, number, spec, demand
        self.started = time.monotonic()
        self.gang_since = None


class Worker:
    """An endpoint. `reboot` starts a new life of it under the same id."""

    def __init__(self, system, ident, service, capacity, labels, guards=True):
        self.system, self.id, self.service = system, ident, service
        self.capacity, self.labels, self.guards = capacity, labels, guards
        self.reaches_store, self.up, self.seq = True, False, 0
        self.wall = int(time.time() * 1000)
        self.server = Server(self.handle)
        self.last_entry = None

    def clock(self):
        return int((time.monotonic() - self.boot) * 1000)

    async def start(self):
        self.boot, self.born = time.monotonic(), int(time.time() * 1000)
        self.fence, self.lease_end, self.running, self.finished = 0, 0, {}, []
        self.ends, self.highest, self.ended = 0, {}, asyncio.Event()
        self.up, self.seq, self.state = True, 0, "ready"
        await self.server.open()
        self.system.note("worker_up", worker=self.id, born=self.born, capacity=self.capacity, labels=self.labels)
        self.register()
        self.life = asyncio.ensure_future(self.live())
        return self

    def crash(self):
        self.system.note("worker_crashes", worker=self.id)
        self.up = False
        self.life.cancel()
        self.running = {}
        self.server.close()

    def register(self):
        if not self.reaches_store:
            return
        self.seq += 1
        self.last_entry = time.monotonic()
        entry = {
            "service": self.service, "address": self.server.address, "zone": "z1",
            "version": "v1", "slots": 8, "state": self.state, "cold-remaining-ms": 0,
            "seq": self.seq, "capacity": self.capacity, "labels": self.labels,
            "clock-ms": self.clock(), "born": self.born,
        }
        self.system.store.put(f"servers/{self.id}", entry)

    async def live(self):
        beat = time.monotonic()
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            if now - beat >= HEARTBEAT_S:
                beat = now
                self.register()
            if self.running and self.clock() > self.lease_end:
                for run in list(self.running.values()):
                    self.end(run, "lapsed")
            for run in list(self.running.values()):
                if run.task not in self.running:
                    continue
                job = self.system.jobs.get(run.task.split(".")[0])
                step = job["steps"][int(run.task.split(".")[2])] if job else {}
                if step.get("gang"):
                    self.advance_gang(run, step, now)
                elif not step.get("long-running") and now - run.started >= self.system.run_s(run.task):
                    self.end(run, self.system.outcome(run.task, run.number))

    def advance_gang(self, run, step, now):
        name = run.task.rsplit(".", 1)[0]
        members = [
            (worker, other)
            for worker in self.system.workers.values() if worker.up
            for other in worker.running.values()
            if other.task.rsplit(".", 1)[0] == name and other.number == run.number
        ]
        if len(members) == step["count"]:
            began = max(other.started for _, other in members)
            if now - began >= self.system.run_s(run.task):
                for worker, other in members:
                    worker.end(other, "done")
        elif now - run.started >= GANG_TIMEOUT_S:
            self.end(run, "alone")

    def end(self, run, how):
        if self.running.pop(run.task, None) is None:
            return
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.ends += 1
        self.finished.append([self.ends, run.task, run.number, how, ""])
        self.system.note("ended", worker=self.id, task=run.task, run=run.number, how=how)
        self.system.on_end(self, run, how)
        self.ended.set()
        self.ended = asyncio.Event()

    def refuse(self, reason):
        return 409, {"clock-ms": self.clock(), "reason": reason}

    def extend(self, until):
        if until is not None:
            self.lease_end = max(self.lease_end, min(int(until), self.clock() + MAX_HOLD_MS))

    async def handle(self, request):
        if request.headers.get("x-target-instance") != self.id:
            return 421, {"clock-ms": self.clock()}
        body = request.body
        fence = body.get("fencing-token", 0)
        if fence < self.fence:
            return self.refuse("fence")
        self.fence = fence
        if request.path == "/run-start":
            return self.start_run(body)
        if request.path == "/run-stop":
            run = self.running.get(body["task"])
            self.highest[body["task"]] = max(self.highest.get(body["task"], 0), body["run-id"])
            self.system.note("stop", worker=self.id, task=body["task"], run=body["run-id"])
            if run and run.number == body["run-id"]:
                asyncio.get_event_loop().call_later(STOP_S, self.end, run, "stopped")
            return 200, {"clock-ms": self.clock()}
        if request.path == "/hold":
            return await self.hold(body)
        if request.path == "/pace":
            return 200, {"clock-ms": self.clock()}
        return 404, {}

    async def hold(self, body):
        born = self.born
        self.extend(body.get("until-ms"))
        seen = body.get("last-seen", 0)
        for row in self.finished:
            if row[0] <= seen:
                self.system.on_noted(row)
        self.finished = [row for row in self.finished if row[0] > seen]
        deadline = time.monotonic() + body.get("wait-ms", 0) / 1000
        while not self.finished and time.monotonic() < deadline and self.born == born:
            try:
                await asyncio.wait_for(self.ended.wait(), deadline - time.monotonic())
            except asyncio.TimeoutError:
                pass
        running = [
            [run.task, run.number, "", self.system.percent(run), 0] for run in self.running.values()
        ]
        return 200, {
            "clock-ms": self.clock(), "born": self.born,
            "running": running, "finished": self.finished[:500],
        }

    def used(self):
        return {
            key: sum(run.demand.get(key, 0) for run in self.running.values())
            for key in ("cpu", "mem-mb", "gpu")
        }

    def start_run(self, body):
        task, number = body["task"], body["run-id"]
        run = self.running.get(task)
        if run and run.number == number:
            return 200, {"clock-ms": self.clock()}
        self.extend(body.get("until-ms"))
        if number <= self.highest.get(task, 0) or run:
            return self.refuse("old")
        if body["until-ms"] < self.clock():
            return self.refuse("late")
        job = self.system.jobs.get(task.split(".")[0])
        step = job["steps"][int(task.split(".")[2])] if job else {}
        demand = {key: step.get(key, 0) for key in ("cpu", "mem-mb", "gpu")}
        if step.get("fills"):
            demand["cpu"] = 0
        used = self.used()
        fits = all(used[key] + demand[key] <= self.capacity[key] for key in used)
        if self.guards and not fits:
            return self.refuse("room")
        self.running[task] = Run(task, number, body.get("spec"), demand)
        self.system.note(
            "start", worker=self.id, born=self.born, task=task, run=number, fence=self.fence
        )
        self.system.on_start(self, self.running[task], step, fits)
        return 200, {"clock-ms": self.clock()}


class Hosts:
    """The platform API for hosts: one host per endpoint."""

    def __init__(self, system):
        self.system, self.state, self.service_s, self.maintenance_s = system, {}, 0.004, 2.0
        self.done, self.orders = set(), []

    async def open(self):
        self.server = await Server(self.handle).open()
        return self

    async def handle(self, request):
        if request.path == "/machines":
            rows = []
            for worker in self.system.workers.values():
                name = f"m-{worker.id}"
                state = self.state.get(name, "up" if worker.up else "down")
                rows.append({
                    "machine": name, "pool": worker.service, "state": state, "zone": "z1",
                    "labels": worker.labels, "capacity": worker.capacity,
                    "id": worker.id if worker.up and state == "up" else "",
                })
            return 200, {"machines": rows, "next-token": ""}
        if request.path == "/machine-upkeep":
            host, wave = request.body["machine"], request.body["wave"]
            holder, fence = request.headers.get("x-duty-holder"), request.headers.get("x-fencing-token")
            self.system.note("upkeep_order", machine=host, wave=wave, holder=holder, fence=fence)
            self.orders.append((host, wave, holder))
            await asyncio.sleep(self.service_s)
            return await self.begin(host, wave)
        return 409, {"reason": "busy"}

    async def begin(self, host, wave):
        if (host, wave) in self.done:
            return 200, {}
        worker = self.system.workers.get(host[2:])
        if worker is None:
            return 400, {}
        if self.state.get(host) or not worker.up:
            return 409, {"reason": "busy"}
        self.done.add((host, wave))
        self.state[host] = "upkeep"
        self.system.note("upkeep_begins", machine=host, wave=wave)
        self.system.on_upkeep(host, wave)
        worker.crash()
        self.system.store.delete(f"servers/{worker.id}")
        asyncio.ensure_future(self.finish(host, worker))
        return 200, {}

    async def finish(self, host, worker):
        await asyncio.sleep(self.maintenance_s)
        self.state.pop(host, None)
        self.system.note("upkeep_ends", machine=host)
        self.system.workers.pop(worker.id)
        fresh = Worker(self.system, worker.id, worker.service, worker.capacity, worker.labels, worker.guards)
        self.system.workers[worker.id] = fresh
        await fresh.start()


class System:
    """One small deployment: the stand-ins, the entry hosts and what was seen."""

    def __init__(self, record):
        self.record, self.began = open(record, "w"), time.monotonic()
        self.workers, self.jobs, self.entries, self.broken = {}, {}, {}, []
        self.durations, self.noted, self.folder = {}, set(), tempfile.TemporaryDirectory()

    def note(self, what, **fields):
        row = {"t": round(time.monotonic() - self.began, 3), "what": what, **fields}
        self.record.write(json.dumps(row) + "\n")
        self.record.flush()

    def breach(self, rule, why, **fields):
        self.broken.append((rule, why))
        self.note("RULE_BROKEN", rule=rule, why=why, **fields)

    # Behaviour of tasks, and checks. A case overrides what it needs.
    def run_s(self, task):
        return self.durations.get(task.split(".")[0], 1.0)

    def outcome(self, task, number):
        return "done"

    def percent(self, run):
        return 100

    def on_start(self, worker, run, step, fits):
        pass

    def on_end(self, worker, run, how):
        pass

    def on_noted(self, row):
        self.noted.add((row[1], row[3]))

    def on_upkeep(self, host, wave):
        pass

    async def open(self, config):
        self.store = await Store().open()
        self.hosts = await Hosts(self).open()
        self.store.put("op/config", config)
        return self

    async def add_worker(self, *args, **kwargs):
        worker = Worker(self, *args, **kwargs)
        self.workers[worker.id] = worker
        await worker.start()
        return worker

    async def start_entry(self, name, store=None, hosts=None):
        front, ready, inner = free_port(), free_port(), free_port()
        settings = f"""node-name={name}
role=entry
machine-class=front
serves=front
ip=127.0.0.1
zone=z1
region=r1
zones.z1=r1
listen-addrs.front=127.0.0.1:{front}
listen-addrs.ready=127.0.0.1:{ready}
internal-ports={inner},{inner}
bootstrap=true
limits.cpu-share=0.25
limits.cores=1
limits.memory-mb=260
limits.max-fds=4100
discovery=platform
entry=vip
heartbeat-ms=1500
contracts=base,drain,config,cost,recover,sched,tenants,quota,platform,advice,upkeep,sharing
bounds.contact-ms=3000
bounds.ack-ms=4000
bounds.drain-ms=2000
bounds.grace-s=6
bounds.config-ms=2000
bounds.max-hold-ms={MAX_HOLD_MS}
bounds.stop-ms=200
bounds.gang-timeout-ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.move-s=1.5
bounds.maintenance-s=2
bounds.require-fencing=false
bounds.lease-ms=3000
orders=request
platform.address={store or self.store.server.address}
platform.form=kv
platform.writes-per-s=400
platform.reads-per-s=2000
platform.history-s=20
platform.value-bytes=1048576
platform.min-ttl-ms=1000
cloud-api.address={hosts or self.hosts.server.address}
cloud-api.rate-per-s=64.0
cloud-api.duties=
cloud-api.duty-per-s=64.0
"""
        path = os.path.join(self.folder.name, f"{name}.conf")
        with open(path, "w") as file:
            file.write(settings)
        log = open(os.path.join(self.folder.name, f"{name}.log"), "w")
        env = {"RHUBARBRILL_NODE_FILE": path, "PATH": os.environ.get("PATH", "")}
        process = await asyncio.create_subprocess_exec(
            PROGRAM, *ARGUMENTS, cwd=ROOT, env=env, stdout=log, stderr=log
        )
        entry = {"name": name, "front": front, "ready": ready, "process": process, "log": log.name}
        self.entries[name] = entry
        self.note("entry_started", entry=name, pid=process.pid)
        return entry

    async def wait_ready(self, entry, limit=10.0):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            status, _ = await call(entry["ready"], "GET", "/readiness", timeout=1.0)
            if status == 200:
                return
            if entry["process"].returncode is not None:
                # Another program took one of its ports first.
                self.note("entry_exited", entry=entry["name"], code=entry["process"].returncode)
                entry.update(await self.start_entry(entry["name"]))
                self.entries[entry["name"]] = entry
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{entry['name']} isn't ready")

    def send_signal(self, entry, sig):
        self.note("signal", entry=entry["name"], signal=signal.Signals(sig).name)
        entry["process"].send_signal(sig)

    def leader(self):
        record = self.store.value("rhubarbrill/shared/leader")
        return record and record.get("name")

    async def until(self, condition, limit, what):
        end = time.monotonic() + limit
        while not condition():
            if time.monotonic() > end:
                raise RuntimeError(f"not seen in time: {what}")
            await asyncio.sleep(0.005)

    async def submit(self, entry, ident, steps, spec="s", path="/q/", key="k", host="h.example", patience=4.0, **more):
        body = {"spec": spec, "steps": steps, **more}
        self.jobs[ident] = body
        headers = {"host": host, "authorization": f"Bearer {key}", "x-deadline-ms": "3000", "content-type": "application/json"}
        status, _ = await call(entry["front"], "POST", path + ident, headers, body, patience)
        self.note("submitted", job=ident, entry=entry["name"], status=status or "none, the caller left", body=body)
        return status

    async def ask(self, entry, method, ident, path="/q/", key="k", host="h.example"):
        headers = {"host": host, "authorization": f"Bearer {key}", "x-deadline-ms": "3000"}
        status, value = await call(entry["front"], method, path + ident, headers)
        self.note("asked", job=ident, entry=entry["name"], method=method, status=status, answer=value)
        return status, (value or {}).get("state")

    async def close(self):
        for entry in self.entries.values():
            if entry["process"].returncode is None:
                entry["process"].kill()
                await entry["process"].wait()
        if os.environ.get("KEEP_LOGS"):
            for entry in self.entries.values():
                os.system(f"cp {entry['log']} {os.environ['KEEP_LOGS']}/")
        self.folder.cleanup()


def config(routes=None, services=None, tenants=None, version=1):
    return {
        "version": version,
        "routes": routes or [{
            "name": "q", "host": "h.example", "prefix": "/q/", "service": "pool",
            "priority": 0, "attempts": 3, "stretch": 2.0, "target-latency-ms": 1000, "timeout-ms": 3000,
        }],
        "services": services or [{"name": "pool", "rejects-overload": True}],
        "tenants": tenants or [{"name": "t", "api-keys": ["k"], "weight": 10, "max-count": {"cpu": 0, "mem-mb": 0, "gpu": 0}}],
        "limits": {},
    }


def main(case, record):
    """Runs a case. Exits with 1 if a rule was broken, 0 if none was, 2 if it couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        system = case.System(record) if hasattr(case, "System") else System(record)
        try:
            await asyncio.wait_for(case.run(system, trouble), 110)
        finally:
            await system.close()
        return system.broken

    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.TimeoutError) as error:
        print(f"couldn't run: {error!r}")
        sys.exit(2)
    for rule, why in broken:
        print(f"{rule}: {why}")
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)
