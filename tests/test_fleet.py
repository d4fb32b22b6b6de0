"""Tests fleets of hundreds of machines, and failures of many machines at once."""

import asyncio
from typing import Any

from world import FIVE_MEMBERS, World, spec

from runcourse.core.types import CloudMachine
from runcourse.net.clients import Cloud
from runcourse.wire import codec


def machines_by_share(world: World) -> dict[int, int]:
    """Returns the number of machines of each share in the state service."""
    counts: dict[int, int] = {}
    for key, (value, _, _) in world.state.data.items():
        if key.startswith("rc/machine/") and not value.get("gone"):
            counts[value["share"]] = counts.get(value["share"], 0) + 1
    return counts


def test_hundreds_of_machines_are_adopted_and_assigned_while_all_nodes_restart() -> None:
    world = World(machines=930, members=FIVE_MEMBERS)
    world.run(1.5)
    for member in FIVE_MEMBERS:
        world.crash(member)
        world.after(0.1, lambda m=member: world.start(m))  # type: ignore[misc]
    world.until(lambda: sum(machines_by_share(world).values()) == 930, 15)
    by_share = machines_by_share(world)
    # Machines are divided by teams: four shares have one team each; the fifth has none and gets
    # half as many machines.
    assert set(by_share) == set(range(5)) and min(by_share.values()) > 930 / 10
    assert not world.violations


def test_replicas_recover_after_many_machines_and_nodes_fail_at_once() -> None:
    """No task runs twice and all lost replicas run again after dozens of machines stop, hang, are
    cut off or restart without memory, while two nodes crash and one pauses."""
    world = World(machines=60, members=FIVE_MEMBERS, cpus_max=60.0, lease_s=12.0)
    world.capacity = 60
    world.run(5.0)
    for n in range(4):
        world.submit(spec(f"j-00070{n}", service=True, tasks=8, team=f"team-{n}", rank=0))
        world.submit(spec(f"j-00071{n}", tasks=20, team=f"team-{n}", estimate_s=6.0))
    world.run(6.0)
    services = [f"j-00070{n}" for n in range(4)]

    def running_replicas() -> int:
        return sum(task.job in services for task, _ in world.on_machines())

    world.until(lambda: running_replicas() == 32, 20)
    workers = list(world.workers.values())
    world.hold_commands = True
    for worker in workers[:12]:
        worker.alive = False
    for worker in workers[12:24]:
        worker.hung = True
        world.after(8.0, lambda w=worker: setattr(w, "hung", False))  # type: ignore[misc]
    cut_links = {frozenset((w.id, m)) for w in workers[24:36] for m in FIVE_MEMBERS}
    world.cut_links |= cut_links  # for longer than a lease; the messages arrive late
    world.after(16.0, lambda: world.cut_links.difference_update(cut_links))
    world.after(16.1, world.deliver_held)
    for worker in workers[36:48]:
        worker.restart_without_state()
    for member in FIVE_MEMBERS[:2]:
        world.crash(member)
        world.after(0.2 if member == "n0" else 7.0, lambda m=member: world.start(m))  # type: ignore[misc]
    world.freeze(FIVE_MEMBERS[2], 6.0)
    failed_at = world.now
    world.until(lambda: running_replicas() == 32, 60)
    recovery_s = world.now - failed_at
    assert recovery_s < 3.5 * 12.0, recovery_s
    world.until(lambda: all(world.poll(f"j-00071{n}") == "done" for n in range(4)), 120)
    world.run(5.0)
    world.deliver_held()
    world.run(3.0)
    assert running_replicas() == 32 and not world.violations


def test_machine_list_of_several_pages_is_used_only_if_read_completely() -> None:
    ids = [f"i-{n:06d}" for n in range(1, 931)]

    class PagedCloud(Cloud):
        fail_at = ""

        async def _call_paced(self, method: str, target: str, body: Any, read: Any) -> Any:
            since = target.partition("since=")[2]
            if since == self.fail_at and since:
                return 503, None, True
            page = [id for id in ids if id > since][:500]
            hosts = [{"uid": id, "hull": "m4", "yard": "a"} for id in page]
            return 200, read(codec.encode({"hosts": hosts, "has_next": page[-1] != ids[-1]})), True

    cloud = PagedCloud("127.0.0.1", 1, 10.0)
    status, machines, _ = asyncio.run(cloud.list_machines())
    assert status == 200 and [m.id for m in machines] == ids
    assert all(isinstance(m, CloudMachine) for m in machines)
    cloud.fail_at = ids[499]
    assert asyncio.run(cloud.list_machines())[0] == 503
