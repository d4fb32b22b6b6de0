"""Bounds that hold for large fleets: sizes of messages, queues, connections and counters."""

import random
from typing import Any

import pytest
from mixed_versions import needs_production_history
from test_cloud import leader
from test_failure_regressions import started_world
from test_safety_checks import owner_and_machine
from test_sockets import REPORT_PATH, run_with_server
from world import World, platform, spec

from runcourse.config import Operators
from runcourse.core import types as t
from runcourse.core.finishes import FLUSH_GAP_S
from runcourse.core.ids import (
    COUNTER_BITS,
    Instant,
    JobId,
    MachineId,
    Member,
    ShareNo,
    Stamp,
    highest_epoch,
    make_attempt,
)
from runcourse.core.jobs import Job, Jobs, job_value
from runcourse.core.leader.adoption import MAX_OPEN_TRANSACTIONS, FoundMachine
from runcourse.core.leader.demand import LOAD_PAGE, LOAD_VALID_S, LoadPages
from runcourse.core.leader.inventory import LIST_PAGE
from runcourse.core.leader.transfers import MAX_CHANGE_BACKLOG_S
from runcourse.core.node import Node
from runcourse.core.running_counts import RUNNING_PAGE, PeerCounts, RunningPages
from runcourse.core.shares import OwnedShare
from runcourse.core.stored_values import MACHINE, GoneMachine, MachineValue
from runcourse.core.users import FAIR_BACKLOG_S
from runcourse.core.versions import PAGED_LOADS_VERSION
from runcourse.net.http import CLOSED_PER_ROTATION, Client, Server
from runcourse.wire.peer_messages import (
    Heartbeat,
    MachineLoad,
    ReturnMachine,
    ShareLoad,
    encode,
)

# --- attempt numbers ---------------------------------------------------------------------


def test_attempt_numbers_stay_unique_beyond_a_million_starts() -> None:
    """At 4,000 machines an owner starts a million tasks within an hour. An overflow of the
    counter's bits made the owner reuse earlier attempt numbers."""
    million = 1 << COUNTER_BITS
    owned_share = OwnedShare(ShareNo(0), Stamp(5), Instant(0.0))
    first = owned_share.next_attempt()
    owned_share._attempts = million - 1
    beyond = [owned_share.next_attempt() for _ in range(3)]
    assert len({first, *beyond}) == 4 and [first, *beyond] == sorted([first, *beyond])
    assert beyond[-1] < make_attempt(Stamp(7), 0), "lower than any number of the next owner"
    assert highest_epoch(Stamp(5), million) == 6


def test_no_start_with_an_attempt_number_that_another_owner_may_use() -> None:
    """A counter overflow yields the number of a later epoch. As long as the store has not reached
    that revision, the next owner of the share may use the same number."""
    node, machine = owner_and_machine(started_world())
    owned_share = machine.share
    owned_share._attempts = (int(node.store.applied - owned_share.epoch) + 1 << COUNTER_BITS) - 1
    job = Job(spec("j-000001", tasks=1), Stamp(owned_share.epoch + 1))
    node.scheduler._open(job, owned_share.number)
    node.scheduler._run_turn(owned_share)
    assert node.scheduler.work[job.uid].pending
    node.store.applied = Stamp(node.store.applied + 1)
    node.scheduler._run_turn(owned_share)
    assert not node.scheduler.work[job.uid].pending


# --- messages between controllers --------------------------------------------------------


