"""Hiring machines for what waits: where, how many in a request, and what is refused."""

from __future__ import annotations

import math
from collections import Counter
from typing import NamedTuple

from ..context import Context
from ..ids import START, Instant, MachineId, ShareNo, later
from ..machines import Fleet
from ..placement import fits_times
from ..store import Store
from ..stored_values import LEADER
from ..types import MachineType, Outcome, Rent
from .adoption import Adoption, FoundMachine
from .boot_times import BootTimes
from .demand import Demand, Place, serves
from .leadership import Leadership
from .pool import Pool

MAX_HIRE = 50  # machines in one request, by the protocol
LEAST_PAUSE_S = 4.0  # after a refusal; twice as long each time
MOST_PAUSE_S = 60.0
RETRY_HIRE_S = 1.0  # after a request of unknown fate, or one too many


class HireOption(NamedTuple):
    """A kind of machine that may be hired for a task."""

    price: float  # of the room for one task
    type: MachineType
    zone: str
    spot: bool


class _Wish(NamedTuple):
    """Machines of one kind for a share, in any of the zones."""

    share: ShareNo
    type: str
    spot: bool
    zones: tuple[str, ...]


def _in_turn(shares: list[ShareNo]) -> list[ShareNo]:
    """The same shares, dealt so that any beginning of the list holds some of each."""
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
        self.refused: dict[Place, tuple[float, Instant]] = {}  # how long, and until when
        self._hires = 0
        self._pending: dict[str, tuple[Rent, list[ShareNo]]] = {}

    def pending(self) -> list[tuple[ShareNo, Place]]:
        """A share and a place for each machine that is being hired."""
        return [
            (share, (rent.type, rent.zone, rent.spot))
            for rent, shares in self._pending.values()
            for share in shares
        ]

    def note_refusal(self, place: Place, least: float = LEAST_PAUSE_S) -> None:
        """The cloud has no such machines now: leave the place alone for a while."""
        pause = min(
            MOST_PAUSE_S, max(least, self.refused.get(place, (0.0, self.context.now))[0] * 2)
        )
        self.refused[place] = (pause, Instant(self.context.now + pause))

    def _options(self, need: Demand) -> list[HireOption]:
        """Where machines for such tasks may be hired: price for one task, type, zone, spot."""
        now = self.context.now
        options: list[HireOption] = []
        for type_ in self.fleet.types.values():
            n = fits_times(need.size, type_.size)
            if not n:
                continue
            for zone in type_.zones or self.context.platform.settings.zones:
                for spot in (False, True):
                    if not serves(need, type_.name, zone, spot):
                        continue
                    # Dear machines for work that may use cheap ones: only if it has waited.
                    if need.spot and not spot and need.age < 0.5 * type_.boot_s:
                        continue
                    if self.refused.get((type_.name, zone, spot), (0.0, now))[1] > now:
                        continue
                    price = type_.spot_price if spot else type_.price
                    options.append(HireOption(price / min(n, need.count), type_, zone, spot))
        return options

    def hire_for(self, unmet: dict[ShareNo, list[Demand]]) -> None:
        """Hire what the demands of all shares come to, in few requests: the cloud's are scarce."""
        hires = self._by_place(self._wanted(unmet))
        most = max(2, round(2 * self.context.platform.settings.cloud.rps))
        for place, shares in sorted(hires.items(), key=lambda h: -len(h[1])):
            # In turn, so that each share has its part of what is granted.
            shares = _in_turn(shares)
            for n in range(0, len(shares), MAX_HIRE):
                if len(self._pending) >= most:
                    return
                self._hire(place, shares[n : n + MAX_HIRE])

    def _wanted(self, unmet: dict[ShareNo, list[Demand]]) -> dict[_Wish, float]:
        """How many machines each share wants, by type, kind and the zones that will do."""
        wanted: dict[_Wish, float] = {}
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
                wish = _Wish(share, type_.name, spot, zones)
                each = fits_times(demand.size, type_.size)
                wanted[wish] = wanted.get(wish, 0.0) + demand.count / each
        return wanted

    def _by_place(self, wanted: dict[_Wish, float]) -> dict[Place, list[ShareNo]]:
        """Where to hire, and for which shares, a share for each machine."""
        counts = self.fleet.groups.by_zone()
        hires: dict[Place, list[ShareNo]] = {}
        for (share, name, spot, zones), machines in sorted(wanted.items()):
            for _ in range(math.ceil(machines - 1e-6)):
                # Zones evenly within the share: its replicas want to be apart.
                zone = min(zones, key=lambda z: (counts[share, z, spot], z))
                counts[share, zone, spot] += 1
                hires.setdefault((name, zone, spot), []).append(share)
        return hires

    def _restrict_to_zone(
        self, share: ShareNo, need: Demand, options: list[HireOption]
    ) -> list[HireOption]:
        """A whole gang's machines are hired where it lacks least, then where the share has few."""
        counts: Counter[str] = Counter()
        for group, number in self.fleet.groups.counts().items():
            if group.share == share:
                counts[group.zone] += number
        zone = min(
            {o.zone for o in options},
            key=lambda z: (need.missing_by_zone.get(z, need.hire), counts[z], z),
        )
        need.count = need.missing_by_zone.get(zone, need.hire)
        return [o for o in options if o.zone == zone]

    def _hire(self, place: Place, shares: list[ShareNo]) -> None:
        self._hires += 1
        # The leader's epoch makes the name unique among all leaders there ever were.
        name = f"r-{self.store.stamp(LEADER)}-{self._hires}"
        rent = Rent(lambda outcome: self._hired(name, outcome), name, *place, len(shares))
        self._pending[name] = (rent, shares)
        self.context.emit(rent)

    def _hired(self, name: str, outcome: Outcome) -> None:
        rent, shares = self._pending.pop(name)
        place = (rent.type, rent.zone, rent.spot)
        if outcome.status == 200:
            ids: tuple[MachineId, ...] = outcome.body
            self.context.log(
                "info",
                f"hired {len(ids)} of {rent.number} {rent.type} in {rent.zone}"
                f"{' (spot)' if rent.spot else ''}",
            )
            if len(ids) < rent.number:
                self.note_refusal(place)
            else:
                self.refused.pop(place, None)
            if self.leadership.leading:
                self.boot_times.hired(ids, Instant(outcome.began))
                self.adoption.adopt(
                    [
                        FoundMachine(id, rent.type, rent.zone, rent.spot, share)
                        for id, share in zip(ids, shares, strict=False)
                    ]
                )
        elif outcome.status == 503:
            self.note_refusal(place)
        else:
            # Too many requests, or of unknown fate: what was hired turns up in the list.
            self.refused[place] = (
                self.refused.get(place, (0.0, START))[0],
                later(self.context.now, RETRY_HIRE_S),
            )
