"""Tests the weighted max-min allocation on random claims and on known examples."""

from __future__ import annotations

from fractions import Fraction

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from runcourse.entitlements.fairshare import Claim, allocate

amounts = st.floats(0.0, 1000.0, allow_nan=False).map(lambda x: round(x, 3))


@st.composite
def random_claim(draw: st.DrawFn, name: str) -> Claim:
    """Draws one claim with random demand, limits and weight."""
    minimum = draw(amounts)
    maximum = draw(st.none() | amounts.map(lambda extra: minimum + extra))
    weight = draw(st.floats(0.01, 100.0, allow_nan=False))
    return Claim(name, draw(amounts), minimum, weight, maximum)


@st.composite
def random_claims(draw: st.DrawFn) -> list[Claim]:
    """Draws one to six claims."""
    return [draw(random_claim(f"org-{n}")) for n in range(draw(st.integers(1, 6)))]


# Hypothesis derives the random seed from the name and the source of this test.
@settings(max_examples=300, deadline=None, derandomize=True, database=None)
@given(amounts, random_claims(), st.randoms(use_true_random=False))
def test_the_division_is_max_min_fair(capacity: float, claims: list[Claim], random: object) -> None:
    given_ = allocate(capacity, claims)
    whole = Fraction(capacity)
    for c in claims:
        assert 0 <= given_[c.name] <= c.ceiling, "never above demand or maximum"
    minima = sum(c.floor for c in claims)
    if minima <= whole:
        for c in claims:
            assert given_[c.name] >= c.floor, "minima are met where capacity allows"
    asking = [c for c in claims if given_[c.name] < c.ceiling]
    assert sum(given_.values()) == (whole if asking else sum(c.ceiling for c in claims))
    # No claim has more per weight than one below its ceiling, except by a minimum.
    for poor in asking:
        for rich in claims:
            level = given_[poor.name] / Fraction(poor.weight)
            if minima <= whole and given_[rich.name] > rich.floor:
                assert given_[rich.name] / Fraction(rich.weight) <= max(
                    level, poor.floor / Fraction(poor.weight)
                )
    mixed = list(claims)
    random.shuffle(mixed)  # type: ignore[attr-defined]
    assert allocate(capacity, mixed) == given_, "the same in any order"


@pytest.mark.parametrize(
    ("capacity", "claims", "expected"),
    [
        (90, [Claim("a", 100), Claim("b", 100, weight=2)], {"a": 30, "b": 60}),
        (90, [Claim("a", 10), Claim("b", 100)], {"a": 10, "b": 80}),
        (90, [Claim("a", 100, minimum=60), Claim("b", 100)], {"a": 60, "b": 30}),
        (90, [Claim("a", 5, minimum=60), Claim("b", 100)], {"a": 5, "b": 85}),
        (90, [Claim("a", 100, maximum=20), Claim("b", 100)], {"a": 20, "b": 70}),
        (90, [Claim("a", 100, maximum=20), Claim("b", 30)], {"a": 20, "b": 30}),
        (60, [Claim("a", 100, minimum=60), Claim("b", 100, minimum=60)], {"a": 30, "b": 30}),
        (0, [Claim("a", 100), Claim("b", 0)], {"a": 0, "b": 0}),
    ],
)
def test_known_allocations(capacity: float, claims: list[Claim], expected: dict[str, int]) -> None:
    assert allocate(capacity, claims) == expected
