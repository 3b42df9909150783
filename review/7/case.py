"""A worker that was idle for a while is cut off right after it was given a subtask."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-2"))
import platform2 as p2

JOB = "00000000000000b1"
IDLE_S = 55.0
CUT_S = 5.5
ROUTE = {"name": "q", "host": "h", "prefix": "/q/", "service": "p", "attempts": 4,
         "stretch": 2.0, "target-latency-ms": 2000, "public": False, "priority": 0}
TENANT = {"name": "t", "api-keys": ["k"], "weight": 100,
          "max-count": {"cpu": 0, "mem-mb": 0, "gpu": 0}}
SERVICE = {"name": "p", "rejects-overload": True, "standby": False}


async def case(platform, trouble):
    for _ in range(6):
        await platform.add_worker("p", rate=0.98)
    await platform.configure(1, [ROUTE], [TENANT], [SERVICE])
    for number in range(1, 4):
        await platform.start_entry(number)
    await p2.ready(platform)
    await asyncio.sleep(IDLE_S)
    platform.work[JOB] = 12000
    step = {"count": 1, "cpu": 1000, "mem-mb": 100, "estimate-ms": 12000}
    if not await p2.submit(platform, "/q/", JOB, {"spec": "s", "steps": [step]}):
        raise RuntimeError("the job wasn't accepted")
    until = p2.now() + 10
    while not platform.starts and p2.now() < until:
        await asyncio.sleep(0.01)
    if not platform.starts:
        raise RuntimeError("the subtask didn't start")
    if trouble:
        await asyncio.sleep(0.4)
        worker = platform.starts[0][1]
        worker.cut_off(True)
        await asyncio.sleep(CUT_S)
        worker.cut_off(False)
    state = ""
    until = p2.now() + 30
    while state != "completed" and p2.now() < until:
        await asyncio.sleep(0.5)
        _, state = await p2.show(platform, "/q/", JOB, say=False)
    platform.record.add(f"at the end the job is shown as {state!r}")
    return ["TWICE: " + text for text in platform.doubles]


p2.main(case, FOLDER)
