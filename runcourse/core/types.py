"""Inputs and effects of the core, and their parts."""

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
    """A machine type in the cloud's catalogue."""

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
        """Returns the resources of a machine of the type."""
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


LATE = "late"  # body of the Outcome of an effect that was not sent because its `until` had passed


class Submit(msgspec.Struct):
    """A user submits a job. For a faulty submission, `spec` is None and `fault` states why."""

    request: int
    uid: str
    spec: JobSpec | None
    fault: str = ""


class Poll(msgspec.Struct):
    """A user requests the state of a job."""

    request: int
    uid: str


class Cancel(msgspec.Struct):
    """A user cancels a job."""

    request: int
    uid: str


class Health(msgspec.Struct):
    """The load balancer checks whether this node can take requests."""

    request: int


class DivisionRequest(msgspec.Struct):
    """An operator's request concerning the division of the fleet among organisations."""

    request: int
    action: Literal["show", "preview", "apply", "rollback"]
    expect: int | None = None  # the version that a change is based on
    limits: list[OrganisationLimits] = []
    author: str = ""
    note: str = ""
    at: str = ""  # time of day, for people only


class ReportReceived(msgspec.Struct):
    """A worker's report, received here or relayed by the peer `relayed_by`."""

    request: int
    report: Report
    relayed_by: Member | None = None


class Tick(msgspec.Struct):
    """A periodic input that lets the core act on the passing of time."""

    pass


class ReplacePolicySettings(msgspec.Struct):
    """New settings of the placement policy, already validated."""

    settings: Any


class Outcome(msgspec.Struct):
    """The result of an effect. `tag` is the effect's own `tag`: the callback that takes the result.

    Status 0 means no answer: with `sent` false the request was certainly never sent, with `sent`
    true it may have been carried out.
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
# An effect that needs this node's authority or a recent read must not be sent after `until`. The
# process may pause between a decision and the sending, while its clocks run on.


class UserAnswer(msgspec.Struct):
    """The answer to a user's or the load balancer's request."""

    request: int
    status: int
    body: dict[str, Any]
    retry_after: float | None = None
    until: Instant = FAR_FUTURE


class DivisionAnswer(msgspec.Struct):
    """The answer to an operator's request: its result and the organisations' limits in force."""

    request: int
    result: str  # ok, refused, unreachable, unknown
    reason: str
    division: Division | None
    past: list[Division]
    targets: dict[str, float]  # CPUs by organisation, in the answer to a preview


class ReportAnswer(msgspec.Struct):
    """The answer to a report: 200 with token and orders, 421 with the owner, or 503."""

    request: int
    status: int
    token: Token = NO_TOKEN
    orders: tuple[Order, ...] = ()
    owner: Member | None = None
    until: Instant = FAR_FUTURE


class ReadAll(msgspec.Struct):
    """Reads everything from the state service."""

    tag: Any


class Follow(msgspec.Struct):
    """Reads the changes since a revision from the state service."""

    tag: Any
    since: int


class Condition(NamedTuple):
    """The stamp that a key must have; 0: the key must not exist."""

    key: str
    stamp: Stamp


class Write(NamedTuple):
    """A value for a key, attached to a lease if one is given; None deletes the key."""

    key: str
    value: Any
    lease: int | None = None


class Commit(msgspec.Struct):
    """An atomic change, carried out if all conditions are met."""

    tag: Any
    when: list[Condition]
    then: list[Write]
    until: Instant = FAR_FUTURE


class GrantLease(msgspec.Struct):
    """Obtains a lease from the state service."""

    tag: Any
    ttl_ms: int


class ExtendLease(msgspec.Struct):
    """Renews a lease."""

    tag: Any
    lease: int


class Command(msgspec.Struct):
    """Sends orders directly to a worker."""

    tag: Any
    addr: str
    token: Token
    session: Session
    orders: tuple[Order, ...]
    until: Instant = FAR_FUTURE


class Probe(msgspec.Struct):
    """Requests a report from a worker. Unlike a received report, the answer cannot be an old
    one."""

    tag: Any
    addr: str


class ReadCatalog(msgspec.Struct):
    """Reads the cloud's machine types."""

    tag: Any


class ListMachines(msgspec.Struct):
    """Reads all pages of the cloud's list of machines."""

    tag: Any


class Rent(msgspec.Struct):
    """Rents machines from the cloud; the name of the request is never used again."""

    tag: Any
    name: str
    type: str
    zone: str
    spot: bool
    number: int


class Release(msgspec.Struct):
    """Returns machines to the cloud."""

    tag: Any
    machines: list[MachineId]


class SendToPeer(msgspec.Struct):
    """Sends a message to one peer, or to all peers if `member` is None."""

    member: Member | None
    message: PeerMessage


class Log(msgspec.Struct):
    """Writes a line to the log."""

    level: str  # debug, info, warning, error
    text: str
