"""A controller process that pauses for seconds while its clocks run on: what it had read, decided
or partly sent before the pause is outdated when it resumes."""

from typing import Any

import pytest
from failing_parts import CLUSTER_SIZES, owner_of
from test_failure_regressions import started_world
from world import LEASE_S, World, spec

from runcourse.core import types as t
from runcourse.core.ids import Instant
from runcourse.core.store import FRESH_S, CommitResult, Store
from runcourse.core.types import Write


def with_service(members: tuple[str, ...], **settings: Any) -> tuple[World, str]:
    """Returns a world with two replicas, and the member that commands the first of them."""
    world = World(machines=5, members=members, **settings)
    world.run(4.0)
    world.submit(spec("j-000500", service=True, tasks=2))
    world.until(lambda: len(world.on_machines()) == 2, 10)
    return world, owner_of(world, world.on_machines()[0][1].id)[0].context.me


@CLUSTER_SIZES
@pytest.mark.parametrize("kind", ["freeze", "stall"])
@pytest.mark.parametrize("seconds", [0.8, 3.0, 20.0])
def test_paused_node_violates_no_invariant(
    members: tuple[str, ...], kind: str, seconds: float
) -> None:
    world, owner = with_service(members)
    other = next(m for m in members if m != owner)
    getattr(world, kind)(owner, seconds)
    world.submit(spec("j-000501", tasks=3), other)
    world.run(seconds / 2)
    if world.cancel("j-000500", other) == "cancelled":
        world.run(seconds / 2 + 1.0)
    world.run(4.0)
    world.until(lambda: world.poll("j-000501", other) == "done", 4 * LEASE_S)
    world.until(lambda: world.cancel("j-000500", owner) == "cancelled", 10)
    world.until(lambda: not world.on_machines(), 4 * LEASE_S)
    assert not world.violations


@CLUSTER_SIZES
def test_node_sends_no_command_after_a_pause_in_which_its_shares_were_taken_over(
    members: tuple[str, ...],
) -> None:
    world, owner = with_service(members)
    node = world.nodes[owner]
    assert node is not None
    shares = set(node.shares.owned)
    world.freeze(owner, 12.0)
    world.run(11.0)
    taken_over = {
        s for m, n in world.nodes.items() if n is not None and m != owner for s in n.shares.owned
    }
    assert shares <= taken_over
    # Before any input reports the takeover, the node ends no lease that another node renewed.
    tasks_before = list(node.fleet.placements.by_task)
    node.fleet._leases_checked_at = Instant(0.0)
    node.context.now = Instant(world.now)
    node.fleet.tick()
    assert tasks_before and list(node.fleet.placements.by_task) == tasks_before
    # Reports of its workers are refused, and no command is sent.
    node.scheduler._dirty = True
    for machine in list(node.fleet.machines.values()):
        node.fleet.commands._dirty[machine.id] = None
        report = world.workers[machine.id].report()
        effects = node.handle(world.now, t.ReportReceived(-1, report))
        assert not any(isinstance(e, t.Command) for e in effects)
        assert all(e.status == 503 for e in effects if isinstance(e, t.ReportAnswer))


def test_read_answered_before_a_pause_is_not_fresh_after_it() -> None:
    world = started_world()
    store: Store = world.nodes["n0"].store  # type: ignore[union-attr]
    sync_results: list[bool] = []
    for pause, expected in ((0.1, True), (FRESH_S + 0.1, False)):
        store._reading = False
        store._read_began = Instant(0.0)
        store.context.effects.clear()
        store.sync(sync_results.append)
        read = next(e for e in store.context.effects if isinstance(e, t.Follow))
        store.context.now = Instant(store.context.now + pause)
        read.tag(
            t.Outcome(read.tag, 200, ([], int(store.applied)), began=store.context.now - pause)
        )
        assert sync_results.pop() is expected
        assert (store.context.now < store.fresh_until) is expected


def test_answers_that_depend_on_authority_or_a_read_carry_an_expiry() -> None:
    world = started_world()
    world.submit(spec("j-000502", service=True))
    for member, node in world.nodes.items():
        assert node is not None
        for machine in list(node.fleet.machines.values()):
            report = world.workers[machine.id].report()
            report_answer = next(
                e
                for e in node.handle(world.now, t.ReportReceived(-1, report))
                if isinstance(e, t.ReportAnswer)
            )
            assert report_answer.status == 200
            assert report_answer.until == node.authority.ends_at() < world.now + node.authority.ttl
        answers: list[t.UserAnswer] = []
        world.ask("user", member, t.Poll(0, "j-000502"), answers.append)
        world.run(1.0)
        assert answers[0].status == 200 and answers[0].until <= world.now + FRESH_S


def test_write_past_its_deadline_is_not_sent() -> None:
    world = started_world()
    store: Store = world.nodes["n0"].store  # type: ignore[union-attr]
    store._paused_until = Instant(world.now + 5.0)
    results: list[CommitResult] = []
    store.commit(
        [],
        [Write("rc/x", 1)],
        lambda result, stamp: results.append(result),
        Store.USER,
        Instant(world.now + 3.0),
    )
    world.run(2.0)
    assert not results and store.backlog > 0
    world.run(1.2)
    assert (
        results == [CommitResult.REFUSED] and not store.failing and "rc/x" not in world.state.data
    )


@CLUSTER_SIZES
def test_paused_leader_hires_no_machine_twice(members: tuple[str, ...]) -> None:
    world = World(machines=0, members=members)
    world.run(4.0)
    leader = next(
        m for m, n in world.nodes.items() if n is not None and n.fleet_planner.leadership.leading
    )
    other = next(m for m in members if m != leader)
    world.capacity = 8
    world.stall(leader, 9.0)
    world.submit(spec("j-000503", tasks=2), other)
    world.until(lambda: world.poll("j-000503", other) == "done", 60)
    world.run(12.0)
    assert not world.violations
    records = {
        k
        for k in world.state.data
        if k.startswith("rc/machine/") and not world.state.data[k][0].get("gone")
    }
    assert records == {"rc/machine/" + id for id in world.workers}, (
        "every hired machine is in use or returned"
    )
