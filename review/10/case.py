"""A queue is left out of one version of the configuration, and the leader's process is killed."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-2"))
import platform2 as p2

JOB = "00000000000000d1"
ATTEMPTS = 4


def route(name):
    return {"name": name, "host": "h", "prefix": f"/{name}/", "service": "p",
            "attempts": ATTEMPTS, "stretch": 2.0, "target-latency-ms": 2000, "public": False,
            "priority": 0}


TENANT = {"name": "t", "api-keys": ["k"], "weight": 100,
          "max-count": {"cpu": 0, "mem-mb": 0, "gpu": 0}}
SERVICE = {"name": "p", "rejects-overload": True, "standby": False}


async def case(platform, trouble):
    for _ in range(6):
        await platform.add_worker("p")
    both = [route("q"), route("r")]
    await platform.configure(1, both, [TENANT], [SERVICE])
    for number in range(1, 4):
        await platform.start_entry(number)
    await p2.ready(platform)
    platform.work[JOB] = 5000
    platform.failing.add((f"{JOB}.0.0.0", 1))
    step = {"count": 1, "cpu": 1000, "mem-mb": 100, "estimate-ms": 5000}
    if not await p2.submit(platform, "/r/", JOB, {"spec": "s", "steps": [step]}):
        raise RuntimeError("the job wasn't accepted")
    await asyncio.sleep(1.0)
    if not platform.starts:
        raise RuntimeError("the subtask didn't start")
    await platform.configure(4, [route("q")], [TENANT], [SERVICE])
    await asyncio.sleep(1.0)
    if trouble:
        leader = await platform.leader()
        leader.signal(signal.SIGKILL)
        await leader.process.wait()
        await asyncio.sleep(0.5)
        await leader.start()
    until = p2.now() + 10
    while not platform.ended_runs and p2.now() < until:
        await asyncio.sleep(0.05)
    if [end[3] for end in platform.ended_runs] != ["failed"]:
        raise RuntimeError("the first run didn't fail once")
    await asyncio.sleep(1.0)
    await platform.configure(9, both, [TENANT], [SERVICE])
    await asyncio.sleep(2.0)
    broken = []
    until = p2.now() + 20
    while p2.now() < until:
        status, state = await p2.show(platform, "/r/", JOB)
        if state == "completed":
            return []
        if state in ("failed", "cancelled") or status == 410:
            return [f"LOST: the job is shown as {state or status}, with one failed run of "
                    f"{ATTEMPTS} attempts"]
        await asyncio.sleep(1.0)
    return broken


p2.main(case, FOLDER)
