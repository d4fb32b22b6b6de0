"""A cancelled task that saves goes on after its controller ended."""

import asyncio
import os
import signal
import time
from pathlib import Path

from cloud import Hull
from rig import Rig, job
from script import CannotRun, play, wait_for

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SAVE_S = 50.0  # `mark_cost_s` of the job
CANCEL_S = 30.0
RESTART_S = 8.0  # from a controller's end to its return


def rig(record: Path) -> Rig:
    """Returns a deployment whose cloud has one machine to give."""
    made = Rig(record, hulls=[Hull("small", 4.0, 16.0, ["a"])], cancel_s=CANCEL_S)
    made.cloud.room = 1
    return made


async def story(rig: Rig) -> None:
    """A task is stopped for a more urgent job, which its user then calls off.

    While the task saves, the controller that owns its share ends. Its job is cancelled after that.
    """
    first = job(1, "desk-0", vcpus=4.0, guess_s=300.0, mark_every_s=5.0, mark_cost_s=SAVE_S)
    urgent = job(2, "desk-0", vcpus=4.0, rank="urgent")
    rig.cloud.run_s[first["uid"]] = 300.0
    await rig.submit(first)
    task = f"{first['uid']}/0"
    await wait_for(lambda: task in rig.rules.on, 30.0, "the first job starts")
    await asyncio.sleep(6.0)
    await rig.submit(urgent)

    def saving() -> bool:
        legs = [leg for w in rig.cloud.workers.values() for leg in w.legs.values()]
        return any(leg.task == task and leg.stage == "flushing" for leg in legs)

    await wait_for(saving, 15.0, "the first job's task is told to stop and saves")
    saves_since = time.monotonic()
    rig.note(f"{task} saves")
    if await rig.cancel(urgent["uid"], 1, 10.0) != "cancelled":
        raise CannotRun("the urgent job's cancellation was not answered in time")
    owner = rig.members.index(rig.shares()["0"])
    if TROUBLE:
        rig.signal(owner, signal.SIGKILL)

        async def come_back() -> None:
            await asyncio.sleep(RESTART_S)
            rig.launch(owner)

        rig.spawn(come_back())
    await asyncio.sleep(6.0)
    rig.note(f"shares are owned by {rig.shares()}")
    if await rig.cancel(first["uid"], (owner + 1) % 3, 10.0) != "cancelled":
        raise CannotRun("the cancellation was not answered in time")
    if time.monotonic() - saves_since > SAVE_S - CANCEL_S - 2.0:
        raise CannotRun("too late for the task to be saving when its time is over")
    await asyncio.sleep(CANCEL_S + 2.0)


play(rig, story, "ran_cancelled", FOLDER / "record.txt")
