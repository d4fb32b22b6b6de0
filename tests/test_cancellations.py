"""When a cancellation may be confirmed to the user: every node that can still command the job's
machines knows of it by then, or loses its authority in time, whatever fails next."""

from collections.abc import Callable
from typing import Any

from failing_parts import CLUSTER_SIZES
from test_failing_jobs_and_late_writes import owner_of_job
from world import CANCEL_S, FIVE_MEMBERS, MEMBERS, World, spec

from runcourse.core import types as t
from runcourse.core.authority import MAX_CANCELLATIONS_IN_GRANT
from runcourse.core.confirmations import ANSWER_WITHIN_S
from runcourse.core.ids import Instant, JobId, Member, Stamp
from runcourse.core.jobs import Jobs, job_value
from runcourse.core.node import Node
from runcourse.wire.peer_messages import CancellationAck

UID = "j-000001"


def world_with_running_jobs(
    members: tuple[str, ...], *uids: str, **changes: Any
) -> tuple[World, str]:
    """Returns a world in which long jobs of one team run, and the owner of that team's share."""
    world = World(machines=9, members=members, cpus_max=100.0)
    world.run(4.0)
    for uid in uids or (UID,):
        world.submit(spec(uid, team="team-1", estimate_s=500.0, **changes))
    for uid in uids or (UID,):
        world.until(lambda uid=uid: world.poll(uid) == "running", 20)  # type: ignore[misc]
    return world, owner_of_job(world, (uids or (UID,))[0])


def node_of(world: World, member: str) -> Node:
    node = world.nodes[member]
    assert node is not None
    return node


def call_at_cancellation(world: World, action: Callable[[], None], count: int = 1) -> None:
    """Calls `action` right after `count` cancellations are stored, before any answer is sent."""
    serve = world.state.serve
    remaining = [count]

    def serve_and_count(member: str, effect: Any) -> tuple[int, Any]:
        result = serve(member, effect)
        if (
            result[0] == 200
            and isinstance(effect, t.Commit)
            and any(v and v.get("stage") == "cancelled" for _, v, _ in effect.then)
        ):
            remaining[0] -= 1
            if remaining[0] == 0:
                action()
        return result

    world.state.serve = serve_and_count  # type: ignore[method-assign]


def outage_at_cancellation(world: World, count: int = 1) -> None:
    """Starts an outage of the state service right after `count` cancellations are stored."""
    call_at_cancellation(world, lambda: world.state.outage(True), count)


def cut_links_between(world: World, member: str, *others: str) -> None:
    """Cuts the links between a node and the others."""
    world.cut_links.update(frozenset((member, o)) for o in others if o != member)


def run_past_cancellation_limit(world: World) -> None:
    """Runs until 5 s after the limit for a cancellation and checks that no rule was violated."""
    world.run(CANCEL_S + 5.0)
    assert not world.violations


@CLUSTER_SIZES
def test_owner_refused_alone_before_an_outage_runs_no_cancelled_task(
    members: tuple[str, ...],
) -> None:
    """The state service refuses only the owner, which misses a cancellation that another node
    accepts immediately before the service fails for all; the workers still report to the owner."""
    world, owner = world_with_running_jobs(members)
    accepting_node = next(m for m in members if m != owner)
    world.state.refused_members.add(owner)
    cut_links_between(world, owner, accepting_node)
    outage_at_cancellation(world)
    world.cancel(UID, accepting_node)
    assert world.state.down
    run_past_cancellation_limit(world)
    if world.last_stages[UID] == "cancelled":
        assert not world.on_machines()


@CLUSTER_SIZES
def test_confirmed_cancellation_holds_after_the_storing_node_dies(members: tuple[str, ...]) -> None:
    world, owner = world_with_running_jobs(members)
    accepting_node = next(m for m in members if m != owner)
    world.state.refused_members.add(owner)
    cut_links_between(world, owner, accepting_node)
    assert world.cancel(UID, accepting_node) == "cancelled"
    world.crash(accepting_node)
    world.state.outage(True)
    run_past_cancellation_limit(world)
    assert not world.on_machines(), (
        "the nodes that grant the owner time informed it of the cancellation"
    )


