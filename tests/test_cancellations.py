"""When a user may be told that a job is cancelled: whoever can still command its machines knows
it then, or loses its authority in time, whatever fails next."""

from collections.abc import Callable
from typing import Any

from failing_parts import CLUSTER_SIZES
from test_faulty_jobs_and_late_writes import owner_of_job
from world import CANCEL_S, FIVE_MEMBERS, MEMBERS, World, spec

from runcourse.core import types as t
from runcourse.core.authority import MAX_CANCELLATIONS_IN_GRANT
from runcourse.core.confirmations import ANSWER_WITHIN_S
from runcourse.core.ids import Instant, JobId, Member, Stamp
from runcourse.core.jobs import Jobs, job_value
from runcourse.core.node import Node
from runcourse.wire.peer_messages import CancellationAck

UID = "j-000001"


def running(members: tuple[str, ...], *uids: str, **changes: Any) -> tuple[World, str]:
    """A world in which long jobs of one team run, and the owner of that team's share."""
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


def at_cancellation(world: World, happens: Callable[[], None], count: int = 1) -> None:
    """Right after that many cancellations were stored, before any answer has left."""
    serve = world.state.serve
    left = [count]

    def watched(member: str, effect: Any) -> tuple[int, Any]:
        result = serve(member, effect)
        if (
            result[0] == 200
            and isinstance(effect, t.Commit)
            and any(v and v.get("stage") == "cancelled" for _, v, _ in effect.then)
        ):
            left[0] -= 1
            if left[0] == 0:
                happens()
        return result

    world.state.serve = watched  # type: ignore[method-assign]


def outage_at_cancellation(world: World, count: int = 1) -> None:
    at_cancellation(world, lambda: world.state.outage(True), count)


def apart(world: World, member: str, *others: str) -> None:
    world.cut_links.update(frozenset((member, o)) for o in others if o != member)


def gone_in_time(world: World) -> None:
    world.run(CANCEL_S + 5.0)
    assert not world.violations


@CLUSTER_SIZES
def test_the_gap_between_a_leader_refused_alone_and_an_outage(members: tuple[str, ...]) -> None:
    """Refused alone, the owner misses a cancellation that another node takes at the very moment
    before the service is down for all; its workers still report to it."""
    world, owner = running(members)
    taker = next(m for m in members if m != owner)
    world.state.refused_members.add(owner)
    apart(world, owner, taker)
    outage_at_cancellation(world)
    world.cancel(UID, taker)
    assert world.state.down
    gone_in_time(world)
    if world.last_stages[UID] == "cancelled":
        assert not world.on_machines()


@CLUSTER_SIZES
def test_the_storing_node_dies_after_confirming(members: tuple[str, ...]) -> None:
    world, owner = running(members)
    taker = next(m for m in members if m != owner)
    world.state.refused_members.add(owner)
    apart(world, owner, taker)
    assert world.cancel(UID, taker) == "cancelled"
    world.crash(taker)
    world.state.outage(True)
    gone_in_time(world)
    assert not world.on_machines(), "those that grant the owner time told it"


@CLUSTER_SIZES
def test_a_node_cut_off_from_all_peers_confirms_nothing(members: tuple[str, ...]) -> None:
    """It could store, but whoever owns the job might never hear of it in the outage."""
    world, owner = running(members)
    taker = next(m for m in members if m != owner)
    apart(world, taker, *members)
    outage_at_cancellation(world)
    before = world.now
    assert world.cancel(UID, taker) == "?", "stored, but nobody else knows"
    assert world.now - before < ANSWER_WITHIN_S + 0.5
    for _ in range(3):
        assert world.cancel(UID, taker) == "?" and world.poll(UID, taker) == "?"
    # Once there is no hope the answer is given at once.
    world.run(4.0)
    before = world.now
    assert world.poll(UID, taker) == "?" and world.now - before < 0.2
    gone_in_time(world)
    world.state.outage(False)
    world.cut_links.clear()
    world.until(lambda: world.poll(UID, taker) == "cancelled", 20)
    gone_in_time(world)
    assert not world.on_machines()


@CLUSTER_SIZES
def test_a_knowing_node_restarts_in_the_outage(members: tuple[str, ...]) -> None:
    world, owner = running(members)
    taker, knowing = [m for m in members if m != owner][:2]
    world.state.refused_members.add(owner)
    apart(world, owner, taker)
    assert world.cancel(UID, taker) == "cancelled"
    world.state.outage(True)
    world.crash(knowing)
    world.crash(taker)
    world.after(0.5, lambda: world.start(knowing))
    world.after(0.6, lambda: world.start(taker))
    gone_in_time(world)
    assert not world.on_machines()
    assert not node_of(world, knowing).store.ready, "it counts for nothing before it has read"


@CLUSTER_SIZES
def test_two_cancellations_known_to_different_nodes(members: tuple[str, ...]) -> None:
    """One is taken here, another there, each just before its taker is cut off."""
    second = "j-000002"
    world, owner = running(members, UID, second)
    one, two = [m for m in members if m != owner][:2]
    world.state.refused_members.add(owner)
    apart(world, one, *members)
    apart(world, two, *members)
    outage_at_cancellation(world, 2)
    answers: list[Any] = []
    world.ask("user", one, t.Cancel(0, UID), answers.append)
    world.ask("user", two, t.Cancel(0, second), answers.append)
    world.run(2.0)
    assert world.state.down and len(answers) == 2
    assert all(a.status == 503 for a in answers), "neither is known to enough nodes"
    gone_in_time(world)


