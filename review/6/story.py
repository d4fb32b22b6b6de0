"""Work is stopped again and again for jobs that may not start."""

import asyncio
import os
import time
from pathlib import Path

from cloud import Hull
from rig import Rig, job
from script import play, wait_for

FOLDER = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUN_S = 10.0
WAIT_S = 90.0


def rig(record: Path) -> Rig:
    """Returns a deployment with room for one machine; `desk-0` may use half of it."""
    teams = {"desk-0": (2.0, 2.0), "desk-1": (4.0, 8.0), "desk-2": (4.0, 8.0), "desk-3": (2.0, 8.0)}
    made = Rig(record, hulls=[Hull("small", 4.0, 16.0, ["a"])], zones=("a",), teams=teams)
    made.cloud.room = 1
    return made


async def story(rig: Rig) -> None:
    """A team at its limit submits urgent jobs, one or two; then a job of another team comes."""
    replica = job(1, "desk-0", shape="service", rank="prod", guess_s=0.0)
    burst = [job(n, "desk-0", rank="urgent") for n in (2, 3)]
    victim = job(4, "desk-3", guess_s=RUN_S)
    task = f"{victim['uid']}/0"
    rig.cloud.run_s[victim["uid"]] = RUN_S
    await rig.submit(replica)
    await wait_for(lambda: f"{replica['uid']}/0" in rig.rules.on, 30.0, "the replica runs")
    for each in burst if TROUBLE else burst[:1]:
        await rig.submit(each)
    await asyncio.sleep(1.0)
    since = time.monotonic()
    await rig.submit(victim)
    while task not in rig.rules.done and time.monotonic() < since + WAIT_S:
        await asyncio.sleep(1.0)
        await rig.poll(victim["uid"], 1)
    others = [t for t in rig.rules.on if not t.startswith(replica["uid"])]
    rig.note(f"on machines beside the replica: {others}; starts in all: {rig.rules.starts}")
    if task not in rig.rules.done:
        rig.rules.breaks(
            "must_run",
            f"{victim['uid']}, accepted, {RUN_S:g} s long and under its limit, is not done after"
            f" {WAIT_S:g} s; {rig.rules.starts} starts",
        )


play(rig, story, "must_run", FOLDER / "record.txt")
