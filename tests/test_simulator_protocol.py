"""Simulator protocol: the units that an endpoint has charged are decoded, and 0 means not charged."""

from __future__ import annotations

from quota_gateway import model
from quota_gateway.simulator_protocol import decode_event


def test_charged_units_of_a_response_are_decoded() -> None:
    charged = decode_event("resolved", [11, 0, "s1", "OK", 0.1, True, 0, 2.5, None], {})
    assert isinstance(charged, model.AttemptCompleted)
    assert charged.charged_units == 2.5
    uncharged = decode_event("resolved", [11, 0, "s1", "OK", 0.1, True, 0, 0, None], {})
    assert isinstance(uncharged, model.AttemptCompleted)
    assert uncharged.charged_units is None
