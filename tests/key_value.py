"""Key-value store with revisions, leases and conditions for both simulated state services."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple


class Entry(NamedTuple):
    """A key's value, the revision of its latest change and its lease."""

    value: Any
    stamp: int
    lease: int | None


class Change(NamedTuple):
    """A logged change; a value of None means that the key was deleted."""

    key: str
    value: Any
    stamp: int


class NoSuchLease(Exception):
    """Raised for a write that names an expired lease."""


class KeyValueStore:
    """The contents of a state service; `clock` returns seconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.data: dict[str, Entry] = {}
        self.epoch = 0
        self.log: list[Change] = []
        self.leases: dict[int, tuple[float, float]] = {}  # end and duration, in seconds
        self._lease_numbers = itertools.count(1)

    def grant(self, seconds: float) -> int:
        """Grants a lease and returns its number."""
        number = next(self._lease_numbers)
        self.leases[number] = (self._clock() + seconds, seconds)
        return number

    def extend(self, lease: int) -> bool:
        """Extends the lease by its full duration; returns False if it has expired."""
        if lease not in self.leases:
            return False
        seconds = self.leases[lease][1]
        self.leases[lease] = (self._clock() + seconds, seconds)
        return True

    def extend_all(self) -> None:
        """Extends every lease by its full duration, as after an outage."""
        for lease in self.leases:
            self.extend(lease)

    def expire(self) -> None:
        """Removes expired leases and the keys attached to them."""
        now = self._clock()
        for lease in [number for number, (end, _) in self.leases.items() if now >= end]:
            del self.leases[lease]
            attached = [key for key, entry in self.data.items() if entry[2] == lease]
            if attached:
                self.epoch += 1
            for key in attached:
                self._write(key, None, None)

    def failed(self, conditions: Sequence[tuple[str, int]]) -> list[str]:
        """Returns the keys whose stamp differs; stamp 0 requires that the key does not exist."""
        present = {key: entry[1] for key, _ in conditions if (entry := self.data.get(key))}
        return [key for key, stamp in conditions if present.get(key, 0) != stamp]

    def commit(self, writes: Iterable[tuple[str, Any, int | None]]) -> int:
        """Applies writes of key, value and lease under one new revision and returns it.

        Raises NoSuchLease if a write names an expired lease.
        """
        listed = list(writes)
        if any(lease is not None and lease not in self.leases for _, _, lease in listed):
            raise NoSuchLease
        self.epoch += 1
        for key, value, lease in listed:
            self._write(key, value, lease)
        return self.epoch

    def _write(self, key: str, value: Any, lease: int | None) -> None:
        if value is None:
            self.data.pop(key, None)
        else:
            self.data[key] = Entry(value, self.epoch, lease)
        self.log.append(Change(key, value, self.epoch))
