"""Two troubles at once: each meeting that broke a rule somewhere, brought about here. Whatever
meets, the rules hold meanwhile (the world notes each that is broken), and once it is over every
job is known to every node, runs or is done, and no machine has room that somebody waits for."""

from typing import Any

import pytest
from test_partial_failures import again, capture
from world import CANCEL_S, FIVE, LEASE_S, MEMBERS, World, spec

from runcourse.core import types as t
from runcourse.core.ids import TaskId

BOTH = pytest.mark.parametrize("members", [MEMBERS, FIVE], ids=["three", "five"])
TEAMS = 4


def fresh(members: tuple[str, ...], machines: int = 9, seed: int = 1, **settings: Any) -> World:
    settings.setdefault("cpus_max", 100.0)
    world = World(seed=seed, machines=machines, members=members, **settings)
    world.run(4.0)
    return world


def busy(members: tuple[str, ...], machines: int = 12, **settings: Any) -> World:
    """Each team has two replicas, an array of long tasks and a gang that run."""
    world = fresh(members, machines, **settings)
    for n in range(TEAMS):
        world.submit(spec(f"j-00000{n}", tasks=2, team=f"team-{n}", service=True, rank=0, cpus=1.0))
        world.submit(spec(f"j-00001{n}", tasks=3, team=f"team-{n}", cpus=1.0, estimate_s=40.0))
        world.submit(
            spec(
                f"j-00002{n}",
                tasks=2,
                team=f"team-{n}",
                gang=True,
                cpus=0.5,
                memory=1.0,
                together=n % 2 == 0,
                checkpoint_s=3.0,
                save_s=0.5,
                estimate_s=30.0,
            )
        )
    world.until(lambda: len(world.on_machines()) == 7 * TEAMS, 20)
    return world


def leader(world: World) -> str | None:
    return next(
        (m for m, n in world.nodes.items() if n is not None and n.rental.leadership.leading), None
    )


def end_of(world: World, member: str, back_s: float) -> None:
    if world.nodes[member] is not None:
        world.crash(member)
        world.after(back_s, lambda: world.start(member))


def send(world: World, member: str, event: Any) -> None:
    """A user's request that nobody waits for; its answer is held against those before."""
    uid = event.uid
    known = world.told.get(uid) or "unknown"

    def answered(answer: Any) -> None:
        if answer is None:
            return
        if answer.status in (200, 201):
            world.note(uid, str(answer.body["stage"]), known)
        elif answer.status == 404:
            world.note(uid, "unknown", known)

    world.ask("user", member, event, answered)


def submit(world: World, job: Any, member: str) -> None:
    world.specs[job.uid] = job
    send(world, member, t.Submit(0, job.uid, job))


def out_of_reach(world: World, ids: list[str], how: str) -> None:
    """Machines that are cut off, hear nothing, or hang; what is sent to them may come late."""
    if how == "cut":
        world.hold = True
        world.cut.update(frozenset((id, m)) for id in ids for m in world.members)
    elif how == "deaf":
        world.deaf.update(ids)
    else:
        for id in ids:
            world.workers[id].hung = True


def go_on(world: World, ids: list[str]) -> None:
    for id in ids:
        if id in world.workers:
            world.workers[id].hung = False


def calm(world: World, limit: float = 90.0) -> None:
    """The troubles are over: what should be true of every job then."""
    world.cut.clear()
    world.deaf.clear()
    world.mute.clear()
    world.state.refusing.clear()
    if world.state.down:
        world.state.outage(False)
    world.lose = world.late_writes = world.lost_answers = world.echo = 0.0
    world.slow_state = world.slow_links = 0.0
    for worker in world.workers.values():
        worker.hung = False
    for member in world.members:
        if world.nodes[member] is None:
            world.start(member)
    world.deliver_held()
    world.run(15.0)
    open_jobs = [uid for uid, told in world.told.items() if told not in ("cancelled", "unknown")]

    def served(uid: str) -> bool:
        job = world.specs[uid]
        if world.told[uid] in ("done", "cancelled"):
            return True
        if job.service:
            return len({x for x, _ in world.on_machines() if x.job == uid}) == job.tasks
        return world.poll(uid) in ("done", "cancelled")

    world.until(lambda: all(served(uid) for uid in open_jobs), limit)
    for member in world.members:
        for uid, told in list(world.told.items()):
            stage = world.poll(uid, member)
            assert stage != "?" and (told not in ("done", "cancelled") or stage == told)
    world.run(CANCEL_S)
    assert not world.broken


