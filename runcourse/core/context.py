"""What every module of the core shares: settings, the present instant and the outbox."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

from ..config import Operators, Platform, StateLimits
from .ids import START, Instant, Member, ShareNo
from .types import Log

CLOCK_DRIFT = 0.002  # steady clocks differ by at most 0.05 % from each other; taken four times over


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
        """How many nodes are more than half of all."""
        return len(self.members) // 2 + 1

    def home(self, share: ShareNo) -> Member:
        """The member that owns the share when all are up."""
        return self.members[share]

    @property
    def lease_s(self) -> float:
        """How long a worker may go on after the last answer it got, seen from here."""
        return self.platform.settings.workers.lease_s * (1 + CLOCK_DRIFT) + 0.25

    def emit(self, effect: Any) -> None:
        """Have an effect carried out once the present input is handled."""
        self.effects.append(effect)

    def log(self, level: str, text: str) -> None:
        """Have a line logged."""
        self.emit(Log(level, text))
