"""The pool is divided anew while controllers, machines and the state service fail."""

from __future__ import annotations

from collections import Counter
from typing import Any

import msgspec
import pytest
from failing_parts import CLUSTER_SIZES, owner_of
from gang_setup import machines_of
from world import LEASE_S, MEMBERS, World, spec
from world_pool import (
    DEALERS,
    LONG_S,
    MINUTE_S,
    REGISTRY,
    PoolWorld,
    contended_pool,
    recorded_pool,
    settings,
)

from runcourse.core.ids import ABSENT
from runcourse.core.leader import transfers
from runcourse.core.machine import Machine
from runcourse.core.node import Node
from runcourse.core.shares import Shares
from runcourse.core.types import Condition
from runcourse.wire.peer_messages import TransferMachine

RAISED = {DEALERS: 1.0, REGISTRY: 3.0}
CALM_HANDOVER_S = 1.0  # a machine is counted by nobody for so long at the most
FAILED_HANDOVER_S = 40.0  # the same while its owner is away or the store doesn't answer


def raised(world: PoolWorld, member: str | None = None) -> None:
    """The division is put in force through any controller, as often as it takes."""
    for _ in range(10):
        answer = world.apply(RAISED, 0, member or world.first_live_member(), note="release")
        if answer is not None and answer.result == "ok":
            return
        world.run(2.0)
    raise AssertionError(f"not accepted: {answer}")


def reached(world: PoolWorld, limit: float = MINUTE_S) -> None:
    world.until(lambda: world.holdings_near(dealers=3, registry=9), limit)
    world.assert_rules_hold()


def handed_over(world: PoolWorld) -> tuple[str, Machine]:
    """A machine whose record is being changed, and its owner."""
    found: list[tuple[str, Machine]] = []

    def look() -> bool:
        for member, node in world.nodes.items():
            for machine in node.fleet.machines.values() if node is not None else ():
                if machine.moving and not machine.record.leaving:
                    found.append((member, machine))
        return bool(found)

    for _ in range(6000):
        if look():
            return found[0]
        world.run(0.01)
    raise AssertionError("no machine is handed over")


def crash_and_restart(world: PoolWorld, member: str, back_s: float) -> None:
    world.crash(member)
    world.after(back_s, lambda: world.start(member))


def restarted(world: PoolWorld) -> set[Any]:
    """Tasks that began more than once."""
    return {task for task, n in Counter(task for _, task, _ in world.starts).items() if n > 1}


# --- what runs and waits -----------------------------------------------------------------


@CLUSTER_SIZES
def test_a_cut_lands_while_an_array_is_half_placed(members: tuple[str, ...]) -> None:
    world = recorded_pool(members)
    world.submit_array(DEALERS, 24, 6.0)
    world.until(lambda: 4 <= world.running_tasks(DEALERS) < 24, 20)
    world.submit_array(REGISTRY, 200)
    raised(world)
    reached(world)
    placed = {task for task in restarted(world) if task.job <= "j-000002"}
    assert not placed, "what was placed runs on"
    world.until(lambda: sum(task.job <= "j-000002" for task in world.finished) == 24, 120)
    world.assert_rules_hold()
    assert world.checker.longest_uncounted_s <= CALM_HANDOVER_S


@CLUSTER_SIZES
def test_a_cut_lands_while_a_gang_waits_for_its_last_member(members: tuple[str, ...]) -> None:
    world = recorded_pool(members)
    world.fetch_s = 3.0
    uid = "j-000900"
    world.submit(
        spec(uid, tasks=2, team="team-0", gang=True, together=False, cpus=4.0, estimate_s=20.0)
    )
    world.until(lambda: len(machines_of(world, uid)) >= 1, 30)
    world.submit_array(REGISTRY, 200)
    raised(world)
    world.until(lambda: any(job == uid for _, job, _ in world.gang_runs), 30)
    reached(world)
    assert sum(job == uid for _, job, _ in world.gang_runs) == 1, "one attempt, whole"
    world.until(lambda: world.poll(uid, world.first_live_member()) == "done", 60)
    world.assert_rules_hold()


