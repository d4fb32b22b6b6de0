"""Weighted max-min fair division of a capacity, by progressive filling.

D. Bertsekas, R. Gallager, "Data Networks", 1992, section 6.5.2: all allocations grow together, each
in proportion to its weight, and each stops growing when its claim is met. In this module an
allocation also starts at its minimum. Numbers are exact fractions, so the result depends neither on
rounding nor on the order of the claims.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from fractions import Fraction
from typing import NamedTuple

ZERO = Fraction(0)


class Claim(NamedTuple):
    """The demand of one organisation and the bounds of its allocation, in CPUs."""

    name: str
    demand: float
    minimum: float = 0.0
    weight: float = 1.0
    maximum: float | None = None  # None: unlimited

    @property
    def ceiling(self) -> Fraction:
        """The largest possible allocation."""
        demand = Fraction(self.demand)
        return demand if self.maximum is None else min(demand, Fraction(self.maximum))

    @property
    def floor(self) -> Fraction:
        """The part that is allocated before any claim gets more than its minimum."""
        return min(Fraction(self.minimum), self.ceiling)


class _Range(NamedTuple):
    """Lower and upper bound of one allocation in CPUs, and the weight with which it grows."""

    name: str
    floor: Fraction
    ceiling: Fraction
    weight: Fraction

    def at(self, level: Fraction) -> Fraction:
        """Returns the allocation in CPUs at a level, which is in CPUs per unit of weight."""
        return min(max(level * self.weight, self.floor), self.ceiling)


def allocate(capacity: float, claims: Iterable[Claim]) -> dict[str, Fraction]:
    """Returns the weighted max-min fair allocation of the capacity, by name.

    No claim gets more than its demand or maximum. Minima are allocated first; if the capacity is
    less than all minima, it is divided among them by weight.
    """
    ordered = sorted(claims)
    available = max(Fraction(capacity), ZERO)
    minima = [_Range(c.name, ZERO, c.floor, Fraction(c.weight)) for c in ordered]
    if sum(r.ceiling for r in minima) >= available:
        return _fill(available, minima)
    return _fill(
        available, [_Range(c.name, c.floor, c.ceiling, Fraction(c.weight)) for c in ordered]
    )


def _fill(capacity: Fraction, ranges: Sequence[_Range]) -> dict[str, Fraction]:
    """Returns the allocations that use up the capacity, or the ceilings if all of them fit."""
    if sum((r.ceiling for r in ranges), ZERO) <= capacity:
        return {r.name: r.ceiling for r in ranges}
    level = _level(capacity, ranges)
    return {r.name: r.at(level) for r in ranges}


def _level(capacity: Fraction, ranges: Sequence[_Range]) -> Fraction:
    """Returns the level at which the allocations add up to the capacity.

    Their sum is linear between the levels at which an allocation leaves its floor or reaches its
    ceiling, so the level is interpolated between two of those breakpoints.
    """
    breakpoints = sorted({bound / r.weight for r in ranges for bound in (r.floor, r.ceiling)})
    below = ZERO
    for boundary in breakpoints:
        if sum((r.at(boundary) for r in ranges), ZERO) >= capacity:
            break
        below = boundary
    growing = sum((r.weight for r in ranges if r.floor <= below * r.weight < r.ceiling), ZERO)
    used = sum((r.at(below) for r in ranges), ZERO)
    return below if not growing else below + (capacity - used) / growing
