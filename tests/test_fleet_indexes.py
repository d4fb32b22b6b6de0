"""Tests that indexes and running totals agree with a full pass over all entries."""

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
from runcourse.core.shares import OwnedShare
from runcourse.core.turn import Turn
from runcourse.core.work import Work

STEPS = 25  # per scenario
INPUTS_PER_CHECK = 7  # inputs of nodes between two checks of all indexes


def check_share(node: Node, machines: ShareMachines, now: float) -> None:
    """Compares each index and total of a share with a pass over its machines."""
    all_machines = list(machines)
    assert [m.position for m in all_machines] == sorted(m.position for m in all_machines)
    assert machines.used_cpus == pytest.approx(sum(m.used.cpus for m in all_machines))
    assert machines.service_cpus == pytest.approx(sum(m.service_cpus for m in all_machines))
    assert machine_ids(machines.unsettled()) == machine_ids(
        m for m in all_machines if not m.settled
    )
    assert machine_ids(machines.suspected()) == machine_ids(m for m in all_machines if m.suspected)
    assert machine_ids(machines.under_notice()) == machine_ids(
        m for m in all_machines if m.notice_until is not None
    )
    for age_s in (0.5, 2.0, 8.0):
        since = now - age_s
        silent = machine_ids(m for m in all_machines if max(m.last_message_at, m.added_at) < since)
        assert machine_ids(machines.no_message_since(since)) == silent
        assert machine_ids(machines.not_answered_since(since)) == machine_ids(
            m for m in all_machines if m.last_answer_at < since
        )
    for owned_share in node.shares.owned.values():
        if node.fleet.of_share(owned_share.number) is machines:
            known = [
                m
                for m in all_machines
                if m.last_message_at >= 0 or m.record.stamp <= owned_share.epoch
            ]
            assert machines.count_ever_seen(owned_share.epoch) == len(known)


def machine_ids(machines: Any) -> set[MachineId]:
    return {m.id for m in machines}


def check_node(node: Node) -> None:
    """Compares the incremental indexes and counts of a node with a full pass."""
    fleet, scheduler = node.fleet, node.scheduler
    assert dict(fleet.groups.counts()) == dict(MachineGroups(fleet.records.values()).counts())
    assert set(fleet.leaving) == {id for id, r in fleet.records.items() if r.leaving}
    for owned_share in node.shares.owned.values():
        machines = fleet.of_share(owned_share.number)
        of_share = {id for id, m in fleet.machines.items() if m.share is owned_share}
        assert machine_ids(machines) == of_share
        check_share(node, machines, node.context.now)
        expected = [
            w for w in scheduler.work.values() if w.pending and w.share == owned_share.number
        ]
        assert {w.job.uid for w in scheduler._work_with_pending_tasks(owned_share.number)} == {
            w.job.uid for w in expected
        }
    task_sizes = Counter((job.spec.team, job.spec.cpus) for job in node.jobs.open_jobs())
    assert dict(node.jobs._open_task_sizes) == dict(task_sizes)
    planner = node.fleet_planner
    adopting = MachineGroups(planner.adoption._pending_records.values())
    assert dict(planner.adoption.pending_groups().counts()) == dict(adopting.counts())
    view = planner.view
    if planner.leadership.leading and view._following:
        staying = {id for id, r in fleet.records.items() if not r.leaving}
        assert set(view.expected) <= staying
        for share, idle_machines in view._idle_since.items():
            assert all(fleet.records[id].share == share for id in idle_machines)
            assert set(idle_machines) <= staying - set(view.expected)


@contextmanager
def indexes_checked() -> Iterator[Counter[str]]:
    """Compares each turn with a full pass and, at intervals, all indexes of a node.

    Yields the numbers of turns, inputs and checks.
    """
    counts: Counter[str] = Counter()
    prepare_turn, handle = Scheduler._prepare_turn, Node.handle

    def checked_prepare_turn(
        scheduler: Scheduler,
        owned_share: OwnedShare,
        waiting: list[Work],
        failing: list[Work],
        unsettled: list[Machine],
    ) -> Turn:
        turn = prepare_turn(scheduler, owned_share, waiting, failing, unsettled)
        sizes = [w.job.size for w in (*waiting, *failing)]
        min_size = Size(*(min(size[n] for size in sizes) for n in range(3)))
        expected = [
            m
            for m in scheduler.fleet.of_share(owned_share.number)
            if m.room.cpus + ROOM_TOLERANCE_CPUS >= min_size.cpus
            and min_size.fits(m.room)
            and scheduler.fleet.usable(m)
        ]
        assert turn.machines_with_room == expected, "the same machines in the same order"
        counts["turns"] += 1
        counts["with room"] += bool(expected)
        return turn

    def checked_handle(node: Node, now: float, event: Any) -> list[Any]:
        effects = handle(node, now, event)
        counts["inputs"] += 1
        if counts["inputs"] % INPUTS_PER_CHECK == 0:
            check_node(node)
            counts["checks"] += 1
        return effects

    with (
        patch.object(Scheduler, "_prepare_turn", checked_prepare_turn),
        patch.object(Node, "handle", checked_handle),
    ):
        yield counts


@pytest.mark.parametrize("seed", range(8))
def test_indexes_agree_with_a_full_pass_in_random_scenarios(seed: int) -> None:
    rng = random.Random(seed)
    with_locality = seed % 2 == 0
    page_size = 2 if seed % 3 else 500  # small pages, so that small worlds need several of them
    with (
        patch("runcourse.core.migrations.MIN_RUNTIME_S", 1.0),
        patch("runcourse.core.leader.demand.LOAD_PAGE", page_size),
        patch("runcourse.core.running_counts.RUNNING_PAGE", page_size),
        indexes_checked() as counts,
    ):
        world = World(
            seed=seed,
            machines=12,
            members=FIVE_MEMBERS if seed % 4 < 2 else MEMBERS,
            cpus_max=16.0,
            locality=locality(seed) if with_locality else None,
            operators=Operators(idle_return=1e6) if with_locality else None,
        )
        world.run(2.0)
        for number in range(STEPS):
            run_action(world, ("submit", "service", "gang")[number % 3], number, 100 + number)
            run_action(world, rng.choice(ACTIONS), rng.randrange(40), number)
            if number % 5 == 2:  # a machine gets notice from the cloud, or its notice is withdrawn
                worker = rng.choice(list(world.workers.values()))
                worker.notice_s = None if worker.notice_s else 20.0
            world.run(rng.uniform(0.1, 3.0))
        world.run(15.0)
    assert not world.violations
    assert counts["turns"] > 25 and counts["with room"] > 5 and counts["checks"] > 200


def test_machines_are_ordered_by_age_when_their_numbers_gain_a_digit() -> None:
    named = [MachineId(name) for name in ("i-1000000", "i-999999", "i-000002", "i-1000001")]
    assert sorted(named, key=creation_order) == ["i-000002", "i-999999", "i-1000000", "i-1000001"]
