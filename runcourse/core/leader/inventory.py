"""Inventory of the fleet: the cloud's list, unrecorded machines, and returned machines.

A machine's record is its entry in the store. When the machine is gone, a marker replaces the
record. In this module only the leader changes either.
"""

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
from .adoption import Adoption, FoundMachine, split_batch
from .demand import LOAD_VALID_S, LoadReport
from .fleet_view import FleetView

MAX_RELEASE = 100  # machines in one request to return them, by the cloud's protocol
LIST_PAGE = 500  # machines in one page of the cloud's list, by its protocol
LIST_RATE_FRACTION = 0.25  # of the cloud's rate limit, used at most for reading the list
MIN_LIST_INTERVAL_S = 3.0  # between two readings of the list
LISTS_PER_LAG = 2  # readings of the list within the time by which it may be out of date
STALE_LIST_LAGS = 2  # times `list_lag_s`: a list is older than the one before by at most this
STALE_LIST_SLACK_S = 1.0  # added to the time by which a list may be older than the one before
GONE_IDS_PER_MACHINE = 4  # ids of gone machines kept in the store, per machine of the largest fleet
MIN_FLEET_FOR_GONE_IDS = 250  # machines; a smaller fleet keeps as many ids as one of this size
FORGOTTEN_PER_ADDED = 2  # ids deleted per id added, besides one transaction of deletions


