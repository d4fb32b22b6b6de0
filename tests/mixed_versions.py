"""Set-up for the tests of mixed versions and of lowered limits of the state service."""

import random
from typing import Any

import production
import pytest
from world import World, platform, spec

from runcourse.config import NextLimits, Operators, StateSettings
from runcourse.core import types as t
from runcourse.core.ids import Instant, JobId, Stamp
from runcourse.core.jobs import MAX_TASKS, JobSpec, job_value
from runcourse.core.node import Node
from runcourse.core.work import Work

needs_production_history = pytest.mark.skipif(
    production.checkout() is None, reason="the history of the production version is missing"
)
needs_pre_division_history = pytest.mark.skipif(
    production.checkout(production.BEFORE_DIVISIONS, production.PreDivisionNode.name) is None,
    reason="the history of the version before divisions is missing",
)
LEAST_VALUE_BYTES = 2048  # the lowest limit that any deployment has announced
LEAST_TXN_OPS = 8
MAX_COMMITS = 50


def loaded_world(members: tuple[str, ...], machines: int = 12) -> World:
    """Returns a cluster on the production version that runs two jobs per team."""
    world = World(machines=machines, members=members, on_production=True, cpus_max=100.0)
    world.run(4.0)
    for n in range(4):
        world.submit(spec(f"j-00000{n}", tasks=2, team=f"team-{n}", service=True, rank=0, cpus=1.0))
        world.submit(spec(f"j-00001{n}", tasks=2, team=f"team-{n}", cpus=1.0, estimate_s=120.0))
    world.until(lambda: len(world.on_machines()) == 16, 20)
    world.run(2.0)
    return world


def restart_as(world: World, member: str, seconds: float, new: bool) -> None:
    """Stops a node and starts it after `seconds`, with the present version if `new`."""
    world.crash(member)
    if new:
        world.production_members.discard(member)
    world.after(seconds, lambda: world.start(member))


def format_stored(world: World) -> bool:
    """Returns whether the version of the stored formats is recorded."""
    return "rc/format" in world.state.data


def node_with_next_limits(**next_limits: Any) -> Node:
    """Returns a node whose settings announce these next limits of the state service."""
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


def largest_spec(**changes: Any) -> JobSpec:
    """Returns a job whose fields have the greatest length that a submission may use."""
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


def node_with_finished_tasks(
    tasks: int, next_limits: dict[str, Any], format_stored: bool
) -> tuple[Node, Work]:
    node = node_with_next_limits(**next_limits)
    node.store.ready = True
    node.store.values["rc/share/0"] = {}
    job = node.jobs.apply_job(
        JobId("j-000001"), job_value(spec("j-000001", tasks=tasks), "accepted"), Stamp(5), 0.0
    )
    if format_stored:
        node.store.values["rc/format"] = {"version": 2}
        node.store.stamps["rc/format"] = Stamp(3)
    work = Work(job, 0)  # type: ignore[arg-type]
    node.scheduler.finishes.shares = _ShareStub()  # type: ignore[assignment]
    return node, work


class _ShareStub:
    def guard(self, share: int) -> tuple[str, int]:
        return ("rc/share/0", 1)

    def may_command(self, share: int) -> bool:
        return True


def store_all_finished(node: Node, work: Work) -> list[t.Commit]:
    """Stores all finished tasks and returns the commits that were needed."""
    commits: list[t.Commit] = []
    node.scheduler.finishes._unstored[work.job.uid] = work
    while work.unstored_done_bits:
        node.store._write_budget.level = 1e9
        node.scheduler.finishes.store_finished(work, complete=False)
        node.store._flush()
        commit = next(e for e in node.context.effects if isinstance(e, t.Commit))
        node.context.effects.clear()
        commits.append(commit)
        node.handle(node.context.now, t.Outcome(commit.tag, 200, 100 + len(commits)))
        node.context.effects.clear()
        assert len(commits) < MAX_COMMITS
    return commits
