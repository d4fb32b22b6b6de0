"""Tests division requests sent through several controllers at once, with lost answers, outages and
controllers that restart with another version."""

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

EQUAL_WEIGHTS = {DEALERS: 1.0, REGISTRY: 1.0}
REGISTRY_FAVOURED = {DEALERS: 1.0, REGISTRY: 3.0}
DEALERS_FAVOURED = {DEALERS: 3.0, REGISTRY: 1.0}


def refusal_reason(answer: t.DivisionAnswer | None) -> str:
    """Asserts that the request was refused and returns the reason."""
    assert answer is not None and answer.result == "refused", answer
    return answer.reason


def accepted_version(answer: t.DivisionAnswer | None) -> int:
    """Asserts that the request was accepted and returns the version of the division."""
    assert answer is not None and answer.result == "ok", answer
    assert answer.division is not None
    return answer.division.version


@CLUSTER_SIZES
def test_concurrent_applies_store_one_and_refuse_the_other_with_both_versions(
    members: tuple[str, ...],
) -> None:
    world = recorded_pool(members)
    answers: list[t.DivisionAnswer] = []
    for member, weights in (("n0", REGISTRY_FAVOURED), ("n1", DEALERS_FAVOURED)):
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
def test_concurrent_rollback_and_apply_store_exactly_one(members: tuple[str, ...]) -> None:
    world = recorded_pool(members)
    assert accepted_version(world.apply(REGISTRY_FAVOURED, 0)) == 1
    answers: list[t.DivisionAnswer] = []
    for event in (
        t.DivisionRequest(0, "rollback", 1, [], "n0"),
        t.DivisionRequest(0, "apply", 1, limits(DEALERS_FAVOURED), "n1"),
    ):
        world.ask("user", event.author, event, answers.append)
    world.run(3.0)
    assert sorted(answer.result for answer in answers) == ["ok", "refused"]
    assert world.version() == 2


def test_rollback_restores_the_previous_division_and_may_be_repeated() -> None:
    world = recorded_pool()
    assert "no former division" in refusal_reason(
        world.request("n0", "rollback", expect=0, author="x")
    )
    accepted_version(world.apply(REGISTRY_FAVOURED, 0))
    for _ in range(2):
        answer = world.request("n1", "rollback", expect=1, author="x")
        assert accepted_version(answer) == 2
        assert answer is not None and answer.division is not None
        assert answer.division.limits == limits(EQUAL_WEIGHTS)
        assert answer.division.note == "rollback to version 0"
    assert "expected 1, but version 2" in refusal_reason(
        world.request("n1", "rollback", expect=1, author="y")
    )


@CLUSTER_SIZES
def test_apply_repeated_after_a_lost_answer_is_not_stored_twice(
    members: tuple[str, ...],
) -> None:
    world = recorded_pool(members)
    world.lost_answers = 1.0
    answer = world.apply(REGISTRY_FAVOURED, 0)
    assert answer is not None and answer.result == "unknown" and "ask again" in answer.reason
    world.lost_answers = 0.0
    world.run(3.0)
    assert world.version() == 1, "the apply whose answer was lost was stored"
    assert accepted_version(world.apply(REGISTRY_FAVOURED, 0, "n0")) == 1, (
        "the stored version stays and is not applied twice"
    )
    assert "expected 0, but version 1" in refusal_reason(world.apply(DEALERS_FAVOURED, 0, "n0"))
    assert world.version() == 1


def test_delayed_apply_does_not_replace_a_division_stored_meanwhile() -> None:
    world = recorded_pool()
    world.late_writes = 1.0
    answer = world.apply(REGISTRY_FAVOURED, 0)
    assert answer is not None and answer.result == "unknown"
    world.late_writes = 0.0
    stored = world.version()
    if not stored:
        accepted_version(world.apply(DEALERS_FAVOURED, 0, "n1"))
    world.run(15.0)
    data = world.state.data["rc/division"][0]
    assert data["current"]["version"] == 1 and not stored
    assert data["current"]["author"] == "n1"


@CLUSTER_SIZES
def test_after_ten_divisions_in_a_minute_the_last_is_reached(members: tuple[str, ...]) -> None:
    world = recorded_pool(members)
    for organisation in (DEALERS, REGISTRY):
        world.submit_array(organisation, 400)
    for version in range(10):
        weights = REGISTRY_FAVOURED if version % 2 else DEALERS_FAVOURED
        accepted_version(world.apply(weights, version, members[version % len(members)]))
        world.run(6.0)
        world.assert_rules_hold()
    world.until(lambda: world.holdings_near(dealers=3, registry=9), 60)
    assert len(world.state.data["rc/division"][0]["past"]) == 5, "the history is bounded"


@CLUSTER_SIZES
def test_apply_is_not_confirmed_during_a_state_service_outage(members: tuple[str, ...]) -> None:
    world = recorded_pool(members)
    world.state.outage(True)
    answer = world.apply(REGISTRY_FAVOURED, 0)
    assert answer is None or answer.result in ("unreachable", "unknown")
    world.state.outage(False)
    world.run(3.0)
    accepted_version(world.apply(REGISTRY_FAVOURED, 0))
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
def test_invalid_division_is_refused_as_a_whole(entries: list[Any], reason: str) -> None:
    world = recorded_pool()
    assert reason in refusal_reason(world.request("n1", "apply", expect=0, limits=entries))
    assert reason in refusal_reason(world.request("n1", "preview", limits=entries))
    assert "rc/division" not in world.state.data


