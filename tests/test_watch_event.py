"""``parse_watch_event``: all fields of a message are parsed, and numbers out of range are malformed."""

from __future__ import annotations

import json

import pytest

from quota_gateway import model
from quota_gateway.net.discovery.watch_event import MalformedEventError, parse_watch_event
from tests.discovery_server import message


def test_all_fields_of_a_message_are_parsed() -> None:
    event = parse_watch_event(json.loads(message(1)))
    started_at = 1_800_000_000.25
    assert event.update.endpoints == (
        model.Endpoint("s1", model.EndpointHealth.HEALTHY, "a", 3, 1.5, started_at),
    )
    assert event.update.complete
    assert event.version == 1
    assert event.addresses == {"s1": "10.1.0.18:7070"}


@pytest.mark.parametrize(
    "text",
    [
        '{"seq": 2, "hosts": [{"host": "s1", "health": "ready", "dial": "10.1.0.1:1", "born_ms": 1%s}]}'
        % ("0" * 400),
        '{"seq": 2, "hosts": [{"host": "s1", "health": "ready", "dial": "10.1.0.1:1", "block": 1e999}]}',
        '{"seq": 1e999, "hosts": []}',
        '{"seq": 2, "hosts": [{"host": "s1", "health": "ready", "dial": "10.1.0.1:1", "born_ms": NaN}]}',
    ],
    ids=["start time", "cell", "version", "not a number"],
)
def test_message_with_a_number_out_of_range_is_malformed(text: str) -> None:
    """Any other exception would end the watch, and each new watch would end at the same line."""
    with pytest.raises(MalformedEventError):
        parse_watch_event(json.loads(text))
