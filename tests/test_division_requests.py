"""Divisions changed through several controllers at once, with answers lost and members gone."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from failing_parts import CLUSTER_SIZES
from mixed_versions import needs_pre_division_history, needs_production_history, restart_as
from world import World
from world_pool import DEALERS, REGISTRY, PoolWorld, contended_pool, limits, recorded_pool, settings

from runcourse.core import types as t
from runcourse.core.stored_values import MappingValue, OrganisationLimits

EVEN = {DEALERS: 1.0, REGISTRY: 1.0}
RAISED = {DEALERS: 1.0, REGISTRY: 3.0}
LOWERED = {DEALERS: 3.0, REGISTRY: 1.0}


def refused(answer: t.DivisionAnswer | None) -> str:
    assert answer is not None and answer.result == "refused", answer
    return answer.reason


def accepted(answer: t.DivisionAnswer | None) -> int:
    assert answer is not None and answer.result == "ok", answer
    assert answer.division is not None
    return answer.division.version


@CLUSTER_SIZES
def test_of_two_at_once_one_is_stored_and_the_other_told_both_versions(
    members: tuple[str, ...],
) -> None:
    world = recorded_pool(members)
    answers: list[t.DivisionAnswer] = []
    for member, weights in (("n0", RAISED), ("n1", LOWERED)):
        event = t.DivisionRequest(0, "apply", 0, limits(weights), member, "urgent")
        world.ask("user", member, event, answers.append)
    world.run(3.0)
    assert sorted(answer.result for answer in answers) == ["ok", "refused"]
    loser = next(answer for answer in answers if answer.result == "refused")
    assert "expected 0, but version 1 is in force" in loser.reason
    assert world.version() == 1
    for member in members:
        shown = world.request(member, "show")
        assert shown is not None and shown.division == loser.division


@CLUSTER_SIZES
def test_a_rollback_crosses_an_apply(members: tuple[str, ...]) -> None:
    world = recorded_pool(members)
    assert accepted(world.apply(RAISED, 0)) == 1
    answers: list[t.DivisionAnswer] = []
    for event in (
        t.DivisionRequest(0, "rollback", 1, [], "n0"),
        t.DivisionRequest(0, "apply", 1, limits(LOWERED), "n1"),
    ):
        world.ask("user", event.author, event, answers.append)
    world.run(3.0)
    assert sorted(answer.result for answer in answers) == ["ok", "refused"]
    assert world.version() == 2


def test_a_rollback_restores_what_was_before_and_may_be_repeated() -> None:
    world = recorded_pool()
    assert "no former division" in refused(world.request("n0", "rollback", expect=0, author="x"))
    accepted(world.apply(RAISED, 0))
    for _ in range(2):
        answer = world.request("n1", "rollback", expect=1, author="x")
        assert accepted(answer) == 2
        assert answer is not None and answer.division is not None
        assert answer.division.limits == limits(EVEN)
        assert answer.division.note == "rollback to version 0"
    assert "expected 1, but version 2" in refused(
        world.request("n1", "rollback", expect=1, author="y")
    )


@CLUSTER_SIZES
def test_an_apply_whose_answer_is_lost_is_settled_by_asking_again(
    members: tuple[str, ...],
) -> None:
    world = recorded_pool(members)
    world.lost_answers = 1.0
    answer = world.apply(RAISED, 0)
    assert answer is not None and answer.result == "unknown" and "ask again" in answer.reason
    world.lost_answers = 0.0
    world.run(3.0)
    assert world.version() == 1, "it was carried out"
    assert accepted(world.apply(RAISED, 0, "n0")) == 1, "it stands, and is not made twice"
    assert "expected 0, but version 1" in refused(world.apply(LOWERED, 0, "n0"))
    assert world.version() == 1


def test_a_late_apply_loses_against_what_was_stored_meanwhile() -> None:
    world = recorded_pool()
    world.late_writes = 1.0
    answer = world.apply(RAISED, 0)
    assert answer is not None and answer.result == "unknown"
    world.late_writes = 0.0
    stored = world.version()
    if not stored:
        accepted(world.apply(LOWERED, 0, "n1"))
    world.run(15.0)
    data = world.state.data["rc/division"][0]
    assert data["current"]["version"] == 1 and not stored
    assert data["current"]["author"] == "n1"


@CLUSTER_SIZES
def test_ten_divisions_in_a_minute_end_with_the_last(members: tuple[str, ...]) -> None:
    world = recorded_pool(members)
    for organisation in (DEALERS, REGISTRY):
        world.submit_array(organisation, 400)
    for n in range(10):
        weights = RAISED if n % 2 else LOWERED
        accepted(world.apply(weights, n, members[n % len(members)]))
        world.run(6.0)
        world.assert_rules_hold()
    world.until(lambda: world.holdings_near(dealers=3, registry=9), 60)
    assert len(world.state.data["rc/division"][0]["past"]) == 5, "bounded"


@CLUSTER_SIZES
def test_in_an_outage_nothing_is_promised(members: tuple[str, ...]) -> None:
    world = recorded_pool(members)
    world.state.outage(True)
    answer = world.apply(RAISED, 0)
    assert answer is None or answer.result in ("unreachable", "unknown")
    world.state.outage(False)
    world.run(3.0)
    accepted(world.apply(RAISED, 0))
    assert world.version() == 1


@pytest.mark.parametrize(
    ("entries", "reason"),
    [
        ([OrganisationLimits(DEALERS)], "organisations: missing: registry"),
        ([OrganisationLimits(DEALERS), OrganisationLimits("x")], "unknown organisation 'x'"),
        ([OrganisationLimits(DEALERS, 40.0), OrganisationLimits(REGISTRY, 9.0)], "pool of 48"),
        ([OrganisationLimits(DEALERS, weight=-1.0), OrganisationLimits(REGISTRY)], "weight"),
    ],
)
def test_a_faulty_division_is_refused_whole(entries: list[Any], reason: str) -> None:
    world = recorded_pool()
    assert reason in refused(world.request("n1", "apply", expect=0, limits=entries))
    assert reason in refused(world.request("n1", "preview", limits=entries))
    assert "rc/division" not in world.state.data


def test_what_a_smaller_state_service_cannot_hold_is_refused() -> None:
    world = recorded_pool()
    note = "x" * world.nodes["n0"].context.limits.value_bytes  # type: ignore[union-attr]
    assert "more than a stored value" in refused(world.apply(RAISED, 0, note=note))
    assert "rc/division" not in world.state.data


def test_a_preview_tells_the_leaders_targets_and_stores_nothing() -> None:
    world = recorded_pool()
    for organisation in (DEALERS, REGISTRY):
        world.submit_array(organisation, 400)
    world.run(5.0)
    answer = world.request(world.leader().context.me, "preview", limits=limits(RAISED))
    assert answer is not None and answer.targets == {DEALERS: 12.0, REGISTRY: 36.0}
    assert "rc/division" not in world.state.data


def test_a_store_that_was_dealt_without_organisations_goes_on_as_without_the_file() -> None:
    plain = World(machines=12, cpus_max=400.0)
    plain.run(4.0)
    world = PoolWorld(machines=12)
    dealt = plain.state.data["rc/mapping"]
    world.state.data = {"rc/mapping": dealt}
    world.state.log = [("rc/mapping", dealt[0], dealt[1])]
    world.state.epoch = dealt[1]
    world.run(6.0)
    reason = refused(world.apply(RAISED, 0))
    assert "dealt without organisations; share 0: team-0 of dealers; team-3 of registry" in reason
    assert "rc/division" not in world.state.data
    node = world.nodes["n0"]
    assert node is not None and node.entitlements.status()["problem"] == reason
    world.submit_array(DEALERS, 40)
    world.submit_array(REGISTRY, 40)
    world.run(30.0)
    world.assert_rules_hold()
    assert world.finished, "it serves"


def test_a_file_that_names_others_than_the_division_is_not_in_force() -> None:
    world = recorded_pool()
    accepted(world.apply(RAISED, 0))
    first = settings()
    renamed = tuple(msgspec.structs.replace(o, name=o.name + "-new") for o in first.organisations)
    world.entitlements = msgspec.structs.replace(first, organisations=renamed)
    restart_as(world, "n0", 0.5, new=True)
    world.run(5.0)
    reason = refused(world.request("n0", "show"))
    assert "the stored division names dealers, registry, the file dealers-new" in reason


@needs_production_history
@CLUSTER_SIZES
def test_no_division_is_stored_before_everybody_reads_it(members: tuple[str, ...]) -> None:
    world = PoolWorld(members)
    world.crash("n0")
    world.production_members.add("n0")
    world.run(5.0)
    world.start("n0")
    world.run(5.0)
    world.assert_rules_hold()
    assert "not every controller is known to read divisions: ['n0']" in refused(
        world.apply(RAISED, 0, "n1")
    )
    assert "rc/division" not in world.state.data
    restart_as(world, "n0", 0.5, new=True)
    world.run(8.0)
    assert accepted(world.apply(RAISED, 0, "n1")) == 1


@needs_production_history
@CLUSTER_SIZES
def test_a_member_of_the_version_in_production_comes_back_in_the_middle(
    members: tuple[str, ...],
) -> None:
    world = contended_pool(members)
    accepted(world.apply(RAISED, 0, "n1"))
    world.production_members.add("n0")
    restart_as(world, "n0", 1.0, new=False)
    world.run(6.0)
    former = world.nodes["n0"]
    assert former is not None and "n0" in world.production_members
    for team in ("team-0", "team-1", "team-2", "team-3"):
        assert former.shares.of_team(team) == world.nodes["n1"].shares.of_team(team)  # type: ignore
    for _ in range(15):  # it may lead, and then divides as its version does
        world.run(2.0)
        world.assert_rules_hold()
    restart_as(world, "n0", 1.0, new=True)
    world.run(10.0)
    world.until(lambda: world.holdings_near(dealers=3, registry=9), 60)
    world.assert_rules_hold()


@needs_pre_division_history
@CLUSTER_SIZES
def test_a_member_of_the_version_before_comes_back_in_the_middle(
    members: tuple[str, ...],
) -> None:
    world = contended_pool(members)
    accepted(world.apply(RAISED, 0, "n1"))
    for member in members:
        world.pre_division_members.add(member)
        restart_as(world, member, 1.0, new=False)
        world.run(12.0)
        world.assert_rules_hold()
        known = world.nodes["n0" if member != "n0" else "n1"]
        came = world.nodes[member]
        assert known is not None and came is not None
        for team in ("team-0", "team-1", "team-2", "team-3"):
            assert came.shares.of_team(team) == known.shares.of_team(team)  # type: ignore
        world.pre_division_members.clear()
        restart_as(world, member, 1.0, new=True)
        world.run(4.0)
    world.until(lambda: world.holdings_near(dealers=3, registry=9), 120)
    world.assert_rules_hold()


def test_the_dealing_is_read_by_every_version_alike() -> None:
    world = recorded_pool()
    stored = msgspec.convert(world.state.data["rc/mapping"][0], MappingValue)
    shares = {name: n % 3 for n, name in enumerate(stored.dealt) if name}
    node = world.nodes["n0"]
    assert node is not None
    assert shares == {name: node.shares.of_team(name) for name in shares}  # type: ignore[arg-type]
    assert set(shares) == {f"team-{n}" for n in range(4)}
