"""Random interleavings of failures: the rules hold, and nothing accepted is lost."""

from typing import Any
from unittest.mock import patch

from combined_failures import send
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st
from world import CANCEL_S, FIVE, MEMBERS, World, spec

from runcourse.config import Operators
from runcourse.core import types as t
from runcourse.locality.settings import LocalitySettings, Source

ACTIONS = (
    "submit",
    "service",
    "spread",
    "cancel",
    "crash",
    "crash_all",
    "blink",
    "outage",
    "refuse",
    "cut_worker",
    "hold_worker",
    "cut_node",
    "cut_peers",
    "hang",
    "die",
    "lossy",
    "held",
    "poll",
    "deaf",
    "many_deaf",
    "echo",
    "alone",
    "blink_machine",
    "freeze",
    "stall",
    "late_writes",
    "all_refused",
    "mistaken",
    "cut_two",
    "lost_answers",
    "close_looks",
    "mute",
    "many_mute",
    "kept",
    "cancel_at_end",
    "cancel_handover",
    "gang",
    "big_gang",
    "stop_gang",
    "long",
    "source_moves",
)

# Where team-0 and team-1 read; in stories with the locality policy it changes its place.
PLACES = ("a", "b", "c")


def locality(place: int) -> LocalitySettings:
    """Moves as often as they can be: no cooldown to speak of, no damping."""
    source = Source("p", (PLACES[place % 3],), 100.0, 10.0, 0.5, teams=("team-0", "team-1"))
    return LocalitySettings(
        sources=(source,),
        moves_per_hour=7200.0,
        interval=0.5,
        dwell=1.0,
        cooldown=1.0,
        cooldown_most=1.0,
        least_gain=1.0,
        flap_changes=1000,
    )


def close_look(world: World, k: int) -> None:
    for uid in sorted(world.told)[k % 3 :: 3]:
        for m in world.members:
            if world.told[uid] == "unknown" or k % 2:
                send(world, m, t.Poll(0, uid))
            else:
                send(world, m, t.Submit(0, uid, world.specs[uid]))  # type: ignore[index]


def keep_reports(world: World) -> None:
    kept = [(w.id, w.report()) for w in world.workers.values() if w.alive]
    before = {m: n.rental.leadership.leading for m, n in world.nodes.items() if n is not None}

    def look(left: int) -> None:
        now = {m: n.rental.leadership.leading for m, n in world.nodes.items() if n is not None}
        if any(leads and not before.get(m) for m, leads in now.items()) or left == 0:
            for _, report in kept:
                for m in world.members:
                    if world.nodes[m] is not None:
                        world.feed(m, t.ReportReceived(-1, report))
        else:
            world.after(0.3, lambda: look(left - 1))

    world.after(0.3, lambda: look(40))


