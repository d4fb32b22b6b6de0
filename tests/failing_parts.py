"""Set-up of the tests in which a part of the system fails."""

from typing import Any

import pytest
from world import FIVE_MEMBERS, MEMBERS, World, spec

from runcourse.core import types as t
from runcourse.core.machine import Machine
from runcourse.core.node import Node

CLUSTER_SIZES = pytest.mark.parametrize("members", [MEMBERS, FIVE_MEMBERS], ids=["three", "five"])


def owner_of(world: World, id: str) -> tuple[Node, Machine]:
    node = next(n for n in world.nodes.values() if n is not None and id in n.fleet.machines)
    return node, node.fleet.machines[id]  # type: ignore[index]


def capture_reports(world: World) -> list[tuple[str, t.Report]]:
    """Reports as they arrive from now on, to be sent once more later."""
    seen: list[tuple[str, t.Report]] = []
    feed = world.feed

    def noting(member: str, event: Any) -> None:
        if isinstance(event, t.ReportReceived) and event.relayed_by is None:
            seen.append((member, event.report))
        feed(member, event)

    world.feed = noting  # type: ignore[method-assign]
    return seen


def resend_report(world: World, member: str, report: t.Report) -> None:
    world.feed(member, t.ReportReceived(-1, report))


def replacement_delay_s(members: tuple[str, ...], restarts: bool, seed: int) -> float:
    # A patience of 7 s: beyond the 5 s between two tries of a worker that hears no answer.
    world = World(seed=seed, machines=4, members=members, cpus_max=8.0, lease_s=12.0)
    world.run(4.0)
    world.submit(spec("j-000400", service=True, tasks=2))
    world.until(lambda: len(world.on_machines()) == 2, 10)
    worker = world.on_machines()[0][1]
    node, _ = owner_of(world, worker.id)
    world.inbound_cut.add(worker.id)
    if restarts:
        world.crash(node.context.me)
        world.start(node.context.me)
    since = world.now
    world.until(
        lambda: (
            len(
                [1 for task, w in world.on_machines() if task.job == "j-000400" and w is not worker]
            )
            == 2
        ),
        14.0,
    )
    took = world.now - since
    assert not [1 for at, _, id in world.starts if id == worker.id and at > since + 2.0]
    world.run(20.0)
    assert worker.id not in world.workers, "returned, after a patience as for a silent one"
    assert not world.violations
    return took
