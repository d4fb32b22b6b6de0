"""A controller's view as tables for a terminal."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from prettytable import PrettyTable, TableStyle

MACHINE_COLUMNS = ("machine", "share", "type", "zone", "spot", "tasks", "cpus", "usable", "heat")
SHARE_COLUMNS = ("share", "home", "owner", "alive", "epoch", "settled")
WAITING_COLUMNS = ("job", "team", "tasks", "gang", "for_s", "why")
GANG_COLUMNS = ("job", "tasks", "attempt", "phase", "incomplete")
MOVE_COLUMNS = ("task", "from", "to", "reason", "stopped")
SOURCE_COLUMNS = ("name", "zones", "damped")


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


def _table(title: str, columns: Sequence[str], rows: Sequence[dict[str, Any]]) -> str:
    if not rows:
        return f"{title}: none"
    table = PrettyTable(list(columns))
    table.set_style(TableStyle.PLAIN_COLUMNS)
    table.align = "l"
    for row in rows:
        table.add_row([_cell(row.get(column)) for column in columns])
    return f"{title}\n{table.get_string()}"


def _locality(status: dict[str, Any]) -> list[str]:
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
    parts = [
        head,
        _table("shares", SHARE_COLUMNS, status["shares"]),
        _table("machines", MACHINE_COLUMNS, status["machines"]),
        _table("waiting", WAITING_COLUMNS, status["waiting"]),
        _table("gangs", GANG_COLUMNS, status["gangs"]),
        *_locality(status["locality"]),
    ]
    return "\n\n".join(parts)
