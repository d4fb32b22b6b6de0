"""PROTOCOL's messages. The only place that knows its spellings.

Incoming bodies are MessagePack, checked by msgspec; what leaves here speaks the field's
terms. A message that does not fit its description raises `Malformed`.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from functools import lru_cache
from typing import Annotated, Any, Literal, TypeVar

import msgspec
from msgspec import Meta, Struct

from ..core.ids import Attempt, JobId, MachineId, Session, TaskId, Token, parse_task
from ..core.jobs import MAX_TASKS, RANKS, UID, JobSpec
from ..core.types import (
    CloudMachine,
    Condition,
    MachineType,
    Order,
    Report,
    TaskReport,
    Write,
)

MAX_BODY = 64 * 1024
CONTENT_TYPE = "application/msgpack"


class Malformed(Exception):
    """A body that is not what the protocol says it is."""


Text = Annotated[str, Meta(min_length=1, max_length=200)]
Amount = Annotated[float, Meta(ge=0, le=1e9)]
Natural = Annotated[int, Meta(ge=0)]

_decoder = msgspec.msgpack.Decoder()
_encoder = msgspec.msgpack.Encoder()
T = TypeVar("T")


def encode(body: Any) -> bytes:
    """A body as MessagePack."""
    return _encoder.encode(body)


def decode_map(body: bytes) -> dict[str, Any]:
    """The map that a body holds; raises `Malformed`."""
    try:
        value = _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise Malformed(f"not MessagePack: {problem}") from problem
    if not isinstance(value, dict):
        raise Malformed("not a map")
    # Null equals omitted, so that no description has to name null for each field.
    return {k: v for k, v in value.items() if v is not None and isinstance(k, str)}


def _convert(value: Any, kind: type[T]) -> T:
    try:
        return msgspec.convert(value, kind)
    except msgspec.ValidationError as problem:
        raise Malformed(str(problem)) from problem


def _finite(*amounts: float) -> None:
    if not all(math.isfinite(a) for a in amounts):
        raise Malformed("an amount is not finite")


# --- users -------------------------------------------------------------------------------


class _Submission(Struct, frozen=True):
    uid: str
    lane: Text
    crew: Text
    shape: Literal["batch", "service", "ensemble"]
    rank: Literal["prod", "urgent", "normal", "idle"]
    legs: Annotated[int, Meta(ge=1, le=MAX_TASKS)]
    vcpus: Amount
    gpus: Amount
    ram_gb: Amount
    kit: Text
    pull_gb: Amount
    together: bool
    spread: bool
    lendable: bool
    guess_s: Amount
    mark_every_s: Amount
    mark_cost_s: Amount
    hulls: tuple[Text, ...] | None = None
    yard: Text | None = None
    due_s: Amount | None = None


def submission_uid(body: dict[str, Any]) -> JobId | None:
    """The id of a submission that may be faulty otherwise."""
    uid = body.get("uid")
    return JobId(uid) if isinstance(uid, str) and UID.match(uid) else None


def valid_uid(text: str) -> bool:
    """Is the text a job id?"""
    return UID.match(text) is not None


def submission(body: dict[str, Any]) -> JobSpec:
    """The submission that a body holds; raises `Malformed`."""
    s = _convert(body, _Submission)
    if not UID.match(s.uid):
        raise Malformed("uid is not a job id")
    _finite(
        s.vcpus,
        s.gpus,
        s.ram_gb,
        s.pull_gb,
        s.guess_s,
        s.mark_every_s,
        s.mark_cost_s,
        s.due_s or 0.0,
    )
    return JobSpec(
        uid=s.uid,
        lane=s.lane,
        team=s.crew,
        service=s.shape == "service",
        gang=s.shape == "ensemble",
        rank=RANKS[s.rank],
        tasks=s.legs,
        cpus=s.vcpus,
        gpus=s.gpus,
        memory=s.ram_gb,
        image=s.kit,
        image_gb=s.pull_gb,
        types=s.hulls,
        zone=s.yard,
        together=s.together,
        spread=s.spread,
        spot=s.lendable,
        estimate_s=s.guess_s,
        checkpoint_s=s.mark_every_s,
        save_s=s.mark_cost_s,
        deadline_s=s.due_s,
    )


def job_state(
    uid: str, stage: str, done: int | None = None, running: int | None = None
) -> dict[str, Any]:
    """What a user is told of a job."""
    state: dict[str, Any] = {"uid": uid, "stage": stage}
    if done is not None:
        state["done"] = done
        state["running"] = running or 0
    return state


def job_body(spec: JobSpec) -> dict[str, Any]:
    """A submission as a user sends it (the client commands and stand-ins use this)."""
    ranks = {number: name for name, number in RANKS.items()}
    return {
        "uid": spec.uid,
        "lane": spec.lane,
        "crew": spec.team,
        "shape": "service" if spec.service else "ensemble" if spec.gang else "batch",
        "rank": ranks[spec.rank],
        "legs": spec.tasks,
        "vcpus": spec.cpus,
        "gpus": spec.gpus,
        "ram_gb": spec.memory,
        "kit": spec.image,
        "pull_gb": spec.image_gb,
        "hulls": list(spec.types) if spec.types is not None else None,
        "yard": spec.zone,
        "together": spec.together,
        "spread": spec.spread,
        "lendable": spec.spot,
        "guess_s": spec.estimate_s,
        "mark_every_s": spec.checkpoint_s,
        "mark_cost_s": spec.save_s,
        "due_s": spec.deadline_s,
    }


# --- workers -----------------------------------------------------------------------------

_STAGES = {
    "fetching": "fetching",
    "waiting": "waiting",
    "running": "running",
    "flushing": "saving",
    "ended": "ended",
}
_CAUSES = {
    "done": "done",
    "halted": "stopped",
    "error": "error",
    "full": "full",
    "in_use": "busy",
    "no_such": "unknown",
    "mates_gone": "mates",
    "incomplete": "incomplete",
}


class _Leg(Struct, frozen=True):
    leg: Text
    attempt: Annotated[int, Meta(ge=0)] = msgspec.field(name="try")
    stage: str | None = None
    cause: str | None = None
    stored: bool | None = None


class _Beat(Struct, frozen=True):
    """Null equals omitted. Decoded in one step, since most of all messages are reports."""

    host: Text
    tenure: Natural
    tick: Natural
    baton: Natural | None = None
    addr: str | None = None
    hull: str | None = None
    yard: str | None = None
    lendable: bool | None = None
    warning_s: float | None = None
    legs: msgspec.Raw = msgspec.Raw(b"")  # read apart: see `_legs`


_beat_decoder = msgspec.msgpack.Decoder(_Beat)
_legs_decoder = msgspec.msgpack.Decoder(list[_Leg] | None)
CACHED_BYTES = 4096  # of a list of tasks, beyond which it is read anew each time


def _legs(raw: bytes) -> tuple[TaskReport, ...]:
    try:
        legs = _legs_decoder.decode(raw) if raw else None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise Malformed(str(problem)) from problem
    tasks = []
    for leg in legs or ():
        try:
            task = parse_task(leg.leg)
        except ValueError as problem:
            raise Malformed(str(problem)) from problem
        tasks.append(
            TaskReport(
                task=task,
                attempt=Attempt(leg.attempt),
                stage=_STAGES.get(leg.stage or "", "running"),
                cause=_CAUSES.get(leg.cause or "", "error") if leg.stage == "ended" else "",
                saved=bool(leg.stored),
            )
        )
    return tuple(tasks)


# Most reports list the same tasks as the one before, to the byte: reading them took a good part of
# what a report costs, and processor time is what is nearest to running out.
_legs_again = lru_cache(maxsize=1024)(_legs)


def report(body: bytes) -> Report:
    """The report that a body holds; raises `Malformed`."""
    try:
        b = _beat_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as problem:
        raise Malformed(str(problem)) from problem
    raw = bytes(b.legs)
    tasks = _legs(raw) if len(raw) > CACHED_BYTES else _legs_again(raw)
    return Report(
        machine=MachineId(b.host),
        addr=b.addr or "",
        type=b.hull or "",
        zone=b.yard or "",
        spot=bool(b.lendable),
        session=Session(b.tenure),
        seq=b.tick,
        token=Token(b.baton or 0),
        notice_s=b.warning_s,
        tasks=tasks,
    )


def _order(order: Order) -> dict[str, Any]:
    body: dict[str, Any] = {
        "verb": {"start": "run", "stop": "kill", "forget": "clear"}[order.op],
        "leg": str(order.task),
        "try": order.attempt,
    }
    if order.op == "stop":
        body["wind_down_s"] = order.grace_s
    return body


def report_answer(token: Token, orders: Sequence[Order]) -> dict[str, Any]:
    """The answer to a report."""
    return {"baton": token, "orders": [_order(o) for o in orders]}


def redirect(member: str | None) -> dict[str, Any]:
    """The answer that sends a worker to another controller."""
    return {"steward": member} if member else {}


def commands(token: Token, session: Session, orders: Sequence[Order]) -> dict[str, Any]:
    """Orders straight to a worker."""
    return {"baton": token, "tenure": session, "orders": [_order(o) for o in orders]}


# --- cloud -------------------------------------------------------------------------------


class _Hull(Struct, frozen=True):
    label: Text
    vcpus: Amount
    ram_gb: Amount
    gpus: Amount = 0.0
    cache_gb: Amount = 0.0
    pull_gb_per_s: Amount = 0.0
    hourly: Amount = 0.0
    market_price: Amount = 0.0
    startup_s: Amount = 0.0
    yards: tuple[str, ...] = ()


class _Catalog(Struct, frozen=True):
    hulls: list[_Hull]


class _CloudHost(Struct, frozen=True):
    uid: Text
    hull: Text
    yard: Text
    addr: str = ""
    lendable: bool = False
    stage: str = "running"
    age_s: float = 0.0


class _CloudList(Struct, frozen=True):
    hosts: list[_CloudHost]
    has_next: bool = False


class _Hired(Struct, frozen=True):
    hosts: list[Text]


def catalog(body: bytes) -> tuple[MachineType, ...]:
    """The cloud's machine types; raises `Malformed`."""
    types = _convert(decode_map(body), _Catalog).hulls
    return tuple(
        MachineType(
            name=h.label,
            cpus=h.vcpus,
            memory=h.ram_gb,
            gpus=h.gpus,
            cache_gb=h.cache_gb,
            fetch_gb_per_s=h.pull_gb_per_s,
            price=h.hourly,
            spot_price=h.market_price,
            boot_s=h.startup_s,
            zones=h.yards,
        )
        for h in types
    )


