"""Orders and probes to workers, sent as commands or in answers to their reports."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Mapping

from .context import Context
from .ids import Instant, MachineId, later
from .jobs import Jobs
from .machine import KnownState, Machine, Placement
from .placements import PlacementTable
from .shares import Shares
from .types import Command, Order, Outcome, Probe, Report

GAP_PER_TASK_S = 0.004  # minimum between two commands to a machine, per task placed there
PROBE_GAP_S = 1.0  # between two probes of one worker
FAILED_GAP_S = 1.0  # after a command without an answer

ApplyReport = Callable[[Report, KnownState], bool]


class WorkerCommands:
    """Sends commands and probes to workers over a bounded number of connections."""

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
        self._dirty: dict[MachineId, None] = {}  # machines to check for due commands, in order
        # Suspected machines (not proved to be reachable) that wait for a connection.
        self._waiting_suspected: dict[MachineId, None] = {}
        self._paused_until: dict[MachineId, Instant] = {}  # earliest time of the next command
        # Heap of the ends of pauses in `_paused_until`; some are outdated.
        self._pause_ends: list[tuple[Instant, MachineId]] = []
        # Commands and probes are bounded by the sockets reserved for them. Machines that may not
        # answer use at most half of these, so that the others never wait for them.
        sockets = context.platform.settings.quota.sockets(len(context.members))
        self._max_open = sockets.commands
        self._open = 0
        self._open_suspected = 0

    def connect(self, placements: PlacementTable) -> None:
        """Sets the placement table, which needs this object for its own construction."""
        self.placements = placements

    def enqueue(self, id: MachineId) -> None:
        """Queues a machine whose worker may need orders or a proof of its reachability."""
        self._waiting_suspected.pop(id, None)
        self._dirty[id] = None

    def suspect(self, machine: Machine, since: Instant | None = None) -> None:
        """Marks a machine as possibly unreachable since `since`, by default since now.

        Its token is raised and sent with a command at once, and with the next answers; the worker
        proves reachable by reporting it.
        """
        if not machine.suspected:
            machine.mark_suspected(self.context.now if since is None else since)
            self.enqueue(machine.id)

    def probe(self, machine: Machine) -> None:
        """Requests the worker's state, which takes precedence over its reports.

        Does nothing if a probe is in flight or was sent just now, or if half of the allowed
        connections are already open to machines that may not answer.
        """
        now = self.context.now
        if (
            machine.probe_in_flight
            or not machine.addr
            or now < machine.probed_at + PROBE_GAP_S
            or self._suspected_limit_reached()
        ):
            return
        machine.probe_in_flight = True
        self._count_opened(True)
        machine.probed_at = now
        known = machine.known_state

        def done(outcome: Outcome) -> None:
            machine.probe_in_flight = False
            self._count_closed(True)
            if self.machines.get(machine.id) is machine and isinstance(outcome.body, Report):
                self.apply_report(outcome.body, known)

        self.context.emit(Probe(done, machine.addr))

    def orders(self, machine: Machine, answering: bool) -> tuple[Order, ...]:
        """Returns all orders that the worker is not known to have executed.

        `answering` means that they are sent in the answer to a report.
        """
        orders: list[Order] = []
        for placement in machine.placements.values():
            if placement.stage == "ended":
                if answering and self._may_forget(placement):
                    orders.append(self._forget(placement))
            elif placement.stopping:
                if placement.needs_stop_order:
                    orders.append(
                        Order("stop", placement.task, placement.attempt, placement.grace_s)
                    )
            elif not placement.seen:
                orders.append(Order("start", placement.task, placement.attempt))
                if answering and placement.start_report_seq < 0:
                    placement.start_report_seq = machine.seq
        return tuple(orders)

    def _may_forget(self, placement: Placement) -> bool:
        """Returns whether the answer to a report may order the worker to forget an ended attempt.

        Only answers to reports may: one report is in flight at a time, so no older answer can
        still carry the start order of this attempt. No command may be able to carry it either, or
        the attempt would start again.
        """
        machine = placement.machine
        return (
            not machine.command_in_flight and not machine.suspected and self._is_stored(placement)
        )

    @staticmethod
    def _forget(placement: Placement) -> Order:
        """Returns the order to forget an attempt, after fencing off commands that started it.

        A delayed copy of such a command would start the attempt again, so the answer with this
        order carries a higher token than the command did.
        """
        if placement.start_token >= placement.machine.token:
            placement.machine.raise_fence()
        return Order("forget", placement.task, placement.attempt)

    def _is_stored(self, placement: Placement) -> bool:
        """Returns whether the outcome of an ended attempt is stored or need not be."""
        if placement.cause != "done":
            return True
        job = self.jobs.get(placement.task.job)
        return job is not None and (
            job.final or job.spec.service or job.is_done(placement.task.number)
        )

    def delay_next_command(self, machine: Machine) -> None:
        """Delays the next command to a machine that just got a command or an answer.

        A worker answers each command with a list of all its tasks, and a machine with a hundred
        short tasks would need many commands a second. Its next report has the same list.
        """
        gap = GAP_PER_TASK_S * len(machine.placements)
        machine.next_command_at = max(machine.next_command_at, later(self.context.now, gap))

    def push(self) -> None:
        """Sends new orders to the workers as commands; answers to later reports repeat them."""
        if self._dirty:
            self._push_dirty()
        while (
            self._waiting_suspected
            and not self._suspected_limit_reached()
            and self._open < self._max_open
        ):
            self.enqueue(next(iter(self._waiting_suspected)))
            self._push_dirty()

    def _push_dirty(self) -> None:
        while self._dirty and self._open < self._max_open:
            id = next(iter(self._dirty))
            del self._dirty[id]
            machine = self.machines.get(id)
            if machine is not None and self.shares.may_command(machine.share.number):
                self._push_one(machine)

    def _suspected_limit_reached(self) -> bool:
        """Returns whether machines that may not answer use half of the connections, their limit."""
        return 2 * self._open_suspected >= self._max_open

    def _push_one(self, machine: Machine) -> None:
        if machine.command_in_flight or self.context.now < machine.next_command_at:
            # Queued again when the next command may be sent, and not checked at every input.
            self._pause(machine)
            return
        if machine.suspected and self._suspected_limit_reached():
            # Queued again when a suspected machine's command ended: a whole fleet may wait here.
            self._waiting_suspected[machine.id] = None
            return
        orders = self.orders(machine, answering=False)
        fencing = any(
            placement.fence > machine.token_seen for placement in machine.placements.values()
        )
        if machine.addr and machine.session and (orders or fencing or machine.suspected):
            self._command(machine, orders)

    def _pause(self, machine: Machine) -> None:
        self._paused_until[machine.id] = machine.next_command_at
        heapq.heappush(self._pause_ends, (machine.next_command_at, machine.id))

    def enqueue_due(self) -> None:
        """Queues the machines whose pause between two commands has ended."""
        while self._pause_ends and self._pause_ends[0][0] <= self.context.now:
            ends_at, id = heapq.heappop(self._pause_ends)
            if self._paused_until.get(id) != ends_at:
                continue
            machine = self.machines.get(id)
            if machine is not None and machine.command_in_flight:
                continue  # it is queued again when its command in flight ends
            del self._paused_until[id]
            if machine is not None:
                self._dirty[id] = None

    def _count_opened(self, suspected: bool) -> None:
        self._open += 1
        self._open_suspected += suspected

    def _count_closed(self, suspected: bool) -> None:
        self._open -= 1
        self._open_suspected -= suspected

    def _command(self, machine: Machine, orders: tuple[Order, ...]) -> None:
        machine.command_in_flight = True
        suspected = machine.suspected
        self._count_opened(suspected)
        token, session, known = machine.token, machine.session, machine.known_state
        first_starts = self._note_starts(machine)

        def done(outcome: Outcome) -> None:
            machine.command_in_flight = False
            self._count_closed(suspected)
            if self._paused_until.pop(machine.id, None) is not None:  # was queued meanwhile
                self.enqueue(machine.id)
            if self.machines.get(machine.id) is not machine:
                return
            if isinstance(outcome.body, Report):
                self.apply_report(outcome.body, known)
                self.delay_next_command(machine)
                if outcome.status == 409 and machine.session == session:
                    self.context.log("info", f"machine {machine.id} refused token {token}")
            else:
                self._handle_unanswered(machine, outcome, first_starts)

        self.context.emit(
            Command(done, machine.addr, token, session, orders, self.shares.authority.ends_at())
        )

    def _note_starts(self, machine: Machine) -> list[Placement]:
        """Records which tasks the next command may start; returns those in no earlier command."""
        starts = [
            p for p in machine.placements.values() if not p.seen and not p.stopping and p.active
        ]
        first_starts = [p for p in starts if not p.start_commanded]
        for placement in starts:
            placement.start_commanded = True
            placement.start_token = machine.token
        return first_starts

    def _handle_unanswered(
        self, machine: Machine, outcome: Outcome, first_starts: list[Placement]
    ) -> None:
        """Handles a command without an answer, the first one to start `first_starts`."""
        machine.next_command_at = later(self.context.now, FAILED_GAP_S)
        if outcome.sent:
            # The worker may execute it at any time while token and session match.
            machine.mark_suspected(self.context.now)
            return
        if machine.last_reached_at < outcome.began:
            self.suspect(machine)
        for placement in first_starts:
            # Its start order was never sent, neither in this command nor in an answer, so it
            # can't run anywhere.
            if placement.start_report_seq < 0 and not placement.seen and placement.active:
                self.placements.remove(placement, "unsent")
