"""Intake of workers' messages: which are accepted, and their effects on machines and tasks."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from .context import Context
from .ids import Instant, MachineId, Session
from .jobs import Jobs
from .machine import KnownState, Machine, Placement
from .placements import PlacementObserver, PlacementTable
from .types import Report
from .worker_commands import WorkerCommands

REPORT_TIMEOUT_S = 4.0  # how long a worker waits for the answer to a report
RETRY_AFTER_S = 1.0  # how long it then waits before it tries the next node

# A worker may have tried other nodes between two reports if the pause was longer than both: this
# part of the timeout and retry delay that a report without an answer takes; this many report
# intervals and a margin, within which a regular report comes.
UNANSWERED_FRACTION = 0.95
LATE_REPORT_INTERVALS = 1.25
LATE_MARGIN_S = 0.75


class ReportIntake:
    """Applies the messages of workers to their machines and placements."""

    def __init__(
        self,
        context: Context,
        jobs: Jobs,
        machines: Mapping[MachineId, Machine],
        commands: WorkerCommands,
        placements: PlacementTable,
        observer: PlacementObserver,
        usable: Callable[[Machine], bool],
    ) -> None:
        self.context = context
        self.jobs = jobs
        self.machines = machines
        self.commands = commands
        self.placements = placements
        self.observer = observer
        self.usable = usable

    def apply(self, report: Report, known: KnownState | None = None) -> bool:
        """Applies a message of a machine owned here; returns False if it is rejected.

        For an answer to a probe or command, which is live, `known` is the worker's known state
        when the probe or command was sent. A report may instead be a delayed copy, so it is
        accepted only if it is consistent with newer messages: until a worker restarts, its
        session and sequence numbers rise and its token never decreases.
        """
        machine = self.machines.get(report.machine)
        if machine is None:
            return False
        if known is not None and self._moved_back(report, known):
            self._handle_restart(machine, report)
        elif not self._is_newer(machine, report, live=known is not None):
            return False
        # Messages of a session whose lease surely expired are rejected, however late they arrive.
        if report.session <= machine.expired_session:
            if known is None:
                self.commands.probe(machine)
            return False
        usable = self.usable(machine)
        self._begin_session(machine, report)
        if known is None:
            self._check_orders(machine, report)
            machine.report_number = (report.session, report.seq)
        self._note_contact(machine, report, live=known is not None)
        self._note_notice(machine, report)
        self._apply_tasks(machine, report)
        if not machine.settled and report.token >= machine.base_token:
            machine.settled = True
            self.observer.capacity_changed()
        if not usable and self.usable(machine):
            # A machine that became usable adds capacity, although nothing on it changed.
            self.observer.capacity_changed()
        return True

    @staticmethod
    def _moved_back(report: Report, known: KnownState) -> bool:
        return (report.session, report.seq) < known.number or report.token < known.token

    def _is_newer(self, machine: Machine, report: Report, live: bool) -> bool:
        """Returns whether the message can be newer than all that were accepted.

        Probes the worker if a report may come from before or after a restart; `live` marks
        answers to commands and probes, which cause no probe.
        """
        number = (report.session, report.seq)
        if report.token < max(machine.token_seen, machine.min_report_token):
            # Sent before or after a restart of the worker; a probe shows which.
            if not live:
                self.commands.probe(machine)
            return False
        if number <= (machine.session, machine.seq):
            # A delayed copy, or the worker restarted and lost its state.
            if not live and number <= machine.report_number:
                self.commands.probe(machine)
            return False
        return True

    def _begin_session(self, machine: Machine, report: Report) -> None:
        """Handles the first message of a session or of a machine; others change nothing."""
        now = self.context.now
        if report.session > machine.session or machine.last_message_at < 0:
            # A session's lease counts from its beginning, regardless of earlier answers: commands
            # may start tasks in it before any report of it is answered.
            machine.note_answer(now)
        if report.session > machine.session:
            if machine.session:
                for placement in list(machine.placements.values()):
                    self.placements.remove(placement, "session")
                # The worker's lease expired, so answers may not reach it.
                machine.mark_suspected(now)
                self.commands.enqueue(machine.id)
            machine.images.clear()
            machine.fetches = None
            machine.up_since = now
        if machine.last_message_at < 0:
            machine.up_since = now
            machine.suspected_at = now
            self.commands.enqueue(machine.id)  # an empty command proves that it is reachable

    def _note_contact(self, machine: Machine, report: Report, live: bool) -> None:
        machine.addr = report.addr or machine.addr
        machine.session, machine.seq = report.session, report.seq
        machine.note_message(self.context.now)
        was_suspected = machine.suspected
        machine.token_seen = max(machine.token_seen, report.token)
        if not machine.suspected and (was_suspected or live):
            machine.last_reached_at = self.context.now

    def _note_notice(self, machine: Machine, report: Report) -> None:
        if report.notice_s is None:
            machine.notice_until = None
            return
        if machine.notice_until is None:
            self.context.log("info", f"machine {machine.id}: notice, {report.notice_s:.1f} s")
            self.observer.capacity_changed()
        machine.note_notice(Instant(self.context.now + max(report.notice_s, 0.0)))

    def _apply_tasks(self, machine: Machine, report: Report) -> None:
        listed = set()
        for entry in report.tasks:
            listed.add((entry.task, entry.attempt))
            self.placements.update(machine, entry, self.jobs.get(entry.task.job))
        lost: list[Placement] = []
        for key, placement in list(machine.placements.items()):
            if key in listed:
                continue
            if not placement.active or (placement.fence and report.token >= placement.fence):
                self.placements.remove(placement, "absent")
                self.observer.capacity_changed()
            elif placement.seen:
                # A worker forgets no attempt without an order, unless it restarts.
                lost.append(placement)
        self.placements.mark_lost(machine, lost)

    def accept_overtaken(self, report: Report) -> bool:
        """Returns whether a later answer to a command or probe overtook this report.

        Unlike after a delayed copy, its worker still waits for an answer; so the report's number
        is recorded, and the answer may be sent.
        """
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

    def _handle_restart(self, machine: Machine, report: Report) -> None:
        """Handles a live answer with lower numbers than known: the worker lost its state.

        Delayed reports from before the restart must not be accepted, so from now on only reports
        with the token raised here are. The active tasks that the worker does not list are lost.
        """
        self.context.log("warning", f"machine {machine.id}: came back without memory")
        # A late copy may start the active ones there again, so they are not removed yet.
        for placement in list(machine.placements.values()):
            if not placement.active:
                self.placements.remove(placement, "restart")
        machine.images.clear()
        machine.fetches = None
        machine.session, machine.seq = report.session, -1
        machine.report_number = (report.session, -1)
        machine.expired_session = Session(0)
        machine.token_seen = report.token
        machine.mark_suspected(self.context.now)
        machine.suspected_at = machine.up_since = self.context.now
        machine.note_answer(self.context.now)
        machine.min_report_token = machine.suspect_token
        self.commands.enqueue(machine.id)

    def _check_orders(self, machine: Machine, report: Report) -> None:
        """Marks the machine as suspected (possibly unreachable) if start orders had no effect.

        The orders were in an earlier answer. A worker sends its next report only after it got the
        answer to the previous one, or gave up waiting. If a task of those orders was never listed,
        that answer did not arrive.
        """
        listed = {(entry.task, entry.attempt) for entry in report.tasks}
        if any(
            0 <= placement.start_report_seq < report.seq
            and not placement.seen
            and key not in listed
            for key, placement in machine.placements.items()
        ):
            self.commands.suspect(machine)

    def note_route(self, machine: Machine, relayed: bool, previous_message_at: Instant) -> None:
        """Marks the machine as possibly unreachable if an answer to its reports may be lost.

        That is so if a peer relayed the report, or if it came after a pause since
        `previous_message_at` that is long enough for the worker to have tried other nodes.
        """
        now = self.context.now
        pause_s = max(
            UNANSWERED_FRACTION * (REPORT_TIMEOUT_S + RETRY_AFTER_S),
            LATE_REPORT_INTERVALS * self.context.platform.settings.workers.report_s + LATE_MARGIN_S,
        )
        if (
            (relayed or now - previous_message_at > pause_s)
            and previous_message_at >= 0
            and now - machine.last_reached_at > REPORT_TIMEOUT_S
        ):
            self.commands.suspect(machine, max(previous_message_at, machine.last_reached_at))