def test_heartbeats_page_job_counts_and_recover_from_lost_pages() -> None:
    counts: dict[JobId, int] = {}
    changed: dict[JobId, None] = {}
    pages, peer_counts = RunningPages(counts, changed), PeerCounts()
    rng = random.Random(3)

    def set_count(number: int, count: int) -> None:
        uid = JobId(f"j-{number:06d}")
        if count:
            counts[uid] = count
        else:
            counts.pop(uid, None)
        changed[uid] = None

    def send_heartbeat(lost: bool = False) -> None:
        begins, page = pages.next()
        assert len(page) <= RUNNING_PAGE
        line = encode(Heartbeat(True, page, [], 1, begins))
        assert len(line) < 64 * 1024
        if not lost:
            peer_counts.record(Member("n1"), begins, page)

    for number in range(5 * RUNNING_PAGE):
        set_count(number, 1 + number % 3)
    for _ in range(12):
        send_heartbeat()
    assert all(peer_counts.of(uid) == count for uid, count in counts.items())
    set_count(7, 9)
    set_count(8, 0)
    send_heartbeat()
    assert peer_counts.of(JobId("j-000007")) == 9 and peer_counts.of(JobId("j-000008")) == 0, (
        "changes are sent first"
    )
    for number in rng.sample(range(5 * RUNNING_PAGE), 500):
        set_count(number, 0)
    for n in range(24):
        send_heartbeat(lost=n < 4)
    for number in range(5 * RUNNING_PAGE):
        uid = JobId(f"j-{number:06d}")
        assert peer_counts.of(uid) == counts.get(uid, 0)


def test_owners_report_machines_to_the_leader_in_pages() -> None:
    node = leader(started_world(machines=9))
    share = next(iter(node.shares.owned))
    machines = node.fleet.of_share(share)
    pages = LoadPages(node.fleet, share)
    assert [m.id for m in pages.next()] == [m.id for m in machines]

    class ManyMachinePages(LoadPages):
        def all(self) -> list[Any]:
            return [next(iter(machines))] * (2 * LOAD_PAGE + 1)

    pages_of_many = ManyMachinePages(node.fleet, share)
    assert [len(pages_of_many.next()) for _ in range(4)] == [LOAD_PAGE, LOAD_PAGE, 1, LOAD_PAGE]
    loads = {f"i-{n:06d}": MachineLoad(100.25, 1000.5, 31.5) for n in range(LOAD_PAGE)}
    assert len(encode(ShareLoad(share, 1e5, loads, []))) < 64 * 1024


@needs_production_history
def test_leader_of_former_version_receives_all_machines_in_one_message() -> None:
    world = World(machines=9, on_production=True)
    world.run(5.0)
    leader_of_former_version = next(
        m for m, n in world.nodes.items() if n and n.fleet_planner.leadership.leading
    )
    upgraded = next(m for m in world.members if m != leader_of_former_version)
    world.crash(upgraded)
    world.production_members.discard(upgraded)
    world.start(upgraded)
    node = world.nodes[upgraded]
    assert node is not None
    world.until(lambda: bool(node.shares.owned) and bool(node.fleet.machines), 10.0)
    node.fleet_planner._pages = {}
    node.context.effects.clear()
    with pytest.MonkeyPatch.context() as patched:
        patched.setattr("runcourse.core.leader.demand.LOAD_PAGE", 1)
        assert not node.versions.reads(Member(leader_of_former_version), PAGED_LOADS_VERSION)
        node.fleet_planner._report_loads()
    sent = [e.message for e in node.context.effects if isinstance(e, t.SendToPeer)]
    (share_load,) = [m for m in sent if isinstance(m, ShareLoad)]
    assert len(share_load.machines) == len(node.fleet.of_share(share_load.share)) > 1


# --- writes to the state service ---------------------------------------------------------


def test_recording_a_fleet_leaves_write_capacity_for_users() -> None:
    """The state service takes most of a minute to write 4,000 records, and a submission was queued
    behind all of them."""
    node = leader(started_world(machines=1))
    adoption, queued = node.fleet_planner.adoption, node.store._queued
    found = [
        FoundMachine(MachineId(f"i-9{n:05d}"), "m4", "a", False, ShareNo(0)) for n in range(4000)
    ]
    node.store._write_budget.rate, node.store._write_budget.level = 0.1, 0.0
    adoption.adopt(found[:1])
    assert queued[node.store.OWNER] == 1, "a few records are written first, as tasks wait for them"
    adoption.adopt(found)
    assert queued[node.store.OWNER] == 1
    assert queued[node.store.USER] == (MAX_OPEN_TRANSACTIONS - 1) * node.context.limits.txn_ops


