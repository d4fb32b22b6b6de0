"""Messages between controllers: their encoding, and malformed lines."""

from __future__ import annotations

import asyncio
import logging
from typing import Any

import msgspec
import pytest

from runcourse.core.ids import (
    Attempt,
    Incarnation,
    JobId,
    MachineId,
    Member,
    Session,
    ShareNo,
    Stamp,
    TaskId,
    Token,
)
from runcourse.core.types import Order, Report, TaskReport
from runcourse.net.http import Server
from runcourse.net.peers import PeerLinks
from runcourse.wire import peer_messages as p

TASK = TaskId(JobId("j-000001"), 2)
ENTRY = p.DemandEntry((2.0, 4.0, 0.0), 1, True, ["m4"], None, ["a"], 3, 2, 1.5, True, {"b": 1})
ENTRY_MAP = {
    "size": [2.0, 4.0, 0.0],
    "rank": 1,
    "spot": True,
    "types": ["m4"],
    "zone": None,
    "shut": ["a"],
    "n": 3,
    "hire": 2,
    "age": 1.5,
    "block": True,
    "room": {"b": 1},
}
REPORT = Report(
    MachineId("i-1"),
    "h:1",
    "m4",
    "a",
    False,
    Session(1),
    7,
    Token(5),
    None,
    (TaskReport(TASK, Attempt(3), "running"),),
)
REPORT_LIST = [
    "i-1", "h:1", "m4", "a", False, 1, 7, 5, None, [[["j-000001", 2], 3, "running", "", False]],
]  # fmt: skip

# Each message, and its encoding in the version in production.
ENCODINGS: list[tuple[Any, dict[str, Any]]] = [
    (
        p.Heartbeat(True, {JobId("j-000001"): 2}, ["i-1"], 9),
        {
            "t": "hello",
            "contact": True,
            "running": {"j-000001": 2},
            "silent": ["i-1"],
            "applied": 9,
        },
    ),
    (p.SyncRequest(), {"t": "sync"}),
    (p.CancellationNotice(JobId("j-1")), {"t": "cancelled", "uid": "j-1"}),
    (p.CancellationNotice(JobId("j-1"), True), {"t": "cancelled", "uid": "j-1", "ask": True}),
    (p.CancellationAck(JobId("j-1"), False), {"t": "knows", "uid": "j-1", "owner": False}),
    (
        p.GrantRequest(Incarnation("x"), 4, Stamp(8)),
        {"t": "vouch?", "inc": "x", "n": 4, "applied": 8},
    ),
    (
        p.GrantResponse(Incarnation("x"), 4, True, False, [JobId("j-1")]),
        {"t": "vouch", "inc": "x", "n": 4, "ok": True, "contact": False, "cancelled": ["j-1"]},
    ),
    (
        p.ShareLoad(ShareNo(1), 4.0, {"i-1": p.MachineLoad(0.5, -1.0, 4.0)}, [ENTRY]),
        {
            "t": "load",
            "share": 1,
            "used": 4.0,
            "machines": {"i-1": [0.5, -1.0, 4.0]},
            "needs": [ENTRY_MAP],
        },
    ),
    (
        p.UnknownMachine(MachineId("i-1"), "h:1", "m4", "a", True),
        {"t": "unknown", "id": "i-1", "addr": "h:1", "type": "m4", "zone": "a", "spot": True},
    ),
    (p.ReturnMachine(MachineId("i-1")), {"t": "retire", "machine": "i-1"}),
    (
        p.TransferMachine(MachineId("i-1"), ShareNo(2)),
        {"t": "give", "machine": "i-1", "share": 2},
    ),
    (p.DrainMachines(ShareNo(2), 1), {"t": "drain", "share": 2, "n": 1}),
    (
        p.TransferredState(MachineId("i-1"), "h:1", Session(1), 7, Token(5), [("img", 0.5)]),
        {
            "t": "given",
            "machine": "i-1",
            "addr": "h:1",
            "session": 1,
            "seq": 7,
            "token": 5,
            "images": [["img", 0.5]],
        },
    ),
    (
        p.VacateMachine(ShareNo(0), ShareNo(1), ENTRY),
        {"t": "vacate", "share": 0, "to": 1, "need": ENTRY_MAP},
    ),
    (
        p.YieldMachines(ShareNo(0), ShareNo(1), 4.0, ENTRY),
        {"t": "yield", "share": 0, "to": 1, "cpus": 4.0, "need": ENTRY_MAP},
    ),
    (p.RelayedReport(3, REPORT), {"t": "beat", "n": 3, "report": REPORT_LIST}),
    (
        p.RelayedResponse(3, 200, Token(5), [Order("start", TASK, Attempt(3))]),
        {
            "t": "beaten",
            "n": 3,
            "status": 200,
            "token": 5,
            "orders": [["start", ["j-000001", 2], 3, 0.0]],
        },
    ),
]