def cloud_list(body: bytes) -> tuple[tuple[CloudMachine, ...], bool]:
    """A page of the cloud's list, and whether more follow; raises `Malformed`."""
    page = _convert(decode_map(body), _CloudList)
    return tuple(
        CloudMachine(
            id=MachineId(h.uid),
            addr=h.addr,
            type=h.hull,
            zone=h.yard,
            spot=h.lendable,
            stage=h.stage,
            age_s=h.age_s,
        )
        for h in page.hosts
    ), page.has_next


def list_path(since: str | None, most: int) -> str:
    """The request for a page of the cloud's list."""
    return f"/machines?most={most}" + (f"&since={since}" if since else "")


def hire(name: str, type_: str, zone: str, spot: bool, number: int) -> dict[str, Any]:
    """A request to rent machines."""
    return {"hire": name, "hull": type_, "yard": zone, "lendable": spot, "number": number}


def hired(body: bytes) -> tuple[MachineId, ...]:
    """The machines that were rented; raises `Malformed`."""
    return tuple(MachineId(h) for h in _convert(decode_map(body), _Hired).hosts)


def release(machines: Iterable[MachineId]) -> dict[str, Any]:
    """A request to return machines."""
    return {"hosts": list(machines)}


# --- state service -----------------------------------------------------------------------