@CLUSTER_SIZES
def test_cancellations_that_only_peers_told_of_go_with_a_grant(members: tuple[str, ...]) -> None:
    """A node that is refused too hears of a cancellation over its peer link, before it has read
    it, or the job itself. It grants the owner time, and what it knows goes with that."""
    world, owner = running(members)
    taker, knowing = [m for m in members if m != owner][:2]
    world.state.refused_members.update((owner, knowing))
    apart(world, owner, taker)
    assert world.cancel(UID, taker) == "cancelled"
    assert node_of(world, knowing).jobs.cancelled_since(Stamp(10**6)) == [UID]
    world.crash(taker)
    world.state.outage(True)
    gone_in_time(world)
    assert not world.on_machines()
    jobs = Jobs()
    assert jobs.cancel(JobId("j-000077")) is None
    job = jobs.apply_job(JobId("j-000077"), job_value(spec("j-000077"), "accepted"), Stamp(3), 0.0)
    assert job.stage == "cancelled", "told of before it was read"
    assert jobs.cancelled_since(Stamp(9)) == ["j-000077"]


@CLUSTER_SIZES
def test_words_of_peers_last_but_count_once(members: tuple[str, ...]) -> None:
    """A late copy of a former process's word is still true, as its successor reads all before it
    does anything; but it is one node's word, however often it arrives."""
    world, owner = running(members)
    taker, other = [m for m in members if m != owner][:2]
    apart(world, taker, *members)
    node = node_of(world, taker)
    job = node.jobs.get(JobId(UID))
    assert job is not None
    world.cancel(UID, taker)
    assert job.stage == "cancelled" and not node.confirmations.is_confirmed(job)
    for _ in range(3):
        node.handle(
            world.now,
            t.PeerMessageReceived(Member(other), CancellationAck(JobId(UID), owner=False)),
        )
    assert node.confirmations.is_confirmed(job) is (len(members) == 3)
    for member in members:
        if member not in (taker, owner, other):
            node.handle(
                world.now,
                t.PeerMessageReceived(Member(member), CancellationAck(JobId(UID), owner=False)),
            )
    assert node.confirmations.is_confirmed(job)


@CLUSTER_SIZES
def test_more_cancellations_than_a_grant_holds(members: tuple[str, ...]) -> None:
    """Then the grant is withheld, never shortened: the owner stops instead of not knowing."""
    world, owner = running(members)
    taker = next(m for m in members if m != owner)
    asked = node_of(world, owner)
    world.state.refused_members.add(owner)
    apart(world, owner, taker)
    for member in members:
        node = node_of(world, member)
        if member != owner:
            for n in range(MAX_CANCELLATIONS_IN_GRANT):
                node.jobs.cancel(JobId(f"j-9{n:05d}"))
    assert world.cancel(UID, taker) == "cancelled"
    world.state.outage(True)
    world.run(asked.authority.ttl + asked.authority.grant_s + 1.0)
    assert not asked.authority.entitled()
    gone_in_time(world)
    assert not world.on_machines()


@CLUSTER_SIZES
def test_a_cancellation_whose_answer_was_lost_is_told_by_nobody_too_early(
    members: tuple[str, ...],
) -> None:
    """It stands in the store, and whoever reads it obeys the same gate, on every path."""
    world, owner = running(members)
    taker, reader = [m for m in members if m != owner][:2]
    apart(world, reader, *members)
    at_cancellation(world, lambda: setattr(world, "loss_rate", 1.0))
    assert world.cancel(UID, taker) == "?"
    world.loss_rate = 0.0
    assert world.state.data[f"rc/job/{UID}"][0]["stage"] == "cancelled"
    world.run(0.5)
    assert world.poll(UID, reader) == "?", "read, but enough others aren't known to know"
    assert world.cancel(UID, reader) == "?"
    assert world.submit(world.specs[UID], reader) == 503  # type: ignore[index]
    world.cut_links.clear()
    world.until(lambda: world.poll(UID, reader) == "cancelled", 5)
    for member in members:
        assert world.poll(UID, member) == "cancelled"
    gone_in_time(world)


@CLUSTER_SIZES
def test_a_new_owner_commands_only_once_it_has_read_up_to_its_takeover(
    members: tuple[str, ...],
) -> None:
    """What was cancelled before its transaction succeeded must be known to it."""
    world, owner = running(members)
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
def test_confirming_takes_a_moment_and_needs_no_particular_node(members: tuple[str, ...]) -> None:
    world, owner = running(members, UID, "j-000002", "j-000003")
    taker, away = [m for m in members if m != owner][:2]
    before = world.now
    assert world.cancel(UID, taker) == "cancelled" and world.now - before < 0.3
    world.crash(away)
    world.run(8.0)
    before = world.now
    assert world.cancel("j-000002", taker) == "cancelled" and world.now - before < 0.3
    # Alone with its own share: it commands, and it knows.
    for member in members:
        if member != owner and world.nodes[member] is not None:
            world.crash(member)
    assert world.cancel("j-000003", owner) == "cancelled"
    gone_in_time(world)
    assert not world.on_machines()


def test_how_many_nodes_make_a_quorum() -> None:
    """With any owner outside of it, no majority can grant it time without one of them."""
    for members in (MEMBERS, (*MEMBERS, "n3"), FIVE_MEMBERS):
        world = World(machines=1, members=members)
        node = node_of(world, "n0")
        quorum = node.confirmations.quorum
        others_without = len(members) - 1 - quorum
        assert others_without < node.context.majority - 1 <= others_without + 1
        assert node.context.now == Instant(0.0)
