"""Parts of the locality policy by themselves: sources, load, costs, bounds, fair parts."""

from __future__ import annotations

from typing import Any

import pytest
from test_failures import bare_machine
from world import platform, spec

from runcourse.core.ids import Attempt, Instant, MachineId, ShareNo, TaskId, make_attempt
from runcourse.core.jobs import Job
from runcourse.core.machine import Machine, Placement
from runcourse.core.placement import Size
from runcourse.core.policy import Candidate
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


def running(on: Machine, uid: str = "j-000001", **changes: Any) -> Placement:
    job = Job(spec(uid, checkpoint_s=1.0, estimate_s=600.0, **changes), 1)  # type: ignore[arg-type]
    placement = Placement(TaskId(job.uid, 0), Attempt(1), on, job, at(0.0))
    placement.stage, placement.seen = "running", True
    on.placements[(placement.task, placement.attempt)] = placement
    return placement


# --- sources -----------------------------------------------------------------------------


def test_transfer_is_told_by_zone_and_reader() -> None:
    table = SourceTable(LocalitySettings(sources=(source("a"),)))
    assert table.transfer_s(spec("j-1"), "a", at(0)) == 10.0
    assert table.transfer_s(spec("j-1"), "b", at(0)) == pytest.approx(100.0)
    assert table.transfer_s(spec("j-1", team="team-1"), "b", at(0)) == 0.0
    by_class = SourceTable(LocalitySettings(sources=(source("a", teams=(), classes=("x",)),)))
    assert by_class.transfer_s(spec("j-1", team="team-1"), "a", at(0)) == 10.0


def test_a_source_that_flaps_counts_as_lying_nowhere_for_a_while() -> None:
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
    assert table.replace(table.settings, at(82.0)) == [], "the same place is no change"


# --- load --------------------------------------------------------------------------------


def test_heat_has_two_thresholds_and_a_dwell_time() -> None:
    tracker = LoadTracker(LocalitySettings(hot=0.9, cool=0.5, dwell=30.0))
    one = machine()

    def look(used: float, seconds: float) -> Heat:
        one.set_used(Size(used, 0.0))
        tracker.observe(one, at(seconds))
        return tracker.heat(one.id)

    assert look(4.0, 0) is Heat.WARM, "a burst is not heat yet"
    assert look(0.0, 10) is Heat.WARM
    assert look(4.0, 20) is Heat.WARM
    assert look(4.0, 51) is Heat.HOT
    assert look(3.0, 100) is Heat.HOT, "above the middle it stays hot"
    assert look(3.0, 200) is Heat.HOT
    assert look(2.6, 210) is Heat.HOT
    assert look(2.6, 241) is Heat.WARM
    assert look(1.0, 250) is Heat.WARM
    assert look(1.0, 281) is Heat.COOL


def test_a_slow_machine_is_told_from_a_busy_one() -> None:
    tracker = LoadTracker(LocalitySettings())
    quick, slow = machine(name="i-quick", used=4.0), machine(name="i-slow")
    job = spec("j-1", estimate_s=10.0)
    for _ in range(MIN_SIBLINGS):
        tracker.record_completion(job, quick, 10.0)
    for _ in range(MIN_FINISHES - 1):
        tracker.record_completion(job, slow, 20.0)
    assert tracker.slowness(slow.id) == 1.0, "a few may be chance"
    tracker.record_completion(job, slow, 20.0)
    assert tracker.slowness(slow.id) == pytest.approx(2.0, rel=0.05)
    assert tracker.slowness(quick.id) == 1.0, "full, yet not slow"
    tracker.retain_only(set())
    assert tracker.slowness(slow.id) == 1.0


