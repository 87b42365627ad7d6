"""Load reports: the load that an endpoint states, in a response header or in the body of a health check."""

from __future__ import annotations

import logging
import math

log = logging.getLogger(__name__)


def parse_load_report(text: str) -> dict[str, float]:
    """Parse ``inflight=7,queue=2`` into numbers by name.

    Return an empty report, and log a warning, if any part is malformed.
    """
    report: dict[str, float] = {}
    try:
        for part in text.split(","):
            name, _, value = part.partition("=")
            number = float(value)
            if not name.strip() or not math.isfinite(number):
                raise ValueError(f"not a name with a finite number: {part!r:.40}")
            report[name.strip()] = number
    except ValueError:
        log.warning("dropped a malformed load report: %.80r", text)
        return {}
    return report
