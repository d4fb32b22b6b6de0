"""Guards that a whole story rarely reaches: each test fails if its guard is taken away."""

from typing import Any

from test_failures import bare_machine, ready
from world import World, spec

from runcourse.core import types as t
from runcourse.core.ids import Attempt, Incarnation, Instant, Session, ShareNo, TaskId
from runcourse.core.jobs import Job, Jobs, job_value
from runcourse.core.machine import Machine, Placement
from runcourse.core.node import Node
from runcourse.core.work import Work, permits
from runcourse.wire.peer_messages import GrantRequest, GrantResponse


def placements_of(node: Node, share: ShareNo) -> list[Placement]:
    """All that is placed on the machines of a share."""
    return [p for m in node.fleet.of_share(share) for p in m.placements.values()]


def owner_and_machine(world: World) -> tuple[Node, Machine]:
    node = next(n for n in world.nodes.values() if n is not None and n.fleet.machines)
    return node, next(iter(node.fleet.machines.values()))


def message(machine: Machine, session: int, seq: int, *tasks: t.TaskReport) -> t.Report:
    return t.Report(
        machine.id,
        machine.addr,
        "m4",
        machine.record.zone,
        False,
        Session(session),
        seq,
        machine.token,
        None,
        tasks,
    )


def test_an_older_message_changes_nothing() -> None:
    node, machine = owner_and_machine(ready())
    task = TaskId(spec("j-000001").uid, 0)  # type: ignore[arg-type]
    running = t.TaskReport(task, Attempt(7), "running")
    assert node.fleet.reports.apply(message(machine, machine.session, machine.seq + 5, running))
    assert task in node.fleet.placements.by_task
    assert not node.fleet.reports.apply(message(machine, machine.session, machine.seq - 1))
    assert not node.fleet.reports.apply(message(machine, machine.session - 1, 999))
    assert task in node.fleet.placements.by_task


def test_an_order_of_unknown_fate_raises_the_token() -> None:
    node, machine = owner_and_machine(ready())
    job = Job(spec("j-000002"), 1)  # type: ignore[arg-type]
    node.fleet.placements.place(job, 0, machine, machine.share.next_attempt())
    before = machine.token
    node.fleet.commands.push()
    command = next(e for e in node.context.effects if isinstance(e, t.Command))
    node.handle(node.context.now, t.Outcome(command.tag, 0, None, sent=True))
    assert machine.token > before and machine.suspected and machine.suspect_token == machine.token
    surely_lost = machine.token
    machine.next_command_at = node.context.now
    node.fleet.commands._dirty[machine.id] = None
    node.fleet.commands.push()
    command = next(e for e in reversed(node.context.effects) if isinstance(e, t.Command))
    node.handle(node.context.now, t.Outcome(command.tag, 0, None, sent=False))
    assert machine.token == surely_lost, "what never left needs no fence"


def test_a_finish_is_cleared_only_once_it_is_stored() -> None:
    node, machine = owner_and_machine(ready())
    job = node.jobs.apply_job(
        "j-000003",
        job_value(spec("j-000003"), "accepted"),
        9,  # type: ignore[arg-type]
        0.0,
    )
    placement = Placement(TaskId(job.uid, 1), Attempt(1), machine, job, Instant(0.0))
    placement.stage, placement.cause, placement.seen = "ended", "done", True
    machine.placements[(placement.task, placement.attempt)] = placement
    assert not node.fleet.commands.orders(machine, answering=True)
    job.add_done(0b10)
    assert [o.op for o in node.fleet.commands.orders(machine, answering=True)] == ["forget"]


def test_a_final_stage_stays_whatever_news_arrives() -> None:
    jobs = Jobs()
    uid: Any = "j-000004"
    jobs.apply_job(uid, job_value(spec(uid), "accepted"), 1, 0.0)  # type: ignore[arg-type]
    jobs.apply_job(uid, job_value(spec(uid), "cancelled"), 2, 0.0)  # type: ignore[arg-type]
    jobs.apply_job(uid, job_value(spec(uid), "accepted"), 1, 0.0)  # type: ignore[arg-type]
    assert jobs.get(uid).stage == "cancelled"  # type: ignore[union-attr]


def test_only_lendable_work_goes_to_spot_machines() -> None:
    machine = bare_machine()
    machine.record = machine.record._replace(spot=True)
    ordinary = Job(spec("j-000005"), 1)  # type: ignore[arg-type]
    lendable = Job(spec("j-000006", spot=True), 1)  # type: ignore[arg-type]
    pinned = Job(spec("j-000007", spot=True, zone="b"), 1)  # type: ignore[arg-type]
    picky = Job(spec("j-000008", spot=True, types=("x9",)), 1)  # type: ignore[arg-type]
    assert not permits(ordinary, machine)
    assert permits(lendable, machine)
    assert not permits(pinned, machine)
    assert not permits(picky, machine)


