"""Messages of the state service; their field names on the wire appear only in this module."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from msgspec import Struct

from ..core.types import Condition, Write
from .codec import Natural, convert, decode_map


class Pair(Struct, frozen=True):
    """A key with its value and its stamp, the version of the key."""

    key: str
    value: Any
    stamp: Natural


class Page(Struct, frozen=True):
    """A page of keys with the revision at which it was read (`epoch`)."""

    pairs: list[Pair]
    epoch: Natural
    has_next: bool = False


class _ChangeEntry(Struct, frozen=True):
    stamp: Natural
    write: str | None = None
    drop: str | None = None
    value: Any = None


class _ChangeList(Struct, frozen=True):
    epoch: Natural
    events: list[_ChangeEntry]


class _CommitResult(Struct, frozen=True):
    epoch: Natural
    failed: list[str] | None = None


class _Lease(Struct, frozen=True):
    grant: Natural


Change = tuple[str, Any, int]  # (key, value or None for a deleted key, stamp)


def decode_page(body: bytes) -> Page:
    """Returns a page of keys; raises `Malformed`."""
    return convert(decode_map(body), Page)


def decode_events(body: bytes) -> tuple[list[Change], int]:
    """Returns the changes in a body and the revision that they lead to; raises `Malformed`."""
    answer = convert(decode_map(body), _ChangeList)
    changes: list[Change] = []
    for event in answer.events:
        if event.write is not None:
            changes.append((event.write, event.value, event.stamp))
        elif event.drop is not None:
            changes.append((event.drop, None, event.stamp))
    return changes, answer.epoch


def decode_commit(body: bytes) -> int:
    """Returns the revision of a committed transaction; raises `Malformed`."""
    return convert(decode_map(body), _CommitResult).epoch


def decode_lease(body: bytes) -> int:
    """Returns the id of a new lease; raises `Malformed`."""
    return convert(decode_map(body), _Lease).grant


def transaction(when: Iterable[Condition], then: Iterable[Write]) -> dict[str, Any]:
    """Returns the body of a transaction: the writes `then` are made if all conditions `when` hold.

    A write is (key, value, lease or None); a value of None deletes the key.
    """
    ops: list[dict[str, Any]] = []
    for key, value, lease in then:
        if value is None:
            ops.append({"drop": key})
        elif lease is None:
            ops.append({"write": key, "value": value})
        else:
            ops.append({"write": key, "value": value, "grant": lease})
    return {"when": [{"key": checked, "stamp": stamp} for checked, stamp in when], "then": ops}
