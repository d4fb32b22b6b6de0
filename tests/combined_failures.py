"""Set-up and checks for the tests in which several failures coincide."""

from typing import Any

from world import CANCEL_S, World, spec

from runcourse.core import types as t

TEAMS = 4
SETTLE_S = 15.0  # from the end of the failures to the first check


def started_world(
    members: tuple[str, ...], machines: int = 9, seed: int = 1, **settings: Any
) -> World:
    settings.setdefault("cpus_max", 100.0)
    world = World(seed=seed, machines=machines, members=members, **settings)
    world.run(4.0)
    return world


def loaded_world(members: tuple[str, ...], machines: int = 12, **settings: Any) -> World:
    """Returns a cluster in which each team runs two replicas, an array of long tasks and a gang."""
    world = started_world(members, machines, **settings)
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
        (m for m, n in world.nodes.items() if n is not None and n.fleet_planner.leadership.leading),
        None,
    )


def crash_and_restart(world: World, member: str, back_s: float) -> None:
    if world.nodes[member] is not None:
        world.crash(member)
        world.after(back_s, lambda: world.start(member))


def send(world: World, member: str, event: Any) -> None:
    """Sends a user's request without waiting and checks its answer against earlier ones."""
    uid = event.uid
    known = world.last_stages.get(uid) or "unknown"

    def answered(answer: Any) -> None:
        if answer is None:
            return
        if answer.status in (200, 201):
            world.record_stage(uid, str(answer.body["stage"]), known)
        elif answer.status == 404:
            world.record_stage(uid, "unknown", known)

    world.ask("user", member, event, answered)


def submit(world: World, job: Any, member: str) -> None:
    """Submits a job without waiting for the answer."""
    world.specs[job.uid] = job
    send(world, member, t.Submit(0, job.uid, job))


def make_unreachable(world: World, ids: list[str], failure: str) -> None:
    """Cuts machines off, drops what is sent to them, or hangs their workers.

    Commands to cut or hung machines are held and may be delivered late.
    """
    if failure == "cut":
        world.hold_commands = True
        world.cut_links.update(frozenset((id, m)) for id in ids for m in world.members)
    elif failure == "deaf":
        world.inbound_cut.update(ids)
    else:
        for id in ids:
            world.workers[id].hung = True


def resume_hung_workers(world: World, ids: list[str]) -> None:
    for id in ids:
        if id in world.workers:
            world.workers[id].hung = False


def recover_and_check(world: World, limit: float = 90.0) -> None:
    """Ends all failures and checks that every open job is served or ends as reported."""
    world.cut_links.clear()
    world.inbound_cut.clear()
    world.outbound_cut.clear()
    world.state.refused_members.clear()
    if world.state.down:
        world.state.outage(False)
    world.loss_rate = world.late_writes = world.lost_answers = world.duplicate_rate = 0.0
    world.state_delay_s = world.link_delay_s = 0.0
    for worker in world.workers.values():
        worker.hung = False
    for member in world.members:
        if world.nodes[member] is None:
            world.start(member)
    world.deliver_held()
    world.run(SETTLE_S)
    open_jobs = [
        uid
        for uid, last_stage in world.last_stages.items()
        if last_stage not in ("cancelled", "unknown")
    ]

    def is_served(uid: str) -> bool:
        job = world.specs[uid]
        if world.last_stages[uid] in ("done", "cancelled"):
            return True
        if job.service:
            return len({x for x, _ in world.on_machines() if x.job == uid}) == job.tasks
        return world.poll(uid) in ("done", "cancelled")

    world.until(lambda: all(is_served(uid) for uid in open_jobs), limit)
    for member in world.members:
        for uid, last_stage in list(world.last_stages.items()):
            stage = world.poll(uid, member)
            assert stage != "?" and (last_stage not in ("done", "cancelled") or stage == last_stage)
    world.run(CANCEL_S)
    assert not world.violations
