"""The scripted state service: versions, leases, conditions, and a record of changes."""

from __future__ import annotations

import itertools
import json
from typing import TYPE_CHECKING, Any

from runcourse.core import types as t

if TYPE_CHECKING:
    from world import World


class State:
    """The state service: versions, leases, conditions, and a record of changes."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.data: dict[str, tuple[Any, int, int | None]] = {}
        self.epoch = 0
        self.log: list[tuple[str, Any, int]] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.down = False
        self.refusing: set[str] = set()
        self.most: tuple[int, int] | None = None  # bytes of a value, changes in a transaction
        self.too_large: list[str] = []  # keys of changes that were rejected for their size
        self._grants = itertools.count(1)

    def outage(self, on: bool) -> None:
        self.down = on
        if not on:  # every lease has its full time again
            self.leases = {g: (self.world.now + ttl, ttl) for g, (_, ttl) in self.leases.items()}

    def expire(self) -> None:
        if self.down:
            return
        for grant in [g for g, (end, _) in self.leases.items() if self.world.now >= end]:
            del self.leases[grant]
            gone = [k for k, (_, _, g) in self.data.items() if g == grant]
            if gone:
                self.epoch += 1
                for key in gone:
                    del self.data[key]
                    self.log.append((key, None, self.epoch))

    def serve(self, member: str, effect: Any) -> tuple[int, Any]:
        self.expire()
        if self.down or member in self.refusing:
            return 503, None
        match effect:
            case t.ReadAll():
                return 200, ([(k, v, s) for k, (v, s, _) in sorted(self.data.items())], self.epoch)
            case t.Follow():
                return 200, ([c for c in self.log if c[2] > effect.since], self.epoch)
            case t.GrantLease():
                grant = next(self._grants)
                self.leases[grant] = (self.world.now + effect.ttl_ms / 1000, effect.ttl_ms / 1000)
                return 200, grant
            case t.ExtendLease():
                if effect.lease not in self.leases:
                    return 404, None
                ttl = self.leases[effect.lease][1]
                self.leases[effect.lease] = (self.world.now + ttl, ttl)
                return 200, None
            case t.Commit():
                return self._commit(effect)
        raise TypeError(effect)

    def _commit(self, effect: t.Commit) -> tuple[int, Any]:
        if self.most is not None and (
            len(effect.then) > self.most[1]
            or any(len(json.dumps(v)) > self.most[0] for _, v, _ in effect.then if v is not None)
        ):
            self.too_large.append(effect.then[0][0])
            return 400, None
        if any(self.data.get(k, (None, 0, None))[1] != s for k, s in effect.when):
            return 409, None
        if any(g is not None and g not in self.leases for _, _, g in effect.then):
            return 400, None
        self.epoch += 1
        for key, value, grant in effect.then:
            if value is None:
                self.data.pop(key, None)
            else:
                self.data[key] = (value, self.epoch, grant)
            self.log.append((key, value, self.epoch))
        return 200, self.epoch
