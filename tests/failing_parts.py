"""Set-up for the tests in which one part of the system fails."""

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
    """Records the reports that arrive from now on, for `resend_report`."""
    reports: list[tuple[str, t.Report]] = []
    feed = world.feed

    def record(member: str, event: Any) -> None:
        if isinstance(event, t.ReportReceived) and event.relayed_by is None:
            reports.append((member, event.report))
        feed(member, event)

    world.feed = record  # type: ignore[method-assign]
    return reports


def resend_report(world: World, member: str, report: t.Report) -> None:
    world.feed(member, t.ReportReceived(-1, report))


def replacement_delay_s(members: tuple[str, ...], restarts: bool, seed: int) -> float:
    """Returns the seconds until both replicas run elsewhere after a worker's inbound link fails."""
    # With this lease the owner waits 7 s for a report: longer than the 5 s between two attempts of
    # a worker that receives no answer.
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
    delay_s = world.now - since
    assert not [1 for at, _, id in world.starts if id == worker.id and at > since + 2.0]
    world.run(20.0)
    assert worker.id not in world.workers, "returned after the same wait as a silent machine"
    assert not world.violations
    return delay_s
