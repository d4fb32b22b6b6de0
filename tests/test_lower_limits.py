"""Announced lower limits of the state service, to which nodes keep before they are in force."""

import random

import pytest
from mixed_versions import (
    LEAST_TXN_OPS,
    LEAST_VALUE_BYTES,
    _replace,
    largest_spec,
    node_with_finished_tasks,
    node_with_next_limits,
    store_all_finished,
)
from world import platform, spec

from runcourse.config import Operators
from runcourse.core import types as t
from runcourse.core.ids import Instant, JobId, MachineId, ShareNo, Stamp
from runcourse.core.jobs import MAX_TASKS, PART_BITS, fit_spec, job_value, name_digest
from runcourse.core.leader.adoption import FoundMachine
from runcourse.core.node import Node
from runcourse.core.queue_order import QueueOrder
from runcourse.core.quota import Quota
from runcourse.core.sizes import json_size


def test_node_uses_the_smaller_of_present_and_next_limits() -> None:
    node = node_with_next_limits(write_rps=56.0, value_kb=2.0, txn_ops=8)
    assert node.context.limits == (200.0, 56.0, 2048, 8)
    assert node.store._fair_write_rate == pytest.approx(0.95 * 56.0 / 3)
    assert node_with_next_limits().context.limits == (200.0, 80.0, 16384, 24)
    assert node_with_next_limits(value_kb=64.0, txn_ops=99).context.limits == (
        200.0,
        80.0,
        16384,
        24,
    )


def test_largest_submission_fits_the_smallest_value_limit() -> None:
    job = largest_spec()
    known = [job.types[7], job.types[9]]  # type: ignore[index]
    stored = fit_spec(job, known, LEAST_VALUE_BYTES)
    assert stored is not None and stored.types == tuple(known)
    for stage in ("accepted", "cancelled", "done"):
        assert json_size(job_value(stored, stage)) <= LEAST_VALUE_BYTES
    assert stored.team == job.team and stored.zone == job.zone and stored.tasks == MAX_TASKS
    assert stored.image == job.image or stored.image == name_digest(job.image)
    without_known_types = fit_spec(largest_spec(), [], LEAST_VALUE_BYTES)
    assert without_known_types is not None
    # A character outside the basic plane takes up to twelve bytes in JSON.
    emoji_spec = spec("j-000001", lane="\U0001f600" * 200, image="\U0001f600" * 200)
    stored = fit_spec(emoji_spec, [], LEAST_VALUE_BYTES)
    assert stored is not None and json_size(job_value(stored, "cancelled")) <= LEAST_VALUE_BYTES
    assert fit_spec(spec("j-000001", team="\U0001f600" * 200), [], LEAST_VALUE_BYTES) is None
    # A spec that fits stays as it was submitted.
    assert fit_spec(spec("j-000001"), [], LEAST_VALUE_BYTES) == spec("j-000001")


def test_class_with_a_shortened_name_keeps_its_objectives() -> None:
    from runcourse.config import Objective

    settings = platform("n0", objectives=(Objective("wait", "l" * 200, within_s=3.0),))
    node = Node(settings, Operators(), random.Random(1), Instant(0.0))
    order = QueueOrder(node.context, Quota(node.context))
    assert order.wait_limits_s[name_digest("l" * 200)] == 3.0


def test_pages_of_a_hundred_thousand_finished_tasks_fit_the_smallest_limits() -> None:
    all_bits = (1 << MAX_TASKS) - 1
    node, work = node_with_finished_tasks(
        MAX_TASKS, {"value_kb": 2.0, "txn_ops": LEAST_TXN_OPS}, format_stored=True
    )
    work.unstored_done_bits = all_bits >> 1
    commits = store_all_finished(node, work)
    for commit in commits:
        assert len(commit.then) <= LEAST_TXN_OPS and len(commit.when) <= 4 * LEAST_TXN_OPS
        assert all(json_size(value) <= LEAST_VALUE_BYTES for _, value, _ in commit.then)
    keys = [key for commit in commits for key, _, _ in commit.then]
    assert len(keys) == len(set(keys)) <= MAX_TASKS // PART_BITS + 2
    # A fresh node that reads the pages gets the same done bits.
    fresh = node_with_next_limits()
    fresh.store.ready = True
    fresh.store._apply("rc/job/j-000001", job_value(work.job.spec, "accepted"), Stamp(5))
    for commit in commits:
        for key, value, _ in commit.then:
            fresh.store._apply(key, value, Stamp(9))
    job = fresh.jobs.get(JobId("j-000001"))
    assert job is not None and job.done_bits == all_bits >> 1


