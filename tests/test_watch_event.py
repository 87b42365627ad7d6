"""The parsing of discovery's messages."""

from __future__ import annotations

import json

from quota_gateway import model
from quota_gateway.net.watch_event import parse_watch_event
from tests.discovery_server import message


def test_message_is_parsed_in_full() -> None:
    event = parse_watch_event(json.loads(message(1)))
    started_at = 1_800_000_000.25
    assert event.update.endpoints == (
        model.Endpoint("s1", model.EndpointHealth.HEALTHY, "a", 3, 1.5, started_at),
    )
    assert event.update.complete and event.version == 1 and event.addresses == {"s1": "10.1.0.18:7070"}
