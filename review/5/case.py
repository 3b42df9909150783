"""The only workers that can run some jobs are unhealthy and reject what they are told to start."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))
import standin

# With TROUBLE=0 the case does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

WORKERS = 9
GREY_S = 6.5
JOBS = 12
VISIBLE_S = 3.0


async def script(case):
    victim = case.workers[0]
    # It is of another kind than the others.
    victim.labels = ["b", victim.rack]
    victim.beat()
    step = {"count": 1, "cpu": 3500, "mem-mb": 7200, "estimate-ms": 1000,
            "requires": "b"}
    first = await case.submit([step], 0.5)
    if not await case.until_state(first, "completed", 15):
        raise standin.CannotRun("the first job doesn't end")
    await asyncio.sleep(2)
    if TROUBLE:
        case.record.add("%s sheds what it is told to start" % victim.ident)
        victim.sheds = True
    jobs = [await case.submit([step], 0.5) for _ in range(JOBS)]
    accepted = case.record.now()
    breaks = []
    while case.record.now() < accepted + GREY_S - 0.3:
        await asyncio.sleep(0.1)
        if case.record.now() < accepted + VISIBLE_S + 2.0:
            continue
        begun = {row[0].split(".")[0] for row in case.fleet.runs}
        waiting = [job for job in jobs if job not in begun]
        answer = await case.http(case.node().front, "GET", "/sizing-desk/", None, 3.0)
        pending = answer.value["pending"] if answer and answer.status == 200 else None
        case.record.add("GET pending: %s; jobs that haven't begun: %d" % (pending, len(waiting)))
        if pending is not None and pending * 2 < len(waiting):
            breaks.append("MIXED: pending is given as %d, %d jobs that were accepted over 5 s "
                          "before haven't begun" % (pending, len(waiting)))
            for job in waiting[:3]:
                await case.state(job)
    victim.sheds = False
    case.record.add("%s is healthy again" % victim.ident)
    for job in jobs:
        await case.until_state(job, "completed", 20)
    return breaks


standin.play(FOLDER, script, workers=WORKERS)
