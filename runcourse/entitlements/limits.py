"""Validation of a division, the list of the organisations' limits.

Every organisation is listed exactly once, with a consistent minimum, weight and maximum.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Collection, Sequence

from ..core.stored_values import OrganisationLimits
from .settings import MAX_CPUS


def validate_limits(
    limits: Sequence[OrganisationLimits],
    organisations: Collection[str],
    served: Collection[str],
    pool: float,
) -> str:
    """Returns the first fault with its field, or an empty string. `organisations` are those of the
    entitlements file, `served` those that a share serves; `pool` is the CPUs that the minima may
    add up to."""
    counts = Counter(entry.name for entry in limits)
    for number, entry in enumerate(limits):
        place = f"organisations[{number}]"
        if entry.name not in organisations:
            return f"{place}.name: unknown organisation {entry.name!r}"
        if counts[entry.name] > 1:
            return f"{place}.name: {entry.name!r} is listed twice"
        if entry.name not in served:
            return f"{place}.name: {entry.name!r} has no share"
        fault = _validate_numbers(entry)
        if fault:
            return f"{place}.{fault}"
    missing = sorted(set(organisations) - set(counts))
    if missing:
        return f"organisations: missing: {', '.join(missing)}"
    minima = sum(entry.minimum for entry in limits)
    if minima > pool:
        return f"organisations: minima of {minima:g} CPUs are above the pool of {pool:g}"
    return ""


def _validate_numbers(entry: OrganisationLimits) -> str:
    if not 0 <= entry.minimum <= MAX_CPUS:
        return f"minimum: expected 0 to {MAX_CPUS:g}, got {entry.minimum:g}"
    if not (0 < entry.weight <= MAX_CPUS) or not math.isfinite(entry.weight):
        return f"weight: expected more than 0, got {entry.weight:g}"
    if entry.maximum is None:
        return ""
    if not 0 < entry.maximum <= MAX_CPUS:
        return f"maximum: expected more than 0, got {entry.maximum:g}"
    if entry.maximum < entry.minimum:
        return f"maximum: {entry.maximum:g} is less than the minimum of {entry.minimum:g}"
    return ""
