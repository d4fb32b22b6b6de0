"""Nodes of two older versions for the simulated cluster, from the repository's history.

`python3 tests/production.py` rewrites tests/data/production-store.json: the contents of the state
service after nodes of the production version have run a fixed scenario.
"""

from __future__ import annotations

import importlib
import json
import subprocess
import sys
import tarfile
import tomllib
from io import BytesIO
from pathlib import Path
from typing import Any

import msgspec

ROOT = Path(__file__).resolve().parent.parent
STORED = ROOT / "tests" / "data" / "production-store.json"
NAME = "runcourse_production"
BEFORE_DIVISIONS = "b05f62cde4411ec00cc403cf75df6431b102d9c4"


def commit() -> str:
    with (ROOT / "deploy" / "service.toml").open("rb") as file:
        return str(tomllib.load(file)["production"])


def checkout(version: str = "", name: str = NAME) -> Path | None:
    """Extracts a version's package as `name` and returns its parent directory.

    Returns None if the commit is not in the repository's history.
    """
    version = version or commit()
    directory = ROOT / "target" / "production" / version
    if not (directory / name / "core" / "node.py").exists():
        tree = subprocess.run(
            ["git", "archive", version, "runcourse"], cwd=ROOT, capture_output=True, check=False
        )
        if tree.returncode:
            return None
        directory.mkdir(parents=True, exist_ok=True)
        with tarfile.open(fileobj=BytesIO(tree.stdout)) as archive:
            for member in archive.getmembers():
                member.name = name + member.name.removeprefix("runcourse")
                archive.extract(member, directory, filter="data")
    return directory


def modules(version: str = "", name: str = NAME) -> dict[str, Any] | None:
    directory = checkout(version, name)
    if directory is None:
        return None
    if str(directory) not in sys.path:
        sys.path.insert(0, str(directory))
    parts = ("node", "types", "jobs")
    return {part: importlib.import_module(f"{name}.core.{part}") for part in parts}


# Names of effects, effect fields and inputs that differ in the production version.
_EFFECTS = {
    "Answer": "UserAnswer",
    "AnswerBeat": "ReportAnswer",
    "Extend": "ExtendLease",
    "Grant": "GrantLease",
    "Say": "SendToPeer",
}
_FIELDS = {"grant": "lease"}
_INPUTS = {
    "Cancel": "Withdraw",
    "PeerMessageReceived": "PeerSaid",
    "ReportReceived": "Beat",
}


class ProductionNode:
    """A node of the production version; inputs and effects are converted between types."""

    def __init__(self, platform: Any, operators: Any, rng: Any, now: Any) -> None:
        loaded = modules()
        assert loaded is not None
        self.types = loaded["types"]
        self.node = loaded["node"].Node(platform, operators, rng, now)
        # The present names, for tests that read attributes of nodes of either version.
        self.node.shares.owned = self.node.shares.mine
        self.node.rental.leadership = self.node.rental
        self.node.fleet_planner = self.node.rental

    def __getattr__(self, name: str) -> Any:
        return getattr(self.node, name)

    @staticmethod
    def _production_name(event: Any) -> str:
        name = type(event).__name__
        return _INPUTS.get(name, name)

    def _report(self, report: Any) -> Any:
        # Values that the wire module of that version decodes from a worker's report.
        tasks = tuple(
            self.types.TaskReport(
                e.task,
                e.attempt,
                "fetching" if e.stage == "waiting" else e.stage,
                "mates" if e.cause == "incomplete" else e.cause,
                e.saved,
            )
            for e in report.tasks
        )
        return self.types.Report(*report._replace(tasks=tasks))

    def handle(self, now: float, event: Any) -> list[Any]:
        from runcourse.core import types as t
        from runcourse.wire import peer_messages

        values = {f: getattr(event, f) for f in event.__struct_fields__}
        if isinstance(event, t.ReportReceived):
            values["report"] = self._report(event.report)
        if isinstance(event, t.PeerMessageReceived):  # it expects decoded JSON maps
            values["message"] = json.loads(peer_messages.encode(event.message))
        if isinstance(event, t.Outcome) and isinstance(event.body, t.Report):
            values["body"] = self._report(event.body)
        effects = self.node.handle(now, getattr(self.types, self._production_name(event))(**values))
        return [self._effect(e) for e in effects]

    def _effect(self, effect: Any) -> Any:
        from runcourse.core import types as t
        from runcourse.wire import peer_messages

        values = {_FIELDS.get(f, f): getattr(effect, f) for f in effect.__struct_fields__}
        if isinstance(effect, self.types.Say):
            line = msgspec.json.encode(effect.message)
            values["message"] = peer_messages.decode(line)
        name = type(effect).__name__
        return getattr(t, _EFFECTS.get(name, name))(**values)


