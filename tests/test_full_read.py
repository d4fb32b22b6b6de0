"""Full reads of the state service: failed requests, and changes made during the read."""

import asyncio
from collections.abc import Callable
from typing import Any

from runcourse.net.full_read import PAGES_PER_FOLLOW, FullRead
from runcourse.wire.state_messages import Change, Page, Pair


class ScriptedKeys:
    """Simulated keys of the state service; requests fail with scripted statuses.

    `failures` and `actions` map the number of a request to its status, and to what happens just
    before it. Changes up to `compacted_revision` can no longer be followed.
    """

    def __init__(self, keys: int, page_size: int) -> None:
        self.data: dict[str, tuple[int, int]] = {f"rc/{n:04d}": (n, n + 1) for n in range(keys)}
        self.revision = keys
        self.log: list[Change] = []
        self.compacted_revision = 0
        self.page_size = page_size
        self.request_count = 0
        self.pages_read: list[str] = []
        self.failures: dict[int, int] = {}
        self.actions: dict[int, Callable[[], None]] = {}

    def write(self, key: str, value: int | None) -> None:
        self.revision += 1
        if value is None:
            del self.data[key]
        else:
            self.data[key] = (value, self.revision)
        self.log.append((key, value, self.revision))

    def _begin(self) -> int:
        self.request_count += 1
        self.actions.pop(self.request_count, lambda: None)()
        return self.failures.pop(self.request_count, 200)

    async def page(self, root: str, since: str) -> Any:
        status = self._begin()
        if status != 200:
            return status, None, True
        self.pages_read.append(since)
        found = sorted(k for k in self.data if k > since)
        pairs = [Pair(k, *self.data[k]) for k in found[: self.page_size]]
        return 200, Page(pairs, self.revision, len(found) > self.page_size), True

    async def follow(self, root: str, since: int) -> Any:
        status = self._begin()
        if status == 200 and since < self.compacted_revision:
            status = 410
        if status != 200:
            return status, None, True
        return 200, ([c for c in self.log if c[2] > since], self.revision), True

    def values_after(self, changes: list[Change]) -> dict[str, int]:
        """Returns the values after the changes; like the store, ignores those with older stamps."""
        stamps: dict[str, int] = {}
        values: dict[str, int] = {}
        for key, value, stamp in changes:
            if stamp > stamps.get(key, 0):
                stamps[key] = stamp
                if value is None:
                    values.pop(key, None)
                else:
                    values[key] = value
        return values


def read_until_done(keys: ScriptedKeys, attempts: int) -> dict[str, int]:
    """Returns the values read; checks that the read succeeds at exactly the last attempt."""
    full = FullRead(keys)
    for number in range(attempts):
        status, body, _ = asyncio.run(full.run("rc/"))
        if status == 200:
            assert body is not None and number == attempts - 1, (
                "the read needs exactly this many attempts"
            )
            changes, revision = body
            assert revision >= keys.compacted_revision, "later changes can still be followed"
            keys.log = [c for c in keys.log if c[2] > revision]
            return keys.values_after([*changes, *keys.log])
    raise AssertionError("no attempt succeeded")


def test_failed_full_read_resumes_and_includes_changes_made_meanwhile() -> None:
    keys = ScriptedKeys(keys=95, page_size=10)
    keys.failures = {5: 503, 9: 0}
    keys.actions = {6: lambda: (keys.write("rc/0001", None), keys.write("rc/0094", 7))}  # type: ignore[assignment, dict-item, return-value]
    values = read_until_done(keys, 3)
    assert values == {k: v for k, (v, _) in keys.data.items()}
    assert len(keys.pages_read) == 10 == len(set(keys.pages_read)), "each page is read once"


def test_resumed_full_read_is_as_recent_as_the_call_that_resumed_it() -> None:
    """A resumed read answers requests that were made before the resuming call. Guards against
    outdated values in its answer: pages read by the earlier call must be brought up to date."""
    # There are too few pages for a read of the changes between two of them.
    keys = ScriptedKeys(keys=10 * (PAGES_PER_FOLLOW - 1), page_size=10)
    keys.failures = {5: 503}
    full = FullRead(keys)
    assert asyncio.run(full.run("rc/"))[0] == 503
    keys.write("rc/0001", None)
    keys.write("rc/0002", 7)
    status, body, _ = asyncio.run(full.run("rc/"))
    assert status == 200 and body is not None
    assert keys.values_after(body[0]) == {k: v for k, (v, _) in keys.data.items()}


def test_full_read_restarts_if_the_changes_are_no_longer_kept() -> None:
    """Between two pages, more changes are made than the state service keeps; the pages read so
    far can't be brought up to date and must be read again."""
    keys = ScriptedKeys(keys=10 * (PAGES_PER_FOLLOW + 3), page_size=10)

    def exceed_kept_changes() -> None:
        for n in range(50):
            keys.write(f"rc/{n:04d}", None if n % 2 else 1000 + n)
        keys.compacted_revision = keys.revision

    keys.actions = {PAGES_PER_FOLLOW + 1: exceed_kept_changes}
    values = read_until_done(keys, 1)
    assert values == {k: v for k, (v, _) in keys.data.items()}


def test_throttled_full_read_waits_and_does_not_restart() -> None:
    keys = ScriptedKeys(keys=50, page_size=10)
    keys.failures = {2: 429, 3: 429}
    assert len(read_until_done(keys, 1)) == 50
    assert len(keys.pages_read) == 5
