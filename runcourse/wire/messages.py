"""PROTOCOL's messages of users and workers. The only place that knows their spellings.

Incoming bodies are MessagePack, checked by msgspec; what leaves here speaks the field's terms. A
message that does not fit its description raises `Malformed`.
"""

from __future__ import annotations

from collections.abc import Sequence
from functools import lru_cache
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from ..core.ids import Attempt, JobId, MachineId, Session, Token, parse_task
from ..core.jobs import MAX_TASKS, RANKS, UID, JobSpec
from ..core.types import Order, Report, TaskReport
from .codec import Amount, Malformed, Natural, Text, check_finite, convert

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


def submission(body: dict[str, Any]) -> JobSpec:
    """The submission that a body holds; raises `Malformed`."""
    s = convert(body, _Submission)
    if not UID.match(s.uid):
        raise Malformed("uid is not a job id")
    check_finite(
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