def test_conflict_on_one_machine_record_does_not_block_the_rest_of_its_batch() -> None:
    node = leader(started_world(machines=1))
    found = [FoundMachine(MachineId(f"i-9{n:05d}"), "m4", "a", False, ShareNo(0)) for n in range(3)]
    node.context.effects.clear()
    node.store._write_budget.level = 1e9
    node.fleet_planner.adoption.adopt(found)
    batch = next(e for e in node.context.effects if isinstance(e, t.Commit))
    assert len(batch.then) == 3
    concurrent_value = MachineValue(ShareNo(1), "m4", "a", False, False)
    node.store._apply(MACHINE + found[0].id, concurrent_value, Stamp(node.store.applied + 1))
    node.context.effects.clear()
    batch.tag(t.Outcome(batch.tag, 409, None, began=node.context.now))
    node.store._flush()
    retried_keys = [e.then[0].key for e in node.context.effects if isinstance(e, t.Commit)]
    assert sorted(retried_keys) == [MACHINE + machine.id for machine in found[1:]]
    assert found[0].id not in node.fleet_planner.adoption._pending_records


def test_returning_a_fleet_leaves_write_capacity_for_users_and_machines_for_work() -> None:
    world = started_world(machines=60)
    node = owner_and_machine(world)[0]
    machines = list(node.fleet.machines.values())
    writes = node.store._write_budget
    writes.rate, writes.level, writes.at = 8.0, 0.0, node.context.now
    for machine in machines:
        node.fleet_planner.transfers.handle(ReturnMachine(machine.id))
    moving = [m for m in machines if m.moving]
    assert 1 <= len(moving) == node.store.max_changes(MAX_CHANGE_BACKLOG_S) < len(machines)
    assert 0.0 < node.store.backlog <= FAIR_BACKLOG_S, (
        "no submission is refused because of the backlog"
    )


def test_records_of_returned_machines_queue_behind_users_and_are_released_once() -> None:
    """Guards against a write queue filled by returns: the leader refused 20 of 22 submissions while
    848 machines were returned."""
    world = started_world(machines=60)
    node = leader(world)
    inventory, store = node.fleet_planner.inventory, node.store
    ids = list(node.fleet.records)[:50]
    for id in ids:
        node.fleet.leaving[id] = None
    node.context.effects.clear()
    store._write_budget.rate, store._write_budget.level, store._write_budget.at = (
        8.0,
        0.0,
        node.context.now,
    )
    inventory.release_leaving()
    (release,) = [e for e in node.context.effects if isinstance(e, t.Release)]
    assert set(release.machines) == set(ids)
    release.tag(t.Outcome(release.tag, 200, None, began=node.context.now))
    size = node.context.limits.txn_ops
    assert store._queued[store.OWNER] == size and store._queued[store.BACKGROUND] == 50 - size
    node.context.effects.clear()
    inventory.release_leaving()
    assert not [e for e in node.context.effects if isinstance(e, t.Release)], (
        "each machine is released only once"
    )


def test_deletion_of_returned_machine_records_keeps_up_with_returns() -> None:
    node = leader(started_world(machines=1))
    inventory, size = node.fleet_planner.inventory, node.context.limits.txn_ops
    inventory.largest_fleet = 0
    for n in range(1000 + 500):
        key = f"{MACHINE}i-{500_000 + n}"
        node.store._apply(key, GoneMachine(), Stamp(10_000 + n))
    before = sum(node.store._queued) + len(node.context.effects)
    inventory._forget_gone(100)
    forgotten = [
        w.key
        for e in [*node.context.effects, *(c for _, _, c in node.store._queue)]
        if isinstance(e, t.Commit)
        for w in e.then
        if w.value is None
    ]
    assert len(forgotten) == size + 200 and before == 0
    assert f"{MACHINE}i-500000" in forgotten, "the oldest record is deleted"


