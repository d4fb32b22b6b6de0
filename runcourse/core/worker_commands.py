"""Orders and questions to workers, straight to their addresses or in answers to their reports."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Mapping

from .context import Context
from .ids import Instant, MachineId, later
from .jobs import Jobs
from .machine import Known, Machine, Placement
from .placements import PlacementTable
from .shares import Shares
from .types import Command, Order, Outcome, Probe, Report

GAP_PER_TASK_S = 0.004  # between two commands to a machine, for each task that it lists
PROBE_GAP_S = 1.0  # between two questions to one worker
FAILED_GAP_S = 1.0  # after a command without an answer

ApplyReport = Callable[[Report, Known], bool]


class WorkerCommands:
    """What workers are to be told, and how many connections that may take at once."""

    def __init__(
        self,
        context: Context,
        shares: Shares,
        jobs: Jobs,
        machines: Mapping[MachineId, Machine],
        apply_report: ApplyReport,
    ) -> None:
        self.context = context
        self.shares = shares
        self.jobs = jobs
        self.machines = machines
        self.apply_report = apply_report
        self._dirty: dict[MachineId, None] = {}  # to be told something, in turn
        self._waiting_suspected: dict[
            MachineId, None
        ] = {}  # suspected ones that wait for a connection
        self._resting: dict[MachineId, Instant] = {}  # the same, but not before
        self._rests: list[tuple[Instant, MachineId]] = []  # heap of those ends, some outdated
        # Commands and questions to workers are bounded by the sockets there are for them;
        # machines that may not answer take no more than half, so that others never wait for them.
        sockets = context.platform.settings.quota.sockets(len(context.members))
        self._max_open = sockets.commands
        self._open = 0
        self._open_suspected = 0

    def connect(self, placements: PlacementTable) -> None:
        """The table and this sender refer to each other: the fleet builds both."""
        self.placements = placements

    def wake(self, id: MachineId) -> None:
        """The worker has to be told something, or shown that it can be reached."""
        self._waiting_suspected.pop(id, None)
        self._dirty[id] = None

    def suspect(self, machine: Machine, since: Instant | None = None) -> None:
        """Something speaks against its being reachable `since` then: a raised token will tell,
        by way of a command at once or of the next answers."""
        if not machine.suspected:
            machine.mark_suspected(self.context.now if since is None else since)
            self.wake(machine.id)

    def probe(self, machine: Machine) -> None:
        """Ask the worker itself: no report is believed over its live answer."""
        now = self.context.now
        if (
            machine.probing
            or not machine.addr
            or now < machine.asked_at + PROBE_GAP_S
            or self._suspected_are_many()
        ):
            return
        machine.probing = True
        self._opened(True)
        machine.asked_at = now
        since = machine.known_state

        def done(outcome: Outcome) -> None:
            machine.probing = False
            self._closed(True)
            if self.machines.get(machine.id) is machine and isinstance(outcome.body, Report):
                self.apply_report(outcome.body, since)

        self.context.emit(Probe(done, machine.addr))

    def orders(self, machine: Machine, answering: bool) -> tuple[Order, ...]:
        """Everything the worker should do, as far as it is not known to have done it;
        `answering`: in the answer to a report."""
        orders: list[Order] = []
        for placement in machine.placements.values():
            if placement.stage == "ended":
                if answering and self._may_forget(placement):
                    orders.append(self._forget(placement))
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

    def _may_forget(self, placement: Placement) -> bool:
        """Only in answers to reports: one report is in flight at a time, so no older answer can
        still carry an order to start this attempt. The same must hold for direct commands, or
        the attempt would start once more."""
        machine = placement.machine
        return not machine.command_in_flight and not machine.suspected and self._stored(placement)

    @staticmethod
    def _forget(placement: Placement) -> Order:
        """A copy of a command that was carried out would start it once more, so the answer that
        clears it carries a token above that command's."""
        if placement.do_token >= placement.machine.token:
            placement.machine.raise_fence()
        return Order("forget", placement.task, placement.attempt)

    def _stored(self, placement: Placement) -> bool:
        if placement.cause != "done":
            return True
        job = self.jobs.get(placement.task.job)
        return job is not None and (
            job.final or job.spec.service or job.is_done(placement.task.number)
        )

    def delay_next_command(self, machine: Machine) -> None:
        """Whether it was told by an answer or a command, the next command waits a moment: each
        is answered with a list of all tasks there, and a machine of a hundred short ones would
        ask for one many times a second. Its next report tells as much."""
        gap = GAP_PER_TASK_S * len(machine.placements)
        machine.next_command_at = max(machine.next_command_at, later(self.context.now, gap))

    def push(self) -> None:
        """Send what is new straight to the workers; the next report's answer repeats it."""
        if self._dirty:
            self._push_dirty()
        while (
            self._waiting_suspected
            and not self._suspected_are_many()
            and self._open < self._max_open
        ):
            self.wake(next(iter(self._waiting_suspected)))
            self._push_dirty()

    def _push_dirty(self) -> None:
        while self._dirty and self._open < self._max_open:
            id = next(iter(self._dirty))
            del self._dirty[id]
            machine = self.machines.get(id)
            if machine is not None and self.shares.may_command(machine.share.number):
                self._push_one(machine)

    def _suspected_are_many(self) -> bool:
        """Do commands to machines that may not answer take all that they may?"""
        return 2 * self._open_suspected >= self._max_open

    def _push_one(self, machine: Machine) -> None:
        if machine.command_in_flight or self.context.now < machine.next_command_at:
            # Looked at again when it may be told; not at every input until then.
            self._rest(machine)
            return
        if machine.suspected and self._suspected_are_many():
            # Looked at again when one of them was answered: a whole fleet may wait here.
            self._waiting_suspected[machine.id] = None
            return
        orders = self.orders(machine, answering=False)
        fencing = any(p.fence > machine.token_seen for p in machine.placements.values())
        if machine.addr and machine.session and (orders or fencing or machine.suspected):
            self._command(machine, orders)

    def _rest(self, machine: Machine) -> None:
        self._resting[machine.id] = machine.next_command_at
        heapq.heappush(self._rests, (machine.next_command_at, machine.id))

    def wake_rested(self) -> None:
        """Look again at the machines whose pause between two commands is over."""
        while self._rests and self._rests[0][0] <= self.context.now:
            at, id = heapq.heappop(self._rests)
            if self._resting.get(id) != at:
                continue
            machine = self.machines.get(id)
            if machine is not None and machine.command_in_flight:
                continue  # woken by the answer to its command
            del self._resting[id]
            if machine is not None:
                self._dirty[id] = None

    def _opened(self, suspected: bool) -> None:
        self._open += 1
        self._open_suspected += suspected

    def _closed(self, suspected: bool) -> None:
        self._open -= 1
        self._open_suspected -= suspected

    def _command(self, machine: Machine, orders: tuple[Order, ...]) -> None:
        machine.command_in_flight = True
        suspected = machine.suspected
        self._opened(suspected)
        token, session, since = machine.token, machine.session, machine.known_state
        first = self._note_starts(machine)

        def done(outcome: Outcome) -> None:
            machine.command_in_flight = False
            self._closed(suspected)
            if self._resting.pop(machine.id, None) is not None:  # something came up meanwhile
                self.wake(machine.id)
            if self.machines.get(machine.id) is not machine:
                return
            if isinstance(outcome.body, Report):
                self.apply_report(outcome.body, since)
                self.delay_next_command(machine)
                if outcome.status == 409 and machine.session == session:
                    self.context.log("info", f"machine {machine.id} refused token {token}")
            else:
                self._unanswered(machine, outcome, first)

        self.context.emit(
            Command(done, machine.addr, token, session, orders, self.shares.authority.ends_at())
        )

    def _note_starts(self, machine: Machine) -> list[Placement]:
        """Note which tasks the next command may start; returns those that none did before."""
        starts = [
            p for p in machine.placements.values() if not p.seen and not p.stopping and p.active
        ]
        first = [p for p in starts if not p.commanded]
        for placement in starts:
            placement.commanded = True
            placement.do_token = machine.token
        return first

    def _unanswered(self, machine: Machine, outcome: Outcome, first: list[Placement]) -> None:
        """A command without an answer; `first`: the tasks that it was the first to start."""
        machine.next_command_at = later(self.context.now, FAILED_GAP_S)
        if outcome.sent:
            # It may be executed at any time while token and session match.
            machine.mark_suspected(self.context.now)
            return
        if machine.reached < outcome.began:
            self.suspect(machine)
        for placement in first:
            # The order to start it never left, in this command or an answer: it is nowhere.
            if placement.given < 0 and not placement.seen and placement.active:
                self.placements.remove(placement, "unsent")