def act(world: World, action: str, pick: int, number: int) -> None:
    members = world.members
    member = members[pick % len(members)]
    workers = list(world.workers.values())
    worker = workers[pick % len(workers)] if workers else None
    uid = f"j-{number:06d}"
    team = f"team-{pick % 4}"

    def heal(*pairs: frozenset[str]) -> None:
        world.after(2.0 + pick % 9, lambda: world.cut.difference_update(pairs))

    if action == "submit":
        world.submit(spec(uid, tasks=1 + pick % 4, team=team, spot=pick % 2 == 0), member)
    elif action == "service":
        world.submit(spec(uid, tasks=1 + pick % 2, team=team, service=True, rank=0), member)
    elif action == "spread":
        world.submit(spec(uid, tasks=2, team=team, service=True, spread=True, rank=0), member)
    elif action in ("gang", "big_gang"):
        world.submit(
            spec(
                uid,
                tasks=2 + pick % 3,
                team=team,
                gang=True,
                together=pick % 2 == 0,
                cpus=1.0 if action == "gang" else 2.0,
                memory=2.0,
                checkpoint_s=1.5 if pick % 3 else 0.0,
                save_s=0.3,
                estimate_s=4.0,
            ),
            member,
        )
    elif action == "long":  # what may be moved
        changes: dict[str, Any] = {"checkpoint_s": 1.0, "save_s": 0.6, "estimate_s": 40.0}
        if pick % 3 == 0:
            changes = {"service": True, "rank": 0, "cpus": 1.0}
        world.submit(spec(uid, tasks=2, team=f"team-{pick % 2}", **changes), member)
    elif action == "source_moves":
        if world.locality is not None:
            world.reload(locality(pick))
    elif action == "stop_gang":  # as for a replica, or a machine that is emptied
        for node in world.nodes.values():
            for work in list(node.scheduler.work.values()) if node is not None else ():
                placements = node.fleet.placements.of_job(work.job.uid)
                if work.job.spec.gang and placements and node.shares.may_command(work.share):
                    node.scheduler.gangs.stop(placements[pick % len(placements)])
    elif action == "cancel" and world.told:
        world.cancel(sorted(world.told)[pick % len(world.told)], member)
    elif action == "poll" and world.told:
        world.poll(sorted(world.told)[pick % len(world.told)], member)
    elif action in ("crash", "blink"):
        if world.nodes[member] is not None:
            world.crash(member)
            pause = 0.1 if action == "blink" else 1.0 + pick % 6
            world.after(pause, lambda: world.start(member))
    elif action == "crash_all":
        for m in members:
            if world.nodes[m] is not None:
                world.crash(m)
                world.after(1.0, lambda m=m: world.start(m))  # type: ignore[misc]
    elif action == "outage" and not world.state.down:
        world.state.outage(True)
        world.after(1.0 + pick % 10, lambda: world.state.outage(False))
    elif action == "refuse":
        world.state.refusing.add(member)
        world.after(1.0 + pick % 9, lambda: world.state.refusing.discard(member))
    elif action in ("cut_worker", "hold_worker") and worker is not None:
        world.hold = world.hold or action == "hold_worker"
        pairs = [frozenset((worker.id, m)) for m in members]
        world.cut.update(pairs)
        heal(*pairs)
    elif action == "cut_node":
        pairs = [frozenset((member, w.id)) for w in workers]
        pairs += [frozenset((member, m)) for m in members if m != member]
        if pick % 2:
            pairs.append(frozenset((member, "state")))
        world.cut.update(pairs)
        heal(*pairs)
    elif action == "cut_peers":
        pairs = [frozenset((member, members[(pick + 1) % len(members)]))]
        world.cut.update(pairs)
        heal(*pairs)
    elif action == "hang" and worker is not None:
        worker.hung = True
        world.after(1.0 + pick % 8, lambda: setattr(worker, "hung", False))
    elif action == "die" and worker is not None:
        worker.alive = False
    elif action == "lossy":
        world.lose = 0.3
        world.after(3.0, lambda: setattr(world, "lose", 0.0))
    elif action in ("deaf", "many_deaf"):
        ids = {w.id for n, w in enumerate(workers) if action == "many_deaf" or n == pick % 5}
        world.deaf |= ids
        world.after(2.0 + pick % 15, lambda: world.deaf.difference_update(ids))
    elif action == "echo":
        world.echo = 0.3
        world.after(4.0, lambda: setattr(world, "echo", 0.0))
    elif action == "alone":
        pairs = [frozenset((member, other)) for other in (*members, "state") if other != member]
        world.cut.update(pairs)
        heal(*pairs)
    elif action == "late_writes":
        world.late_writes = 0.4
        world.after(6.0, lambda: setattr(world, "late_writes", 0.0))
    elif action == "all_refused":  # one alone, and then everybody, for longer than a cancellation
        world.state.refusing.add(member)

        def all_refused() -> None:
            if not world.state.down:
                world.state.outage(True)
                world.after(CANCEL_S + 4.0, lambda: world.state.outage(False))

        world.after(0.3 + pick / 30, all_refused)
        world.after(CANCEL_S + 8.0, lambda: world.state.refusing.discard(member))
    elif action == "mistaken":
        world.mistaken.add(uid)
        world.submit(spec(uid, tasks=1 + pick % 4, team=team), member)
    elif action == "cut_two":
        pairs = [frozenset((member, other)) for other in (*members, "state") if other != member]
        pairs.append(frozenset((members[(pick + 1) % len(members)], "state")))
        world.cut.update(pairs)
        heal(*pairs)
    elif action == "lost_answers":
        world.lost_answers = 0.5
        world.after(5.0, lambda: setattr(world, "lost_answers", 0.0))
    elif action == "close_looks":  # at all nodes, for a while after each news
        for k in range(12):
            world.after(0.25 * k, lambda k=k: close_look(world, k))  # type: ignore[misc]
    elif action in ("mute", "many_mute"):
        ids = {w.id for n, w in enumerate(workers) if action == "many_mute" or n == pick % 5}
        world.mute |= ids
        world.after(2.0 + pick % 12, lambda: world.mute.difference_update(ids))
    elif action == "kept":  # copies of reports come again just after the next leader begins
        keep_reports(world)
    elif action == "cancel_at_end" and world.finished:
        job = sorted(world.finished)[pick % len(world.finished)].job
        for k, m in enumerate(members):
            world.after(
                0.01 * k,
                lambda m=m, job=job: send(  # type: ignore[misc]
                    world, m, t.Cancel(0, job)
                ),
            )
    elif action == "cancel_handover":  # while one node's work goes to others and comes back
        if world.nodes[member] is not None:
            world.crash(member)
            world.after(1.0 + pick % 8, lambda: world.start(member))
        for k, job in enumerate(sorted(world.told)[pick % 4 :: 4]):
            world.after(
                0.4 * k,
                lambda k=k, job=job: send(  # type: ignore[misc]
                    world, members[(pick + k) % len(members)], t.Cancel(0, job)
                ),
            )
    elif action == "freeze":
        world.freeze(member, 0.4 + pick / 4)
    elif action == "stall":
        world.stall(member, 0.4 + pick / 4)
    elif action == "blink_machine" and worker is not None:
        worker.blink()
    elif action == "held":
        world.deliver_held()


