"""Weighted max-min fair division of a capacity, by progressive filling.

D. Bertsekas, R. Gallager, "Data Networks", 1992, section 6.5.2: all allocations grow together, each
in proportion to its weight, and one stops growing where its claim ends. Here an allocation also
begins at its minimum. Numbers are exact fractions, so the result depends on neither rounding nor
the order of the claims.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from fractions import Fraction
from typing import NamedTuple

ZERO = Fraction(0)


class Claim(NamedTuple):
    """What one organisation asks for, and the bounds of what it gets; all in CPUs."""

    name: str
    demand: float
    minimum: float = 0.0
    weight: float = 1.0
    maximum: float | None = None  # None: no bound

    @property
    def ceiling(self) -> Fraction:
        """The most that it may get."""
        demand = Fraction(self.demand)
        return demand if self.maximum is None else min(demand, Fraction(self.maximum))

    @property
    def floor(self) -> Fraction:
        """What it gets before anybody gets more than a minimum."""
        return min(Fraction(self.minimum), self.ceiling)


class _Range(NamedTuple):
    """Bounds of one allocation while the level rises."""

    name: str
    floor: Fraction
    ceiling: Fraction
    weight: Fraction

    def at(self, level: Fraction) -> Fraction:
        """The allocation at a level of CPUs for each unit of weight."""
        return min(max(level * self.weight, self.floor), self.ceiling)


def allocate(capacity: float, claims: Iterable[Claim]) -> dict[str, Fraction]:
    """The weighted max-min fair allocation of the capacity, by name.

    Nobody gets more than its demand or maximum; minima come first, and where the capacity doesn't
    hold them all it is divided among them by weight.
    """
    ordered = sorted(claims)
    whole = max(Fraction(capacity), ZERO)
    minima = [_Range(c.name, ZERO, c.floor, Fraction(c.weight)) for c in ordered]
    if sum(r.ceiling for r in minima) >= whole:
        return _fill(whole, minima)
    return _fill(whole, [_Range(c.name, c.floor, c.ceiling, Fraction(c.weight)) for c in ordered])


def _fill(capacity: Fraction, ranges: Sequence[_Range]) -> dict[str, Fraction]:
    """Raise the level until the capacity is used or every ceiling is reached."""
    if sum((r.ceiling for r in ranges), ZERO) <= capacity:
        return {r.name: r.ceiling for r in ranges}
    level = _level(capacity, ranges)
    return {r.name: r.at(level) for r in ranges}


def _level(capacity: Fraction, ranges: Sequence[_Range]) -> Fraction:
    """The level at which the allocations add up to the capacity.

    Their sum is linear between the levels at which an allocation leaves its floor or reaches its
    ceiling, so the level is found between two of those.
    """
    bends = sorted({bound / r.weight for r in ranges for bound in (r.floor, r.ceiling)})
    below = ZERO
    for bend in bends:
        if sum((r.at(bend) for r in ranges), ZERO) >= capacity:
            break
        below = bend
    growing = sum((r.weight for r in ranges if r.floor <= below * r.weight < r.ceiling), ZERO)
    used = sum((r.at(below) for r in ranges), ZERO)
    return below if not growing else below + (capacity - used) / growing
