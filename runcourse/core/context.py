"""State that all modules of the core share: settings, the present instant and the outbox."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

from ..config import Operators, Platform, StateLimits
from .ids import START, Instant, Member, ShareNo
from .types import Log

CLOCK_DRIFT = 0.002  # fraction; four times the 0.05 % by which steady clocks differ at most
WORKER_LEASE_MARGIN_S = 0.25  # added to a worker's lease before its tasks count as killed


@dataclass(slots=True)
class Context:
    """Settings, time, randomness and outbox, shared by the modules of one node."""

    platform: Platform
    operators: Operators
    rng: random.Random
    now: Instant = START
    started: Instant = START
    effects: list[Any] = field(default_factory=list)
    members: tuple[Member, ...] = ()
    me: Member = field(init=False)
    limits: StateLimits = field(init=False)

    def __post_init__(self) -> None:
        self.limits = self.platform.settings.state.planned()
        self.me = Member(self.platform.member)
        peers = (Member(p.member) for p in self.platform.peers)
        self.members = tuple(sorted((self.me, *peers)))

    @property
    def majority(self) -> int:
        """Returns the least number of nodes that is more than half of all."""
        return len(self.members) // 2 + 1

    def home(self, share: ShareNo) -> Member:
        """Returns the member that owns the share while all members are up."""
        return self.members[share]

    @property
    def lease_s(self) -> float:
        """Returns the seconds, by this clock, for which a worker may run tasks after an answer."""
        return self.platform.settings.workers.lease_s * (1 + CLOCK_DRIFT) + WORKER_LEASE_MARGIN_S

    def emit(self, effect: Any) -> None:
        """Queues an effect, which is carried out once the present input is handled."""
        self.effects.append(effect)

    def log(self, level: str, text: str) -> None:
        """Queues a log line; `level` is debug, info, warning or error."""
        self.emit(Log(level, text))
