"""The leader's plan: what to hire for what waits, and what to return."""

from __future__ import annotations

import math
from collections import deque
from typing import Any

from ..wire.peer_messages import DrainMachines, ReturnMachine, ShareLoad
from .authority import Authority
from .balance import Balance
from .context import Context
from .demand import Demand, LoadReport, Place, serves, share_load
from .ids import ABSENT, LONG_AGO, START, Instant, MachineId, Member, ShareNo, Stamp, Team
from .inventory import Inventory
from .machine import Record
from .machines import Fleet
from .placement import fits_times
from .scheduler import Scheduler
from .shares import Shares
from .sizes import json_size
from .store import CATALOG, LEADER, TYPES, Store
from .transfers import MachineTransfers
from .types import (
    MachineType,
    Outcome,
    ReadCatalog,
    Rent,
    SendToPeer,
)
from .versions import Versions

LOAD_EVERY_S = 0.25
PLAN_EVERY_S = 0.5
CATALOG_EVERY_S = 30.0
MAX_HIRE = 50  # machines in one request, by the protocol
LATE_LEAST = 1.5  # times a type's boot time that a boot usually takes at the most
LATE_MOST = 4.0  # and when boots lately took longer, the longest that is waited for one
BOOTS_SEEN = 12  # of each type, the newest


def _in_turn(shares: list[ShareNo]) -> list[ShareNo]:
    """The same shares, dealt so that any beginning of the list holds some of each."""
    seen: dict[ShareNo, int] = {}
    ranked = []
    for share in shares:
        seen[share] = seen.get(share, 0) + 1
        ranked.append((seen[share] / shares.count(share), share))
    return [share for _, share in sorted(ranked)]