@BOTH
@pytest.mark.parametrize("how_many", ["some", "all"])
def test_workers_reach_no_controller_while_commands_reach_them(
    members: tuple[str, ...], how_many: str
) -> None:
    world = busy(members)
    ids = sorted(world.workers)
    world.mute.update(ids if how_many == "all" else ids[::3])
    world.run(1.0)
    submit(world, spec("j-000100", tasks=6, team="team-1"), members[0])
    send(world, members[1], t.Cancel(0, "j-000010"))
    world.run(LEASE_S + 4.0)
    calm(world)


@BOTH
def test_leaders_change_ten_times_also_inside_an_outage(members: tuple[str, ...]) -> None:
    world = busy(members)
    for n in range(10):
        who = leader(world) or members[n % len(members)]
        end_of(world, who, 0.2 if n % 2 else 2.0)
        if n == 4:
            world.state.outage(True)
        if n == 6:
            world.state.outage(False)
        submit(
            world,
            spec(f"j-00010{n}", tasks=2, team=f"team-{n % TEAMS}", estimate_s=6.0),
            members[n % len(members)],
        )
        world.run(9.0)
        send(
            world,
            members[(n + 1) % len(members)],
            t.Cancel(0, f"j-00010{n}" if n % 3 == 0 else "j-000010"),
        )
        world.run(3.0)
    calm(world)


@BOTH
def test_new_machines_get_work_at_once_while_writes_lag_and_the_leader_ends(
    members: tuple[str, ...],
) -> None:
    world = fresh(members, 2)
    world.capacity = 12
    world.late_writes = 0.5
    for n in range(TEAMS):
        submit(
            world, spec(f"j-00010{n}", tasks=8, team=f"team-{n}", estimate_s=20.0), members[n % 3]
        )
    world.run(2.0)
    who = leader(world)
    assert who is not None
    end_of(world, who, 3.0)
    world.run(12.0)
    calm(world)
    recorded = {
        k.rpartition("/")[2]
        for k, (v, _, _) in world.state.data.items()
        if k.startswith("rc/machine/") and not v.get("gone")
    }
    assert set(world.workers) <= recorded, "every machine hired is known"


@BOTH
def test_changes_without_an_answer_are_carried_out_after_newer_ones(
    members: tuple[str, ...],
) -> None:
    world = busy(members)
    world.late_writes = 0.4
    for n in range(16):
        submit(
            world,
            spec(
                f"j-0001{n:02d}",
                tasks=3,
                team=f"team-{n % TEAMS}",
                cpus=1.0,
                estimate_s=0.5 + n % 5,
            ),
            members[n % len(members)],
        )
        world.run(0.8)
        if n % 4 == 3:
            send(world, members[n % 3], t.Cancel(0, f"j-0001{n:02d}"))
        if n == 8:
            end_of(world, members[0], 0.3)
    world.run(14.0)
    calm(world)


@BOTH
@pytest.mark.parametrize("how", ["cut", "deaf", "hung"])
def test_the_leader_ends_while_machines_with_long_tasks_are_out_of_reach(
    members: tuple[str, ...], how: str
) -> None:
    world = busy(members)
    ids = sorted(world.workers)[::2]
    out_of_reach(world, ids, how)
    who = leader(world)
    assert who is not None
    world.crash(who)
    world.run(LEASE_S - 2.0)
    go_on(world, ids)
    world.run(6.0)
    calm(world)