class PreDivisionNode:
    """A node of the version before divisions; inputs and effects are converted between types."""

    name = "runcourse_before_divisions"

    def __init__(self, platform: Any, operators: Any, rng: Any, now: Any) -> None:
        loaded = modules(BEFORE_DIVISIONS, self.name)
        assert loaded is not None
        self.types = loaded["types"]
        self.messages = importlib.import_module(f"{self.name}.wire.peer_messages")
        self.node = loaded["node"].Node(platform, operators, rng, now)
        # The present name, for tests that read attributes of nodes of either version.
        self.node.fleet_planner = self.node.rental

    def __getattr__(self, name: str) -> Any:
        return getattr(self.node, name)

    def handle(self, now: float, event: Any) -> list[Any]:
        from runcourse.core import types as t
        from runcourse.wire import peer_messages

        values = {f: getattr(event, f) for f in event.__struct_fields__}
        if isinstance(event, t.PeerMessageReceived):
            values["message"] = self.messages.decode(peer_messages.encode(event.message))
        if isinstance(event, t.Outcome) and isinstance(event.body, t.Report):
            values["body"] = self.types.Report(*event.body)
        effects = self.node.handle(now, getattr(self.types, type(event).__name__)(**values))
        return [self._effect(e) for e in effects]

    def _effect(self, effect: Any) -> Any:
        from runcourse.core import types as t
        from runcourse.wire import peer_messages

        values = {f: getattr(effect, f) for f in effect.__struct_fields__}
        if isinstance(effect, self.types.SendToPeer):
            values["message"] = peer_messages.decode(self.messages.encode(effect.message))
        return getattr(t, type(effect).__name__)(**values)


def stored_state() -> dict[str, Any]:
    """Runs services and arrays on production nodes and returns the contents of the state service.

    One job is cancelled, one is half done.
    """
    from world import World, spec

    world = World(machines=9, cpus_max=100.0, on_production=True)
    world.run(4.0)
    world.submit(spec("j-000001", tasks=2, team="team-0", service=True, rank=0))
    world.submit(spec("j-000002", tasks=3, team="team-1", estimate_s=1.0))
    world.submit(spec("j-000003", tasks=2, team="team-2", estimate_s=200.0))
    world.submit(
        spec(
            "j-000004",
            tasks=30,
            team="team-3",
            estimate_s=2.0,
            types=("m4",),
            spread=True,
            deadline_s=60.0,
        )
    )
    world.run(12.0)
    world.cancel("j-000003")
    world.run(3.0)
    return {
        "command": "python3 tests/production.py",
        "commit": commit(),
        "told": world.last_stages,
        "data": {k: list(v) for k, v in sorted(world.state.data.items())},
        "epoch": world.state.epoch,
    }


if __name__ == "__main__":
    sys.path[:0] = [str(ROOT), str(ROOT / "tests")]
    STORED.parent.mkdir(exist_ok=True)
    STORED.write_text(json.dumps(stored_state(), indent=1, sort_keys=True) + "\n")
