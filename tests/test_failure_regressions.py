"""One regression test for each failure found in benchmark runs; the code under test gives the
reason for each guard."""

from typing import Any

from world import MEMBERS, TYPE, World, platform, spec

from runcourse.core.context import Context
from runcourse.core.ids import Instant, ShareNo
from runcourse.core.jobs import Job
from runcourse.core.machine import Machine, Placement, Record
from runcourse.core.placement import Size
from runcourse.core.quota import Quota
from runcourse.core.shares import OwnedShare
from runcourse.core.work import Work, fetch_s


def started_world(**settings: Any) -> World:
    """Returns a world that has run for 4 s, after its nodes have started."""
    world = World(**settings)
    world.run(4.0)
    return world


def bare_machine(id: str = "i-1") -> Machine:
    """Returns a machine of type m4 in share 0 without tasks or reports."""
    record = Record(ShareNo(0), "m4", "a", False, False, 5)  # type: ignore[arg-type]
    machine = Machine(
        id,
        record,
        OwnedShare(ShareNo(0), 1, Instant(0.0)),  # type: ignore[arg-type]
        Instant(0.0),
    )
    machine.set_type(TYPE)
    return machine


def new_context() -> Context:
    import random

    from runcourse.config import Operators

    return Context(platform("n0"), Operators(), random.Random(1))


def test_empty_machine_that_comes_up_triggers_scheduling() -> None:
    world = World(machines=0)
    world.capacity = 3
    world.run(3.0)
    world.submit(spec("j-000001", tasks=2))
    world.until(lambda: world.poll("j-000001") == "done", 25)


def test_transferred_machines_are_not_returned_as_late_boots() -> None:
    """Transferred machines were returned at once, since their new owner had not received a report
    from them."""
    world = started_world(machines=6)
    before = set(world.workers)
    world.run(30.0)  # longer than any boot takes
    for n in range(4):
        world.submit(spec(f"j-00000{n}", tasks=6, team=f"team-{n}", estimate_s=4.0))
        world.run(1.0)
    assert before & set(world.workers) == set(world.workers) & before
    world.run(6.0)
    assert before <= set(world.workers), "a machine in use was returned"


def test_restarted_owner_keeps_machines_that_have_not_reported_yet() -> None:
    world = started_world(machines=5)
    for n in range(3):
        world.submit(spec(f"j-00001{n}", service=True, tasks=1, team=f"team-{n}"))
    world.run(25.0)
    held = {worker.id for _, worker in world.on_machines()}
    for member in MEMBERS:
        world.crash(member)
        world.start(member)
    world.run(3.0)
    assert held <= set(world.workers)


def test_guarantee_preempts_no_higher_rank_and_no_replica_for_an_array() -> None:
    quota = Quota(new_context())
    array = Job(spec("j-000001", rank=1, team="team-1"), 1)  # type: ignore[arg-type]
    replica = Job(spec("j-000002", rank=0, service=True), 1)  # type: ignore[arg-type]
    equal_rank_replica = Job(spec("j-000003", rank=1, service=True), 1)  # type: ignore[arg-type]
    lower_rank = Job(spec("j-000004", rank=2), 1)  # type: ignore[arg-type]
    machine = bare_machine()

    def add_placement(job: Job, n: int = 0) -> Placement:
        placement = Placement((job.uid, n), 1, machine, job, Instant(0.0))  # type: ignore[arg-type]
        quota.add(placement)
        return placement

    victims = [add_placement(replica, 0), add_placement(replica, 1), add_placement(replica, 2)]
    assert not any(quota.may_preempt(array, True, v) for v in victims)
    assert not quota.may_preempt(array, True, add_placement(equal_rank_replica))
    assert quota.may_preempt(array, False, add_placement(lower_rank))


def test_borrowed_room_is_reclaimed_but_no_team_falls_below_its_guarantee() -> None:
    quota = Quota(new_context())  # a guarantee of 4 CPUs each
    waiting = Job(spec("j-000001", rank=1, team="team-1"), 1)  # type: ignore[arg-type]
    borrowing = Job(spec("j-000002", rank=1, team="team-0", tasks=3), 1)  # type: ignore[arg-type]
    machine = bare_machine()
    placements = [
        Placement(
            (borrowing.uid, n),
            1,
            machine,
            borrowing,  # type: ignore[arg-type]
            Instant(0.0),
        )
        for n in range(3)
    ]
    for placement in placements:
        quota.add(placement)  # 6 CPUs
    assert quota.may_preempt(waiting, True, placements[0])
    assert not quota.may_preempt(waiting, False, placements[0])
    assert not quota.may_preempt(waiting, True, placements[1], stopping=Size(2, 4)), (
        "with 2 CPUs already being stopped, the team is down to its guarantee"
    )
    assert quota.guaranteed_count(waiting) == 2


def test_two_teams_do_not_preempt_each_other_in_turn() -> None:
    world = started_world(machines=2, cpus_max=100.0)
    for n in range(2):
        world.submit(spec(f"j-00002{n}", tasks=6, team=f"team-{n}", estimate_s=30.0))
    world.run(25.0)
    assert len(world.starts) <= 12, f"{len(world.starts)} starts of 12 tasks"


