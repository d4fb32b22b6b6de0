"""Messages between controllers: JSON lines, one typed struct for each kind.

This module owns their spelling. The tag `t` names the kind; fields that a former version
spells otherwise are renamed here. A new field must have a default, so that a line of a former
version stays readable, and unknown fields are ignored.
"""

from __future__ import annotations

import re
from typing import Any

import msgspec
from msgspec import UNSET, Struct, UnsetType, field

from ..core.ids import Incarnation, JobId, MachineId, Member, Session, ShareNo, Stamp, Token
from ..core.worker_values import Order, Report

UNKNOWN_KIND = "unknown kind"
_KIND = re.compile(rb'"t":"([a-z?]{1,20})"')


class MalformedPeerMessage(Exception):
    """A line that is no message of any kind known here; `kind` groups such lines for the log."""

    def __init__(self, kind: str, reason: str) -> None:
        super().__init__(reason)
        self.kind = kind


class Introduction(Struct, frozen=True):
    """The first line of a connection: who speaks on it."""

    member: Member


class Heartbeat(Struct, frozen=True, tag_field="t", tag="hello", omit_defaults=True):
    """Sent to all peers every second."""

    contact: bool  # with the state service
    running: dict[JobId, int]  # running tasks of jobs of the sender's shares, a page of them
    silent: list[str]  # machines of the sender's shares whose reports are overdue
    applied: int | None = None  # revision up to which the sender has read the store
    begins: bool = True  # the first page of a round over all jobs


class SyncRequest(Struct, frozen=True, tag_field="t", tag="sync"):
    """Something was stored that the receiver should read soon."""


class CancellationNotice(Struct, frozen=True, tag_field="t", tag="cancelled", omit_defaults=True):
    """A cancellation is stored; `ask` requests a `CancellationAck`."""

    uid: JobId
    ask: bool = False


class CancellationAck(Struct, frozen=True, tag_field="t", tag="knows"):
    """The sender knows of a cancellation, `owner`: as the owner of the job's share."""

    uid: JobId
    owner: bool


class GrantRequest(Struct, frozen=True, tag_field="t", tag="vouch?"):
    """The sender has no contact with the state service and asks for a quorum grant."""

    incarnation: Incarnation = field(name="inc")
    number: int = field(name="n")
    applied: Stamp


class GrantResponse(Struct, frozen=True, tag_field="t", tag="vouch"):
    """Answer to a `GrantRequest`, with the cancellations that its sender may have missed."""

    incarnation: Incarnation = field(name="inc")
    number: int = field(name="n")
    ok: bool
    contact: bool
    cancelled: list[JobId]


class DemandEntry(Struct, frozen=True):
    """Waiting tasks of one shape in one share, or those of one gang."""

    size: tuple[float, float, float]  # CPUs, memory and GPUs of a task
    rank: int
    spot: bool
    types: list[str] | None
    zone: str | None
    closed_zones: list[str] = field(name="shut")  # by the job's `spread` or `together`
    waiting: int = field(name="n")  # tasks that found no machine
    hire: int  # for how many of them to have machines
    age: float  # seconds since the oldest of them was submitted
    block: bool = False  # a gang bound to one zone: all of it or nothing
    room: dict[str, int] = field(default_factory=dict)  # tasks that fit already, by zone


class MachineLoad(msgspec.Struct, frozen=True, array_like=True):
    """What an owner knows of one machine; -1 stands for never."""

    heard_ago_s: float
    idle_s: float
    used_cpus: float


class ShareLoad(Struct, frozen=True, tag_field="t", tag="load", omit_defaults=True):
    """What the owner of a share tells the leader of it."""

    share: ShareNo
    used: float  # CPUs
    machines: dict[str, MachineLoad]
    needs: list[DemandEntry]
    replicas: float = 0.0  # CPUs of those used, by services; told where organisations are stated


class UnknownMachine(Struct, frozen=True, tag_field="t", tag="unknown"):
    """A worker reported whose machine is not recorded."""

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
    """The leader asks an owner to empty machines whose replicas fit elsewhere."""

    share: ShareNo
    number: int = field(name="n")


class TransferredState(Struct, frozen=True, tag_field="t", tag="given"):
    """The former owner of a transferred machine passes on what it knows of its worker."""

    machine: MachineId
    addr: str
    session: Session
    seq: int
    token: Token
    images: list[tuple[str, float]]


class VacateMachine(Struct, frozen=True, tag_field="t", tag="vacate", omit_defaults=True):
    """The leader asks an owner to stop lesser work on a machine that another share needs."""

    share: ShareNo
    to: ShareNo
    need: DemandEntry
    # For another organisation: stop no service, whatever its rank, and leave the empty machine
    # to the leader, who asks for it if it is still owed then.
    entitled: bool = False


class YieldMachines(Struct, frozen=True, tag_field="t", tag="yield", omit_defaults=True):
    """The leader asks an owner to transfer machines as they fall empty."""

    share: ShareNo
    to: ShareNo
    cpus: float
    need: DemandEntry
    entitled: bool = False  # for another organisation: the leader asks for what fell empty


class RelayedReport(Struct, frozen=True, tag_field="t", tag="beat"):
    """A worker's report, passed on to the owner of its machine."""

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
    """A question of an operator's tool: one line each way on the internal address."""

    ask: str
    division: dict[str, Any] = field(default_factory=dict)  # a request concerning the division


class _FirstLine(Struct, frozen=True):
    """Either an introduction or a question, as a connection begins."""

    member: Member | UnsetType = UNSET
    ask: str | UnsetType = UNSET
    division: dict[str, Any] = field(default_factory=dict)


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(PeerMessage)
_first_decoder = msgspec.json.Decoder(_FirstLine)


def encode(message: PeerMessage | Introduction) -> bytes:
    """The message as a line."""
    return _encoder.encode(message) + b"\n"


def decode(line: bytes) -> PeerMessage:
    """The message of a line; raises `MalformedPeerMessage`."""
    try:
        return _decoder.decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise MalformedPeerMessage(_kind_of(line), str(problem)) from problem


def decode_first(line: bytes) -> Introduction | OperatorQuestion:
    """The first line of a connection; raises `MalformedPeerMessage`."""
    try:
        first = _first_decoder.decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise MalformedPeerMessage("first line", str(problem)) from problem
    if first.ask is not UNSET:
        return OperatorQuestion(first.ask, first.division)
    if first.member is not UNSET:
        return Introduction(first.member)
    raise MalformedPeerMessage("first line", "names neither a member nor a question")


def _kind_of(line: bytes) -> str:
    """The kind a faulty line names, if it is one of ours: the log has one entry for each."""
    found = _KIND.search(line)
    kind = found.group(1).decode() if found else ""
    return kind if kind in _KINDS else UNKNOWN_KIND


_KINDS = frozenset(
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
