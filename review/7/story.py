"""No machine is rented for a sound job that failed on a faulty one."""

import asyncio
import os
from pathlib import Path

from cloud import Hull
from rig import Rig, job
from script import CannotRun, play, wait_for

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LEGS = 8
RUN_S = 5.0
WAIT_S = 94.0


def rig(record: Path) -> Rig:
    """Returns a deployment of machines with 32 CPUs, of which the cloud has two at first."""
    teams = {f"desk-{n}": (8.0, 64.0) for n in range(3)}
    made = Rig(
        record,
        hulls=[Hull("laurentide", 32.0, 128.0, ["a"])],
        zones=("a",),
        teams=teams,
        report_s=3.0,
        lease_s=18.0,
        cancel_s=48.0,
        lag_s=8.0,
    )
    made.cloud.room = 2
    return made


async def story(rig: Rig) -> None:
    """An array fails on a machine that turned faulty; then the cloud takes that machine back."""
    replica = job(1, "desk-1", shape="service", rank="prod", guess_s=0.0)
    short = job(2, "desk-0", vcpus=4.0, lendable=True)
    array = job(3, "desk-0", LEGS, vcpus=4.0, lendable=True, guess_s=RUN_S)
    rig.cloud.run_s[array["uid"]] = RUN_S
    await rig.submit(replica)
    await wait_for(lambda: f"{replica['uid']}/0" in rig.rules.on, 30.0, "the replica runs")
    await rig.submit(short)
    await wait_for(lambda: f"{short['uid']}/0" in rig.rules.done, 30.0, "the short job is done")
    cheap = [w for w in rig.cloud.workers.values() if w.lendable]
    if len(cheap) != 1:
        raise CannotRun(f"{len(cheap)} spot machines")
    if TROUBLE:
        rig.note(f"{cheap[0].name} fails every task from now on")
        cheap[0].faulty = True
    starts = rig.rules.starts
    await rig.submit(array)
    await wait_for(lambda: rig.rules.starts >= starts + LEGS, 20.0, "the array's tasks start")
    if TROUBLE:
        await asyncio.sleep(1.0)
        await rig.cloud.remove(cheap[0].name)
    rig.cloud.room = 8  # from now on the cloud has enough
    hires = len(rig.cloud.hires)
    rig.check_waiting = True
    waited = 0.0
    while waited < WAIT_S and rig.rules.final.get(array["uid"]) != "done":
        await asyncio.sleep(1.0)
        waited += 1.0
        await rig.poll(array["uid"], 1)
    rig.note(f"rented since the machine went: {len(rig.cloud.hires) - hires}")


play(rig, story, "left_waiting", FOLDER / "record.txt")