def test_load_is_weighed_for_tasks_that_read_a_source_only() -> None:
    settings = LocalitySettings(sources=(source("a"),), load_slowdown=0.5)
    costs = Costs(settings, SourceTable(settings), LoadTracker(settings))
    full, empty = machine("a", 4.0, "i-full"), machine("a", 0.0, "i-empty")
    reader, other = spec("j-1", estimate_s=10.0), spec("j-2", estimate_s=10.0, team="team-1")
    assert costs.placement_s(reader, full, at(0)) == 10.0 + 5.0
    assert costs.placement_s(reader, empty, at(0)) == 10.0
    assert costs.placement_s(other, full, at(0)) == costs.placement_s(other, empty, at(0)) == 0.0


# --- bounds ------------------------------------------------------------------------------


def test_moves_an_hour_are_bounded_and_a_takeover_begins_with_nothing() -> None:
    bounds = MoveBounds(LocalitySettings(moves_per_hour=60.0, burst=4))
    made = 0
    now = 0.0
    for _ in range(10):  # ten changes of owner in two minutes
        bounds.share_gained(SHARE, at(now))
        for _ in range(12):
            now += 1.0
            if bounds.moves_left(SHARE, at(now)) >= 1.0:
                bounds.record_move(TaskId(running(machine()).task.job, made), SHARE, at(now))
                made += 1
    assert made == 0, "sixty an hour are two in two minutes, and each owner began with none"
    bounds.share_gained(SHARE, at(now))
    assert bounds.moves_left(SHARE, at(now + 3600.0)) == 4.0, "no more than the burst is saved up"


def test_the_cooldown_of_a_task_doubles_with_each_move() -> None:
    bounds = MoveBounds(LocalitySettings(cooldown=100.0, cooldown_most=300.0))
    placement = running(machine())
    placement.attempt = make_attempt(placement.machine.share.epoch, 1)
    assert bounds.may_move(placement, at(0.0))
    now = 0.0
    for pause in (100.0, 200.0, 300.0, 300.0):
        bounds.record_move(placement.task, SHARE, at(now))
        assert not bounds.may_move(placement, at(now + pause - 1.0))
        now += pause
        assert bounds.may_move(placement, at(now))


def test_what_an_earlier_owner_started_has_the_longest_cooldown() -> None:
    bounds = MoveBounds(LocalitySettings(cooldown=100.0, cooldown_most=300.0))
    placement = running(machine())
    placement.machine.share.epoch = 9  # type: ignore[assignment]
    bounds.share_gained(SHARE, at(50.0))
    assert not bounds.may_move(placement, at(349.0))
    assert bounds.may_move(placement, at(350.0))


# --- what is worth a move ----------------------------------------------------------------


def rebalancer(**changes: Any) -> tuple[Rebalancer, LoadTracker]:
    settings = LocalitySettings(sources=(source("a"),), dwell=0.0, **changes)
    tracker = LoadTracker(settings)
    return Rebalancer(settings, Costs(settings, SourceTable(settings), tracker), tracker), tracker


def heat(tracker: LoadTracker, *machines: Machine) -> None:
    for one in machines:
        tracker.observe(one, at(0.0))
        tracker.observe(one, at(1.0))


def test_nearer_data_is_worth_a_move_only_while_enough_is_left_to_read() -> None:
    planner, _ = rebalancer()
    near, far = machine("a", name="i-near"), machine("b", 2.0, "i-far")
    placement = running(far)
    candidate = Candidate(placement, [near])
    proposal = planner.propose([candidate], at(60.0))
    assert proposal is not None and proposal.target is near
    assert proposal.reason == "nearer its data" and 60.0 < proposal.gain_s < 100.0
    assert planner.propose([candidate], at(690.0)) is None, "nearly done"
    assert planner.propose([Candidate(running(near), [far])], at(60.0)) is None