@BOTH
def test_requests_meet_the_end_of_a_job_s_last_task(members: tuple[str, ...]) -> None:
    """Nothing else is wrong: a cancellation, a question and a repeated submission, within
    milliseconds before and after the last task ends."""
    world = fresh(members)
    for n in range(24):
        uid = f"j-0001{n:02d}"
        job = spec(uid, tasks=1 + n % 2, team=f"team-{n % TEAMS}", estimate_s=1.0)
        world.submit(job)
        wanted = {TaskId(job.uid, i) for i in range(job.tasks)}  # type: ignore[arg-type]
        world.until(
            lambda wanted=wanted: (
                {x for x, _ in world.on_machines()} >= wanted  # type: ignore[misc]
                or wanted <= world.finished
            ),
            20,
        )
        world.run(0.6 + n * 0.03)
        for k, member in enumerate(members):
            kinds: list[Any] = [t.Cancel(0, uid), t.Poll(0, uid), t.Submit(0, uid, job)]
            send(world, member, kinds[(n + k) % 3])
            world.run(0.01)
        world.run(0.3)
        for member in members:
            send(world, member, t.Poll(0, uid))
    world.run(3.0)
    assert {"done", "cancelled"} <= set(world.told.values())
    calm(world)


def test_one_task_jobs_four_a_second_for_minutes_a_quarter_of_them_cancelled() -> None:
    world = fresh(MEMBERS, 9)
    for n in range(480):
        uid = f"j-{n:06d}"
        submit(
            world,
            spec(uid, tasks=1, team=f"team-{n % TEAMS}", estimate_s=1.0 + n % 4),
            world.members[n % 3],
        )
        if n % 4 == 0:
            world.after(
                0.3 + n % 5,
                lambda uid=uid, n=n: send(  # type: ignore[misc]
                    world, world.members[n % 3], t.Cancel(0, uid)
                ),
            )
        world.run(0.25)
    world.run(10.0)
    assert len(world.told) == 480 and "cancelled" in world.told.values()
    calm(world)


@BOTH
def test_a_change_is_carried_out_and_only_its_answer_lost_while_others_read_it(
    members: tuple[str, ...],
) -> None:
    world = busy(members)
    world.lost_answers = 0.5
    for n in range(12):
        uid = f"j-0001{n:02d}"
        submit(
            world,
            spec(uid, tasks=2, team=f"team-{n % TEAMS}", estimate_s=1.5),
            members[n % len(members)],
        )
        for k in range(4):
            send(
                world,
                members[k % len(members)],
                t.Poll(0, uid) if uid in world.told else t.Submit(0, uid, world.specs[uid]),
            )  # type: ignore[index]
            world.run(0.1)
        if n % 3 == 0:
            for member in members:
                send(world, member, t.Cancel(0, uid))
        world.run(0.6)
    if len(members) == 5:
        end_of(world, members[0], 0.2)
    world.run(6.0)
    calm(world)


@BOTH
@pytest.mark.parametrize("back_s", [0.3, 4.0])
def test_controllers_hand_over_and_back_all_end_and_one_returns(
    members: tuple[str, ...], back_s: float
) -> None:
    world = busy(members)
    end_of(world, members[0], 8.0)
    world.run(16.5)  # its shares are on their way back
    for member in members:
        if world.nodes[member] is not None:
            world.crash(member)
    world.after(back_s, lambda: world.start(members[1]))
    world.run(back_s + 1.0)
    for n, member in enumerate(members):
        if world.nodes[member] is None:
            world.after(0.5 + 2 * n, lambda m=member: world.start(m))  # type: ignore[misc]
    submit(world, spec("j-000100", tasks=4, team="team-2"), members[1])
    world.run(12.0)
    calm(world)


@BOTH
@pytest.mark.parametrize("seconds", [4.0, LEASE_S + 4.0])
def test_a_zone_with_workers_and_a_controller_is_cut_off(
    members: tuple[str, ...], seconds: float
) -> None:
    world = busy(members)
    world.hold = True
    inside = {members[0], *(w.id for w in world.workers.values() if w.zone == "a")}
    outside = {*members, *world.workers, "state", "user"} - inside
    world.cut.update(frozenset((i, o)) for i in inside for o in outside)
    world.run(1.0)
    for n in range(TEAMS):
        send(world, members[1], t.Cancel(0, f"j-00001{n}"))
        submit(world, spec(f"j-00010{n}", tasks=2, team=f"team-{n}"), members[2])
    world.run(seconds)
    world.cut.clear()
    world.deliver_held()
    world.run(2.0)
    calm(world)


