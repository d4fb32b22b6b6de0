"""Reading every key of the state service: failures on the way, and changes meanwhile."""

import asyncio
from collections.abc import Callable
from typing import Any

from runcourse.net.full_read import PAGES_PER_FOLLOW, FullRead
from runcourse.wire.state_messages import Change, Page, Pair


class ScriptedKeys:
    """The state service's keys, with failures by the number of the request."""

    def __init__(self, keys: int, page: int) -> None:
        self.data: dict[str, tuple[int, int]] = {f"rc/{n:04d}": (n, n + 1) for n in range(keys)}
        self.epoch = keys
        self.log: list[Change] = []
        self.forgotten = 0  # changes up to that revision can't be followed any more
        self.page_size = page
        self.requests = 0
        self.pages_read: list[str] = []
        self.fail: dict[int, int] = {}
        self.before: dict[int, Callable[[], None]] = {}

    def write(self, key: str, value: int | None) -> None:
        self.epoch += 1
        if value is None:
            del self.data[key]
        else:
            self.data[key] = (value, self.epoch)
        self.log.append((key, value, self.epoch))

    def _begin(self) -> int:
        self.requests += 1
        self.before.pop(self.requests, lambda: None)()
        return self.fail.pop(self.requests, 200)

    async def page(self, root: str, since: str) -> Any:
        status = self._begin()
        if status != 200:
            return status, None, True
        self.pages_read.append(since)
        found = sorted(k for k in self.data if k > since)
        pairs = [Pair(k, *self.data[k]) for k in found[: self.page_size]]
        return 200, Page(pairs, self.epoch, len(found) > self.page_size), True

    async def follow(self, root: str, since: int) -> Any:
        status = self._begin()
        if status == 200 and since < self.forgotten:
            status = 410
        if status != 200:
            return status, None, True
        return 200, ([c for c in self.log if c[2] > since], self.epoch), True

    def applied(self, changes: list[Change]) -> dict[str, int]:
        """The values that a store makes of the changes: by version, as it does."""
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
    full = FullRead(keys)
    for number in range(attempts):
        status, body, _ = asyncio.run(full.run("rc/"))
        if status == 200:
            assert body is not None and number == attempts - 1, "not one attempt too many"
            changes, epoch = body
            assert epoch >= keys.forgotten, "what changed since can still be followed"
            keys.log = [c for c in keys.log if c[2] > epoch]
            return keys.applied([*changes, *keys.log])
    raise AssertionError("not read")


def test_a_full_read_goes_on_where_it_failed_with_what_changed_meanwhile() -> None:
    keys = ScriptedKeys(keys=95, page=10)
    keys.fail = {5: 503, 9: 0}
    keys.before = {6: lambda: (keys.write("rc/0001", None), keys.write("rc/0094", 7))}  # type: ignore[assignment, dict-item, return-value]
    values = read_until_done(keys, 3)
    assert values == {k: v for k, (v, _) in keys.data.items()}
    assert len(keys.pages_read) == 10 == len(set(keys.pages_read)), "no page twice"


def test_a_resumed_read_is_as_recent_as_the_call_that_resumed_it() -> None:
    """Its answer serves who asked before the call: what was read earlier is brought up to date."""
    keys = ScriptedKeys(keys=10 * (PAGES_PER_FOLLOW - 1), page=10)  # too few to follow on the way
    keys.fail = {5: 503}
    full = FullRead(keys)
    assert asyncio.run(full.run("rc/"))[0] == 503
    keys.write("rc/0001", None)
    keys.write("rc/0002", 7)
    status, body, _ = asyncio.run(full.run("rc/"))
    assert status == 200 and body is not None
    assert keys.applied(body[0]) == {k: v for k, (v, _) in keys.data.items()}


def test_a_full_read_that_changes_outran_begins_anew() -> None:
    """More changed than the state service remembers, between two pages."""
    keys = ScriptedKeys(keys=10 * (PAGES_PER_FOLLOW + 3), page=10)

    def outrun() -> None:
        for n in range(50):
            keys.write(f"rc/{n:04d}", None if n % 2 else 1000 + n)
        keys.forgotten = keys.epoch

    keys.before = {PAGES_PER_FOLLOW + 1: outrun}
    values = read_until_done(keys, 1)
    assert values == {k: v for k, (v, _) in keys.data.items()}


def test_a_full_read_waits_for_its_turn_and_does_not_begin_anew() -> None:
    keys = ScriptedKeys(keys=50, page=10)
    keys.fail = {2: 429, 3: 429}
    assert len(read_until_done(keys, 1)) == 50
    assert len(keys.pages_read) == 5