@CLUSTER_SIZES
def test_long_tasks_hold_what_was_cut_until_they_end(members: tuple[str, ...]) -> None:
    world = recorded_pool(members)
    world.submit_array(DEALERS, 12, 100.0)
    world.until(lambda: world.running_tasks(DEALERS) == 12, 30)
    begun = world.now
    world.submit_array(DEALERS, 100)
    world.submit_array(REGISTRY, 400)
    raised(world)
    while world.now < begun + 80.0:
        world.run(5.0)
        assert world.running_tasks(DEALERS) == 12, "nothing is killed"
    status = world.leader().entitlements.status()
    registry = status["organisations"][1]
    assert not status["converged"] and registry["lacking"] == 36.0
    assert registry["why"] == "tasks of dealers that run hold 36"
    world.until(
        lambda: world.holdings_near(dealers=3, registry=9), begun + 100.0 + MINUTE_S - world.now
    )
    assert not restarted(world)
    world.assert_rules_hold()


@CLUSTER_SIZES
def test_replicas_above_a_cut_target_stay_up(members: tuple[str, ...]) -> None:
    world = recorded_pool(members)
    world.submit_replicas(DEALERS, 8)
    world.until(lambda: world.running_tasks(DEALERS, service=True) == 8, 30)
    world.submit_array(REGISTRY, 400)
    raised(world)
    for _ in range(20):
        world.run(4.0)
        assert world.running_tasks(DEALERS, service=True) == 8
    assert not restarted(world) & {t for _, t, _ in world.starts if world.specs[t.job].service}
    assert world.holdings()[REGISTRY] == 4, "all that no replica holds"
    dealers = world.leader().entitlements.status()["organisations"][0]
    assert dealers["debt"] == 20.0 and dealers["held"] == 32.0
    world.assert_rules_hold()


@CLUSTER_SIZES
def test_an_organisation_asks_for_nothing_and_then_for_everything(
    members: tuple[str, ...],
) -> None:
    world = recorded_pool(members)
    for _ in range(2):
        world.submit_array(DEALERS, 120)
        world.until(lambda: world.holdings()[DEALERS] == 12, MINUTE_S)
        world.submit_array(REGISTRY, 400)
        world.until(lambda: world.holdings_near(dealers=6, registry=6), MINUTE_S)
        world.until(
            lambda: not world.running_tasks(REGISTRY) and not world.running_tasks(DEALERS), 400
        )
    world.assert_rules_hold()


@CLUSTER_SIZES
def test_lesser_work_is_stopped_for_what_is_owed_and_no_further(members: tuple[str, ...]) -> None:
    world = recorded_pool(members)
    world.submit_replicas(DEALERS, 2)
    world.submit_array(DEALERS, 10, LONG_S, rank=3)
    world.until(lambda: world.running_tasks(DEALERS) == 10, 30)
    world.submit_array(DEALERS, 40, LONG_S, rank=2)  # waits here: it has no claim on what is owed
    world.submit_array(REGISTRY, 400, LONG_S, rank=1)
    world.until(lambda: world.holdings_near(dealers=6, registry=6), MINUTE_S)
    for _ in range(20):
        world.run(3.0)
        assert world.holdings_near(dealers=6, registry=6)
        assert world.running_tasks(DEALERS, service=True) == 2
    assert world.running_tasks(DEALERS) >= 3, "no more is stopped than is owed"
    world.assert_rules_hold()


@CLUSTER_SIZES
def test_new_machines_go_first_to_who_is_short(members: tuple[str, ...]) -> None:
    world = contended_pool(members, estimate_s=LONG_S)
    raised(world)
    world.run(10.0)
    assert world.holdings_near(dealers=6, registry=6), "long tasks run on"
    world.capacity += 12
    world.until(lambda: len(world.checker.recorded_machines()) == 24, 120)
    world.run(5.0)
    assert world.holdings_near(dealers=6, registry=18)
    world.assert_rules_hold()


def test_what_fits_no_machine_there_is_takes_none() -> None:
    world = recorded_pool(machine_zones="b")
    world.submit_array(REGISTRY, 200, zone="a")
    world.submit_array(DEALERS, 400)
    world.until(lambda: world.holdings()[DEALERS] >= 11, MINUTE_S)
    world.submit_array(REGISTRY, 4, LONG_S)
    moved = 0
    for _ in range(30):
        before = world.holdings()[REGISTRY]
        world.run(2.0)
        moved += abs(world.holdings()[REGISTRY] - before)
    assert world.running_tasks(REGISTRY) == 4, "its other work gets what it can use"
    assert world.holdings()[REGISTRY] <= 5 and moved <= 8, "and nothing goes back and forth"
    world.assert_rules_hold()


