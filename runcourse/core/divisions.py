"""The stored division: read by every node, changed by compare-and-swap through any of them.

A change rests on the version that its author saw and on the stamp of the stored value, so of two
that are made at once one is stored and the other is refused. A change whose answer was lost is
settled by a read: asking again tells whether it stands.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

import msgspec

from .context import Context
from .entitlement import EntitlementPolicy
from .ids import Instant, Stamp
from .shares import Shares
from .sizes import json_size
from .store import CommitResult, Store
from .stored_values import DIVISION, MAPPING, Division, DivisionValue, OrganisationLimits
from .types import DivisionAnswer, DivisionRequest, Write
from .versions import DIVISIONS, Versions

PAST_KEPT = 5  # former divisions in the stored value, for a rollback
LEAST_KEPT = 1  # without which a value counts as too large
CHANGE_S = 4.0  # for which whoever asked for a change waits

NO_CONTACT = "the state service does not answer"
UNKNOWN_FATE = "the change got no answer and may yet be carried out: ask again"


class Divisions:
    """Answers operators' requests, and keeps the policy up to date with the store."""

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
        self.capacity = capacity  # CPUs on record
        self._mapped = Stamp(-1)
        self._logged = ""
        if policy.active:
            store.listen(DIVISION, self._changed)

    def _changed(self, key: str, value: Any, stamp: Stamp) -> None:
        self.policy.division_changed(value.current if value is not None else None)

    def tick(self) -> None:
        """Follow the dealing of teams; say once why the policy is not in force."""
        if not self.policy.active or not self.store.ready:
            return
        stamp = self.store.stamp(MAPPING)
        if stamp == self._mapped:
            return
        self._mapped = stamp
        self.policy.assign(self.shares.of_team, len(self.context.members))
        problem = self.policy.problem if self._founded() else ""
        if problem != self._logged:
            self._logged = problem
            if problem:
                self.context.log("warning", f"entitlements are not in force: {problem}")

    def _founded(self) -> bool:
        """Was any share ever taken? Before that nothing is dealt."""
        return any(self.shares.owner(share) is not None for share in self.shares.all())

    # --- requests ------------------------------------------------------------------------

    def handle(self, request: DivisionRequest) -> None:
        """Answer a request; what it rests on is read after it arrived."""
        if not self.policy.active:
            self._refuse(request, self.policy.problem)
            return

        def read(ok: bool) -> None:
            if not ok:
                self._answer(request, "unreachable", NO_CONTACT)
                return
            self.tick()
            if not self.policy.in_force:
                self._refuse(request, self.policy.problem)
            else:
                self._serve(request)

        self.store.sync(read)

    def _serve(self, request: DivisionRequest) -> None:
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
        fault = self.policy.fault(request.limits, self.capacity())
        if fault:
            self._refuse(request, fault)
        else:
            targets = self.policy.preview(request.limits)
            self._answer(request, "ok", targets=dict(targets))

    def _roll_back(self, request: DivisionRequest) -> None:
        past = self._past()
        if not past:
            self._refuse(request, "version: there is no former division to go back to")
            return
        # Was it carried out before? Then what was restored is now the one before the last.
        restored = past[1] if len(past) > 1 else None
        if restored and self._stands(request, restored.limits, _rollback_note(request, restored)):
            self._answer(request, "ok")
            return
        self._change(request, past[0].limits, _rollback_note(request, past[0]))

    def _change(
        self, request: DivisionRequest, limits: Sequence[OrganisationLimits], note: str
    ) -> None:
        if self._stands(request, limits, note):
            self._answer(request, "ok")
            return
        current = self.policy.division()
        wanted = Division(current.version + 1, _sorted(limits), request.author, note, request.at)
        fault = self._fault(request, wanted, current)
        value = self._value(wanted, current)
        if fault:
            self._refuse(request, fault)
        elif value is None:
            self._refuse(request, "limits: more than a stored value may hold")
        else:
            self._commit(request, value)

    def _stands(
        self, request: DivisionRequest, limits: Sequence[OrganisationLimits], note: str
    ) -> bool:
        """Was just this change made on the version named? Its answer was lost, it seems."""
        current = self.policy.division()
        made = (current.version - 1, current.author, current.note, current.limits)
        return made == (request.expect, request.author, note, _sorted(limits))

    def _fault(self, request: DivisionRequest, wanted: Division, current: Division) -> str:
        if request.expect != current.version:
            return (
                f"version: expected {request.expect}, but version {current.version}"
                f" is in force{_made(current)}"
            )
        if not self.versions.divisions_read:
            former = [m for m, v in self.versions.seen().items() if v is None or v < DIVISIONS]
            return f"versions: not every controller is known to read divisions: {former}"
        return self.policy.fault(wanted.limits, self.capacity())

    def _past(self) -> list[Division]:
        stored = self.store.get(DIVISION)
        return stored.past if stored is not None else []

    def _value(self, wanted: Division, current: Division) -> DivisionValue | None:
        """The new value with as many former divisions as it holds; None: too large."""
        past = [current, *self._past()][:PAST_KEPT]
        while len(past) >= LEAST_KEPT:
            value = DivisionValue(wanted, past)
            if json_size(msgspec.to_builtins(value)) <= self.context.limits.value_bytes:
                return value
            past.pop()
        return None

    def _commit(self, request: DivisionRequest, value: DivisionValue) -> None:
        def done(result: CommitResult, stamp: Stamp) -> None:
            match result:
                case CommitResult.OK:
                    self.context.log("info", f"division {value.current.version} is in force")
                    self._answer(request, "ok")
                case CommitResult.CONFLICT:
                    self._overtaken(request)
                case CommitResult.REJECTED:
                    self._refuse(request, "limits: the state service takes no such value")
                case CommitResult.REFUSED:
                    self._answer(request, "unreachable", NO_CONTACT)
                case _:
                    self._answer(request, "unknown", UNKNOWN_FATE)

        self.store.commit(
            [self.store.expect(DIVISION), self.store.expect(MAPPING)],
            [Write(DIVISION, value)],
            done,
            Store.USER,
            Instant(self.context.now + CHANGE_S),
        )

    def _overtaken(self, request: DivisionRequest) -> None:
        """Another change was stored first: read it, and name both versions."""

        def read(ok: bool) -> None:
            if ok:
                self._serve(request)  # the version it expects is former now, or it stands
            else:
                self._answer(request, "unknown", UNKNOWN_FATE)

        self.store.sync(read)

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
        shown = self.policy.active and self.policy.in_force
        self.context.emit(
            DivisionAnswer(
                request.request,
                result,
                reason,
                self.policy.division() if shown else None,
                self._past() if shown else [],
                targets or {},
            )
        )


def _sorted(limits: Sequence[OrganisationLimits]) -> list[OrganisationLimits]:
    return sorted(limits, key=lambda entry: entry.name)


def _rollback_note(request: DivisionRequest, former: Division) -> str:
    return request.note or f"rollback to version {former.version}"


def _made(division: Division) -> str:
    by = f" by {division.author}" if division.author else ""
    return f" (made{by}: {division.note or 'no note'})"
