"""Worlds whose machines two organisations share, and a checker of who counts which machine."""

from __future__ import annotations

from collections import Counter
from typing import Any

from world import MEMBERS, World, spec

from runcourse.config import Operators
from runcourse.core import types as t
from runcourse.core.ids import Instant
from runcourse.core.node import Node
from runcourse.core.stored_values import OrganisationLimits
from runcourse.entitlements.settings import EntitlementSettings, Organisation

MACHINE_CPUS = 4.0
DEALERS, REGISTRY = "dealers", "registry"
TEAMS = {DEALERS: ("team-0", "team-1"), REGISTRY: ("team-2", "team-3")}
LONG_S = 4000.0
MINUTE_S = 60.0

Holding = tuple[str, int]  # a node's process


def settings(**changes: Any) -> EntitlementSettings:
    organisations = tuple(Organisation(name, teams) for name, teams in TEAMS.items())
    return EntitlementSettings(organisations, **changes)


class CountingChecker:
    """Notes which process counts which machine as its own, as every node sees it.

    A node counts a machine that is among its own while it may command the machine's share, and
    until it asks the store to record it otherwise: from then on it waits for the answer.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.counted_twice: list[str] = []
        self.alone_since: dict[str, float] = {}
        self.longest_uncounted_s = 0.0  # seconds for which a recorded machine was counted by nobody
        world.after(0.02, self._look)

    def _look(self) -> None:
        self.world.after(0.02, self._look)
        counted: dict[str, list[str]] = {}
        for member, node in self.world.nodes.items():
            if node is None:
                continue
            if isinstance(node, Node):  # it can't act before it sees the time
                node.context.now = max(node.context.now, Instant(self.world.now))
            for machine in node.fleet.machines.values():
                if node.shares.may_command(machine.share.number) and not machine.moving:
                    counted.setdefault(str(machine.id), []).append(member)
        for id, members in counted.items():
            if len(members) > 1:
                self.counted_twice.append(f"{self.world.now:.2f}: {id} by {', '.join(members)}")
        for id in self.recorded_machines():
            if id in counted:
                self.alone_since.pop(id, None)
            else:
                since = self.alone_since.setdefault(id, self.world.now)
                self.longest_uncounted_s = max(self.longest_uncounted_s, self.world.now - since)

    def recorded_machines(self) -> list[str]:
        return [
            key.rpartition("/")[2]
            for key, (value, _, _) in self.world.state.data.items()
            if key.startswith("rc/machine/") and not value.get("gone") and not value["leaving"]
        ]


class PoolWorld(World):
    """A world with two organisations; machines are neither returned nor hired anew."""

    def __init__(
        self,
        members: tuple[str, ...] = MEMBERS,
        machines: int = 12,
        first: EntitlementSettings | None = None,
        **changes: Any,
    ) -> None:
        values: dict[str, Any] = {"cpus_max": 400.0, "operators": Operators(idle_return=1e6)}
        super().__init__(
            machines=machines,
            members=members,
            entitlements=first or settings(),
            **{**values, **changes},
        )
        self.checker = CountingChecker(self)
        self.jobs = 0

    # --- work ------------------------------------------------------------------------

    def submit_array(
        self, organisation: str, tasks: int, estimate_s: float = 3.0, **changes: Any
    ) -> str:
        """Waiting work of the organisation: a machine for each task, one job for each team."""
        uid = ""
        for team in TEAMS[organisation]:
            self.jobs += 1
            uid = f"j-{self.jobs:06d}"
            values: dict[str, Any] = {"cpus": 4.0, "estimate_s": estimate_s, "team": team}
            self.submit(
                spec(uid, tasks=(tasks + 1) // 2, **{**values, **changes}), self.first_live_member()
            )
        return uid

    def submit_replicas(self, organisation: str, tasks: int) -> str:
        return self.submit_array(organisation, tasks, 0.0, service=True, rank=0)

    def first_live_member(self) -> str:
        return next(m for m in self.members if self.nodes[m] is not None)

    def running_tasks(self, organisation: str, service: bool = False) -> int:
        return sum(
            1
            for task, _ in self.on_machines()
            if self.specs[task.job].team in TEAMS[organisation]
            and self.specs[task.job].service == service
        )

    # --- the division ----------------------------------------------------------------

    def request(self, member: str, action: str, **values: Any) -> t.DivisionAnswer | None:
        event = t.DivisionRequest(0, action, **values)  # type: ignore[arg-type]
        answer: Any = self._user(member, event)
        return answer

    def apply(
        self, weights: dict[str, float], expect: int, member: str = "n0", **values: Any
    ) -> t.DivisionAnswer | None:
        return self.request(
            member, "apply", expect=expect, limits=limits(weights), author=member, **values
        )

    def version(self) -> int:
        stored = self.state.data.get("rc/division")
        return int(stored[0]["current"]["version"]) if stored else 0

    # --- the pool --------------------------------------------------------------------

    def organisation_of_share(self, share: int) -> str | None:
        """Whom a share serves, by the stored mapping alone."""
        names = self.state.data["rc/mapping"][0]["dealt"]
        teams = {n for k, n in enumerate(names) if k % len(self.members) == share and n}
        return next((org for org, own in TEAMS.items() if teams & set(own)), None)

    def holdings(self) -> Counter[str | None]:
        """Machines of each organisation, as the records have it."""
        return Counter(
            self.organisation_of_share(value["share"])
            for key, (value, _, _) in self.state.data.items()
            if key.startswith("rc/machine/") and not value.get("gone") and not value["leaving"]
        )

    def leader(self) -> Node:
        name = self.state.data["rc/leader"][0]["member"]
        node = self.nodes[name]
        assert node is not None
        return node

    def leads(self) -> bool:
        stored = self.state.data.get("rc/leader")
        return stored is not None and self.nodes[stored[0]["member"]] is not None

    def holdings_near(self, **machines: int) -> bool:
        """Does each organisation hold so many machines, within one?"""
        held = self.holdings()
        return all(abs(held[name] - number) <= 1 for name, number in machines.items())

    def assert_rules_hold(self) -> bool:
        """No rule broken, no machine counted twice."""
        assert not self.violations
        assert not self.checker.counted_twice
        return True


def limits(weights: dict[str, float]) -> list[OrganisationLimits]:
    return [OrganisationLimits(name, 0.0, weight) for name, weight in weights.items()]


def recorded_pool(members: tuple[str, ...] = MEMBERS, **changes: Any) -> PoolWorld:
    """Nothing runs; every machine is on record, and divisions may be stored."""
    world = PoolWorld(members, **changes)
    world.until(lambda: len(world.checker.recorded_machines()) == len(world.workers), 20)
    world.until(lambda: "rc/format" in world.state.data, 20)
    return world


def contended_pool(
    members: tuple[str, ...] = MEMBERS, estimate_s: float = 3.0, **changes: Any
) -> PoolWorld:
    """Both organisations ask for far more than there is; the pool is divided evenly."""
    world = recorded_pool(members, **changes)
    for organisation in TEAMS:
        world.submit_array(organisation, 400, estimate_s)
    half = len(world.workers) // 2
    world.until(lambda: world.holdings_near(dealers=half, registry=half), MINUTE_S)
    return world