@CLUSTER_SIZES
def test_a_maximum_binds_only_while_others_ask(members: tuple[str, ...]) -> None:
    first = settings()
    dealers = msgspec.structs.replace(first.organisations[0], maximum=16.0)
    first = msgspec.structs.replace(first, organisations=(dealers, first.organisations[1]))
    world = recorded_pool(members, first=first)
    world.submit_array(DEALERS, 200)
    world.until(lambda: world.holdings()[DEALERS] == 12, MINUTE_S)
    world.submit_array(REGISTRY, 400)
    world.until(lambda: world.holdings_near(dealers=4, registry=8), MINUTE_S)
    world.assert_rules_hold()


# --- leaders, owners and the store -------------------------------------------------------


@CLUSTER_SIZES
@pytest.mark.parametrize("phase", ["before", "asked", "first", "half", "last"])
def test_the_leader_changes_in_every_phase(members: tuple[str, ...], phase: str) -> None:
    world = contended_pool(members)
    leader = world.leader().context.me
    if phase != "before":
        raised(world)
    wanted = {"before": 0, "asked": 6, "first": 7, "half": 8, "last": 9}[phase]
    world.until(lambda: world.holdings()[REGISTRY] >= wanted, MINUTE_S)
    reached_before = world.holdings()[REGISTRY]
    crash_and_restart(world, leader, 8.0)
    if phase == "before":
        raised(world)
    lowest = 12
    for _ in range(200):
        world.run(0.2)
        lowest = min(lowest, world.holdings()[REGISTRY])
    reached(world)
    assert lowest >= reached_before - 1, "the new leader undoes nothing"
    assert world.checker.longest_uncounted_s <= FAILED_HANDOVER_S


@CLUSTER_SIZES
def test_a_cut_lands_during_a_takeover(members: tuple[str, ...]) -> None:
    world = contended_pool(members)
    giver = next(s for s in range(len(members)) if world.organisation_of_share(s) == DEALERS)
    owner = world.state.data[f"rc/share/{giver}"][0]["owner"]
    world.crash(owner)
    world.run(0.5)
    raised(world)
    reached(world, MINUTE_S + 3 * LEASE_S)
    world.start(owner)
    world.run(20.0)
    reached(world)


@CLUSTER_SIZES
@pytest.mark.parametrize("seconds", [3.0, 15.0])
def test_a_cut_is_followed_by_an_outage(members: tuple[str, ...], seconds: float) -> None:
    world = contended_pool(members)
    raised(world)
    world.run(1.0)
    world.state.outage(True)
    world.run(seconds)
    world.state.outage(False)
    reached(world, MINUTE_S + 3 * LEASE_S)


@CLUSTER_SIZES
def test_changes_arrive_late_and_answers_are_lost(members: tuple[str, ...]) -> None:
    for seed in range(3):
        world = contended_pool(members, seed=seed)
        raised(world)
        world.late_writes, world.lost_answers, world.duplicate_rate = 0.3, 0.3, 0.2
        for n in range(6):
            crash_and_restart(world, members[(seed + n) % len(members)], 3.0)
            world.run(6.0)
            world.assert_rules_hold()
        world.late_writes = world.lost_answers = world.duplicate_rate = 0.0
        world.run(15.0)
        reached(world)


# --- one machine -------------------------------------------------------------------------


@CLUSTER_SIZES
def test_two_controllers_claim_one_freed_machine(members: tuple[str, ...]) -> None:
    world = contended_pool(members)
    world.run(2.0)
    for worker in list(world.workers.values()):
        owner, machine = owner_of(world, worker.id)
        targets = [s for s in owner.shares.all() if s != machine.share.number][:2]
        for share in targets:  # as a former and a present leader may ask in one moment
            owner.rental.transfers.handle(TransferMachine(machine.id, share))
        world.run(0.5)
        world.assert_rules_hold()
        record = world.state.data[f"rc/machine/{worker.id}"][0]
        assert record["share"] in (*targets, machine.share.number)
    world.until(lambda: world.holdings_near(dealers=6, registry=6), MINUTE_S)


@CLUSTER_SIZES
@pytest.mark.parametrize("how", ["dies", "taken"])
def test_a_machine_is_lost_while_it_is_handed_over(members: tuple[str, ...], how: str) -> None:
    world = contended_pool(members)
    world.state_delay_s = 0.5
    raised(world)
    _, machine = handed_over(world)
    world.workers[str(machine.id)].alive = False
    if how == "taken":
        world.workers.pop(str(machine.id))
    world.state_delay_s = 0.0
    world.until(lambda: str(machine.id) not in world.checker.recorded_machines(), 90)
    world.until(lambda: world.holdings_near(dealers=3, registry=9), MINUTE_S)
    world.assert_rules_hold()


