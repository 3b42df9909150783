"""One job that can never be done arrives, half of whose many times are due; others follow."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))
import standin

# With TROUBLE=0 the case does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

OTHERS = 20
TIMES = 86400
INTERVAL_MS = 1000
LATE_S = 13 * 3600


async def script(case):
    step = {"count": 6, "cpu": 3500, "mem-mb": 7200, "estimate-ms": 1000}
    small = {"count": 1, "cpu": 100, "mem-mb": 64, "estimate-ms": 200}
    if os.environ.get("DOABLE") != "1":
        # No worker has this label.
        small["requires"] = "kind-z"
    first = await case.submit([step], 1.0)
    if not await case.until_state(first, "completed", 15):
        raise standin.CannotRun("the first job doesn't end")
    if TROUBLE:
        start = int((time.time() - LATE_S) * 1000)
        await case.submit([small], 0.2, ident="5c4ed00000000001", **{
            "times": TIMES, "interval-ms": INTERVAL_MS, "start-at-ms": start})
        await asyncio.sleep(0.5)
    jobs = []
    for _ in range(OTHERS):
        jobs.append(await case.submit([step], 1.0))
        await asyncio.sleep(0.1)
    await asyncio.sleep(45)
    breaks = []
    for job in jobs:
        state = await case.state(job)
        if state != "completed":
            began = any(row[0].startswith(job) for row in case.fleet.runs)
            breaks.append("LOST: job %s is shown as %s after 45 s; a subtask of it %s" % (
                job, state, "has run" if began else "has never started"))
    case.record.add("values that were too large for the store: %d" % case.store.refused_values)
    return breaks


standin.play(FOLDER, script, workers=9)
