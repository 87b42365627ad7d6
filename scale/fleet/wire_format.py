"""The encoding of envelopes between workers: plain tuples, which are faster to pickle than classes."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from scale.fleet.messages import ROLES, Envelope

EncodedEnvelope = tuple[float, int, int, int, int, tuple[Any, ...]]

_EVENT_TYPES: tuple[Any, ...] = tuple(ROLES)
_EVENT_CODES = {event_type: code for code, event_type in enumerate(_EVENT_TYPES)}


def encode(envelopes: Iterable[Envelope]) -> list[EncodedEnvelope]:
    """Encode envelopes; an event becomes the code of its type and the tuple of its fields."""
    return [
        (time, source, sequence, recipient, _EVENT_CODES[type(event)], tuple(event))
        for time, source, sequence, recipient, event in envelopes
    ]


def decode(encoded: Iterable[EncodedEnvelope]) -> list[Envelope]:
    """Decode envelopes."""
    return [
        Envelope(time, source, sequence, recipient, _EVENT_TYPES[code](*fields))
        for time, source, sequence, recipient, code, fields in encoded
    ]
