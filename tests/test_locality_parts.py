"""Unit tests of the locality policy: sources, load, costs, bounds of moves and fair parts."""

from __future__ import annotations

from typing import Any

import pytest
from test_failure_regressions import bare_machine
from world import platform, spec

from runcourse.core.ids import Attempt, Instant, MachineId, ShareNo, TaskId, make_attempt
from runcourse.core.jobs import Job
from runcourse.core.machine import Machine, Placement
from runcourse.core.placement import Size
from runcourse.core.placement_policy import Candidate
from runcourse.core.work import Work
from runcourse.locality.costs import Costs
from runcourse.locality.fairness import SourceFairness
from runcourse.locality.load import MIN_FINISHES, MIN_SIBLINGS, Heat, LoadTracker
from runcourse.locality.rebalancer import MoveBounds, Rebalancer
from runcourse.locality.settings import LocalitySettings, Source
from runcourse.locality.sources import SourceTable

SHARE = ShareNo(0)


def at(seconds: float) -> Instant:
    return Instant(seconds)


def source(*zones: str, **changes: Any) -> Source:
    values: dict[str, Any] = {
        "name": "p",
        "zones": zones,
        "read_gb": 10.0,
        "local_rate": 1.0,
        "remote_rate": 0.1,
        "teams": ("team-0",),
    }
    return Source(**{**values, **changes})


def machine(zone: str = "a", used: float = 0.0, name: str = "i-1") -> Machine:
    made = bare_machine()
    made.id = MachineId(name)
    made.record = made.record._replace(zone=zone)
    made.set_used(Size(used, used))
    return made


def running_task(on: Machine, uid: str = "j-000001", **changes: Any) -> Placement:
    """Places the first task of a job on a machine and returns the placement, in stage running."""
    job = Job(spec(uid, checkpoint_s=1.0, estimate_s=600.0, **changes), 1)  # type: ignore[arg-type]
    placement = Placement(TaskId(job.uid, 0), Attempt(1), on, job, at(0.0))
    placement.stage, placement.seen = "running", True
    on.placements[(placement.task, placement.attempt)] = placement
    return placement


# --- sources -----------------------------------------------------------------------------


def test_transfer_time_depends_on_zone_and_reader() -> None:
    table = SourceTable(LocalitySettings(sources=(source("a"),)))
    assert table.transfer_s(spec("j-1"), "a", at(0)) == 10.0
    assert table.transfer_s(spec("j-1"), "b", at(0)) == pytest.approx(100.0)
    assert table.transfer_s(spec("j-1", team="team-1"), "b", at(0)) == 0.0
    by_class = SourceTable(LocalitySettings(sources=(source("a", teams=(), classes=("x",)),)))
    assert by_class.transfer_s(spec("j-1", team="team-1"), "a", at(0)) == 10.0


def test_flapping_source_has_no_place_for_a_while() -> None:
    settings = LocalitySettings(sources=(source("a"),), flap_window=100.0, flap_hold=50.0)
    table = SourceTable(settings)
    places = ["b", "a", "b"]
    damped = [
        table.replace(LocalitySettings(sources=(source(zone),), flap_window=100.0, flap_hold=50.0),
                      at(10.0 * n))
        for n, zone in enumerate(places, 1)
    ]  # fmt: skip
    assert damped == [[], [], ["p"]]
    assert table.transfer_s(spec("j-1"), "a", at(79.0)) == 0.0
    assert table.transfer_s(spec("j-1"), "a", at(81.0)) > 0.0
    assert table.replace(table.settings, at(82.0)) == [], (
        "the same place does not count as a change"
    )


# --- load --------------------------------------------------------------------------------


def test_heat_has_two_thresholds_and_a_dwell_time() -> None:
    tracker = LoadTracker(LocalitySettings(hot=0.9, cool=0.5, dwell=30.0))
    observed = machine()

    def heat_after(used: float, seconds: float) -> Heat:
        observed.set_used(Size(used, 0.0))
        tracker.observe(observed, at(seconds))
        return tracker.heat(observed.id)

    assert heat_after(4.0, 0) is Heat.WARM, "a burst of load does not make a machine hot"
    assert heat_after(0.0, 10) is Heat.WARM
    assert heat_after(4.0, 20) is Heat.WARM
    assert heat_after(4.0, 51) is Heat.HOT
    assert heat_after(3.0, 100) is Heat.HOT, "above the middle of the thresholds it stays hot"
    assert heat_after(3.0, 200) is Heat.HOT
    assert heat_after(2.6, 210) is Heat.HOT
    assert heat_after(2.6, 241) is Heat.WARM
    assert heat_after(1.0, 250) is Heat.WARM
    assert heat_after(1.0, 281) is Heat.COOL


