"""A small stand-in of the users' platform for the cases of the second review.

It serves the key-value store, the list of machines, the placement policy and the workers of
the users' pages (PROTOCOL.md) on loopback addresses, starts entry hosts with the command of
deploy/system.toml, and records what was sent, answered and run.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
STORE_ANSWER_S = 0.004
MAX_HOLD_MS = 6000
GANG_TIMEOUT_MS = 3000
CHECKPOINT_MS = 1000
RESTORE_MS = 100
CHECK_IN_S = 1.5


def now():
    return time.monotonic()


class Record:
    """The record of a case: what was sent, answered and run."""

    def __init__(self, path):
        self.began = now()
        self.file = open(path, "w", encoding="utf-8")

    def add(self, text):
        self.file.write(f"{now() - self.began:8.3f} {text}\n")
        self.file.flush()


class Http:
    """A minimal HTTP/1.1 server with keep-alive. A handler returns (status, body), or None
    to leave the call unanswered, or "close" to reset the channel."""

    def __init__(self, handler, ip="127.0.0.1"):
        self.handler, self.ip = handler, ip
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.ip, port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{self.port}"

    def reset_all(self):
        for writer in list(self.writers):
            if writer.transport:
                writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        key, value = line.split(":", 1)
                        headers[key.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                parts = urlsplit(target)
                query = {k: v[0] for k, v in parse_qs(parts.query, keep_blank_values=True).items()}
                data = json.loads(body) if body else {}
                reply = await self.handler(method, unquote(parts.path), query, headers, data)
                if reply is None:
                    await asyncio.sleep(3600)
                if reply == "close":
                    writer.transport.abort()
                    return
                status, out = reply
                text = b"" if out is None else json.dumps(out).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(text)}\r\n\r\n".encode() + text
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's key-value store."""

    def __init__(self):
        self.revision = 10
        self.items = {}
        self.history = []
        self.leases = {}
        self.changed = asyncio.Condition()
        self.answer_s = STORE_ANSWER_S
        self.http = Http(self.handle)

    def item(self, key):
        value, revision, created, lease = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created": created,
            "lease": lease,
        }

    def write(self, key, value, lease=0):
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.history.append((self.revision, key, self.item(key)))

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            gone = {"key": key, "revision": self.revision, "deleted": True}
            self.history.append((self.revision, key, gone))

    async def put(self, key, value):
        self.revision += 1
        self.write(key, json.dumps(value).encode())
        await self.notify()
        return self.revision

    async def remove(self, key):
        self.revision += 1
        self.delete(key)
        await self.notify()

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    async def end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return False
        keys = [key for key, item in self.items.items() if item[3] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.delete(key)
            await self.notify()
        return True

    async def expire(self):
        while True:
            for lease, (_, until) in list(self.leases.items()):
                if now() >= until:
                    await self.end_lease(lease)
            await asyncio.sleep(0.01)

    def leader(self):
        entry = self.items.get("rhubarbrill/shared/leader")
        return json.loads(entry[0])["name"] if entry else None

    async def handle(self, method, path, query, headers, data):
        await asyncio.sleep(self.answer_s)
        if path == "/kv-key":
            key = query["key"]
            return (200, self.item(key)) if key in self.items else (404, {})
        if path == "/kv-range":
            prefix, after = query["prefix"], query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = [self.item(k) for k in keys[:500]]
            return 200, {"items": page, "has-more": len(keys) > 500, "as-of": self.revision}
        if path == "/kv-watch":
            return await self.watch(query)
        if path == "/kv-txn":
            return await self.transact(data)
        if path == "/kv-lease":
            ttl = max(1000, int(data["ttl-ms"]))
            self.revision += 1
            lease = self.revision
            self.leases[lease] = (ttl / 1000, now() + ttl / 1000)
            return 200, {"lease": lease, "ttl-ms": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path[len("/kv-keep/"):])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, now() + ttl)
            return 200, {"ttl-ms": int(ttl * 1000)}
        if path.startswith("/kv-lease-end/"):
            ended = await self.end_lease(int(path[len("/kv-lease-end/"):]))
            return (200, {}) if ended else (404, {})
        return 404, {}

    async def watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        until = now() + int(query["wait-ms"]) / 1000
        while True:
            events = [e for r, k, e in self.history if r > after and k.startswith(prefix)]
            left = until - now()
            if events or left <= 0:
                return 200, {"events": events, "as-of": self.revision}
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def transact(self, data):
        expected = data.get("expected") or []
        holds = all(
            (self.items[row["key"]][1] if row["key"] in self.items else 0) == row["revision"]
            for row in expected
        )
        if not holds:
            items = [
                self.item(row["key"]) if row["key"] in self.items
                else {"key": row["key"], "revision": 0}
                for row in expected
            ]
            return 412, {"items": items}
        writes = data.get("writes") or []
        for row in writes:
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        for row in writes:
            value = base64.b64decode(row["value"])
            self.write(row["key"], value, row.get("lease") or 0)
        for key in data.get("remove") or []:
            self.delete(key)
        await self.notify()
        return 200, {"revision": self.revision}