@BOTH
def test_a_report_held_back_arrives_once_a_new_leader_has_acted(members: tuple[str, ...]) -> None:
    """Also: it arrives everywhere just as the new leader begins, and again later."""
    world = busy(members)
    seen = capture(world)
    world.run(2.0)
    held = list(seen)
    who = leader(world)
    assert held and who is not None
    world.crash(who)
    for n in range(TEAMS):
        send(world, members[1], t.Cancel(0, f"j-00001{n}"))

    def deliver() -> None:
        for _, report in held:
            for member in members:
                if world.nodes[member] is not None:
                    again(world, member, report)

    world.until(lambda: leader(world) not in (None, who), 15)
    deliver()
    world.run(3.0)
    world.start(who)
    for _ in range(4):
        world.run(2.0)
        deliver()
    calm(world)


@BOTH
@pytest.mark.parametrize("how", ["cut", "hung"])
def test_teams_at_their_limit_when_leader_and_machines_fail_and_jobs_are_cancelled(
    members: tuple[str, ...], how: str
) -> None:
    """What was cancelled may still run where nobody can ask: it counts until it surely ended."""
    world = fresh(members, 12, cpus_max=8.0)
    for n in range(TEAMS):
        world.submit(spec(f"j-00000{n}", tasks=4, team=f"team-{n}", estimate_s=200.0))
    world.until(lambda: len(world.on_machines()) == 4 * TEAMS, 20)
    for n in range(TEAMS):
        submit(world, spec(f"j-00010{n}", tasks=4, team=f"team-{n}", estimate_s=3.0), members[0])
    world.run(1.0)
    ids = [w.id for _, w in world.on_machines()][::2]
    out_of_reach(world, ids, how)
    who = leader(world)
    assert who is not None
    world.crash(who)
    for k in range(3):
        world.run(0.7)
        for n in range(TEAMS):
            send(world, members[(n + k) % len(members)], t.Cancel(0, f"j-00000{n}"))
    world.run(LEASE_S - 3.0)
    go_on(world, ids)
    world.run(CANCEL_S)
    calm(world)


@BOTH
def test_all_controllers_are_away_for_longer_than_a_lease(members: tuple[str, ...]) -> None:
    world = busy(members)
    send(world, members[1], t.Cancel(0, "j-000011"))
    world.run(0.2)
    for member in members:
        world.crash(member)
    world.run(LEASE_S + 3.0)
    assert not world.on_machines(), "their leases are over"
    for n, member in enumerate(members):
        world.after(0.7 * n, lambda m=member: world.start(m))  # type: ignore[misc]
    world.run(5.0)
    calm(world)


@BOTH
def test_more_work_than_room_urgent_and_not_over_slow_links(members: tuple[str, ...]) -> None:
    world = fresh(members, 5)
    world.slow_links = 0.25
    for n in range(12):
        submit(
            world,
            spec(
                f"j-0001{n:02d}",
                tasks=6,
                team=f"team-{n % TEAMS}",
                rank=n % 4,
                estimate_s=2.0,
                service=False,
            ),
            members[n % len(members)],
        )
        world.run(1.0)
    end_of(world, leader(world) or members[0], 2.0)
    world.run(20.0)
    for n in range(0, 12, 3):
        send(world, members[1], t.Cancel(0, f"j-0001{n:02d}"))
    world.run(10.0)
    calm(world, 120.0)


@BOTH
def test_a_leader_alone_with_workers_and_users_while_the_new_one_takes_cancellations(
    members: tuple[str, ...],
) -> None:
    world = busy(members)
    old = leader(world)
    assert old is not None
    world.cut.update(frozenset((old, o)) for o in (*members, "state") if o != old)
    others = [m for m in members if m != old]
    for k in range(8):
        world.run(1.0)
        for n in range(TEAMS):
            send(world, others[k % len(others)], t.Cancel(0, f"j-00001{n}"))
            send(world, old, t.Poll(0, f"j-00001{n}"))
            send(world, old, t.Cancel(0, f"j-00000{n}"))
    world.run(CANCEL_S)
    assert all(world.told[f"j-00001{n}"] == "cancelled" for n in range(TEAMS))
    calm(world)


