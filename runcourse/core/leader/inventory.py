"""Which machines there are: the cloud's list, adopting what nobody recorded, returning, and the
records of what is gone. Only the leader changes any of it."""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

from ...wire.peer_messages import UnknownMachine
from ..context import Context
from ..ids import (
    LONG_AGO,
    Instant,
    MachineId,
    Member,
    ShareNo,
    Stamp,
    creation_order,
)
from ..machines import Fleet
from ..store import CommitResult, Store
from ..stored_values import MACHINE, GoneMachine
from ..types import (
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
from .adoption import Adoption, FoundMachine, halves
from .demand import LOAD_VALID_S, LoadReport
from .fleet_view import FleetView

MAX_RELEASE = 100  # machines in one request, by the protocol
LIST_PAGE = 500  # the same, in one page of the list
LIST_PART = 0.25  # of the cloud's rate, that reading its list takes at the most
LEAST_LIST_S = 3.0  # between two readings
REMEMBERED = 4  # ids of returned machines kept in the store, by machine of the largest fleet


class Inventory:
    """The leader's view of what the cloud has given."""

    def __init__(
        self,
        context: Context,
        store: Store,
        fleet: Fleet,
        adoption: Adoption,
        loads: dict[ShareNo, LoadReport],
        view: FleetView,
        leading: Callable[[], bool],
        leader: Callable[[], str | None],
        guard: Callable[[], Condition],
    ) -> None:
        self.context = context
        self.store = store
        self.fleet = fleet
        self.adoption = adoption
        self.loads = loads
        self.view = view
        self.leading = leading
        self.leader = leader
        self.guard = guard
        self.largest_fleet = 0  # machines there were at once
        self._releasing: set[MachineId] = set()
        self._listed_now: set[MachineId] = set()  # in the newest list
        self._asking: set[MachineId] = set()  # reported, unknown, and asked themselves
        # A whole unknown fleet may report at once; whoever is not asked now reports again.
        self._max_probes = context.platform.settings.quota.sockets(len(context.members)).probes
        self._drop_later: list[MachineId] = []
        self._first_listed: dict[MachineId, Instant] = {}
        self._missing_since: dict[
            MachineId, Instant
        ] = {}  # listed once and not any more, since when
        self._list_at = LONG_AGO
        self._listing = False

    def begin(self) -> None:
        """Leadership begins: what an earlier one saw is old."""
        self._first_listed.clear()
        self._missing_since.clear()

    def tick(self) -> None:
        """Read the cloud's list when it is time."""
        if not self._listing and self.context.now >= self._list_at + self._list_every_s():
            self._list()

    def _list_every_s(self) -> float:
        """A list of many pages is read less often: hires and returns need the cloud's rate too."""
        cloud = self.context.platform.settings.cloud
        pages = math.ceil(len(self._listed_now) / LIST_PAGE)
        return max(cloud.list_lag_s / 2, LEAST_LIST_S, pages / (LIST_PART * cloud.rps))

    def tidy(self) -> None:
        """What is in the store as gone need not be kept twice."""
        self.adoption.returned -= self.fleet.gone

    def _list(self) -> None:
        began = self.context.now
        self._listing = True
        self._list_at = began

        def done(outcome: Outcome) -> None:
            self._listing = False
            if outcome.status == 200 and self.leading():
                self._handle_list(outcome.body, began)

        self.context.emit(ListMachines(done))

    def _handle_list(self, machines: tuple[CloudMachine, ...], began: Instant) -> None:
        lag = self.context.platform.settings.cloud.list_lag_s
        present: set[MachineId] = set()
        found: list[FoundMachine] = []
        failed: list[MachineId] = []
        for m in machines:
            present.add(m.id)
            first = self._first_listed.setdefault(m.id, began)
            if m.id in self.adoption.returned or m.id in self.fleet.gone:
                continue
            self.fleet.learn_addr(m.id, m.addr)
            if m.id not in self.fleet.records:
                found.append(FoundMachine(m.id, m.type, m.zone, m.spot))
            elif m.stage == "failed" and began >= first:
                failed.append(m.id)
        self._listed_now = present
        self.adoption.adopt(found)
        for n in range(0, len(failed), MAX_RELEASE):
            self._release(failed[n : n + MAX_RELEASE])
        # Once listed, a machine stays listed until it is gone; but a list may be older than
        # the one before it, by no more than twice the lag.
        gone = []
        for id, first in list(self._first_listed.items()):
            if id in present:
                self._missing_since.pop(id, None)
            elif began > first + 2 * lag + 1.0:
                # Should lists be older still than they may be: one alone proves nothing, and
                # no list makes a machine gone that was heard since it may have been made.
                missing = self._missing_since.setdefault(id, began)
                if began < missing + lag or self._may_still_exist(id, missing):
                    continue
                del self._first_listed[id]
                del self._missing_since[id]
                if id in self.fleet.records:
                    self.context.log("info", f"machine {id} is gone from the cloud")
                    gone.append(id)
        self._drop_records(gone)

    def _may_still_exist(self, id: MachineId, missing: Instant) -> bool:
        """Does its owner's word speak against its being gone since then?"""
        sighting = self.view.sighting(id)
        if sighting is None:
            return False
        told_at, told = sighting
        if told.heard_ago_s >= 0 and told_at - told.heard_ago_s > missing:
            return True
        # Owners tell of their machines in turn: an older word is followed by a newer one.
        load = self.loads.get(self.fleet.records[id].share) if id in self.fleet.records else None
        owner_speaks = load is not None and self.context.now < load.at + LOAD_VALID_S
        return owner_speaks and told_at <= missing

    def _drop_records(self, ids: list[MachineId]) -> None:
        """Machines that are surely gone. Their ids stay in the store: late copies of their
        reports must not bring them back, whoever leads by then."""
        if not self.leading():
            return
        ids = [id for id in ids if id in self.fleet.records]
        self.adoption.returned.update(ids)
        size = max(1, self.context.limits.txn_ops)
        # The first at once, as tasks may wait for the word that theirs are gone; many go behind
        # what users ask, or the leader would refuse them while a fleet is returned.
        for n in range(0, len(ids), size):
            self._drop_batch(ids[n : n + size], Store.LATER if n else Store.OWNER)
        self._forget_gone(len(ids))

    def _forget_gone(self, added: int) -> None:
        """Keep the ids of returned machines bounded: forget more of them than were added."""
        surplus = len(self.fleet.gone) - REMEMBERED * max(self.largest_fleet, 250)
        if surplus <= 0:
            return
        size = max(1, self.context.limits.txn_ops)
        number = min(surplus, size + 2 * added)
        oldest = heapq.nsmallest(number, self.fleet.gone, key=creation_order)
        for n in range(0, len(oldest), size):
            self.store.commit(
                [self.guard()],
                [Write(MACHINE + id, None) for id in oldest[n : n + size]],
                lambda result, stamp: None,
                Store.LATER,
            )

    def _drop_batch(self, ids: list[MachineId], urgency: int) -> None:
        def done(result: CommitResult, stamp: Stamp) -> None:
            if result is CommitResult.REJECTED:
                for part in halves(ids):
                    self._drop_batch(part, urgency)
            elif result is not CommitResult.OK:
                self._drop_later.extend(id for id in ids if id in self.fleet.records)

        when = [Condition(MACHINE + id, self.fleet.records[id].stamp) for id in ids]
        self.store.commit(
            [self.guard(), *when],
            [Write(MACHINE + id, GoneMachine()) for id in ids],
            done,
            urgency,
        )

    def handle_unknown_report(self, report: Report) -> None:
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
        if id in self.fleet.gone or id in self.adoption.returned or id in self.fleet.records:
            return
        if id in self._listed_now:
            self.adoption.adopt([FoundMachine(id, type_, zone, spot)])
        elif id not in self._asking and addr and len(self._asking) < self._max_probes:
            self._asking.add(id)

            def done(outcome: Outcome) -> None:
                self._asking.discard(id)
                live = outcome.body
                if isinstance(live, Report) and live.machine == id and self.leading():
                    self.adoption.adopt([FoundMachine(id, live.type, live.zone, live.spot)])

            self.context.emit(Probe(done, addr))

    def release_leaving(self) -> None:
        """Return the machines that are marked as leaving."""
        later, self._drop_later = self._drop_later, []
        self._drop_records(later)
        leaving = [
            id
            for id in self.fleet.leaving
            if id not in self._releasing and id not in self.adoption.returned
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
