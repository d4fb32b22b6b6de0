"""Nodes of two versions in one cluster: the rolling upgrade, and each version on the other's data.

Without the history of the repository, only the recorded store of the former version is read.
"""

import json
import random
from typing import Any

import msgspec
import production
import pytest
from combined_failures import leader, recover_and_check, send, submit
from failing_parts import CLUSTER_SIZES
from gang_setup import gang_spec, run_count
from mixed_versions import (
    LEAST_TXN_OPS,
    LEAST_VALUE_BYTES,
    format_stored,
    loaded_world,
    needs_production_history,
    restart_as,
)
from test_cancellations import cut_links_between, outage_at_cancellation
from test_failing_jobs_and_late_writes import owner_of_job
from world import CANCEL_S, LEASE_S, MEMBERS, World, platform, spec

from runcourse.config import Operators
from runcourse.core import types as t
from runcourse.core.ids import Instant, JobId
from runcourse.core.jobs import job_value


@needs_production_history
@CLUSTER_SIZES
@pytest.mark.parametrize("order", ["leader first", "leader last", "two at a time"])
def test_rolling_upgrade_loses_no_task_and_no_job(members: tuple[str, ...], order: str) -> None:
    world = loaded_world(members)
    first = leader(world)
    assert first is not None
    upgrade_order = sorted(members, key=lambda m: (m == first) == (order != "leader first"))
    starts = len(world.starts)
    step = 2 if order == "two at a time" and len(members) == 5 else 1
    for n in range(0, len(upgrade_order), step):
        for member in upgrade_order[n : n + step]:
            restart_as(world, member, 1.0, new=True)
        for k in range(5):
            submit(
                world,
                spec(f"j-0001{n}{k}", tasks=2, team=f"team-{k % 4}", estimate_s=1.5),
                members[(n + k) % len(members)],
            )
            world.run(2.0)
        assert not world.violations
    assert not world.production_members
    world.until(lambda: format_stored(world), 10)
    restarted_tasks = {
        x for x, w in world.on_machines() if any(x == task for _, task, _ in world.starts[starts:])
    }
    assert not {x for x in restarted_tasks if str(x.job) < "j-000020"}, (
        "no running task was started again"
    )
    recover_and_check(world)


@needs_production_history
@CLUSTER_SIZES
def test_node_that_crashes_before_its_upgrade_returns_with_the_former_version(
    members: tuple[str, ...],
) -> None:
    world = loaded_world(members)
    restart_as(world, members[1], 1.0, new=True)
    world.run(5.0)
    restart_as(world, members[0], 0.3, new=False)
    world.run(6.0)
    restart_as(world, members[1], 6.0, new=True)  # down long enough for its share to be taken over
    world.run(14.0)
    restart_as(world, members[0], 6.0, new=False)
    world.run(14.0)
    assert not format_stored(world)
    for member in members:
        restart_as(world, member, 1.0, new=True)
        world.run(6.0)
    world.until(lambda: format_stored(world), 10)
    # A node that is downgraded after that breaks no invariant.
    world.production_members.add(members[2])
    restart_as(world, members[2], 1.0, new=False)
    world.run(10.0)
    recover_and_check(world)


@needs_production_history
@CLUSTER_SIZES
@pytest.mark.parametrize("by_new_version", [True, False])
def test_either_version_takes_over_a_share_of_the_other(
    members: tuple[str, ...], by_new_version: bool
) -> None:
    world = loaded_world(members)
    owner = owner_of_job(world, "j-000010")
    if not by_new_version:
        restart_as(world, owner, 0.5, new=True)
        world.run(4.0)
    for member in members:
        if by_new_version and member != owner:
            restart_as(world, member, 0.5, new=True)
            world.run(4.0)
    starts = len(world.starts)
    world.crash(owner)
    world.run(LEASE_S + 2.0)
    assert owner_of_job(world, "j-000010") != owner
    assert len(world.starts) == starts, "the takeover was in time, so that no task was restarted"
    other = next(m for m in members if m != owner)
    assert world.cancel("j-000010", other) == "cancelled"
    world.start(owner)
    world.run(CANCEL_S)
    recover_and_check(world)


@needs_production_history
@CLUSTER_SIZES
def test_cancellations_are_confirmed_in_every_mix_of_versions(members: tuple[str, ...]) -> None:
    """A node of the former version acknowledges cancellations by the list in its grant."""
    world = loaded_world(members)
    restart_as(world, members[0], 0.5, new=True)
    world.run(5.0)
    for n, member in enumerate(members):
        before = world.now
        assert world.cancel(f"j-00001{n % 4}", members[0]) == "cancelled"
        assert world.now - before < 0.6
        if member != members[0]:
            restart_as(world, member, 0.5, new=True)
            world.run(5.0)
    recover_and_check(world)


@needs_production_history
@CLUSTER_SIZES
@pytest.mark.parametrize("owner_new", [True, False])
def test_mixed_versions_with_an_owner_refused_alone_before_an_outage(
    members: tuple[str, ...], owner_new: bool
) -> None:
    """A node of this version accepts the cancellation, while the state service refuses only the
    owner, which is of either version."""
    world = loaded_world(members)
    owner = owner_of_job(world, "j-000011")
    accepting_node = next(m for m in members if m != owner)
    for member in (accepting_node, *([owner] if owner_new else [])):
        restart_as(world, member, 0.3, new=True)
        world.run(5.0)
    owner = owner_of_job(world, "j-000011")
    assert owner != accepting_node
    world.state.refused_members.add(owner)
    cut_links_between(world, owner, accepting_node)
    outage_at_cancellation(world)
    world.cancel("j-000011", accepting_node)
    world.run(CANCEL_S + 5.0)
    assert not world.violations
    recover_and_check(world)


