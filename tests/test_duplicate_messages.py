"""Late duplicates of messages, and processes and machines that restart at once."""

from typing import Any

import pytest
from failing_parts import CLUSTER_SIZES, capture_reports, owner_of, resend_report
from test_failure_regressions import started_world
from world import LEASE_S, World, spec

from runcourse.core import types as t
from runcourse.core.ids import Instant, Session, Token
from runcourse.core.jobs import Job
from runcourse.core.machines import Fleet


@CLUSTER_SIZES
def test_duplicate_report_does_not_refresh_last_report_time(members: tuple[str, ...]) -> None:
    world = World(machines=3, members=members)
    world.run(4.0)
    reports = capture_reports(world)
    world.run(3.0)
    member, report = next(
        (m, r) for m, r in reports if owner_of(world, r.machine)[0].context.me == m
    )
    node, machine = owner_of(world, report.machine)
    world.workers[report.machine].alive = False
    world.run(4.0)
    last_report_at, images = machine.last_message_at, dict(machine.images)
    for delay_s in (0.0, 1.0):
        world.run(delay_s)
        resend_report(world, member, report)
        assert machine.last_message_at == last_report_at and machine.images == images
        assert not node.fleet.usable(machine)
    resend_report(world, member, report._replace(seq=report.seq + 10_000, token=0))
    assert machine.last_message_at == last_report_at, (
        "a lower token comes from another life of the worker"
    )


@CLUSTER_SIZES
def test_duplicate_report_after_takeover_makes_no_machine_usable(members: tuple[str, ...]) -> None:
    world = World(machines=3, members=members)
    world.run(4.0)
    reports = capture_reports(world)
    world.run(3.0)
    _, report = reports[-1]
    node, _ = owner_of(world, report.machine)
    world.workers[report.machine].alive = False
    world.crash(node.context.me)
    world.start(node.context.me)
    world.until(lambda: report.machine in world.nodes[node.context.me].fleet.machines, 3)  # type: ignore[union-attr]
    resend_report(world, node.context.me, report)
    node, machine = owner_of(world, report.machine)
    assert not machine.settled and not node.fleet.usable(machine)
    world.run(1.0)
    resend_report(world, node.context.me, report)
    assert not node.fleet.usable(machine)
    world.run(25.0)
    assert report.machine not in world.workers, "returned as any silent machine is"


def test_duplicate_report_does_not_restore_a_returned_machine() -> None:
    world = started_world(machines=3)
    reports = capture_reports(world)
    world.run(2.0)
    member, report = reports[-1]
    world.workers[report.machine].alive = False
    world.until(lambda: report.machine not in world.workers, 40)
    world.until(
        lambda: all(
            n is not None and report.machine in n.fleet.removed_ids for n in world.nodes.values()
        ),
        10,
    )
    for m in world.members:
        resend_report(world, m, report)
    # The same holds after all nodes, the leader among them, have lost their memory.
    for m in world.members:
        world.crash(m)
        world.start(m)
    world.run(4.0)
    for m in world.members:
        resend_report(world, m, report)
    world.run(5.0)
    assert all(report.machine not in n.fleet.records for n in world.nodes.values() if n is not None)
    assert member in world.members


def test_unknown_machine_is_adopted_only_if_it_answers_or_is_listed() -> None:
    world = started_world(machines=1)
    unknown_report = t.Report("i-000900", "i-000900:1", "m4", "a", False, 1, 5, 0, None, ())  # type: ignore[arg-type]
    for m in world.members:
        resend_report(world, m, unknown_report)
    world.run(5.0)
    assert all("i-000900" not in n.fleet.records for n in world.nodes.values() if n is not None)


def test_duplicate_report_of_a_former_session_ends_no_task() -> None:
    """After a restart of the worker, a duplicate report with its old, higher session number must
    not end its new tasks."""
    world = started_world(machines=1)
    id = next(iter(world.workers))
    worker = world.workers[id]
    worker.session = 5
    reports = capture_reports(world)
    world.run(3.0)
    member, old_report = next((m, r) for m, r in reversed(reports) if r.session == 5)
    worker.restart_without_state()
    world.run(6.0)
    world.submit(spec("j-000500", service=True, tasks=1))
    world.until(lambda: len(world.on_machines()) == 1, 10)
    world.run(2.0)
    node, machine = owner_of(world, id)
    assert machine.session == 1
    resend_report(world, member, old_report)
    assert len(node.fleet.placements.of_job("j-000500")) == 1  # type: ignore[arg-type]
    world.run(10.0)
    assert len(world.starts) == 1 and not world.violations


