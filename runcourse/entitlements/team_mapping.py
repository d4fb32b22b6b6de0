"""The mapping of teams to shares: written when the store is first used, read from then on.

The stored mapping assigns its n-th name to share n modulo the number of shares, in every version
of this program. With fillers, names that no team has, any mapping can be written in that form.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ..core.entitlement_policy import ShareOfTeam
from ..core.ids import ShareNo, Team
from .settings import Organisation

FILLER = ""  # placeholder in the stored mapping; no team has an empty name


class Assignment(NamedTuple):
    """Which organisation each share serves, by the stored team mapping."""

    # Shares that have no team or serve several organisations are absent.
    organisation_by_share: Mapping[ShareNo, str]
    problem: str  # why it can't be used; empty if every share serves at most one organisation


def count_shares(organisations: Sequence[Organisation], shares: int) -> dict[str, int]:
    """Returns how many shares each organisation gets: at least one, further ones in proportion to
    weight, and never more than it has teams. The result doesn't depend on the input's order."""
    ordered = sorted(organisations, key=lambda entry: entry.name)
    counts = {entry.name: 1 for entry in ordered}
    for _ in range(shares - len(ordered)):
        growing = [e for e in ordered if counts[e.name] < len(e.teams)]
        if not growing:
            break
        # The next share goes to the organisation that would then have most weight per share.
        chosen = max(growing, key=lambda e: e.weight / (counts[e.name] + 1))
        counts[chosen.name] += 1
    return counts


def order_teams(organisations: Sequence[Organisation], shares: int) -> list[str]:
    """Returns the names to store as the mapping, in such an order that all teams of a share
    belong to one organisation."""
    columns: list[list[str]] = []
    counts = count_shares(organisations, shares)
    for entry in sorted(organisations, key=lambda entry: entry.name):
        count, teams = counts[entry.name], sorted(entry.teams)
        columns += [teams[first::count] for first in range(count)]
    columns += [[] for _ in range(shares - len(columns))]
    rows = max(map(len, columns))
    return [
        column[row] if row < len(column) else FILLER for row in range(rows) for column in columns
    ]


def derive_assignment(
    organisations: Sequence[Organisation], share_of_team: ShareOfTeam, shares: int
) -> Assignment:
    """Returns which organisation each share serves, given the share of each team."""
    found: dict[ShareNo, dict[str, list[str]]] = {}
    for entry in sorted(organisations, key=lambda entry: entry.name):
        for team in sorted(entry.teams):
            share = share_of_team(Team(team))
            found.setdefault(share, {}).setdefault(entry.name, []).append(team)
    mixed = {share: teams for share, teams in sorted(found.items()) if len(teams) > 1}
    organisation_by_share = {
        share: next(iter(teams)) for share, teams in found.items() if len(teams) == 1
    }
    return Assignment(organisation_by_share, _describe_mixed(mixed))


def _describe_mixed(mixed: Mapping[ShareNo, Mapping[str, list[str]]]) -> str:
    """Returns which shares serve several organisations, as a problem; empty if none does."""
    if not mixed:
        return ""
    parts = (
        f"share {share}: "
        + "; ".join(f"{', '.join(names)} of {name}" for name, names in teams.items())
        for share, teams in mixed.items()
    )
    return "the store was dealt without organisations; " + " | ".join(parts)
