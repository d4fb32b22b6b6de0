"""The leader's dealings with the cloud, and the parting of machines among the shares."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from typing import Any

from .authority import Authority
from .context import Context
from .ids import ABSENT, LONG_AGO, Instant, MachineId, ShareNo, Stamp, Team
from .machines import Fleet, Machine, Record
from .placement import Size, fits_times
from .scheduler import Scheduler
from .shares import Shares
from .store import CATALOG, LEADER, MACHINE, Store
from .types import (
    CloudMachine,
    ListMachines,
    MachineType,
    Outcome,
    ReadCatalog,
    Release,
    Rent,
    Report,
    Say,
)

LOAD_EVERY_S = 0.25
PLAN_EVERY_S = 0.5
CATALOG_EVERY_S = 30.0
REPORT_PATIENCE_S = 4.0  # how long a worker waits for the answer to a report
MAX_HIRE = 50
MAX_RELEASE = 100


class Need:
    """Waiting tasks of one shape in one share."""

    __slots__ = ("age", "count", "rank", "shut", "size", "spot", "types", "zone")

    def __init__(self, raw: dict[str, Any]) -> None:
        self.size = Size(*raw["size"])
        self.count = int(raw["n"])
        self.age = float(raw["age"])  # how long the oldest has waited
        self.rank = int(raw["rank"])
        self.spot = bool(raw["spot"])
        self.types: list[str] | None = raw["types"]
        self.zone: str | None = raw["zone"]
        self.shut: list[str] = raw["shut"]  # zones that `spread` closes


class Load:
    """What an owner tells of a share."""

    __slots__ = ("at", "machines", "needs", "used")

    def __init__(self, raw: dict[str, Any], at: Instant) -> None:
        self.at = at
        self.needs = [Need(n) for n in raw["needs"]]
        self.used = float(raw["used"])
        # machine -> (seconds since heard or -1 for never, seconds empty or -1, used CPUs)
        self.machines: dict[str, list[float]] = raw["machines"]


class Rental:
    def __init__(self, cx: Context, store: Store, authority: Authority, shares: Shares,
                 fleet: Fleet, scheduler: Scheduler) -> None:
        self.cx = cx
        self.store = store
        self.authority = authority
        self.shares = shares
        self.fleet = fleet
        self.scheduler = scheduler
        self.loads: dict[ShareNo, Load] = {}
        self._hires = 0
        self._claiming = False
        self._catalog_at = LONG_AGO
        self._list_at = LONG_AGO
        self._listing = False
        self._plan_at = LONG_AGO
        self._load_at = LONG_AGO
        self._releasing: set[MachineId] = set()
        self._released: set[MachineId] = set()
        self._adopting: dict[MachineId, Record] = {}  # being recorded
        self._drop_later: list[MachineId] = []
        self._again: list[Callable[[], None]] = []
        self._again_at = Instant(0.0)
        self._first_listed: dict[MachineId, Instant] = {}
        self._recorded_at: dict[MachineId, tuple[Stamp, Instant]] = {}
        self._refused: dict[tuple[str, str, bool], tuple[float, Instant]] = {}
        self._pending_hires: dict[str, tuple[Rent, ShareNo]] = {}
        self._led_since: Instant | None = None
        self._peaks: deque[tuple[Instant, float]] = deque()
        self._drain_at = cx.now

    # --- leadership ----------------------------------------------------------------------

    @property
    def leading(self) -> bool:
        value = self.store.get(LEADER)
        return (
            bool(value)
            and value["inc"] == self.authority.inc
            and self.authority.live
            and self.cx.now < self.authority.until
        )

    def leader(self) -> str | None:
        value = self.store.get(LEADER)
        return str(value["member"]) if value else None

    def _claim(self) -> None:
        if (self._claiming or not self.authority.live or self.authority.grant is None
                or self.store.get(LEADER) or self.cx.now >= self.authority.until):
            return
        self._claiming = True

        def done(result: str, stamp: Stamp) -> None:
            self._claiming = False

        self.store.commit([(LEADER, ABSENT)],
                          [(LEADER, {"member": self.cx.me, "inc": self.authority.inc},
                            self.authority.grant)], done, Store.URGENT)

    def _guard(self) -> tuple[str, int]:
        return (LEADER, int(self.store.stamp(LEADER)))

    # --- time ----------------------------------------------------------------------------

    def tick(self) -> None:
        now = self.cx.now
        if not self.store.ready:
            return
        if now >= self._load_at + LOAD_EVERY_S:
            self._load_at = now
            self._tell_load()
            self._return_silent()
        self._retry()
        self._claim()
        if not self.leading:
            self._led_since = None
            return
        if self._led_since is None:
            self._led_since = now
            self._peaks.clear()
            self._first_listed.clear()
            self._recorded_at.clear()
            self.cx.log("info", "leading")
        if now >= self._catalog_at + (CATALOG_EVERY_S if self.fleet.types else 1.0):
            self._catalog_at = now
            self.cx.out.append(ReadCatalog(self._catalog_read))
        lag = self.cx.platform.settings.cloud.list_lag_s
        if not self._listing and now >= self._list_at + max(lag / 2, 3.0):
            self._list()
        if now >= self._plan_at + PLAN_EVERY_S and self.fleet.types:
            self._plan_at = now
            self._release_leaving()
            self._plan()

    # --- what owners tell the leader -----------------------------------------------------

    def _tell_load(self) -> None:
        now = self.cx.now
        for holding in self.shares.mine.values():
            needs: dict[tuple[Any, ...], int] = {}
            ages: dict[tuple[Any, ...], float] = {}
            for job, count, shut in self.scheduler.unmet.get(holding.number, ()):
                spec = job.spec
                key = (tuple(job.size), spec.rank, spec.spot, spec.types, spec.zone, shut)
                needs[key] = needs.get(key, 0) + count
                ages[key] = max(ages.get(key, 0.0), now - job.submitted)
            machines = {}
            used = 0.0
            for m in self.fleet.of_share(holding.number):
                idle = -1.0 if m.busy or m.empty_since is None else now - m.empty_since
                heard = self._heard_ago(m)
                used += m.used.cpus
                machines[str(m.id)] = [round(heard, 2), round(idle, 2), m.used.cpus]
            message = {
                "t": "load", "share": holding.number, "used": used, "machines": machines,
                "needs": [{"size": list(k[0]), "rank": k[1], "spot": k[2],
                           "types": list(k[3]) if k[3] is not None else None, "zone": k[4],
                           "shut": list(k[5]),
                           "n": n, "age": ages[k]} for k, n in needs.items()],
            }
            if self.leading:
                self.told_load(message)
            leader = self.leader()
            if leader and leader != self.cx.me:
                self.cx.out.append(Say(self._member(leader), message))

    def _heard_ago(self, machine: Machine) -> float:
        """Seconds since it was heard; -1 for a new machine that was never heard. One that an
        earlier owner knew is not new: it counts from the takeover."""
        if machine.heard >= 0:
            return self.cx.now - machine.heard
        if machine.record.stamp > machine.share.epoch:
            return -1.0
        return self.cx.now - machine.share.since

    def _member(self, name: str) -> Any:
        return next((m for m in self.cx.members if m == name), None)

    def told_load(self, message: dict[str, Any]) -> None:
        self.loads[ShareNo(int(message["share"]))] = Load(message, self.cx.now)

    # --- catalogue and list --------------------------------------------------------------

    def _catalog_read(self, outcome: Outcome) -> None:
        if outcome.status != 200 or not self.leading:
            return
        types: tuple[MachineType, ...] = outcome.body
        value = [[*t[:9], list(t.zones)] for t in types]
        if value != self.store.get(CATALOG):
            self.store.commit([self._guard()], [(CATALOG, value, None)],
                              lambda result, stamp: None, Store.LATER)

    def _list(self) -> None:
        began = self.cx.now
        self._listing = True
        self._list_at = began

        def done(outcome: Outcome) -> None:
            self._listing = False
            if outcome.status == 200 and self.leading:
                self._listed(outcome.body, began)

        self.cx.out.append(ListMachines(done))

    def _listed(self, machines: tuple[CloudMachine, ...], began: Instant) -> None:
        lag = self.cx.platform.settings.cloud.list_lag_s
        present = set()
        for m in machines:
            present.add(m.id)
            first = self._first_listed.setdefault(m.id, began)
            record = self.fleet.records.get(m.id)
            self.fleet.learn_addr(m.id, m.addr)
            if record is None:
                if m.id not in self._released:
                    self._adopt(m.id, m.type, m.zone, m.spot)
            elif m.stage == "failed" and began >= first:
                self._release([m.id])
        # Once listed, a machine stays listed until it is gone; but a list may be older than
        # the one before it, by no more than twice the lag.
        for id, first in list(self._first_listed.items()):
            if id not in present and began > first + 2 * lag + 1.0:
                del self._first_listed[id]
                if id in self.fleet.records:
                    self.cx.log("info", f"machine {id} is gone from the cloud")
                    self._drop_record(id)

    def _drop_record(self, id: MachineId) -> None:
        record = self.fleet.records.get(id)
        if record is None or not self.leading:
            return
        self._released.add(id)

        def done(result: str, stamp: Stamp) -> None:
            if result != "ok" and id in self.fleet.records:
                self._drop_later.append(id)

        self.store.commit([self._guard(), (MACHINE + id, int(record.stamp))],
                          [(MACHINE + id, None, None)], done, Store.OWNER)

    def reported_unknown(self, report: Report) -> None:
        """A worker reports whose machine nobody recorded: a late hire, or an old fleet."""
        if self.leading:
            self._adopt(report.machine, report.type, report.zone, report.spot)
        else:
            leader = self.leader()
            if leader and leader != self.cx.me:
                self.cx.out.append(Say(self._member(leader), {
                    "t": "unknown", "id": report.machine, "type": report.type,
                    "zone": report.zone, "spot": report.spot}))

    def told_unknown(self, message: dict[str, Any]) -> None:
        if self.leading:
            self._adopt(MachineId(str(message["id"])), str(message["type"]),
                        str(message["zone"]), bool(message["spot"]))

    def _adopt(self, id: MachineId, type_: str, zone: str, spot: bool,
               share: ShareNo | None = None) -> None:
        if id in self._adopting or id in self.fleet.records or id in self._released:
            return
        if type_ not in self.fleet.types:
            return
        if share is None:
            share = self._poorest(type_)
        record = Record(share, type_, zone, spot, False, ABSENT)
        self._adopting[id] = record

        def done(result: str, stamp: Stamp) -> None:
            self._adopting.pop(id, None)

        self.store.commit([self._guard(), (MACHINE + id, ABSENT)],
                          [(MACHINE + id, record.value(), None)], done, Store.OWNER)

    def _wanted(self, share: ShareNo) -> float:
        """What a share should hold of the fleet, in CPUs: its waiting and running requests,
        and before there are any, as its teams are many."""
        teams = sum(1 for team in self.cx.platform.settings.teams
                    if self.shares.of_team(Team(team.name)) == share)
        load = self.loads.get(share)
        waiting = sum(n.size.cpus * n.count for n in load.needs) if load else 0.0
        return max(teams, 0.5) + (load.used if load else 0.0) + waiting

    def _cpus_of(self, share: ShareNo) -> float:
        return sum(
            self.fleet.types[r.type].cpus for r in self.fleet.records.values()
            if r.share == share and not r.leaving and r.type in self.fleet.types
        )

    def _poorest(self, type_: str) -> ShareNo:
        """The share that a machine without one goes to: least for what it wants."""
        shares = self.shares.all()
        counts = {s: self._cpus_of(s) for s in shares}
        same = dict.fromkeys(shares, 0)
        # Those on their way into the records count too, or a whole list goes to one share.
        for record in (*self.fleet.records.values(), *self._adopting.values()):
            same[record.share] += record.type == type_
        for record in self._adopting.values():
            counts[record.share] += self.fleet.types[record.type].cpus
        return min(shares, key=lambda s: (counts[s] / self._wanted(s), same[s], s))

    # --- releasing -----------------------------------------------------------------------

    def _release_leaving(self) -> None:
        later, self._drop_later = self._drop_later, []
        for id in later:
            self._drop_record(id)
        leaving = [id for id, r in self.fleet.records.items()
                   if r.leaving and id not in self._releasing]
        if leaving:
            self._release(leaving[:MAX_RELEASE])

    def _release(self, ids: list[MachineId]) -> None:
        ids = [i for i in ids if i not in self._releasing]
        if not ids:
            return
        self._releasing.update(ids)

        def done(outcome: Outcome) -> None:
            self._releasing.difference_update(ids)
            if outcome.status == 200:
                # They and everything on them are gone: the records may go too.
                for id in ids:
                    self._drop_record(id)

        self.cx.out.append(Release(done, ids))

    # --- planning ------------------------------------------------------------------------

    def _boot_limit(self, type_: MachineType) -> float:
        return 2.0 * type_.boot_s + 5.0

    def _plan(self) -> None:
        now = self.cx.now
        booting: dict[ShareNo, list[Record]] = {s: [] for s in self.shares.all()}
        idle: dict[ShareNo, list[tuple[float, MachineId, Record]]] = {
            s: [] for s in self.shares.all()}
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
            if info is None or info[0] < 0:
                if now - since < self._boot_limit(type_):
                    booting[record.share].append(record)
                elif info is not None:
                    # Never came up, or much too late: returned and replaced elsewhere.
                    self.cx.log("info", f"machine {id} did not come up, returned")
                    self._note_refusal(record.type, record.zone, record.spot, 10.0)
                    self._ask_owner(record.share, {"t": "retire", "machine": id})
                    again = Instant(now - self._boot_limit(type_) + 3.0)
                    self._recorded_at[id] = (record.stamp, again)
            elif info[1] >= 0:
                idle[record.share].append((info[1], id, record))
        unmet: dict[ShareNo, list[Need]] = {}
        for share in self.shares.all():
            load = self.loads.get(share)
            if load is not None and now - load.at < 5.0:
                unmet[share] = self._left_over(load.needs, booting[share])
        self._move_idle(unmet, idle)
        for share, needs in unmet.items():
            for need in needs:
                if need.count > 0:
                    self._hire_for(share, need)
        self._keep_spare(booting, idle)

    def _left_over(self, needs: list[Need], booting: list[Record]) -> list[Need]:
        """Needs that the machines on their way will not meet."""
        rooms: list[list[Any]] = [[r, self.fleet.types[r.type].size] for r in booting]
        for need in needs:
            for entry in rooms:
                record: Record = entry[0]
                if not self._serves(need, record.type, record.zone, record.spot):
                    continue
                room: Size = entry[1]
                n = min(need.count, fits_times(need.size, room))
                if n:
                    need.count -= n
                    entry[1] = Size(room.cpus - n * need.size.cpus,
                                    room.memory - n * need.size.memory,
                                    room.gpus - n * need.size.gpus)
        return needs

    def _serves(self, need: Need, type_: str, zone: str, spot: bool) -> bool:
        return (
            (need.types is None or type_ in need.types)
            and (need.zone is None or zone == need.zone)
            and zone not in need.shut
            and (need.spot or not spot)
        )

    def _ask_owner(self, share: ShareNo, message: dict[str, Any]) -> None:
        owner = self.shares.living_owner(share)
        if owner == self.cx.me:
            self.asked(message)
        elif owner is not None:
            self.cx.out.append(Say(owner, message))

    def _move_idle(self, unmet: dict[ShareNo, list[Need]],
                   idle: dict[ShareNo, list[tuple[float, MachineId, Record]]]) -> None:
        """Empty machines go towards shares with waiting tasks."""
        for share, needs in unmet.items():
            for need in needs:
                for other in self.shares.all():
                    if other == share or any(n.count > 0 for n in unmet.get(other, ())):
                        continue
                    for entry in sorted(idle[other], reverse=True):
                        seconds, id, record = entry
                        type_ = self.fleet.types[record.type]
                        n = fits_times(need.size, type_.size)
                        if need.count <= 0 or seconds < 1.0:
                            break
                        if n and self._serves(need, record.type, record.zone, record.spot):
                            need.count -= n
                            idle[other].remove(entry)
                            self._ask_owner(other, {"t": "give", "machine": id, "share": share})

    # --- hiring --------------------------------------------------------------------------

    def _note_refusal(self, type_: str, zone: str, spot: bool, least: float = 4.0) -> None:
        key = (type_, zone, spot)
        pause = min(60.0, max(least, self._refused.get(key, (0.0, self.cx.now))[0] * 2))
        self._refused[key] = (pause, Instant(self.cx.now + pause))

    def _options(self, share: ShareNo, need: Need) -> list[tuple[float, MachineType, str, bool]]:
        now = self.cx.now
        options = []
        counts: dict[tuple[str, bool], int] = {}
        for record in self.fleet.records.values():
            # Zones evenly, above all within the share: its replicas want to be apart.
            weight = 10 if record.share == share else 1
            counts[(record.zone, record.spot)] = (
                counts.get((record.zone, record.spot), 0) + weight)
        zones_known = self.cx.platform.settings.zones
        for type_ in self.fleet.types.values():
            n = fits_times(need.size, type_.size)
            if not n:
                continue
            for zone in type_.zones or zones_known:
                for spot in (False, True):
                    if not self._serves(need, type_.name, zone, spot):
                        continue
                    # Dear machines for work that may use cheap ones: only if it has waited.
                    if need.spot and not spot and need.age < 0.5 * type_.boot_s:
                        continue
                    if self._refused.get((type_.name, zone, spot), (0.0, now))[1] > now:
                        continue
                    price = type_.spot_price if spot else type_.price
                    useful = min(n, need.count)
                    cost = price / useful + 1e-4 * counts.get((zone, spot), 0)
                    options.append((cost, type_, zone, spot))
        options.sort(key=lambda o: (o[0], o[1].name, o[2], o[3]))
        return options

    def _hire_for(self, share: ShareNo, need: Need) -> None:
        if len(self._pending_hires) >= 4:
            return
        options = self._options(share, need)
        if not options:
            return
        _, type_, zone, spot = options[0]
        each = fits_times(need.size, type_.size)
        number = min(MAX_HIRE, math.ceil(need.count / each), 4)
        if not spot and len(options) > 1:
            number = min(number, 1)  # one a zone in turn
        need.count -= number * each
        self._hire(type_, zone, spot, number, share)

    def _hire(self, type_: MachineType, zone: str, spot: bool, number: int,
              share: ShareNo) -> None:
        self._hires += 1
        # The leader's epoch makes the name unique among all leaders there ever were.
        name = f"r-{self.store.stamp(LEADER)}-{self._hires}"
        rent = Rent(lambda outcome: self._hired(name, outcome), name, type_.name, zone, spot,
                    number)
        self._pending_hires[name] = (rent, share)
        self.cx.out.append(rent)

    def _hired(self, name: str, outcome: Outcome) -> None:
        rent, share = self._pending_hires.pop(name)
        if outcome.status == 200:
            ids: tuple[MachineId, ...] = outcome.body
            self.cx.log("info", f"hired {len(ids)} of {rent.number} {rent.type} in {rent.zone}"
                                f"{' (spot)' if rent.spot else ''} for share {share}")
            if len(ids) < rent.number:
                self._note_refusal(rent.type, rent.zone, rent.spot)
            else:
                self._refused.pop((rent.type, rent.zone, rent.spot), None)
            for id in ids:
                if self.leading:
                    self._adopt(id, rent.type, rent.zone, rent.spot, share)
        else:
            # Refused, or of unknown fate: what was hired after all turns up in the list.
            self._note_refusal(rent.type, rent.zone, rent.spot)

    def _keep_spare(self, booting: dict[ShareNo, list[Record]],
                    idle: dict[ShareNo, list[tuple[float, MachineId, Record]]]) -> None:
        """Return what stays empty, beyond what was in use at once lately and a spare part."""
        now = self.cx.now
        demand = sum(load.used + sum(n.size.cpus * n.count for n in load.needs)
                     for load in self.loads.values())
        self._peaks.append((now, demand))
        window = self.cx.operators.peak_window
        while self._peaks and self._peaks[0][0] < now - window:
            self._peaks.popleft()
        keep = max(d for _, d in self._peaks) * self.cx.operators.headroom
        capacity = sum(self._cpus_of(s) for s in self.shares.all())
        for share in self.shares.all():
            for seconds, id, record in sorted(idle[share], key=lambda i: (i[2].spot, -i[0])):
                type_ = self.fleet.types[record.type]
                limit = self.cx.operators.idle_return
                if limit is None:
                    # A machine costs its boot again, and a minute at the least.
                    limit = min(max(60.0 - type_.boot_s, 0.5 * type_.boot_s), 45.0)
                if (seconds > limit and capacity - type_.cpus >= keep
                        and self._free_of(share) - type_.cpus >= self._largest_task(share)):
                    capacity -= type_.cpus
                    self._ask_owner(share, {"t": "retire", "machine": id})
        if now >= self._drain_at and not any(idle.values()):
            self._drain(capacity, keep)

    def _free_of(self, share: ShareNo) -> float:
        load = self.loads.get(share)
        return self._cpus_of(share) - (load.used if load else 0.0)

    def _largest_task(self, share: ShareNo) -> float:
        """Room that a share with open jobs keeps: without it, the next replica within its
        team's guarantee stops another team's."""
        return max((job.size.cpus for job in self.fleet.jobs.open_jobs()
                    if self.shares.of_team(Team(job.spec.team)) == share), default=0.0)

    def _drain(self, capacity: float, keep: float) -> None:
        """Nothing is empty, yet there is more than is needed: have a share empty one more."""
        largest = max((t.cpus for t in self.fleet.types.values()), default=0.0)
        if capacity - 1.5 * largest < keep:
            return
        slack = {s: self._cpus_of(s) - self.loads[s].used
                 for s in self.shares.all() if s in self.loads}
        if slack:
            share = max(slack, key=lambda s: slack[s])
            if slack[share] > 1.25 * largest:
                self._drain_at = Instant(self.cx.now + 4.0)
                self._ask_owner(share, {"t": "drain", "share": share})

    # --- what the leader asks of owners --------------------------------------------------

    def asked(self, message: dict[str, Any]) -> None:
        if message["t"] == "given":
            self.fleet.given(message)
            return
        if message["t"] == "drain":
            share = ShareNo(int(message["share"]))
            if self.shares.may_command(share):
                self.scheduler.drain(share)
            return
        machine = self.fleet.machines.get(MachineId(str(message["machine"])))
        if (machine is None or machine.busy or machine.moving or machine.record.leaving
                or not self.shares.may_command(machine.share.number)):
            return
        if message["t"] == "retire":
            self.change_record(machine, leaving=True)
        elif message["t"] == "give":
            share = ShareNo(int(message["share"]))
            if share != machine.share.number and 0 <= share < len(self.cx.members):
                self.change_record(machine, share=share)

    def change_record(self, machine: Machine, **changes: Any) -> None:
        """Give a machine away or mark it leaving; nothing new goes there from now on."""
        machine.moving = True
        record = machine.record
        state = self.fleet.state_of(machine)

        def attempt() -> None:
            if self.fleet.machines.get(machine.id) is not machine:
                return
            self.store.commit(
                [self.shares.guard(machine.share.number), (MACHINE + machine.id, record.stamp)],
                [(MACHINE + machine.id, record.value(**changes), None)], done)

        def done(result: str, stamp: Stamp) -> None:
            if result == "ok":
                machine.moving = False
                if "share" in changes:
                    self._ask_owner(changes["share"], {"t": "given", **state})
            elif result == "conflict":
                # Perhaps an earlier try was applied: look before anything new goes there.
                self.store.sync(checked)
            else:
                # It may be applied yet. Only an answer tells whose the machine is.
                self._again.append(attempt)

        def checked(ok: bool) -> None:
            if ok:
                machine.moving = False
            else:
                self._again.append(attempt)

        attempt()

    def _retry(self) -> None:
        if self._again and self.cx.now >= self._again_at:
            self._again_at = Instant(self.cx.now + 0.3)
            again, self._again = self._again, []
            for attempt in again:
                attempt()

    # --- machines that fell silent -------------------------------------------------------

    def _return_silent(self) -> None:
        """A machine that is silent well beyond its reports is returned: once the cloud has
        answered, its tasks are nowhere and may start elsewhere before the lease is over."""
        now = self.cx.now
        workers = self.cx.platform.settings.workers
        # A worker cut off from here needs a lost report and a try elsewhere to be heard again
        # by way of another node.
        limit = max(2.5 * workers.report_s, 0.45 * workers.lease_s,
                    min(REPORT_PATIENCE_S + 1.75 + 1.25 * workers.report_s, 0.7 * workers.lease_s))
        for holding in self.shares.mine.values():
            if not self.shares.may_command(holding.number):
                continue
            machines = self.fleet.of_share(holding.number)
            known = [m for m in machines if m.heard >= 0 or m.record.stamp <= holding.epoch]
            silent = [m for m in known if now - max(m.heard, holding.since) > limit]
            # If most are silent, it is rather this node that hears nothing.
            if not silent or 2 * len(silent) > len(known):
                continue
            for m in silent:
                if not m.record.leaving and not m.moving:
                    self.cx.log("warning", f"machine {m.id}: silent, returned")
                    self.change_record(m, leaving=True)
