"""The leader's dealings with the cloud, and the parting of machines among the shares."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from typing import Any

from .authority import Authority
from .context import Context
from .ids import ABSENT, LONG_AGO, START, Instant, MachineId, ShareNo, Stamp, Team
from .machine import Machine, Record
from .machines import Fleet
from .placement import Size, fits_times
from .scheduler import Scheduler
from .shares import Shares
from .store import CATALOG, LEADER, MACHINE, Store
from .types import (
    CloudMachine,
    ListMachines,
    MachineType,
    Outcome,
    Probe,
    ReadCatalog,
    Release,
    Rent,
    Report,
    Say,
)

LOAD_EVERY_S = 0.25
PLAN_EVERY_S = 0.5
CATALOG_EVERY_S = 30.0
MAX_HIRE = 50  # machines in one request, by the protocol
MAX_RELEASE = 100
VACATE_AFTER_S = 2.0  # work that cheap machines can't take waits so long for an empty one
VACATE_S = 15.0  # within which a machine promised to another share must be empty
BALANCE_EVERY_S = 2.0
UNEVEN = 1.5  # by how much more a share must ask for its CPUs before another yields some
YIELD_S = 45.0  # within which a machine that another share asked for must fall empty
LATE_LEAST = 1.5  # times a type's boot time that a boot usually takes at the most
LATE_MOST = 4.0  # and when boots lately took longer, the longest that is waited for one
BOOTS_SEEN = 12  # of each type, the newest
REMEMBERED = 4  # ids of returned machines kept in the store, by machine of the largest fleet

Place = tuple[str, str, bool]  # type, zone, spot


class Need:
    """Waiting tasks of one shape in one share."""

    __slots__ = ("age", "asked", "count", "hire", "rank", "raw", "shut", "size", "spot", "types",
                 "zone")

    def __init__(self, raw: dict[str, Any]) -> None:
        self.raw = raw
        self.size = Size(*raw["size"])
        self.asked = int(raw["n"])
        self.hire = int(raw["hire"])  # for how many of them to have machines
        self.count = self.hire  # what is left of that while a plan is made
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


def _in_turn(shares: list[ShareNo]) -> list[ShareNo]:
    """The same shares, dealt so that any beginning of the list holds some of each."""
    seen: dict[ShareNo, int] = {}
    ranked = []
    for share in shares:
        seen[share] = seen.get(share, 0) + 1
        ranked.append((seen[share] / shares.count(share), share))
    return [share for _, share in sorted(ranked)]


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
        self._listed_now: set[MachineId] = set()  # in the newest list
        self._asking: set[MachineId] = set()  # reported, unknown, and asked themselves
        self._drop_later: list[MachineId] = []
        self._again: list[Callable[[], None]] = []
        self._again_at = Instant(0.0)
        self._first_listed: dict[MachineId, Instant] = {}
        self._recorded_at: dict[MachineId, tuple[Stamp, Instant]] = {}
        self._refused: dict[tuple[str, str, bool], tuple[float, Instant]] = {}
        self._pending_hires: dict[str, tuple[Rent, list[ShareNo]]] = {}
        self._cpus: dict[ShareNo, float] = {}  # of each share's machines, as of the newest plan
        self._led_since: Instant | None = None
        self._peaks: deque[tuple[Instant, float]] = deque()
        self._drain_at = cx.now
        self._vacate_at = cx.now
        self._balance_at = cx.now
        self._boots: dict[str, deque[float]] = {}  # boots lately, in times of their type's
        self._booting: dict[MachineId, Instant] = {}  # hired by this leader and not heard yet
        self._missing: dict[MachineId, Instant] = {}  # listed once and not any more, since when
        self._promised: dict[MachineId, tuple[ShareNo, Instant]] = {}  # to be given when empty
        self._summed_at = cx.now
        self._largest = 0  # machines there were at once

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
            self._give_promised()
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
            self._booting.clear()
            self._missing.clear()
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
            hires: dict[tuple[Any, ...], int] = {}
            ages: dict[tuple[Any, ...], float] = {}
            for job, count, shut in self.scheduler.unmet.get(holding.number, ()):
                spec = job.spec
                key = (tuple(job.size), spec.rank, spec.spot, spec.types, spec.zone, shut)
                needs[key] = needs.get(key, 0) + count
                hires[key] = hires.get(key, 0) + self.scheduler.needed(job, count)
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
                           "n": n, "hire": hires[k], "age": ages[k]} for k, n in needs.items()],
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
        present: set[MachineId] = set()
        found: list[tuple[MachineId, str, str, bool, ShareNo | None]] = []
        failed: list[MachineId] = []
        for m in machines:
            present.add(m.id)
            first = self._first_listed.setdefault(m.id, began)
            if m.id in self._released or m.id in self.fleet.gone:
                continue
            self.fleet.learn_addr(m.id, m.addr)
            if m.id not in self.fleet.records:
                found.append((m.id, m.type, m.zone, m.spot, None))
            elif m.stage == "failed" and began >= first:
                failed.append(m.id)
        self._listed_now = present
        self._adopt(found)
        for n in range(0, len(failed), MAX_RELEASE):
            self._release(failed[n:n + MAX_RELEASE])
        # Once listed, a machine stays listed until it is gone; but a list may be older than
        # the one before it, by no more than twice the lag.
        gone = []
        for id, first in list(self._first_listed.items()):
            if id in present:
                self._missing.pop(id, None)
            elif began > first + 2 * lag + 1.0:
                # Should lists be older still than they may be: one alone proves nothing, and
                # no list makes a machine gone that was heard since it may have been made.
                missing = self._missing.setdefault(id, began)
                if began < missing + lag or self._heard_since(id, missing):
                    continue
                del self._first_listed[id]
                del self._missing[id]
                if id in self.fleet.records:
                    self.cx.log("info", f"machine {id} is gone from the cloud")
                    gone.append(id)
        self._drop_records(gone)

    def _heard_since(self, id: MachineId, at: Instant) -> bool:
        record = self.fleet.records.get(id)
        load = self.loads.get(record.share) if record else None
        info = load.machines.get(str(id)) if load else None
        return load is not None and info is not None and info[0] >= 0 and load.at - info[0] > at

    def _drop_records(self, ids: list[MachineId]) -> None:
        """Machines that are surely gone. Their ids stay in the store: late copies of their
        reports must not bring them back, whoever leads by then."""
        if not self.leading:
            return
        ids = [id for id in ids if id in self.fleet.records]
        self._released.update(ids)
        size = max(1, self.cx.platform.settings.state.txn_ops)
        for n in range(0, len(ids), size):
            self._drop_batch(ids[n:n + size])
        surplus = len(self.fleet.gone) - REMEMBERED * max(self._largest, 250)
        if surplus > 0:
            oldest = sorted(self.fleet.gone)[:min(surplus, size)]
            self.store.commit([self._guard()], [(MACHINE + id, None, None) for id in oldest],
                              lambda result, stamp: None, Store.LATER)

    def _drop_batch(self, ids: list[MachineId]) -> None:
        def done(result: str, stamp: Stamp) -> None:
            if result != "ok":
                self._drop_later.extend(id for id in ids if id in self.fleet.records)

        when = [(MACHINE + id, int(self.fleet.records[id].stamp)) for id in ids]
        self.store.commit([self._guard(), *when],
                          [(MACHINE + id, {"gone": True}, None) for id in ids], done, Store.OWNER)

    def reported_unknown(self, report: Report) -> None:
        """A worker reports whose machine nobody recorded: a late hire, an old fleet, or a
        late copy of a report of a machine that is gone."""
        if report.machine in self.fleet.gone:
            return
        if self.leading:
            self._check_unknown(report.machine, report.addr, report.type, report.zone,
                                report.spot)
        else:
            leader = self.leader()
            if leader and leader != self.cx.me:
                self.cx.out.append(Say(self._member(leader), {
                    "t": "unknown", "id": report.machine, "addr": report.addr,
                    "type": report.type, "zone": report.zone, "spot": report.spot}))

    def told_unknown(self, message: dict[str, Any]) -> None:
        if self.leading:
            self._check_unknown(MachineId(str(message["id"])), str(message["addr"]),
                                str(message["type"]), str(message["zone"]), bool(message["spot"]))

    def _check_unknown(self, id: MachineId, addr: str, type_: str, zone: str, spot: bool
                       ) -> None:
        """A report is no proof that its machine exists: the cloud's list is, or the worker
        itself, asked now."""
        if id in self.fleet.gone or id in self._released or id in self.fleet.records:
            return
        if id in self._listed_now:
            self._adopt([(id, type_, zone, spot, None)])
        elif id not in self._asking and addr:
            self._asking.add(id)

            def done(outcome: Outcome) -> None:
                self._asking.discard(id)
                live = outcome.body
                if isinstance(live, Report) and live.machine == id and self.leading:
                    self._adopt([(id, live.type, live.zone, live.spot, None)])

            self.cx.out.append(Probe(done, addr))

    def _adopt(self, found: list[tuple[MachineId, str, str, bool, ShareNo | None]]) -> None:
        """Record machines, for the share named or the one that has least; as many at once as
        a transaction takes."""
        batch: list[MachineId] = []
        counts: tuple[dict[ShareNo, float], dict[tuple[ShareNo, str], int]] | None = None
        for id, type_, zone, spot, share in found:
            if (id in self._adopting or id in self.fleet.records or id in self._released
                    or id in self.fleet.gone or type_ not in self.fleet.types):
                continue
            if share is None:
                counts = counts or self._counts()
                share = self._poorest(type_, *counts)
                counts[0][share] += self.fleet.types[type_].cpus
                counts[1][share, type_] = counts[1].get((share, type_), 0) + 1
            self._adopting[id] = Record(share, type_, zone, spot, False, ABSENT)
            batch.append(id)
        size = max(1, self.cx.platform.settings.state.txn_ops)
        for n in range(0, len(batch), size):
            self._record(batch[n:n + size])

    def _record(self, ids: list[MachineId]) -> None:
        def done(result: str, stamp: Stamp) -> None:
            for id in ids:
                record = self._adopting.pop(id, None)
                # One of them has a record already: the others one by one.
                if (result == "conflict" and len(ids) > 1 and record is not None
                        and id not in self.fleet.records and id not in self.fleet.gone):
                    self._adopting[id] = record
                    self._record([id])

        self.store.commit([self._guard(), *((MACHINE + id, int(ABSENT)) for id in ids)],
                          [(MACHINE + id, self._adopting[id].value(), None) for id in ids],
                          done, Store.OWNER)

    def _wanted(self, share: ShareNo) -> float:
        """What a share should hold of the fleet, in CPUs: its waiting and running requests,
        and before there are any, as its teams are many."""
        teams = sum(1 for team in self.cx.platform.settings.teams
                    if self.shares.of_team(Team(team.name)) == share)
        load = self.loads.get(share)
        waiting = sum(n.size.cpus * n.count for n in load.needs) if load else 0.0
        return max(teams, 0.5) + (load.used if load else 0.0) + waiting

    def _counts(self) -> tuple[dict[ShareNo, float], dict[tuple[ShareNo, str], int]]:
        """CPUs of each share, and machines by share and type. Those on their way into the
        records count too, or a whole list goes to one share."""
        cpus = dict.fromkeys(self.shares.all(), 0.0)
        same: dict[tuple[ShareNo, str], int] = {}
        for record in (*self.fleet.records.values(), *self._adopting.values()):
            if not record.leaving and record.type in self.fleet.types:
                cpus[record.share] += self.fleet.types[record.type].cpus
                key = (record.share, record.type)
                same[key] = same.get(key, 0) + 1
        return cpus, same

    def _poorest(self, type_: str, cpus: dict[ShareNo, float],
                 same: dict[tuple[ShareNo, str], int]) -> ShareNo:
        """The share that a machine without one goes to: least for what it wants."""
        return min(self.shares.all(), key=lambda s: (cpus[s] / self._wanted(s),
                                                     same.get((s, type_), 0), s))

    # --- releasing -----------------------------------------------------------------------

    def _release_leaving(self) -> None:
        later, self._drop_later = self._drop_later, []
        self._drop_records(later)
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
                self._drop_records(ids)

        self.cx.out.append(Release(done, ids))

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
            took = (self.cx.now - since) / max(type_.boot_s, 1.0)
            self._boots.setdefault(type_.name, deque(maxlen=BOOTS_SEEN)).append(took)

    def _plan(self) -> None:
        now = self.cx.now
        self._largest = max(self._largest, len(self.fleet.records))
        self._cpus, _ = self._counts()
        booting: dict[ShareNo, dict[Place, float]] = {s: {} for s in self.shares.all()}
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
            self._note_boots(id, type_, info is not None and info[0] >= 0)
            if info is None or info[0] < 0:
                if now - since < self._late_after(type_):
                    place = (record.type, record.zone, record.spot)
                    there = booting[record.share]
                    there[place] = there.get(place, 0.0) + 1.0
                elif info is not None and now - since >= self._boot_limit(type_):
                    # Never came up, or much too late: returned and replaced elsewhere.
                    self.cx.log("info", f"machine {id} did not come up, returned")
                    self._note_refusal(record.type, record.zone, record.spot, 10.0)
                    self._ask_owner(record.share, {"t": "retire", "machine": id})
                    again = Instant(now - self._boot_limit(type_) + 3.0)
                    self._recorded_at[id] = (record.stamp, again)
                    self._booting.pop(id, None)
            elif info[1] >= 0:
                idle[record.share].append((info[1], id, record))
        # What is being hired or recorded counts as on its way, or it would be hired again.
        for record in self._adopting.values():
            place = (record.type, record.zone, record.spot)
            booting[record.share][place] = booting[record.share].get(place, 0.0) + 1.0
        for rent, shares in self._pending_hires.values():
            for share in shares:
                place = (rent.type, rent.zone, rent.spot)
                booting[share][place] = booting[share].get(place, 0.0) + 1.0
        for share in self.shares.all():
            idle[share].sort(reverse=True)
        unmet: dict[ShareNo, list[Need]] = {}
        for share in self.shares.all():
            load = self.loads.get(share)
            if load is not None and now - load.at < 5.0:
                unmet[share] = self._left_over(load.needs, booting[share])
        self._move_idle(unmet, idle)
        self._hire_for(unmet)
        self._vacate_for(unmet)
        self._balance()
        self._keep_spare(idle)

    def _left_over(self, needs: list[Need], booting: dict[Place, float]) -> list[Need]:
        """Needs that the machines on their way will not meet, taken by their number: which
        task will go to which of them is not decided here."""
        left = dict(booting)
        for need in needs:
            need.count = need.hire
            for place, machines in left.items():
                if machines <= 0 or not self._serves(need, *place):
                    continue
                each = fits_times(need.size, self.fleet.types[place[0]].size)
                if each and need.count > 0:
                    n = min(need.count, math.floor(machines * each + 1e-6))
                    need.count -= n
                    left[place] = machines - n / each
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
                    for entry in list(idle[other]):
                        seconds, id, record = entry
                        type_ = self.fleet.types[record.type]
                        n = fits_times(need.size, type_.size)
                        if need.count <= 0 or seconds < 1.0:
                            break
                        if n and self._serves(need, record.type, record.zone, record.spot):
                            need.count -= n
                            idle[other].remove(entry)
                            self._ask_owner(other, {"t": "give", "machine": id, "share": share})

    def _vacate_for(self, unmet: dict[ShareNo, list[Need]]) -> None:
        """Lesser work elsewhere makes way for what cheap machines can't take: within a share
        the scheduler stops it, but what is busy in another share never falls empty by itself
        while arrays wait there."""
        now = self.cx.now
        if now < self._vacate_at:
            return
        waiting = sorted(((need.rank, -need.age, share, need) for share, needs in unmet.items()
                          for need in needs if need.asked > 0 and not need.spot
                          and need.age >= VACATE_AFTER_S), key=lambda w: w[:3])
        for _, _, share, need in waiting:
            others = sorted({r.share for r in self.fleet.records.values()
                             if r.share != share and not r.leaving
                             and self._serves(need, r.type, r.zone, r.spot)})
            if others:
                self._vacate_at = Instant(now + 1.0)
                other = self.cx.rng.choice(others)
                self._ask_owner(other, {"t": "vacate", "share": other, "to": share,
                                        "need": need.raw})
                return

    def _balance(self) -> None:
        """Shares are sized by what waits and runs. While all of them are short no machine falls
        empty by itself, so the share that has most for what it asks yields some to the one that
        has least."""
        now = self.cx.now
        if now < self._balance_at:
            return
        asked = {s: load.used + sum(n.size.cpus * n.asked for n in load.needs)
                 for s, load in self.loads.items() if now - load.at < 5.0}
        total, capacity = sum(asked.values()), sum(self._cpus[s] for s in asked)
        if len(asked) < 2 or total <= capacity or capacity <= 0:
            return
        self._balance_at = Instant(now + BALANCE_EVERY_S)
        lacks = {s: capacity * asked[s] / total - self._cpus[s] for s in asked}
        to = max(lacks, key=lambda s: lacks[s])
        share = min(lacks, key=lambda s: lacks[s])
        if asked[to] * self._cpus[share] < UNEVEN * asked[share] * self._cpus[to]:
            return
        need = max((n for n in self.loads[to].needs if n.asked > 0),
                   key=lambda n: n.size.cpus * n.asked, default=None)
        # Half of it: what is asked for changes while machines fall empty.
        cpus = min(lacks[to], -lacks[share]) / 2
        if need is not None:
            self._ask_owner(share, {"t": "yield", "share": share, "to": to, "cpus": cpus,
                                    "need": need.raw})

    def _yield(self, message: dict[str, Any]) -> None:
        """Machines of that many CPUs, those promised before included, go as they fall empty."""
        share, to = ShareNo(int(message["share"])), ShareNo(int(message["to"]))
        need = Need(message["need"])
        if (not self.shares.may_command(share) or to == share
                or not 0 <= to < len(self.cx.members)):
            return
        half = left = float(message["cpus"])
        for id, (other, _) in self._promised.items():
            machine = self.fleet.machines.get(id)
            if machine is not None and machine.type is not None and other == to:
                left -= machine.type.cpus
        for machine in self.scheduler.moves.soon_empty(
                share, lambda m: self._serves(need, m.record.type, m.record.zone, m.record.spot)
                and m.type is not None and need.size.fits(m.type.size)):
            assert machine.type is not None
            # A machine may be more than half of the difference, if it is no more than all of it.
            if machine.type.cpus <= left or half == left >= machine.type.cpus / 2:
                left -= machine.type.cpus
                machine.draining_until = Instant(self.cx.now + YIELD_S)
                self._promised[machine.id] = (to, machine.draining_until)

    def _vacate(self, message: dict[str, Any]) -> None:
        share, to = ShareNo(int(message["share"])), ShareNo(int(message["to"]))
        need = Need(message["need"])
        if (not self.shares.may_command(share) or to == share
                or not 0 <= to < len(self.cx.members)
                or any(job.spec.rank <= need.rank for job, _, _
                       in self.scheduler.unmet.get(share, ()))):
            return
        machine = self.scheduler.moves.vacate(
            share, need.rank, need.size,
            lambda m: self._serves(need, m.record.type, m.record.zone, m.record.spot))
        if machine is not None:
            self.cx.log("info", f"machine {machine.id}: makes way for share {to}")
            self._promised[machine.id] = (to, Instant(self.cx.now + VACATE_S))

    def _give_promised(self) -> None:
        for id, (to, until) in list(self._promised.items()):
            machine = self.fleet.machines.get(id)
            if machine is None or self.cx.now > until:
                del self._promised[id]
            elif (not machine.busy and not machine.moving and not machine.record.leaving
                    and self.shares.may_command(machine.share.number)):
                del self._promised[id]
                self.change_record(machine, share=to)

    # --- hiring --------------------------------------------------------------------------

    def _note_refusal(self, type_: str, zone: str, spot: bool, least: float = 4.0) -> None:
        key = (type_, zone, spot)
        pause = min(60.0, max(least, self._refused.get(key, (0.0, self.cx.now))[0] * 2))
        self._refused[key] = (pause, Instant(self.cx.now + pause))

    def _options(self, need: Need) -> list[tuple[float, MachineType, str, bool]]:
        """Where machines for such tasks may be hired: price for one task, type, zone, spot."""
        now = self.cx.now
        options = []
        for type_ in self.fleet.types.values():
            n = fits_times(need.size, type_.size)
            if not n:
                continue
            for zone in type_.zones or self.cx.platform.settings.zones:
                for spot in (False, True):
                    if not self._serves(need, type_.name, zone, spot):
                        continue
                    # Dear machines for work that may use cheap ones: only if it has waited.
                    if need.spot and not spot and need.age < 0.5 * type_.boot_s:
                        continue
                    if self._refused.get((type_.name, zone, spot), (0.0, now))[1] > now:
                        continue
                    price = type_.spot_price if spot else type_.price
                    options.append((price / min(n, need.count), type_, zone, spot))
        return options

    def _hire_for(self, unmet: dict[ShareNo, list[Need]]) -> None:
        """Hire what the needs of all shares come to, in few requests: the cloud's are scarce."""
        wanted: dict[tuple[ShareNo, str, bool, tuple[str, ...]], float] = {}
        for share, needs in unmet.items():
            for need in needs:
                options = self._options(need) if need.count > 0 else []
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
        most = max(2, round(2 * self.cx.platform.settings.cloud.rps))
        for place, shares in sorted(hires.items(), key=lambda h: -len(h[1])):
            # In turn, so that each share has its part of what is granted.
            shares = _in_turn(shares)
            for n in range(0, len(shares), MAX_HIRE):
                if len(self._pending_hires) >= most:
                    return
                self._hire(place, shares[n:n + MAX_HIRE])

    def _hire(self, place: Place, shares: list[ShareNo]) -> None:
        self._hires += 1
        # The leader's epoch makes the name unique among all leaders there ever were.
        name = f"r-{self.store.stamp(LEADER)}-{self._hires}"
        rent = Rent(lambda outcome: self._hired(name, outcome), name, *place, len(shares))
        self._pending_hires[name] = (rent, shares)
        self.cx.out.append(rent)

    def _hired(self, name: str, outcome: Outcome) -> None:
        rent, shares = self._pending_hires.pop(name)
        if outcome.status == 200:
            ids: tuple[MachineId, ...] = outcome.body
            self.cx.log("info", f"hired {len(ids)} of {rent.number} {rent.type} in {rent.zone}"
                                f"{' (spot)' if rent.spot else ''}")
            if len(ids) < rent.number:
                self._note_refusal(rent.type, rent.zone, rent.spot)
            else:
                self._refused.pop((rent.type, rent.zone, rent.spot), None)
            if self.leading:
                self._booting.update((id, Instant(outcome.began)) for id in ids)
                self._adopt([(id, rent.type, rent.zone, rent.spot, share)
                             for id, share in zip(ids, shares, strict=False)])
        elif outcome.status == 503:
            self._note_refusal(rent.type, rent.zone, rent.spot)
        else:
            # Too many requests, or of unknown fate: what was hired turns up in the list.
            key = (rent.type, rent.zone, rent.spot)
            self._refused[key] = (self._refused.get(key, (0.0, START))[0],
                                  Instant(self.cx.now + 1.0))

    def _keep_spare(self, idle: dict[ShareNo, list[tuple[float, MachineId, Record]]]) -> None:
        """Return what stays empty, beyond what was in use at once lately and a spare part."""
        now = self.cx.now
        demand = sum(load.used + sum(n.size.cpus * n.count for n in load.needs)
                     for load in self.loads.values())
        self._peaks.append((now, demand))
        window = self.cx.operators.peak_window
        while self._peaks and self._peaks[0][0] < now - window:
            self._peaks.popleft()
        keep = max(d for _, d in self._peaks) * self.cx.operators.headroom
        capacity = sum(self._cpus.values())
        if now >= self._summed_at + 30.0:
            self._summed_at = now
            # What is in the store as gone, or has no record any more, need not be kept twice.
            self._released -= self.fleet.gone
            for known in (self._recorded_at, self._booting):
                for id in [id for id in known if id not in self.fleet.records]:
                    del known[id]
            cheap = sum(r.spot for r in self.fleet.records.values())
            self.cx.log("info", f"fleet: {len(self.fleet.records)} machines, {cheap} cheap,"
                                f" {sum(map(len, idle.values()))} empty; {capacity:.0f} CPUs,"
                                f" {sum(ld.used for ld in self.loads.values()):.0f} used,"
                                f" {demand:.0f} asked, {keep:.0f} kept")
        largest = self._largest_tasks() if any(idle.values()) else {}
        for share in self.shares.all():
            for seconds, id, record in sorted(idle[share], key=lambda i: (i[2].spot, -i[0])):
                type_ = self.fleet.types[record.type]
                limit = self.cx.operators.idle_return
                if limit is None:
                    # A machine costs its boot again, and a minute at the least.
                    limit = min(max(60.0 - type_.boot_s, 0.5 * type_.boot_s), 45.0)
                if (seconds > limit and capacity - type_.cpus >= keep
                        and self._free_of(share) - type_.cpus >= largest.get(share, 0.0)):
                    capacity -= type_.cpus
                    self._cpus[share] -= type_.cpus
                    self._ask_owner(share, {"t": "retire", "machine": id})
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
        slack = {s: self._cpus[s] - self.loads[s].used
                 for s in self.shares.all() if s in self.loads}
        if slack:
            share = max(slack, key=lambda s: slack[s])
            if slack[share] > 1.25 * largest:
                self._drain_at = Instant(self.cx.now + 4.0)
                # A large surplus would last for many such steps: an eighth of it at once.
                number = max(1, int((capacity - keep) / largest / 8))
                self._ask_owner(share, {"t": "drain", "share": share, "n": number})

    # --- what the leader asks of owners --------------------------------------------------

    def asked(self, message: dict[str, Any]) -> None:
        if message["t"] == "given":
            self.fleet.given(message)
            return
        if message["t"] == "vacate":
            self._vacate(message)
            return
        if message["t"] == "yield":
            self._yield(message)
            return
        if message["t"] == "drain":
            share = ShareNo(int(message["share"]))
            if self.shares.may_command(share):
                self.scheduler.moves.drain(share, int(message["n"]))
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
        limit = self.fleet.patience()
        for holding in self.shares.mine.values():
            if not self.shares.may_command(holding.number):
                continue
            machines = self.fleet.of_share(holding.number)
            known = [m for m in machines if m.heard >= 0 or m.record.stamp <= holding.epoch]
            silent = [m for m in known if now - max(m.heard, holding.since) > limit
                      or self.fleet.unreached_s(m) > limit]
            # If most are, it is rather this node that hears nothing or reaches none. Their
            # leases end all the same, since they are not answered.
            if len(silent) > max(1, len(known) // 2):
                continue
            for m in silent:
                if not m.record.leaving and not m.moving:
                    why = "silent" if now - m.heard > limit else "heard, but not reached"
                    self.cx.log("warning", f"machine {m.id}: {why}, returned")
                    self.change_record(m, leaving=True)
