"""What the scripted and the loopback state service both know: versions, leases, conditions."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple


class Entry(NamedTuple):
    """A key's value, the revision of its latest change and the lease it is attached to."""

    value: Any
    stamp: int
    lease: int | None


class Change(NamedTuple):
    """A change on record; a value of None: the key was dropped."""

    key: str
    value: Any
    stamp: int


class NoSuchLease(Exception):
    """A write names a lease that has ended."""


class KeyValueStore:
    """The contents of a state service, on a clock in seconds."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.data: dict[str, Entry] = {}
        self.epoch = 0
        self.log: list[Change] = []
        self.leases: dict[int, tuple[float, float]] = {}  # until when, and for how long
        self._lease_numbers = itertools.count(1)

    def grant(self, seconds: float) -> int:
        """A new lease's number."""
        number = next(self._lease_numbers)
        self.leases[number] = (self._clock() + seconds, seconds)
        return number

    def extend(self, lease: int) -> bool:
        """Give the lease its full time again; False if it has ended."""
        if lease not in self.leases:
            return False
        seconds = self.leases[lease][1]
        self.leases[lease] = (self._clock() + seconds, seconds)
        return True

    def extend_all(self) -> None:
        """Give every lease its full time again, as after an outage."""
        for lease in self.leases:
            self.extend(lease)

    def expire(self) -> None:
        """End the leases whose time has passed, and what is attached to them."""
        now = self._clock()
        for lease in [number for number, (end, _) in self.leases.items() if now >= end]:
            del self.leases[lease]
            attached = [key for key, entry in self.data.items() if entry[2] == lease]
            if attached:
                self.epoch += 1
            for key in attached:
                self._write(key, None, None)

    def failed(self, conditions: Sequence[tuple[str, int]]) -> list[str]:
        """Keys that don't have the version named; 0: the key does not exist."""
        present = {key: entry[1] for key, _ in conditions if (entry := self.data.get(key))}
        return [key for key, stamp in conditions if present.get(key, 0) != stamp]

    def commit(self, writes: Iterable[tuple[str, Any, int | None]]) -> int:
        """Carry out writes of key, value and lease under one revision; returns it."""
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