@CLUSTER_SIZES
def test_node_cut_off_from_all_peers_confirms_no_cancellation(members: tuple[str, ...]) -> None:
    """The node can store the cancellation, but the job's owner may not learn of it in the
    outage."""
    world, owner = world_with_running_jobs(members)
    accepting_node = next(m for m in members if m != owner)
    cut_links_between(world, accepting_node, *members)
    outage_at_cancellation(world)
    before = world.now
    assert world.cancel(UID, accepting_node) == "?", "stored, but no other node knows of it"
    assert world.now - before < ANSWER_WITHIN_S + 0.5
    for _ in range(3):
        assert world.cancel(UID, accepting_node) == "?" and world.poll(UID, accepting_node) == "?"
    # The answer comes at once when a confirmation is no longer possible.
    world.run(4.0)
    before = world.now
    assert world.poll(UID, accepting_node) == "?" and world.now - before < 0.2
    run_past_cancellation_limit(world)
    world.state.outage(False)
    world.cut_links.clear()
    world.until(lambda: world.poll(UID, accepting_node) == "cancelled", 20)
    run_past_cancellation_limit(world)
    assert not world.on_machines()


@CLUSTER_SIZES
def test_confirmed_cancellation_holds_when_informed_nodes_restart_in_an_outage(
    members: tuple[str, ...],
) -> None:
    world, owner = world_with_running_jobs(members)
    accepting_node, informed_node = [m for m in members if m != owner][:2]
    world.state.refused_members.add(owner)
    cut_links_between(world, owner, accepting_node)
    assert world.cancel(UID, accepting_node) == "cancelled"
    world.state.outage(True)
    world.crash(informed_node)
    world.crash(accepting_node)
    world.after(0.5, lambda: world.start(informed_node))
    world.after(0.6, lambda: world.start(accepting_node))
    run_past_cancellation_limit(world)
    assert not world.on_machines()
    assert not node_of(world, informed_node).store.ready, (
        "a node counts towards no quorum before it has read the store"
    )


@CLUSTER_SIZES
def test_cancellations_stored_by_two_isolated_nodes_are_not_confirmed(
    members: tuple[str, ...],
) -> None:
    """Two nodes that are cut off from all peers each accept one cancellation just before an
    outage."""
    second_uid = "j-000002"
    world, owner = world_with_running_jobs(members, UID, second_uid)
    first_node, second_node = [m for m in members if m != owner][:2]
    world.state.refused_members.add(owner)
    cut_links_between(world, first_node, *members)
    cut_links_between(world, second_node, *members)
    outage_at_cancellation(world, 2)
    answers: list[Any] = []
    world.ask("user", first_node, t.Cancel(0, UID), answers.append)
    world.ask("user", second_node, t.Cancel(0, second_uid), answers.append)
    world.run(2.0)
    assert world.state.down and len(answers) == 2
    assert all(a.status == 503 for a in answers), "neither is known to a quorum"
    run_past_cancellation_limit(world)


@CLUSTER_SIZES
def test_grant_carries_cancellations_learned_only_from_peers(members: tuple[str, ...]) -> None:
    """A node that the state service refuses as well learns of a cancellation from a peer before it
    has read the cancellation, or even the job. Its grant to the owner carries the cancellation."""
    world, owner = world_with_running_jobs(members)
    accepting_node, informed_node = [m for m in members if m != owner][:2]
    world.state.refused_members.update((owner, informed_node))
    cut_links_between(world, owner, accepting_node)
    assert world.cancel(UID, accepting_node) == "cancelled"
    assert node_of(world, informed_node).jobs.cancelled_since(Stamp(10**6)) == [UID]
    world.crash(accepting_node)
    world.state.outage(True)
    run_past_cancellation_limit(world)
    assert not world.on_machines()
    jobs = Jobs()
    assert jobs.cancel(JobId("j-000077")) is None
    job = jobs.apply_job(JobId("j-000077"), job_value(spec("j-000077"), "accepted"), Stamp(3), 0.0)
    assert job.stage == "cancelled", "the cancellation arrived before the job was read"
    assert jobs.cancelled_since(Stamp(9)) == ["j-000077"]


@CLUSTER_SIZES
def test_repeated_acknowledgement_counts_as_one_node(members: tuple[str, ...]) -> None:
    """A late copy of an acknowledgement from an earlier process of a node is still valid, since its
    successor reads the whole store before it acts. However often it arrives, it counts as one
    node."""
    world, owner = world_with_running_jobs(members)
    accepting_node, other = [m for m in members if m != owner][:2]
    cut_links_between(world, accepting_node, *members)
    node = node_of(world, accepting_node)
    job = node.jobs.get(JobId(UID))
    assert job is not None
    world.cancel(UID, accepting_node)
    assert job.stage == "cancelled" and not node.confirmations.is_confirmed(job)
    for _ in range(3):
        node.handle(
            world.now,
            t.PeerMessageReceived(Member(other), CancellationAck(JobId(UID), owner=False)),
        )
    assert node.confirmations.is_confirmed(job) is (len(members) == 3)
    for member in members:
        if member not in (accepting_node, owner, other):
            node.handle(
                world.now,
                t.PeerMessageReceived(Member(member), CancellationAck(JobId(UID), owner=False)),
            )
    assert node.confirmations.is_confirmed(job)


