"""A machine fails and comes back a few times. A job whose subtasks last runs on all machines."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin"))
import standin

SERVICES = ("sizing-desk", "appraisal-office", "clasp-desk")
WORKERS = 9
CRASHES = 4
DOWN_S = 2.0
UP_S = 2.0


async def script(case):
    step = {"cpu": 5300, "mem-mb": 27000, "estimate-ms": 700,
            "anti-affinity": 1, "long-running": True, "may-miss": 1}
    step = dict(step, count=WORKERS)
    jobs = [await case.submit([step], None, service=service) for service in SERVICES]
    job = jobs[0]
    at_work = lambda: sum(len(worker.live) for worker in case.workers)
    await case.until(10, "every subtask runs", lambda: at_work() == len(case.workers))
    await asyncio.sleep(12)
    victim = case.workers[3]
    for number in range(CRASHES):
        if case.trouble:
            case.record.add("%s crashes" % victim.ident)
            victim.crash()
        await asyncio.sleep(DOWN_S)
        if case.trouble:
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
    breaks = []
    if state == "failed" and not failed:
        stopped = [row for row in case.fleet.runs if row[5] == "stopped"]
        breaks.append(
            "LOST: job %s is shown as failed; no subtask of it has ended `failed`; %d "
            "subtasks on sound workers were stopped, %d run" % (job, len(stopped), at_work()))
    elif state != "running":
        breaks.append("LOST: job %s is shown as %s" % (job, state))
    return breaks


standin.play(FOLDER, script, workers=WORKERS, services=SERVICES)
