"""An endpoint that restarted forgets ends by an acknowledgement meant for its earlier life."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-3"))
import standin
from standin import config, main

# How long the store takes for an answer, and how long while it is slow: 60 times as long.
ANSWER_S = 0.004
SLOW_S = float(os.environ.get("SLOW_S", "0.24"))
SLOW_FOR_S = 4.5
# One of five endpoints is cut off from the store for this long, and restarts at once.
CUT_S = 0.8
RESTART_S = 0.03
RUN_S = 0.04
EPISODES = 9
ROOM = {"cpu": 64000, "mem-mb": 262144, "gpu": 0}


class Worker(standin.Worker):
    """Keeps the time of the last report that listed ends."""

    holds, reported_at = 0, 0.0

    async def hold(self, body):
        self.holds += 1
        try:
            answer = await super().hold(body)
        finally:
            self.holds -= 1
        if answer[1].get("finished"):
            self.reported_at = time.monotonic()
        if time.monotonic() - self.boot < 2 and body.get("last-seen"):
            self.system.note("hold", worker=self.id, age_s=round(time.monotonic() - self.boot, 3), last_seen=body["last-seen"])
        return answer

    def has_just_reported(self):
        """Whether a report with ends has just gone out and no hold waits."""
        is_recent = time.monotonic() - self.reported_at < 0.02
        return self.up and self.holds == 0 and self.finished and self.ends >= 6 and is_recent


standin.Worker = Worker


class System(standin.System):
    def run_s(self, task):
        return RUN_S

    def on_noted(self, row):
        super().on_noted(row)
        self.note("end_taken_note_of", number=row[0], task=row[1], run=row[2], how=row[3])

    def on_start(self, worker, run, step, fits):
        if (run.task, "done") in self.noted:
            self.breach("TWICE", f"{run.task} run {run.number} starts on {worker.id} after an end `done` of it was taken note of")


async def hand_in(system, entries, until):
    number = 0
    while not until.is_set():
        number += 1
        step = {"count": 3, "cpu": 500, "mem-mb": 100, "estimate-ms": 40}
        asyncio.ensure_future(system.submit(entries[number % 2], f"{number:016x}", [step]))
        await asyncio.sleep(0.12)


def slow_down(system):
    """Returns a switch that makes the store slow."""
    handle, delay = system.store.handle, [ANSWER_S]

    async def slowly(request):
        # A watch answers as late as other calls, after its wait.
        answer = await handle(request) if request.path == "/kv-watch" else None
        await asyncio.sleep(delay[0])
        return answer or await handle(request)

    system.store.server.handler = slowly

    def switch(is_slow):
        delay[0] = SLOW_S if is_slow else ANSWER_S
        system.note("store", is_slow=is_slow)

    return switch


async def restart_behind_a_cut(system, last):
    system.note("cut_from_store", worker=last.id)
    last.reaches_store = False
    last.crash()
    await asyncio.sleep(RESTART_S)
    await last.start()
    await asyncio.sleep(CUT_S - RESTART_S)
    last.reaches_store = True
    last.register()
    system.note("cut_heals", worker=last.id)


async def episode(system, switch, trouble):
    """The store is slow for a while, in which endpoints restart, one at a time."""
    if trouble:
        switch(True)
    end = time.monotonic() + SLOW_FOR_S
    await asyncio.sleep(0.5)
    while time.monotonic() < end - CUT_S and not system.broken:
        last = next((w for w in system.workers.values() if w.has_just_reported()), None)
        if trouble and last is not None:
            await restart_behind_a_cut(system, last)
        await asyncio.sleep(0.002)
    await asyncio.sleep(max(0.0, end - time.monotonic()))
    if trouble:
        switch(False)


async def run(system, trouble):
    await system.open(config())
    for n in range(1, 6):
        await system.add_worker(f"w-{n}", "pool", ROOM, ["a", "r1"])
    entries = [await system.start_entry(f"entry-{n}") for n in (1, 2)]
    for entry in entries:
        await system.wait_ready(entry)
    switch = slow_down(system)
    over = asyncio.Event()
    handing_in = asyncio.ensure_future(hand_in(system, entries, over))
    await asyncio.sleep(3)
    for _ in range(EPISODES):
        await episode(system, switch, trouble)
        if system.broken:
            break
        await asyncio.sleep(4)
    over.set()
    await handing_in
    await asyncio.sleep(2)


if __name__ == "__main__":
    main(sys.modules[__name__], os.path.join(HERE, "record.txt"))