steps = st.lists(
    st.tuples(st.sampled_from(ACTIONS), st.integers(0, 40), st.floats(0.05, 4.0)),
    min_size=6,
    max_size=22,
)


@settings(
    max_examples=100,
    deadline=None,
    derandomize=True,
    database=None,
    phases=(Phase.explicit, Phase.generate),  # shrinking whole stories takes too long for CI
    suppress_health_check=list(HealthCheck),
)
@given(steps, st.integers(0, 1000), st.sampled_from((MEMBERS, FIVE)))
def test_rules_hold_whatever_fails(
    script: list[tuple[str, int, float]], seed: int, members: tuple[str, ...]
) -> None:
    with patch("runcourse.core.migrations.YOUNG_S", 1.0):
        play(script, seed, members)


def play(script: list[tuple[str, int, float]], seed: int, members: tuple[str, ...]) -> None:
    # Half of the stories run with moves of running work.
    moving = seed % 2 == 0
    world = World(
        seed=seed,
        machines=15 if moving else 5,
        members=members,
        cpus_max=16.0 if moving else 8.0,
        locality=locality(seed) if moving else None,
        operators=Operators(idle_return=1e6) if moving else None,
    )
    world.run(2.0)
    if moving:
        for n in range(900, 904):
            act(world, "long", n, n)
        world.run(3.0)
    for number, (action, pick, pause) in enumerate(script):
        act(world, action, pick, number)
        if moving and number % 2:
            act(world, "source_moves", number // 2, number)
        world.run(pause)
        assert not world.broken
    world.run(12.0)
    if world.state.down or world.state.refusing:
        world.run(CANCEL_S)
        assert not world.broken
    world.cut.clear()
    world.deaf.clear()
    world.mute.clear()
    world.lose = world.lost_answers = 0.0
    world.deliver_held()
    world.run(30.0)
    world.deliver_held()
    world.run(5.0)
    assert not world.broken
    # Services may hold all that a team may use: without them every array gets done.
    for uid in [u for u, told in world.told.items() if told not in ("cancelled", "unknown")]:
        if world.specs[uid].service or uid in world.mistaken:
            world.until(lambda uid=uid: world.cancel(uid, "n2") == "cancelled", 10)  # type: ignore[misc]
    for uid, told in list(world.told.items()):
        stage = world.poll(uid, "n1")
        assert stage != "?"
        endless = world.specs[uid].service or uid in world.mistaken
        if not endless and told not in ("cancelled", "unknown"):
            world.until(
                lambda uid=uid: world.poll(uid) in ("done", "cancelled"),  # type: ignore[misc]
                90,
            )
    assert not world.broken
