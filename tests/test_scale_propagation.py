"""The scale test ``in_force``: a quick run gives plausible figures, which have no budgets."""

from __future__ import annotations

from scale.model import Budget, Effort, Size
from scale.propagation.discovery_clients import NOTIFY_TIMEOUT_SECONDS
from scale.propagation.real_limiters import RELOAD_TIMEOUT_SECONDS
from scale.propagation.summary import TEST

QUICK = Effort(runs=1, seed=3, processes=2, quick=True)


def test_a_quick_run_has_figures_without_budgets() -> None:
    result = TEST.run(Size(), Budget(), QUICK)
    figures = {figure.name: figure.value for figure in result.figures}
    assert 0 < figures["configuration in force, last limiter"] < RELOAD_TIMEOUT_SECONDS
    assert 0 < figures["pushed, 12 limiters: last"] < 1.0
    # Refused clients call again after different backoffs, so the last one is notified after the median one.
    name = "refused, then back, 12 limiters"
    assert figures[f"{name}: median"] < figures[f"{name}: last"] < NOTIFY_TIMEOUT_SECONDS
    assert all(figure.budget is None for figure in result.figures)
