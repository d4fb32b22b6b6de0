"""PROTOCOL's messages of the state service, and nothing else knows their spellings."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from msgspec import Struct

from ..core.types import Condition, Write
from .codec import Natural, convert, decode_map


class Pair(Struct, frozen=True):
    """A key with its value and version."""

    key: str
    value: Any
    stamp: Natural


class Page(Struct, frozen=True):
    """A page of keys."""

    pairs: list[Pair]
    epoch: Natural
    has_next: bool = False


class _Event(Struct, frozen=True):
    stamp: Natural
    write: str | None = None
    drop: str | None = None
    value: Any = None


class _Events(Struct, frozen=True):
    epoch: Natural
    events: list[_Event]


class _Epoch(Struct, frozen=True):
    epoch: Natural
    failed: list[str] | None = None


class _Grant(Struct, frozen=True):
    grant: Natural


Change = tuple[str, Any, int]  # key, value or None for a dropped key, stamp


def page(body: bytes) -> Page:
    """A page of keys; raises `Malformed`."""
    return convert(decode_map(body), Page)


def events(body: bytes) -> tuple[list[Change], int]:
    """The changes that a body holds, and their last revision; raises `Malformed`."""
    e = convert(decode_map(body), _Events)
    changes: list[Change] = []
    for event in e.events:
        if event.write is not None:
            changes.append((event.write, event.value, event.stamp))
        elif event.drop is not None:
            changes.append((event.drop, None, event.stamp))
    return changes, e.epoch


def committed(body: bytes) -> int:
    """The revision of a transaction; raises `Malformed`."""
    return convert(decode_map(body), _Epoch).epoch


def granted(body: bytes) -> int:
    """The id of a new lease; raises `Malformed`."""
    return convert(decode_map(body), _Grant).grant


def transaction(when: Iterable[Condition], then: Iterable[Write]) -> dict[str, Any]:
    """`then`: (key, value, grant); a value of None drops the key."""
    ops: list[dict[str, Any]] = []
    for key, value, grant in then:
        if value is None:
            ops.append({"drop": key})
        elif grant is None:
            ops.append({"write": key, "value": value})
        else:
            ops.append({"write": key, "value": value, "grant": grant})
    return {"when": [{"key": k, "stamp": s} for k, s in when], "then": ops}
