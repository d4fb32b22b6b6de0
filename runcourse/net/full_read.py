"""Reads every key of the state service page by page, and resumes after a failure.

Tens of thousands of keys take many pages. A failed attempt must not lose the pages read so far,
and the state service keeps only recent changes. Therefore the changes are also read between pages,
and a resumed read begins with them.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from ..wire import state_messages

PAGES_PER_FOLLOW = 8  # pages between two reads of the changes made meanwhile
THROTTLED_STATUS = 429
THROTTLE_DELAY_S = 0.1
MAX_THROTTLE_RETRIES = 50  # waits of THROTTLE_DELAY_S after a 429 in one attempt
TOO_OLD_STATUS = 410  # the changes since the revision are no longer kept

PageResult = tuple[int, state_messages.Page | None, bool]
EventsResult = tuple[int, tuple[list[state_messages.Change], int] | None, bool]
Result = tuple[int, tuple[list[state_messages.Change], int] | None, bool]


class KeyReader(Protocol):
    """The requests that a full read makes."""

    async def page(self, root: str, since: str) -> PageResult:
        """Reads a page of the keys under the root, after the key `since`."""

    async def follow(self, root: str, since: int) -> EventsResult:
        """Reads the changes under the root since a revision."""


class FullRead:
    """A read of every key under a root; `run` begins or resumes it."""

    def __init__(self, reader: KeyReader) -> None:
        self._reader = reader
        self._reset()

    def _reset(self) -> None:
        self._changes: list[state_messages.Change] = []
        # The revision up to which changes are known; None before the first page.
        self._revision: int | None = None
        self._last_key = ""
        self._pages_read = 0

    async def run(self, root: str) -> Result:
        """Returns (status, (changes, revision), sent); changes after the revision must be followed.

        After a failure the next call resumes the read; its answer is as recent as that call.
        """
        status, sent = (
            await self._follow_changes(root) if self._revision is not None else (200, True)
        )
        retries = 0
        while status == 200:
            status, page, sent = await self._reader.page(root, self._last_key)
            if status == THROTTLED_STATUS and retries < MAX_THROTTLE_RETRIES:
                retries += 1
                status = 200
                await asyncio.sleep(THROTTLE_DELAY_S)
                continue
            if status != 200 or page is None:
                break
            self._add_page(page)
            if not page.has_next or not page.pairs:
                changes, revision = self._changes, self._revision or 0
                self._reset()
                return 200, (changes, revision), True
            if self._pages_read % PAGES_PER_FOLLOW == 0:
                status, sent = await self._follow_changes(root)
        return status, None, sent

    def _add_page(self, page: state_messages.Page) -> None:
        if self._revision is None:
            self._revision = page.epoch
        self._changes.extend((pair.key, pair.value, pair.stamp) for pair in page.pairs)
        self._pages_read += 1
        if page.pairs:
            self._last_key = page.pairs[-1].key

    async def _follow_changes(self, root: str) -> tuple[int, bool]:
        """Adds the changes made meanwhile; restarts the full read if they are no longer kept."""
        assert self._revision is not None
        status, events, sent = await self._reader.follow(root, self._revision)
        if status == TOO_OLD_STATUS:
            self._reset()
            return 200, sent
        if status == 200 and events is not None:
            changes, self._revision = events
            self._changes.extend(changes)
        return status, sent