class Run:
    """A run of a subtask on a worker."""

    def __init__(self, task, number, checkpoint):
        self.task, self.number, self.carried = task, number, checkpoint
        self.began = now()
        self.base_ms = int(checkpoint[:8], 16) if checkpoint else 0
        self.works_from = self.began + (RESTORE_MS / 1000 if checkpoint else 0)

    def step(self):
        return self.task.rsplit(".", 1)[0]


class Worker:
    """A worker: one life of a machine, which may start again under its id."""

    def __init__(self, platform, number, pool, rate=1.0, cpu=8000, zone="z"):
        self.platform, self.rate, self.zone = platform, rate, zone
        self.id, self.machine = f"w-{number}", f"m-{number}"
        self.pool, self.cpu = pool, cpu
        self.cut = False
        self.http = Http(self.handle, f"127.0.2.{number}")
        self.begin_life()

    def begin_life(self):
        self.up = True
        self.began = now()
        self.born = int(time.time() * 1000)
        self.fence = self.until = self.count = 0
        self.runs, self.ends, self.highest = {}, [], {}
        self.cut_until_entry = None

    def clock(self):
        return int((now() - self.began) * 1000 * self.rate) + 5000

    def say(self, text):
        self.platform.record.add(f"{self.id}: {text}")

    async def register(self):
        entry = {
            "service": self.pool, "address": self.http.address, "zone": self.zone,
            "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
            "seq": int(now() * 1000), "born": self.born, "clock-ms": self.clock(),
            "capacity": {"cpu": self.cpu, "mem-mb": 65536, "gpu": 0},
            "labels": ["a", "r1"],
        }
        await self.platform.store.put(f"servers/{self.id}", entry)
        self.seen = now()

    async def check_in(self):
        while True:
            if self.up and not self.cut:
                await self.register()
            elif now() - self.seen > 3 * CHECK_IN_S:
                if f"servers/{self.id}" in self.platform.store.items:
                    await self.platform.store.remove(f"servers/{self.id}")
            await asyncio.sleep(CHECK_IN_S)

    def end(self, run, how, saved=None):
        del self.runs[run.task]
        self.count += 1
        saved = self.saved(run) if saved is None else saved
        self.ends.append([self.count, run.task, run.number, how, saved])
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.say(f"{run.task} run {run.number} ended {how}")
        self.platform.ended(self, run, how)

    def crash(self):
        """The worker crashes: it runs nothing and holds nothing of before."""
        self.say("crashes")
        self.up = False
        runs = list(self.runs.values())
        self.runs = {}
        for run in runs:
            self.platform.ended(self, run, "lost")
        self.http.reset_all()

    def cut_off(self, cut):
        """Cuts the worker off from all machines, or connects it again. It runs on."""
        self.say("is cut off and runs on" if cut else "is connected again")
        self.cut = cut
        if not cut:
            # What was held up is lost, as its senders have reset the channels.
            self.http.reset_all()

    async def restart(self):
        self.begin_life()
        self.say("starts again under its id")
        if not self.cut:
            await self.register()

    def work_ms(self, run):
        """Returns how much of its work a run has done, in milliseconds."""
        gang = self.platform.gang_of(run)
        since = run.works_from if gang is None else gang.working_since
        if since is None:
            return run.base_ms
        return run.base_ms + max(0, int((now() - since) * 1000))

    def saved(self, run):
        if not self.platform.step(run.task).get("saves-progress"):
            return ""
        done = self.work_ms(run) // CHECKPOINT_MS * CHECKPOINT_MS
        return f"{done:08x}{run.task[:8]}" if done else run.carried

    def advance(self):
        if not self.up:
            return
        lapsed = self.clock() > self.until
        for run in list(self.runs.values()):
            if run.task not in self.runs:
                continue
            step = self.platform.step(run.task)
            if lapsed:
                self.end(run, "lapsed")
            elif step.get("long-running"):
                continue
            elif step.get("gang") and not self.platform.is_whole(run):
                if (now() - run.began) * 1000 > GANG_TIMEOUT_MS:
                    self.end(run, "alone")
            elif self.work_ms(run) >= self.platform.work_ms(run.task):
                how = "failed" if self.platform.fails(run) else "done"
                self.end(run, how)

    async def handle(self, method, path, query, headers, data):
        await asyncio.sleep(0.001)
        if self.cut:
            self.say(f"cut off, doesn't hear {path} {data.get('task', '')}")
            return None
        if not self.up:
            return "close"
        if headers.get("x-target-instance", self.id) != self.id:
            return 421, {"clock-ms": self.clock()}
        reply = self.orders(path, data)
        if reply is not None:
            return reply
        if path != "/hold":
            return 404, {}
        return await self.hold(data)

    def reject(self, reason):
        return 409, {"clock-ms": self.clock(), "reason": reason}

    def orders(self, path, data):
        fence = data.get("fencing-token", 0)
        if fence < self.fence:
            return self.reject("fence")
        self.fence = fence
        clock = self.clock()
        if path == "/run-start":
            task, number = data["task"], data["run-id"]
            reply = self.start(task, number, data, clock)
            if reply != "close":
                self.say(f"told to start {task} run {number} fence {fence} "
                         f"checkpoint {data.get('checkpoint', '')!r}: {reply[0]} "
                         f"{reply[1].get('reason', '')}")
            return reply
        if path == "/run-stop":
            task, number = data["task"], data["run-id"]
            self.highest[task] = max(self.highest.get(task, 0), number)
            run = self.runs.get(task)
            self.say(f"told to stop {task} run {number}")
            if run and run.number == number:
                self.end(run, "stopped")
            return 200, {"clock-ms": clock}
        if path == "/pace":
            return 200, {"clock-ms": clock}
        return None

    def extend(self, until, clock):
        self.until = max(self.until, min(until, clock + MAX_HOLD_MS))

    def start(self, task, number, data, clock):
        run = self.runs.get(task)
        if run and run.number == number:
            return 200, {"clock-ms": clock}
        if number <= self.highest.get(task, 0):
            self.extend(data["until-ms"], clock)
            return self.reject("old")
        if data["until-ms"] <= clock:
            return self.reject("late")
        self.extend(data["until-ms"], clock)
        cpu = sum(self.platform.step(name).get("cpu", 0) for name in self.runs)
        if cpu + self.platform.step(task).get("cpu", 0) > self.cpu:
            return self.reject("room")
        if self.platform.on_start(self, task, number):
            return "close"
        if run:
            self.end(run, "stopped")
        run = Run(task, number, data.get("checkpoint", ""))
        self.runs[task] = run
        self.platform.started(self, run)
        return 200, {"clock-ms": clock}

    async def hold(self, data):
        born = self.born
        if data.get("until-ms") is not None:
            self.extend(data["until-ms"], self.clock())
        seen = data.get("last-seen", 0)
        for end in self.ends:
            if end[0] <= seen:
                self.platform.taken_note(self, end)
        self.ends = [end for end in self.ends if end[0] > seen]
        until = now() + data.get("wait-ms", 0) / 1000
        while not self.ends and now() < until:
            await asyncio.sleep(0.004)
            if self.cut:
                return None
            if not self.up or self.born != born:
                return "close"
        running = [
            [run.task, run.number, self.saved(run),
             100 if self.platform.step(run.task).get("long-running") else 50, 0]
            for run in self.runs.values()
        ]
        return 200, {"clock-ms": self.clock(), "born": self.born, "running": running,
                     "finished": self.ends[:500]}


