"""Which share serves which organisation: dealt when the store is founded, read from then on.

The stored mapping deals its n-th name to share n modulo the number of shares, in every version
of this program. With fillers, names that no team has, any dealing can be written in that form.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ..core.entitlement import TeamShares
from ..core.ids import ShareNo, Team
from .settings import Organisation

FILLER = ""  # no team is named so


class Assignment(NamedTuple):
    """Whom each share serves, and what stands against it."""

    serves: Mapping[ShareNo, str]  # shares without teams are absent
    problem: str  # empty if every share serves one organisation at the most


def count_shares(organisations: Sequence[Organisation], shares: int) -> dict[str, int]:
    """How many shares each organisation gets: one at least, the others in proportion to
    weight, and none more than it has teams. The order of the input doesn't matter."""
    ordered = sorted(organisations, key=lambda entry: entry.name)
    number = {entry.name: 1 for entry in ordered}
    for _ in range(shares - len(ordered)):
        growing = [e for e in ordered if number[e.name] < len(e.teams)]
        if not growing:
            break
        # The largest weight for each share that it would then have.
        most = max(growing, key=lambda e: e.weight / (number[e.name] + 1))
        number[most.name] += 1
    return number


def deal(organisations: Sequence[Organisation], shares: int) -> list[str]:
    """Team names for the stored mapping, such that a share gets teams of one organisation."""
    columns: list[list[str]] = []
    number = count_shares(organisations, shares)
    for entry in sorted(organisations, key=lambda entry: entry.name):
        count, teams = number[entry.name], sorted(entry.teams)
        columns += [teams[n::count] for n in range(count)]
    columns += [[] for _ in range(shares - len(columns))]
    rows = max(map(len, columns))
    return [
        column[row] if row < len(column) else FILLER for row in range(rows) for column in columns
    ]


def derive_assignment(
    organisations: Sequence[Organisation], of_team: TeamShares, shares: int
) -> Assignment:
    """Whom each share serves, as the store deals the teams."""
    found: dict[ShareNo, dict[str, list[str]]] = {}
    for entry in sorted(organisations, key=lambda entry: entry.name):
        for team in sorted(entry.teams):
            share = of_team(Team(team))
            found.setdefault(share, {}).setdefault(entry.name, []).append(team)
    mixed = {share: teams for share, teams in sorted(found.items()) if len(teams) > 1}
    serves = {share: next(iter(teams)) for share, teams in found.items() if len(teams) == 1}
    return Assignment(serves, _problem(mixed))


def _problem(mixed: Mapping[ShareNo, Mapping[str, list[str]]]) -> str:
    if not mixed:
        return ""
    parts = (
        f"share {share}: "
        + "; ".join(f"{', '.join(names)} of {name}" for name, names in teams.items())
        for share, teams in mixed.items()
    )
    return "the store was dealt without organisations; " + " | ".join(parts)
