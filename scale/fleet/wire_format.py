"""Envelopes as they go from worker to worker.

Bare tuples: pickling each class by name with each window takes a measurable part of a run.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from scale.fleet.messages import ROLES, Envelope

EncodedEnvelope = tuple[float, int, int, int, int, tuple[Any, ...]]

_EVENT_TYPES: tuple[Any, ...] = tuple(ROLES)
_EVENT_CODES = {event_type: code for code, event_type in enumerate(_EVENT_TYPES)}


def encode(envelopes: Iterable[Envelope]) -> list[EncodedEnvelope]:
    """The envelopes with the number of each event's type and its fields."""
    return [
        (time, source, sequence, recipient, _EVENT_CODES[type(event)], tuple(event))
        for time, source, sequence, recipient, event in envelopes
    ]


def decode(encoded: Iterable[EncodedEnvelope]) -> list[Envelope]:
    """The envelopes that were encoded."""
    return [
        Envelope(time, source, sequence, recipient, _EVENT_TYPES[code](*fields))
        for time, source, sequence, recipient, code, fields in encoded
    ]