class Inventory:
    """Records the machines that the cloud has provided, and marks those that are gone."""

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
        self.largest_fleet = 0  # highest number of recorded machines in any plan of this node
        self._releasing: set[MachineId] = set()  # in a request to return them, without an answer
        self._listed_now: set[MachineId] = set()  # machines in the newest list of the cloud
        self._probing: set[MachineId] = set()  # unknown machines whose workers are being probed
        # Bounds open probes: all workers of an unknown fleet may report at once. A worker that is
        # not probed now reports again.
        self._max_probes = context.platform.settings.quota.sockets(len(context.members)).probes
        self._drops_to_retry: list[MachineId] = []
        self._first_listed: dict[MachineId, Instant] = {}
        # Machines that were listed before and are no longer, with the instant at which the reading
        # of the first list without them began.
        self._missing_since: dict[MachineId, Instant] = {}
        self._last_list_at = LONG_AGO
        self._listing = False

    def begin(self) -> None:
        """Forgets when machines were first listed and first missing: the lists of an earlier
        leadership are outdated."""
        self._first_listed.clear()
        self._missing_since.clear()

    def tick(self) -> None:
        """Reads the cloud's list of machines when the interval since the last reading is over."""
        if not self._listing and self.context.now >= self._last_list_at + self._list_every_s():
            self._read_list()

    def _list_every_s(self) -> float:
        """Returns the seconds between two readings of the list.

        A list of many pages is read less often, because hires and returns need the cloud's rate
        limit too.
        """
        cloud = self.context.platform.settings.cloud
        pages = math.ceil(len(self._listed_now) / LIST_PAGE)
        return max(
            cloud.list_lag_s / LISTS_PER_LAG,
            MIN_LIST_INTERVAL_S,
            pages / (LIST_RATE_FRACTION * cloud.rps),
        )

    def prune(self) -> None:
        """Drops machines from `Adoption.returned` that have a marker in the store by now."""
        self.adoption.returned -= self.fleet.removed_ids

    def _read_list(self) -> None:
        began = self.context.now
        self._listing = True
        self._last_list_at = began

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
        for machine in machines:
            present.add(machine.id)
            first = self._first_listed.setdefault(machine.id, began)
            if machine.id in self.adoption.returned or machine.id in self.fleet.removed_ids:
                continue
            self.fleet.learn_addr(machine.id, machine.addr)
            if machine.id not in self.fleet.records:
                found.append(FoundMachine(machine.id, machine.type, machine.zone, machine.spot))
            elif machine.stage == "failed" and began >= first:
                failed.append(machine.id)
        self._listed_now = present
        self.adoption.adopt(found)
        for start in range(0, len(failed), MAX_RELEASE):
            self._release(failed[start : start + MAX_RELEASE])
        # Once listed, a machine stays listed until it is gone. But a list may be older than the
        # one before it, by up to twice the lag.
        gone = []
        for id, first in list(self._first_listed.items()):
            if id in present:
                self._missing_since.pop(id, None)
            elif began > first + STALE_LIST_LAGS * lag + STALE_LIST_SLACK_S:
                # Lists may be even older than that, so a single one without the machine doesn't
                # prove that it is gone. Nor do several lists if its owner got a message of it since
                # the first of them.
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
        """Returns whether the machine may exist although lists have omitted it since `missing`.

        That is so if its owner reported a message of it since then, or if the owner's next report
        on it is still to come.
        """
        received = self.view.last_load(id)
        if received is None:
            return False
        received_at, machine_load = received
        if machine_load.heard_ago_s >= 0 and received_at - machine_load.heard_ago_s > missing:
            return True
        # Owners report on their machines a page at a time: a newer report follows an older one.
        load = self.loads.get(self.fleet.records[id].share) if id in self.fleet.records else None
        owner_reports = load is not None and self.context.now < load.at + LOAD_VALID_S
        return owner_reports and received_at <= missing

    def _drop_records(self, ids: list[MachineId]) -> None:
        """Replaces the records of machines that are surely gone by markers.

        The markers keep their ids in the store, so that late copies of their reports don't make
        any later leader record them again.
        """
        if not self.leading():
            return
        ids = [id for id in ids if id in self.fleet.records]
        self.adoption.returned.update(ids)
        size = max(1, self.context.limits.txn_ops)
        # The first batch is urgent, as the tasks of these machines may wait to be started
        # elsewhere. The others are queued behind users' changes; otherwise the leader would
        # refuse users' requests while a fleet is returned.
        for start in range(0, len(ids), size):
            self._drop_batch(ids[start : start + size], Store.BACKGROUND if start else Store.OWNER)
        self._forget_gone(len(ids))

    def _forget_gone(self, added: int) -> None:
        """Deletes the oldest ids of gone machines if too many are stored, more than were added."""
        surplus = len(self.fleet.removed_ids) - GONE_IDS_PER_MACHINE * max(
            self.largest_fleet, MIN_FLEET_FOR_GONE_IDS
        )
        if surplus <= 0:
            return
        size = max(1, self.context.limits.txn_ops)
        number = min(surplus, size + FORGOTTEN_PER_ADDED * added)
        oldest = heapq.nsmallest(number, self.fleet.removed_ids, key=creation_order)
        for start in range(0, len(oldest), size):
            self.store.commit(
                [self.guard()],
                [Write(MACHINE + id, None) for id in oldest[start : start + size]],
                lambda result, stamp: None,
                Store.BACKGROUND,
            )

    def _drop_batch(self, ids: list[MachineId], urgency: int) -> None:
        def done(result: CommitResult, stamp: Stamp) -> None:
            if result is CommitResult.REJECTED:
                for half in split_batch(ids):
                    self._drop_batch(half, urgency)
            elif result is not CommitResult.OK:
                self._drops_to_retry.extend(id for id in ids if id in self.fleet.records)

        when = [Condition(MACHINE + id, self.fleet.records[id].stamp) for id in ids]
        self.store.commit(
            [self.guard(), *when],
            [Write(MACHINE + id, GoneMachine()) for id in ids],
            done,
            urgency,
        )

    def handle_unknown_report(self, report: Report) -> None:
        """Handles a worker's report whose machine has no record.

        The machine may come from a hire whose answer was late or lost or from an old fleet, or the
        report may be a late copy from a machine that is gone. Nodes that don't lead send the
        machine's description to the leader.
        """
        if report.machine in self.fleet.removed_ids:
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
        """Handles a peer's message that it received a report of a machine without a record."""
        if self.leading():
            self._check_unknown(message.id, message.addr, message.type, message.zone, message.spot)

    def _check_unknown(self, id: MachineId, addr: str, type_: str, zone: str, spot: bool) -> None:
        """Adopts an unknown machine if it exists.

        A report alone doesn't prove that; the cloud's list does, or the worker's answer to a
        probe sent now.
        """
        if id in self.fleet.removed_ids or id in self.adoption.returned or id in self.fleet.records:
            return
        if id in self._listed_now:
            self.adoption.adopt([FoundMachine(id, type_, zone, spot)])
        elif id not in self._probing and addr and len(self._probing) < self._max_probes:
            self._probing.add(id)

            def done(outcome: Outcome) -> None:
                self._probing.discard(id)
                live = outcome.body
                if isinstance(live, Report) and live.machine == id and self.leading():
                    self.adoption.adopt([FoundMachine(id, live.type, live.zone, live.spot)])

            self.context.emit(Probe(done, addr))

    def release_leaving(self) -> None:
        """Returns machines marked as leaving to the cloud, and retries failed writes of markers."""
        ids, self._drops_to_retry = self._drops_to_retry, []
        self._drop_records(ids)
        leaving = [
            id
            for id in self.fleet.leaving
            if id not in self._releasing and id not in self.adoption.returned
        ]
        if leaving:
            self._release(leaving[:MAX_RELEASE])

    def _release(self, ids: list[MachineId]) -> None:
        ids = [id for id in ids if id not in self._releasing]
        if not ids:
            return
        self._releasing.update(ids)

        def done(outcome: Outcome) -> None:
            self._releasing.difference_update(ids)
            if outcome.status == 200:
                # The machines and everything on them are gone, so their records may go too.
                self._drop_records(ids)

        self.context.emit(Release(done, ids))