def test_division_larger_than_a_stored_value_is_refused() -> None:
    world = recorded_pool()
    note = "x" * world.nodes["n0"].context.limits.value_bytes  # type: ignore[union-attr]
    assert "more than a stored value" in refusal_reason(
        world.apply(REGISTRY_FAVOURED, 0, note=note)
    )
    assert "rc/division" not in world.state.data


def test_preview_returns_the_leaders_targets_and_stores_nothing() -> None:
    world = recorded_pool()
    for organisation in (DEALERS, REGISTRY):
        world.submit_array(organisation, 400)
    world.run(5.0)
    answer = world.request(world.leader().context.me, "preview", limits=limits(REGISTRY_FAVOURED))
    assert answer is not None and answer.targets == {DEALERS: 12.0, REGISTRY: 36.0}
    assert "rc/division" not in world.state.data


def test_entitlements_stay_off_if_the_stored_mapping_was_made_without_organisations() -> None:
    world_without_file = World(machines=12, cpus_max=400.0)
    world_without_file.run(4.0)
    world = PoolWorld(machines=12)
    stored_mapping = world_without_file.state.data["rc/mapping"]
    world.state.data = {"rc/mapping": stored_mapping}
    world.state.log = [("rc/mapping", stored_mapping[0], stored_mapping[1])]
    world.state.epoch = stored_mapping[1]
    world.run(6.0)
    reason = refusal_reason(world.apply(REGISTRY_FAVOURED, 0))
    assert "dealt without organisations; share 0: team-0 of dealers; team-3 of registry" in reason
    assert "rc/division" not in world.state.data
    node = world.nodes["n0"]
    assert node is not None and node.entitlements.status()["problem"] == reason
    world.submit_array(DEALERS, 40)
    world.submit_array(REGISTRY, 40)
    world.run(30.0)
    world.assert_rules_hold()
    assert world.finished, "the service runs tasks without entitlements"


def test_file_with_other_organisations_than_the_stored_division_is_not_in_force() -> None:
    world = recorded_pool()
    accepted_version(world.apply(REGISTRY_FAVOURED, 0))
    original = settings()
    renamed = tuple(
        msgspec.structs.replace(o, name=o.name + "-new") for o in original.organisations
    )
    world.entitlements = msgspec.structs.replace(original, organisations=renamed)
    restart_as(world, "n0", 0.5, new=True)
    world.run(5.0)
    reason = refusal_reason(world.request("n0", "show"))
    assert "the stored division names dealers, registry, the file dealers-new" in reason


@needs_production_history
@CLUSTER_SIZES
def test_no_division_is_stored_before_every_controller_can_read_it(
    members: tuple[str, ...],
) -> None:
    world = PoolWorld(members)
    world.crash("n0")
    world.production_members.add("n0")
    world.run(5.0)
    world.start("n0")
    world.run(5.0)
    world.assert_rules_hold()
    assert "not every controller is known to read divisions: ['n0']" in refusal_reason(
        world.apply(REGISTRY_FAVOURED, 0, "n1")
    )
    assert "rc/division" not in world.state.data
    restart_as(world, "n0", 0.5, new=True)
    world.run(8.0)
    assert accepted_version(world.apply(REGISTRY_FAVOURED, 0, "n1")) == 1


@needs_production_history
@CLUSTER_SIZES
def test_controller_restarts_with_the_production_version_after_an_apply(
    members: tuple[str, ...],
) -> None:
    world = contended_pool(members)
    accepted_version(world.apply(REGISTRY_FAVOURED, 0, "n1"))
    world.production_members.add("n0")
    restart_as(world, "n0", 1.0, new=False)
    world.run(6.0)
    restarted = world.nodes["n0"]
    assert restarted is not None and "n0" in world.production_members
    for team in ("team-0", "team-1", "team-2", "team-3"):
        assert restarted.shares.of_team(team) == world.nodes["n1"].shares.of_team(team)  # type: ignore
    for _ in range(15):  # n0 may lead, and then divides as its version does
        world.run(2.0)
        world.assert_rules_hold()
    restart_as(world, "n0", 1.0, new=True)
    world.run(10.0)
    world.until(lambda: world.holdings_near(dealers=3, registry=9), 60)
    world.assert_rules_hold()


@needs_pre_division_history
@CLUSTER_SIZES
def test_each_controller_restarts_with_the_earlier_version_after_an_apply(
    members: tuple[str, ...],
) -> None:
    world = contended_pool(members)
    accepted_version(world.apply(REGISTRY_FAVOURED, 0, "n1"))
    for member in members:
        world.pre_division_members.add(member)
        restart_as(world, member, 1.0, new=False)
        world.run(12.0)
        world.assert_rules_hold()
        other = world.nodes["n0" if member != "n0" else "n1"]
        restarted = world.nodes[member]
        assert other is not None and restarted is not None
        for team in ("team-0", "team-1", "team-2", "team-3"):
            assert restarted.shares.of_team(team) == other.shares.of_team(team)  # type: ignore
        world.pre_division_members.clear()
        restart_as(world, member, 1.0, new=True)
        world.run(4.0)
    world.until(lambda: world.holdings_near(dealers=3, registry=9), 120)
    world.assert_rules_hold()


def test_share_of_each_team_follows_its_position_in_the_stored_mapping() -> None:
    world = recorded_pool()
    stored = msgspec.convert(world.state.data["rc/mapping"][0], MappingValue)
    shares = {name: n % 3 for n, name in enumerate(stored.dealt) if name}
    node = world.nodes["n0"]
    assert node is not None
    assert shares == {name: node.shares.of_team(name) for name in shares}  # type: ignore[arg-type]
    assert set(shares) == {f"team-{n}" for n in range(4)}
