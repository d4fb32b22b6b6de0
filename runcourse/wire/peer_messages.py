"""Messages between controllers: JSON lines, one typed struct for each kind.

Their field names on the wire appear only in this module. The tag `t` names the kind. An
attribute that former versions name differently on the wire keeps that name by `field(name=...)`. A
new field must have a default, so that a line of a former version stays readable; unknown fields are
ignored.
"""

from __future__ import annotations

import re
from typing import Any

import msgspec
from msgspec import UNSET, Struct, UnsetType, field

from ..core.ids import Incarnation, JobId, MachineId, Member, Session, ShareNo, Stamp, Token
from ..core.worker_values import Order, Report

UNKNOWN_KIND = "unknown kind"
_KIND_PATTERN = re.compile(rb'"t":"([a-z?]{1,20})"')


class MalformedPeerMessage(Exception):
    """Raised for a line that is not a valid message; `kind` groups such lines for the log."""

    def __init__(self, kind: str, reason: str) -> None:
        super().__init__(reason)
        self.kind = kind


class Introduction(Struct, frozen=True):
    """The first line of a connection between controllers: names the sender."""

    member: Member


class Heartbeat(Struct, frozen=True, tag_field="t", tag="hello", omit_defaults=True):
    """The sender's state, sent to all peers every second."""

    contact: bool  # whether the sender has contact with the state service
    running: dict[JobId, int]  # running tasks by job of the sender's shares, one page
    silent: list[str]  # machines of the sender's shares whose reports are overdue
    applied: int | None = None  # revision up to which the sender has read the store
    begins: bool = True  # whether this is the first page of a round over all jobs


class SyncRequest(Struct, frozen=True, tag_field="t", tag="sync"):
    """Asks the receiver to read the store soon, because a change was committed."""


class CancellationNotice(Struct, frozen=True, tag_field="t", tag="cancelled", omit_defaults=True):
    """States that a cancellation is stored; `ask` requests a `CancellationAck`."""

    uid: JobId
    ask: bool = False


class CancellationAck(Struct, frozen=True, tag_field="t", tag="knows"):
    """Confirms that the sender has recorded a cancellation; `owner`: it owns the job's share."""

    uid: JobId
    owner: bool


class GrantRequest(Struct, frozen=True, tag_field="t", tag="vouch?"):
    """Asks for a quorum grant, as the sender has no contact with the state service.

    It is also sent to learn which cancellations a peer of a former version has recorded.
    """

    incarnation: Incarnation = field(name="inc")
    number: int = field(name="n")
    applied: Stamp


class GrantResponse(Struct, frozen=True, tag_field="t", tag="vouch"):
    """Answers a `GrantRequest`, with the cancellations that its sender may have missed."""

    incarnation: Incarnation = field(name="inc")
    number: int = field(name="n")
    ok: bool
    contact: bool
    cancelled: list[JobId]


class DemandEntry(Struct, frozen=True):
    """The waiting tasks with the same requirements in one share, or those of one gang."""

    size: tuple[float, float, float]  # CPUs, memory in GB and GPUs of a task
    rank: int
    spot: bool
    types: list[str] | None
    zone: str | None
    closed_zones: list[str] = field(name="shut")  # excluded by the job's `spread` or `together`
    waiting: int = field(name="n")  # number of tasks without a machine
    hire: int  # number of those tasks to rent machines for
    age: float  # seconds since the oldest of these tasks was submitted
    block: bool = False  # a gang in one zone, which is placed whole or not at all
    room: dict[str, int] = field(default_factory=dict)  # number of tasks that already fit, by zone


class MachineLoad(msgspec.Struct, frozen=True, array_like=True):
    """An owner's data about one machine."""

    # Since its last message, or since the takeover; -1 for a new machine without any message.
    heard_ago_s: float
    idle_s: float  # since it became empty; -1 while it is busy
    used_cpus: float  # allocated to tasks


class ShareLoad(Struct, frozen=True, tag_field="t", tag="load", omit_defaults=True):
    """The report of a share's owner to the leader."""

    share: ShareNo
    used: float  # CPUs in use
    machines: dict[str, MachineLoad]
    needs: list[DemandEntry]
    replicas: float = 0.0  # CPUs of `used` that services use; set if there are organisations


class UnknownMachine(Struct, frozen=True, tag_field="t", tag="unknown"):
    """States that a worker whose machine is not recorded has reported."""

    id: MachineId
    addr: str
    type: str
    zone: str
    spot: bool


class ReturnMachine(Struct, frozen=True, tag_field="t", tag="retire"):
    """The leader asks an owner to have an empty machine returned to the cloud."""

    machine: MachineId


