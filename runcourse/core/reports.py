"""What workers say: which messages are believed, and what follows from those that are."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from .context import Context
from .ids import Instant, MachineId, Session
from .jobs import Jobs
from .machine import Known, Machine
from .placements import PlacementObserver, PlacementTable
from .types import Report
from .worker_commands import WorkerCommands

REPORT_TIMEOUT_S = 4.0  # how long a worker waits for the answer to a report
RETRY_AFTER_S = 1.0  # and then until it tries the next node


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

    def apply(self, report: Report, since: Known | None = None) -> bool:
        """Take a message of a machine owned here. False: it is not believed.

        `since` is given for an answer to a question or command of ours, which is live: what
        was known when it was sent. A report may be a late copy instead, so it counts only if
        nothing speaks against it: in one life of a worker its numbers rise, and its token
        never goes back.
        """
        machine = self.machines.get(report.machine)
        if machine is None:
            return False
        if since is not None and self._went_back(report, since):
            self._restarted(machine, report)
        elif not self._is_newer(machine, report, live=since is not None):
            return False
        # What a session says that surely ended is of no use, however late it arrives.
        if report.session <= machine.expired_session:
            if since is None:
                self.commands.probe(machine)
            return False
        usable = self.usable(machine)
        self._begin_session(machine, report)
        if since is None:
            self._check_orders(machine, report)
            machine.report_number = (report.session, report.seq)
        self._note_contact(machine, report, live=since is not None)
        self._note_notice(machine, report)
        self._apply_tasks(machine, report)
        if not machine.settled and report.token >= machine.base_token:
            machine.settled = True
            self.observer.capacity_changed()
        if not usable and self.usable(machine):
            # A machine that came up or back is new room, though nothing on it changed.
            self.observer.capacity_changed()
        return True

    @staticmethod
    def _went_back(report: Report, since: Known) -> bool:
        return (report.session, report.seq) < since.number or report.token < since.token

    def _is_newer(self, machine: Machine, report: Report, live: bool) -> bool:
        """Does nothing speak against its being newer than all that was heard?"""
        number = (report.session, report.seq)
        if report.token < max(machine.token_seen, machine.born):
            # From another life of this worker, the one before or the one after: ask it.
            if not live:
                self.commands.probe(machine)
            return False
        if number <= (machine.session, machine.seq):
            # An old copy, or a worker that came back without memory.
            if not live and number <= machine.report_number:
                self.commands.probe(machine)
            return False
        return True

    def _begin_session(self, machine: Machine, report: Report) -> None:
        """A message of a session, or of a machine, that was not heard before."""
        now = self.context.now
        if report.session > machine.session or machine.last_message_at < 0:
            # A session's lease counts from its beginning, whatever was answered before; tasks
            # may be started in it by commands before any report of it is answered.
            machine.note_answer(now)
        if report.session > machine.session:
            if machine.session:
                for placement in list(machine.placements.values()):
                    self.placements.remove(placement, "session")
                # Its lease ran out, so answers may not reach it.
                machine.mark_suspected(now)
                self.commands.wake(machine.id)
            machine.images.clear()
            machine.fetches = None
            machine.up_since = now
        if machine.last_message_at < 0:
            machine.up_since = now
            machine.suspected_at = now
            self.commands.wake(machine.id)  # an empty command shows that it can be reached

    def _note_contact(self, machine: Machine, report: Report, live: bool) -> None:
        machine.addr = report.addr or machine.addr
        machine.session, machine.seq = report.session, report.seq
        machine.note_heard(self.context.now)
        suspected = machine.suspected
        machine.token_seen = max(machine.token_seen, report.token)
        if not machine.suspected and (suspected or live):
            machine.reached = self.context.now

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
        for key, placement in list(machine.placements.items()):
            if key in listed:
                continue
            if placement.seen or (placement.fence and report.token >= placement.fence):
                self.placements.remove(placement, "absent")
                self.observer.capacity_changed()

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
        machine.born = machine.suspect_token
        self.commands.wake(machine.id)

    def _check_orders(self, machine: Machine, report: Report) -> None:
        """A worker sends its next report only after it had the answer to the one before, or
        gave it up: orders of that answer that left no trace did not arrive."""
        listed = {(entry.task, entry.attempt) for entry in report.tasks}
        if any(
            0 <= p.given < report.seq and not p.seen and key not in listed
            for key, p in machine.placements.items()
        ):
            self.commands.suspect(machine)

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
            self.commands.suspect(machine, max(before, machine.reached))