def test_hot_machines_that_would_swap_and_machines_that_are_all_hot_move_nothing() -> None:
    planner, tracker = rebalancer(load_slowdown=1.0)
    one, two = machine("a", 4.0, "i-1"), machine("a", 4.0, "i-2")
    heat(tracker, one, two)
    first, second = running(one, "j-000001", cpus=2.0), running(two, "j-000002", cpus=2.0)
    both = [Candidate(first, [two]), Candidate(second, [one])]
    assert planner.propose(both, at(60.0)) is None
    cool = machine("a", 0.0, "i-3")
    heat(tracker, cool)
    proposal = planner.propose([Candidate(first, [two, cool])], at(60.0))
    assert proposal is not None and proposal.target is cool
    # Where the move would only turn the two round, it is none.
    half = machine("a", 2.0, "i-4")
    heat(tracker, half)
    assert planner.propose([Candidate(first, [half])], at(60.0)) is None
    # A warm machine is no target for load alone, and a hot one not even for nearer data.
    warm, small = machine("a", 2.8, "i-5"), running(one, "j-000003", cpus=0.2)
    heat(tracker, warm)
    assert planner.propose([Candidate(small, [warm])], at(60.0)) is None
    planner, tracker = rebalancer(load_slowdown=0.0)
    near = machine("a", 3.7, "i-6")
    heat(tracker, near)
    far = running(machine("b", 1.0, "i-7"), "j-000004", cpus=0.2)
    assert planner.propose([Candidate(far, [near])], at(60.0)) is None


def test_a_slow_machine_is_left_and_is_no_target() -> None:
    planner, tracker = rebalancer()
    slow, other = machine("a", 1.0, "i-slow"), machine("a", 1.0, "i-other")
    tracker._slowness[slow.id] = 2.0
    proposal = planner.propose([Candidate(running(slow), [other])], at(60.0))
    assert proposal is not None and proposal.reason == "its machine is slow"
    assert planner.propose([Candidate(running(other), [slow])], at(60.0)) is None


# --- fair parts --------------------------------------------------------------------------


def work(uid: str, team: str, pending: int) -> Work:
    made = Work(Job(spec(uid, tasks=4, team=team), 1), SHARE)  # type: ignore[arg-type]
    made.pending = dict.fromkeys(range(pending))
    return made


def test_a_team_beyond_its_part_leaves_near_machines_to_one_that_waits() -> None:
    table = SourceTable(LocalitySettings(sources=(source("a", teams=("team-0", "team-1")),)))
    shares = SourceFairness(table, {"team-0": 4.0, "team-1": 4.0})
    near, far = machine("a", 4.0, "i-near"), machine("b", name="i-far")
    running(near, "j-000001", team="team-0", cpus=4.0)
    hot, quiet = work("j-000001", "team-0", 2), work("j-000002", "team-1", 1)
    shares.recompute([near, far], [hot, quiet], at(0.0))
    assert shares.candidates(hot, [near, far]) == [far]
    assert shares.candidates(hot, [near]) == [near], "no machine idles for it"
    assert shares.candidates(quiet, [near, far]) == [near, far]
    # Nobody else waits, so nothing is kept from it.
    quiet.pending.clear()
    shares.recompute([near, far], [hot, quiet], at(1.0))
    assert shares.candidates(hot, [near, far]) == [near, far]
    # Running far away is waiting for a place near.
    running(far, "j-000002", team="team-1")
    shares.recompute([near, far], [hot, quiet], at(2.0))
    assert shares.candidates(hot, [near, far]) == [far]


def test_the_settings_of_the_platform_give_the_parts() -> None:
    teams = {team.name: team.cpus for team in platform("n0").settings.teams}
    shares = SourceFairness(SourceTable(LocalitySettings()), teams)
    assert shares._fair_parts({"team-0", "team-1"}, 12.0) == {"team-0": 6.0, "team-1": 6.0}
    shares.guarantees = {"team-0": 8.0, "team-1": 4.0}
    assert shares._fair_parts({"team-0", "team-1"}, 12.0) == {"team-0": 8.0, "team-1": 4.0}
    assert shares._fair_parts({"team-0", "team-9"}, 12.0) == {"team-0": 6.0, "team-9": 6.0}