def test_pages_are_not_split_while_a_former_version_may_read_them() -> None:
    node, work = node_with_finished_tasks(
        20_000, {"value_kb": 2.0, "txn_ops": LEAST_TXN_OPS}, format_stored=False
    )
    work.unstored_done_bits = (1 << 16_000) | 1
    (commit,) = store_all_finished(node, work)
    assert [key for key, _, _ in commit.then] == ["rc/done/j-000001/0"]
    # A larger page that the former version wrote stays; new done bits go into parts.
    node.store.values["rc/format"] = {"version": 2}
    work.unstored_done_bits = 1 << 15_000
    (commit,) = store_all_finished(node, work)
    assert [key for key, _, _ in commit.then] == [f"rc/part/j-000001/{15_000 // PART_BITS}"]
    assert all(json_size(value) <= LEAST_VALUE_BYTES for _, value, _ in commit.then)
    assert ("rc/share/0", 1) in commit.when, "the write fails if the ownership of the share changes"


def test_write_that_is_too_large_is_not_retried_unchanged() -> None:
    node, work = node_with_finished_tasks(
        20_000, {}, format_stored=False
    )  # the settings do not announce the lower limit
    work.unstored_done_bits = 1 << 16_000
    node.scheduler.finishes._unstored[work.job.uid] = work
    node.scheduler.finishes.store_finished(work, complete=False)
    node.store._flush()
    commit = next(e for e in node.context.effects if isinstance(e, t.Commit))
    node.context.effects.clear()
    node.handle(node.context.now, t.Outcome(commit.tag, 400))
    assert work.unstored_done_bits and work.flush_retry_at > node.context.now + 1.0
    node.context.limits = node.context.limits._replace(value_bytes=LEAST_VALUE_BYTES)
    (commit,) = store_all_finished(node, work)
    assert all(json_size(value) <= LEAST_VALUE_BYTES for _, value, _ in commit.then)


def answer_all_commits(node: Node) -> list[list[t.Write]]:
    """Answers the node's commits until there are none, and returns the writes of each."""
    batches: list[list[t.Write]] = []
    while True:
        node.context.now = Instant(node.context.now + 1.0)
        node.store._flush()
        commits = [e for e in node.context.effects if isinstance(e, t.Commit)]
        node.context.effects.clear()
        if not commits:
            return batches
        for commit in commits:
            batches.append(commit.then)
            stamp = Stamp(1000 + len(batches))
            commit.tag(t.Outcome(commit.tag, 200, stamp, began=node.context.now))


def test_team_list_machine_batches_and_catalogue_fit_the_limits() -> None:
    node = node_with_next_limits(value_kb=2.0, txn_ops=LEAST_TXN_OPS)
    many_teams = tuple(
        _replace(node.context.platform.settings.teams[0], name=f"team-{n:04d}") for n in range(400)
    )
    settings = _replace(node.context.platform.settings, teams=many_teams)
    node.context.platform = _replace(node.context.platform, settings=settings)
    _, changes = node.shares._mapping()
    assert json_size(changes[0][1]) <= LEAST_VALUE_BYTES, (
        "all teams are assigned by hash when the list is too long"
    )
    node.fleet.types = {"m4": t.MachineType("m4", 4.0, 16.0, 0.0, 40.0, 1.0, 1.0, 0.3, 2.0, ())}
    ids = [MachineId(f"i-{n:06d}") for n in range(100)]
    found = [FoundMachine(id, "m4", "a", False, ShareNo(0)) for id in ids]
    node.fleet_planner.adoption.leading = lambda: True
    node.fleet_planner.adoption.adopt(found)
    batches = answer_all_commits(node)
    assert sum(map(len, batches)) == 100 and max(map(len, batches)) == LEAST_TXN_OPS
    rows = [
        [f"type-{n:03d}" + "x" * 100, 4.0, 16.0, 0.0, 40.0, 1.0, 1.0, 0.3, 2.0, ["a", "b"]]
        for n in range(60)
    ]
    assert len(node.fleet_planner.catalogue.pages(rows)) == 1, (
        "one page as long as the former version may read it"
    )
    node.store.values["rc/format"] = {"version": 2}
    pages = node.fleet_planner.catalogue.pages(rows)
    assert max(map(json_size, pages.values())) <= LEAST_VALUE_BYTES
    for key, page in sorted(pages.items()):
        node.store._apply(key, page, Stamp(50))
    assert len(node.fleet.types) == 60
