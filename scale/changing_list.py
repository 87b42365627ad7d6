"""An endpoint list whose endpoints are replaced one after the other, encoded as watch events."""

from __future__ import annotations

from scale.model import Size
from scale.synthetic_inputs import endpoint_row, watch_event_text

REPLACEMENT_STRIDE = 7  # list positions from one replaced endpoint to the next
# An endpoint is replaced by three changes of the list. This is its health on the wire in each of them.
REPLACEMENT_STEPS = ("draining", "gone", "ready")


class ChangingEndpointList:
    """The endpoint list of a fleet. Each change increments its version."""

    def __init__(self, size: Size) -> None:
        """Start with ``size.servers`` endpoints."""
        self._size = size
        self._version = 1
        self._endpoints = [*range(size.servers)]  # endpoint number by list position
        self._change_count = 0
        self._replaced_position = 0

    def complete_text(self) -> str:
        """Return the watch event with the present complete list."""
        rows = (endpoint_row(number, self._size) for number in self._endpoints)
        return watch_event_text(rows, self._version, complete=True)

    def next_change_text(self, now: float) -> str:
        """Return the watch event with the next change.

        One change drains an endpoint, the next removes it, and the third adds a new endpoint at its position.
        """
        step = self._change_count % len(REPLACEMENT_STEPS)
        self._version += 1
        self._change_count += 1
        if step == 0:
            replacements = self._change_count // len(REPLACEMENT_STEPS)
            self._replaced_position = replacements * REPLACEMENT_STRIDE % len(self._endpoints)
        position = self._replaced_position
        health = REPLACEMENT_STEPS[step]
        is_new = health == "ready"
        if is_new:
            self._endpoints[position] += self._size.servers
        born_ms = round(now * 1000) if is_new else 0
        row = endpoint_row(self._endpoints[position], self._size, health, born_ms)
        return watch_event_text([row], self._version, complete=False)
