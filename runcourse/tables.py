"""Formats a controller's status as tables for a terminal."""

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
TEXT_WIDTH = 400  # columns; rows stay as long as their content, as trailing blanks are removed


def _format_cell(value: Any) -> str:
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
        table.add_row(*(Text(_format_cell(row.get(column))) for column in columns))
    return table


def _locality_parts(status: dict[str, Any]) -> list[RenderableType]:
    """Returns the section on locality, empty if it is off."""
    if not status:
        return []
    moves = ", ".join(f"{count} {result}" for result, count in status["moves"].items())
    machine_counts = ", ".join(f"{count} {heat}" for heat, count in status["machines"].items())
    left = ", ".join(f"{count:g} in share {n}" for n, count in status["moves_left"].items())
    mode = "dry run" if status["dry_run"] else "on" if status["rebalance"] else "placement only"
    return [
        f"locality: {mode}; machines {machine_counts}; moves {moves}; left now: {left or 'none'}",
        _table("sources", SOURCE_COLUMNS, status["sources"]),
        _table("moves under way", MOVE_COLUMNS, status["under_way"]),
    ]


def render(status: dict[str, Any]) -> str:
    """Returns the whole status as text."""
    head = (
        f"{status['member']}: {'entitled' if status['entitled'] else 'not entitled'} to act;"
        f" leader {status['leader'] or '-'}; contact {_format_cell(status['contact_s'])} s ago"
    )
    parts: list[RenderableType] = [
        head,
        _table("shares", SHARE_COLUMNS, status["shares"]),
        _table("machines", MACHINE_COLUMNS, status["machines"]),
        _table("waiting", WAITING_COLUMNS, status["waiting"]),
        _table("gangs", GANG_COLUMNS, status["gangs"]),
        *_locality_parts(status["locality"]),
        *_entitlement_parts(status["entitlements"]),
    ]
    return "\n\n".join(as_text(part) for part in parts)


def _entitlement_parts(status: dict[str, Any]) -> list[RenderableType]:
    """Returns the section on organisations, empty if none are configured."""
    return [organisations_table(status)] if status else []


def organisations_table(status: dict[str, Any]) -> RenderableType:
    """Returns a table of the organisations; only the leader's status contains targets."""
    if status["problem"]:
        return Text(f"entitlements: not in force: {status['problem']}")
    head = f"division {status['version']}" + (" (reached)" if status["converged"] else "")
    return _table(head, ORGANISATION_COLUMNS, status["organisations"])


def division_tables(current: dict[str, Any], past: Sequence[dict[str, Any]]) -> RenderableType:
    """Returns tables of the limits in force and of the present and past divisions."""
    return Group(
        _table("limits", LIMIT_COLUMNS, current["limits"]),
        _table("versions", DIVISION_COLUMNS, [current, *past]),
    )


def as_text(part: RenderableType) -> str:
    """Renders a part as plain text without trailing blanks."""
    console = Console(width=TEXT_WIDTH, color_system=None, force_terminal=False)
    with console.capture() as capture:
        console.print(part, soft_wrap=isinstance(part, str | Text), markup=False, highlight=False)
    return "\n".join(line.rstrip() for line in capture.get().rstrip().splitlines())