class Gang:
    """The members of one run of a gang that are present."""

    def __init__(self):
        self.members = {}
        self.working_since = None


class Platform:
    """The platform, its workers, and what callers have handed in."""

    def __init__(self, record):
        self.record = record
        self.store = Store()
        self.machines = Http(self.list_machines)
        self.workers, self.jobs, self.gangs = [], {}, {}
        self.starts, self.live, self.noted, self.ended_runs = [], {}, set(), []
        self.doubles, self.work = [], {}
        self.most_cpu = None
        self.entries = []
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.hook = None
        self.failing = set()
        self.tasks = []

    async def begin(self):
        await self.store.http.start()
        await self.machines.start()
        self.spawn(self.store.expire())
        self.spawn(self.advance())

    def spawn(self, coroutine):
        self.tasks.append(asyncio.create_task(coroutine))

    async def add_worker(self, pool, **options):
        worker = Worker(self, len(self.workers) + 1, pool, **options)
        await worker.http.start()
        self.workers.append(worker)
        self.spawn(worker.check_in())
        return worker

    async def advance(self):
        while True:
            for worker in self.workers:
                worker.advance()
            await asyncio.sleep(0.005)

    async def list_machines(self, method, path, query, headers, data):
        if path != "/machines":
            return 400, {}
        rows = [
            {"machine": w.machine, "pool": w.pool, "state": "up" if w.up else "down",
             "zone": w.zone, "labels": ["a", "r1"],
             "capacity": {"cpu": w.cpu, "mem-mb": 65536, "gpu": 0},
             **({"id": w.id} if w.up else {})}
            for w in self.workers
        ]
        return 200, {"machines": rows, "next-token": ""}

    # What callers have handed in.

    def step(self, task):
        job, _, step, *_ = task.split(".")
        return self.jobs[job]["steps"][int(step)]

    def work_ms(self, task):
        return self.work.get(task.split(".")[0], 1000)

    def fails(self, run):
        return (run.task, run.number) in self.failing

    # What happens on workers.

    def gang_of(self, run):
        if not self.step(run.task).get("gang"):
            return None
        return self.gangs.setdefault((run.step(), run.number), Gang())

    def is_whole(self, run):
        gang = self.gang_of(run)
        return gang.working_since is not None

    def on_start(self, worker, task, number):
        return self.hook(worker, task, number) if self.hook else False

    def started(self, worker, run):
        self.starts.append((now(), worker, run))
        others = [(w, r) for (w, r) in self.live.get(run.task, []) if w.up]
        for other, earlier in others:
            text = (f"{run.task} run {run.number} starts on {worker.id} while run "
                    f"{earlier.number} is at work on {other.id}")
            self.record.add("TWICE " + text)
            self.doubles.append(text)
        self.live.setdefault(run.task, []).append((worker, run))
        self.count_cpu()
        gang = self.gang_of(run)
        if gang is not None:
            gang.members[run.task] = run
            whole = len(gang.members) == self.step(run.task)["count"]
            values = {member.carried for member in gang.members.values()}
            if whole and len(values) == 1:
                delay = RESTORE_MS / 1000 if run.carried else 0
                gang.working_since = now() + delay
                self.record.add(f"gang {run.step()} run {run.number} is at work")

    def ended(self, worker, run, how):
        self.ended_runs.append((now(), worker, run, how))
        entry = self.live.get(run.task, [])
        self.live[run.task] = [(w, r) for (w, r) in entry if r is not run]
        gang = self.gang_of(run)
        if gang is None or gang.members.pop(run.task, None) is None:
            return
        if how in ("done", "alone"):
            return
        # The other members end with it.
        for other in self.workers:
            for member in list(other.runs.values()):
                if gang.members.get(member.task) is member:
                    other.end(member, "broken")

    def watch_cpu(self):
        """Starts to keep the most that is at work on all workers, right after a start."""
        self.most_cpu = 0

    def count_cpu(self):
        if self.most_cpu is None:
            return
        at_work = [run.task for worker in self.workers for run in worker.runs.values()]
        cpu = sum(self.step(task).get("cpu", 0) for task in at_work)
        self.most_cpu = max(self.most_cpu, cpu)
        self.record.add(f"at work: {cpu} thousandths of a core in {len(at_work)} subtasks")

    def taken_note(self, worker, end):
        self.noted.add((end[1], end[2], end[3]))

    # Entry hosts.

    def free_port(self, ip):
        with socket.socket() as sock:
            sock.bind((ip, 0))
            return sock.getsockname()[1]

    async def start_entry(self, number):
        entry = Entry(self, number)
        await entry.start()
        self.entries.append(entry)
        return entry

    def entry_named(self, name):
        return next((e for e in self.entries if e.name == name and e.is_running()), None)

    async def leader(self, timeout=15):
        until = now() + timeout
        while now() < until:
            entry = self.entry_named(self.store.leader() or "")
            if entry:
                return entry
            await asyncio.sleep(0.02)
        raise RuntimeError("no leader")

    async def configure(self, version, routes, tenants, services):
        value = {
            "version": version, "routes": routes, "services": services, "tenants": tenants,
            "limits": {"max-body-bytes": 262144, "header-timeout-ms": 3000},
        }
        await self.store.put("op/config", value)
        self.record.add(f"configuration {version} acknowledged: {json.dumps(routes)}")

    async def close(self):
        for entry in self.entries:
            await entry.kill()
        for task in self.tasks:
            task.cancel()
        shutil.rmtree(self.folder, ignore_errors=True)


