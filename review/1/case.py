"""A worker that is cut off from the store crashes and starts again under its id."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))
import standin

# With TROUBLE=0 the case does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

WORKERS = 5
CUT_S = 4.0
RESTART_S = 0.3
WORK_S = 2.0


async def script(case):
    step = {"count": 6, "cpu": 3500, "mem-mb": 7200, "estimate-ms": int(WORK_S * 1000)}
    first = await case.submit([step], 0.5)
    if not await case.until_state(first, "completed", 15):
        raise standin.CannotRun("the first job doesn't end")
    await asyncio.sleep(3)
    # The cut meets the worker that ran the first job; it is idle.
    used = [row[2] for row in case.fleet.runs]
    victim = next(worker for worker in case.workers if worker.ident == used[0])
    if TROUBLE:
        victim.cut_off = True
        case.record.add("%s is cut off from the store and crashes" % victim.ident)
        victim.crash()
        await asyncio.sleep(RESTART_S)
        await victim.start()
        case.record.add("%s is up again, still cut off" % victim.ident)
    else:
        await asyncio.sleep(RESTART_S)
    await asyncio.sleep(0.7)
    jobs = [await case.submit([step], WORK_S) for _ in range(5)]
    await asyncio.sleep(CUT_S - RESTART_S - 0.7)
    victim.cut_off = False
    case.record.add("the cut ends")
    for job in jobs:
        await case.until_state(job, "completed", 20)
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


standin.play(FOLDER, script, workers=WORKERS)
