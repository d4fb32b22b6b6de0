"""Settings, constants and job specifications of the simulated cluster."""

from __future__ import annotations

from typing import Any

from runcourse.config import (
    CloudSettings,
    Deployment,
    Peer,
    Platform,
    Services,
    StateSettings,
    TeamSettings,
    WorkerSettings,
)
from runcourse.core import types as t
from runcourse.core.jobs import JobSpec

LEASE_S = 6.0
REPORT_S = 1.0
CANCEL_S = 20.0
GANG_WAIT_S = 8.0
GANG_PEER_S = 2.0
TYPE = t.MachineType("m4", 4.0, 16.0, 0.0, 40.0, 1.0, 1.0, 0.3, 2.0, ("a", "b", "c"))
MEMBERS = ("n0", "n1", "n2")
FIVE_MEMBERS = (*MEMBERS, "n3", "n4")
ZONES = ("a", "b", "c")


def platform(
    member: str,
    cpus_max: float = 16.0,
    members: tuple[str, ...] = MEMBERS,
    objectives: tuple[Any, ...] = (),
    lease_s: float = LEASE_S,
) -> Platform:
    return Platform(
        member=member,
        area="a",
        api_addr="127.0.0.1:1",
        internal_addr="127.0.0.1:2",
        services=Services("127.0.0.1:3", "127.0.0.1:4"),
        peers=tuple(Peer(m, "a", "127.0.0.1:5") for m in members if m != member),
        settings=Deployment(
            nodes=len(members),
            zones=ZONES,
            objectives=objectives,
            teams=tuple(TeamSettings(f"team-{i}", 4.0, cpus_max) for i in range(4)),
            workers=WorkerSettings(REPORT_S, lease_s, CANCEL_S, GANG_WAIT_S, GANG_PEER_S),
            state=StateSettings(rps=400.0, write_rps=200.0),
            cloud=CloudSettings(10.0, 2.0),
        ),
    )


def ignore_result(value: Any) -> None:
    """Discards a value in a lambda that is called for its side effect."""


def spec(uid: str, tasks: int = 2, **changes: Any) -> JobSpec:
    values: dict[str, Any] = {
        "uid": uid,
        "lane": "x",
        "team": "team-0",
        "service": False,
        "rank": 1,
        "tasks": tasks,
        "cpus": 2.0,
        "gpus": 0.0,
        "memory": 4.0,
        "image": "img",
        "image_gb": 0.2,
        "estimate_s": 2.0,
    }
    values.update(changes)
    return JobSpec(**values)