@CLUSTER_SIZES
def test_grant_is_withheld_when_it_cannot_hold_all_cancellations(members: tuple[str, ...]) -> None:
    """A grant that cannot hold all cancellations is withheld, never truncated: the owner loses its
    authority instead of missing a cancellation."""
    world, owner = world_with_running_jobs(members)
    accepting_node = next(m for m in members if m != owner)
    owner_node = node_of(world, owner)
    world.state.refused_members.add(owner)
    cut_links_between(world, owner, accepting_node)
    for member in members:
        node = node_of(world, member)
        if member != owner:
            for n in range(MAX_CANCELLATIONS_IN_GRANT):
                node.jobs.cancel(JobId(f"j-9{n:05d}"))
    assert world.cancel(UID, accepting_node) == "cancelled"
    world.state.outage(True)
    world.run(owner_node.authority.ttl + owner_node.authority.grant_s + 1.0)
    assert not owner_node.authority.may_act()
    run_past_cancellation_limit(world)
    assert not world.on_machines()


@CLUSTER_SIZES
def test_cancellation_with_a_lost_answer_is_reported_only_after_a_quorum(
    members: tuple[str, ...],
) -> None:
    """The cancellation is stored although its answer was lost. A node that reads it waits for the
    same quorum before it reports the cancellation, whether for a poll, a cancel or a submission."""
    world, owner = world_with_running_jobs(members)
    accepting_node, reader = [m for m in members if m != owner][:2]
    cut_links_between(world, reader, *members)
    call_at_cancellation(world, lambda: setattr(world, "loss_rate", 1.0))
    assert world.cancel(UID, accepting_node) == "?"
    world.loss_rate = 0.0
    assert world.state.data[f"rc/job/{UID}"][0]["stage"] == "cancelled"
    world.run(0.5)
    assert world.poll(UID, reader) == "?", "read, but not yet acknowledged by a quorum"
    assert world.cancel(UID, reader) == "?"
    assert world.submit(world.specs[UID], reader) == 503  # type: ignore[index]
    world.cut_links.clear()
    world.until(lambda: world.poll(UID, reader) == "cancelled", 5)
    for member in members:
        assert world.poll(UID, member) == "cancelled"
    run_past_cancellation_limit(world)


@CLUSTER_SIZES
def test_new_owner_commands_only_after_reading_up_to_its_takeover(
    members: tuple[str, ...],
) -> None:
    """A new owner must know every cancellation stored before its takeover transaction succeeded."""
    world, owner = world_with_running_jobs(members)
    node = node_of(world, owner)
    share = node.scheduler.work[JobId(UID)].share
    assert node.shares.may_command(share)
    node.store._apply(
        node.shares.key(share),
        {"owner": owner, "inc": node.authority.incarnation},
        Stamp(node.store.applied + 2),
    )
    assert share in node.shares.owned and not node.shares.may_command(share)
    assert any(isinstance(e, t.Follow) for e in node.context.effects) or node.store._waiters
    node.store.applied = Stamp(node.store.applied + 2)
    assert node.shares.may_command(share)


@CLUSTER_SIZES
def test_confirmation_is_fast_and_needs_no_particular_node(members: tuple[str, ...]) -> None:
    world, owner = world_with_running_jobs(members, UID, "j-000002", "j-000003")
    accepting_node, crashed_node = [m for m in members if m != owner][:2]
    before = world.now
    assert world.cancel(UID, accepting_node) == "cancelled" and world.now - before < 0.3
    world.crash(crashed_node)
    world.run(8.0)
    before = world.now
    assert world.cancel("j-000002", accepting_node) == "cancelled" and world.now - before < 0.3
    # The only node left is the owner, which commands the tasks and knows of the cancellation.
    for member in members:
        if member != owner and world.nodes[member] is not None:
            world.crash(member)
    assert world.cancel("j-000003", owner) == "cancelled"
    run_past_cancellation_limit(world)
    assert not world.on_machines()


def test_confirmation_quorum_intersects_every_granting_majority() -> None:
    """Every majority that could grant time to an owner outside the quorum includes a quorum
    member."""
    for members in (MEMBERS, (*MEMBERS, "n3"), FIVE_MEMBERS):
        world = World(machines=1, members=members)
        node = node_of(world, "n0")
        quorum = node.confirmations.quorum
        others_without = len(members) - 1 - quorum
        assert others_without < node.context.majority - 1 <= others_without + 1
        assert node.context.now == Instant(0.0)
