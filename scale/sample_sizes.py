"""Where slopes are measured: at parts of the size."""

from __future__ import annotations

from scale.model import Effort

PARTS = (0.125, 0.25, 0.5, 1.0)
QUICK = 0.1  # of the size


def sample_sizes(full: int, effort: Effort) -> list[int]:
    """Sizes up to the full one, the smallest first; a tenth of them for a quick look."""
    whole = full * (QUICK if effort.quick else 1.0)
    return sorted({max(1, round(whole * part)) for part in PARTS})
