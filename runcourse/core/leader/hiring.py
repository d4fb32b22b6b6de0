"""Hiring of machines for waiting tasks: choice of offerings, batched requests, and refusals."""

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
MIN_REFUSAL_PAUSE_S = 4.0  # after the first refusal of an offering
MAX_REFUSAL_PAUSE_S = 60.0
REFUSAL_PAUSE_GROWTH = 2  # factor on the pause for each further refusal
RETRY_HIRE_S = 1.0  # after a request that was throttled or whose outcome is unknown
MIN_OPEN_HIRES = 2  # requests that may be open at once under any rate limit
OPEN_HIRES_PER_RPS = 2  # requests open at once for each request per second of the rate limit
SPOT_WAIT_BOOT_FRACTION = 0.5  # of a boot time that spot-capable tasks wait for a spot machine


class HireOption(NamedTuple):
    """An offering that may be hired for a task."""

    price: float  # of the capacity that one task takes
    type: MachineType
    zone: str
    spot: bool


class _HireGroup(NamedTuple):
    """Machines of one type and kind wanted by a share, in any of the zones."""

    share: ShareNo
    type: str
    spot: bool
    zones: tuple[str, ...]


def _interleave(shares: list[ShareNo]) -> list[ShareNo]:
    """Reorders the list so that each prefix holds every share in proportion to its number."""
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
        # For each refused offering, the length of its pause and when the pause ends.
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
        """Pauses an offering that has no machines now, longer after each further refusal."""
        pause = min(
            MAX_REFUSAL_PAUSE_S,
            max(
                min_pause_s,
                self.refused.get(offering, (0.0, self.context.now))[0] * REFUSAL_PAUSE_GROWTH,
            ),
        )
        self.refused[offering] = (pause, Instant(self.context.now + pause))

    def _options(self, demand: Demand) -> list[HireOption]:
        """Returns the offerings that may be hired for the demand now."""
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
                    # On-demand machines for spot-capable tasks only after the tasks have waited.
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
        """Hires machines for the unmet demands of all shares.

        Demands are combined into few requests, because the cloud limits their rate.
        """
        hires = self._by_offering(self._wanted(unmet))
        max_open = max(
            MIN_OPEN_HIRES, round(OPEN_HIRES_PER_RPS * self.context.platform.settings.cloud.rps)
        )
        for offering, shares in sorted(hires.items(), key=lambda h: -len(h[1])):
            # Interleaved, so that each share gets its part if fewer machines are granted.
            shares = _interleave(shares)
            for start in range(0, len(shares), MAX_HIRE):
                if len(self._open_requests) >= max_open:
                    return
                self._hire(offering, shares[start : start + MAX_HIRE])

    def _wanted(self, unmet: dict[ShareNo, list[Demand]]) -> dict[_HireGroup, float]:
        """Returns how many machines each share needs, by type, kind and acceptable zones."""
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
        """Returns the offerings to hire, each with the share of every machine."""
        counts = self.fleet.groups.by_zone()
        hires: dict[Offering, list[ShareNo]] = {}
        for (share, name, spot, zones), machines in sorted(wanted.items()):
            for _ in range(math.ceil(machines - COUNT_ROUNDING)):
                # Zones are balanced within the share, so that its replicas can be spread.
                zone = min(zones, key=lambda z: (counts[share, z, spot], z))
                counts[share, zone, spot] += 1
                hires.setdefault((name, zone, spot), []).append(share)
        return hires

    def _restrict_to_zone(
        self, share: ShareNo, demand: Demand, options: list[HireOption]
    ) -> list[HireOption]:
        """Restricts a gang's demand and options to one zone.

        It is the zone where the gang lacks the fewest machines, then the one where the share has
        the fewest.
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
            # Throttled, or of unknown outcome: machines hired nevertheless appear in the list.
            self.refused[offering] = (
                self.refused.get(offering, (0.0, START))[0],
                later(self.context.now, RETRY_HIRE_S),
            )
