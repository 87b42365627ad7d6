"""The parsing of discovery's messages."""

from __future__ import annotations

import json

from quota_gateway import model
from quota_gateway.net.watch_event import parse_watch_event
from tests.discovery_server import message


def test_an_entry_is_read_in_full() -> None:
    listing = parse_watch_event(json.loads(message(1)))
    born = 1_800_000_000.25
    assert listing.update.endpoints == (
        model.Endpoint("s1", model.EndpointHealth.HEALTHY, "a", 3, 1.5, born),
    )
    assert listing.update.complete and listing.version == 1 and listing.addresses == {"s1": "10.1.0.18:7070"}
