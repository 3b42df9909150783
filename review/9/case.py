"""A worker is cut off and runs on; a job on it is cancelled, and the leader's process is killed."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-2"))
import platform2 as p2

FIRST, SECOND = "00000000000000c1", "00000000000000c2"
CUT_S = 5.5
MAX_CPU = 4000
OVERRUN = 0.1
ROUTE = {"name": "q", "host": "h", "prefix": "/q/", "service": "p", "attempts": 4,
         "stretch": 2.0, "target-latency-ms": 2000, "public": False, "priority": 0}
TENANT = {"name": "t", "api-keys": ["k"], "weight": 100,
          "max-count": {"cpu": MAX_CPU, "mem-mb": 0, "gpu": 0}}
SERVICE = {"name": "p", "rejects-overload": True, "standby": False}


async def case(platform, trouble):
    for _ in range(6):
        await platform.add_worker("p")
    await platform.configure(1, [ROUTE], [TENANT], [SERVICE])
    for number in range(1, 4):
        await platform.start_entry(number)
    await p2.ready(platform)
    platform.watch_cpu()
    step = {"count": 4, "cpu": 1000, "mem-mb": 100, "estimate-ms": 20000}
    platform.work[FIRST] = platform.work[SECOND] = 20000
    if not await p2.submit(platform, "/q/", FIRST, {"spec": "s", "steps": [step]}):
        raise RuntimeError("the first job wasn't accepted")
    until = p2.now() + 10
    while len(platform.starts) < 4 and p2.now() < until:
        await asyncio.sleep(0.01)
    if len(platform.starts) < 4:
        raise RuntimeError("the first job didn't start")
    workers = {worker.id for _, worker, _ in platform.starts}
    if len(workers) > 1:
        raise RuntimeError(f"the first job is spread over {workers}")
    if not await p2.submit(platform, "/q/", SECOND, {"spec": "s", "steps": [step]}):
        raise RuntimeError("the second job wasn't accepted")
    await asyncio.sleep(1.0)
    leader = await platform.leader()
    worker = platform.starts[0][1]
    if trouble:
        worker.cut_off(True)
        cut_at = p2.now()
        await asyncio.sleep(0.3)
    caller = next(entry for entry in platform.entries if entry is not leader)
    status, _ = await caller.call("DELETE", "/q/" + FIRST)
    if status != 200:
        raise RuntimeError("the first job wasn't cancelled")
    if trouble:
        await asyncio.sleep(0.3)
        leader.signal(signal.SIGKILL)
        await leader.process.wait()
        await asyncio.sleep(0.5)
        await leader.start()
        await asyncio.sleep(max(0.0, cut_at + CUT_S - p2.now()))
        worker.cut_off(False)
    await asyncio.sleep(6.0)
    if not any(run.task.startswith(SECOND) for _, _, run in platform.starts):
        raise RuntimeError("the second job didn't start")
    most = MAX_CPU * (1 + OVERRUN) + step["cpu"]
    if platform.most_cpu > most:
        return [f"QUOTA: the tenant had {platform.most_cpu} at work after a start, its max-count "
                f"is {MAX_CPU}, with the overrun and one subtask more {most:.0f}"]
    return []


p2.main(case, FOLDER)
