"""Encoding and decoding of messages, with the examples in PROTOCOL."""

import pytest

from runcourse.core import types as t
from runcourse.core.ids import ABSENT, Attempt, JobId, Session, TaskId, Token
from runcourse.core.types import Condition, Write
from runcourse.wire import codec, state_messages
from runcourse.wire import messages as wire

JOB = {
    "uid": "j-000412",
    "lane": "train",
    "crew": "vision",
    "shape": "batch",
    "rank": "urgent",
    "legs": 16,
    "vcpus": 8.0,
    "gpus": 1.0,
    "ram_gb": 64.0,
    "kit": "img-07",
    "pull_gb": 6.2,
    "hulls": ["g8"],
    "yard": None,
    "together": True,
    "spread": False,
    "lendable": True,
    "guess_s": 240.0,
    "mark_every_s": 30.0,
    "mark_cost_s": 4.0,
    "due_s": 900.0,
}
REPORT = {
    "host": "i-000231",
    "addr": "10.1.0.232:9000",
    "hull": "g8",
    "yard": "a",
    "lendable": True,
    "tenure": 1,
    "tick": 88,
    "baton": 41,
    "warning_s": None,
    "legs": [
        {"leg": "j-000412/3", "try": 2, "stage": "running"},
        {"leg": "j-000398/0", "try": 1, "stage": "ended", "cause": "done"},
    ],
}


def test_submission_is_decoded_and_encoded_again() -> None:
    spec = wire.decode_submission(codec.decode_map(codec.encode(JOB)))
    assert (spec.tasks, spec.rank, spec.types, spec.deadline_s) == (16, 1, ("g8",), 900.0)
    assert wire.job_body(spec) == JOB


def test_null_in_a_submission_equals_omission_and_unknown_fields_are_ignored() -> None:
    body = {k: v for k, v in JOB.items() if k != "yard"} | {"colour": "red"}
    assert wire.decode_submission(body) == wire.decode_submission(
        codec.decode_map(codec.encode(JOB))
    )


def test_report_is_decoded() -> None:
    report = wire.decode_report(codec.encode(REPORT))
    assert (report.session, report.seq, report.token, report.notice_s) == (1, 88, 41, None)
    assert report.tasks[0] == t.TaskReport(TaskId(JobId("j-000412"), 3), Attempt(2), "running")
    assert (report.tasks[1].stage, report.tasks[1].cause) == ("ended", "done")


def test_repeated_list_of_tasks_is_decoded_once_unless_it_is_long() -> None:
    """The result for a list with the same bytes is reused; any other list is decoded, and a long
    one each time."""
    legs = [{"leg": f"j-{n:06d}/3", "try": 2, "stage": "running"} for n in range(4)]
    first = wire.decode_report(codec.encode({**REPORT, "legs": legs}))
    later = wire.decode_report(codec.encode({**REPORT, "tick": 90, "legs": legs}))
    assert later.tasks is first.tasks and later.seq == 90
    changed_legs = [{**legs[0], "stage": "flushing"}, *legs[1:]]
    other = wire.decode_report(codec.encode({**REPORT, "legs": changed_legs}))
    assert [e.stage for e in other.tasks] == ["saving", *["running"] * 3]
    many_legs = [{"leg": f"j-{n:06d}/3", "try": 2, "stage": "running"} for n in range(400)]
    reports = [wire.decode_report(codec.encode({**REPORT, "legs": many_legs})) for _ in range(2)]
    assert reports[0].tasks == reports[1].tasks and reports[0].tasks is not reports[1].tasks
    assert len(reports[0].tasks) == 400


@pytest.mark.parametrize("legs", [[{"leg": "j-1", "try": 1}], [{"leg": "j-1/x", "try": 1}], 3])
def test_malformed_report_is_refused(legs: object) -> None:
    with pytest.raises(codec.Malformed):
        wire.decode_report(codec.encode({**REPORT, "legs": legs}))


def test_null_in_a_report_equals_omission() -> None:
    required = {k: REPORT[k] for k in ("host", "tenure", "tick")}
    nulls = {**dict.fromkeys(REPORT), **required}
    assert wire.decode_report(codec.encode(nulls)) == wire.decode_report(codec.encode(required))
    with pytest.raises(codec.Malformed):
        wire.decode_report(codec.encode([required]))


def test_tokens_above_2_to_the_63_are_decoded() -> None:
    assert wire.decode_report(codec.encode({**REPORT, "baton": 2**63 + 5})).token == 2**63 + 5


def test_orders_are_encoded_in_answers_and_commands() -> None:
    task = TaskId(JobId("j-000377"), 1)
    orders = [
        t.Order("start", task, Attempt(2)),
        t.Order("stop", task, Attempt(1), 10.0),
        t.Order("forget", task, Attempt(1)),
    ]
    assert wire.report_answer(Token(41), orders) == {
        "baton": 41,
        "orders": [
            {"verb": "run", "leg": "j-000377/1", "try": 2},
            {"verb": "kill", "leg": "j-000377/1", "try": 1, "wind_down_s": 10.0},
            {"verb": "clear", "leg": "j-000377/1", "try": 1},
        ],
    }
    assert wire.commands(Token(41), Session(1), [])["tenure"] == 1


def test_state_service_messages_are_encoded_and_decoded() -> None:
    changes, epoch = state_messages.decode_events(
        codec.encode(
            {
                "epoch": 433,
                "events": [
                    {"write": "c/9", "value": {"a": 1}, "stamp": 433},
                    {"drop": "c/d", "stamp": 432},
                ],
            }
        )
    )
    assert epoch == 433
    assert changes == [("c/9", {"a": 1}, 433), ("c/d", None, 432)]
    assert state_messages.transaction(
        [Condition("a/b", ABSENT)], [Write("a/b", {"x": 1}, 7), Write("c/d", None)]
    ) == {
        "when": [{"key": "a/b", "stamp": 0}],
        "then": [{"write": "a/b", "value": {"x": 1}, "grant": 7}, {"drop": "c/d"}],
    }
    with pytest.raises(codec.Malformed):
        state_messages.decode_commit(codec.encode({"epoch": "x"}))
