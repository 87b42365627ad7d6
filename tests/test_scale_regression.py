"""The slopes of the scale tests: a line fits the medians, and a line that is not reliable gets a warning."""

from __future__ import annotations

import pytest

from scale import regression


def test_a_line_fits_the_medians() -> None:
    line = regression.line("cost", "B", "things", {n: [3 * n + 7, 3 * n + 7, 1e6] for n in (10, 20, 40, 80)})
    assert [line.slope, line.intercept] == pytest.approx([3.0, 7.0])
    assert line.residual < 1e-9
    assert regression.warning(line) == ""
    assert [regression.cost_at(line, 40), regression.cost_at(line, 100)] == pytest.approx([127, 307])


def test_warnings_report_a_nonlinear_cost_and_too_few_sizes() -> None:
    assert (
        regression.warning(regression.line("cost", "B", "things", {n: [n * n] for n in (10, 20, 40, 80)}))
        == "no line"
    )
    assert (
        regression.warning(regression.line("cost", "B", "things", {1: [1], 2: [2], 3: [3]})) == "few points"
    )
    invalid: list[dict[float, list[float]]] = [{1: [1.0]}, {1: [1.0], 2: []}, {}]
    for points in invalid:
        with pytest.raises(ValueError, match="two sizes"):
            regression.line("cost", "B", "things", points)
