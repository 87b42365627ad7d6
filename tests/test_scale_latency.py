"""The scale test ``latency``: a quick run gives plausible figures, which have no budgets."""

from __future__ import annotations

from scale.latency.summary import TEST
from scale.model import Budget, Effort, Origin, Size

QUICK = Effort(runs=1, seed=3, processes=2, quick=True)


def test_a_quick_run_has_figures_without_budgets() -> None:
    result = TEST.run(Size(), Budget(), QUICK)
    figures = {figure.name: figure for figure in result.figures}
    assert 0 < figures["decision p50"].value < figures["added p50"].value < figures["added p99"].value + 1e-9
    assert figures["waiting for the counter p50"].origin is Origin.DERIVED
    assert all(figure.budget is None for figure in result.figures)  # budgets apply only to full runs