def test_unstored_finishes_are_processed_only_when_due() -> None:
    """Guards against a scan of every job with a finished task on each input."""
    node, machine = owner_and_machine(started_world())
    finishes, share = node.scheduler.finishes, machine.share.number
    stored: list[JobId] = []
    finishes.store_finished = lambda work, complete: stored.append(work.job.uid)  # type: ignore[method-assign]
    works = []
    for n in range(50):
        job = Job(spec(f"j-1{n:05d}", tasks=5), Stamp(machine.share.epoch + 1))
        node.scheduler._open(job, share)
        works.append(node.scheduler.work[job.uid])
        works[-1].flushed_at = Instant(node.context.now - FLUSH_GAP_S + 0.01 * (n + 1) + 0.001)
        finishes.add(works[-1], 0)
    finishes.flush()
    assert not stored
    node.context.now = Instant(node.context.now + 0.2051)
    finishes.flush()
    assert len(stored) == 20
    for number in range(1, 5):
        finishes.add(works[40], number)
    finishes.flush()
    assert stored[20:] == [works[40].job.uid], "a finish that completes a job is not delayed"


def test_finishes_of_many_jobs_use_at_most_half_the_write_rate() -> None:
    """Guards against hundreds of arrays that each store a change per second, which is more than the
    state service takes."""
    node, machine = owner_and_machine(started_world())
    finishes, now = node.scheduler.finishes, node.context.now
    node.store._write_budget.rate = 20.0
    assert finishes._gap_s() == FLUSH_GAP_S
    for n in range(100):
        job = Job(spec(f"j-1{n:05d}", tasks=5), Stamp(machine.share.epoch + 1))
        node.scheduler._open(job, machine.share.number)
        work = node.scheduler.work[job.uid]
        work.flushed_at = now
        finishes.add(work, 0)
    assert 100 / finishes._gap_s() <= 0.5 * 20.0
    assert finishes._due_at[JobId("j-100099")] >= now + 9.9
    for number in range(1, 5):
        finishes.add(node.scheduler.work[JobId("j-100099")], number)
    assert finishes._due_at[JobId("j-100099")] <= now, (
        "a finish that completes a job is not delayed"
    )


def test_draining_machines_are_processed_one_per_tick() -> None:
    """With hundreds of draining machines, each tick searched every machine for a place for each of
    them, and a controller of 2,000 machines did nothing else. Found in a measurement with 4,000
    machines."""
    node, _ = owner_and_machine(started_world(machines=12))
    draining, processed = node.scheduler.draining, []
    draining._relocate_replicas = lambda machine: processed.append(machine.id)  # type: ignore[method-assign]
    machines = list(node.fleet.machines.values())[:3]
    for machine in machines:
        machine.draining_until = Instant(node.context.now + 45.0)
        draining._draining.append(machine)
    for _ in range(6):
        draining.tick()
    assert processed == [m.id for m in machines] * 2, "round-robin"
    machines[0].draining_until = node.context.now
    draining.tick()
    assert machines[0] not in draining._draining and len(draining._draining) == 2


def test_cancellations_are_found_by_revision() -> None:
    jobs = Jobs()
    order = list(range(1, 200))
    random.Random(1).shuffle(order)  # the initial read returns jobs in order of their names
    for n in order:
        job = spec(f"j-{n:06d}")
        jobs.apply_job(JobId(job.uid), job_value(job, "cancelled"), Stamp(n), 0.0)
    assert jobs.cancelled_since(Stamp(197)) == [JobId("j-000198"), JobId("j-000199")]
    assert len(jobs.cancelled_since(Stamp(0))) == 199


def test_machine_records_are_completed_despite_lost_answers_and_late_writes() -> None:
    """Records a fleet in many transactions, half of which fail through late writes or lost
    answers."""
    world = World(machines=300, operators=Operators(idle_return=1e6))
    world.run(0.5)
    world.late_writes, world.lost_answers = 0.25, 0.25
    world.run(25.0)
    world.late_writes = world.lost_answers = 0.0
    records = [k for k in world.state.data if k.startswith(MACHINE)]
    world.until(lambda: sum(k.startswith(MACHINE) for k in world.state.data) == 300, 20.0)
    world.run(3.0)
    assert len(records) > 100 and not world.violations
    node = leader(world)
    assert (
        not node.fleet_planner.adoption._pending_records and not node.fleet_planner.adoption._queue
    )
    held = [m.id for n in world.nodes.values() if n for m in n.fleet.machines.values()]
    assert len(held) == len(set(held)) == 300, "each machine belongs to one share"