@CLUSTER_SIZES
def test_a_cut_lands_while_a_machine_is_handed_over(members: tuple[str, ...]) -> None:
    world = contended_pool(members)
    world.state_delay_s = 0.5
    raised(world)
    handed_over(world)
    answer = world.apply({DEALERS: 3.0, REGISTRY: 1.0}, world.version())
    assert answer is not None and answer.result == "ok"
    world.state_delay_s = 0.0
    world.until(lambda: world.holdings_near(dealers=9, registry=3), MINUTE_S)
    world.assert_rules_hold()


@CLUSTER_SIZES
def test_the_owner_ends_while_it_hands_a_machine_over(members: tuple[str, ...]) -> None:
    world = contended_pool(members)
    world.state_delay_s = 0.5
    raised(world)
    owner, _ = handed_over(world)
    crash_and_restart(world, owner, 0.1)
    world.state_delay_s = 0.0
    reached(world, MINUTE_S + 3 * LEASE_S)


def test_a_machine_that_did_not_fall_empty_takes_work_again() -> None:
    world = recorded_pool(machines=4)
    world.submit_array(DEALERS, 4, LONG_S, cpus=3.0)
    world.until(lambda: world.running_tasks(DEALERS) == 4, 20)
    assert world.holdings()[DEALERS] == 4
    world.submit_array(REGISTRY, 400, LONG_S)
    raised(world)
    dealers = [n for n in world.nodes.values() if n is not None and not _serves(n, REGISTRY)]
    machines = [m for node in dealers for m in node.fleet.machines.values()]
    world.until(lambda: sum(m.draining_until > world.now for m in machines) >= 2, 20)
    waiting = world.now
    world.submit_array(DEALERS, 4, 1.0, cpus=1.0)
    world.until(lambda: len(world.finished) == 4, waiting + 90.0 - world.now)
    world.assert_rules_hold()


def _serves(node: Node, organisation: str) -> bool:
    return any(node.entitlements.organisation(s) == organisation for s in node.shares.owned)


# --- the checker itself ------------------------------------------------------------------


def _passed_on(seed: int) -> PoolWorld:
    """A transfer is carried out late, after its repetition, when the machine has gone on."""
    world = recorded_pool(seed=seed, machines=3)
    world.run(3.0)
    owner, machine = owner_of(world, next(iter(world.workers)))
    first, second = [s for s in owner.shares.all() if s != machine.share.number]
    world.late_writes = 1.0
    owner.rental.transfers.handle(TransferMachine(machine.id, first))
    world.run(0.2)
    world.late_writes = 0.0
    for share in (first, second):
        world.until(lambda share=share: _share_of(world, machine) == share, 20)  # type: ignore[misc]
        world.run(0.5)
        if share == first:
            present, _ = owner_of(world, str(machine.id))
            present.rental.transfers.handle(TransferMachine(machine.id, second))
            world.run(0.1)
    world.run(12.0)
    return world


def _share_of(world: World, machine: Machine) -> int:
    share: int = world.state.data[f"rc/machine/{machine.id}"][0]["share"]
    return share


def _stirred(seed: int) -> PoolWorld:
    """Machines go to and fro while answers are late and controllers pause."""
    world = contended_pool(MEMBERS, seed=seed)
    world.late_writes = 0.5
    for n in range(12):
        world.apply(RAISED if n % 2 else {DEALERS: 3.0, REGISTRY: 1.0}, world.version())
        world.freeze(MEMBERS[n % 3], 4.0)
        world.run(6.0)
    return world


def test_nothing_is_counted_twice_however_it_is_stirred() -> None:
    for seed in range(4):
        world = _stirred(seed)
        world.assert_rules_hold()


@pytest.mark.parametrize("guard", ["owner", "record"])
def test_without_its_guards_the_checker_fails(guard: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """The owner's guard and the record's version are what the count rests on."""
    stories = {"owner": _stirred, "record": _passed_on}
    assert not any(stories[guard](seed).checker.counted_twice for seed in range(12))
    nothing = Condition("rc/nothing", ABSENT)
    if guard == "owner":
        monkeypatch.setattr(Shares, "guard", lambda self, share: nothing)
    else:
        monkeypatch.setattr(transfers, "Condition", lambda key, stamp: nothing)
    assert any(stories[guard](seed).checker.counted_twice for seed in range(12))
