"""Which machines there are: the cloud's list, adopting what nobody recorded, returning, and the
records of what is gone. Only the leader changes any of it."""

from __future__ import annotations

from collections.abc import Callable

from ..wire.peer_messages import UnknownMachine
from .context import Context
from .demand import LoadReport
from .ids import ABSENT, LONG_AGO, Instant, MachineId, Member, ShareNo, Stamp, Team
from .machine import Record
from .machines import Fleet
from .shares import Shares
from .store import CommitResult, Store
from .stored_values import MACHINE, GoneMachine
from .types import (
    CloudMachine,
    Condition,
    ListMachines,
    Outcome,
    Probe,
    Release,
    Report,
    SendToPeer,
    Write,
)

MAX_RELEASE = 100
REMEMBERED = 4  # ids of returned machines kept in the store, by machine of the largest fleet


def halves(ids: list[MachineId]) -> list[list[MachineId]]:
    """Of a batch that the state service doesn't take; one alone is given up."""
    middle = len(ids) // 2
    return [ids[:middle], ids[middle:]] if middle else []


class Inventory:
    """The leader's view of what the cloud has given."""

    def __init__(
        self,
        context: Context,
        store: Store,
        shares: Shares,
        fleet: Fleet,
        loads: dict[ShareNo, LoadReport],
        leading: Callable[[], bool],
        leader: Callable[[], str | None],
        guard: Callable[[], Condition],
    ) -> None:
        self.context = context
        self.store = store
        self.shares = shares
        self.fleet = fleet
        self.loads = loads
        self.leading = leading
        self.leader = leader
        self.guard = guard
        self.largest = 0  # machines there were at once
        self._releasing: set[MachineId] = set()
        self._released: set[MachineId] = set()
        self._adopting: dict[MachineId, Record] = {}  # being recorded
        self._listed_now: set[MachineId] = set()  # in the newest list
        self._asking: set[MachineId] = set()  # reported, unknown, and asked themselves
        self._drop_later: list[MachineId] = []
        self._first_listed: dict[MachineId, Instant] = {}
        self._missing: dict[MachineId, Instant] = {}  # listed once and not any more, since when
        self._list_at = LONG_AGO
        self._listing = False

    def begin(self) -> None:
        """Leadership begins: what an earlier one saw is old."""
        self._first_listed.clear()
        self._missing.clear()

    def tick(self) -> None:
        """Read the cloud's list when it is time."""
        lag = self.context.platform.settings.cloud.list_lag_s
        if not self._listing and self.context.now >= self._list_at + max(lag / 2, 3.0):
            self._list()

    def adopting(self) -> list[Record]:
        """Records that are being stored."""
        return list(self._adopting.values())

    def tidy(self) -> None:
        """What is in the store as gone need not be kept twice."""
        self._released -= self.fleet.gone

    def _list(self) -> None:
        began = self.context.now
        self._listing = True
        self._list_at = began

        def done(outcome: Outcome) -> None:
            self._listing = False
            if outcome.status == 200 and self.leading():
                self._listed(outcome.body, began)

        self.context.emit(ListMachines(done))

    def _listed(self, machines: tuple[CloudMachine, ...], began: Instant) -> None:
        lag = self.context.platform.settings.cloud.list_lag_s
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
        self.adopt(found)
        for n in range(0, len(failed), MAX_RELEASE):
            self._release(failed[n : n + MAX_RELEASE])
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
                    self.context.log("info", f"machine {id} is gone from the cloud")
                    gone.append(id)
        self._drop_records(gone)

    def _heard_since(self, id: MachineId, at: Instant) -> bool:
        record = self.fleet.records.get(id)
        load = self.loads.get(record.share) if record else None
        info = load.machines.get(str(id)) if load else None
        return (
            load is not None
            and info is not None
            and info.heard_ago_s >= 0
            and load.at - info.heard_ago_s > at
        )

    def _drop_records(self, ids: list[MachineId]) -> None:
        """Machines that are surely gone. Their ids stay in the store: late copies of their
        reports must not bring them back, whoever leads by then."""
        if not self.leading():
            return
        ids = [id for id in ids if id in self.fleet.records]
        self._released.update(ids)
        size = max(1, self.context.limits.txn_ops)
        for n in range(0, len(ids), size):
            self._drop_batch(ids[n : n + size])
        surplus = len(self.fleet.gone) - REMEMBERED * max(self.largest, 250)
        if surplus > 0:
            oldest = sorted(self.fleet.gone)[: min(surplus, size)]
            self.store.commit(
                [self.guard()],
                [Write(MACHINE + id, None) for id in oldest],
                lambda result, stamp: None,
                Store.LATER,
            )

    def _drop_batch(self, ids: list[MachineId]) -> None:
        def done(result: CommitResult, stamp: Stamp) -> None:
            if result is CommitResult.REJECTED:
                for part in halves(ids):
                    self._drop_batch(part)
            elif result is not CommitResult.OK:
                self._drop_later.extend(id for id in ids if id in self.fleet.records)

        when = [Condition(MACHINE + id, self.fleet.records[id].stamp) for id in ids]
        self.store.commit(
            [self.guard(), *when],
            [Write(MACHINE + id, GoneMachine()) for id in ids],
            done,
            Store.OWNER,
        )

    def reported_unknown(self, report: Report) -> None:
        """A worker reports whose machine nobody recorded: a late hire, an old fleet, or a
        late copy of a report of a machine that is gone."""
        if report.machine in self.fleet.gone:
            return
        if self.leading():
            self._check_unknown(report.machine, report.addr, report.type, report.zone, report.spot)
        else:
            leader = self.leader()
            if leader and leader != self.context.me:
                self.context.emit(
                    SendToPeer(
                        Member(leader),
                        UnknownMachine(
                            report.machine, report.addr, report.type, report.zone, report.spot
                        ),
                    )
                )

    def handle_unknown_machine(self, message: UnknownMachine) -> None:
        """A peer had a report of a machine without a record."""
        if self.leading():
            self._check_unknown(message.id, message.addr, message.type, message.zone, message.spot)

    def _check_unknown(self, id: MachineId, addr: str, type_: str, zone: str, spot: bool) -> None:
        """A report is no proof that its machine exists: the cloud's list is, or the worker
        itself, asked now."""
        if id in self.fleet.gone or id in self._released or id in self.fleet.records:
            return
        if id in self._listed_now:
            self.adopt([(id, type_, zone, spot, None)])
        elif id not in self._asking and addr:
            self._asking.add(id)

            def done(outcome: Outcome) -> None:
                self._asking.discard(id)
                live = outcome.body
                if isinstance(live, Report) and live.machine == id and self.leading():
                    self.adopt([(id, live.type, live.zone, live.spot, None)])

            self.context.emit(Probe(done, addr))

    def adopt(self, found: list[tuple[MachineId, str, str, bool, ShareNo | None]]) -> None:
        """Record machines, for the share named or the one that has least; as many at once as
        a transaction takes."""
        batch: list[MachineId] = []
        counts: tuple[dict[ShareNo, float], dict[tuple[ShareNo, str], int]] | None = None
        for id, type_, zone, spot, share in found:
            if (
                id in self._adopting
                or id in self.fleet.records
                or id in self._released
                or id in self.fleet.gone
                or type_ not in self.fleet.types
            ):
                continue
            if share is None:
                counts = counts or self.counts()
                share = self._poorest(type_, *counts)
                counts[0][share] += self.fleet.types[type_].cpus
                counts[1][share, type_] = counts[1].get((share, type_), 0) + 1
            self._adopting[id] = Record(share, type_, zone, spot, False, ABSENT)
            batch.append(id)
        size = max(1, self.context.limits.txn_ops)
        for n in range(0, len(batch), size):
            self._record(batch[n : n + size])

    def _record(self, ids: list[MachineId]) -> None:
        def done(result: CommitResult, stamp: Stamp) -> None:
            if result is CommitResult.REJECTED and len(ids) > 1:
                for part in halves(ids):
                    self._record(part)
                return
            for id in ids:
                record = self._adopting.pop(id, None)
                # One of them has a record already: the others one by one.
                if (
                    result is CommitResult.CONFLICT
                    and len(ids) > 1
                    and record is not None
                    and id not in self.fleet.records
                    and id not in self.fleet.gone
                ):
                    self._adopting[id] = record
                    self._record([id])

        self.store.commit(
            [self.guard(), *(Condition(MACHINE + id, ABSENT) for id in ids)],
            [Write(MACHINE + id, self._adopting[id].value()) for id in ids],
            done,
            Store.OWNER,
        )

    def _wanted(self, share: ShareNo) -> float:
        """What a share should hold of the fleet, in CPUs: its waiting and running requests,
        and before there are any, as its teams are many."""
        teams = sum(
            1
            for team in self.context.platform.settings.teams
            if self.shares.of_team(Team(team.name)) == share
        )
        load = self.loads.get(share)
        waiting = sum(n.size.cpus * n.count for n in load.demands) if load else 0.0
        return max(teams, 0.5) + (load.used if load else 0.0) + waiting

    def counts(self) -> tuple[dict[ShareNo, float], dict[tuple[ShareNo, str], int]]:
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

    def _poorest(
        self, type_: str, cpus: dict[ShareNo, float], same: dict[tuple[ShareNo, str], int]
    ) -> ShareNo:
        """The share that a machine without one goes to: least for what it wants."""
        return min(
            self.shares.all(), key=lambda s: (cpus[s] / self._wanted(s), same.get((s, type_), 0), s)
        )

    def release_leaving(self) -> None:
        """Return the machines that are marked as leaving."""
        later, self._drop_later = self._drop_later, []
        self._drop_records(later)
        leaving = [
            id for id, r in self.fleet.records.items() if r.leaving and id not in self._releasing
        ]
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

        self.context.emit(Release(done, ids))
