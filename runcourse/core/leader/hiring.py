"""Hiring of machines for waiting tasks: choice of offerings, batched requests, and refusals.

An offering is a machine type in one zone, as a spot or as an on-demand machine.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import NamedTuple

from ..context import Context
from ..ids import START, Instant, MachineId, ShareNo, later
from ..machines import Fleet
from ..placement import count_fitting
from ..store import Store
from ..stored_values import LEADER
from ..types import MachineType, Outcome, Rent
from .adoption import Adoption, FoundMachine
from .boot_times import BootTimes
from .demand import COUNT_ROUNDING, Demand, Offering, accepts
from .leadership import Leadership
from .pool import Pool

MAX_HIRE = 50  # machines in one request, by the cloud's protocol
MIN_REFUSAL_PAUSE_S = 4.0  # pause in requests for an offering after the cloud first refuses it
MAX_REFUSAL_PAUSE_S = 60.0  # bound of that pause, however often the cloud refuses the offering
REFUSAL_PAUSE_GROWTH = 2  # factor by which the pause grows with each further refusal
RETRY_HIRE_S = 1.0  # pause in requests for an offering after one throttled or of unknown outcome
MIN_OPEN_HIRES = 2  # requests without an answer that are allowed under any rate limit
OPEN_HIRES_PER_RPS = 2  # unanswered requests allowed per request/s of the cloud's rate limit
# Fraction of an on-demand machine's boot time for which spot-capable tasks wait for a spot machine
# before it is hired for them.
SPOT_WAIT_BOOT_FRACTION = 0.5


class HireOption(NamedTuple):
    """An offering (type, zone, spot or on-demand) that may be hired for a task."""

    price: float  # per task, with as many tasks of the demand on a machine as fit
    type: MachineType
    zone: str
    spot: bool


class _HireGroup(NamedTuple):
    """Machines of one type, all spot or all on-demand, that a share needs in any of the zones."""

    share: ShareNo
    type: str
    spot: bool
    zones: tuple[str, ...]


def _interleave(shares: list[ShareNo]) -> list[ShareNo]:
    """Reorders the list so that each prefix holds the shares in about the ratio of the whole."""
    number = Counter(shares)
    seen: Counter[ShareNo] = Counter()
    ranked = []
    for share in shares:
        seen[share] += 1
        ranked.append((seen[share] / number[share], share))
    return [share for _, share in sorted(ranked)]


class Hiring:
    """The leader's requests to the cloud for machines."""

    def __init__(
        self,
        context: Context,
        store: Store,
        leadership: Leadership,
        fleet: Fleet,
        adoption: Adoption,
        boot_times: BootTimes,
        pool: Pool,
    ) -> None:
        self.context = context
        self.store = store
        self.leadership = leadership
        self.fleet = fleet
        self.adoption = adoption
        self.boot_times = boot_times
        self.pool = pool
        # By offering: length in seconds and end of the last pause in requests for it.
        self.refused: dict[Offering, tuple[float, Instant]] = {}
        self._request_count = 0
        self._open_requests: dict[str, tuple[Rent, list[ShareNo]]] = {}

    def open_hires(self) -> list[tuple[ShareNo, Offering]]:
        """Returns the share and offering of each machine that is being hired."""
        return [
            (share, (rent.type, rent.zone, rent.spot))
            for rent, shares in self._open_requests.values()
            for share in shares
        ]

    def note_refusal(self, offering: Offering, min_pause_s: float = MIN_REFUSAL_PAUSE_S) -> None:
        """Pauses requests for an offering, longer after each further refusal."""
        pause = min(
            MAX_REFUSAL_PAUSE_S,
            max(
                min_pause_s,
                self.refused.get(offering, (0.0, self.context.now))[0] * REFUSAL_PAUSE_GROWTH,
            ),
        )
        self.refused[offering] = (pause, Instant(self.context.now + pause))

    def _options(self, demand: Demand) -> list[HireOption]:
        """Returns the offerings that may be hired for the demand now, with the price per task."""
        now = self.context.now
        options: list[HireOption] = []
        for type_ in self.fleet.types.values():
            tasks = count_fitting(demand.size, type_.size)
            if not tasks:
                continue
            for zone in type_.zones or self.context.platform.settings.zones:
                for spot in (False, True):
                    if not accepts(demand, type_.name, zone, spot):
                        continue
                    # An on-demand machine is hired for spot-capable tasks only if the oldest has
                    # waited for a part of the machine's boot time.
                    if (
                        demand.spot
                        and not spot
                        and demand.age < SPOT_WAIT_BOOT_FRACTION * type_.boot_s
                    ):
                        continue
                    if self.refused.get((type_.name, zone, spot), (0.0, now))[1] > now:
                        continue
                    price = type_.spot_price if spot else type_.price
                    options.append(HireOption(price / min(tasks, demand.count), type_, zone, spot))
        return options

    def hire_for(self, unmet: dict[ShareNo, list[Demand]]) -> None:
        """Hires machines for waiting tasks that no expected or transferred machine has room for.

        Demands are combined into few requests, because the cloud limits their rate.
        """
        hires = self._by_offering(self._wanted(unmet))
        max_open = max(
            MIN_OPEN_HIRES, round(OPEN_HIRES_PER_RPS * self.context.platform.settings.cloud.rps)
        )
        for offering, shares in sorted(hires.items(), key=lambda h: -len(h[1])):
            # Interleaved, so that each share gets its part if the cloud provides fewer machines.
            shares = _interleave(shares)
            for start in range(0, len(shares), MAX_HIRE):
                if len(self._open_requests) >= max_open:
                    return
                self._hire(offering, shares[start : start + MAX_HIRE])

    def _wanted(self, unmet: dict[ShareNo, list[Demand]]) -> dict[_HireGroup, float]:
        """Returns how many machines to hire, by share, type, spot or not, and acceptable zones."""
        wanted: dict[_HireGroup, float] = {}
        for share, demands in unmet.items():
            for demand in demands:
                options = self._options(demand) if demand.count > 0 else []
                options = [
                    o
                    for o in options
                    if not self.pool.must_wait(share, o.type.name, o.zone, o.spot)
                ]
                if demand.block and options:
                    options = self._restrict_to_zone(share, demand, options)
                if not options:
                    continue
                _, type_, _, spot = min(options, key=lambda o: (o.price, o.type.name, o.spot))
                zones = tuple(sorted(o.zone for o in options if o.type is type_ and o.spot == spot))
                group = _HireGroup(share, type_.name, spot, zones)
                tasks_per_machine = count_fitting(demand.size, type_.size)
                wanted[group] = wanted.get(group, 0.0) + demand.count / tasks_per_machine
        return wanted

    def _by_offering(self, wanted: dict[_HireGroup, float]) -> dict[Offering, list[ShareNo]]:
        """Returns the offerings to hire; each maps to a list with one share for each machine."""
        counts = self.fleet.groups.by_zone()
        hires: dict[Offering, list[ShareNo]] = {}
        for (share, name, spot, zones), machines in sorted(wanted.items()):
            for _ in range(math.ceil(machines - COUNT_ROUNDING)):
                # The share's machines are balanced over zones, so that replicas can be spread.
                zone = min(zones, key=lambda z: (counts[share, z, spot], z))
                counts[share, zone, spot] += 1
                hires.setdefault((name, zone, spot), []).append(share)
        return hires

    def _restrict_to_zone(
        self, share: ShareNo, demand: Demand, options: list[HireOption]
    ) -> list[HireOption]:
        """Restricts the demand and the options of a gang that must run in one zone to one zone.

        It is the zone where the fewest tasks of the gang lack a machine, and among equal ones that
        where the share has the fewest machines.
        """
        counts: Counter[str] = Counter()
        for group, number in self.fleet.groups.counts().items():
            if group.share == share:
                counts[group.zone] += number
        zone = min(
            {o.zone for o in options},
            key=lambda z: (demand.missing_by_zone.get(z, demand.hire), counts[z], z),
        )
        demand.count = demand.missing_by_zone.get(zone, demand.hire)
        return [o for o in options if o.zone == zone]

    def _hire(self, offering: Offering, shares: list[ShareNo]) -> None:
        self._request_count += 1
        # The stamp of the leader key makes the name unique among all leaders, past and future.
        name = f"r-{self.store.stamp(LEADER)}-{self._request_count}"
        rent = Rent(lambda outcome: self._hired(name, outcome), name, *offering, len(shares))
        self._open_requests[name] = (rent, shares)
        self.context.emit(rent)

    def _hired(self, name: str, outcome: Outcome) -> None:
        rent, shares = self._open_requests.pop(name)
        offering = (rent.type, rent.zone, rent.spot)
        if outcome.status == 200:
            ids: tuple[MachineId, ...] = outcome.body
            self.context.log(
                "info",
                f"hired {len(ids)} of {rent.number} {rent.type} in {rent.zone}"
                f"{' (spot)' if rent.spot else ''}",
            )
            if len(ids) < rent.number:
                self.note_refusal(offering)
            else:
                self.refused.pop(offering, None)
            if self.leadership.leading:
                self.boot_times.track(ids, Instant(outcome.began))
                self.adoption.adopt(
                    [
                        FoundMachine(id, rent.type, rent.zone, rent.spot, share)
                        for id, share in zip(ids, shares, strict=False)
                    ]
                )
        elif outcome.status == 503:
            self.note_refusal(offering)
        else:
            # The request was throttled, or its outcome is unknown: machines that were hired
            # nevertheless appear in the cloud's list. The length of the pause doesn't grow.
            self.refused[offering] = (
                self.refused.get(offering, (0.0, START))[0],
                later(self.context.now, RETRY_HIRE_S),
            )
