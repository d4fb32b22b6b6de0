"""The version in production and this one side by side, on each other's data, and the upgrade.

Where the history is not there, what the former version wrote is read from the recorded store, and
the stories with mixed nodes are left out.
"""

import json
import random
from typing import Any

import production
import pytest
from combined_failures import calm, leader, send, submit
from test_cancellations import apart, outage_at_cancellation
from test_faulty_jobs_and_late_writes import owner_of_job
from test_gangs import gang, runs
from world import CANCEL_S, FIVE, LEASE_S, MEMBERS, World, platform, spec

from runcourse.config import NextLimits, Operators, StateSettings
from runcourse.core import types as t
from runcourse.core.ids import Instant, JobId, Stamp
from runcourse.core.jobs import MAX_TASKS, PART_BITS, JobSpec, job_value, short, storable
from runcourse.core.node import Node
from runcourse.core.order import Order
from runcourse.core.quota import Quota
from runcourse.core.sizes import json_size
from runcourse.core.work import Work

BOTH = pytest.mark.parametrize("members", [MEMBERS, FIVE], ids=["three", "five"])
mixed = pytest.mark.skipif(
    production.checkout() is None, reason="the history of the version in production is not here"
)
LEAST = 2048  # bytes of a value, the least that any deployment has announced
LEAST_OPS = 8


def busy(members: tuple[str, ...], machines: int = 12) -> World:
    world = World(machines=machines, members=members, former=True, cpus_max=100.0)
    world.run(4.0)
    for n in range(4):
        world.submit(spec(f"j-00000{n}", tasks=2, team=f"team-{n}", service=True, rank=0, cpus=1.0))
        world.submit(spec(f"j-00001{n}", tasks=2, team=f"team-{n}", cpus=1.0, estimate_s=120.0))
    world.until(lambda: len(world.on_machines()) == 16, 20)
    world.run(2.0)
    return world


def back(world: World, member: str, seconds: float, new: bool) -> None:
    world.crash(member)
    if new:
        world.former.discard(member)
    world.after(seconds, lambda: world.start(member))


def noted(world: World) -> bool:
    return "rc/format" in world.state.data


# --- the upgrade -------------------------------------------------------------------------


@mixed
@BOTH
@pytest.mark.parametrize("order", ["leader first", "leader last", "two at a time"])
def test_an_orderly_roll_loses_no_task_and_no_job(members: tuple[str, ...], order: str) -> None:
    world = busy(members)
    first = leader(world)
    assert first is not None
    turns = sorted(members, key=lambda m: (m == first) == (order != "leader first"))
    starts = len(world.starts)
    step = 2 if order == "two at a time" and len(members) == 5 else 1
    for n in range(0, len(turns), step):
        for member in turns[n : n + step]:
            back(world, member, 1.0, new=True)
        for k in range(5):
            submit(
                world,
                spec(f"j-0001{n}{k}", tasks=2, team=f"team-{k % 4}", estimate_s=1.5),
                members[(n + k) % len(members)],
            )
            world.run(2.0)
        assert not world.broken
    assert not world.former
    world.until(lambda: noted(world), 10)
    again = {
        x for x, w in world.on_machines() if any(x == task for _, task, _ in world.starts[starts:])
    }
    assert not {x for x in again if str(x.job) < "j-000020"}, "nothing that ran was started anew"
    calm(world)


@mixed
@BOTH
def test_a_process_that_dies_before_its_turn_comes_back_as_it_was(members: tuple[str, ...]) -> None:
    world = busy(members)
    back(world, members[1], 1.0, new=True)
    world.run(5.0)
    back(world, members[0], 0.3, new=False)
    world.run(6.0)
    back(world, members[1], 6.0, new=True)  # long enough for its share to be taken over
    world.run(14.0)
    back(world, members[0], 6.0, new=False)
    world.run(14.0)
    assert not noted(world)
    for member in members:
        back(world, member, 1.0, new=True)
        world.run(6.0)
    world.until(lambda: noted(world), 10)
    # Should one be put back after that: nothing breaks.
    world.former.add(members[2])
    back(world, members[2], 1.0, new=False)
    world.run(10.0)
    calm(world)


@mixed
@BOTH
@pytest.mark.parametrize("new_takes", [True, False])
def test_a_share_is_taken_over_by_either_version(members: tuple[str, ...], new_takes: bool) -> None:
    world = busy(members)
    owner = owner_of_job(world, "j-000010")
    if not new_takes:
        back(world, owner, 0.5, new=True)
        world.run(4.0)
    for member in members:
        if new_takes and member != owner:
            back(world, member, 0.5, new=True)
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
    calm(world)


