"""Requests of users in the simulated cluster and the answers they receive."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from runcourse.core import types as t
from runcourse.core.jobs import JobSpec

USER_TIMEOUT_S = 4.0
USER_POLL_S = 0.05


class UserRequests:
    """The part of `World` that sends requests to nodes and records the answers."""

    def ask(self, origin: str, member: str, event: Any, answered: Callable[[Any], None]) -> None:
        def arrive() -> None:
            if self.nodes[member] is None:
                self.after(self._latency(), lambda: answered(None))
                return
            if not self.reachable(origin, member):
                return
            event.request = next(self._requests)

            def reply(answer: Any) -> None:
                if self.reachable(origin, member) and origin not in self.inbound_cut:
                    self.after(self._latency(), lambda: answered(answer))

            self._answers[(member, self.generation[member], event.request)] = reply
            self.feed(member, event)

        self.after(self._latency(), arrive)
        if isinstance(event, t.ReportReceived):
            report = event.report

            def deliver_copy() -> None:
                if self.nodes[member] is not None:
                    self.feed(member, t.ReportReceived(next(self._requests), report))

            self._maybe_duplicate(deliver_copy)

    def _user(self, member: str, event: Any) -> t.UserAnswer | None:
        answers: list[Any] = []
        self.ask("user", member, event, answers.append)
        deadline = self.now + USER_TIMEOUT_S
        while not answers and self.now < deadline:
            self.run(USER_POLL_S)
        return answers[0] if answers else None

    def submit(self, job: JobSpec, member: str = "n0") -> int:
        self.specs[job.uid] = job
        answer = self._user(member, t.Submit(0, job.uid, job))
        if answer is not None and answer.status in (200, 201):
            self.record_stage(job.uid, answer.body["stage"])
        return answer.status if answer else 0

    def poll(self, uid: str, member: str = "n0") -> str:
        answer = self._user(member, t.Poll(0, uid))
        if answer is None or answer.status not in (200, 404):
            return "?"
        stage = "unknown" if answer.status == 404 else str(answer.body["stage"])
        self.record_stage(uid, stage)
        return stage

    def cancel(self, uid: str, member: str = "n0") -> str:
        answer = self._user(member, t.Cancel(0, uid))
        if answer is None or answer.status != 200:
            return "?"
        self.record_stage(uid, answer.body["stage"])
        return str(answer.body["stage"])

    def record_stage(self, uid: str, stage: str, known: str | None = None) -> None:
        """Records a stage that a user received and checks it against earlier answers.

        `known` is the stage the user knew when the request was sent: concurrent answers may arrive
        in any order and do not contradict each other.
        """
        before = known or self.last_stages.get(uid)
        if stage == "cancelled":
            self.cancelled_at.setdefault(uid, self.now)
        if before in ("done", "cancelled") and stage != before:
            self.violations.append(f"went_back: {uid} {before} -> {stage}")
        # A job that was unknown before had not been accepted yet, if it ever was.
        if before not in (None, "unknown") and stage == "unknown":
            self.violations.append(f"forgotten: {uid}")
        if stage == "done":
            missing = [
                i
                for i in range(self.specs[uid].tasks)
                if not any(x.job == uid and x.number == i for x in self.finished)
            ]
            if missing:
                self.violations.append(f"not_done: {uid} lacks {missing}")
        # A final stage stays against concurrent answers; `unknown` replaces no other stage.
        if self.last_stages.get(uid) not in ("done", "cancelled") and (
            stage != "unknown" or before is None
        ):
            self.last_stages[uid] = stage