@needs_production_history
@CLUSTER_SIZES
def test_failures_during_a_rolling_upgrade(members: tuple[str, ...]) -> None:
    world = loaded_world(members)
    for n, member in enumerate(members):
        restart_as(world, member, 1.0, new=True)
        if n == 0:
            world.state.outage(True)
            world.after(5.0, lambda: world.state.outage(False))
        elif n == 1:
            world.late_writes = 0.4
            world.after(4.0, lambda: setattr(world, "late_writes", 0.0))
        else:
            ids = sorted(world.workers)[:3]
            world.hold_commands = True
            pairs = [frozenset((id, m)) for id in ids for m in members]
            world.cut_links.update(pairs)
            world.after(4.0, lambda pairs=pairs: world.cut_links.difference_update(pairs))  # type: ignore[misc]
        for k in range(4):
            submit(
                world,
                spec(f"j-0002{n}{k}", tasks=2, team=f"team-{k}", estimate_s=2.0),
                members[k % len(members)],
            )
            send(world, members[(k + 1) % len(members)], t.Cancel(0, f"j-00001{k}"))
            world.run(2.0)
    recover_and_check(world)


@needs_production_history
def test_lower_limits_of_the_state_service_after_the_upgrade() -> None:
    world = loaded_world(MEMBERS)
    for member in MEMBERS:
        restart_as(world, member, 1.0, new=True)
        world.run(5.0)
    world.state.size_limits = (LEAST_VALUE_BYTES, LEAST_TXN_OPS)
    world.submit(gang_spec("j-000050", tasks=3))
    for n in range(8):
        submit(world, spec(f"j-00030{n}", tasks=5, team=f"team-{n % 4}", estimate_s=2.0), "n0")
    world.run(10.0)
    assert not world.state.too_large and run_count(world, "j-000050") == 1
    recover_and_check(world)


def test_store_of_the_former_version_is_read() -> None:
    stored = json.loads(production.STORED.read_text())
    assert stored["commit"] == production.commit()
    world = World(machines=0)
    for member in MEMBERS:
        world.crash(member)
    for key, (value, stamp, _) in stored["data"].items():
        if not key.startswith(("rc/live/", "rc/leader")):
            world.state.data[key] = (value, stamp, None)
    world.state.epoch = stored["epoch"]
    for member in MEMBERS:
        world.start(member)
    world.run(4.0)
    node = world.nodes["n0"]
    assert node is not None
    jobs = {uid: node.jobs.get(JobId(uid)) for uid in stored["told"]}
    assert all(jobs.values()) and jobs["j-000003"].stage == "cancelled"  # type: ignore[union-attr]
    assert jobs["j-000004"].done_count == 24 and jobs["j-000002"].done_bits == 4  # type: ignore[union-attr]
    assert jobs["j-000001"].spec.service and jobs["j-000004"].spec.types == ("m4",)  # type: ignore[union-attr]
    assert len(node.fleet.records) == 9 and node.fleet.types["m4"].cpus == 4.0
    shares = {node.shares.of_team(f"team-{n}") for n in range(4)}  # type: ignore[arg-type]
    assert shares == {0, 1, 2}, "teams are assigned to shares as that version assigned them"
    assert sorted(s for n in world.nodes.values() if n is not None for s in n.shares.owned) == [
        0,
        1,
        2,
    ], "the shares of that version's processes are taken over at once"


@needs_production_history
def test_former_version_reads_the_store_of_this_version() -> None:
    world = World(machines=9, cpus_max=100.0)
    world.run(4.0)
    world.submit(spec("j-000001", tasks=2, service=True))
    world.submit(spec("j-000002", tasks=30, team="team-1", estimate_s=2.0))
    world.submit(gang_spec("j-000003", team="team-2", estimate_s=60.0))
    world.submit(spec("j-000004", tasks=1, team="team-3", estimate_s=60.0))
    world.run(6.0)
    world.cancel("j-000004")
    world.until(lambda: format_stored(world), 10)
    new = world.nodes["n1"]
    assert new is not None
    # A part of a job whose pages are too large: the former version does not read it, and at worst
    # starts the job's tasks again.
    world.state.epoch += 1
    world.state.data["rc/part/j-000002/0"] = ({"bits": "ff"}, world.state.epoch, None)
    former: Any = production.ProductionNode(
        platform("n0"), Operators(), random.Random(1), Instant(world.now)
    )
    data = [(k, v, s) for k, (v, s, _) in sorted(world.state.data.items())]
    tag = former.node.store._read
    former.node.store._reading = True
    tag(
        former.types.Outcome(None, 200, (data, world.state.epoch), began=world.now),
        Instant(world.now),
        [],
    )
    assert former.store.ready
    for uid in ("j-000001", "j-000002", "j-000003", "j-000004"):
        new_job, former_job = new.jobs.get(JobId(uid)), former.jobs.get(uid)
        assert new_job is not None and former_job.stage == new_job.stage
        assert json.dumps(msgspec.to_builtins(job_value(new_job.spec, "").spec)) == json.dumps(
            production.modules()["jobs"].job_value(former_job.spec, "")["spec"]
        )  # type: ignore[index]
    assert former.fleet.records.keys() == new.fleet.records.keys()
    assert former.fleet.types.keys() == new.fleet.types.keys()
    assert all(
        former.authority.live_inc(m) == new.authority.live_incarnation(m)  # type: ignore[arg-type]
        for m in MEMBERS
    )
