"""Tests the progress score (Algorithm 2 of the paper) against examples computed by hand."""

import pytest

from runcourse.core.placement import MIN_CPUS, ZERO_SIZE, Size, count_fitting, progress_score

MACHINE = Size(32, 128)  # CPUs and GB: 4 GB per CPU


def test_empty_machine_counts_as_on_target() -> None:
    # current = target = 4, next = 10/4 = 2.5: 0 - 1.5, and the factor is 1 + 0/32.
    assert progress_score(MACHINE, ZERO_SIZE, Size(4, 10)) == pytest.approx(-1.5)


def test_task_that_brings_the_ratio_to_its_target_scores_positive() -> None:
    # allocated 8 CPUs, 16 GB: 2; with 4 CPUs, 32 GB: 48/12 = 4. |2-4| - |4-4| = 2.
    assert progress_score(MACHINE, Size(8, 16), Size(4, 32)) == pytest.approx(2.0)


def test_negative_score_weighs_more_on_a_fuller_machine() -> None:
    # 16 CPUs, 64 GB: on target, 4; with 4 CPUs, 8 GB: 72/20 = 3.6, so -0.4 times 1 + 16/32.
    assert progress_score(MACHINE, Size(16, 64), Size(4, 8)) == pytest.approx(-0.4 * 1.5)


def test_task_without_cpus_counts_as_a_request_of_min_cpus() -> None:
    assert progress_score(MACHINE, ZERO_SIZE, Size(0, 1)) == pytest.approx(-(1 / MIN_CPUS - 4))
    # 8 CPUs, 16 GB: 2; then 20/(8 + MIN_CPUS), nearly 2.5: half a GB per CPU nearer to the target.
    assert progress_score(MACHINE, Size(8, 16), Size(0, 4)) == pytest.approx(0.5, abs=1e-4)


def test_count_fitting_is_limited_by_the_scarcest_resource() -> None:
    assert count_fitting(Size(4, 10), Size(32, 64)) == 6
    assert count_fitting(Size(4, 10, 1), Size(32, 640, 2)) == 2
    assert count_fitting(Size(4, 10), Size(3.9, 64)) == 0