class TransferMachine(Struct, frozen=True, tag_field="t", tag="give"):
    """The leader asks an owner to transfer an empty machine to another share."""

    machine: MachineId
    share: ShareNo


class DrainMachines(Struct, frozen=True, tag_field="t", tag="drain"):
    """The leader asks an owner to drain machines whose replicas fit on other machines."""

    share: ShareNo
    number: int = field(name="n")


class TransferredState(Struct, frozen=True, tag_field="t", tag="given"):
    """Passes on the former owner's state of the worker of a transferred machine."""

    machine: MachineId
    addr: str
    session: Session
    seq: int
    token: Token
    images: list[tuple[str, float]]


class VacateMachine(Struct, frozen=True, tag_field="t", tag="vacate", omit_defaults=True):
    """The leader asks an owner to preempt work of lower rank on a machine that `to` needs."""

    share: ShareNo
    to: ShareNo
    need: DemandEntry
    # The machine is for another organisation: the owner stops no service, whatever its rank, and
    # does not transfer the empty machine; the leader requests it if the entitlement still holds.
    entitled: bool = False


class YieldMachines(Struct, frozen=True, tag_field="t", tag="yield", omit_defaults=True):
    """The leader asks an owner to transfer machines when they become empty."""

    share: ShareNo
    to: ShareNo
    cpus: float
    need: DemandEntry
    entitled: bool = False  # for another organisation: the leader requests the empty machines


class RelayedReport(Struct, frozen=True, tag_field="t", tag="beat"):
    """A worker's report, relayed to the owner of its machine."""

    number: int = field(name="n")
    report: Report


class RelayedResponse(Struct, frozen=True, tag_field="t", tag="beaten"):
    """The owner's response to a `RelayedReport`."""

    number: int = field(name="n")
    status: int
    token: Token
    orders: list[Order]


MachineRequest = (
    ReturnMachine
    | TransferMachine
    | DrainMachines
    | TransferredState
    | VacateMachine
    | YieldMachines
)
PeerMessage = (
    Heartbeat
    | SyncRequest
    | CancellationNotice
    | CancellationAck
    | GrantRequest
    | GrantResponse
    | ShareLoad
    | UnknownMachine
    | MachineRequest
    | RelayedReport
    | RelayedResponse
)


class OperatorQuestion(Struct, frozen=True, omit_defaults=True):
    """A question of an operator's tool on the internal address; the answer is one line too."""

    ask: str
    division: dict[str, Any] = field(default_factory=dict)  # the request, if `ask` is "division"


class _FirstLine(Struct, frozen=True):
    """The first line of a connection: either an introduction or a question."""

    member: Member | UnsetType = UNSET
    ask: str | UnsetType = UNSET
    division: dict[str, Any] = field(default_factory=dict)


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(PeerMessage)
_first_decoder = msgspec.json.Decoder(_FirstLine)


def encode(message: PeerMessage | Introduction) -> bytes:
    """Returns the message as a line."""
    return _encoder.encode(message) + b"\n"


def decode(line: bytes) -> PeerMessage:
    """Returns the message in a line; raises `MalformedPeerMessage`."""
    try:
        return _decoder.decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedPeerMessage(_kind_of(line), str(error)) from error


def decode_first(line: bytes) -> Introduction | OperatorQuestion:
    """Returns the message in the first line of a connection; raises `MalformedPeerMessage`."""
    try:
        first = _first_decoder.decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedPeerMessage("first line", str(error)) from error
    if first.ask is not UNSET:
        return OperatorQuestion(first.ask, first.division)
    if first.member is not UNSET:
        return Introduction(first.member)
    raise MalformedPeerMessage("first line", "names neither a member nor a question")


def _kind_of(line: bytes) -> str:
    """Returns the kind that a malformed line names if it is a known one, else `UNKNOWN_KIND`.

    The log has one entry for each kind, so the number of kinds must be limited.
    """
    match = _KIND_PATTERN.search(line)
    kind = match.group(1).decode() if match else ""
    return kind if kind in _KNOWN_KINDS else UNKNOWN_KIND


_KNOWN_KINDS = frozenset(
    str(kind.__struct_config__.tag)
    for kind in (
        Heartbeat,
        SyncRequest,
        CancellationNotice,
        CancellationAck,
        GrantRequest,
        GrantResponse,
        ShareLoad,
        UnknownMachine,
        ReturnMachine,
        TransferMachine,
        DrainMachines,
        TransferredState,
        VacateMachine,
        YieldMachines,
        RelayedReport,
        RelayedResponse,
    )
)
