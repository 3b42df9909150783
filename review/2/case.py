"""The store is down while one worker ends more than 500 subtasks."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))
import standin

# With TROUBLE=0 the case does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

JOBS = 25
WIDTH = 24
DOWN_S = 4.5


async def script(case):
    chance = random.Random(1)
    ends = {}

    def work(task):
        # All subtasks end between 12 s and 15 s after the first submission.
        began = case.record.now()
        ends.setdefault(task, chance.uniform(12, 15))
        return max(0.5, first + ends[task] - began)

    step = {"count": WIDTH, "cpu": 100, "mem-mb": 64, "estimate-ms": 10000}
    first = case.record.now()
    jobs = []
    for _ in range(JOBS):
        jobs.append(await case.submit([step], work))
        await asyncio.sleep(0.15)
    running = lambda: max(len(worker.live) for worker in case.workers)
    await case.until(6, "every subtask runs", lambda: sum(
        len(worker.live) for worker in case.workers) == JOBS * WIDTH)
    case.record.add("one worker runs %d subtasks" % running())
    if running() <= standin.MAX_ENDS:
        raise standin.CannotRun("the subtasks are spread over several workers")
    await asyncio.sleep(max(0, first + 11.0 - case.record.now()))
    if TROUBLE:
        case.record.add("the store is down")
        case.store.silent = True
    await asyncio.sleep(DOWN_S)
    case.store.silent = False
    case.record.add("the store is up")
    for job in jobs:
        await case.until_state(job, "completed", 15)
    await asyncio.sleep(1)
    breaks = []
    for one, other, overlap in case.fleet.doubles():
        breaks.append(
            "TWICE: %s run %d on %s and run %d on %s executed at the same time for %.2f s"
            % (one[0], one[1], one[2], other[1], other[2], overlap))
    for one, other in case.fleet.repeats():
        breaks.append(
            "TWICE: %s run %d on %s ended `done`, which was taken note of, and run %d "
            "started on %s" % (one[0], one[1], one[2], other[1], other[2]))
    return breaks


standin.play(FOLDER, script, workers=3)
