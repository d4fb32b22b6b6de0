"""The stored division: the limits (minimum, weight, maximum) of all organisations.

Every node reads it, and operators change it by compare-and-swap through any node.

A change is conditional on the version that its author saw and on the stamp of the stored value, so
of two concurrent changes one is stored and the other is refused. If the answer to a change is lost,
the author repeats the request: a catch-up read shows whether the change was stored.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from .context import Context
from .entitlement_policy import EntitlementPolicy
from .ids import Instant, Stamp
from .shares import Shares
from .sizes import json_size
from .store import CommitResult, Store
from .stored_values import DIVISION, MAPPING, Division, DivisionValue, OrganisationLimits
from .types import DivisionAnswer, DivisionRequest, Write
from .versions import DIVISIONS_VERSION, Versions

MAX_PAST_DIVISIONS = 5  # former divisions (limits of organisations) stored besides, for a rollback
MIN_PAST_DIVISIONS = 1  # a change is refused as too large if not even so many former ones fit
CHANGE_TIMEOUT_S = 4.0  # for which an operator's request waits for the result of a change

NO_CONTACT = "the state service does not answer"
UNKNOWN_OUTCOME = "the change got no answer and may yet be carried out: ask again"


class Divisions:
    """Answers operators' requests to read or change the division (the organisations' limits).

    Passes stored limits to the entitlement policy.
    """

    def __init__(
        self,
        context: Context,
        store: Store,
        shares: Shares,
        versions: Versions,
        policy: EntitlementPolicy,
        capacity: Callable[[], float],
    ) -> None:
        self.context = context
        self.store = store
        self.shares = shares
        self.versions = versions
        self.policy = policy
        self.capacity = capacity  # returns the CPUs of all recorded machines, without leaving ones
        self._mapping_stamp = Stamp(-1)
        self._logged_problem = ""
        if policy.active:
            store.listen(DIVISION, self._division_changed)

    def _division_changed(self, key: str, value: Any, stamp: Stamp) -> None:
        self.policy.division_changed(value.current if value is not None else None)

    def tick(self) -> None:
        """Passes a changed team mapping to the policy, and logs a new reason why that is not in
        force."""
        if not self.policy.active or not self.store.ready:
            return
        stamp = self.store.stamp(MAPPING)
        if stamp == self._mapping_stamp:
            return
        self._mapping_stamp = stamp
        self.policy.mapping_changed(self.shares.of_team, len(self.context.members))
        problem = self.policy.problem if self._any_share_taken() else ""
        if problem != self._logged_problem:
            self._logged_problem = problem
            if problem:
                self.context.log("warning", f"entitlements are not in force: {problem}")

    def _any_share_taken(self) -> bool:
        """Returns whether any share was ever owned; the team mapping is stored when the first share
        is taken."""
        return any(self.shares.owner(share) is not None for share in self.shares.all())

    # --- requests ------------------------------------------------------------------------

    def handle(self, request: DivisionRequest) -> None:
        """Answers a request from a copy of the store that was read after the request arrived."""
        if not self.policy.active:
            self._refuse(request, self.policy.problem)
            return

        def on_read(ok: bool) -> None:
            if not ok:
                self._answer(request, "unreachable", NO_CONTACT)
                return
            self.tick()
            if not self.policy.in_force:
                self._refuse(request, self.policy.problem)
            else:
                self._execute(request)

        self.store.sync(on_read)

    def _execute(self, request: DivisionRequest) -> None:
        match request.action:
            case "show":
                self._answer(request, "ok")
            case "preview":
                self._preview(request)
            case "apply":
                self._change(request, request.limits, request.note)
            case "rollback":
                self._roll_back(request)

    def _preview(self, request: DivisionRequest) -> None:
        fault = self.policy.validate_division(request.limits, self.capacity())
        if fault:
            self._refuse(request, fault)
        else:
            targets = self.policy.preview(request.limits)
            self._answer(request, "ok", targets=dict(targets))

    def _roll_back(self, request: DivisionRequest) -> None:
        past = self._past_divisions()
        if not past:
            self._refuse(request, "version: there is no former division to go back to")
            return
        # If this request is a repetition and its rollback was stored before, the division that it
        # restored is now the second of the former ones.
        restored = past[1] if len(past) > 1 else None
        if restored and self._already_applied(
            request, restored.limits, _rollback_note(request, restored)
        ):
            self._answer(request, "ok")
            return
        self._change(request, past[0].limits, _rollback_note(request, past[0]))

    def _change(
        self, request: DivisionRequest, limits: Sequence[OrganisationLimits], note: str
    ) -> None:
        if self._already_applied(request, limits, note):
            self._answer(request, "ok")
            return
        current = self.policy.division()
        proposed = Division(
            current.version + 1, _sorted_by_name(limits), request.author, note, request.at
        )
        fault = self._validate_change(request, proposed, current)
        value = self._stored_value(proposed, current)
        if fault:
            self._refuse(request, fault)
        elif value is None:
            self._refuse(request, "limits: more than a stored value may hold")
        else:
            self._commit(request, value)

    def _already_applied(
        self, request: DivisionRequest, limits: Sequence[OrganisationLimits], note: str
    ) -> bool:
        """Returns whether the division in force is this change, made on the version that the
        request expects. This is so when a request is repeated after its answer was lost."""
        current = self.policy.division()
        stored = (current.version - 1, current.author, current.note, current.limits)
        return stored == (request.expect, request.author, note, _sorted_by_name(limits))

    def _validate_change(
        self, request: DivisionRequest, proposed: Division, current: Division
    ) -> str:
        if request.expect != current.version:
            return (
                f"version: expected {request.expect}, but version {current.version}"
                f" is in force{_describe_change(current)}"
            )
        if not self.versions.all_read_divisions:
            former = [
                member
                for member, version in self.versions.by_member().items()
                if version is None or version < DIVISIONS_VERSION
            ]
            return f"versions: not every controller is known to read divisions: {former}"
        return self.policy.validate_division(proposed.limits, self.capacity())

    def _past_divisions(self) -> list[Division]:
        stored = self.store.get(DIVISION)
        return stored.past if stored is not None else []

    def _stored_value(self, proposed: Division, current: Division) -> DivisionValue | None:
        """Returns the value to store, with as many former divisions as fit, or None if it would be
        too large."""
        past = [current, *self._past_divisions()][:MAX_PAST_DIVISIONS]
        while len(past) >= MIN_PAST_DIVISIONS:
            value = DivisionValue(proposed, past)
            if json_size(msgspec.to_builtins(value)) <= self.context.limits.value_bytes:
                return value
            past.pop()
        return None

    def _commit(self, request: DivisionRequest, value: DivisionValue) -> None:
        def on_commit(result: CommitResult, stamp: Stamp) -> None:
            match result:
                case CommitResult.OK:
                    self.context.log("info", f"division {value.current.version} is in force")
                    self._answer(request, "ok")
                case CommitResult.CONFLICT:
                    self._resolve_conflict(request)
                case CommitResult.REJECTED:
                    self._refuse(request, "limits: the state service takes no such value")
                case CommitResult.REFUSED:
                    self._answer(request, "unreachable", NO_CONTACT)
                case _:
                    self._answer(request, "unknown", UNKNOWN_OUTCOME)

        self.store.commit(
            [self.store.expect(DIVISION), self.store.expect(MAPPING)],
            [Write(DIVISION, value)],
            on_commit,
            Store.USER,
            Instant(self.context.now + CHANGE_TIMEOUT_S),
        )

    def _resolve_conflict(self, request: DivisionRequest) -> None:
        """Reads the store after a commit whose conditions failed, and executes the request again.

        Another division was stored, or the team mapping changed, or an earlier attempt to commit
        this change succeeded without an answer.
        """

        def on_read(ok: bool) -> None:
            if ok:
                # The answer is "ok" if this change itself was stored, and "refused" if another
                # division was. If only the team mapping changed, the change is tried again.
                self._execute(request)
            else:
                self._answer(request, "unknown", UNKNOWN_OUTCOME)

        self.store.sync(on_read)

    # --- answers -------------------------------------------------------------------------

    def _refuse(self, request: DivisionRequest, reason: str) -> None:
        self._answer(request, "refused", reason)

    def _answer(
        self,
        request: DivisionRequest,
        result: str,
        reason: str = "",
        targets: dict[str, float] | None = None,
    ) -> None:
        in_force = self.policy.active and self.policy.in_force
        self.context.emit(
            DivisionAnswer(
                request.request,
                result,
                reason,
                self.policy.division() if in_force else None,
                self._past_divisions() if in_force else [],
                targets or {},
            )
        )


def _sorted_by_name(limits: Sequence[OrganisationLimits]) -> list[OrganisationLimits]:
    return sorted(limits, key=lambda entry: entry.name)


def _rollback_note(request: DivisionRequest, former: Division) -> str:
    return request.note or f"rollback to version {former.version}"


def _describe_change(division: Division) -> str:
    by = f" by {division.author}" if division.author else ""
    return f" (made{by}: {division.note or 'no note'})"
