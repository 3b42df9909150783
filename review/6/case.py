"""Two scheduled jobs among 22 whose subtasks crash each worker that starts them."""

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standin-2"))
import platform2 as p2

DEADLY = [f"00000000000000f{number}" for number in range(1, 3)]
DOWN_S = 3.0
FINISH_S = 14.0
ROUTE = {"name": "q", "host": "h", "prefix": "/q/", "service": "p", "attempts": 4,
         "stretch": 2.0, "target-latency-ms": 2000, "public": False, "priority": 0}
TENANT = {"name": "t", "api-keys": ["k"], "weight": 100,
          "max-count": {"cpu": 0, "mem-mb": 0, "gpu": 0}}
SERVICE = {"name": "p", "rejects-overload": True, "standby": False}


def crashes_its_worker(worker, task, number):
    """The subtask takes its worker down before the worker has answered the start."""
    platform = worker.platform
    if task.split(".")[0] not in DEADLY:
        return False
    worker.say(f"told to start {task} run {number}, crashes under it")
    if worker.up:
        worker.crash()
        platform.spawn(start_again(worker))
    return True


async def start_again(worker):
    await asyncio.sleep(DOWN_S)
    await worker.restart()


async def hand_in(platform, job_id, step, **schedule):
    accepted = await p2.submit(platform, "/q/", job_id, {"spec": "s", "steps": [step], **schedule})
    if not accepted:
        raise RuntimeError(f"{job_id} wasn't accepted")


async def case(platform, trouble):
    for _ in range(6):
        await platform.add_worker("p")
    await platform.configure(1, [ROUTE], [TENANT], [SERVICE])
    for number in range(1, 4):
        await platform.start_entry(number)
    await p2.ready(platform)
    if trouble:
        platform.hook = crashes_its_worker
    step = {"count": 1, "cpu": 500, "mem-mb": 100, "estimate-ms": 300}
    due_ms = int(time.time() * 1000) + 20_000
    usual = []
    for number in range(20):
        if number in (0, 10):
            job_id = DEADLY[number // 10]
            platform.work[job_id] = 300
            await hand_in(platform, job_id, step, times=20, **{
                "start-at-ms": int(time.time() * 1000), "interval-ms": 500})
        job_id = f"{0xe000 + number:016x}"
        usual.append(job_id)
        platform.work[job_id] = 300
        await hand_in(platform, job_id, step, times=1, **{
            "start-at-ms": due_ms, "interval-ms": 1000})
        await asyncio.sleep(0.49)
    await asyncio.sleep(max(0.0, due_ms / 1000 - time.time()))
    # The usual jobs are due now.
    await asyncio.sleep(FINISH_S)
    ended = {run.task.split(".")[0] for _, _, run, how in platform.ended_runs if how == "done"}
    waiting = [job_id for job_id in usual if job_id not in ended]
    starts = len(platform.starts)
    for _ in range(6):
        await asyncio.sleep(0.5)
        if any(worker.runs or not worker.up for worker in platform.workers):
            return []
    broken = []
    if waiting and len(platform.starts) == starts:
        _, state = await p2.show(platform, "/q/", waiting[0])
        broken.append(f"LOST: {len(waiting)} of {len(usual)} jobs haven't been started, {FINISH_S:.0f} s after "
                      f"they were due and for 3 s, with all workers up and empty; the "
                      f"first of them is shown as {state!r}")
        leader = platform.store.leader()
        state = "runs on" if platform.entry_named(leader) else "has ended"
        platform.record.add(f"the leader's record names {leader}, whose process {state}")
    return broken


p2.main(case, FOLDER)