def test_slow_machine_is_distinguished_from_a_busy_one() -> None:
    tracker = LoadTracker(LocalitySettings())
    quick, slow = machine(name="i-quick", used=4.0), machine(name="i-slow")
    job = spec("j-1", estimate_s=10.0)
    for _ in range(MIN_SIBLINGS):
        tracker.record_completion(job, quick, 10.0)
    for _ in range(MIN_FINISHES - 1):
        tracker.record_completion(job, slow, 20.0)
    assert tracker.slowness(slow.id) == 1.0, "too few completions may be chance"
    tracker.record_completion(job, slow, 20.0)
    assert tracker.slowness(slow.id) == pytest.approx(2.0, rel=0.05)
    assert tracker.slowness(quick.id) == 1.0, "a full machine is not a slow one"
    tracker.retain_only(set())
    assert tracker.slowness(slow.id) == 1.0


def test_load_counts_only_for_tasks_that_read_a_source() -> None:
    settings = LocalitySettings(sources=(source("a"),), load_slowdown=0.5)
    costs = Costs(settings, SourceTable(settings), LoadTracker(settings))
    full, empty = machine("a", 4.0, "i-full"), machine("a", 0.0, "i-empty")
    reader, other = spec("j-1", estimate_s=10.0), spec("j-2", estimate_s=10.0, team="team-1")
    assert costs.placement_s(reader, full, at(0)) == 10.0 + 5.0
    assert costs.placement_s(reader, empty, at(0)) == 10.0
    assert costs.placement_s(other, full, at(0)) == costs.placement_s(other, empty, at(0)) == 0.0


# --- bounds of moves ---------------------------------------------------------------------


def test_moves_per_hour_are_bounded_and_a_new_owner_begins_with_none() -> None:
    bounds = MoveBounds(LocalitySettings(moves_per_hour=60.0, burst=4))
    moves_made = 0
    now = 0.0
    for _ in range(10):  # ten changes of owner in two minutes
        bounds.share_gained(SHARE, at(now))
        for _ in range(12):
            now += 1.0
            if bounds.moves_left(SHARE, at(now)) >= 1.0:
                bounds.record_move(
                    TaskId(running_task(machine()).task.job, moves_made), SHARE, at(now)
                )
                moves_made += 1
    assert moves_made == 0, "60 an hour are 2 in two minutes, and each owner begins with none"
    bounds.share_gained(SHARE, at(now))
    assert bounds.moves_left(SHARE, at(now + 3600.0)) == 4.0, "no more than a burst accumulates"


def test_the_cooldown_of_a_task_doubles_with_each_move() -> None:
    bounds = MoveBounds(LocalitySettings(cooldown=100.0, cooldown_most=300.0))
    placement = running_task(machine())
    placement.attempt = make_attempt(placement.machine.share.epoch, 1)
    assert bounds.may_move(placement, at(0.0))
    now = 0.0
    for pause in (100.0, 200.0, 300.0, 300.0):
        bounds.record_move(placement.task, SHARE, at(now))
        assert not bounds.may_move(placement, at(now + pause - 1.0))
        now += pause
        assert bounds.may_move(placement, at(now))


def test_task_started_by_an_earlier_owner_has_the_longest_cooldown() -> None:
    bounds = MoveBounds(LocalitySettings(cooldown=100.0, cooldown_most=300.0))
    placement = running_task(machine())
    placement.machine.share.epoch = 9  # type: ignore[assignment]
    bounds.share_gained(SHARE, at(50.0))
    assert not bounds.may_move(placement, at(349.0))
    assert bounds.may_move(placement, at(350.0))


# --- proposals of moves ------------------------------------------------------------------


def rebalancer(**changes: Any) -> tuple[Rebalancer, LoadTracker]:
    settings = LocalitySettings(sources=(source("a"),), dwell=0.0, **changes)
    tracker = LoadTracker(settings)
    return Rebalancer(settings, Costs(settings, SourceTable(settings), tracker), tracker), tracker


def observe_twice(tracker: LoadTracker, *machines: Machine) -> None:
    """Observes the machines at 0 s and 1 s, so that with a dwell time of 0 their heat is known."""
    for observed in machines:
        tracker.observe(observed, at(0.0))
        tracker.observe(observed, at(1.0))


def test_move_to_nearer_data_is_proposed_only_if_enough_is_left_to_read() -> None:
    planner, _ = rebalancer()
    near, far = machine("a", name="i-near"), machine("b", 2.0, "i-far")
    placement = running_task(far)
    candidate = Candidate(placement, [near])
    proposal = planner.propose([candidate], at(60.0))
    assert proposal is not None and proposal.target is near
    assert proposal.reason == "nearer its data" and 60.0 < proposal.gain_s < 100.0
    assert planner.propose([candidate], at(690.0)) is None, "too little is left to read"
    assert planner.propose([Candidate(running_task(near), [far])], at(60.0)) is None


