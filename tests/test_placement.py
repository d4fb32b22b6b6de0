"""Algorithm 2 of the paper against examples worked by hand."""

import pytest

from runcourse.core.placement import MIN_CPUS, ZERO_SIZE, Size, count_fitting, progress_score

PM = Size(32, 128)  # 4 GB per CPU


def test_empty_machine_counts_as_on_target() -> None:
    # current = target = 4, next = 10/4 = 2.5: 0 - 1.5, and the factor is 1 + 0/32.
    assert progress_score(PM, ZERO_SIZE, Size(4, 10)) == pytest.approx(-1.5)


def test_a_task_that_balances_gains() -> None:
    # allocated 8 CPUs, 16 GB: 2; with 4 CPUs, 32 GB: 48/12 = 4. |2-4| - |4-4| = 2.
    assert progress_score(PM, Size(8, 16), Size(4, 32)) == pytest.approx(2.0)


def test_a_loss_weighs_more_on_a_fuller_machine() -> None:
    # 16 CPUs, 64 GB: on target; with 4 CPUs, 8 GB: 72/20 = 3.6, so -0.4 times 1 + 16/32.
    assert progress_score(PM, Size(16, 64), Size(4, 8)) == pytest.approx(-0.4 * 1.5)


def test_a_task_without_cpu_counts_as_a_tiny_request() -> None:
    assert progress_score(PM, ZERO_SIZE, Size(0, 1)) == pytest.approx(-(1 / MIN_CPUS - 4))
    # 8 CPUs, 16 GB: 2, then 20/(8 + tiny): nearly 2.5, half a GB per CPU nearer.
    assert progress_score(PM, Size(8, 16), Size(0, 4)) == pytest.approx(0.5, abs=1e-4)


def test_fits_times_counts_by_the_scarcest() -> None:
    assert count_fitting(Size(4, 10), Size(32, 64)) == 6
    assert count_fitting(Size(4, 10, 1), Size(32, 640, 2)) == 2
    assert count_fitting(Size(4, 10), Size(3.9, 64)) == 0
