"""Simulated state service, called directly, with outages and limits that a test sets."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

from key_value import KeyValueStore, NoSuchLease

from runcourse.core import types as t

if TYPE_CHECKING:
    from world import World


class State(KeyValueStore):
    """The state service of a `World`."""

    def __init__(self, world: World) -> None:
        super().__init__(lambda: world.now)
        self.down = False
        self.refused_members: set[str] = set()
        self.size_limits: tuple[int, int] | None = None  # bytes per value, writes per transaction
        self.too_large: list[str] = []  # first key of each commit rejected for its size

    def outage(self, on: bool) -> None:
        self.down = on
        if not on:
            self.extend_all()

    def expire(self) -> None:
        if not self.down:
            super().expire()

    def serve(self, member: str, effect: Any) -> tuple[int, Any]:
        self.expire()
        if self.down or member in self.refused_members:
            return 503, None
        match effect:
            case t.ReadAll():
                return 200, ([(k, e[0], e[1]) for k, e in sorted(self.data.items())], self.epoch)
            case t.Follow():
                return 200, ([c for c in self.log if c[2] > effect.since], self.epoch)
            case t.GrantLease():
                return 200, self.grant(effect.ttl_ms / 1000)
            case t.ExtendLease():
                return (200 if self.extend(effect.lease) else 404), None
            case t.Commit():
                return self._commit(effect)
        raise TypeError(effect)

    def _commit(self, effect: t.Commit) -> tuple[int, Any]:
        if self.size_limits is not None and (
            len(effect.then) > self.size_limits[1]
            or any(
                len(json.dumps(v)) > self.size_limits[0] for _, v, _ in effect.then if v is not None
            )
        ):
            self.too_large.append(effect.then[0][0])
            return 400, None
        if self.failed(effect.when):
            return 409, None
        try:
            return 200, self.commit(effect.then)
        except NoSuchLease:
            return 400, None