def test_no_move_is_proposed_between_hot_machines_or_to_swap_loads() -> None:
    planner, tracker = rebalancer(load_slowdown=1.0)
    one, two = machine("a", 4.0, "i-1"), machine("a", 4.0, "i-2")
    observe_twice(tracker, one, two)
    first, second = running_task(one, "j-000001", cpus=2.0), running_task(two, "j-000002", cpus=2.0)
    both = [Candidate(first, [two]), Candidate(second, [one])]
    assert planner.propose(both, at(60.0)) is None
    cool = machine("a", 0.0, "i-3")
    observe_twice(tracker, cool)
    proposal = planner.propose([Candidate(first, [two, cool])], at(60.0))
    assert proposal is not None and proposal.target is cool
    # A move that would only swap the loads of two machines is not proposed.
    half = machine("a", 2.0, "i-4")
    observe_twice(tracker, half)
    assert planner.propose([Candidate(first, [half])], at(60.0)) is None
    # A warm machine is not a target because of load alone, a hot one not even for nearer data.
    warm, small = machine("a", 2.8, "i-5"), running_task(one, "j-000003", cpus=0.2)
    observe_twice(tracker, warm)
    assert planner.propose([Candidate(small, [warm])], at(60.0)) is None
    planner, tracker = rebalancer(load_slowdown=0.0)
    near = machine("a", 3.7, "i-6")
    observe_twice(tracker, near)
    far = running_task(machine("b", 1.0, "i-7"), "j-000004", cpus=0.2)
    assert planner.propose([Candidate(far, [near])], at(60.0)) is None


def test_move_away_from_a_slow_machine_is_proposed_and_none_to_it() -> None:
    planner, tracker = rebalancer()
    slow, other = machine("a", 1.0, "i-slow"), machine("a", 1.0, "i-other")
    tracker._slowness[slow.id] = 2.0
    proposal = planner.propose([Candidate(running_task(slow), [other])], at(60.0))
    assert proposal is not None and proposal.reason == "its machine is slow"
    assert planner.propose([Candidate(running_task(other), [slow])], at(60.0)) is None


# --- fair parts of near machines ---------------------------------------------------------


def make_work(uid: str, team: str, pending: int) -> Work:
    made = Work(Job(spec(uid, tasks=4, team=team), 1), SHARE)  # type: ignore[arg-type]
    made.pending = dict.fromkeys(range(pending))
    return made


def test_team_above_its_part_leaves_near_machines_to_a_waiting_team() -> None:
    table = SourceTable(LocalitySettings(sources=(source("a", teams=("team-0", "team-1")),)))
    fairness = SourceFairness(table, {"team-0": 4.0, "team-1": 4.0})
    near, far = machine("a", 4.0, "i-near"), machine("b", name="i-far")
    running_task(near, "j-000001", team="team-0", cpus=4.0)
    hot, quiet = make_work("j-000001", "team-0", 2), make_work("j-000002", "team-1", 1)
    fairness.recompute([near, far], [hot, quiet], at(0.0))
    assert fairness.candidates(hot, [near, far]) == [far]
    assert fairness.candidates(hot, [near]) == [near], "no machine is kept idle for another team"
    assert fairness.candidates(quiet, [near, far]) == [near, far]
    # No other team waits, so the team may use every machine.
    quiet.pending.clear()
    fairness.recompute([near, far], [hot, quiet], at(1.0))
    assert fairness.candidates(hot, [near, far]) == [near, far]
    # A task that runs far from its data counts as waiting for a near machine.
    running_task(far, "j-000002", team="team-1")
    fairness.recompute([near, far], [hot, quiet], at(2.0))
    assert fairness.candidates(hot, [near, far]) == [far]


def test_fair_parts_follow_the_guarantees_of_the_platform_settings() -> None:
    teams = {team.name: team.cpus for team in platform("n0").settings.teams}
    fairness = SourceFairness(SourceTable(LocalitySettings()), teams)
    assert fairness._fair_parts({"team-0", "team-1"}, 12.0) == {"team-0": 6.0, "team-1": 6.0}
    fairness.guarantees = {"team-0": 8.0, "team-1": 4.0}
    assert fairness._fair_parts({"team-0", "team-1"}, 12.0) == {"team-0": 8.0, "team-1": 4.0}
    assert fairness._fair_parts({"team-0", "team-9"}, 12.0) == {"team-0": 6.0, "team-9": 6.0}
