"""Two versions beside each other: the upgrade, and each on the other's data.

Where the history is not there, what the former version wrote is read from the recorded store.
"""

import json
import random
from typing import Any

import msgspec
import production
import pytest
from combined_failures import leader, recover_and_check, send, submit
from failing_parts import CLUSTER_SIZES
from gang_setup import gang, run_count
from mixed_versions import (
    LEAST_TXN_OPS,
    LEAST_VALUE_BYTES,
    format_stored,
    loaded_world,
    needs_production_history,
    restart_as,
)
from test_cancellations import apart, outage_at_cancellation
from test_faulty_jobs_and_late_writes import owner_of_job
from world import CANCEL_S, LEASE_S, MEMBERS, World, platform, spec

from runcourse.config import Operators
from runcourse.core import types as t
from runcourse.core.ids import Instant, JobId
from runcourse.core.jobs import job_value


@needs_production_history
@CLUSTER_SIZES
@pytest.mark.parametrize("order", ["leader first", "leader last", "two at a time"])
def test_an_orderly_roll_loses_no_task_and_no_job(members: tuple[str, ...], order: str) -> None:
    world = loaded_world(members)
    first = leader(world)
    assert first is not None
    turns = sorted(members, key=lambda m: (m == first) == (order != "leader first"))
    starts = len(world.starts)
    step = 2 if order == "two at a time" and len(members) == 5 else 1
    for n in range(0, len(turns), step):
        for member in turns[n : n + step]:
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
    again = {
        x for x, w in world.on_machines() if any(x == task for _, task, _ in world.starts[starts:])
    }
    assert not {x for x in again if str(x.job) < "j-000020"}, "nothing that ran was started anew"
    recover_and_check(world)


@needs_production_history
@CLUSTER_SIZES
def test_a_process_that_dies_before_its_turn_comes_back_as_it_was(members: tuple[str, ...]) -> None:
    world = loaded_world(members)
    restart_as(world, members[1], 1.0, new=True)
    world.run(5.0)
    restart_as(world, members[0], 0.3, new=False)
    world.run(6.0)
    restart_as(world, members[1], 6.0, new=True)  # long enough for its share to be taken over
    world.run(14.0)
    restart_as(world, members[0], 6.0, new=False)
    world.run(14.0)
    assert not format_stored(world)
    for member in members:
        restart_as(world, member, 1.0, new=True)
        world.run(6.0)
    world.until(lambda: format_stored(world), 10)
    # Should one be put back after that: nothing breaks.
    world.production_members.add(members[2])
    restart_as(world, members[2], 1.0, new=False)
    world.run(10.0)
    recover_and_check(world)


@needs_production_history
@CLUSTER_SIZES
@pytest.mark.parametrize("new_takes", [True, False])
def test_a_share_is_taken_over_by_either_version(members: tuple[str, ...], new_takes: bool) -> None:
    world = loaded_world(members)
    owner = owner_of_job(world, "j-000010")
    if not new_takes:
        restart_as(world, owner, 0.5, new=True)
        world.run(4.0)
    for member in members:
        if new_takes and member != owner:
            restart_as(world, member, 0.5, new=True)
            world.run(4.0)
    starts = len(world.starts)
    world.crash(owner)
    world.run(LEASE_S + 2.0)
    assert owner_of_job(world, "j-000010") != owner
    assert len(world.starts) == starts, "in time, so that nothing was lost"
    other = next(m for m in members if m != owner)
    assert world.cancel("j-000010", other) == "cancelled"
    world.start(owner)
    world.run(CANCEL_S)
    recover_and_check(world)


@needs_production_history
@CLUSTER_SIZES
def test_cancellations_are_confirmed_whatever_the_mix(members: tuple[str, ...]) -> None:
    """The former version's word is the list of cancellations that goes with its grant."""
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
def test_the_gap_with_mixed_nodes(members: tuple[str, ...], owner_new: bool) -> None:
    """Taken by a node of this version, while the owner, refused alone, is of either."""
    world = loaded_world(members)
    owner = owner_of_job(world, "j-000011")
    taker = next(m for m in members if m != owner)
    for member in (taker, *([owner] if owner_new else [])):
        restart_as(world, member, 0.3, new=True)
        world.run(5.0)
    owner = owner_of_job(world, "j-000011")
    assert owner != taker
    world.state.refused_members.add(owner)
    apart(world, owner, taker)
    outage_at_cancellation(world)
    world.cancel("j-000011", taker)
    world.run(CANCEL_S + 5.0)
    assert not world.violations
    recover_and_check(world)


@needs_production_history
@CLUSTER_SIZES
def test_troubles_while_it_rolls(members: tuple[str, ...]) -> None:
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
def test_the_limits_come_down_after_the_upgrade() -> None:
    world = loaded_world(MEMBERS)
    for member in MEMBERS:
        restart_as(world, member, 1.0, new=True)
        world.run(5.0)
    world.state.size_limits = (LEAST_VALUE_BYTES, LEAST_TXN_OPS)
    world.submit(gang("j-000050", tasks=3))
    for n in range(8):
        submit(world, spec(f"j-00030{n}", tasks=5, team=f"team-{n % 4}", estimate_s=2.0), "n0")
    world.run(10.0)
    assert not world.state.too_large and run_count(world, "j-000050") == 1
    recover_and_check(world)


def test_what_production_stored_is_read() -> None:
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
    assert shares == {0, 1, 2}, "dealt as that version dealt them"
    assert sorted(s for n in world.nodes.values() if n is not None for s in n.shares.owned) == [
        0,
        1,
        2,
    ], "the shares of its processes are taken at once"


@needs_production_history
def test_what_this_version_stores_is_read_by_production() -> None:
    world = World(machines=9, cpus_max=100.0)
    world.run(4.0)
    world.submit(spec("j-000001", tasks=2, service=True))
    world.submit(spec("j-000002", tasks=30, team="team-1", estimate_s=2.0))
    world.submit(gang("j-000003", team="team-2", estimate_s=60.0))
    world.submit(spec("j-000004", tasks=1, team="team-3", estimate_s=60.0))
    world.run(6.0)
    world.cancel("j-000004")
    world.until(lambda: format_stored(world), 10)
    new = world.nodes["n1"]
    assert new is not None
    # A part, too, as of a job whose pages are too large: not read, so started anew at worst.
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
        mine, its = new.jobs.get(JobId(uid)), former.jobs.get(uid)
        assert mine is not None and its.stage == mine.stage
        assert json.dumps(msgspec.to_builtins(job_value(mine.spec, "").spec)) == json.dumps(
            production.modules()["jobs"].job_value(its.spec, "")["spec"]
        )  # type: ignore[index]
    assert former.fleet.records.keys() == new.fleet.records.keys()
    assert former.fleet.types.keys() == new.fleet.types.keys()
    assert all(
        former.authority.live_inc(m) == new.authority.live_incarnation(m)  # type: ignore[arg-type]
        for m in MEMBERS
    )