@needs_production_history
def test_rolling_upgrade_with_paged_load_reports() -> None:
    """Leaders of the former version receive every machine in one message. Replicas keep running
    during the upgrade, and empty machines are returned."""
    with pytest.MonkeyPatch.context() as patched:
        patched.setattr("runcourse.core.leader.demand.LOAD_PAGE", 2)
        patched.setattr("runcourse.core.running_counts.RUNNING_PAGE", 2)
        world = World(machines=15, on_production=True, cpus_max=100.0)
        world.run(4.0)
        for n in range(4):
            job = spec(f"j-00005{n}", tasks=3, service=True, team=f"team-{n}", rank=0)
            world.submit(job)
        world.run(5.0)
        replicas = sorted(str(task) for task, _ in world.on_machines())
        assert len(replicas) == 12
        for member in world.members:
            world.crash(member)
            world.production_members.discard(member)
            world.run(0.5)
            world.start(member)
            world.run(12.0)
            assert sorted(str(task) for task, _ in world.on_machines()) == replicas
            assert len(world.workers) >= 6
        world.run(60.0)
        assert len(world.workers) < 15, "machines that stay empty are returned"
        assert sorted(str(task) for task, _ in world.on_machines()) == replicas
        assert not world.violations


# --- the cloud and the workers -----------------------------------------------------------


def test_long_machine_list_leaves_most_of_the_cloud_rate_to_hires() -> None:
    node = leader(started_world(machines=1))
    inventory, rps = node.fleet_planner.inventory, node.context.platform.settings.cloud.rps
    assert inventory._list_every_s() == 3.0
    inventory._listed_now = {MachineId(f"i-{n:06d}") for n in range(100 * LIST_PAGE)}
    assert 100 / inventory._list_every_s() == pytest.approx(rps / 4)


def test_machine_missing_from_the_list_is_kept_until_a_newer_owner_report() -> None:
    """Owners report their machines page by page, so a report older than the list does not prove
    that a machine is gone."""
    node = leader(started_world(machines=3))
    inventory, view, now = node.fleet_planner.inventory, node.fleet_planner.view, node.context.now
    id, record = next(iter(node.fleet.records.items()))
    missing = Instant(now - 1.0)
    view._last_loads[id] = (Instant(now - 2.0), MachineLoad(0.5, -1.0, 0.0))
    assert inventory._may_still_exist(id, missing), (
        "the report is older than the list, and the owner still reports"
    )
    view._last_loads[id] = (Instant(now - 0.5), MachineLoad(0.2, -1.0, 0.0))
    assert inventory._may_still_exist(id, missing), "the machine has reported since"
    view._last_loads[id] = (Instant(now - 0.5), MachineLoad(3.0, -1.0, 0.0))
    assert not inventory._may_still_exist(id, missing), (
        "a newer owner report says that the machine was silent since"
    )
    view._last_loads[id] = (Instant(now - 2.0), MachineLoad(0.5, -1.0, 0.0))
    node.fleet_planner.loads[record.share].at = Instant(now - LOAD_VALID_S - 0.1)
    assert not inventory._may_still_exist(id, missing), "its owner has stopped reporting"


def test_unknown_machines_are_probed_over_few_connections() -> None:
    node = leader(started_world(machines=1))
    node.context.effects.clear()
    for n in range(500):
        id = MachineId(f"i-8{n:05d}")
        node.fleet_planner.inventory._check_unknown(id, f"{id}:1", "m4", "a", False)
    probes = [e for e in node.context.effects if isinstance(e, t.Probe)]
    sockets = node.context.platform.settings.quota.sockets(len(node.context.members))
    assert 1 <= len(probes) == sockets.probes < 500