@mixed
@BOTH
def test_cancellations_are_confirmed_whatever_the_mix(members: tuple[str, ...]) -> None:
    """The former version's word is the list of cancellations that goes with its vouch."""
    world = busy(members)
    back(world, members[0], 0.5, new=True)
    world.run(5.0)
    for n, member in enumerate(members):
        before = world.now
        assert world.cancel(f"j-00001{n % 4}", members[0]) == "cancelled"
        assert world.now - before < 0.6
        if member != members[0]:
            back(world, member, 0.5, new=True)
            world.run(5.0)
    calm(world)


@mixed
@BOTH
@pytest.mark.parametrize("owner_new", [True, False])
def test_the_gap_with_mixed_nodes(members: tuple[str, ...], owner_new: bool) -> None:
    """Taken by a node of this version, while the owner, refused alone, is of either."""
    world = busy(members)
    owner = owner_of_job(world, "j-000011")
    taker = next(m for m in members if m != owner)
    for member in (taker, *([owner] if owner_new else [])):
        back(world, member, 0.3, new=True)
        world.run(5.0)
    owner = owner_of_job(world, "j-000011")
    assert owner != taker
    world.state.refusing.add(owner)
    apart(world, owner, taker)
    outage_at_cancellation(world)
    world.cancel("j-000011", taker)
    world.run(CANCEL_S + 5.0)
    assert not world.broken
    calm(world)


@mixed
@BOTH
def test_troubles_while_it_rolls(members: tuple[str, ...]) -> None:
    world = busy(members)
    for n, member in enumerate(members):
        back(world, member, 1.0, new=True)
        if n == 0:
            world.state.outage(True)
            world.after(5.0, lambda: world.state.outage(False))
        elif n == 1:
            world.late_writes = 0.4
            world.after(4.0, lambda: setattr(world, "late_writes", 0.0))
        else:
            ids = sorted(world.workers)[:3]
            world.hold = True
            pairs = [frozenset((id, m)) for id in ids for m in members]
            world.cut.update(pairs)
            world.after(4.0, lambda pairs=pairs: world.cut.difference_update(pairs))  # type: ignore[misc]
        for k in range(4):
            submit(
                world,
                spec(f"j-0002{n}{k}", tasks=2, team=f"team-{k}", estimate_s=2.0),
                members[k % len(members)],
            )
            send(world, members[(k + 1) % len(members)], t.Cancel(0, f"j-00001{k}"))
            world.run(2.0)
    calm(world)


@mixed
def test_the_limits_come_down_after_the_upgrade() -> None:
    world = busy(MEMBERS)
    for member in MEMBERS:
        back(world, member, 1.0, new=True)
        world.run(5.0)
    world.state.most = (LEAST, LEAST_OPS)
    world.submit(gang("j-000050", tasks=3))
    for n in range(8):
        submit(world, spec(f"j-00030{n}", tasks=5, team=f"team-{n % 4}", estimate_s=2.0), "n0")
    world.run(10.0)
    assert not world.state.too_large and runs(world, "j-000050") == 1
    calm(world)


# --- each other's data -------------------------------------------------------------------


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