@BOTH
def test_jobs_bound_to_one_zone_lose_machines(members: tuple[str, ...]) -> None:
    world = fresh(members, 12)
    for n, zone in enumerate("abc"):
        world.submit(spec(f"j-00000{n}", tasks=2, team=f"team-{n}", zone=zone, service=True))
        world.submit(spec(f"j-00001{n}", tasks=3, team=f"team-{n}", zone=zone, estimate_s=15.0))
        world.submit(spec(f"j-00002{n}", tasks=3, team="team-3", together=True, estimate_s=8.0))
    world.until(lambda: len(world.on_machines()) >= 15, 25)
    world.capacity = 15
    for id in sorted(world.workers)[:6]:
        world.workers[id].alive = False
    end_of(world, members[0], 1.0)
    world.run(20.0)
    calm(world)


@BOTH
@pytest.mark.parametrize("cancel_after", [0.0, 0.05, 1.0])
def test_the_leader_is_refused_alone_then_everybody_for_longer_than_a_cancellation(
    members: tuple[str, ...], cancel_after: float
) -> None:
    """Cancelled at the very moment of the refusal, or a little later; a second after it, nobody
    has a state service. Meanwhile the workers report to the old leader."""
    world = busy(members)
    who = leader(world)
    assert who is not None
    world.state.refusing.add(who)
    world.after(1.0, lambda: world.state.outage(True))
    world.run(cancel_after)
    for n in range(TEAMS):
        for member in members:
            send(world, member, t.Cancel(0, f"j-00001{n}"))
            send(world, member, t.Poll(0, f"j-00000{n}"))
    for _ in range(int(CANCEL_S)):
        world.run(1.3)
        for n in range(TEAMS):
            send(world, members[n % len(members)], t.Poll(0, f"j-00001{n}"))
    assert not world.broken
    calm(world)


@BOTH
def test_the_state_service_answers_slowly_while_users_cancel_and_ask(
    members: tuple[str, ...],
) -> None:
    world = busy(members)
    world.slow_state = 1.2
    for n in range(TEAMS):
        for member in members:
            send(world, member, t.Cancel(0, f"j-00001{n}"))
        world.run(0.7)
        send(world, members[n % 3], t.Poll(0, f"j-00001{n}"))
    end_of(world, leader(world) or members[0], 0.5)
    world.run(CANCEL_S)
    calm(world)


@BOTH
def test_a_command_or_its_answer_is_held_up_and_the_machine_goes_on(
    members: tuple[str, ...],
) -> None:
    world = busy(members)
    for n in range(6):
        id = sorted(world.workers)[n]
        worker = world.workers[id]
        worker.hung = True
        submit(
            world,
            spec(f"j-00010{n}", tasks=2, team=f"team-{n % TEAMS}", estimate_s=2.0),
            members[n % len(members)],
        )
        send(world, members[0], t.Cancel(0, f"j-00001{n % TEAMS}"))
        world.run(2.0 + n % 3)
        worker.hung = False
        world.deliver_held()
        world.run(0.2)
    calm(world)


@BOTH
def test_close_looks_at_all_nodes_find_nothing_older(members: tuple[str, ...]) -> None:
    """Questions, repeated submissions and cancellations within milliseconds after each answer."""
    world = fresh(members)
    looked = [0]

    def look(uid: str) -> None:
        looked[0] += 1
        for k, member in enumerate(members):
            world.after(0.002 * k, lambda m=member: send(world, m, t.Poll(0, uid)))  # type: ignore[misc]
            world.after(
                0.003 * k + 0.001,
                lambda m=member: send(  # type: ignore[misc]
                    world, m, t.Submit(0, uid, world.specs[uid])
                ),
            )  # type: ignore[index]

    note = world.note

    def noting(uid: str, stage: str, known: str | None = None) -> None:
        before = world.told.get(uid)
        note(uid, stage, known)
        if before != stage:
            look(uid)

    world.note = noting  # type: ignore[method-assign]
    for n in range(20):
        uid = f"j-0001{n:02d}"
        submit(
            world,
            spec(uid, tasks=1 + n % 3, team=f"team-{n % TEAMS}", estimate_s=0.8),
            members[n % len(members)],
        )
        if n % 4 == 0:
            world.run(0.05)
            send(world, members[(n + 1) % len(members)], t.Cancel(0, uid))
        for k in range(7):
            world.run(0.1)
            send(world, members[k % len(members)], t.Poll(0, f"j-0001{max(0, n - k):02d}"))
    world.run(5.0)
    assert looked[0] >= 40
    calm(world)