class Rental:
    def __init__(
        self,
        context: Context,
        store: Store,
        authority: Authority,
        shares: Shares,
        fleet: Fleet,
        scheduler: Scheduler,
        versions: Versions,
    ) -> None:
        self.context = context
        self.versions = versions
        self.store = store
        self.authority = authority
        self.shares = shares
        self.fleet = fleet
        self.scheduler = scheduler
        self.loads: dict[ShareNo, LoadReport] = {}
        self.inventory = Inventory(
            context, store, shares, fleet, self.loads, lambda: self.leading, self.leader, self.guard
        )
        self.transfers = MachineTransfers(context, store, shares, fleet, scheduler)
        self.balance = Balance(context, shares, fleet, self.loads, self.transfers)
        self._hires = 0
        self._claiming = False
        self._catalog_at = LONG_AGO
        self._plan_at = LONG_AGO
        self._load_at = LONG_AGO
        self._recorded_at: dict[MachineId, tuple[Stamp, Instant]] = {}
        self._refused: dict[tuple[str, str, bool], tuple[float, Instant]] = {}
        self._pending_hires: dict[str, tuple[Rent, list[ShareNo]]] = {}
        self._cpus: dict[ShareNo, float] = {}  # of each share's machines, as of the newest plan
        self._led_since: Instant | None = None
        self._peaks: deque[tuple[Instant, float]] = deque()
        self._drain_at = context.now
        self._boots: dict[str, deque[float]] = {}  # boots lately, in times of their type's
        self._booting: dict[MachineId, Instant] = {}  # hired by this leader and not heard yet
        self._summed_at = context.now

    # --- leadership ----------------------------------------------------------------------

    @property
    def leading(self) -> bool:
        value = self.store.get(LEADER)
        return (
            bool(value)
            and value["inc"] == self.authority.inc
            and self.authority.live
            and self.context.now < self.authority.until
        )

    def leader(self) -> str | None:
        value = self.store.get(LEADER)
        return str(value["member"]) if value else None

    def _claim(self) -> None:
        if (
            self._claiming
            or not self.authority.live
            or self.authority.lease is None
            or self.store.get(LEADER)
            or self.context.now >= self.authority.until
        ):
            return
        self._claiming = True

        def done(result: str, stamp: Stamp) -> None:
            self._claiming = False

        self.store.commit(
            [(LEADER, ABSENT)],
            [
                (
                    LEADER,
                    {"member": self.context.me, "inc": self.authority.inc},
                    self.authority.lease,
                )
            ],
            done,
            Store.URGENT,
        )

    def guard(self) -> tuple[str, int]:
        return (LEADER, int(self.store.stamp(LEADER)))

    # --- time ----------------------------------------------------------------------------

    def tick(self) -> None:
        now = self.context.now
        if not self.store.ready:
            return
        if now >= self._load_at + LOAD_EVERY_S:
            self._load_at = now
            self._tell_load()
            self.transfers.tick()
        self._claim()
        if not self.leading:
            self._led_since = None
            return
        if self._led_since is None:
            self._led_since = now
            self._peaks.clear()
            self.inventory.begin()
            self._recorded_at.clear()
            self._booting.clear()
            self.context.log("info", "leading")
        if now >= self._catalog_at + (CATALOG_EVERY_S if self.fleet.types else 1.0):
            self._catalog_at = now
            self.context.emit(ReadCatalog(self._catalog_read))
        self.inventory.tick()
        if now >= self._plan_at + PLAN_EVERY_S and self.fleet.types:
            self._plan_at = now
            self.inventory.release_leaving()
            self._plan()

    # --- what owners tell the leader -----------------------------------------------------

    def _tell_load(self) -> None:
        leader = self.leader()
        for share in self.shares.owned:
            message = share_load(self.context, share, self.fleet, self.scheduler)
            if self.leading:
                self.handle_share_load(message)
            if leader and leader != self.context.me:
                self.context.emit(SendToPeer(Member(leader), message))

    def handle_share_load(self, message: ShareLoad) -> None:
        self.loads[message.share] = LoadReport(message, self.context.now)

    # --- catalogue -----------------------------------------------------------------------

    def _catalog_read(self, outcome: Outcome) -> None:
        if outcome.status != 200 or not self.leading:
            return
        types: tuple[MachineType, ...] = outcome.body
        rows = [[*t[:9], list(t.zones)] for t in types]
        pages = self._catalog_pages(rows)
        changes: list[tuple[str, Any, int | None]] = [
            (key, page, None) for key, page in pages.items() if page != self.store.get(key)
        ]
        changes += [(key, None, None) for key in self.store.keys(TYPES) if key not in pages]
        size = self.context.limits.txn_ops
        for n in range(0, len(changes), size):
            self.store.commit(
                [self.guard()], changes[n : n + size], lambda result, stamp: None, Store.LATER
            )

    def _catalog_pages(self, rows: list[list[Any]]) -> dict[str, list[list[Any]]]:
        """The catalogue as it goes into values; the former version reads the first alone."""
        most = self.context.limits.value_bytes
        if not self.versions.all_read:
            most = int(1024 * self.context.platform.settings.state.value_kb)
        pages: list[list[list[Any]]] = [[]]
        for row in rows:
            if pages[-1] and json_size([*pages[-1], row]) > most:
                pages.append([])
            pages[-1].append(row)
        return {CATALOG if n == 0 else f"{TYPES}{n}": page for n, page in enumerate(pages)}

    # --- planning ------------------------------------------------------------------------

    def _late_after(self, type_: MachineType) -> float:
        """When a boot is overdue: work then waits for another machine instead. If machines that
        did come up lately took long as well, the next one would take no less."""
        seen = self._boots.get(type_.name)
        usual = 1.15 * max(seen) if seen else 0.0
        return min(max(LATE_LEAST, usual), LATE_MOST) * type_.boot_s + 2.0

    def _boot_limit(self, type_: MachineType) -> float:
        """When a machine that did not come up is returned: it is paid for."""
        return self._late_after(type_) + 0.5 * type_.boot_s + 3.0

    def _note_boots(self, id: MachineId, type_: MachineType, heard: bool) -> None:
        since = self._booting.get(id)
        if since is not None and heard:
            del self._booting[id]
            took = (self.context.now - since) / max(type_.boot_s, 1.0)
            self._boots.setdefault(type_.name, deque(maxlen=BOOTS_SEEN)).append(took)

    def _plan(self) -> None:
        now = self.context.now
        self.inventory.largest = max(self.inventory.largest, len(self.fleet.records))
        self._cpus, _ = self.inventory.counts()
        booting: dict[ShareNo, dict[Place, float]] = {s: {} for s in self.shares.all()}
        idle: dict[ShareNo, list[tuple[float, MachineId, Record]]] = {
            s: [] for s in self.shares.all()
        }
        for id, record in self.fleet.records.items():
            type_ = self.fleet.types.get(record.type)
            load = self.loads.get(record.share)
            if type_ is None or record.leaving:
                continue
            # A machine that changed shares is new to its owner, not late in coming up.
            stamp, since = self._recorded_at.get(id, (record.stamp, now))
            if stamp != record.stamp:
                since = now
            self._recorded_at[id] = (record.stamp, since)
            info = load.machines.get(str(id)) if load else None
            self._note_boots(id, type_, info is not None and info.heard_ago_s >= 0)
            if info is None or info.heard_ago_s < 0:
                if now - since < self._late_after(type_):
                    place = (record.type, record.zone, record.spot)
                    there = booting[record.share]
                    there[place] = there.get(place, 0.0) + 1.0
                elif info is not None and now - since >= self._boot_limit(type_):
                    # Never came up, or much too late: returned and replaced elsewhere.
                    self.context.log("info", f"machine {id} did not come up, returned")
                    self._note_refusal(record.type, record.zone, record.spot, 10.0)
                    self.transfers.ask_owner(record.share, ReturnMachine(id))
                    again = Instant(now - self._boot_limit(type_) + 3.0)
                    self._recorded_at[id] = (record.stamp, again)
                    self._booting.pop(id, None)
            elif info.idle_s >= 0:
                idle[record.share].append((info.idle_s, id, record))
        # What is being hired or recorded counts as on its way, or it would be hired again.
        for record in self.inventory.adopting():
            place = (record.type, record.zone, record.spot)
            booting[record.share][place] = booting[record.share].get(place, 0.0) + 1.0
        for rent, shares in self._pending_hires.values():
            for share in shares:
                place = (rent.type, rent.zone, rent.spot)
                booting[share][place] = booting[share].get(place, 0.0) + 1.0
        for share in self.shares.all():
            idle[share].sort(reverse=True)
        unmet: dict[ShareNo, list[Demand]] = {}
        for share in self.shares.all():
            load = self.loads.get(share)
            if load is not None and now - load.at < 5.0:
                unmet[share] = self._left_over(load.demands, booting[share])
        self.balance.move_idle(unmet, idle)
        self._hire_for(unmet)
        self.balance.vacate_for(unmet)
        self.balance.balance(self._cpus)
        self._keep_spare(idle)

    def _left_over(self, needs: list[Demand], booting: dict[Place, float]) -> list[Demand]:
        """Needs that the machines on their way will not meet, taken by their number: which
        task will go to which of them is not decided here."""
        left = dict(booting)
        for need in needs:
            need.count, need.zone = need.hire, need.entry.zone
            if need.block:
                self._leave_block(need, left)
                continue
            for place, machines in left.items():
                if machines <= 0 or not serves(need, *place):
                    continue
                each = fits_times(need.size, self.fleet.types[place[0]].size)
                if each and need.count > 0:
                    n = min(need.count, math.floor(machines * each + 1e-6))
                    need.count -= n
                    left[place] = machines - n / each
        return needs

    def _leave_block(self, need: Demand, left: dict[Place, float]) -> None:
        """A gang's need is met in one zone, by what is free there and what comes up there."""
        zones = {
            zone
            for type_ in self.fleet.types.values()
            for zone in type_.zones or self.context.platform.settings.zones
        }
        need.lacks = {
            zone: need.hire - need.room.get(zone, 0)
            for zone in sorted(zones)
            if zone not in need.shut and need.zone in (None, zone)
        }
        for place, machines in left.items():
            if machines > 0 and place[1] in need.lacks and serves(need, *place):
                each = fits_times(need.size, self.fleet.types[place[0]].size)
                need.lacks[place[1]] -= math.floor(machines * each + 1e-6)
        zone = min(need.lacks, key=lambda z: need.lacks[z], default=None)
        if zone is None or need.lacks[zone] > 0:
            return
        wanted = need.hire - need.room.get(zone, 0)
        need.count = 0
        for place, machines in left.items():
            each = fits_times(need.size, self.fleet.types[place[0]].size)
            if place[1] == zone and each and wanted > 0 and serves(need, *place):
                n = min(wanted, math.floor(machines * each + 1e-6))
                wanted -= n
                left[place] = machines - n / each

    # --- hiring --------------------------------------------------------------------------

    def _note_refusal(self, type_: str, zone: str, spot: bool, least: float = 4.0) -> None:
        key = (type_, zone, spot)
        pause = min(60.0, max(least, self._refused.get(key, (0.0, self.context.now))[0] * 2))
        self._refused[key] = (pause, Instant(self.context.now + pause))

    def _options(self, need: Demand) -> list[tuple[float, MachineType, str, bool]]:
        """Where machines for such tasks may be hired: price for one task, type, zone, spot."""
        now = self.context.now
        options = []
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
                    if self._refused.get((type_.name, zone, spot), (0.0, now))[1] > now:
                        continue
                    price = type_.spot_price if spot else type_.price
                    options.append((price / min(n, need.count), type_, zone, spot))
        return options

    def _hire_for(self, unmet: dict[ShareNo, list[Demand]]) -> None:
        """Hire what the needs of all shares come to, in few requests: the cloud's are scarce."""
        wanted: dict[tuple[ShareNo, str, bool, tuple[str, ...]], float] = {}
        for share, needs in unmet.items():
            for need in needs:
                options = self._options(need) if need.count > 0 else []
                if need.block and options:
                    options = self._one_zone(share, need, options)
                if not options:
                    continue
                _, type_, _, spot = min(options, key=lambda o: (o[0], o[1].name, o[3]))
                zones = tuple(sorted(z for _, t, z, s in options if t is type_ and s == spot))
                key = (share, type_.name, spot, zones)
                each = fits_times(need.size, type_.size)
                wanted[key] = wanted.get(key, 0.0) + need.count / each
        counts: dict[tuple[ShareNo, str, bool], int] = {}
        for record in self.fleet.records.values():
            key3 = (record.share, record.zone, record.spot)
            counts[key3] = counts.get(key3, 0) + 1
        hires: dict[Place, list[ShareNo]] = {}
        for (share, name, spot, zones), machines in sorted(wanted.items()):
            for _ in range(math.ceil(machines - 1e-6)):
                # Zones evenly within the share: its replicas want to be apart.
                zone = min(zones, key=lambda z: (counts.get((share, z, spot), 0), z))
                counts[share, zone, spot] = counts.get((share, zone, spot), 0) + 1
                hires.setdefault((name, zone, spot), []).append(share)
        most = max(2, round(2 * self.context.platform.settings.cloud.rps))
        for place, shares in sorted(hires.items(), key=lambda h: -len(h[1])):
            # In turn, so that each share has its part of what is granted.
            shares = _in_turn(shares)
            for n in range(0, len(shares), MAX_HIRE):
                if len(self._pending_hires) >= most:
                    return
                self._hire(place, shares[n : n + MAX_HIRE])

    def _one_zone(
        self, share: ShareNo, need: Demand, options: list[tuple[float, MachineType, str, bool]]
    ) -> list[tuple[float, MachineType, str, bool]]:
        """A whole gang's machines are hired where it lacks least, then where the share has few."""
        counts: dict[str, int] = {}
        for record in self.fleet.records.values():
            if record.share == share:
                counts[record.zone] = counts.get(record.zone, 0) + 1
        zone = min(
            {o[2] for o in options},
            key=lambda z: (need.lacks.get(z, need.hire), counts.get(z, 0), z),
        )
        need.count = need.lacks.get(zone, need.hire)
        return [o for o in options if o[2] == zone]

    def _hire(self, place: Place, shares: list[ShareNo]) -> None:
        self._hires += 1
        # The leader's epoch makes the name unique among all leaders there ever were.
        name = f"r-{self.store.stamp(LEADER)}-{self._hires}"
        rent = Rent(lambda outcome: self._hired(name, outcome), name, *place, len(shares))
        self._pending_hires[name] = (rent, shares)
        self.context.emit(rent)

    def _hired(self, name: str, outcome: Outcome) -> None:
        rent, shares = self._pending_hires.pop(name)
        if outcome.status == 200:
            ids: tuple[MachineId, ...] = outcome.body
            self.context.log(
                "info",
                f"hired {len(ids)} of {rent.number} {rent.type} in {rent.zone}"
                f"{' (spot)' if rent.spot else ''}",
            )
            if len(ids) < rent.number:
                self._note_refusal(rent.type, rent.zone, rent.spot)
            else:
                self._refused.pop((rent.type, rent.zone, rent.spot), None)
            if self.leading:
                self._booting.update((id, Instant(outcome.began)) for id in ids)
                self.inventory.adopt(
                    [
                        (id, rent.type, rent.zone, rent.spot, share)
                        for id, share in zip(ids, shares, strict=False)
                    ]
                )
        elif outcome.status == 503:
            self._note_refusal(rent.type, rent.zone, rent.spot)
        else:
            # Too many requests, or of unknown fate: what was hired turns up in the list.
            key = (rent.type, rent.zone, rent.spot)
            self._refused[key] = (
                self._refused.get(key, (0.0, START))[0],
                Instant(self.context.now + 1.0),
            )

    def _keep_spare(self, idle: dict[ShareNo, list[tuple[float, MachineId, Record]]]) -> None:
        """Return what stays empty, beyond what was in use at once lately and a spare part."""
        now = self.context.now
        demand = sum(
            load.used + sum(n.size.cpus * n.count for n in load.demands)
            for load in self.loads.values()
        )
        self._peaks.append((now, demand))
        window = self.context.operators.peak_window
        while self._peaks and self._peaks[0][0] < now - window:
            self._peaks.popleft()
        keep = max(d for _, d in self._peaks) * self.context.operators.headroom
        capacity = sum(self._cpus.values())
        if now >= self._summed_at + 30.0:
            self._summed_at = now
            self.inventory.tidy()
            for known in (self._recorded_at, self._booting):
                for id in [id for id in known if id not in self.fleet.records]:
                    del known[id]
            cheap = sum(r.spot for r in self.fleet.records.values())
            self.context.log(
                "info",
                f"fleet: {len(self.fleet.records)} machines, {cheap} cheap,"
                f" {sum(map(len, idle.values()))} empty; {capacity:.0f} CPUs,"
                f" {sum(ld.used for ld in self.loads.values()):.0f} used,"
                f" {demand:.0f} asked, {keep:.0f} kept",
            )
        largest = self._largest_tasks() if any(idle.values()) else {}
        for share in self.shares.all():
            for seconds, id, record in sorted(idle[share], key=lambda i: (i[2].spot, -i[0])):
                type_ = self.fleet.types[record.type]
                limit = self.context.operators.idle_return
                if limit is None:
                    # A machine costs its boot again, and a minute at the least.
                    limit = min(max(60.0 - type_.boot_s, 0.5 * type_.boot_s), 45.0)
                if (
                    seconds > limit
                    and capacity - type_.cpus >= keep
                    and self._free_of(share) - type_.cpus >= largest.get(share, 0.0)
                ):
                    capacity -= type_.cpus
                    self._cpus[share] -= type_.cpus
                    self.transfers.ask_owner(share, ReturnMachine(id))
        if now >= self._drain_at and not any(idle.values()):
            self._drain(capacity, keep)

    def _free_of(self, share: ShareNo) -> float:
        load = self.loads.get(share)
        return self._cpus[share] - (load.used if load else 0.0)

    def _largest_tasks(self) -> dict[ShareNo, float]:
        """Room that a share with open jobs keeps: without it, the next replica within its
        team's guarantee stops another team's."""
        largest: dict[ShareNo, float] = {}
        for job in self.fleet.jobs.open_jobs():
            share = self.shares.of_team(Team(job.spec.team))
            largest[share] = max(largest.get(share, 0.0), job.size.cpus)
        return largest

    def _drain(self, capacity: float, keep: float) -> None:
        """Nothing is empty, yet there is more than is needed: have a share empty one more."""
        largest = max((t.cpus for t in self.fleet.types.values()), default=0.0)
        if capacity - 1.5 * largest < keep:
            return
        slack = {
            s: self._cpus[s] - self.loads[s].used for s in self.shares.all() if s in self.loads
        }
        if slack:
            share = max(slack, key=lambda s: slack[s])
            if slack[share] > 1.25 * largest:
                self._drain_at = Instant(self.context.now + 4.0)
                # A large surplus would last for many such steps: an eighth of it at once.
                number = max(1, int((capacity - keep) / largest / 8))
                self.transfers.ask_owner(share, DrainMachines(share, number))
