"""Reads and validates the platform's TOML file and the operators' S-expression file.

Each error is one line that names the file, the field and the reason.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta, Struct, field

from .errors import SettingsError, invalid_settings
from .sexp_settings import read_entries, to_struct

Name = Annotated[str, Meta(min_length=1)]
Positive = Annotated[float, Meta(gt=0)]
NonNegative = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1)]

BYTES_PER_KB = 1024
PORT_LIMIT = 65536  # every port is below this

# How the file descriptors are divided among their uses, see `Quota.sockets`.
# Listeners, 14 connections to the state service, 4 to the cloud, 8 of operators, and a few files.
FIXED_DESCRIPTORS = 40
DESCRIPTORS_PER_NODE = 4  # two connections to each peer and two from it
MIN_AVAILABLE_DIVISOR = 4  # at least a quarter of the limit is divided
MIN_AVAILABLE_DESCRIPTORS = 10
COMMANDS_DIVISOR = 10
PROBES_DIVISOR = 20
KEPT_DIVISOR = 10
REPORTS_TENTHS = 6
SERVED_TENTHS = 8
MIN_COMMAND_SOCKETS = 2
MIN_PROBE_SOCKETS = 1
MIN_KEPT_SOCKETS = 2


class Peer(Struct, frozen=True):
    """Another controller."""

    member: Name
    area: Name
    addr: Name


class Services(Struct, frozen=True):
    """Addresses of the cloud and the state service."""

    cloud: Name
    state: Name


class TeamSettings(Struct, frozen=True):
    """A team's guarantee and limit; 0 means none."""

    name: Name
    cpus: NonNegative = 0.0
    cpus_max: NonNegative = 0.0
    gpus: NonNegative = 0.0
    gpus_max: NonNegative = 0.0


class Objective(Struct, frozen=True, rename={"job_class": "class"}):
    """A service objective; fields that its type (`kind`) does not use are None."""

    kind: Name
    job_class: str | None = None
    share: float | None = None
    times: float | None = None
    within_s: float | None = None


class WorkerSettings(Struct, frozen=True):
    """Intervals and time limits of workers, cancellations and gangs, in seconds."""

    report_s: Positive
    lease_s: Positive
    cancel_s: Positive
    gang_wait_s: Positive = 30.0
    gang_peer_s: Positive = 4.0


class NextLimits(Struct, frozen=True):
    """Limits that the state service will switch to later; None keeps the present one."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: Count | None = None


class StateSettings(Struct, frozen=True):
    """The limits of the state service, present and upcoming."""

    rps: Positive
    write_rps: Positive
    value_kb: Positive = 16.0
    txn_ops: Count = 24
    next: NextLimits = NextLimits()

    def planned(self) -> StateLimits:
        """Returns the lower of the present and the upcoming limits.

        New values, transactions and rates stay within them from the start, because the upcoming
        limits take effect without notice.
        """
        upcoming = self.next
        return StateLimits(
            rps=min(self.rps, upcoming.rps or self.rps),
            write_rps=min(self.write_rps, upcoming.write_rps or self.write_rps),
            value_bytes=int(BYTES_PER_KB * min(self.value_kb, upcoming.value_kb or self.value_kb)),
            txn_ops=min(self.txn_ops, upcoming.txn_ops or self.txn_ops),
        )


class StateLimits(NamedTuple):
    """Limits on requests to the state service."""

    rps: float  # requests per second, all nodes together
    write_rps: float  # changes per second, all nodes together
    value_bytes: int  # largest size of one value, encoded as JSON
    txn_ops: int  # changes in one transaction


class CloudSettings(Struct, frozen=True):
    """The request rate of the cloud and the time by which its list of machines lags, in seconds."""

    rps: Positive
    list_lag_s: NonNegative = 5.0


class Sockets(NamedTuple):
    """Limits on the process's sockets, by use."""

    commands: int  # connections to workers that are open at once
    probes: int  # the part of `commands` for probes of workers that may not answer
    kept: int  # idle connections to workers that are kept open
    reports: int  # accepted connections that carry workers' reports
    served: int  # all accepted connections: reports, users and health checks


