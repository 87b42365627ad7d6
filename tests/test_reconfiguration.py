"""Reload of settings: open requests keep their class, and an invalid file changes nothing."""

from __future__ import annotations

import json
import signal
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from quota_gateway import model
from quota_gateway.settings_parser import SettingsError, check_reloaded_settings, parse_settings
from soak.ports import free_port
from tests.admin_client import fetch_metrics
from tests.gateway_process import WIRE_SETTINGS, LimiterProcess, make_config, running_limiter
from tests.loopback import ScriptedEndpoint, async_test, http_request, read_message, running_server
from tests.simulation import (
    IDEMPOTENT_CLASS,
    GatewaySimulation,
    Outcome,
    attempt_completed,
    endpoint_list,
    make_request,
    make_settings,
)

RUNNING_SETTINGS = json.dumps(
    WIRE_SETTINGS
    | {"classes": [WIRE_SETTINGS["classes"][0] | {"hard_limit_s": 6.0}], "contract": {"cold_from": 0.5}}
)
SettingsChange = Callable[[dict[str, Any]], None]


def test_open_requests_keep_their_class_while_a_lower_attempt_limit_applies_at_once() -> None:
    simulation = GatewaySimulation(make_settings(max_attempts=3))
    simulation.feed(endpoint_list("s0", "s1", "s2"))
    simulation.feed(make_request(1))
    unsafe = replace(IDEMPOTENT_CLASS, idempotency=model.Idempotency.NONE)
    fresh = model.RequestClass("fresh", 1.0, 1.0, model.Idempotency.INHERENT)
    simulation.feed(make_settings(max_attempts=3, classes=(unsafe, fresh)))
    simulation.feed(make_request(2))
    simulation.feed(make_request(3, "fresh"))
    simulation.settings = replace(simulation.settings, classes=(unsafe, fresh))
    forwarded = len(simulation.forwarded)
    endpoints = {request_id: endpoint for (request_id, _), (endpoint, _) in simulation.in_flight.items()}
    simulation.feed(attempt_completed(2, 0, endpoints[2], model.CallStatus.RESET_AFTER_REQUEST))
    # Request 2 may have been executed, and its class is no longer idempotent.
    assert simulation.outcomes[2] is Outcome.FAILED
    assert len(simulation.forwarded) == forwarded
    simulation.settings = replace(simulation.settings, classes=(IDEMPOTENT_CLASS, fresh))
    simulation.feed(attempt_completed(1, 0, endpoints[1], model.CallStatus.ERROR))
    assert len(simulation.forwarded) == forwarded + 1  # its class was idempotent when it arrived
    simulation.feed(make_settings(max_attempts=1, classes=(unsafe, fresh)))
    simulation.feed(attempt_completed(3, 0, endpoints[3], model.CallStatus.ERROR))
    assert simulation.outcomes[3] is Outcome.REJECTED
    assert len(simulation.forwarded) == forwarded + 1


def without_key(path: str) -> SettingsChange:
    """Return a change that removes the key at a dotted path; a number in the path is a list index."""

    def change(raw: dict[str, Any]) -> None:
        *parents, key = path.split(".")
        container: Any = raw
        for parent in parents:
            container = container[int(parent)] if isinstance(container, list) else container[parent]
        del container[key]

    return change


def with_limit(key: str, value: object) -> SettingsChange:
    def change(raw: dict[str, Any]) -> None:
        raw["limits"][key] = value

    return change


def with_class_value(key: str, value: object) -> SettingsChange:
    def change(raw: dict[str, Any]) -> None:
        raw["classes"][0][key] = value

    return change


@pytest.mark.parametrize(
    "change",
    [
        without_key("classes"),
        without_key("limits"),
        without_key("contract"),
        without_key("contract.cold_from"),
        without_key("limits.max_attempts"),
        without_key("tariffs.0.quota_rate"),
        without_key("classes.0.hard_limit_s"),
        without_key("classes.0.effect"),
        without_key("me"),
        with_class_value("hard_limit_s", 0),
        with_class_value("hard_limit_s", -1.0),
        with_class_value("hard_limit_s", "6"),
        with_class_value("aim_s", None),
        with_class_value("aim_s", -2),
        with_limit("max_attempts", 0),
        with_limit("max_attempts", value=True),
        with_limit("max_attempts", None),
        lambda raw: raw.update(classes=[]),
        lambda raw: raw.update(classes=[3]),
        lambda raw: raw.update(contract=7),
        lambda raw: raw.update(tariffs=None),
    ],
)
def test_incomplete_settings_are_rejected(change: SettingsChange) -> None:
    raw = json.loads(RUNNING_SETTINGS)
    check_reloaded_settings(raw, json.loads(RUNNING_SETTINGS))
    change(raw)

    def reload() -> None:
        check_reloaded_settings(raw, json.loads(RUNNING_SETTINGS))
        parse_settings(raw).validate()

    with pytest.raises(SettingsError):
        reload()


class ReloadingLimiter:
    """A limiter whose configuration file is replaced while it runs."""

    def __init__(self, limiter: LimiterProcess, path: Path, admin_port: int) -> None:
        self._limiter = limiter
        self._path = path
        self._admin_port = admin_port

    async def reload(self, text: str, **expected_metrics: int) -> None:
        """Replace the file, send SIGHUP and wait until the metrics are as expected."""
        self._path.write_text(text)
        self._limiter.process.send_signal(signal.SIGHUP)
        while True:
            metrics = await self.metrics()
            if all(metrics[f"app.{name}"] == value for name, value in expected_metrics.items()):
                return

    async def metrics(self) -> dict[str, int]:
        return await fetch_metrics(self._admin_port)

    async def request(self, request_class: str) -> str:
        """Send a request of a class, and return the first line of the response."""
        reader, writer = await self._limiter.connect()
        writer.write(http_request(f"/{request_class}?account=00000000b4d65521"))
        status_line, _, _ = await read_message(reader)
        return status_line


async def check_reloads(limiter: ReloadingLimiter, raw: dict[str, Any]) -> None:
    lookup = raw["settings"]["classes"][0]
    fresh = lookup | {"name": "fresh"}
    valid = json.dumps(raw | {"settings": raw["settings"] | {"classes": [lookup, fresh]}})
    invalid = json.dumps(raw | {"settings": raw["settings"] | {"classes": [fresh | {"aim_s": 0}]}})
    await limiter.reload("", load_errors=1)
    await limiter.reload(invalid, load_errors=2)
    assert " 404 " in await limiter.request("fresh")
    await limiter.reload(valid, loads=1)
    assert " 200 " in await limiter.request("fresh")
    assert " 200 " in await limiter.request("lookup")
    assert (await limiter.metrics())["app.handled.fresh.passed"] == 1
    await limiter.reload(invalid, load_errors=3, loads=1)
    assert " 200 " in await limiter.request("lookup")


@async_test
async def test_sighup_loads_new_classes_and_rejects_an_invalid_file_as_a_whole(tmp_path: Path) -> None:
    port = free_port()
    async with running_server(ScriptedEndpoint().handle_connection) as address:
        raw = make_config(address) | {"settings": json.loads(RUNNING_SETTINGS), "mgmt": f"127.0.0.1:{port}"}
        async with running_limiter(raw, tmp_path, TMPDIR=str(tmp_path)) as limiter:
            await check_reloads(ReloadingLimiter(limiter, tmp_path / "config.json", port), raw)
