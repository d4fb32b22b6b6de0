"""The ledger of what runs, or may run, on each machine of the shares owned here.

A task is *placed* from the moment an order to start it may leave until it is certain that
it is not on that machine and can't start there any more. Certainty comes from one of: the
worker says the attempt ended; a newer session; the machine is gone from the cloud; its
lease has surely run out; or a message that shows a fencing token raised after the last
order and does not list the attempt.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import Any, NamedTuple, Protocol

import msgspec

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
    Token,
    make_token,
)
from .jobs import Job, Jobs
from .placement import NOTHING, Size
from .shares import Holding, Shares
from .store import CATALOG, MACHINE, Store
from .types import Command, MachineType, Order, Outcome, Report, TaskReport

Key = tuple[TaskId, Attempt]


class Record(NamedTuple):
    """What the state service says of a machine."""

    share: ShareNo
    type: str
    zone: str
    spot: bool
    leaving: bool
    stamp: Stamp

    def value(self, **changes: Any) -> dict[str, Any]:
        record = self._replace(**changes)
        return {"share": record.share, "type": record.type, "zone": record.zone,
                "spot": record.spot, "leaving": record.leaving}


class Placement:
    __slots__ = ("attempt", "cause", "fence", "forced", "grace_s", "job", "machine", "ran_since",
                 "seen", "since", "size", "stage", "stopping", "task")

    def __init__(self, task: TaskId, attempt: Attempt, machine: Machine, job: Job | None,
                 now: Instant) -> None:
        self.task = task
        self.attempt = attempt
        self.machine = machine
        self.job = job
        self.size = job.size if job else NOTHING
        self.stage = "sent"  # sent, fetching, running, saving, ended
        self.cause = ""
        self.seen = False  # some message listed it
        self.stopping = False
        self.grace_s = 0.0
        self.forced = False
        self.fence = Token(0)
        self.since = now
        self.ran_since = Instant(0.0)

    @property
    def active(self) -> bool:
        return self.stage != "ended"


class Machine:
    __slots__ = ("added", "addr", "counter", "do_after", "do_open", "draining_until", "empty_since",
                 "errors", "expired_session", "full_until", "heard", "id", "images",
                 "last_answer", "lasting", "moving", "notice_until", "placements",
                 "quarantined_until", "record", "seq", "session", "settled", "share",
                 "token_seen", "type", "unknown", "up_since", "used")

    def __init__(self, id: MachineId, record: Record, holding: Holding, now: Instant) -> None:
        self.id = id
        self.record = record
        self.share = holding
        self.type: MachineType | None = None
        self.addr = ""
        self.session = Session(0)
        self.seq = -1
        self.token_seen = Token(0)
        self.counter = 0
        # A machine recorded after the takeover can't hold tasks of an earlier owner: it was
        # new, or moved while empty.
        self.settled = record.stamp > holding.epoch
        self.expired_session = Session(0)
        self.last_answer = now if self.settled else holding.since
        self.heard = LONG_AGO
        self.up_since = Instant(0.0)
        self.notice_until: Instant | None = None
        self.placements: dict[Key, Placement] = {}
        self.used = NOTHING
        self.images: OrderedDict[str, float] = OrderedDict()
        self.do_open = False
        self.do_after = now
        self.unknown = Token(0)  # an order of unknown fate is out until this token is seen
        self.full_until = now
        self.quarantined_until = now
        self.errors: dict[JobId, Instant] = {}
        self.empty_since: Instant | None = now
        self.added = now
        self.draining_until = now  # its replicas move away, nothing new comes
        self.lasting = 0.0  # CPUs of services placed on it
        self.moving = False  # a change of its record is under way: nothing new goes there

    @property
    def token(self) -> Token:
        return make_token(Stamp(max(self.share.epoch, self.record.stamp)), self.counter)

    @property
    def base_token(self) -> Token:
        """No earlier owner's token reaches it."""
        return make_token(Stamp(max(self.share.epoch, self.record.stamp)), 0)

    @property
    def room(self) -> Size:
        return self.type.size.minus(self.used) if self.type else NOTHING

    def raise_fence(self) -> Token:
        self.counter += 1
        return self.token

    def holds(self, task: TaskId) -> bool:
        return any(t == task for t, _ in self.placements)

    @property
    def busy(self) -> bool:
        """Something is on it, or may be, or may yet come to be."""
        return bool(self.placements) or self.do_open or bool(self.unknown) or not self.settled


class Watcher(Protocol):
    """Who hears of changes to the ledger."""

    def placed(self, placement: Placement) -> None: ...

    def lifted(self, placement: Placement) -> None: ...

    def gone(self, placement: Placement, why: str) -> None: ...

    def running(self, placement: Placement) -> None: ...

    def changed(self) -> None: ...


