"""A job that lasts is given up as failed because two of its endpoints crash by turns."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-3"))
import standin
from standin import config, main

# One of the seven endpoints of the service crashes at a time, and is down for DOWN_S.
PERIOD_S = float(os.environ.get("PERIOD_S", "8"))
DOWN_S = 4.0
CRASHES = int(os.environ.get("CRASHES", "8"))
JOB = "00000000000000d1"
ROOM = {"cpu": 64000, "mem-mb": 262144, "gpu": 0}


class System(standin.System):
    failed_ends = 0

    def percent(self, run):
        return 100

    def on_end(self, worker, run, how):
        if run.task.startswith(JOB) and how == "failed":
            self.failed_ends += 1


async def run(system, trouble):
    services = [{"name": name, "rejects-overload": True} for name in ("pool", "other")]
    await system.open(config(services=services))
    for n in range(1, 6):
        await system.add_worker(f"w-{n}", "pool", ROOM, ["a", "r1"])
    pair = [await system.add_worker(f"w-{n}", "pool", ROOM, ["b", "r2"]) for n in (6, 7)]
    for n in range(8, 29):
        await system.add_worker(f"w-{n}", "other", ROOM, ["a", "r3"])
    entries = [await system.start_entry(f"entry-{n}") for n in (1, 2, 3)]
    for entry in entries:
        await system.wait_ready(entry)
    step = {"count": 2, "cpu": 5000, "mem-mb": 27000, "estimate-ms": 700, "long-running": True, "requires": "b"}
    if await system.submit(entries[0], JOB, [step]) != 200:
        raise RuntimeError("the job wasn't accepted")
    state = "queued"
    for _ in range(CRASHES):
        await asyncio.sleep(PERIOD_S - DOWN_S)
        busy = [worker for worker in pair if worker.up and worker.running]
        if trouble and busy:
            busy[0].crash()
        await asyncio.sleep(DOWN_S)
        for worker in pair:
            if not worker.up:
                await worker.start()
        _, state = await system.ask(entries[1], "GET", JOB)
        if state == "failed":
            break
    if state not in ("queued", "running"):
        system.breach("LOST", f"the job, which nobody cancelled, is shown as {state!r}; {system.failed_ends} runs of it ended 'failed'")


if __name__ == "__main__":
    main(sys.modules[__name__], os.path.join(HERE, "record.txt"))
