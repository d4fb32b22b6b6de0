"""Simulated clusters shared by two organisations, and a checker of which node counts a machine."""

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
CHECK_INTERVAL_S = 0.02
CONTENDED_TASKS = 400  # far more than the machines of any test


def settings(**changes: Any) -> EntitlementSettings:
    organisations = tuple(Organisation(name, teams) for name, teams in TEAMS.items())
    return EntitlementSettings(organisations, **changes)


class CountingChecker:
    """Records machines that two nodes count as their own at once, or that no node counts.

    A node counts a machine of its fleet while it may command the machine's share and has not asked
    the store to record another owner. After that request it waits for the answer.
    """

    def __init__(self, world: World) -> None:
        self.world = world
        self.counted_twice: list[str] = []
        self.uncounted_since: dict[str, float] = {}
        self.longest_uncounted_s = 0.0  # longest time that no node counted a recorded machine
        world.after(CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self.world.after(CHECK_INTERVAL_S, self._check)
        counted: dict[str, list[str]] = {}
        for member, node in self.world.nodes.items():
            if node is None:
                continue
            if isinstance(node, Node):  # a node reads the clock before it acts
                node.context.now = max(node.context.now, Instant(self.world.now))
            for machine in node.fleet.machines.values():
                if node.shares.may_command(machine.share.number) and not machine.moving:
                    counted.setdefault(str(machine.id), []).append(member)
        for id, members in counted.items():
            if len(members) > 1:
                self.counted_twice.append(f"{self.world.now:.2f}: {id} by {', '.join(members)}")
        for id in self.recorded_machines():
            if id in counted:
                self.uncounted_since.pop(id, None)
            else:
                since = self.uncounted_since.setdefault(id, self.world.now)
                self.longest_uncounted_s = max(self.longest_uncounted_s, self.world.now - since)

    def recorded_machines(self) -> list[str]:
        return [
            key.rpartition("/")[2]
            for key, (value, _, _) in self.world.state.data.items()
            if key.startswith("rc/machine/") and not value.get("gone") and not value["leaving"]
        ]


class PoolWorld(World):
    """A `World` with two organisations; machines are neither returned nor hired again."""

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

    # --- jobs ------------------------------------------------------------------------

    def submit_array(
        self, organisation: str, tasks: int, estimate_s: float = 3.0, **changes: Any
    ) -> str:
        """Submits one job per team; each task needs a whole machine. Returns the last job."""
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
        """Returns the organisation of a share according to the stored mapping."""
        names = self.state.data["rc/mapping"][0]["dealt"]
        teams = {n for k, n in enumerate(names) if k % len(self.members) == share and n}
        return next((org for org, team_names in TEAMS.items() if teams & set(team_names)), None)

    def holdings(self) -> Counter[str | None]:
        """Counts the machines of each organisation in the stored records."""
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

    def holdings_near(self, **machines: int) -> bool:
        """Returns whether each organisation holds the given number of machines, within one."""
        held = self.holdings()
        return all(abs(held[name] - number) <= 1 for name, number in machines.items())

    def assert_rules_hold(self) -> bool:
        """Asserts that no rule was broken and no machine was counted twice."""
        assert not self.violations
        assert not self.checker.counted_twice
        return True


def limits(weights: dict[str, float]) -> list[OrganisationLimits]:
    return [OrganisationLimits(name, 0.0, weight) for name, weight in weights.items()]


def recorded_pool(members: tuple[str, ...] = MEMBERS, **changes: Any) -> PoolWorld:
    """Returns an idle cluster whose machines are recorded and that may store divisions."""
    world = PoolWorld(members, **changes)
    world.until(lambda: len(world.checker.recorded_machines()) == len(world.workers), 20)
    world.until(lambda: "rc/format" in world.state.data, 20)
    return world


def contended_pool(
    members: tuple[str, ...] = MEMBERS, estimate_s: float = 3.0, **changes: Any
) -> PoolWorld:
    """Returns an evenly divided cluster; both organisations wait for far more machines."""
    world = recorded_pool(members, **changes)
    for organisation in TEAMS:
        world.submit_array(organisation, CONTENDED_TASKS, estimate_s)
    half = len(world.workers) // 2
    world.until(lambda: world.holdings_near(dealers=half, registry=half), MINUTE_S)
    return world
