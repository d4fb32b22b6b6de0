"""The ledger of what runs, or may run, on each machine of the shares owned here.

A task is *placed* from the moment an order to start it may leave until it is certain that
it is not on that machine and can't start there any more. Certainty comes from one of: the
worker says the attempt ended; a newer session; the machine is gone from the cloud; its
lease has surely run out; or a message that shows a fencing token raised after the last
order and does not list the attempt.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, Protocol

import msgspec

from ..wire.peer_messages import TransferredState
from .context import Context
from .ids import (
    LONG_AGO,
    Attempt,
    Instant,
    JobId,
    MachineId,
    Session,
    ShareNo,
    Stamp,
    TaskId,
    later,
)
from .jobs import Job, Jobs
from .machine import RUNNING, Known, Machine, Placement, Record
from .placement import NOTHING
from .shares import Holding, Shares
from .store import CATALOG, MACHINE, TYPES, Store
from .types import Command, MachineType, Order, Outcome, Probe, Report, TaskReport

REPORT_TIMEOUT_S = 4.0  # how long a worker waits for the answer to a report
LOOK_EVERY_S = 0.2
MOST_LISTED = 400  # tasks, ended ones too: a report must stay far below the protocol's 64 KiB
GAP_PER_TASK_S = 0.004  # between two commands to a machine, for each task that it lists
RETRY_AFTER_S = 1.0  # and then until it tries the next node


class PlacementObserver(Protocol):
    """Who hears of changes to the ledger."""

    def placed(self, placement: Placement) -> None: ...

    def unplaced(self, placement: Placement) -> None: ...

    def stopped(self, placement: Placement) -> None: ...

    def gone(self, placement: Placement, why: str) -> None: ...

    def running(self, placement: Placement) -> None: ...

    def changed(self) -> None: ...


class Fleet:
    def __init__(
        self,
        context: Context,
        store: Store,
        shares: Shares,
        jobs: Jobs,
        observer: PlacementObserver,
    ) -> None:
        self.context = context
        self.store = store
        self.shares = shares
        self.jobs = jobs
        self.observer = observer
        self.records: dict[MachineId, Record] = {}
        self.machines: dict[MachineId, Machine] = {}
        self.types: dict[str, MachineType] = {}
        self.where: dict[TaskId, list[Placement]] = {}
        self.gone: set[MachineId] = set()  # returned or vanished: their ids never come again
        self._of_share: dict[ShareNo, dict[MachineId, Machine]] = {}
        self._of_job: dict[JobId, dict[Placement, None]] = {}  # active ones
        self._running: dict[JobId, int] = {}
        self.addrs: dict[MachineId, str] = {}
        self._dirty: dict[MachineId, None] = {}  # to be told something, in turn
        self._resting: dict[MachineId, Instant] = {}  # the same, but not before
        # Commands and questions to workers are bounded by the sockets there are for them;
        # machines that may not answer take no more than half, so that others never wait for them.
        sockets = context.platform.settings.quota.sockets(len(context.members))
        self._most_open = sockets.commands
        self._open = 0
        self._open_suspected = 0
        self._looked_at = LONG_AGO
        self._given: dict[MachineId, tuple[Instant, TransferredState]] = {}
        store.listen(MACHINE, self._record_changed)
        store.listen(CATALOG, self._catalog_changed)
        store.listen(TYPES, self._catalog_changed)

    # --- records and the catalogue -------------------------------------------------------

    def _catalog_changed(self, key: str, value: Any, stamp: Stamp) -> None:
        rows = [
            row for page in (CATALOG, *self.store.keys(TYPES)) for row in self.store.get(page) or ()
        ]
        self.types = {t[0]: msgspec.convert(t, MachineType) for t in rows}
        for machine in self.machines.values():
            machine.set_type(self.types.get(machine.record.type))
        self.observer.changed()

    def _record_changed(self, key: str, value: Any, stamp: Stamp) -> None:
        id = MachineId(key[len(MACHINE) :])
        if value is None or value.get("gone"):
            # A late copy of a report must not bring back what was returned.
            if value is None:
                self.gone.discard(id)
            else:
                self.gone.add(id)
            self.records.pop(id, None)
            self.addrs.pop(id, None)
            self._drop(id, "released")
            return
        record = Record(
            ShareNo(value["share"]),
            value["type"],
            value["zone"],
            bool(value["spot"]),
            bool(value["leaving"]),
            stamp,
        )
        self.records[id] = record
        machine = self.machines.get(id)
        holding = self.shares.owned.get(record.share)
        if machine is not None and holding is machine.share:
            machine.record = record
        elif machine is not None:
            self._drop(id, "moved")
            machine = None
        if machine is None and holding is not None:
            self._add(id, record, holding)

    def _add(self, id: MachineId, record: Record, holding: Holding) -> None:
        machine = Machine(id, record, holding, self.context.now)
        machine.set_type(self.types.get(record.type))
        machine.addr = self.addrs.get(id, "")
        self.machines[id] = machine
        self._of_share.setdefault(record.share, {})[id] = machine
        self._take_over_state(machine)

    # --- machines that change owners -----------------------------------------------------

    def state_of(self, machine: Machine) -> TransferredState:
        """What the next owner needs to command the machine before its next report."""
        return TransferredState(
            machine.id,
            machine.addr,
            machine.session,
            machine.seq,
            machine.token_seen,
            list(machine.images.items()),
        )

    def given(self, state: TransferredState) -> None:
        """A former owner passes a machine's state on, perhaps before its record is seen."""
        self._given[state.machine] = (self.context.now, state)
        machine = self.machines.get(state.machine)
        if machine is not None:
            self._take_over_state(machine)

    def _take_over_state(self, machine: Machine) -> None:
        at, state = self._given.get(machine.id, (LONG_AGO, None))
        if state is None or self.context.now - at > 5.0:
            return
        del self._given[machine.id]
        machine.fetches = None
        for image, size in state.images:
            machine.images[image] = size
        # Only a machine that came empty from its owner, and nothing newer heard of it.
        if machine.settled and not machine.session:
            machine.addr = state.addr
            machine.session = state.session
            machine.seq = state.seq
            machine.token_seen = state.token
            machine.heard = machine.up_since = self.context.now
            self._dirty[machine.id] = None  # an empty command shows that it can be reached
            self.observer.changed()

    def _drop(self, id: MachineId, why: str) -> None:
        machine = self.machines.pop(id, None)
        if machine is not None:
            del self._of_share[machine.share.number][id]
            for placement in list(machine.placements.values()):
                self._remove(placement, why)
            self.observer.changed()

    def gain(self, holding: Holding) -> None:
        for id, record in self.records.items():
            if record.share == holding.number:
                self._add(id, record, holding)

    def lose(self, share: ShareNo) -> None:
        for machine in list(self.of_share(share)):
            self._drop(machine.id, "share lost")

    def of_share(self, share: ShareNo) -> list[Machine]:
        return list(self._of_share.get(share, {}).values())

    # --- placements ----------------------------------------------------------------------

    def place(self, job: Job, index: int, machine: Machine, attempt: Attempt) -> Placement:
        task = TaskId(job.uid, index)
        placement = Placement(task, attempt, machine, job, self.context.now)
        self._insert(placement)
        self._dirty[machine.id] = None
        return placement

    def _insert(self, placement: Placement) -> None:
        machine = placement.machine
        machine.placements[(placement.task, placement.attempt)] = placement
        machine.empty_since = None
        self._activate(placement)

    def _activate(self, placement: Placement) -> None:
        placement.machine.use(placement.machine.used.plus(placement.size))
        placement.machine.count_rank(placement, 1)
        placement.machine.fetches = None
        self._of_job.setdefault(placement.task.job, {})[placement] = None
        if placement.stage in RUNNING:
            self._count_running(placement.task.job, 1)
        if placement.job is not None and placement.job.spec.service:
            placement.machine.lasting += placement.size.cpus
        self.where.setdefault(placement.task, []).append(placement)
        self.observer.placed(placement)

    def _deactivate(self, placement: Placement, stage: str) -> None:
        placement.machine.use(placement.machine.used.minus(placement.size))
        placement.machine.count_rank(placement, -1)
        placement.machine.fetches = None
        held = self._of_job[placement.task.job]
        del held[placement]
        if not held:
            del self._of_job[placement.task.job]
        if stage in RUNNING:
            self._count_running(placement.task.job, -1)
        if placement.job is not None and placement.job.spec.service:
            placement.machine.lasting -= placement.size.cpus
        others = self.where[placement.task]
        others.remove(placement)
        if not others:
            del self.where[placement.task]
        self.observer.unplaced(placement)

    def _count_running(self, job: JobId, by: int) -> None:
        self._running[job] = self._running.get(job, 0) + by
        if not self._running[job]:
            del self._running[job]

    def _remove(self, placement: Placement, why: str) -> None:
        machine = placement.machine
        machine.placements.pop((placement.task, placement.attempt), None)
        active, stage = placement.active, placement.stage
        if active:
            placement.stage, placement.stage_before = "ended", stage
            self._deactivate(placement, stage)
        if not machine.placements:
            machine.use(NOTHING)  # no rounding left over
            machine.ranks.clear()
            machine.lasting = 0.0
            machine.empty_since = self.context.now
        if active:
            self.observer.gone(placement, why)

    def stop(self, placement: Placement, grace_s: float = 0.0) -> None:
        if not placement.active or (placement.stopping and grace_s >= placement.grace_s):
            return
        placement.forced = placement.stopping  # a second order ends the saving
        if not placement.stopping:
            placement.machine.count_rank(placement, -1)
            placement.stopping = True
            placement.machine.count_rank(placement, 1)
            self.observer.stopped(placement)
        placement.grace_s = grace_s
        if not placement.seen and not placement.fence:
            # An order to start it may be under way, and a stop before it has no effect:
            # only a token raised now makes sure that it can't start later.
            placement.fence = placement.machine.raise_fence()
        self._dirty[placement.machine.id] = None

    # --- what workers say ----------------------------------------------------------------

    def apply_report(self, report: Report, since: Known | None = None) -> bool:
        """Take a message of a machine owned here. False: it is not believed.

        `since` is given for an answer to a question or command of ours, which is live: what
        was known when it was sent. A report may be a late copy instead, so it counts only if
        nothing speaks against it: in one life of a worker its numbers rise, and its token
        never goes back.
        """
        machine = self.machines.get(report.machine)
        if machine is None:
            return False
        number = (report.session, report.seq)
        if since is not None and (number < since.number or report.token < since.token):
            self._restarted(machine, report)
        elif report.token < max(machine.token_seen, machine.born):
            # From another life of this worker, the one before or the one after: ask it.
            if since is None:
                self.ask(machine)
            return False
        elif number <= (machine.session, machine.seq):
            # An old copy, or a worker that came back without memory.
            if since is None and number <= machine.report_number:
                self.ask(machine)
            return False
        # What a session says that surely ended is of no use, however late it arrives.
        if report.session <= machine.expired_session:
            if since is None:
                self.ask(machine)
            return False
        usable = self.usable(machine)
        now = self.context.now
        if report.session > machine.session or machine.heard < 0:
            # A session's lease counts from its beginning, whatever was answered before; tasks
            # may be started in it by commands before any report of it is answered.
            machine.last_answer = max(machine.last_answer, now)
        if report.session > machine.session:
            if machine.session:
                for placement in list(machine.placements.values()):
                    self._remove(placement, "session")
                # Its lease ran out, so answers may not reach it.
                machine.mark_suspected(now)
                self._dirty[machine.id] = None
            machine.images.clear()
            machine.fetches = None
            machine.up_since = now
        if machine.heard < 0:
            machine.up_since = now
            machine.suspected_at = now
            self._dirty[machine.id] = None  # an empty command shows that it can be reached
        if since is None:
            self._check_orders(machine, report)
            machine.report_number = number
        machine.addr = report.addr or machine.addr
        machine.session, machine.seq = report.session, report.seq
        machine.heard = now
        suspected = machine.suspected
        machine.token_seen = max(machine.token_seen, report.token)
        if not machine.suspected and (suspected or since is not None):
            machine.reached = now
        if report.notice_s is not None:
            if machine.notice_until is None:
                self.context.log("info", f"machine {machine.id}: notice, {report.notice_s:.1f} s")
                self.observer.changed()
            machine.notice_until = Instant(self.context.now + max(report.notice_s, 0.0))
        else:
            machine.notice_until = None
        listed = set()
        for entry in report.tasks:
            listed.add((entry.task, entry.attempt))
            self._listed(machine, entry)
        for key, placement in list(machine.placements.items()):
            if key in listed:
                continue
            if placement.seen or (placement.fence and report.token >= placement.fence):
                self._remove(placement, "absent")
                self.observer.changed()
        if not machine.settled and report.token >= machine.base_token:
            machine.settled = True
            self.observer.changed()
        if not usable and self.usable(machine):
            # A machine that came up or back is new room, though nothing on it changed.
            self.observer.changed()
        return True

    def overtaken(self, report: Report) -> bool:
        """Is it a report that a later direct answer of its worker overtook? Its worker still
        waits for an answer, unlike that of a copy."""
        machine = self.machines.get(report.machine)
        number = (report.session, report.seq)
        if (
            machine is None
            or report.session != machine.session
            or machine.suspected
            or not machine.report_number < number <= (machine.session, machine.seq)
        ):
            return False
        machine.report_number = number
        return True

    def _restarted(self, machine: Machine, report: Report) -> None:
        """A live answer went back in its numbers: the worker lost its memory, and with it
        every task. Reports of its former life must not be taken for news of this one, so
        only those that show a token raised now are believed."""
        self.context.log("warning", f"machine {machine.id}: came back without memory")
        for placement in list(machine.placements.values()):
            self._remove(placement, "restart")
        machine.images.clear()
        machine.fetches = None
        machine.session, machine.seq = report.session, -1
        machine.report_number = (report.session, -1)
        machine.expired_session = Session(0)
        machine.token_seen = report.token
        machine.mark_suspected(self.context.now)
        machine.suspected_at = machine.up_since = machine.last_answer = self.context.now
        machine.born = machine.suspect_token
        self._dirty[machine.id] = None

    def _check_orders(self, machine: Machine, report: Report) -> None:
        """A worker sends its next report only after it had the answer to the one before, or
        gave it up: orders of that answer that left no trace did not arrive."""
        listed = {(entry.task, entry.attempt) for entry in report.tasks}
        if any(
            0 <= p.given < report.seq and not p.seen and key not in listed
            for key, p in machine.placements.items()
        ):
            self.suspect(machine)

    def suspect(self, machine: Machine, since: Instant | None = None) -> None:
        """Something speaks against its being reachable `since` then: a raised token will tell,
        by way of a command at once or of the next answers."""
        if not machine.suspected:
            machine.mark_suspected(self.context.now if since is None else since)
            self._dirty[machine.id] = None

    def note_route(self, machine: Machine, relayed: bool, before: Instant) -> None:
        """A report came by way of a peer, or after a pause (last heard `before`) in which the
        worker tried others: so an answer may have failed to reach it."""
        now = self.context.now
        pause = max(
            0.95 * (REPORT_TIMEOUT_S + RETRY_AFTER_S),
            1.25 * self.context.platform.settings.workers.report_s + 0.75,
        )
        if (
            (relayed or now - before > pause)
            and before >= 0
            and now - machine.reached > REPORT_TIMEOUT_S
        ):
            self.suspect(machine, max(before, machine.reached))

    def ask(self, machine: Machine) -> None:
        """Ask the worker itself: no report is believed over its live answer."""
        now = self.context.now
        if (
            machine.probing
            or not machine.addr
            or now < machine.asked_at + 1.0
            or 2 * self._open_suspected >= self._most_open
        ):
            return
        machine.probing = True
        self._opened(True)
        machine.asked_at = now
        since = machine.known

        def done(outcome: Outcome) -> None:
            machine.probing = False
            self._closed(True)
            if self.machines.get(machine.id) is machine and isinstance(outcome.body, Report):
                self.apply_report(outcome.body, since)

        self.context.emit(Probe(done, machine.addr))

    def silence_limit_s(self) -> float:
        """How long a machine may be silent, or heard without being reached: a worker cut off
        from here needs a lost report and a try elsewhere to be heard by way of a peer."""
        workers = self.context.platform.settings.workers
        return max(
            2.5 * workers.report_s,
            0.45 * workers.lease_s,
            min(REPORT_TIMEOUT_S + 1.75 + 1.25 * workers.report_s, 0.7 * workers.lease_s),
        )

    def unreached_s(self, machine: Machine) -> float:
        """For how long has it been heard without showing that it is reached?"""
        if not machine.suspected or machine.heard < 0:
            return 0.0
        return self.context.now - max(machine.suspected_at, machine.share.since)

    def _listed(self, machine: Machine, entry: TaskReport) -> None:
        placement = machine.placements.get((entry.task, entry.attempt))
        job = self.jobs.get(entry.task.job)
        if placement is None:
            # Started by an earlier owner of the share.
            placement = Placement(entry.task, entry.attempt, machine, job, self.context.now)
            self._insert(placement)
            if entry.stage == "ended":
                self.observer.changed()
        if job is not None and placement.job is None:
            # Counted from now on, and with its size.
            if placement.active:
                self._deactivate(placement, placement.stage)
            placement.job, placement.size = job, job.size
            if placement.active:
                self._activate(placement)
        placement.seen = True
        if entry.stage == placement.stage:
            return
        before, placement.stage = placement.stage, entry.stage
        machine.fetches = None
        if entry.stage == "ended":
            placement.cause = entry.cause
            if before != "ended":
                placement.stage_before = before
                self._deactivate(placement, before)
                self.observer.gone(placement, entry.cause)
        elif before == "ended":
            self._activate(placement)
        elif (before in RUNNING) != (entry.stage in RUNNING):
            self._count_running(entry.task.job, 1 if entry.stage in RUNNING else -1)
        if job is not None and (entry.stage in ("waiting", "running") or entry.cause == "done"):
            self._remember_image(machine, job)
            if entry.stage != "waiting":
                if before != "running":
                    placement.ran_since = self.context.now
                self.observer.running(placement)

    def _remember_image(self, machine: Machine, job: Job) -> None:
        images = machine.images
        machine.fetches = None
        images[job.spec.image] = job.spec.image_gb
        images.move_to_end(job.spec.image)
        if machine.type is not None:
            while len(images) > 1 and sum(images.values()) > machine.type.cache_gb:
                images.popitem(last=False)

    # --- what workers are told -----------------------------------------------------------

    def orders(self, machine: Machine, answering: bool) -> tuple[Order, ...]:
        """Everything the worker should do, as far as it is not known to have done it."""
        orders: list[Order] = []
        for placement in machine.placements.values():
            if placement.stage == "ended":
                # Only in answers to reports: one report is in flight at a time, so no older
                # answer can still carry an order to start this attempt. The same must hold
                # for direct commands, or the attempt would start once more.
                if (
                    answering
                    and not machine.do_open
                    and not machine.suspected
                    and self._stored(placement)
                ):
                    # A copy of a command that was carried out would start it once more, so
                    # the answer that clears it carries a token above that command's.
                    if placement.do_token >= machine.token:
                        machine.raise_fence()
                    orders.append(Order("forget", placement.task, placement.attempt))
            elif placement.stopping:
                if placement.seen and (placement.stage != "saving" or placement.forced):
                    orders.append(
                        Order("stop", placement.task, placement.attempt, placement.grace_s)
                    )
            elif not placement.seen:
                orders.append(Order("start", placement.task, placement.attempt))
                if answering and placement.given < 0:
                    placement.given = machine.seq
        return tuple(orders)

    def _stored(self, placement: Placement) -> bool:
        if placement.cause != "done":
            return True
        job = self.jobs.get(placement.task.job)
        return job is not None and (
            job.final or job.spec.service or job.is_done(placement.task.number)
        )

    def answered(self, machine: Machine) -> None:
        machine.last_answer = max(machine.last_answer, self.context.now)

    def pace(self, machine: Machine) -> None:
        """Whether it was told by an answer or a command, the next command waits a moment: each
        is answered with a list of all tasks there, and a machine of a hundred short ones would
        ask for one many times a second. Its next report tells as much."""
        gap = GAP_PER_TASK_S * len(machine.placements)
        machine.do_after = max(machine.do_after, later(self.context.now, gap))

    def push(self) -> None:
        """Send what is new straight to the workers; the next report's answer repeats it."""
        if not self._dirty or self._open >= self._most_open:
            return
        now = self.context.now
        for id in list(self._dirty):
            if self._open >= self._most_open:
                return
            machine = self.machines.get(id)
            if machine is None or not self.shares.may_command(machine.share.number):
                del self._dirty[id]
                continue
            if machine.do_open or now < machine.do_after:
                # Looked at again when it may be told; not at every input until then.
                del self._dirty[id]
                self._resting[id] = machine.do_after
                continue
            if machine.suspected and 2 * self._open_suspected >= self._most_open:
                continue
            del self._dirty[id]
            orders = self.orders(machine, answering=False)
            fencing = any(p.fence > machine.token_seen for p in machine.placements.values())
            if machine.addr and machine.session and (orders or fencing or machine.suspected):
                self._command(machine, orders)

    def _wake(self) -> None:
        now = self.context.now
        for id, at in list(self._resting.items()):
            machine = self.machines.get(id)
            if machine is None:
                del self._resting[id]
            elif now >= at and not machine.do_open:
                del self._resting[id]
                self._dirty[id] = None

    def _opened(self, suspected: bool) -> None:
        self._open += 1
        self._open_suspected += suspected

    def _closed(self, suspected: bool) -> None:
        self._open -= 1
        self._open_suspected -= suspected

    def _command(self, machine: Machine, orders: tuple[Order, ...]) -> None:
        machine.do_open = True
        suspected = machine.suspected
        self._opened(suspected)
        token, session, since = machine.token, machine.session, machine.known
        starts = [
            p for p in machine.placements.values() if not p.seen and not p.stopping and p.active
        ]
        first = [p for p in starts if not p.commanded]
        for placement in starts:
            placement.commanded = True
            placement.do_token = token

        def done(outcome: Outcome) -> None:
            machine.do_open = False
            self._closed(suspected)
            if self._resting.pop(machine.id, None) is not None:  # something came up meanwhile
                self._dirty[machine.id] = None
            if self.machines.get(machine.id) is not machine:
                return
            if isinstance(outcome.body, Report):
                self.apply_report(outcome.body, since)
                self.pace(machine)
                if outcome.status == 409 and machine.session == session:
                    self.context.log("info", f"machine {machine.id} refused token {token}")
                return
            machine.do_after = Instant(self.context.now + 1.0)
            if outcome.sent:
                # It may be executed at any time while token and session match.
                machine.mark_suspected(self.context.now)
                return
            if machine.reached < outcome.began:
                self.suspect(machine)
            for placement in first:
                # The order to start it never left, in this command or an answer: it is nowhere.
                if placement.given < 0 and not placement.seen and placement.active:
                    self._remove(placement, "unsent")

        self.context.emit(
            Command(done, machine.addr, token, session, orders, self.shares.authority.end())
        )

    # --- time ----------------------------------------------------------------------------

    def tick(self) -> None:
        now = self.context.now
        self._wake()
        if now >= self._looked_at + LOOK_EVERY_S:
            self._looked_at = now
            oldest = now - self.context.lease_s
            for machine in self.machines.values():
                # Without authority nothing is sure: another may have answered it meanwhile, as
                # when this process stood still.
                if (
                    machine.last_answer < oldest
                    and (machine.placements or not machine.settled)
                    and self.shares.may_command(machine.share.number)
                ):
                    self._expire(machine)
        for holding in self.shares.owned.values():
            if not holding.settled and all(m.settled for m in self.of_share(holding.number)):
                holding.settled = True
                self.context.log(
                    "info", f"share {holding.number} settled after {now - holding.since:.2f} s"
                )
                self.observer.changed()

    def _expire(self, machine: Machine) -> None:
        """Nobody answered the worker for longer than its lease: it has killed everything."""
        self.context.log("info", f"machine {machine.id}: silent, lease over")
        machine.expired_session = machine.session
        for placement in list(machine.placements.values()):
            self._remove(placement, "lease")
        machine.settled = True
        machine.suspected_at = (
            self.context.now
        )  # answered again for a while, as nothing is at stake
        self.observer.changed()

    def silent_s(self, machine: Machine) -> float:
        return self.context.now - machine.heard

    def silent(self) -> list[str]:
        """Machines of the shares owned here whose reports are overdue."""
        limit = 1.25 * self.context.platform.settings.workers.report_s + 1.5
        return [
            m.id
            for m in self.machines.values()
            if self.context.now - max(m.heard, m.share.since, m.added) > limit
        ]

    def all_heard(self, share: ShareNo) -> bool:
        """Are all machines of the share that ever came up heard, and reached?"""
        limit = 1.25 * self.context.platform.settings.workers.report_s + 1.5
        return all(
            m.heard < 0 or (self.silent_s(m) <= limit and not m.suspected)
            for m in self.of_share(share)
        )

    def usable(self, machine: Machine) -> bool:
        """May new tasks go there?"""
        report_s = self.context.platform.settings.workers.report_s
        return (
            machine.type is not None
            and machine.session > machine.expired_session
            and machine.settled
            and not machine.suspected
            and not machine.record.leaving
            and not machine.moving
            and machine.notice_until is None
            # Where finishes can't be stored for long, what ended gathers in the reports.
            and len(machine.placements) < MOST_LISTED
            and self.silent_s(machine) < 1.25 * report_s + 1.0
            and self.context.now >= machine.quarantined_until
            and self.context.now >= machine.draining_until
            and self.context.now >= machine.full_until
        )

    def learn_addr(self, id: MachineId, addr: str) -> None:
        if addr and self.addrs.get(id) != addr:
            self.addrs[id] = addr
            machine = self.machines.get(id)
            if machine is not None and not machine.addr:
                machine.addr = addr

    def running_of(self, uid: JobId) -> int:
        return self._running.get(uid, 0)

    def running_counts(self) -> dict[JobId, int]:
        return dict(self._running)

    def of_job(self, uid: JobId) -> list[Placement]:
        """Its active placements."""
        return list(self._of_job.get(uid, ()))

    def placements(self, share: ShareNo) -> Iterable[Placement]:
        for machine in self._of_share.get(share, {}).values():
            yield from machine.placements.values()