@pytest.mark.parametrize(("message", "encoded"), ENCODINGS, ids=lambda v: str(v)[:24])
def test_each_kind_is_encoded_as_in_production(message: Any, encoded: dict[str, Any]) -> None:
    assert msgspec.json.decode(p.encode(message)) == encoded
    assert p.decode(msgspec.json.encode({**encoded, "later": "field"})) == message


def test_every_kind_is_among_the_encodings() -> None:
    assert {type(message) for message, _ in ENCODINGS} == set(p.PeerMessage.__args__)


def test_fields_that_an_older_version_does_not_send_have_defaults() -> None:
    heartbeat = p.decode(b'{"t":"hello","contact":true,"running":{},"silent":[]}')
    assert isinstance(heartbeat, p.Heartbeat) and heartbeat.applied is None
    old_entry = {k: v for k, v in ENTRY_MAP.items() if k not in ("block", "room")}
    load = {"t": "load", "share": 0, "used": 0.0, "machines": {}, "needs": [old_entry]}
    message = p.decode(msgspec.json.encode(load))
    assert isinstance(message, p.ShareLoad) and not message.needs[0].block


@pytest.mark.parametrize(
    ("line", "kind"),
    [
        (b"not JSON", p.UNKNOWN_KIND),
        (b"[1]", p.UNKNOWN_KIND),
        (b'{"t":"mystery"}', p.UNKNOWN_KIND),
        (b'{"t":"vouch","n":1}', "vouch"),
        (b'{"t":"hello","contact":"yes","running":{},"silent":[]}', "hello"),
        (b"\xff\xfe", p.UNKNOWN_KIND),
    ],
)
def test_malformed_line_raises_an_error_that_names_its_kind(line: bytes, kind: str) -> None:
    with pytest.raises(p.MalformedPeerMessage) as raised:
        p.decode(line)
    assert raised.value.kind == kind


def test_malformed_lines_are_ignored_counted_and_logged_once_per_kind(
    caplog: pytest.LogCaptureFixture,
) -> None:
    received: list[p.PeerMessage] = []

    async def main() -> PeerLinks:
        links = PeerLinks(
            Member("n0"),
            {Member("n1"): ("127.0.0.1", 1)},
            lambda member, message: received.append(message),
            lambda question: {},
            Server(None, 1),  # type: ignore[arg-type]
        )
        reader = asyncio.StreamReader()
        lines = [b'{"member":"n1"}', b'{"t":"mystery"}', b"{", b'{"t":"vouch"}', b'{"t":"sync"}']
        reader.feed_data(b"\n".join(lines) + b"\n")
        reader.feed_eof()
        await links._serve(reader, _StubWriter())  # type: ignore[arg-type]
        return links

    with caplog.at_level(logging.WARNING):
        links = asyncio.run(main())
    assert received == [p.SyncRequest()], "lines after malformed ones are read"
    assert links.malformed == {p.UNKNOWN_KIND: 2, "vouch": 1}
    assert len(caplog.records) == 2


class _StubWriter:
    def close(self) -> None:
        """Does nothing: there is no connection."""
