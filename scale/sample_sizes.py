"""The sizes at which the costs of a slope are measured."""

from __future__ import annotations

from scale.model import Effort

FRACTIONS = (0.125, 0.25, 0.5, 1.0)  # fractions of the largest size
QUICK_FRACTION = 0.1  # largest size of a quick run, as a fraction of the full size


def sample_sizes(full: int, effort: Effort) -> list[int]:
    """Return ascending sizes up to ``full``, or up to a tenth of it in a quick run."""
    largest = full * (QUICK_FRACTION if effort.quick else 1.0)
    return sorted({max(1, round(largest * fraction)) for fraction in FRACTIONS})
