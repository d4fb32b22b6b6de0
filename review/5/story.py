"""Two gangs of different shares wait for ever, and the whole fleet is idle beside them."""

import asyncio
import os
import time
from pathlib import Path

from cloud import Hull
from rig import Rig, job
from script import play, wait_for

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUN_S = 5.0
WAIT_S = 98.0


def rig(record: Path) -> Rig:
    """Returns a deployment whose cloud has two machines to give."""
    made = Rig(record, hulls=[Hull("small", 4.0, 16.0, ["a"])], zones=("a",))
    made.cloud.room = 2
    return made


async def story(rig: Rig) -> None:
    """Two teams submit a gang each, which needs both machines: at once, or one after the other.

    When the first gang comes, each team's share has one machine, which a task keeps for a while.
    """
    gangs = [job(n + 1, f"desk-{n}", 2, shape="ensemble", vcpus=4.0) for n in range(2)]
    tasks = [[f"{gang['uid']}/{n}" for n in range(2)] for gang in gangs]
    for gang in gangs:
        rig.cloud.run_s[gang["uid"]] = RUN_S
    before = [job(n + 3, f"desk-{n}", vcpus=4.0) for n in range(2)]
    for each in before:
        rig.cloud.run_s[each["uid"]] = RUN_S
        await rig.submit(each)
    await wait_for(lambda: len(rig.rules.on) == 2, 30.0, "each team has a task on a machine")
    starts = rig.rules.starts
    await rig.submit(gangs[0])
    if not TROUBLE:
        await wait_for(lambda: rig.rules.done >= set(tasks[0]), 60.0, "the first gang is done")
    await rig.submit(gangs[1])
    end = time.monotonic() + WAIT_S
    while time.monotonic() < end and not rig.rules.done >= {*tasks[0], *tasks[1]}:
        await asyncio.sleep(1.0)
        for gang in gangs:
            await rig.poll(gang["uid"], 2)
    up = {w.name: len(w.legs) for w in rig.cloud.workers.values() if w.proxy is not None}
    rig.note(f"tasks by machine: {up}; of the gangs started: {rig.rules.starts - starts}")
    left = [
        gang["uid"] for gang, mine in zip(gangs, tasks, strict=True) if set(mine) - rig.rules.done
    ]
    if left and rig.rules.starts == starts and len(up) == 2 and not any(up.values()):
        rig.rules.breaks(
            "left_waiting",
            f"{left} wait for {WAIT_S:g} s; each fits the two machines, which are idle: {up}",
        )
    elif left:
        raise TimeoutError(f"{left} are not done, but the machines are not idle: {up}")


play(rig, story, "left_waiting", FOLDER / "record.txt")