@BOTH
def test_old_reports_arrive_after_newer_ones_also_of_earlier_sessions_and_attempts(
    members: tuple[str, ...],
) -> None:
    world = busy(members)
    seen = capture(world)
    world.run(2.0)
    early = list(seen)
    # A lease ends, so that there is a new session, and a machine is back without memory.
    ids = sorted(world.workers)
    world.mute.add(ids[0])
    world.workers[ids[1]].blink()
    world.run(LEASE_S + 3.0)
    world.mute.clear()
    for n in range(4):
        world.run(1.5)
        for member, report in (*early, *seen[-30:]):
            world.after(0.05 * n, lambda m=member, r=report: again(world, m, r))  # type: ignore[misc]
        if n == 1:
            end_of(world, members[0], 0.3)
    calm(world)


@BOTH
def test_tasks_that_end_far_apart_across_a_change_of_leader(members: tuple[str, ...]) -> None:
    world = fresh(members)
    lengths = {0: 1.0, 1: 9.0, 2: 18.0}
    for n in range(6):
        submit(
            world,
            spec(f"j-00010{n}", tasks=2 + n % 2, team=f"team-{n % TEAMS}", estimate_s=1.0),
            members[n % len(members)],
        )
    # Each task's length by its number, where the worker looks for it.
    step = type(next(iter(world.workers.values()))).step

    def by_number(worker: Any) -> None:
        for (task, _), entry in worker.tasks.items():
            if entry[0] == "running" and world.now - entry[2] < lengths[task.number]:
                entry[0] = "running "  # not to be ended yet
        step(worker)
        for entry in worker.tasks.values():
            entry[0] = entry[0].strip()

    for worker in world.workers.values():
        worker.step = lambda w=worker: by_number(w)  # type: ignore[method-assign,misc]
    world.run(5.0)
    who = leader(world)
    assert who is not None
    end_of(world, who, 20.0)
    world.run(8.0)
    end_of(world, leader(world) or members[0], 0.3)
    world.run(8.0)
    calm(world)
    again_started = [
        task
        for n, (_, task, _) in enumerate(world.starts)
        if any(task == other for _, other, _ in world.starts[:n])
    ]
    assert not again_started, "what ended was stored, what ran went on"


@BOTH
def test_jobs_are_cancelled_while_one_controller_s_work_changes_hands(
    members: tuple[str, ...],
) -> None:
    """On the way to another, and on the way back, one every tenth of a second; then an outage."""
    world = fresh(members, 12)
    for n in range(60):
        submit(
            world,
            spec(
                f"j-0001{n:02d}",
                tasks=1,
                team=f"team-{n % TEAMS}",
                cpus=0.5,
                memory=1.0,
                estimate_s=60.0,
            ),
            members[n % len(members)],
        )
        world.run(0.05)
    world.until(lambda: len(world.on_machines()) == 60, 30)
    number = [0]

    def cancel_some(seconds: float) -> None:
        end = world.now + seconds
        while world.now < end and number[0] < 60:
            up = [m for m in members if world.nodes[m] is not None]
            send(world, up[number[0] % len(up)], t.Cancel(0, f"j-0001{number[0]:02d}"))
            number[0] += 1
            world.run(0.1)

    world.crash(members[0])
    cancel_some(3.0)
    world.run(8.0)
    world.start(members[0])
    world.run(5.5)
    cancel_some(2.5)
    world.state.outage(True)
    world.run(CANCEL_S + 3.0)
    assert not world.broken
    calm(world)