class Fleet:
    def __init__(self, cx: Context, store: Store, shares: Shares, jobs: Jobs,
                 watcher: Watcher) -> None:
        self.cx = cx
        self.store = store
        self.shares = shares
        self.jobs = jobs
        self.watcher = watcher
        self.records: dict[MachineId, Record] = {}
        self.machines: dict[MachineId, Machine] = {}
        self.types: dict[str, MachineType] = {}
        self.where: dict[TaskId, list[Placement]] = {}
        self.addrs: dict[MachineId, str] = {}
        self._dirty: dict[MachineId, None] = {}
        self._given: dict[MachineId, tuple[Instant, dict[str, Any]]] = {}
        store.listen(MACHINE, self._record_changed)
        store.listen(CATALOG, self._catalog_changed)

    # --- records and the catalogue -------------------------------------------------------

    def _catalog_changed(self, key: str, value: Any, stamp: Stamp) -> None:
        self.types = {t[0]: msgspec.convert(t, MachineType) for t in value or ()}
        for machine in self.machines.values():
            machine.type = self.types.get(machine.record.type)
        self.watcher.changed()

    def _record_changed(self, key: str, value: Any, stamp: Stamp) -> None:
        id = MachineId(key[len(MACHINE):])
        if value is None:
            self.records.pop(id, None)
            self.addrs.pop(id, None)
            self._drop(id, "released")
            return
        record = Record(ShareNo(value["share"]), value["type"], value["zone"],
                        bool(value["spot"]), bool(value["leaving"]), stamp)
        self.records[id] = record
        machine = self.machines.get(id)
        holding = self.shares.mine.get(record.share)
        if machine is not None and holding is machine.share:
            machine.record = record
        elif machine is not None:
            self._drop(id, "moved")
            machine = None
        if machine is None and holding is not None:
            self._add(id, record, holding)

    def _add(self, id: MachineId, record: Record, holding: Holding) -> None:
        machine = Machine(id, record, holding, self.cx.now)
        machine.type = self.types.get(record.type)
        machine.addr = self.addrs.get(id, "")
        self.machines[id] = machine
        self._take_over_state(machine)

    # --- machines that change owners -----------------------------------------------------

    def state_of(self, machine: Machine) -> dict[str, Any]:
        """What the next owner needs to command the machine before its next report."""
        return {"machine": machine.id, "addr": machine.addr, "session": machine.session,
                "seq": machine.seq, "token": machine.token_seen,
                "images": list(machine.images.items())}

    def given(self, state: dict[str, Any]) -> None:
        """A former owner passes a machine's state on, perhaps before its record is seen."""
        id = MachineId(str(state["machine"]))
        self._given[id] = (self.cx.now, state)
        machine = self.machines.get(id)
        if machine is not None:
            self._take_over_state(machine)

    def _take_over_state(self, machine: Machine) -> None:
        at, state = self._given.get(machine.id, (LONG_AGO, None))
        if state is None or self.cx.now - at > 5.0:
            return
        del self._given[machine.id]
        for image, size in state["images"]:
            machine.images[str(image)] = float(size)
        # Only a machine that came empty from its owner, and nothing newer heard of it.
        if machine.settled and not machine.session:
            machine.addr = str(state["addr"])
            machine.session = Session(int(state["session"]))
            machine.seq = int(state["seq"])
            machine.token_seen = Token(int(state["token"]))
            machine.heard = machine.up_since = self.cx.now
            self.watcher.changed()

    def _drop(self, id: MachineId, why: str) -> None:
        machine = self.machines.pop(id, None)
        if machine is not None:
            for placement in list(machine.placements.values()):
                self._remove(placement, why)
            self.watcher.changed()

    def gain(self, holding: Holding) -> None:
        for id, record in self.records.items():
            if record.share == holding.number:
                self._add(id, record, holding)
        for machine in self.of_share(holding.number):
            self._settle_by_command(machine)

    def lose(self, share: ShareNo) -> None:
        for machine in list(self.of_share(share)):
            self._drop(machine.id, "share lost")

    def of_share(self, share: ShareNo) -> list[Machine]:
        return [m for m in self.machines.values() if m.share.number == share]

    # --- placements ----------------------------------------------------------------------

    def place(self, job: Job, index: int, machine: Machine, attempt: Attempt) -> Placement:
        task = TaskId(job.uid, index)
        placement = Placement(task, attempt, machine, job, self.cx.now)
        self._insert(placement)
        self._dirty[machine.id] = None
        return placement

    def _insert(self, placement: Placement) -> None:
        machine = placement.machine
        machine.placements[(placement.task, placement.attempt)] = placement
        machine.empty_since = None
        self._activate(placement)

    def _activate(self, placement: Placement) -> None:
        placement.machine.used = placement.machine.used.plus(placement.size)
        if placement.job is not None and placement.job.spec.service:
            placement.machine.lasting += placement.size.cpus
        self.where.setdefault(placement.task, []).append(placement)
        self.watcher.placed(placement)

    def _deactivate(self, placement: Placement) -> None:
        placement.machine.used = placement.machine.used.minus(placement.size)
        if placement.job is not None and placement.job.spec.service:
            placement.machine.lasting -= placement.size.cpus
        others = self.where[placement.task]
        others.remove(placement)
        if not others:
            del self.where[placement.task]
        self.watcher.lifted(placement)

    def _remove(self, placement: Placement, why: str) -> None:
        machine = placement.machine
        machine.placements.pop((placement.task, placement.attempt), None)
        if not machine.placements:
            machine.used = NOTHING  # no rounding left over
            machine.empty_since = self.cx.now
        if placement.active:
            placement.stage = "ended"
            self._deactivate(placement)
            self.watcher.gone(placement, why)

    def stop(self, placement: Placement, grace_s: float = 0.0) -> None:
        if not placement.active or (placement.stopping and grace_s >= placement.grace_s):
            return
        placement.forced = placement.stopping  # a second order ends the saving
        placement.stopping = True
        placement.grace_s = grace_s
        if not placement.seen and not placement.fence:
            # An order to start it may be under way, and a stop before it has no effect:
            # only a token raised now makes sure that it can't start later.
            placement.fence = placement.machine.raise_fence()
        self._dirty[placement.machine.id] = None

    # --- what workers say ----------------------------------------------------------------

    def hear(self, report: Report) -> bool:
        """Take a message of a machine owned here. False: it is older than what is known."""
        machine = self.machines.get(report.machine)
        if machine is None:
            return False
        if report.addr and machine.addr != report.addr:
            machine.addr = report.addr
        if (report.session, report.seq) <= (machine.session, machine.seq):
            return False
        # What a session says that surely ended is of no use, however late it arrives.
        if report.session <= machine.expired_session:
            return False
        usable = self.usable(machine)
        if report.session > machine.session:
            if machine.session:
                for placement in list(machine.placements.values()):
                    self._remove(placement, "session")
            machine.images.clear()
            machine.unknown = Token(0)  # orders for an earlier session are refused
            machine.up_since = self.cx.now
        if machine.heard < 0:
            machine.up_since = self.cx.now
        machine.session, machine.seq = report.session, report.seq
        machine.heard = self.cx.now
        machine.token_seen = max(machine.token_seen, report.token)
        if report.notice_s is not None:
            if machine.notice_until is None:
                self.cx.log("info", f"machine {machine.id}: notice, {report.notice_s:.1f} s")
                self.watcher.changed()
            machine.notice_until = Instant(self.cx.now + max(report.notice_s, 0.0))
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
                self.watcher.changed()
        if machine.unknown and report.token >= machine.unknown:
            machine.unknown = Token(0)
        if not machine.settled and report.token >= machine.base_token:
            machine.settled = True
            self.watcher.changed()
        if not usable and self.usable(machine):
            # A machine that came up or back is new room, though nothing on it changed.
            self.watcher.changed()
        return True

    def _listed(self, machine: Machine, entry: TaskReport) -> None:
        placement = machine.placements.get((entry.task, entry.attempt))
        job = self.jobs.get(entry.task.job)
        if placement is None:
            # Started by an earlier owner of the share.
            placement = Placement(entry.task, entry.attempt, machine, job, self.cx.now)
            self._insert(placement)
            if entry.stage == "ended":
                self.watcher.changed()
        if job is not None and placement.job is None:
            placement.job = job
        placement.seen = True
        if entry.stage == placement.stage:
            return
        before, placement.stage = placement.stage, entry.stage
        if entry.stage == "ended":
            placement.cause = entry.cause
            if before != "ended":
                self._deactivate(placement)
                self.watcher.gone(placement, entry.cause)
        elif before == "ended":
            self._activate(placement)
        if job is not None and (entry.stage == "running" or entry.cause == "done"):
            if before != "running":
                placement.ran_since = self.cx.now
            self._remember_image(machine, job)
            self.watcher.running(placement)

    def _remember_image(self, machine: Machine, job: Job) -> None:
        images = machine.images
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
                if (answering and not machine.do_open and not machine.unknown
                        and self._stored(placement)):
                    orders.append(Order("forget", placement.task, placement.attempt))
            elif placement.stopping:
                if placement.seen and (placement.stage != "saving" or placement.forced):
                    orders.append(Order("stop", placement.task, placement.attempt,
                                        placement.grace_s))
            elif not placement.seen:
                orders.append(Order("start", placement.task, placement.attempt))
        return tuple(orders)

    def _stored(self, placement: Placement) -> bool:
        if placement.cause != "done":
            return True
        job = self.jobs.get(placement.task.job)
        return job is not None and (
            job.final or job.spec.service or job.is_done(placement.task.number)
        )

    def answered(self, machine: Machine) -> None:
        machine.last_answer = max(machine.last_answer, self.cx.now)

    def _settle_by_command(self, machine: Machine) -> None:
        if not machine.settled and machine.session and machine.addr:
            self._dirty[machine.id] = None

    def push(self) -> None:
        """Send what is new straight to the workers; the next report's answer repeats it."""
        now = self.cx.now
        for id in list(self._dirty):
            machine = self.machines.get(id)
            if machine is None or not self.shares.may_command(machine.share.number):
                del self._dirty[id]
                continue
            if machine.do_open or now < machine.do_after:
                continue
            del self._dirty[id]
            orders = self.orders(machine, answering=False)
            fencing = any(p.fence > machine.token_seen for p in machine.placements.values())
            if machine.addr and machine.session and (orders or fencing or not machine.settled):
                self._command(machine, orders)

    def _command(self, machine: Machine, orders: tuple[Order, ...]) -> None:
        machine.do_open = True
        token, session = machine.token, machine.session

        def done(outcome: Outcome) -> None:
            machine.do_open = False
            if self.machines.get(machine.id) is not machine:
                return
            if isinstance(outcome.body, Report):
                self.hear(outcome.body)
                if outcome.status == 409 and machine.session == session:
                    self.cx.log("info", f"machine {machine.id} refused token {token}")
            elif outcome.sent:
                # It may be executed at any time while token and session match.
                machine.unknown = machine.raise_fence()
                machine.do_after = Instant(self.cx.now + 1.0)
            else:
                machine.do_after = Instant(self.cx.now + 1.0)

        self.cx.out.append(Command(done, machine.addr, token, session, orders))

    # --- time ----------------------------------------------------------------------------

    def tick(self) -> None:
        now = self.cx.now
        for machine in self.machines.values():
            if now > machine.last_answer + self.cx.lease_s and (
                machine.placements or machine.unknown or not machine.settled
            ):
                self._expire(machine)
        for holding in self.shares.mine.values():
            if not holding.settled and all(m.settled for m in self.of_share(holding.number)):
                holding.settled = True
                self.cx.log("info", f"share {holding.number} settled after"
                                    f" {now - holding.since:.2f} s")
                self.watcher.changed()

    def _expire(self, machine: Machine) -> None:
        """Nobody answered the worker for longer than its lease: it has killed everything."""
        self.cx.log("info", f"machine {machine.id}: silent, lease over")
        machine.expired_session = machine.session
        for placement in list(machine.placements.values()):
            self._remove(placement, "lease")
        machine.unknown = Token(0)
        machine.settled = True
        self.watcher.changed()

    def silent_s(self, machine: Machine) -> float:
        return self.cx.now - machine.heard

    def silent(self) -> list[str]:
        """Machines of the shares owned here whose reports are overdue."""
        limit = 1.25 * self.cx.platform.settings.workers.report_s + 1.5
        return [m.id for m in self.machines.values()
                if self.cx.now - max(m.heard, m.share.since, m.added) > limit]

    def usable(self, machine: Machine) -> bool:
        """May new tasks go there?"""
        report_s = self.cx.platform.settings.workers.report_s
        return (
            machine.type is not None
            and machine.session > machine.expired_session
            and machine.settled
            and not machine.record.leaving
            and not machine.moving
            and machine.notice_until is None
            and self.silent_s(machine) < 1.25 * report_s + 1.0
            and self.cx.now >= machine.quarantined_until
            and self.cx.now >= machine.draining_until
            and self.cx.now >= machine.full_until
        )

    def learn_addr(self, id: MachineId, addr: str) -> None:
        if addr and self.addrs.get(id) != addr:
            self.addrs[id] = addr
            machine = self.machines.get(id)
            if machine is not None and not machine.addr:
                machine.addr = addr

    def running_of(self, uid: JobId) -> int:
        return sum(1 for p in self.of_job(uid) if p.stage in ("running", "saving"))

    def running_counts(self) -> dict[str, int]:
        counts: dict[str, int] = {}
        for task, held in self.where.items():
            if any(p.stage in ("running", "saving") for p in held):
                counts[task.job] = counts.get(task.job, 0) + 1
        return counts

    def of_job(self, uid: JobId) -> list[Placement]:
        return [p for task, held in self.where.items() if task.job == uid for p in held]

    def placements(self, share: ShareNo) -> Iterable[Placement]:
        for machine in self.machines.values():
            if machine.share.number == share:
                yield from machine.placements.values()