class Quota(Struct, frozen=True):
    """The CPU, memory and file descriptors that the platform allows the process."""

    core_share: Positive = 1.0
    memory_mb: Positive = 256.0
    fd_limit: Annotated[int, Meta(ge=16)] = 1024

    def sockets(self, nodes: int) -> Sockets:
        """Divides the limit on file descriptors among the uses of sockets.

        The fixed descriptors and those of the peers are deducted first. A fifth of the available
        ones is for commands to workers, half of that fifth for idle connections; three fifths are
        for workers' reports. The last fifth is reserved for users and health checks, who may also
        use whatever the reports leave free.
        """
        available = max(
            self.fd_limit - FIXED_DESCRIPTORS - DESCRIPTORS_PER_NODE * nodes,
            self.fd_limit // MIN_AVAILABLE_DIVISOR,
            MIN_AVAILABLE_DESCRIPTORS,
        )
        return Sockets(
            commands=max(MIN_COMMAND_SOCKETS, available // COMMANDS_DIVISOR),
            probes=max(MIN_PROBE_SOCKETS, available // PROBES_DIVISOR),
            kept=max(MIN_KEPT_SOCKETS, available // KEPT_DIVISOR),
            reports=available * REPORTS_TENTHS // 10,
            served=available * SERVED_TENTHS // 10,
        )


class Deployment(Struct, frozen=True):
    """The part of the platform's file that is the same on all controllers."""

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
    """The operators' settings and their defaults; times are in seconds."""

    # By default derived from the workers' lease.
    live_ttl: Annotated[float, Meta(ge=0.5, le=60)] | None = None
    sync_every: Annotated[float, Meta(ge=0.02, le=5)] = 0.2
    # Machines scored per task in a turn that has spent its `turn-budget`.
    sample: Annotated[int, Meta(ge=2)] = 16
    # Machine scores in one turn before only samples of the machines are scored.
    turn_budget: Annotated[int, Meta(ge=1)] = 2000
    headroom: Annotated[float, Meta(ge=0, le=4)] = 1.0  # factor on the peak demand
    # Empty machines are kept for the peak demand within this time.
    peak_window: Annotated[float, Meta(ge=1)] = 40.0
    # Time before an empty machine is returned; by default derived from boot time and price.
    idle_return: Annotated[float, Meta(ge=0)] | None = None
    # Score for placing long-running tasks together.
    gather_weight: Annotated[float, Meta(ge=0)] = 50.0
    # Score lost per second until the machine holds the image, and per second of locality costs.
    image_weight: Annotated[float, Meta(ge=0)] = 100.0


def parse_address(text: str, where: str) -> tuple[str, int]:
    """Returns host and port; raises `SettingsError`, which names the field `where`."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < PORT_LIMIT:
        raise SettingsError(f"{where}: {text!r} is not an address of the form host:port")
    return host, int(port)


def load_platform(path: Path) -> Platform:
    """Reads and validates the platform's settings file; raises `SettingsError`."""
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as problem:
        raise SettingsError(f"{path}: file: {problem.strerror}") from problem
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        raise SettingsError(f"{path}: file: not TOML: {problem}") from problem
    try:
        platform = msgspec.convert(raw, Platform, strict=False)
    except msgspec.ValidationError as problem:
        raise invalid_settings(path, problem) from problem
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
        raise SettingsError(f"{path}: peers: duplicate member name")
    if platform.settings.nodes != len(names):
        raise SettingsError(
            f"{path}: settings.nodes: {platform.settings.nodes} nodes, but this node and its"
            f" peers are {len(names)}"
        )
    teams = [t.name for t in platform.settings.teams]
    if len(set(teams)) != len(teams):
        raise SettingsError(f"{path}: settings.teams: duplicate team name")
    return platform


def load_operators(path: Path | None) -> Operators:
    """Reads `(runcourse (name value) ...)`; omitted settings keep their defaults.

    Raises `SettingsError`.
    """
    if path is None:
        return Operators()
    return to_struct(path, read_entries(path, "runcourse"), Operators)
