"""Tests of the conversion of the configuration file into typed records."""

from __future__ import annotations

from quota_gateway.config import Environment, parse_config
from tests.gateway_process import config


def test_a_configuration_is_parsed() -> None:
    read = parse_config(config("127.0.0.1:7070") | {"counter": "127.0.0.1:6400"}, Environment())
    assert read.counter == ("127.0.0.1", 6400)
    assert read.seed == 0x8C1F30D27A5BE964
    endpoints = read.initial_endpoints
    assert endpoints is not None
    assert endpoints.version == 41
    assert endpoints.update.complete
    assert read.timing.connect_timeout == 1.0
    assert read.settings.max_attempts == 2
