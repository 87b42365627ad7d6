"""An endpoint list whose endpoints are replaced one after the other, as discovery's watch events."""

from __future__ import annotations

from scale.model import Size
from scale.synthetic_inputs import endpoint_row, watch_event_text

REPLACEMENT_STRIDE = 7  # between the places of two replaced endpoints
# Health of the listed endpoint at each change of a replacement, as on the wire.
REPLACEMENT_STEPS = ("draining", "gone", "ready")


class ChangingEndpointList:
    """The endpoint list of a fleet; the version grows with each change."""

    def __init__(self, size: Size) -> None:
        """Start with the complete list of the size."""
        self._size = size
        self._version = 1
        self._endpoints = [*range(size.servers)]  # the number of the endpoint at each place
        self._changes = 0
        self._replaced_place = 0

    def complete_text(self) -> str:
        """Return the watch event with the present complete list."""
        rows = (endpoint_row(number, self._size) for number in self._endpoints)
        return watch_event_text(rows, self._version, complete=True)

    def next_change_text(self, now: float) -> str:
        """Return the watch event with the next change.

        An endpoint drains, is removed, and another endpoint starts in its place, each with one change.
        """
        step = self._changes % len(REPLACEMENT_STEPS)
        self._version += 1
        self._changes += 1
        if step == 0:
            replacements = self._changes // len(REPLACEMENT_STEPS)
            self._replaced_place = replacements * REPLACEMENT_STRIDE % len(self._endpoints)
        place = self._replaced_place
        health = REPLACEMENT_STEPS[step]
        is_new = health == "ready"
        if is_new:
            self._endpoints[place] += self._size.servers
        born_ms = round(now * 1000) if is_new else 0
        row = endpoint_row(self._endpoints[place], self._size, health, born_ms)
        return watch_event_text([row], self._version, complete=False)
