"""A controller's view as tables for a terminal."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from rich.console import Console, Group, RenderableType
from rich.table import Table
from rich.text import Text

MACHINE_COLUMNS = ("machine", "share", "type", "zone", "spot", "tasks", "cpus", "usable", "heat")
SHARE_COLUMNS = ("share", "home", "owner", "alive", "epoch", "settled")
WAITING_COLUMNS = ("job", "team", "tasks", "gang", "for_s", "why")
GANG_COLUMNS = ("job", "tasks", "attempt", "phase", "incomplete")
MOVE_COLUMNS = ("task", "from", "to", "reason", "stopped")
SOURCE_COLUMNS = ("name", "zones", "damped")
ORGANISATION_COLUMNS = (
    "organisation",
    "shares",
    "minimum",
    "weight",
    "maximum",
    "target",
    "held",
    "lent",
    "debt",
    "lacking",
    "why",
)
LIMIT_COLUMNS = ("name", "minimum", "weight", "maximum")
DIVISION_COLUMNS = ("version", "author", "at", "note")
WIDTH = 400  # of tables as text; lines are as long as their content


def _cell(value: Any) -> str:
    match value:
        case None:
            return "-"
        case bool():
            return "yes" if value else "no"
        case float():
            return f"{value:g}"
        case list():
            return ", ".join(map(str, value))
    return str(value)


def _table(title: str, columns: Sequence[str], rows: Sequence[dict[str, Any]]) -> RenderableType:
    if not rows:
        return Text(f"{title}: none")
    table = Table(*columns, title=title, title_justify="left", box=None, pad_edge=False)
    for row in rows:
        table.add_row(*(Text(_cell(row.get(column))) for column in columns))
    return table


def _locality(status: dict[str, Any]) -> list[RenderableType]:
    """The part on locality; empty while it is off."""
    if not status:
        return []
    moves = ", ".join(f"{count} {result}" for result, count in status["moves"].items())
    heats = ", ".join(f"{count} {heat}" for heat, count in status["machines"].items())
    left = ", ".join(f"{count:g} in share {n}" for n, count in status["moves_left"].items())
    mode = "dry run" if status["dry_run"] else "on" if status["rebalance"] else "placement only"
    return [
        f"locality: {mode}; machines {heats}; moves {moves}; left now: {left or 'none'}",
        _table("sources", SOURCE_COLUMNS, status["sources"]),
        _table("moves under way", MOVE_COLUMNS, status["under_way"]),
    ]


def render(status: dict[str, Any]) -> str:
    """The whole view."""
    head = (
        f"{status['member']}: {'entitled' if status['entitled'] else 'not entitled'} to act;"
        f" leader {status['leader'] or '-'}; contact {_cell(status['contact_s'])} s ago"
    )
    parts: list[RenderableType] = [
        head,
        _table("shares", SHARE_COLUMNS, status["shares"]),
        _table("machines", MACHINE_COLUMNS, status["machines"]),
        _table("waiting", WAITING_COLUMNS, status["waiting"]),
        _table("gangs", GANG_COLUMNS, status["gangs"]),
        *_locality(status["locality"]),
        *_entitlements(status["entitlements"]),
    ]
    return "\n\n".join(as_text(part) for part in parts)


def _entitlements(status: dict[str, Any]) -> list[RenderableType]:
    """The part on organisations; empty while none are stated."""
    return [organisations(status)] if status else []


def organisations(status: dict[str, Any]) -> RenderableType:
    """How the organisations fare; targets only as the leader tells them."""
    if status["problem"]:
        return Text(f"entitlements: not in force: {status['problem']}")
    head = f"division {status['version']}" + (" (reached)" if status["converged"] else "")
    return _table(head, ORGANISATION_COLUMNS, status["organisations"])


def divisions(current: dict[str, Any], past: Sequence[dict[str, Any]]) -> RenderableType:
    """The division in force and the last ones before it."""
    return Group(
        _table("limits", LIMIT_COLUMNS, current["limits"]),
        _table("versions", DIVISION_COLUMNS, [current, *past]),
    )


def as_text(part: RenderableType) -> str:
    """The part as plain lines, as wide as they need to be."""
    console = Console(width=WIDTH, color_system=None, force_terminal=False)
    with console.capture() as capture:
        console.print(part, soft_wrap=isinstance(part, str | Text), markup=False, highlight=False)
    return "\n".join(line.rstrip() for line in capture.get().rstrip().splitlines())