class Entry:
    """An entry host, started with the command of deploy/system.toml."""

    def __init__(self, platform, number):
        self.platform, self.number = platform, number
        self.name, self.ip = f"front-z-{number}", f"127.0.1.{number}"
        self.ports = [platform.free_port(self.ip) for _ in range(4)]
        self.process = None

    async def start(self):
        front, ready, control, internal = self.ports
        platform = self.platform
        settings = {
            "node-name": self.name, "role": "entry", "machine-class": "front",
            "serves": "front", "ip": self.ip, "zone": "z", "region": "r", "zones.z": "r",
            "listen-addrs.front": f"{self.ip}:{front}",
            "listen-addrs.ready": f"{self.ip}:{ready}",
            "listen-addrs.control": f"{self.ip}:{control}",
            "internal-ports": f"{internal},{internal}",
            "bootstrap": "true", "limits.cpu-share": "0.25", "limits.cores": "1",
            "limits.memory-mb": "260", "limits.max-fds": "4100", "heartbeat-ms": "1500",
            "contracts": "base,drain,config,cost,recover,sched,tenants,quota,platform,upkeep",
            "bounds.contact-ms": "3000", "bounds.ack-ms": "4000", "bounds.drain-ms": "2000",
            "bounds.grace-s": "6", "bounds.config-ms": "2000", "bounds.max-hold-ms": "6000",
            "bounds.stop-ms": "200", "bounds.gang-timeout-ms": "3000",
            "bounds.cancel_ms": "3000", "bounds.visible_ms": "3000", "bounds.early_ms": "250",
            "bounds.finish_s": "14", "bounds.status_s": "120", "bounds.remote-factor": "2",
            "bounds.checkpoint-s": "1", "bounds.restore-ms": "100",
            "bounds.notice-ms": "4500", "bounds.move-s": "1.5", "bounds.maintenance-s": "2",
            "bounds.require-fencing": "false", "bounds.lease-ms": "3000", "orders": "request",
            "platform.address": platform.store.http.address, "platform.form": "kv",
            "platform.writes-per-s": "400", "platform.reads-per-s": "2000",
            "platform.history-s": "20", "platform.value-bytes": "1048576",
            "platform.min-ttl-ms": "1000", "cloud-api.address": platform.machines.address,
            "cloud-api.rate-per-s": "64.0", "cloud-api.duty-per-s": "64.0",
        }
        path = os.path.join(platform.folder, f"{self.name}.conf")
        with open(path, "w", encoding="utf-8") as file:
            file.writelines(f"{key}={value}\n" for key, value in settings.items())
        environment = {"RHUBARBRILL_NODE_FILE": path}
        for name in ("PATH", "HOME", "LANG"):
            if name in os.environ:
                environment[name] = os.environ[name]
        self.log = open(os.path.join(platform.folder, f"{self.name}.log"), "ab")
        program = os.path.join(ROOT, "target/release/rhubarbrilld")
        self.process = await asyncio.create_subprocess_exec(
            program, "--platform", "--features", "deploy/features.ini",
            cwd=ROOT, env=environment, stdout=self.log, stderr=self.log,
        )
        platform.record.add(f"{self.name} started")

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        self.platform.record.add(f"{self.name} gets signal {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def kill(self):
        if self.is_running():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            await self.process.wait()

    async def call(self, method, path, body=None, key="k", timeout=4.0, host="h", say=True):
        """Makes a call as a requester does. Returns (status, body), or (0, {}) without a
        complete answer."""
        text = json.dumps(body).encode() if body is not None else b""
        try:
            status, out = await asyncio.wait_for(self.exchange(method, path, text, key, host), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            status, out = 0, {}
        if say:
            self.platform.record.add(f"{method} {path} at {self.name}: {status} {json.dumps(out)}")
        return status, out

    async def exchange(self, method, path, text, key, host):
        reader, writer = await asyncio.open_connection(self.ip, self.ports[0])
        try:
            writer.write(
                f"{method} {path} HTTP/1.1\r\nhost: {host}\r\nauthorization: Bearer {key}\r\n"
                f"content-type: application/json\r\nx-deadline-ms: 3000\r\n"
                f"content-length: {len(text)}\r\nconnection: close\r\n\r\n".encode() + text
            )
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
            length = 0
            for line in head.split("\r\n")[1:]:
                if line.lower().startswith("content-length:"):
                    length = int(line.split(":")[1])
            out = await reader.readexactly(length)
            return int(head.split(" ")[1]), json.loads(out) if out else {}
        finally:
            writer.close()


async def submit(platform, prefix, job_id, body, key="k"):
    """Hands a job in as a requester does: again at another node until it is accepted."""
    platform.jobs[job_id] = body
    for attempt in range(20):
        running = [entry for entry in platform.entries if entry.is_running()]
        entry = running[attempt % len(running)]
        status, _ = await entry.call("POST", prefix + job_id, body, key)
        if 200 <= status < 300:
            return True
        await asyncio.sleep(0.3)
    return False


async def show(platform, prefix, job_id, key="k", say=True):
    """Asks for a job's state; returns (status, state)."""
    for entry in platform.entries:
        if entry.is_running():
            status, out = await entry.call("GET", prefix + job_id, key=key, say=say)
            if status:
                return status, out.get("state", "")
    return 0, ""


async def ready(platform, timeout=20):
    """Waits until a leader leads and every entry host answers calls."""
    await platform.leader(timeout)
    until = now() + timeout
    for entry in platform.entries:
        while now() < until:
            status, _ = await entry.call("GET", "/q/", say=False)
            if status == 200:
                break
            await asyncio.sleep(0.05)
        else:
            raise RuntimeError("an entry host isn't ready")


def main(case, folder):
    """Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play():
        # Calls that are under way when the case ends are cancelled.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        platform = Platform(record)
        try:
            await platform.begin()
            return await asyncio.wait_for(case(platform, trouble), 112)
        finally:
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(platform.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
            await platform.close()

    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        broken = asyncio.run(play())
    except (Exception, KeyboardInterrupt) as error:  # It couldn't run, whatever the reason.
        record.add(f"couldn't run: {error!r}")
        print(f"couldn't run: {error!r}")
        sys.exit(2)
    for text in broken[:20]:
        record.add("BROKEN " + text)
        print("broken:", text)
    if not broken:
        record.add("held")
        print("held")
    sys.exit(1 if broken else 0)
