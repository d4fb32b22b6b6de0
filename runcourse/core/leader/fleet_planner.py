"""The leader's periodic plan: which machines to hire, return and transfer between shares."""

from __future__ import annotations

import math

from ...wire.peer_messages import ReturnMachine, ShareLoad
from ..authority import Authority
from ..context import Context
from ..entitlement_policy import EntitlementPolicy
from ..ids import LONG_AGO, Instant, MachineId, Member, ShareNo
from ..machine import Record
from ..machines import Fleet
from ..placement import count_fitting
from ..scheduler import Scheduler
from ..shares import Shares
from ..store import Store
from ..types import MachineType, SendToPeer
from ..versions import PAGED_LOADS_VERSION, Versions
from .adoption import Adoption
from .boot_times import BootTimes
from .catalogue import Catalogue
from .demand import (
    COUNT_ROUNDING,
    LOAD_VALID_S,
    Demand,
    LoadPages,
    LoadReport,
    Offering,
    accepts,
    share_load,
)
from .fleet_view import FleetView
from .hiring import Hiring
from .inventory import Inventory
from .leadership import Leadership
from .pool import Pool
from .share_balancer import ShareBalancer
from .spare_capacity import SpareCapacity
from .transfers import MachineTransfers

LOAD_INTERVAL_S = 0.25  # between two load reports to the leader
PLAN_INTERVAL_S = 0.5  # between two plans of the leader
PRUNE_INTERVAL_S = 30.0  # between two removals of machines without a record from the leader's state
# Minimum pause in hiring an offering (type, zone, spot or not) whose machine did not come up.
FAILED_BOOT_PAUSE_S = 10.0
RETURN_RETRY_S = 3.0  # between two requests to return the same machine

ExpectedMachines = dict[Offering, float]  # number of machines booting, being hired or recorded