@mixed
def test_what_this_version_stores_is_read_by_production() -> None:
    world = World(machines=9, cpus_max=100.0)
    world.run(4.0)
    world.submit(spec("j-000001", tasks=2, service=True))
    world.submit(spec("j-000002", tasks=30, team="team-1", estimate_s=2.0))
    world.submit(gang("j-000003", team="team-2", estimate_s=60.0))
    world.submit(spec("j-000004", tasks=1, team="team-3", estimate_s=60.0))
    world.run(6.0)
    world.cancel("j-000004")
    world.until(lambda: noted(world), 10)
    new = world.nodes["n1"]
    assert new is not None
    # A part, too, as of a job whose pages are too large: not read, so started anew at worst.
    world.state.epoch += 1
    world.state.data["rc/part/j-000002/0"] = ({"bits": "ff"}, world.state.epoch, None)
    former: Any = production.Former(
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
        assert json.dumps(job_value(mine.spec, "")["spec"]) == json.dumps(
            production.modules()["jobs"].job_value(its.spec, "")["spec"]
        )  # type: ignore[index]
    assert former.fleet.records.keys() == new.fleet.records.keys()
    assert former.fleet.types.keys() == new.fleet.types.keys()
    assert all(
        former.authority.live_inc(m) == new.authority.live_inc(m)  # type: ignore[arg-type]
        for m in MEMBERS
    )


# --- lower limits ------------------------------------------------------------------------


def planning(**next_limits: Any) -> Node:
    settings = platform("n0")
    state = StateSettings(
        rps=200.0, write_rps=80.0, value_kb=16.0, txn_ops=24, next=NextLimits(**next_limits)
    )
    deployment = _replace(settings.settings, state=state)
    return Node(
        _replace(settings, settings=deployment), Operators(), random.Random(1), Instant(0.0)
    )


def _replace(struct: Any, **changes: Any) -> Any:
    import msgspec

    return msgspec.structs.replace(struct, **changes)


def test_everything_is_planned_for_the_smaller_limits_from_the_start() -> None:
    node = planning(write_rps=56.0, value_kb=2.0, txn_ops=8)
    assert node.context.limits == (200.0, 56.0, 2048, 8)
    assert node.store._share == pytest.approx(0.95 * 56.0 / 3)
    assert planning().context.limits == (200.0, 80.0, 16384, 24)
    assert planning(value_kb=64.0, txn_ops=99).context.limits == (200.0, 80.0, 16384, 24)


def largest(**changes: Any) -> JobSpec:
    """Every field as long as a submission may have it."""
    return spec(
        "j-" + "9" * 18,
        tasks=MAX_TASKS,
        lane="l" * 200,
        team="t" * 200,
        image="k" * 200,
        types=tuple(f"{n:03d}" + "h" * 197 for n in range(300)),
        zone="z" * 200,
        cpus=123456.789,
        gpus=123456.789,
        memory=123456.789,
        image_gb=123456.789,
        estimate_s=123456.789,
        checkpoint_s=123456.789,
        save_s=123456.789,
        deadline_s=123456.789,
        together=True,
        spread=True,
        spot=True,
        gang=True,
        **changes,
    )


def test_the_largest_submission_fits_the_least_value() -> None:
    job = largest()
    known = [job.types[7], job.types[9]]  # type: ignore[index]
    stored = storable(job, known, LEAST)
    assert stored is not None and stored.types == tuple(known)
    for stage in ("accepted", "cancelled", "done"):
        assert json_size(job_value(stored, stage)) <= LEAST
    assert stored.team == job.team and stored.zone == job.zone and stored.tasks == MAX_TASKS
    assert stored.image == job.image or stored.image == short(job.image)
    wide = storable(largest(), [], LEAST)
    assert wide is not None
    # Of other letters one takes up to twelve bytes.
    odd = spec("j-000001", lane="\U0001f600" * 200, image="\U0001f600" * 200)
    stored = storable(odd, [], LEAST)
    assert stored is not None and json_size(job_value(stored, "cancelled")) <= LEAST
    assert storable(spec("j-000001", team="\U0001f600" * 200), [], LEAST) is None
    # What fits stays as it was sent.
    assert storable(spec("j-000001"), [], LEAST) == spec("j-000001")


def test_a_class_whose_name_was_shortened_keeps_its_promises() -> None:
    from runcourse.config import Objective

    settings = platform("n0", objectives=(Objective("wait", "l" * 200, within_s=3.0),))
    node = Node(settings, Operators(), random.Random(1), Instant(0.0))
    order = Order(node.context, Quota(node.context))
    assert order.within[short("l" * 200)] == 3.0


def finishing(tasks: int, next_limits: dict[str, Any], noted: bool) -> tuple[Node, Work]:
    node = planning(**next_limits)
    node.store.ready = True
    node.store.values["rc/share/0"] = {}
    job = node.jobs.apply_job(
        JobId("j-000001"), job_value(spec("j-000001", tasks=tasks), "accepted"), Stamp(5), 0.0
    )
    if noted:
        node.store.values["rc/format"] = {"version": 2}
        node.store.stamps["rc/format"] = Stamp(3)
    work = Work(job, 0)  # type: ignore[arg-type]
    node.scheduler.finishes.shares = _Guarding()  # type: ignore[assignment]
    return node, work


class _Guarding:
    def guard(self, share: int) -> tuple[str, int]:
        return ("rc/share/0", 1)

    def may_command(self, share: int) -> bool:
        return True


def flushes(node: Node, work: Work) -> list[t.Commit]:
    """Store what is finished until nothing is left; the changes it took."""
    made: list[t.Commit] = []
    node.scheduler.finishes._unstored[work.job.uid] = work
    while work.finished:
        node.store._writes.level = 1e9
        node.scheduler.finishes.store_some(work, complete=False)
        node.store._flush()
        commit = next(e for e in node.context.effects if isinstance(e, t.Commit))
        node.context.effects.clear()
        made.append(commit)
        node.handle(node.context.now, t.Outcome(commit.tag, 200, 100 + len(made)))
        node.context.effects.clear()
        assert len(made) < 50
    return made


def test_the_pages_of_a_hundred_thousand_finished_tasks_fit_the_least_limits() -> None:
    every = (1 << MAX_TASKS) - 1
    node, work = finishing(MAX_TASKS, {"value_kb": 2.0, "txn_ops": LEAST_OPS}, noted=True)
    work.finished = every >> 1
    commits = flushes(node, work)
    for commit in commits:
        assert len(commit.then) <= LEAST_OPS and len(commit.when) <= 4 * LEAST_OPS
        assert all(json_size(value) <= LEAST for _, value, _ in commit.then)
    keys = [key for commit in commits for key, _, _ in commit.then]
    assert len(keys) == len(set(keys)) <= MAX_TASKS // PART_BITS + 2
    # Read anew, they say the same.
    fresh = planning()
    fresh.store.ready = True
    fresh.store._change("rc/job/j-000001", job_value(work.job.spec, "accepted"), Stamp(5))
    for commit in commits:
        for key, value, _ in commit.then:
            fresh.store._change(key, value, Stamp(9))
    job = fresh.jobs.get(JobId("j-000001"))
    assert job is not None and job.done_bits == every >> 1


def test_pages_stay_whole_while_a_former_version_may_read_them() -> None:
    node, work = finishing(20_000, {"value_kb": 2.0, "txn_ops": LEAST_OPS}, noted=False)
    work.finished = (1 << 16_000) | 1
    (commit,) = flushes(node, work)
    assert [key for key, _, _ in commit.then] == ["rc/done/j-000001/0"]
    # A page that production wrote larger stays where it is; what is new goes into parts.
    node.store.values["rc/format"] = {"version": 2}
    work.finished = 1 << 15_000
    (commit,) = flushes(node, work)
    assert [key for key, _, _ in commit.then] == [f"rc/part/j-000001/{15_000 // PART_BITS}"]
    assert all(json_size(value) <= LEAST for _, value, _ in commit.then)
    assert ("rc/share/0", 1) in commit.when, "and fails with the ownership"


def test_a_change_that_is_too_large_is_not_repeated_as_it_is() -> None:
    node, work = finishing(20_000, {}, noted=False)  # the limit comes though nobody named it
    work.finished = 1 << 16_000
    node.scheduler.finishes._unstored[work.job.uid] = work
    node.scheduler.finishes.store_some(work, complete=False)
    node.store._flush()
    commit = next(e for e in node.context.effects if isinstance(e, t.Commit))
    node.context.effects.clear()
    node.handle(node.context.now, t.Outcome(commit.tag, 400))
    assert work.finished and work.retry_at > node.context.now + 1.0
    node.context.limits = node.context.limits._replace(value_bytes=LEAST)
    (commit,) = flushes(node, work)
    assert all(json_size(value) <= LEAST for _, value, _ in commit.then)


def test_the_record_of_teams_and_batches_of_machines_fit() -> None:
    node = planning(value_kb=2.0, txn_ops=LEAST_OPS)
    many = tuple(
        _replace(node.context.platform.settings.teams[0], name=f"team-{n:04d}") for n in range(400)
    )
    settings = _replace(node.context.platform.settings, teams=many)
    node.context.platform = _replace(node.context.platform, settings=settings)
    _, changes = node.shares._mapping()
    assert json_size(changes[0][1]) <= LEAST, "hashes for all, where the list is too long"
    node.fleet.types = {"m4": t.MachineType("m4", 4.0, 16.0, 0.0, 40.0, 1.0, 1.0, 0.3, 2.0, ())}
    found = [(f"i-{n:06d}", "m4", "a", False, 0) for n in range(100)]
    node.rental.inventory.leading = lambda: True
    node.rental.inventory.adopt(found)  # type: ignore[arg-type]
    batches = [c.then for _, _, c in node.store._queue] + [
        e.then for e in node.context.effects if isinstance(e, t.Commit)
    ]
    assert sum(map(len, batches)) == 100 and max(map(len, batches)) == LEAST_OPS
    rows = [
        [f"type-{n:03d}" + "x" * 100, 4.0, 16.0, 0.0, 40.0, 1.0, 1.0, 0.3, 2.0, ["a", "b"]]
        for n in range(60)
    ]
    assert len(node.rental.catalogue.pages(rows)) == 1, "as long as the former version may read it"
    node.store.values["rc/format"] = {"version": 2}
    pages = node.rental.catalogue.pages(rows)
    assert max(map(json_size, pages.values())) <= LEAST
    for key, page in sorted(pages.items()):
        node.store._change(key, page, Stamp(50))
    assert len(node.fleet.types) == 60
