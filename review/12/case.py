"""A job that its caller cancelled, and was told not to exist, runs five seconds later."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-3"))
import standin
from standin import config, main


# The store carries out the write whose answer it loses after this time; the pages allow 1 to 6 s.
LATE_S = 5.0
# The caller leaves after this time without an answer.
PATIENCE_S = 0.15
CANCEL_S = 3.0
JOB = "00000000000000c1"


class System(standin.System):
    cancelled_at = None

    def on_start(self, worker, run, step, fits):
        if not run.task.startswith(JOB) or self.cancelled_at is None:
            return
        since = time.monotonic() - self.cancelled_at
        if since > CANCEL_S:
            self.breach("UNASKED", f"{run.task} starts on {worker.id} {since:.1f} s after its job's cancelling was answered")


def lose_one_answer(system):
    """Lets the store lose the answer to the write of JOB, and carry it out LATE_S later."""
    handle, lost = system.store.handle, []

    async def later(request):
        await asyncio.sleep(LATE_S)
        answer = await handle(request)
        system.note("store_carries_out", status=answer[0])

    async def lossy(request):
        keys = [write["key"] for write in request.body.get("writes", [])]
        if request.path == "/kv-txn" and not lost and any(key.endswith(JOB) for key in keys):
            lost.append(request)
            system.note("store_loses_answer", keys=keys, carried_out_after_s=LATE_S, writes_before=system.store.writes)
            asyncio.ensure_future(later(request))
            return standin.NO_ANSWER
        return await handle(request)

    system.store.server.handler = lossy


async def run(system, trouble):
    await system.open(config())
    for n in range(1, 4):
        await system.add_worker(f"w-{n}", "pool", {"cpu": 8000, "mem-mb": 32768, "gpu": 0}, ["a", "r1"])
    entries = [await system.start_entry(f"entry-{n}") for n in (1, 2, 3)]
    for entry in entries:
        await system.wait_ready(entry)
    await asyncio.sleep(1)
    steps = [{"count": 2, "cpu": 1000, "mem-mb": 256, "estimate-ms": 1000}]
    for n in range(8):
        if await system.submit(entries[n % 3], f"{n:016x}", steps) != 200:
            raise RuntimeError("an ordinary job wasn't accepted")
    if trouble:
        lose_one_answer(system)
    await system.submit(entries[0], JOB, steps, patience=PATIENCE_S)
    status, _ = await system.ask(entries[1], "DELETE", JOB)
    if status not in (200, 410):
        raise RuntimeError("the cancelling wasn't answered")
    system.cancelled_at = time.monotonic()
    await asyncio.sleep(11)
    await system.ask(entries[1], "GET", JOB)
    system.note("writes_to_the_store", count=system.store.writes)


if __name__ == "__main__":
    main(sys.modules[__name__], os.path.join(HERE, "record.txt"))
