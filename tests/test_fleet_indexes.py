"""Indexes and running totals agree with a plain pass over everything, whatever happens."""

import random
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest.mock import patch

import pytest
from random_failures import ACTIONS, locality, run_action
from world import FIVE_MEMBERS, MEMBERS, World

from runcourse.config import Operators
from runcourse.core.ids import MachineId, creation_order
from runcourse.core.machine import ROOM_TOLERANCE_CPUS, Machine
from runcourse.core.machine_groups import MachineGroups
from runcourse.core.node import Node
from runcourse.core.placement import Size
from runcourse.core.scheduler import Scheduler
from runcourse.core.share_machines import ShareMachines
from runcourse.core.shares import Holding
from runcourse.core.turn import Turn
from runcourse.core.work import Work

STEPS = 25  # of a story
CHECK_EVERY = 7  # inputs of a node


def check_share(node: Node, machines: ShareMachines, now: float) -> None:
    """Every index and total of a share against its machines one by one."""
    every = list(machines)
    assert [m.position for m in every] == sorted(m.position for m in every)
    assert machines.used_cpus == pytest.approx(sum(m.used.cpus for m in every))
    assert machines.service_cpus == pytest.approx(sum(m.service_cpus for m in every))
    assert ids(machines.unsettled()) == ids(m for m in every if not m.settled)
    assert ids(machines.suspected()) == ids(m for m in every if m.suspected)
    assert ids(machines.under_notice()) == ids(m for m in every if m.notice_until is not None)
    for ago in (0.5, 2.0, 8.0):
        at = now - ago
        silent = ids(m for m in every if max(m.last_message_at, m.added) < at)
        assert ids(machines.no_message_since(at)) == silent
        assert ids(machines.not_answered_since(at)) == ids(m for m in every if m.last_answer < at)
    for holding in node.shares.owned.values():
        if node.fleet.of_share(holding.number) is machines:
            known = [m for m in every if m.last_message_at >= 0 or m.record.stamp <= holding.epoch]
            assert machines.count_ever_seen(holding.epoch) == len(known)


def ids(machines: Any) -> set[MachineId]:
    return {m.id for m in machines}


def check_node(node: Node) -> None:
    """What is counted as it changes, against what there is."""
    fleet, scheduler = node.fleet, node.scheduler
    assert dict(fleet.groups.counts()) == dict(MachineGroups(fleet.records.values()).counts())
    assert set(fleet.leaving) == {id for id, r in fleet.records.items() if r.leaving}
    for holding in node.shares.owned.values():
        machines = fleet.of_share(holding.number)
        of_share = {id for id, m in fleet.machines.items() if m.share is holding}
        assert ids(machines) == of_share
        check_share(node, machines, node.context.now)
        plain = [w for w in scheduler.work.values() if w.pending and w.share == holding.number]
        assert {w.job.uid for w in scheduler._work_with_pending_tasks(holding.number)} == {
            w.job.uid for w in plain
        }
    kinds = Counter((job.spec.team, job.spec.cpus) for job in node.jobs.open_jobs())
    assert dict(node.jobs._open_task_sizes) == dict(kinds)
    rental = node.rental
    adopting = MachineGroups(rental.adoption._pending_records.values())
    assert dict(rental.adoption.pending_groups().counts()) == dict(adopting.counts())
    view = rental.view
    if rental.leadership.leading and view._following:
        staying = {id for id, r in fleet.records.items() if not r.leaving}
        assert set(view.expected) <= staying
        for share, machines_idle in view._idle_since.items():
            assert all(fleet.records[id].share == share for id in machines_idle)
            assert set(machines_idle) <= staying - set(view.expected)


@contextmanager
def checked() -> Iterator[Counter[str]]:
    """Has each turn compared with a plain pass, and now and then everything else."""
    done: Counter[str] = Counter()
    begin, handle = Scheduler._prepare_turn, Node.handle

    def checked_begin(
        scheduler: Scheduler,
        holding: Holding,
        waiting: list[Work],
        failing: list[Work],
        unsettled: list[Machine],
    ) -> Turn:
        turn = begin(scheduler, holding, waiting, failing, unsettled)
        sizes = [w.job.size for w in (*waiting, *failing)]
        least = Size(*(min(size[n] for size in sizes) for n in range(3)))
        plain = [
            m
            for m in scheduler.fleet.of_share(holding.number)
            if m.room.cpus + ROOM_TOLERANCE_CPUS >= least.cpus
            and least.fits(m.room)
            and scheduler.fleet.usable(m)
        ]
        assert turn.machines_with_room == plain, "the same machines in the same order"
        done["turns"] += 1
        done["with room"] += bool(plain)
        return turn

    def checked_handle(node: Node, now: float, event: Any) -> list[Any]:
        effects = handle(node, now, event)
        done["inputs"] += 1
        if done["inputs"] % CHECK_EVERY == 0:
            check_node(node)
            done["checks"] += 1
        return effects

    with (
        patch.object(Scheduler, "_prepare_turn", checked_begin),
        patch.object(Node, "handle", checked_handle),
    ):
        yield done


@pytest.mark.parametrize("seed", range(8))
def test_indexes_agree_with_a_plain_pass_over_random_stories(seed: int) -> None:
    rng = random.Random(seed)
    moving = seed % 2 == 0
    page = 2 if seed % 3 else 500  # small pages, so that small worlds are told of in several
    with (
        patch("runcourse.core.migrations.MIN_RUNTIME_S", 1.0),
        patch("runcourse.core.leader.demand.LOAD_PAGE", page),
        patch("runcourse.core.running_counts.RUNNING_PAGE", page),
        checked() as done,
    ):
        world = World(
            seed=seed,
            machines=12,
            members=FIVE_MEMBERS if seed % 4 < 2 else MEMBERS,
            cpus_max=16.0,
            locality=locality(seed) if moving else None,
            operators=Operators(idle_return=1e6) if moving else None,
        )
        world.run(2.0)
        for number in range(STEPS):
            run_action(world, ("submit", "service", "gang")[number % 3], number, 100 + number)
            run_action(world, rng.choice(ACTIONS), rng.randrange(40), number)
            if number % 5 == 2:  # the cloud will take one back, or thinks better of it
                worker = rng.choice(list(world.workers.values()))
                worker.notice_s = None if worker.notice_s else 20.0
            world.run(rng.uniform(0.1, 3.0))
        world.run(15.0)
    assert not world.violations
    assert done["turns"] > 25 and done["with room"] > 5 and done["checks"] > 200


def test_machines_are_ordered_by_age_though_their_numbers_grow_by_a_digit() -> None:
    named = [MachineId(name) for name in ("i-1000000", "i-999999", "i-000002", "i-1000001")]
    assert sorted(named, key=creation_order) == ["i-000002", "i-999999", "i-1000000", "i-1000001"]
