"""A machine fails and comes back a few times. A job whose subtasks last runs on all machines.

AVAIL: a stop ends a subtask of a step with `may-miss` that is at work on a sound worker, while
that many others of its step are away: ended by such an order, or not at work for `notice-ms`.
"""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))
import standin

# With TROUBLE=0 the case does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

SERVICES = ("sizing-desk", "appraisal-office", "clasp-desk")
WORKERS = 9
CRASHES = 4
DOWN_S = 2.0
UP_S = 2.0
MAY_MISS = 1
NOTICE_S = 4.5
STARTUP_S = 0.5


def find_breaks(case, job):
    """Returns the stops of subtasks of a job that the rule forbids."""
    breaks = []
    away = set()
    for at, worker, task, number in case.fleet.stops:
        if not task.startswith(job):
            continue
        others = set(away)
        for index in range(WORKERS):
            other = "%s.0.0.%d" % (job, index)
            rows = [row for row in case.fleet.runs if row[0] == other and row[3] < at]
            seen = max((row[4] or at for row in rows if row[3] + STARTUP_S < (row[4] or at)),
                       default=0)
            if at - seen > NOTICE_S:
                others.add(other)
        others.discard(task)
        row = next(row for row in case.fleet.runs if row[:2] == [task, number])
        if row[3] + STARTUP_S < at and len(others) >= MAY_MISS:
            breaks.append(
                "AVAIL: %s run %d is ended on %s by an order; %d others of its step are "
                "away, and %d may be" % (task, number, worker, len(others), MAY_MISS))
        away.add(task)
    return breaks


async def script(case):
    step = {"cpu": 5300, "mem-mb": 27000, "estimate-ms": 700,
            "anti-affinity": 1, "long-running": True, "may-miss": MAY_MISS}
    step = dict(step, count=WORKERS)
    jobs = [await case.submit([step], None, service=service) for service in SERVICES]
    job = jobs[0]
    at_work = lambda: sum(len(worker.live) for worker in case.workers)
    await case.until(10, "every subtask runs", lambda: at_work() == len(case.workers))
    await asyncio.sleep(12)
    victim = case.workers[3]
    for number in range(CRASHES):
        if TROUBLE:
            case.record.add("%s crashes" % victim.ident)
            victim.crash()
        await asyncio.sleep(DOWN_S)
        if TROUBLE:
            victim.ident = "i-%04x" % (0xB0 + number)
            victim.http.port = None
            await victim.start()
            case.record.add("its machine is back as %s" % victim.ident)
        await asyncio.sleep(UP_S)
        if await case.state(job) == "failed":
            break
    await asyncio.sleep(5)
    state = await case.state(job)
    failed = [row for row in case.fleet.runs if row[5] == "failed"]
    case.record.add("at the end job %s is shown as %s; %d of its subtasks run; ends `failed` "
                    "that any worker has listed: %d" % (
                        job, state, sum(1 for row in case.fleet.runs
                                        if row[0].startswith(job) and row[5] is None),
                        len(failed)))
    return find_breaks(case, job)


standin.play(FOLDER, script, workers=WORKERS, services=SERVICES)
