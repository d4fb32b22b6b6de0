"""Tests the parts of entitlements that need no controller: settings file, team mapping, limits and
reconciler."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest
from world import platform

from runcourse.core.entitlement_policy import PoolState, Reassignment, ShareState
from runcourse.core.ids import Instant, ShareNo
from runcourse.core.stored_values import Division, OrganisationLimits
from runcourse.entitlements.limits import validate_limits
from runcourse.entitlements.policy import Entitlements
from runcourse.entitlements.reconciler import MAX_DWELL_FACTOR, Reconciler
from runcourse.entitlements.settings import EntitlementSettings, Organisation, load_entitlements
from runcourse.entitlements.team_mapping import count_shares, derive_assignment, order_teams
from runcourse.errors import SettingsError

VALID_FILE = (
    '(entitlements (pool 200) (organisation (name "a") (teams "team-0" "team-1") (weight 2))'
    ' (organisation (name "b") (teams "team-2" "team-3") (minimum 8) (maximum 16)))'
)


def load_file(tmp_path: Path, text: str) -> Any:
    path = tmp_path / "entitlements.sexp"
    path.write_text(text)
    return load_entitlements(path, platform("n0"))


def test_valid_file_is_read(tmp_path: Path) -> None:
    read = load_file(tmp_path, VALID_FILE)
    assert [o.name for o in read.organisations] == ["a", "b"] and read.pool == 200
    assert read.organisations[1].limits == OrganisationLimits("b", 8.0, 1.0, 16.0)


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        (('"team-1"', '"team-9"'), "teams: unknown team 'team-9'"),
        (('"team-1"', '"team-2"'), "teams: the team 'team-2' is given twice"),
        (('"team-0" "team-1"', '"team-0"'), "in no organisation: team-1"),
        (('"b"', '"a"'), "the name 'a' is given twice"),
        (("(weight 2)", "(weight 0)"), "weight"),
        (("(weight 2)", "(weight -1)"), "weight"),
        (("(weight 2)", "(weight nan)"), "weight"),
        (("(maximum 16)", "(maximum 4)"), "organisation[1].maximum: less than minimum"),
        (("(minimum 8)", "(colour 8)"), "organisation[1].colour: unknown setting"),
        (("(pool 200)", "(organisations 3)"), "organisations: unknown setting"),
    ],
)
def test_invalid_file_is_refused(tmp_path: Path, change: tuple[str, str], reason: str) -> None:
    with pytest.raises(SettingsError) as caught:
        load_file(tmp_path, VALID_FILE.replace(*change))
    assert reason in str(caught.value) and "entitlements.sexp: " in str(caught.value)


def test_more_organisations_than_shares_are_refused(tmp_path: Path) -> None:
    each = " ".join(f'(organisation (name "o{n}") (teams "team-{n}"))' for n in range(4))
    with pytest.raises(SettingsError, match="4 of them, but only 3 shares"):
        load_file(tmp_path, f"(entitlements {each})")


# --- team mapping ------------------------------------------------------------------------


def organisation(name: str, teams: int, weight: float = 1.0) -> Organisation:
    return Organisation(name, tuple(f"{name}-{n}" for n in range(teams)), weight=weight)


@pytest.mark.parametrize(
    ("organisations", "shares", "expected"),
    [
        ([organisation("a", 8), organisation("b", 12)], 3, {"a": 2, "b": 1}),
        ([organisation("a", 8), organisation("b", 12, 2.0)], 3, {"a": 1, "b": 2}),
        ([organisation("a", 8), organisation("b", 12, 4.0)], 5, {"a": 1, "b": 4}),
        ([organisation("a", 1, 9.0), organisation("b", 2)], 5, {"a": 1, "b": 2}),
        ([organisation("a", 1)], 3, {"a": 1}),
    ],
)
def test_each_share_serves_one_organisation(
    organisations: list[Organisation], shares: int, expected: dict[str, int]
) -> None:
    assert count_shares(organisations, shares) == expected
    names = order_teams(organisations, shares)
    assert names == order_teams(organisations[::-1], shares), "independent of the file's order"
    share_by_team = {name: ShareNo(n % shares) for n, name in enumerate(names)}
    assignment = derive_assignment(organisations, lambda team: share_by_team[team], shares)
    assert not assignment.problem
    for name, count in expected.items():
        assert sum(served == name for served in assignment.organisation_by_share.values()) == count


def test_mapping_made_without_organisations_is_reported() -> None:
    organisations = [organisation("a", 2), organisation("b", 2)]
    share_by_team = {"a-0": 0, "a-1": 1, "b-0": 1, "b-1": 2}
    assignment = derive_assignment(organisations, lambda team: ShareNo(share_by_team[team]), 3)
    assert assignment.problem.endswith("share 1: a-1 of a; b-0 of b")


@pytest.mark.parametrize(
    ("limits", "fault"),
    [
        ([("a", 0, 1, None), ("b", 0, 1, None)], ""),
        ([("a", 0, 1, None)], "organisations: missing: b"),
        ([("a", 0, 1, None), ("c", 0, 1, None)], "organisations[1].name: unknown organisation 'c'"),
        ([("a", 0, 1, None), ("a", 0, 1, None)], "organisations[0].name: 'a' is listed twice"),
        ([("a", 60, 1, None), ("b", 41, 1, None)], "minima of 101 CPUs are above the pool of 100"),
        ([("a", 9, 1, 8), ("b", 0, 1, None)], "organisations[0].maximum: 8 is less than"),
        ([("a", 0, 0, None), ("b", 0, 1, None)], "organisations[0].weight"),
        ([("a", 0, -1, None), ("b", 0, 1, None)], "organisations[0].weight"),
        ([("a", 0, float("nan"), None), ("b", 0, 1, None)], "organisations[0].weight"),
        ([("a", float("nan"), 1, None), ("b", 0, 1, None)], "organisations[0].minimum"),
        ([("a", 0, 1, float("nan")), ("b", 0, 1, None)], "organisations[0].maximum"),
        ([("a", 0, 1, 0), ("b", 0, 1, None)], "organisations[0].maximum"),
    ],
)
def test_errors_in_the_limits_of_a_division(limits: list[Any], fault: str) -> None:
    entries = [OrganisationLimits(*entry) for entry in limits]
    found = validate_limits(entries, {"a", "b"}, {"a", "b"}, 100.0)
    assert fault in found and bool(fault) == bool(found)


def test_an_organisation_without_a_share_is_refused() -> None:
    entries = [OrganisationLimits("a"), OrganisationLimits("b")]
    assert "'b' has no share" in validate_limits(entries, {"a", "b"}, {"a"}, 100.0)


# --- reconciler --------------------------------------------------------------------------

ORGANISATION_BY_SHARE = {ShareNo(0): "a", ShareNo(1): "b"}
LIMITS = [OrganisationLimits("a"), OrganisationLimits("b")]


def observe_shares(
    reconciler: Reconciler, a: tuple[float, float], b: tuple[float, float], **changes: Any
) -> Reconciler:
    """Gives the reconciler the state of share 0 of `a` and share 1 of `b`.

    `a` and `b` are CPUs held and CPUs waiting; all CPUs held are in use. `stale` is a share whose
    report is not valid.
    """
    shares = [
        ShareState(ShareNo(n), held, held, changes.get("replicas", 0.0), waiting, True)
        for n, (held, waiting) in enumerate((a, b))
    ]
    stale = changes.get("stale")
    if stale is not None:
        shares[stale] = shares[stale]._replace(report_valid=False, used=0.0, waiting=0.0)
    reconciler.observe(PoolState(shares, 4.0), ORGANISATION_BY_SHARE, LIMITS)
    return reconciler


def new_reconciler() -> Reconciler:
    """Returns a reconciler with a dwell time of 5 s that began at time 0."""
    reconciler = Reconciler(5.0)
    reconciler.begin(Instant(0.0))
    return reconciler


def test_reassignment_begins_above_a_deficit_of_one_machine_and_ends_below_it() -> None:
    reconciler = observe_shares(new_reconciler(), (20.0, 40.0), (28.0, 40.0))
    assert reconciler.reassignments(Instant(10.0)) == [], (
        "a deficit of one machine does not begin a reassignment"
    )
    observe_shares(reconciler, (16.0, 40.0), (32.0, 40.0))
    assert reconciler.reassignments(Instant(10.0)) == [Reassignment(ShareNo(1), ShareNo(0), 8.0)]
    observe_shares(reconciler, (20.0, 40.0), (28.0, 40.0))
    assert reconciler.reassignments(Instant(12.0)), "a reassignment that has begun continues"
    observe_shares(reconciler, (24.0, 40.0), (24.0, 40.0))
    assert reconciler.reassignments(Instant(14.0)) == []
    observe_shares(reconciler, (20.0, 40.0), (28.0, 40.0))
    assert reconciler.reassignments(Instant(16.0)) == [], (
        "after its end the larger deficit is needed again"
    )


def test_alternating_reassignments_wait_longer_each_time() -> None:
    reconciler = new_reconciler()
    now, waits_s = 10.0, []
    pool_states = [((8.0, 40.0), (40.0, 40.0)), ((40.0, 40.0), (8.0, 40.0))]
    for n in range(8):
        began = now
        observe_shares(reconciler, *pool_states[n % 2])
        while not reconciler.reassignments(Instant(now)):
            now += 0.5
            assert now < began + 60.0
        waits_s.append(now - began)
    assert waits_s[:5] == [0.0, 5.0, 10.0, 20.0, 40.0]
    assert set(waits_s[5:]) == {5.0 * MAX_DWELL_FACTOR}, "the wait is bounded"


def test_new_leader_waits_the_dwell_time_before_it_reassigns() -> None:
    reconciler = observe_shares(new_reconciler(), (8.0, 40.0), (40.0, 40.0))
    assert reconciler.reassignments(Instant(4.9)) == []
    assert reconciler.reassignments(Instant(5.0))
    assert reconciler.may_take(ShareNo(1), ShareNo(0), 4.0), (
        "empty machines may be taken without a wait"
    )


def test_owner_without_a_valid_report_counts_as_needing_all_it_holds() -> None:
    reconciler = observe_shares(new_reconciler(), (8.0, 40.0), (40.0, 40.0), stale=1)
    assert reconciler.organisation_states["b"].demand == 40.0
    assert reconciler.organisation_states["b"].target == 24.0, (
        "its target is no more than its part of the pool"
    )


def test_unused_cpus_count_as_lent_and_cpus_held_by_replicas_as_debt() -> None:
    reconciler = observe_shares(new_reconciler(), (0.0, 0.0), (48.0, 40.0))
    assert reconciler.organisation_states["a"].lent == 24.0 and not reconciler.below_target(
        ShareNo(0)
    )
    observe_shares(reconciler, (0.0, 400.0), (48.0, 40.0), replicas=30.0)
    state = reconciler.organisation_states["b"]
    assert (state.target, state.surplus, state.debt) == (24.0, 24.0, 24.0)
    observe_shares(reconciler, (0.0, 8.0), (48.0, 40.0), replicas=30.0)
    assert reconciler.organisation_states["b"].debt == 8.0, (
        "the debt is no more than other organisations lack"
    )


def test_requested_transfers_count_until_the_next_observation() -> None:
    reconciler = observe_shares(new_reconciler(), (12.0, 40.0), (36.0, 40.0))
    taken = 0
    while taken < 10 and reconciler.may_take(ShareNo(1), ShareNo(0), 4.0):
        reconciler.transfer_requested(ShareNo(1), ShareNo(0), 4.0)
        taken += 1
    assert taken == 3


def test_log_states_once_whether_a_division_is_reached() -> None:
    policy = Entitlements(EntitlementSettings((organisation("a", 1), organisation("b", 1))))
    policy.mapping_changed(lambda team: ShareNo("ab".index(team[0])), 2)
    policy.begin(Instant(0.0))

    def log_lines(a_held: float, now: float) -> list[str]:
        shares = [
            ShareState(ShareNo(n), held, held, 0.0, 40.0, True)
            for n, held in enumerate((a_held, 48.0 - a_held))
        ]
        return list(policy.observe(PoolState(shares, 4.0), Instant(now)))

    assert log_lines(8.0, 0.0) == [] == log_lines(8.0, 59.0)
    (line,) = log_lines(8.0, 60.0)
    assert line.startswith("division 0 is not reached: a 8 of 24 CPUs, lacks 16")
    assert "tasks of b that run hold 16" in line
    assert log_lines(8.0, 61.0) == []
    assert log_lines(24.0, 70.0) == ["division 0 is reached: a 24 of 24 CPUs; b 24 of 24 CPUs"]
    assert log_lines(24.0, 71.0) == [] == log_lines(8.0, 200.0) == log_lines(24.0, 201.0)
    policy.division_changed(Division(1, [OrganisationLimits("a"), OrganisationLimits("b")]))
    assert log_lines(24.0, 202.0)[0].startswith("division 1 is reached")


def test_giving_organisation_keeps_its_target_within_half_a_machine() -> None:
    organisation_by_share = {ShareNo(n): name for n, name in enumerate("abc")}
    held = (8.0, 17.0, 23.0)  # CPUs; each target is 16, because all have more demand
    shares = [ShareState(ShareNo(n), cpus, cpus, 0.0, 40.0, True) for n, cpus in enumerate(held)]
    reconciler = new_reconciler()
    reconciler.observe(
        PoolState(shares, 4.0), organisation_by_share, [OrganisationLimits(n) for n in "abc"]
    )
    assert not reconciler.may_take(ShareNo(1), ShareNo(0), 4.0)
    assert reconciler.may_take(ShareNo(2), ShareNo(0), 4.0)
    assert not reconciler.may_take(ShareNo(2), ShareNo(1), 4.0), (
        "an organisation above its target takes none"
    )


def test_maximum_binds_while_others_have_demand() -> None:
    limits = [OrganisationLimits("a", maximum=8.0), OrganisationLimits("b")]
    for b_waiting, expected in ((100.0, (8.0, 40.0)), (0.0, (36.0, 12.0))):
        shares = [
            ShareState(ShareNo(0), 36.0, 36.0, 0.0, 40.0, True),
            ShareState(ShareNo(1), 12.0, 12.0, 0.0, b_waiting, True),
        ]
        reconciler = new_reconciler()
        reconciler.observe(PoolState(shares, 4.0), ORGANISATION_BY_SHARE, limits)
        assert (
            reconciler.organisation_states["a"].target,
            reconciler.organisation_states["b"].target,
        ) == expected
