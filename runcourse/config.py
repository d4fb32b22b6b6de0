"""Settings: the platform's TOML file and the operators' S-expressions, both checked.

Every fault is reported as one line naming the file, the field and the reason.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta, Struct, field

from .errors import SettingsError, settings_fault
from .sexp_settings import read_entries, to_struct

Name = Annotated[str, Meta(min_length=1)]
Positive = Annotated[float, Meta(gt=0)]
NonNegative = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1)]


class Peer(Struct, frozen=True):
    """Another controller."""

    member: Name
    area: Name
    addr: Name


class Services(Struct, frozen=True):
    """Addresses of the outside systems."""

    cloud: Name
    state: Name


class TeamSettings(Struct, frozen=True):
    """A team's guarantee and limit; 0 stands for none."""

    name: Name
    cpus: NonNegative = 0.0
    cpus_max: NonNegative = 0.0
    gpus: NonNegative = 0.0
    gpus_max: NonNegative = 0.0


class Objective(Struct, frozen=True, rename={"job_class": "class"}):
    """An aim of the users; what of it a kind needs not is None."""

    kind: Name
    job_class: str | None = None
    share: float | None = None
    times: float | None = None
    within_s: float | None = None


class WorkerSettings(Struct, frozen=True):
    """The times of workers and gangs, and the time that a cancellation has."""

    report_s: Positive
    lease_s: Positive
    cancel_s: Positive
    gang_wait_s: Positive = 30.0
    gang_peer_s: Positive = 4.0


class NextLimits(Struct, frozen=True):
    """Limits that the state service will have from some moment on; None: as before."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: Count | None = None


class StateSettings(Struct, frozen=True):
    """The limits of the state service, those of today and those to come."""

    rps: Positive
    write_rps: Positive
    value_kb: Positive = 16.0
    txn_ops: Count = 24
    next: NextLimits = NextLimits()

    def planned(self) -> StateLimits:
        """What new values, transactions and rates keep to from the start, as the lower limits
        come without notice."""
        soon = self.next
        return StateLimits(
            rps=min(self.rps, soon.rps or self.rps),
            write_rps=min(self.write_rps, soon.write_rps or self.write_rps),
            value_bytes=int(1024 * min(self.value_kb, soon.value_kb or self.value_kb)),
            txn_ops=min(self.txn_ops, soon.txn_ops or self.txn_ops),
        )


class StateLimits(NamedTuple):
    """The limits that new requests keep to."""

    rps: float  # requests a second, of all nodes together
    write_rps: float  # changes a second, of all nodes together
    value_bytes: int  # of one value in its JSON form
    txn_ops: int  # changes in one transaction


class CloudSettings(Struct, frozen=True):
    """The rate and the list's lag of the cloud."""

    rps: Positive
    list_lag_s: NonNegative = 5.0


class Sockets(NamedTuple):
    """How the process's sockets are divided."""

    commands: int  # to workers, open at once
    probes: int  # of those, questions to workers that may not answer
    kept: int  # idle ones to workers
    reports: int  # of workers
    served: int  # all that are accepted: reports, users and health checks


class Quota(Struct, frozen=True):
    """What the platform grants the process."""

    core_share: Positive = 1.0
    memory_mb: Positive = 256.0
    fd_limit: Annotated[int, Meta(ge=16)] = 1024

    def sockets(self, nodes: int) -> Sockets:
        """Parts the limit. What is fixed comes first: listeners, the state service's 14
        connections, the cloud's 4, two to and from each peer, operators' 8, and a few files. Of
        the rest a fifth is for commands to workers, three fifths are for their reports, and
        a fifth is left for users and health checks, who may use all that workers don't."""
        rest = max(self.fd_limit - 40 - 4 * nodes, self.fd_limit // 4, 10)
        return Sockets(
            commands=max(2, rest // 10),
            probes=max(1, rest // 20),
            kept=max(2, rest // 10),
            reports=rest * 6 // 10,
            served=rest * 8 // 10,
        )


class Deployment(Struct, frozen=True):
    """Everything in the platform's file that is the same on all controllers."""

    workers: WorkerSettings
    state: StateSettings
    cloud: CloudSettings
    nodes: Count
    zones: tuple[Name, ...] = ()
    skew_ms: NonNegative = 0.0
    teams: tuple[TeamSettings, ...] = ()
    objectives: tuple[Objective, ...] = ()
    quota: Quota = field(default_factory=Quota)


class Platform(Struct, frozen=True):
    """The platform's settings file."""

    member: Name
    area: Name
    api_addr: Name
    internal_addr: Name
    services: Services
    settings: Deployment
    peers: tuple[Peer, ...] = ()


class Operators(Struct, frozen=True, rename="kebab"):
    """The operators' own settings and their defaults. Times in seconds."""

    live_ttl: Annotated[float, Meta(ge=0.5, le=60)] | None = None  # None: from the workers' lease
    sync_every: Annotated[float, Meta(ge=0.02, le=5)] = 0.2
    sample: Annotated[int, Meta(ge=2)] = 16  # machines scored for one task when work piles up
    turn_budget: Annotated[int, Meta(ge=1)] = 2000  # machine scores in one turn before sampling
    headroom: Annotated[float, Meta(ge=0, le=4)] = 1.0  # factor on the learnt spare room
    peak_window: Annotated[float, Meta(ge=1)] = 40.0  # what was in use within it is kept
    idle_return: Annotated[float, Meta(ge=0)] | None = None  # None: from boot time and price
    gather_weight: Annotated[float, Meta(ge=0)] = 50.0  # of keeping lasting tasks together
    image_weight: Annotated[float, Meta(ge=0)] = 100.0  # score of an image already held, per fetch


def parse_address(text: str, where: str) -> tuple[str, int]:
    """Host and port of an address; `where` names the field in an error."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise SettingsError(f"{where}: {text!r} is not an address of the form host:port")
    return host, int(port)


def load_platform(path: Path) -> Platform:
    """Read and check the platform's settings file."""
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as problem:
        raise SettingsError(f"{path}: file: {problem.strerror}") from problem
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        raise SettingsError(f"{path}: file: not TOML: {problem}") from problem
    try:
        platform = msgspec.convert(raw, Platform, strict=False)
    except msgspec.ValidationError as problem:
        raise settings_fault(path, problem) from problem
    for where, text in [
        ("api_addr", platform.api_addr),
        ("internal_addr", platform.internal_addr),
        ("services.cloud", platform.services.cloud),
        ("services.state", platform.services.state),
        *((f"peers[{n}].addr", p.addr) for n, p in enumerate(platform.peers)),
    ]:
        parse_address(text, f"{path}: {where}")
    names = [platform.member, *(p.member for p in platform.peers)]
    if len(set(names)) != len(names):
        raise SettingsError(f"{path}: peers: a member is named twice")
    if platform.settings.nodes != len(names):
        raise SettingsError(
            f"{path}: settings.nodes: {platform.settings.nodes} nodes, but this node and its"
            f" peers are {len(names)}"
        )
    teams = [t.name for t in platform.settings.teams]
    if len(set(teams)) != len(teams):
        raise SettingsError(f"{path}: settings.teams: a team is named twice")
    return platform


def load_operators(path: Path | None) -> Operators:
    """`(runcourse (name value) ...)`; what is left out keeps its default."""
    if path is None:
        return Operators()
    return to_struct(path, read_entries(path, "runcourse"), Operators)
