"""Messages of users and workers; their names and values on the wire appear only in this module.

Incoming bodies are MessagePack. msgspec checks them against the structs below, and the functions
convert them to the types of the core. A message that does not match raises `Malformed`.
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

# --- users ---


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
    """Returns the job id of a submission whose other fields may be malformed, or None."""
    uid = body.get("uid")
    return JobId(uid) if isinstance(uid, str) and UID.match(uid) else None


def decode_submission(body: dict[str, Any]) -> JobSpec:
    """Returns the job specification in a submission; raises `Malformed`."""
    submission = convert(body, _Submission)
    if not UID.match(submission.uid):
        raise Malformed("uid is not a job id")
    check_finite(
        submission.vcpus,
        submission.gpus,
        submission.ram_gb,
        submission.pull_gb,
        submission.guess_s,
        submission.mark_every_s,
        submission.mark_cost_s,
        submission.due_s or 0.0,
    )
    return JobSpec(
        uid=submission.uid,
        lane=submission.lane,
        team=submission.crew,
        service=submission.shape == "service",
        gang=submission.shape == "ensemble",
        rank=RANKS[submission.rank],
        tasks=submission.legs,
        cpus=submission.vcpus,
        gpus=submission.gpus,
        memory=submission.ram_gb,
        image=submission.kit,
        image_gb=submission.pull_gb,
        types=submission.hulls,
        zone=submission.yard,
        together=submission.together,
        spread=submission.spread,
        spot=submission.lendable,
        estimate_s=submission.guess_s,
        checkpoint_s=submission.mark_every_s,
        save_s=submission.mark_cost_s,
        deadline_s=submission.due_s,
    )


def job_state(
    uid: str, stage: str, done: int | None = None, running: int | None = None
) -> dict[str, Any]:
    """Returns the body of an answer about a job; counts are included if `done` is given."""
    state: dict[str, Any] = {"uid": uid, "stage": stage}
    if done is not None:
        state["done"] = done
        state["running"] = running or 0
    return state


def job_body(spec: JobSpec) -> dict[str, Any]:
    """Returns a submission as a user sends it; client commands and test servers use it."""
    rank_names = {number: name for name, number in RANKS.items()}
    return {
        "uid": spec.uid,
        "lane": spec.lane,
        "crew": spec.team,
        "shape": "service" if spec.service else "ensemble" if spec.gang else "batch",
        "rank": rank_names[spec.rank],
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


# --- workers ---

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


class _TaskEntry(Struct, frozen=True):
    leg: Text
    attempt: Annotated[int, Meta(ge=0)] = msgspec.field(name="try")
    stage: str | None = None
    cause: str | None = None
    stored: bool | None = None


class _Report(Struct, frozen=True):
    """A worker's report. A null field equals an omitted one.

    Decoded in one step, without an intermediate map, because most messages are reports.
    """

    host: Text
    tenure: Natural
    tick: Natural
    baton: Natural | None = None
    addr: str | None = None
    hull: str | None = None
    yard: str | None = None
    lendable: bool | None = None
    warning_s: float | None = None
    legs: msgspec.Raw = msgspec.Raw(b"")  # decoded separately: see `_decode_tasks`


_report_decoder = msgspec.msgpack.Decoder(_Report)
_task_list_decoder = msgspec.msgpack.Decoder(list[_TaskEntry] | None)
MAX_CACHED_BYTES = 4096  # a longer list of tasks is decoded each time
CACHED_TASK_LISTS = 1024


def _decode_tasks(raw: bytes) -> tuple[TaskReport, ...]:
    try:
        entries = _task_list_decoder.decode(raw) if raw else None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise Malformed(str(error)) from error
    tasks = []
    for entry in entries or ():
        try:
            task = parse_task(entry.leg)
        except ValueError as error:
            raise Malformed(str(error)) from error
        tasks.append(
            TaskReport(
                task=task,
                attempt=Attempt(entry.attempt),
                stage=_STAGES.get(entry.stage or "", "running"),
                cause=_CAUSES.get(entry.cause or "", "error") if entry.stage == "ended" else "",
                saved=bool(entry.stored),
            )
        )
    return tuple(tasks)


# The task list of most reports equals that of the previous report byte for byte. Decoding it is a
# large part of the cost of a report, and processor time is the scarcest resource of a controller.
_decode_tasks_cached = lru_cache(maxsize=CACHED_TASK_LISTS)(_decode_tasks)


def decode_report(body: bytes) -> Report:
    """Returns the report in a body; raises `Malformed`."""
    try:
        report = _report_decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise Malformed(str(error)) from error
    raw = bytes(report.legs)
    tasks = _decode_tasks(raw) if len(raw) > MAX_CACHED_BYTES else _decode_tasks_cached(raw)
    return Report(
        machine=MachineId(report.host),
        addr=report.addr or "",
        type=report.hull or "",
        zone=report.yard or "",
        spot=bool(report.lendable),
        session=Session(report.tenure),
        seq=report.tick,
        token=Token(report.baton or 0),
        notice_s=report.warning_s,
        tasks=tasks,
    )


def _order_body(order: Order) -> dict[str, Any]:
    body: dict[str, Any] = {
        "verb": {"start": "run", "stop": "kill", "forget": "clear"}[order.op],
        "leg": str(order.task),
        "try": order.attempt,
    }
    if order.op == "stop":
        body["wind_down_s"] = order.grace_s
    return body


def report_answer(token: Token, orders: Sequence[Order]) -> dict[str, Any]:
    """Returns the body of the answer to a report."""
    return {"baton": token, "orders": [_order_body(order) for order in orders]}


def redirect(member: str | None) -> dict[str, Any]:
    """Returns the body of the answer that redirects a worker to `member`, empty if unknown."""
    return {"steward": member} if member else {}


def commands(token: Token, session: Session, orders: Sequence[Order]) -> dict[str, Any]:
    """Returns the body of a request that sends orders directly to a worker."""
    return {"baton": token, "tenure": session, "orders": [_order_body(order) for order in orders]}