def test_duplicate_command_for_a_forgotten_attempt_starts_nothing() -> None:
    world = started_world(machines=1)
    commands: list[t.Command] = []
    to_worker = world._to_worker

    def recording_to_worker(member: str, effect: t.Command, back: Any) -> None:
        commands.append(effect)
        to_worker(member, effect, back)

    world._to_worker = recording_to_worker  # type: ignore[method-assign]
    world.submit(spec("j-000510", tasks=1, estimate_s=0.5))
    world.until(lambda: world.poll("j-000510") == "done", 15)
    world.run(4.0)
    worker = next(iter(world.workers.values()))
    assert not worker.tasks, "the attempt is forgotten"
    starts = len(world.starts)
    for command in commands:
        worker.command(command)
    world.run(2.0)
    assert len(world.starts) == starts


def test_report_overtaken_by_a_direct_answer_is_answered() -> None:
    """The worker waits for an answer; after a refusal it would not try again for a second."""
    world = started_world(machines=1)
    id = next(iter(world.workers))
    node, machine = owner_of(world, id)
    worker = world.workers[id]
    report = worker.report()
    node.fleet.reports.apply(worker.report(), machine.known_state)
    answers: list[t.ReportAnswer] = []
    world.ask(id, node.context.me, t.ReportReceived(0, report), answers.append)
    world.run(0.1)
    assert answers[0].status == 200 and not answers[0].orders
    world.ask(id, node.context.me, t.ReportReceived(0, report), answers.append)
    world.run(0.1)
    assert answers[1].status == 503, "a duplicate of the report is refused"


def test_worker_restarted_without_memory_is_used_again_at_once() -> None:
    world = started_world(machines=1)
    worker = next(iter(world.workers.values()))
    world.submit(spec("j-000700", service=True, tasks=1))
    world.until(lambda: len(world.on_machines()) == 1, 10)
    world.run(3.0)
    worker.restart_without_state()
    assert not world.on_machines()
    world.until(lambda: len(world.on_machines()) == 1, 6)
    assert worker.id in world.workers and not world.violations


@CLUSTER_SIZES
@pytest.mark.parametrize("pause", [0.0, 0.05, 0.3])
def test_nodes_that_restart_at_once_during_takeovers(
    members: tuple[str, ...], pause: float
) -> None:
    world = World(machines=5, members=members, seed=7)
    world.duplicate_rate = 0.4
    world.run(4.0)
    for n in range(4):
        world.submit(spec(f"j-00071{n}", service=True, tasks=1, team=f"team-{n}"), members[-1])
    world.run(6.0)
    world.crash("n0")
    world.after(9.0, lambda: world.start("n0"))
    for n in range(8):  # other nodes crash and restart during the takeover of the share
        member = members[1 + n % (len(members) - 1)]
        world.run(0.6)
        if world.nodes[member] is not None:
            world.crash(member)
            world.after(pause, lambda m=member: world.start(m))  # type: ignore[misc]
    world.run(20.0)
    world.duplicate_rate = 0.0
    world.run(20.0)
    assert len(world.on_machines()) == 4 and not world.violations
    assert all(n is not None and n.authority.may_act() for n in world.nodes.values())


def test_duplicate_commit_of_a_former_process_does_not_replace_the_live_key() -> None:
    world = started_world()
    recorded_commits: list[t.Commit] = []
    node = world.nodes["n0"]
    assert node is not None
    serve = world.state.serve

    def recording_serve(member: str, effect: Any) -> tuple[int, Any]:
        if member == "n0" and isinstance(effect, t.Commit):
            recorded_commits.append(effect)
        return serve(member, effect)

    world.state.serve = recording_serve  # type: ignore[method-assign]
    world.crash("n0")
    world.start("n0")
    world.run(0.5)
    former_commits = list(recorded_commits)
    world.crash("n0")
    world.start("n0")
    world.run(0.5)
    incarnation = world.nodes["n0"].authority.incarnation  # type: ignore[union-attr]
    for commit in former_commits:
        serve("n0", commit)
    world.run(1.0)
    restarted = world.nodes["n0"]
    assert (
        restarted is not None
        and restarted.authority.incarnation == incarnation
        and restarted.authority.may_act()
    )


def test_silence_limit_lies_between_a_lost_report_and_the_lease() -> None:
    world = started_world()
    fleet: Fleet = world.nodes["n0"].fleet  # type: ignore[union-attr]
    assert 2.5 <= fleet.silence_limit_s() < LEASE_S
    assert fleet.context.now >= Instant(0.0)


