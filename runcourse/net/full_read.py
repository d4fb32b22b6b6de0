"""Reads every key of the state service, page by page, and goes on after a failure.

Tens of thousands of keys are many pages. An attempt that fails on the way must not cost what was
read, and what changes meanwhile must not fall out of the state service's memory of changes: so the
changes are followed between pages, and a resumed read begins with them.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from ..wire import state_messages

PAGES_PER_FOLLOW = 8  # pages between two looks at what changed meanwhile
THROTTLED_S = 0.1  # after a 429
MOST_THROTTLED = 50  # waits of that kind in one attempt
TOO_OLD = 410

PageResult = tuple[int, state_messages.Page | None, bool]
EventsResult = tuple[int, tuple[list[state_messages.Change], int] | None, bool]
Result = tuple[int, tuple[list[state_messages.Change], int] | None, bool]


class KeyReader(Protocol):
    """The requests that a full read is made of."""

    async def page(self, root: str, since: str) -> PageResult:
        """A page of the keys under the root, after `since`."""

    async def follow(self, root: str, since: int) -> EventsResult:
        """Changes under the root since a revision."""


class FullRead:
    """A read of every key under a root; `run` begins it or goes on with it."""

    def __init__(self, reader: KeyReader) -> None:
        self._reader = reader
        self._begin()

    def _begin(self) -> None:
        self._changes: list[state_messages.Change] = []
        self._epoch: int | None = None  # up to which changes are known
        self._since = ""  # the last key that was read
        self._pages = 0

    async def run(self, root: str) -> Result:
        """Every key, and the revision from which on changes must be followed. After a failure the
        next call goes on; its answer is as recent as that call."""
        status, sent = await self._follow(root) if self._epoch is not None else (200, True)
        throttled = 0
        while status == 200:
            status, page, sent = await self._reader.page(root, self._since)
            if status == 429 and throttled < MOST_THROTTLED:
                throttled += 1
                status = 200
                await asyncio.sleep(THROTTLED_S)
                continue
            if status != 200 or page is None:
                break
            self._take(page)
            if not page.has_next or not page.pairs:
                changes, epoch = self._changes, self._epoch or 0
                self._begin()
                return 200, (changes, epoch), True
            if self._pages % PAGES_PER_FOLLOW == 0:
                status, sent = await self._follow(root)
        return status, None, sent

    def _take(self, page: state_messages.Page) -> None:
        if self._epoch is None:
            self._epoch = page.epoch
        self._changes.extend((p.key, p.value, p.stamp) for p in page.pairs)
        self._pages += 1
        if page.pairs:
            self._since = page.pairs[-1].key

    async def _follow(self, root: str) -> tuple[int, bool]:
        """Bring what was read up to date; from the beginning if it is too old for that."""
        assert self._epoch is not None
        status, events, sent = await self._reader.follow(root, self._epoch)
        if status == TOO_OLD:
            self._begin()
            return 200, sent
        if status == 200 and events is not None:
            changes, self._epoch = events
            self._changes.extend(changes)
        return status, sent
