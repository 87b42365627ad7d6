"""Configuration parser: addresses, the seed, the initial endpoints and the settings become typed records."""

from __future__ import annotations

from quota_gateway.config import Environment, parse_config
from tests.gateway_process import make_config


def test_a_configuration_is_parsed() -> None:
    parsed = parse_config(make_config("127.0.0.1:7070") | {"counter": "127.0.0.1:6400"}, Environment())
    assert parsed.counter == ("127.0.0.1", 6400)
    assert parsed.seed == 0x8C1F30D27A5BE964
    endpoints = parsed.initial_endpoints
    assert endpoints is not None
    assert endpoints.version == 41
    assert endpoints.update.complete
    assert parsed.timing.connect_timeout == 1.0
    assert parsed.settings.max_attempts == 2