def test_new_session_gets_a_whole_lease_regardless_of_earlier_answers() -> None:
    """A command started a task in a session that had no answer yet. Since the last answer to the
    former session was a lease ago, the task was taken for ended, and it ran twice."""
    world = started_world(machines=1)
    node, machine = owner_of(world, next(iter(world.workers)))
    known_when_sent = machine.known_state
    machine.last_answer_at = Instant(node.context.now - node.context.lease_s + 0.1)
    new_session_report = t.Report(
        machine.id,
        machine.addr,
        "m4",
        machine.record.zone,
        False,
        Session(machine.session + 1),
        0,
        machine.token,
        None,
        (),
    )
    assert node.fleet.reports.apply(new_session_report, known_when_sent)
    job = Job(spec("j-000810"), 1)  # type: ignore[arg-type]
    placement = node.fleet.placements.place(job, 0, machine, machine.share.next_attempt())
    node.context.now = Instant(node.context.now + 1.0)
    node.fleet.tick()
    assert placement.active


def test_orders_sent_in_an_answer_are_expected_in_the_next_report() -> None:
    world = started_world(machines=1)
    node, machine = owner_of(world, next(iter(world.workers)))
    world.run(2.0)
    job = Job(spec("j-000800"), 1)  # type: ignore[arg-type]
    node.fleet.placements.place(job, 0, machine, machine.share.next_attempt())
    assert node.fleet.commands.orders(machine, answering=True)
    assert not machine.suspected
    token, number = machine.token_seen, machine.seq + 1
    node.fleet.reports.apply(
        t.Report(
            machine.id,
            machine.addr,
            "m4",
            machine.record.zone,
            False,
            machine.session,
            number,
            token,
            None,
            (),
        )
    )
    assert machine.suspected and not node.fleet.usable(machine)


def test_duplicate_report_right_after_a_worker_restart_is_rejected() -> None:
    """Until the restarted worker has reported a token of this owner, only the raised token tells
    its reports from those before the restart."""
    world = started_world(machines=1)
    node, machine = owner_of(world, next(iter(world.workers)))
    old_report = t.Report(
        machine.id,
        machine.addr,
        "m4",
        machine.record.zone,
        False,
        Session(machine.session + 4),
        100,
        machine.token_seen,
        None,
        (),
    )
    known_when_sent = machine.known_state
    new_report = old_report._replace(session=Session(1), seq=0, token=Token(0))
    assert node.fleet.reports.apply(new_report, known_when_sent)
    assert machine.session == 1 and machine.suspected
    assert not node.fleet.reports.apply(old_report)
    assert machine.session == 1


def test_new_session_makes_the_machine_suspected() -> None:
    """The worker's lease ended although its reports arrived, so the answers did not reach it."""
    world = started_world(machines=1)
    node, machine = owner_of(world, next(iter(world.workers)))
    world.run(2.0)
    assert not machine.suspected
    node.fleet.reports.apply(
        t.Report(
            machine.id,
            machine.addr,
            "m4",
            machine.record.zone,
            False,
            Session(machine.session + 1),
            0,
            machine.token_seen,
            None,
            (),
        )
    )
    assert machine.suspected and not node.fleet.usable(machine)


def test_start_order_that_was_never_sent_is_undone_at_once() -> None:
    world = started_world(machines=1)
    node, machine = owner_of(world, next(iter(world.workers)))
    world.run(2.0)
    job = Job(spec("j-000820"), 1)  # type: ignore[arg-type]
    placement = node.fleet.placements.place(job, 0, machine, machine.share.next_attempt())
    node.context.effects.clear()
    node.fleet.commands.push()
    command = next(e for e in node.context.effects if isinstance(e, t.Command))
    node.handle(node.context.now, t.Outcome(command.tag, 0, None, sent=False))
    assert not placement.active and placement.task not in node.fleet.placements.by_task
    # A start order that an answer has carried meanwhile may have reached the machine.
    node.context.now = Instant(node.context.now + 1.1)
    answered_placement = node.fleet.placements.place(job, 1, machine, machine.share.next_attempt())
    node.context.effects.clear()
    node.fleet.commands.push()
    command = next(e for e in node.context.effects if isinstance(e, t.Command))
    node.fleet.commands.orders(machine, answering=True)
    node.handle(node.context.now, t.Outcome(command.tag, 0, None, sent=False))
    assert answered_placement.active
