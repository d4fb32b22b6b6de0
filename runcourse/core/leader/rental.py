"""The leader's plan: what to hire for what waits, and what to return."""

from __future__ import annotations

import math

from ...wire.peer_messages import ReturnMachine, ShareLoad
from ..authority import Authority
from ..context import Context
from ..entitlement import EntitlementPolicy
from ..ids import LONG_AGO, Instant, MachineId, Member, ShareNo
from ..machine import Record
from ..machines import Fleet
from ..placement import fits_times
from ..scheduler import Scheduler
from ..shares import Shares
from ..store import Store
from ..types import MachineType, SendToPeer
from ..versions import LOADS_IN_PAGES, Versions
from .adoption import Adoption
from .balance import Balance
from .boot_times import BootTimes
from .catalogue import Catalogue
from .demand import LOAD_VALID_S, Demand, LoadPages, LoadReport, Place, serves, share_load
from .fleet_view import FleetView
from .hiring import Hiring
from .inventory import Inventory
from .leadership import Leadership
from .pool import Pool
from .spare_capacity import SpareCapacity
from .transfers import MachineTransfers

LOAD_EVERY_S = 0.25
PLAN_EVERY_S = 0.5
TIDY_EVERY_S = 30.0
NEVER_UP_PAUSE_S = 10.0  # a place is left alone whose machine did not come up
RETURN_AGAIN_S = 3.0  # between two requests to return the same machine

ExpectedMachines = dict[Place, float]  # machines on their way


class Rental:
    """Plans for the whole fleet while this node leads, and tells the leader of its shares."""

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
        self.balance = Balance(
            context, shares, fleet, self.loads, self.transfers, self.pool, versions
        )
        self.spare = SpareCapacity(context, shares, fleet, self.loads, self.transfers)
        self.versions = versions
        self._pages: dict[ShareNo, LoadPages] = {}  # of the shares owned here
        self._plan_at = LONG_AGO
        self._load_at = LONG_AGO
        self._tidied_at = context.now
        self._led_since: Instant | None = None

    # --- time ----------------------------------------------------------------------------

    def tick(self) -> None:
        """Tell the leader of the shares owned here; lead, if this node does."""
        now = self.context.now
        if not self.store.ready:
            return
        if now >= self._load_at + LOAD_EVERY_S:
            self._load_at = now
            self._report_loads()
            self.transfers.tick()
        self.leadership.claim()
        if not self.leadership.leading:
            self._led_since = None
            self.view.end()
            self.entitlements.end()
            return
        if self._led_since is None:
            self._begin()
        self.catalogue.tick()
        self.inventory.tick()
        if now >= self._plan_at + PLAN_EVERY_S and self.fleet.types:
            self._plan_at = now
            self.inventory.release_leaving()
            self._plan()

    def _begin(self) -> None:
        """Leadership begins: what an earlier one saw is old."""
        self._led_since = self.context.now
        self.spare.begin()
        self.inventory.begin()
        self.boot_times.clear()
        self.view.begin()
        self.entitlements.begin(self.context.now)
        self.context.log("info", "leading")

    # --- what owners tell the leader -----------------------------------------------------

    def _report_loads(self) -> None:
        leader = self.leadership.leader()
        pages = self._pages = {
            s: self._pages.get(s) or LoadPages(self.fleet, s) for s in self.shares.owned
        }
        whole = leader is not None and not self.versions.reads(Member(leader), LOADS_IN_PAGES)
        for share, page in pages.items():
            machines = page.all() if whole else page.next()
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
        """The owner of a share tells of it."""
        self.loads[message.share] = LoadReport(message, self.context.now)
        self.view.note_load(message)

    # --- planning ------------------------------------------------------------------------

    def _plan(self) -> None:
        now = self.context.now
        self.inventory.largest_fleet = max(self.inventory.largest_fleet, len(self.fleet.records))
        cpus = self.adoption.parts().cpus
        booting = self._expected()
        self._count_expected(booting)
        idle = self.view.idle()
        unmet: dict[ShareNo, list[Demand]] = {}
        for share in self.shares.all():
            load = self.loads.get(share)
            if load is not None and now - load.at < LOAD_VALID_S:
                unmet[share] = self._deduct_expected(load.demands, booting[share])
        self.pool.observe(unmet)
        self.balance.move_idle(unmet, idle)
        self.hiring.hire_for(unmet)
        self.balance.vacate_for(unmet)
        self.balance.balance(cpus)
        self._tidy()
        self.spare.keep(idle, cpus)

    def _expected(self) -> dict[ShareNo, ExpectedMachines]:
        """Machines on their way, by share and place; those that never come are given up."""
        now = self.context.now
        found: dict[ShareNo, ExpectedMachines] = {s: {} for s in self.shares.all()}
        for id, expected in list(self.view.expected.items()):
            record = self.fleet.records[id]
            type_ = self.fleet.types.get(record.type)
            if type_ is None:
                continue
            waited = now - expected.since
            if waited < self.boot_times.overdue_after_s(type_):
                place = (record.type, record.zone, record.spot)
                there = found[record.share]
                there[place] = there.get(place, 0.0) + 1.0
            elif expected.told and waited >= self.boot_times.give_up_after_s(type_):
                self._give_up(id, record, type_)
        return found

    def _give_up(self, id: MachineId, record: Record, type_: MachineType) -> None:
        """It never came up, or much too late: it is returned, and replaced elsewhere."""
        self.context.log("info", f"machine {id} did not come up, returned")
        self.hiring.note_refusal((record.type, record.zone, record.spot), NEVER_UP_PAUSE_S)
        self.transfers.ask_owner(record.share, ReturnMachine(id))
        again = Instant(self.context.now - self.boot_times.give_up_after_s(type_) + RETURN_AGAIN_S)
        self.view.expect_again(id, again)
        self.boot_times.forget(id)

    def _count_expected(self, booting: dict[ShareNo, ExpectedMachines]) -> None:
        """What is being hired or recorded counts as on its way, or it would be hired again."""
        for group, number in self.adoption.pending_groups().counts().items():
            there = booting[group.share]
            place = (group.type, group.zone, group.spot)
            there[place] = there.get(place, 0.0) + number
        for share, place in self.hiring.pending():
            booting[share][place] = booting[share].get(place, 0.0) + 1.0

    def _tidy(self) -> None:
        if self.context.now < self._tidied_at + TIDY_EVERY_S:
            return
        self._tidied_at = self.context.now
        self.inventory.tidy()
        self.boot_times.tidy()

    def _deduct_expected(self, needs: list[Demand], booting: dict[Place, float]) -> list[Demand]:
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
        need.missing_by_zone = {
            zone: need.hire - need.room.get(zone, 0)
            for zone in sorted(zones)
            if zone not in need.shut and need.zone in (None, zone)
        }
        for place, machines in left.items():
            if machines > 0 and place[1] in need.missing_by_zone and serves(need, *place):
                each = fits_times(need.size, self.fleet.types[place[0]].size)
                need.missing_by_zone[place[1]] -= math.floor(machines * each + 1e-6)
        zone = min(need.missing_by_zone, key=lambda z: need.missing_by_zone[z], default=None)
        if zone is None or need.missing_by_zone[zone] > 0:
            return
        wanted = need.hire - need.room.get(zone, 0)
        need.count = 0
        for place, machines in left.items():
            each = fits_times(need.size, self.fleet.types[place[0]].size)
            if place[1] == zone and each and wanted > 0 and serves(need, *place):
                n = min(wanted, math.floor(machines * each + 1e-6))
                wanted -= n
                left[place] = machines - n / each