def test_concurrent_image_fetches_share_the_rate() -> None:
    """Guards against fetch estimates that ignore other fetches: a replica waited 113 s on a machine
    that was fetching nine images."""
    machine = bare_machine()
    job = Job(spec("j-000001", image="one", image_gb=1.0), 1)  # type: ignore[arg-type]
    other = Job(spec("j-000002", image="two", image_gb=3.0), 1)  # type: ignore[arg-type]
    assert fetch_s(job, machine) == 1.0
    placement = Placement((other.uid, 0), 1, machine, other, Instant(0.0))  # type: ignore[arg-type]
    machine.placements[(placement.task, placement.attempt)] = placement
    machine.fetches = None
    assert fetch_s(job, machine) == 4.0
    machine.images["two"] = 3.0
    machine.fetches = None
    assert fetch_s(job, machine) == 1.0
    machine.images["one"] = 1.0
    assert fetch_s(job, machine) == 0.0


def test_job_certain_to_miss_its_deadline_goes_last_unless_begun() -> None:
    from runcourse.config import Objective

    world = started_world()
    node = world.nodes["n0"]
    assert node is not None
    scheduler = node.scheduler
    scheduler.order._deadline_factors["x"] = (
        Objective("deadline", "x", 0.9, 1.0).times or 1.0,
        1.5,
    )
    now = node.context.now

    def work(uid: str, due_s: float) -> Work:
        job = Job(spec(uid, deadline_s=due_s, estimate_s=10.0, team="team-0"), 1)  # type: ignore[arg-type]
        job.submitted = now
        return Work(job, ShareNo(0))

    late, late_too, on_time = work("j-000001", 5.0), work("j-000002", 8.0), work("j-000003", 60.0)
    order = sorted([late, late_too, on_time], key=scheduler.order.urgency)
    assert [w.job.uid for w in order] == ["j-000003", "j-000002", "j-000001"]
    late.unstored_done_bits = 1
    assert min([late, late_too, on_time], key=scheduler.order.urgency) is late


def test_reports_that_cannot_reach_the_owner_are_relayed() -> None:
    """In a network partition a worker lost its lease while it tried twice to reach its owner."""
    world = started_world(machines=3, lease_s=12.0)
    for n in range(3):
        world.submit(spec(f"j-00003{n}", service=True, tasks=1, team=f"team-{n}"))
    world.until(lambda: len(world.on_machines()) == 3, 10)
    world.run(2.0)
    starts = len(world.starts)
    for worker in world.workers.values():
        node = next(n for n in world.nodes.values() if n is not None)
        record = node.fleet.records[worker.id]  # type: ignore[index]
        owner = node.shares.live_owner(record.share)
        world.cut_links.add(frozenset((worker.id, str(owner))))
    world.run(20.0)
    assert len(world.on_machines()) == 3 and len(world.starts) == starts
    assert not world.violations


def test_surplus_machines_are_drained_and_returned() -> None:
    world = World(machines=6, cpus_max=100.0)
    world.run(4.0)
    for n in range(8):
        world.submit(spec(f"j-00004{n}", service=True, tasks=1, cpus=1.0, memory=1.0))
    world.run(10.0)
    for n in range(6):
        world.cancel(f"j-00004{n}")
    world.run(120.0)
    assert len(world.workers) <= 3
    assert len(world.on_machines()) == 2 and not world.violations


def test_spread_job_gets_a_machine_in_another_zone() -> None:
    world = World(machines=1)
    world.run(4.0)
    world.capacity = 4
    world.submit(spec("j-000050", service=True, spread=True, tasks=2))
    world.until(lambda: len(world.on_machines()) == 2, 25)
    assert len({worker.zone for _, worker in world.on_machines()}) == 2
    assert not world.violations


def test_attempt_is_not_forgotten_while_an_order_has_an_unknown_outcome() -> None:
    """After `clear` (a forget order), a worker runs a repeated start order again."""
    world = started_world()
    world.submit(spec("j-000060", tasks=1, estimate_s=0.5))
    world.until(lambda: world.poll("j-000060") == "done", 10)
    node = next(n for n in world.nodes.values() if n is not None and n.fleet.machines)
    machine = next(iter(node.fleet.machines.values()))
    job = Job(spec("j-000061"), 1)  # type: ignore[arg-type]
    placement = Placement((job.uid, 0), 1, machine, job, Instant(0.0))  # type: ignore[arg-type]
    placement.stage, placement.cause, placement.seen = "ended", "stopped", True
    machine.placements[(placement.task, placement.attempt)] = placement

    def forget_is_ordered() -> bool:
        return any(o.op == "forget" for o in node.fleet.commands.orders(machine, answering=True))

    assert forget_is_ordered()
    assert not any(o.op == "forget" for o in node.fleet.commands.orders(machine, answering=False))
    machine.command_in_flight = True
    assert not forget_is_ordered()
    machine.command_in_flight = False
    machine.mark_suspected(world.now)  # type: ignore[arg-type]
    assert not forget_is_ordered()