class FleetPlanner:
    """Plans for the whole fleet while this node leads, and reports its shares to the leader."""

    def __init__(
        self,
        context: Context,
        store: Store,
        authority: Authority,
        shares: Shares,
        fleet: Fleet,
        scheduler: Scheduler,
        versions: Versions,
        entitlements: EntitlementPolicy,
    ) -> None:
        self.context = context
        self.store = store
        self.shares = shares
        self.fleet = fleet
        self.scheduler = scheduler
        self.loads: dict[ShareNo, LoadReport] = {}
        self.leadership = Leadership(context, store, authority)
        self.catalogue = Catalogue(context, store, self.leadership, fleet, versions)
        self.boot_times = BootTimes(context, fleet)
        self.view = FleetView(context, fleet, self.boot_times)
        fleet.watch_record = self.view.record_changed
        self.adoption = Adoption(
            context,
            store,
            shares,
            fleet,
            self.loads,
            lambda: self.leadership.leading,
            self.leadership.guard,
        )
        self.inventory = Inventory(
            context,
            store,
            fleet,
            self.adoption,
            self.loads,
            self.view,
            lambda: self.leadership.leading,
            self.leadership.leader,
            self.leadership.guard,
        )
        self.entitlements = entitlements
        self.pool = Pool(context, fleet, self.loads, entitlements)
        self.hiring = Hiring(
            context, store, self.leadership, fleet, self.adoption, self.boot_times, self.pool
        )
        self.transfers = MachineTransfers(context, store, shares, fleet, scheduler)
        self.balancer = ShareBalancer(
            context, shares, fleet, self.loads, self.transfers, self.pool, versions
        )
        self.spare_capacity = SpareCapacity(context, shares, fleet, self.loads, self.transfers)
        self.versions = versions
        # By owned share: which of its machines the next load report lists (LOAD_PAGE at most).
        self._pages: dict[ShareNo, LoadPages] = {}
        self._last_plan_at = LONG_AGO
        self._last_load_at = LONG_AGO
        self._last_prune_at = context.now
        self._leading_since: Instant | None = None

    # --- periodic work -------------------------------------------------------------------

    def tick(self) -> None:
        """Reports the load of the shares owned here to the leader, and plans if this node leads."""
        now = self.context.now
        if not self.store.ready:
            return
        if now >= self._last_load_at + LOAD_INTERVAL_S:
            self._last_load_at = now
            self._report_loads()
            self.transfers.tick()
        self.leadership.claim()
        if not self.leadership.leading:
            self._leading_since = None
            self.view.end()
            self.entitlements.end()
            return
        if self._leading_since is None:
            self._begin()
        self.catalogue.tick()
        self.inventory.tick()
        if now >= self._last_plan_at + PLAN_INTERVAL_S and self.fleet.types:
            self._last_plan_at = now
            self.inventory.release_leaving()
            self._plan()

    def _begin(self) -> None:
        """Starts anew when leadership begins; an earlier leadership's state is outdated."""
        self._leading_since = self.context.now
        self.spare_capacity.begin()
        self.inventory.begin()
        self.boot_times.clear()
        self.view.begin()
        self.entitlements.begin(self.context.now)
        self.context.log("info", "leading")

    # --- load reports --------------------------------------------------------------------

    def _report_loads(self) -> None:
        leader = self.leadership.leader()
        pages_by_share = self._pages = {
            s: self._pages.get(s) or LoadPages(self.fleet, s) for s in self.shares.owned
        }
        # A leader of a former version needs all machines in one message.
        whole = leader is not None and not self.versions.reads(Member(leader), PAGED_LOADS_VERSION)
        for share, pages in pages_by_share.items():
            machines = pages.all() if whole else pages.next()
            message = share_load(
                self.context,
                share,
                machines,
                self.fleet,
                self.scheduler,
                self.entitlements.active,
            )
            if self.leadership.leading:
                self.handle_share_load(message)
            if leader and leader != self.context.me:
                self.context.emit(SendToPeer(Member(leader), message))

    def handle_share_load(self, message: ShareLoad) -> None:
        """Handles a load report of a share's owner."""
        self.loads[message.share] = LoadReport(message, self.context.now)
        self.view.note_load(message)

    # --- planning ------------------------------------------------------------------------

    def _plan(self) -> None:
        now = self.context.now
        self.inventory.largest_fleet = max(self.inventory.largest_fleet, len(self.fleet.records))
        cpus = self.adoption.allocation().cpus
        expected = self._expected_machines()
        self._add_pending(expected)
        idle = self.view.idle_machines()
        unmet: dict[ShareNo, list[Demand]] = {}
        for share in self.shares.all():
            load = self.loads.get(share)
            if load is not None and now - load.at < LOAD_VALID_S:
                unmet[share] = self._deduct_expected(load.demands, expected[share])
        self.pool.observe(unmet)
        self.balancer.request_transfers(unmet, idle)
        self.hiring.hire_for(unmet)
        self.balancer.request_vacates(unmet)
        self.balancer.request_yields(cpus)
        self._prune()
        self.spare_capacity.return_surplus(idle, cpus)

    def _expected_machines(self) -> dict[ShareNo, ExpectedMachines]:
        """Returns the number of booting machines that are not overdue, by share and offering.

        Machines that don't come up within
        their limit are given up, if their owner has confirmed that it got no message.
        """
        now = self.context.now
        found: dict[ShareNo, ExpectedMachines] = {s: {} for s in self.shares.all()}
        for id, expected in list(self.view.expected.items()):
            record = self.fleet.records[id]
            type_ = self.fleet.types.get(record.type)
            if type_ is None:
                continue
            waited = now - expected.since
            if waited < self.boot_times.overdue_after_s(type_):
                offering = (record.type, record.zone, record.spot)
                of_share = found[record.share]
                of_share[offering] = of_share.get(offering, 0.0) + 1.0
            elif expected.confirmed and waited >= self.boot_times.give_up_after_s(type_):
                self._give_up(id, record, type_)
        return found

    def _give_up(self, id: MachineId, record: Record, type_: MachineType) -> None:
        """Has the owner return a machine that did not come up in time; hiring then replaces it."""
        self.context.log("info", f"machine {id} did not come up, returned")
        self.hiring.note_refusal((record.type, record.zone, record.spot), FAILED_BOOT_PAUSE_S)
        self.transfers.send_to_owner(record.share, ReturnMachine(id))
        # Backdated so that the request is repeated after the retry interval.
        since = Instant(self.context.now - self.boot_times.give_up_after_s(type_) + RETURN_RETRY_S)
        self.view.restart_wait(id, since)
        self.boot_times.forget(id)

    def _add_pending(self, expected: dict[ShareNo, ExpectedMachines]) -> None:
        """Adds machines being hired or recorded to the expected ones, so none is hired twice."""
        for group, number in self.adoption.pending_groups().counts().items():
            of_share = expected[group.share]
            offering = (group.type, group.zone, group.spot)
            of_share[offering] = of_share.get(offering, 0.0) + number
        for share, offering in self.hiring.open_hires():
            expected[share][offering] = expected[share].get(offering, 0.0) + 1.0

    def _prune(self) -> None:
        if self.context.now < self._last_prune_at + PRUNE_INTERVAL_S:
            return
        self._last_prune_at = self.context.now
        self.inventory.prune()
        self.boot_times.prune()

    def _deduct_expected(
        self, demands: list[Demand], expected: dict[Offering, float]
    ) -> list[Demand]:
        """Sets the count of each demand to the tasks for which no expected machine will have room.

        Only numbers of tasks are compared; which task goes to which machine is not decided here.
        """
        left = dict(expected)
        for demand in demands:
            demand.count, demand.zone = demand.hire, demand.entry.zone
            if demand.block:
                self._deduct_for_gang(demand, left)
                continue
            for offering, machines in left.items():
                if machines <= 0 or not accepts(demand, *offering):
                    continue
                each = count_fitting(demand.size, self.fleet.types[offering[0]].size)
                if each and demand.count > 0:
                    tasks = min(demand.count, math.floor(machines * each + COUNT_ROUNDING))
                    demand.count -= tasks
                    left[offering] = machines - tasks / each
        return demands

    def _deduct_for_gang(self, demand: Demand, left: dict[Offering, float]) -> None:
        """Sets, by zone, how many tasks of a gang bound to one zone have no free or expected room.

        If a zone has room for all of them, the count of the demand becomes 0 and the expected
        machines that they need there are taken from `left`.
        """
        zones = {
            zone
            for type_ in self.fleet.types.values()
            for zone in type_.zones or self.context.platform.settings.zones
        }
        demand.missing_by_zone = {
            zone: demand.hire - demand.room.get(zone, 0)
            for zone in sorted(zones)
            if zone not in demand.closed_zones and demand.zone in (None, zone)
        }
        for offering, machines in left.items():
            if (
                machines > 0
                and offering[1] in demand.missing_by_zone
                and accepts(demand, *offering)
            ):
                each = count_fitting(demand.size, self.fleet.types[offering[0]].size)
                demand.missing_by_zone[offering[1]] -= math.floor(machines * each + COUNT_ROUNDING)
        zone = min(demand.missing_by_zone, key=lambda z: demand.missing_by_zone[z], default=None)
        if zone is None or demand.missing_by_zone[zone] > 0:
            return
        wanted = demand.hire - demand.room.get(zone, 0)
        demand.count = 0
        for offering, machines in left.items():
            each = count_fitting(demand.size, self.fleet.types[offering[0]].size)
            if offering[1] == zone and each and wanted > 0 and accepts(demand, *offering):
                tasks = min(wanted, math.floor(machines * each + COUNT_ROUNDING))
                wanted -= tasks
                left[offering] = machines - tasks / each