def test_suspected_machines_waiting_for_a_connection_are_not_rescanned() -> None:
    """Guards against a scan, on each input after a takeover, of all machines whose commands still
    wait for a connection."""
    world = started_world(machines=12)
    node, _ = owner_and_machine(world)
    commands = node.fleet.commands
    commands._max_open = 2
    for machine in node.fleet.machines.values():
        machine.next_command_at = Instant(0.0)
        commands.suspect(machine)
    commands.push()
    assert commands._open == 1 and not commands._dirty
    assert len(commands._waiting_suspected) == len(node.fleet.machines) - 1
    waiting = next(iter(commands._waiting_suspected))
    command = next(e for e in node.context.effects if isinstance(e, t.Command))
    node.context.effects.clear()
    command.tag(t.Outcome(command.tag, 0, None, sent=False, began=node.context.now))
    commands.push()
    assert waiting not in commands._waiting_suspected, "the machine that has waited longest is next"


def test_worker_connections_are_closed_in_rotation() -> None:
    """The first workers kept their connections for good, and all others had to connect again for
    each report."""

    async def send_reports(server: Server, port: int) -> None:
        workers = [Client("127.0.0.1", port, limit=1) for _ in range(12)]
        kept_counts: dict[int, int] = dict.fromkeys(range(12), 0)
        for _ in range(12 * CLOSED_PER_ROTATION):
            for number, worker in enumerate(workers):
                assert (await worker.request("POST", REPORT_PATH, b"x", 5.0))[0] == 200
                kept_counts[number] += bool(worker._idle) and not worker._idle[0].reader.at_eof()
            assert server.limited_open <= 5
        assert min(kept_counts.values()) > 0.25 * max(kept_counts.values()), kept_counts
        for worker in workers:
            worker.close()

    run_with_server(16, 5, send_reports)


# --- whole system ------------------------------------------------------------------------


def test_4000_machines_are_recorded_serve_and_survive_a_takeover() -> None:
    """Covers adoption, work and the loss of a controller with 4,000 machines: no worker's lease
    ends, and no message grows with the fleet."""

    class MessageSizeWorld(World):
        longest = 0

        def _send_to_peer(self, member: str, other: str, message: Any) -> None:
            self.longest = max(self.longest, len(encode(message)))
            super()._send_to_peer(member, other, message)

    operator_settings = Operators(idle_return=1e6)
    world = MessageSizeWorld(
        machines=4000, cpus_max=400.0, lease_s=12.0, operators=operator_settings
    )

    def recorded_machines() -> int:
        return sum(k.startswith(MACHINE) for k in world.state.data)

    def all_shares_settled() -> bool:
        holdings = [h for n in world.nodes.values() if n for h in n.shares.owned.values()]
        return len(holdings) == 3 and all(h.settled for h in holdings)

    world.until(lambda: recorded_machines() == 4000 and all_shares_settled(), 40.0)
    for n in range(4):
        world.submit(spec(f"j-00000{n}", tasks=40, service=True, team=f"team-{n}", rank=0))
        world.submit(spec(f"j-00001{n}", tasks=60, team=f"team-{n}", estimate_s=2.0))
    replicas = {f"j-00000{n}" for n in range(4)}

    def running_replicas() -> int:
        return sum(task.job in replicas for task, _ in world.on_machines())

    world.until(lambda: running_replicas() == 160, 15.0)
    sessions = sum(w.session for w in world.workers.values())
    starts = len([1 for _, task, _ in world.starts if task.job in replicas])
    world.crash("n0")
    world.run(1.0)
    world.until(all_shares_settled, 12.0)
    world.until(lambda: all(world.poll(f"j-00001{n}", "n1") == "done" for n in range(4)), 20.0)
    assert sum(w.session for w in world.workers.values()) == sessions, "no worker's lease ended"
    assert running_replicas() == 160 and starts == len(
        [1 for _, x, _ in world.starts if x.job in replicas]
    )
    assert 0 < world.longest < 64 * 1024 and not world.violations


def test_default_world_settings_leave_sockets_for_probes() -> None:
    node = Node(platform("n0"), Operators(), random.Random(1), Instant(0.0))
    assert node.fleet_planner.inventory._max_probes >= 1
