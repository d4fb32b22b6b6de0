"""What every case shares: the time limit, the end by a signal, the exit code."""

from __future__ import annotations

import asyncio
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from rig import Rig

LIMIT_S = 115.0
# An uncaught error ends Python with 1; `run.sh` turns these into 0, 1 and 2.
HELD, BROKEN, NOT_RUN = 0, 10, 2


class CannotRun(Exception):
    """Raised if the case did not get to the point that it is about."""


async def wait_for(condition: Callable[[], bool], limit_s: float, what: str) -> None:
    """Waits until the condition holds; raises CannotRun if it does not in time."""
    loop = asyncio.get_running_loop()
    end = loop.time() + limit_s
    while not condition():
        if loop.time() > end:
            raise CannotRun(f"not within {limit_s:g} s: {what}")
        await asyncio.sleep(0.05)


async def _run(rig: Rig, story: Callable[[Rig], Awaitable[None]], rule: str) -> int:
    try:
        async with asyncio.timeout(LIMIT_S):
            await rig.start()
            await rig.ready()
            await story(rig)
    except (CannotRun, TimeoutError) as problem:
        rig.note(f"could not run: {problem!r}")
        print(f"could not run: {problem!r}")
        return NOT_RUN
    except Exception:
        rig.note(traceback.format_exc())
        traceback.print_exc()
        return NOT_RUN
    finally:
        await rig.stop()
    broken = {name for name, _ in rig.rules.broken}
    if broken - {rule}:
        return NOT_RUN
    return BROKEN if broken else HELD


def play(
    rig: Callable[[Path], Rig],
    story: Callable[[Rig], Awaitable[None]],
    rule: str,
    record: Path,
) -> None:
    """Runs a case, which writes its record to that file, and ends with its exit code.

    The case is about one rule; if another one is broken, it counts as not run.
    """

    async def main() -> int:
        made = rig(record)
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        code = await _run(made, story, rule)
        for name, text in made.rules.broken:
            print(f"{name}: {text}")
        return code

    sys.exit(asyncio.run(main()))