def test_a_node_without_store_and_peers_stops_though_its_workers_reach_it() -> None:
    """Nobody grants it time, and another may have taken its shares."""
    world = ready()
    for other in ("state", "n1", "n2"):
        world.cut_links.add(frozenset(("n0", other)))
    world.run(6.0)
    node = world.nodes["n0"]
    assert node is not None and not node.authority.entitled()
    answers = []
    for machine in list(node.fleet.machines.values()):
        world.ask(machine.id, "n0", t.ReportReceived(0, message(machine, 9, 1)), answers.append)
    world.run(0.2)
    assert all(a.status == 503 for a in answers)


def test_tasks_that_cannot_be_located_count_against_the_limit() -> None:
    world = World(machines=9, cpus_max=2.0)
    world.run(4.0)
    world.submit(spec("j-000009", tasks=2, service=True, cpus=1.0))
    world.until(lambda: len(world.on_machines()) == 2, 10)
    node = next(n for n in world.nodes.values() if n is not None and n.scheduler.work)
    holding = next(
        h for h in node.shares.owned.values() if h.number == node.shares.of_team("team-0")
    )  # type: ignore[arg-type]
    # As after a takeover: nothing is located yet.
    holding.settled = False
    hiding = list(node.fleet.of_share(holding.number))[-1]
    hiding.unsettle()
    work = next(iter(node.scheduler.work.values()))
    work.pending = {1: None, 0: None}
    node.scheduler.enqueue(work)
    work.job.accepted = holding.epoch
    later = Job(spec("j-000010", tasks=1, cpus=1.0), holding.epoch + 1)  # type: ignore[arg-type]
    for placement in placements_of(node, holding.number):
        node.quota.remove(placement)
    assert node.quota.allows(later), "what is seen alone would leave room"
    later_work = Work(later, holding.number)
    later_work.pending = {0: None}
    node.scheduler.enqueue(later_work)
    node.scheduler._run_turn(holding)
    assert TaskId(later.uid, 0) not in node.fleet.placements.by_task
    # What can't hold such tasks hides none of them.
    hiding.record = hiding.record._replace(spot=True)
    unlocated_tasks = node.scheduler.unlocated
    assert not unlocated_tasks.by_team(holding, unlocated_tasks.unsettled_representatives(holding))
    holding.settled = hiding.settled = True
    work.pending = {}
    node.scheduler._run_turn(holding)
    assert TaskId(later.uid, 0) in node.fleet.placements.by_task, [
        (m.id, m.room, node.fleet.usable(m), node.scheduler.work[later.uid].wait_reason)
        for m in node.fleet.of_share(holding.number)
    ]


def test_cancelled_tasks_that_cannot_be_located_count_against_the_limit() -> None:
    """A cancelled job's tasks went on where the new owner had not looked yet, and its team got
    all of its limit besides."""
    world = World(machines=9, cpus_max=8.0)
    world.run(4.0)
    world.submit(spec("j-000011", tasks=3, service=True))
    world.until(lambda: len(world.on_machines()) == 3, 10)
    node = next(n for n in world.nodes.values() if n is not None and n.scheduler.work)
    number = node.shares.of_team("team-0")  # type: ignore[arg-type]
    holding = node.shares.owned[number]
    for placement in placements_of(node, number):
        node.fleet.placements.remove(placement, "share lost")
    holding.settled = False
    hiding = list(node.fleet.of_share(number))[:2]
    for machine in hiding:
        machine.unsettle()
    job = node.jobs.get("j-000011")  # type: ignore[arg-type]
    assert job is not None
    job.accepted = holding.epoch
    job.stage = "cancelled"
    node.scheduler.job_changed(job)

    unlocated_tasks = node.scheduler.unlocated

    def unlocated() -> float:
        found = unlocated_tasks.by_team(holding, unlocated_tasks.unsettled_representatives(holding))
        return found["team-0"].cpus if found else 0.0  # type: ignore[index]

    assert unlocated() == 6.0
    hiding[0].settled = True
    assert unlocated() == 4.0, "no more than the other machine holds"
    node.context.now = Instant(node.context.now + 21.0)
    node.scheduler.tick()
    assert unlocated() == 0.0, "by then they are gone"


def test_one_failure_amid_successes_is_no_reason_to_grant() -> None:
    node = owner_and_machine(ready())[0]
    other = next(m for m in node.context.members if m != node.context.me)
    incarnation = node.authority.live_incarnation(other)

    def grants() -> bool:
        said = node.handle(
            node.context.now,
            t.PeerMessageReceived(
                other, GrantRequest(Incarnation(str(incarnation)), 1, node.store.applied)
            ),
        )
        return any(
            isinstance(e, t.SendToPeer) and isinstance(e.message, GrantResponse) and e.message.ok
            for e in said
        )

    node.store.failing = True
    node.store.failed_at = node.context.now
    node.store.last_contact = Instant(node.context.now - 0.5)
    assert not grants()
    node.store.last_contact = Instant(node.context.now - 1.5)
    assert grants()
    # Nor is one before this process stood still.
    node.store.failed_at = Instant(node.context.now - 5.0)
    assert not grants()
