"""Runs a case within its time, and turns its result into an exit code."""

from __future__ import annotations

import asyncio
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from .site import Site

MAX_S = 119.0
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
Story = Callable[[Site, bool], Awaitable[int]]


def run(make: Callable[[], Site], story: Story, record: Path, trouble: bool) -> None:
    """Plays the story on a new site, writes the record and exits."""
    code = COULD_NOT_RUN
    try:
        code = asyncio.run(_play(make, story, record, trouble))
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
    word = {HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}[code]
    print(f"TROUBLE={int(trouble)}: the rule {word}", flush=True)
    sys.exit(code)


async def _play(make: Callable[[], Site], story: Story, record: Path, trouble: bool) -> int:
    # Servers' tasks are cancelled at the end; asyncio reports that as errors.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    task = asyncio.current_task()
    if task is not None:  # an early end by a signal ends the controllers as well
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    site = make()
    try:
        async with asyncio.timeout(MAX_S):
            await site.start()
            code = await story(site, trouble)
    except Exception:
        site.cloud.note("could-not-run", why=traceback.format_exc())
        code = COULD_NOT_RUN
    finally:
        site.stop()
        site.write_record(record)
    return code