class Pair(Struct, frozen=True):
    """A key with its value and version."""

    key: str
    value: Any
    stamp: Natural


class Page(Struct, frozen=True):
    """A page of keys."""

    pairs: list[Pair]
    epoch: Natural
    has_next: bool = False


class _Event(Struct, frozen=True):
    stamp: Natural
    write: str | None = None
    drop: str | None = None
    value: Any = None


class _Events(Struct, frozen=True):
    epoch: Natural
    events: list[_Event]


class _Epoch(Struct, frozen=True):
    epoch: Natural
    failed: list[str] | None = None


class _Grant(Struct, frozen=True):
    grant: Natural


Change = tuple[str, Any, int]  # key, value or None for a dropped key, stamp


def page(body: bytes) -> Page:
    """A page of keys; raises `Malformed`."""
    return _convert(decode_map(body), Page)


def events(body: bytes) -> tuple[list[Change], int]:
    """The changes that a body holds, and their last revision; raises `Malformed`."""
    e = _convert(decode_map(body), _Events)
    changes: list[Change] = []
    for event in e.events:
        if event.write is not None:
            changes.append((event.write, event.value, event.stamp))
        elif event.drop is not None:
            changes.append((event.drop, None, event.stamp))
    return changes, e.epoch


def committed(body: bytes) -> int:
    """The revision of a transaction; raises `Malformed`."""
    return _convert(decode_map(body), _Epoch).epoch


def granted(body: bytes) -> int:
    """The id of a new lease; raises `Malformed`."""
    return _convert(decode_map(body), _Grant).grant


def transaction(when: Iterable[Condition], then: Iterable[Write]) -> dict[str, Any]:
    """`then`: (key, value, grant); a value of None drops the key."""
    ops: list[dict[str, Any]] = []
    for key, value, grant in then:
        if value is None:
            ops.append({"drop": key})
        elif grant is None:
            ops.append({"write": key, "value": value})
        else:
            ops.append({"write": key, "value": value, "grant": grant})
    return {"when": [{"key": k, "stamp": s} for k, s in when], "then": ops}


def task_text(task: TaskId) -> str:
    """A task's id as text."""
    return str(task)
