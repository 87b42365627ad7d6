"""The sizes at which slopes are measured: fixed fractions of the full size."""

from __future__ import annotations

from scale.model import Effort

FRACTIONS = (0.125, 0.25, 0.5, 1.0)  # of the full size
QUICK_FRACTION = 0.1  # of the full size that a quick run takes for full


def sample_sizes(full: int, effort: Effort) -> list[int]:
    """Sizes up to ``full``, the smallest first; a tenth of them for a quick run."""
    largest = full * (QUICK_FRACTION if effort.quick else 1.0)
    return sorted({max(1, round(largest * fraction)) for fraction in FRACTIONS})
