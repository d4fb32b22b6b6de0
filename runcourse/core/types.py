"""Values that pass between the core and the world: inputs, effects and their parts."""

from __future__ import annotations

from typing import Any, Literal, NamedTuple

import msgspec

from ..wire.peer_messages import PeerMessage
from .ids import (
    FAR_FUTURE,
    NO_TOKEN,
    Instant,
    MachineId,
    Member,
    Session,
    Stamp,
    Token,
)
from .jobs import JobSpec
from .placement import Size
from .stored_values import Division, OrganisationLimits
from .worker_values import Order as Order
from .worker_values import Report as Report
from .worker_values import TaskReport as TaskReport


class MachineType(NamedTuple):
    """A type in the cloud's catalogue."""

    name: str
    cpus: float
    memory: float
    gpus: float
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    boot_s: float
    zones: tuple[str, ...]

    @property
    def size(self) -> Size:
        """What a machine of the type holds."""
        return Size(self.cpus, self.memory, self.gpus)


class CloudMachine(NamedTuple):
    """A machine in the cloud's list."""

    id: MachineId
    addr: str
    type: str
    zone: str
    spot: bool
    stage: str
    age_s: float


# --- inputs ------------------------------------------------------------------------------


LATE = "late"  # body of an Outcome: its `until` had passed, so it was not sent


class Submit(msgspec.Struct):
    """`spec` is None when the submission is faulty: then `fault` says why."""

    request: int
    uid: str
    spec: JobSpec | None
    fault: str = ""


class Poll(msgspec.Struct):
    """A user asks about a job."""

    request: int
    uid: str


class Cancel(msgspec.Struct):
    """A user cancels a job."""

    request: int
    uid: str


class Health(msgspec.Struct):
    """The load balancer asks whether this node can take requests."""

    request: int


class DivisionRequest(msgspec.Struct):
    """An operator's request concerning the division of the fleet among organisations."""

    request: int
    action: Literal["show", "preview", "apply", "rollback"]
    expect: int | None = None  # the version that a change rests on
    limits: list[OrganisationLimits] = []
    author: str = ""
    note: str = ""
    at: str = ""  # time of day, for people only


class ReportReceived(msgspec.Struct):
    """A worker's report: received here, or passed on by a peer (`relayed_by`)."""

    request: int
    report: Report
    relayed_by: Member | None = None


class Tick(msgspec.Struct):
    """Time has passed."""

    pass


class ReplacePolicySettings(msgspec.Struct):
    """Operators changed the settings of the placement policy; they have been checked."""

    settings: Any


class Outcome(msgspec.Struct):
    """The result of an effect that asked for one: `tag` is the effect's.

    status 0 with `sent` false: surely never sent; with `sent` true: fate unknown.
    """

    tag: Any
    status: int
    body: Any = None
    sent: bool = True
    began: float = 0.0  # when the request was handed to the network


class PeerMessageReceived(msgspec.Struct):
    """A message of a peer."""

    member: Member
    message: PeerMessage


# --- effects -----------------------------------------------------------------------------
#
# `until`: what rests on authority or on a read must not leave later than this. A process may
# stand still between a decision and its leaving, while its clocks run on.


class UserAnswer(msgspec.Struct):
    """The answer to a user's or the load balancer's request."""

    request: int
    status: int
    body: dict[str, Any]
    retry_after: float | None = None
    until: Instant = FAR_FUTURE


class DivisionAnswer(msgspec.Struct):
    """The answer to an operator's request: what is in force, and what became of the request."""

    request: int
    result: str  # ok, refused, unreachable, unknown
    reason: str
    division: Division | None
    past: list[Division]
    targets: dict[str, float]  # CPUs by organisation, of a preview


class ReportAnswer(msgspec.Struct):
    """A report's answer: 200 with token and orders, 421 with the owner, or 503."""

    request: int
    status: int
    token: Token = NO_TOKEN
    orders: tuple[Order, ...] = ()
    owner: Member | None = None
    until: Instant = FAR_FUTURE


class ReadAll(msgspec.Struct):
    """Read everything from the state service."""

    tag: Any


class Follow(msgspec.Struct):
    """Read the changes since a revision from the state service."""

    tag: Any
    since: int


class Condition(NamedTuple):
    """The version that a key must have; 0: it does not exist."""

    key: str
    stamp: Stamp


class Write(NamedTuple):
    """A value for a key, attached to a lease if one is given; None drops the key."""

    key: str
    value: Any
    lease: int | None = None


class Commit(msgspec.Struct):
    """Atomic change, carried out if all conditions hold."""

    tag: Any
    when: list[Condition]
    then: list[Write]
    until: Instant = FAR_FUTURE


class GrantLease(msgspec.Struct):
    """Obtain a lease from the state service."""

    tag: Any
    ttl_ms: int


class ExtendLease(msgspec.Struct):
    """Renew a lease."""

    tag: Any
    lease: int


class Command(msgspec.Struct):
    """Orders straight to a worker."""

    tag: Any
    addr: str
    token: Token
    session: Session
    orders: tuple[Order, ...]
    until: Instant = FAR_FUTURE


class Probe(msgspec.Struct):
    """Ask a worker for its report: unlike a report that arrives, the answer is live."""

    tag: Any
    addr: str


class ReadCatalog(msgspec.Struct):
    """Read the cloud's machine types."""

    tag: Any


class ListMachines(msgspec.Struct):
    """Read the cloud's list of machines, all pages."""

    tag: Any


class Rent(msgspec.Struct):
    """Ask the cloud for machines; the name is never used again."""

    tag: Any
    name: str
    type: str
    zone: str
    spot: bool
    number: int


class Release(msgspec.Struct):
    """Return machines to the cloud."""

    tag: Any
    machines: list[MachineId]


class SendToPeer(msgspec.Struct):
    """A message to one peer, or to all of them when `member` is None."""

    member: Member | None
    message: PeerMessage


class Log(msgspec.Struct):
    """A line for the log."""

    level: str  # debug, info, warning, error
    text: str