def test_unconfirmed_start_is_fenced_when_it_is_stopped() -> None:
    world = started_world()
    node = next(n for n in world.nodes.values() if n is not None and n.fleet.machines)
    machine = next(iter(node.fleet.machines.values()))
    world.specs["j-000070"] = spec("j-000070")
    job = Job(spec("j-000070"), 1)  # type: ignore[arg-type]
    before = machine.token
    placement = node.fleet.placements.place(job, 0, machine, machine.share.next_attempt())
    node.fleet.placements.stop(placement)
    assert placement.fence > before, "a start order under way would be accepted under the old token"
    assert not node.fleet.commands.orders(machine, answering=True)
    assert placement.task in node.fleet.placements.by_task, (
        "the task may be on the machine until the new token is reported"
    )


def test_interruption_notice_moves_tasks_that_will_not_end_in_time() -> None:
    world = started_world(machines=9)
    world.submit(spec("j-000080", tasks=1, estimate_s=30.0))
    world.submit(spec("j-000081", tasks=1, estimate_s=2.5))
    world.until(lambda: len(world.on_machines()) == 2, 10)
    for worker in world.workers.values():
        if any(
            task.job in ("j-000080", "j-000081") for task, w in world.on_machines() if w is worker
        ):
            worker.notice_s = 8.0
    world.run(2.0)
    worker_by_job = {task.job: worker for task, worker in world.on_machines()}
    assert worker_by_job["j-000080"].notice_s is None, "moved to a machine without a notice"
    assert len([1 for _, task, _ in world.starts if task.job == "j-000081"]) == 1
    assert not world.violations


def test_machines_found_together_are_divided_among_the_shares() -> None:
    world = World(machines=9)
    world.run(2.0)
    node = world.nodes["n0"]
    assert node is not None
    machines = [record.share for record in node.fleet.records.values()]
    teams = [node.shares.of_team(team) for team in node.quota.teams]
    shares = sorted(node.shares.all(), key=lambda s: teams.count(s))
    counts = [machines.count(s) for s in shares]
    assert len(machines) == 9 and min(counts) >= 1
    assert counts[-1] == max(counts) > min(counts), "more teams, more machines"


def test_machine_that_never_comes_up_is_returned() -> None:
    """A machine that nothing had shown to be reachable was probed again and again and paid for,
    instead of being returned."""
    world = World(machines=0)
    world.capacity = 2
    world.run(2.0)
    world.submit(spec("j-000090", tasks=1))
    world.until(lambda: len(world.workers) == 1, 10)
    stuck = next(iter(world.workers.values()))
    stuck.alive = False
    world.until(lambda: stuck.id not in world.workers, 20)
    world.until(lambda: world.poll("j-000090") == "done", 30)


def test_replica_preempts_a_lower_rank_where_its_image_is_cached() -> None:
    """New replicas spent 5 s fetching an image although other machines held it, because those were
    full of array tasks."""
    from runcourse.config import Objective

    world = World(
        machines=4, cpus_max=100.0, objectives=(Objective("wait", "web", 0.9, None, 3.0),)
    )
    world.run(4.0)
    world.submit(
        spec("j-000100", service=True, tasks=1, lane="web", rank=0, image="app", image_gb=9.0)
    )
    world.until(lambda: len(world.on_machines()) == 1, 15)
    machine_with_image = world.on_machines()[0][1].id
    world.submit(spec("j-000101", tasks=1, estimate_s=60.0))
    world.until(lambda: len(world.on_machines()) == 2, 15)
    node = next(
        n for n in world.nodes.values() if n is not None and machine_with_image in n.fleet.machines
    )
    machine = node.fleet.machines[machine_with_image]  # type: ignore[index]
    if machine.room.cpus > 1.0:  # fill the machine with more array tasks
        world.submit(spec("j-000102", tasks=1, estimate_s=60.0))
        world.run(2.0)
    before = len(world.starts)
    world.submit(
        spec("j-000103", service=True, tasks=1, lane="web", rank=0, image="app", image_gb=9.0)
    )
    world.until(lambda: any(task.job == "j-000103" for task, _ in world.on_machines()), 10)
    start = next(s for s in world.starts[before:] if s[1].job == "j-000103")
    assert start[2] == machine_with_image and not world.violations


def test_lower_ranks_in_another_share_make_way_for_a_replica() -> None:
    """A replica waited for 63 s: its share was full, the arrays of other shares never left a
    machine empty, and the cloud had no more machines."""
    world = World(machines=3, cpus_max=100.0)
    world.run(4.0)
    for n in range(2):
        world.submit(spec(f"j-00011{n}", tasks=30, team=f"team-{n}", estimate_s=8.0))
    world.run(6.0)
    node = next(n for n in world.nodes.values() if n is not None)
    share = node.shares.of_team("team-2")  # type: ignore[arg-type]
    world.submit(spec("j-000112", service=True, tasks=4, team="team-2", rank=0))
    world.until(
        lambda: len([1 for task, _ in world.on_machines() if task.job == "j-000112"]) == 4, 20
    )
    assert sum(r.share == share for r in node.fleet.records.values()) >= 2
    assert not world.violations
