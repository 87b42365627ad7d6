"""Connect faults for tests: replaces ``create_connection`` of the event loop as one module sees it."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from types import ModuleType
from typing import Any

import pytest


def replace_create_connection(
    monkeypatch: pytest.MonkeyPatch, module: ModuleType, create_connection: Callable[..., Awaitable[Any]]
) -> None:
    """Replace ``create_connection`` in the module; it uses the rest of asyncio unchanged."""

    class Loop:
        """The running event loop with ``create_connection`` replaced."""

        def __getattr__(self, name: str) -> Any:
            return getattr(asyncio.get_running_loop(), name)

        async def create_connection(self, *args: Any) -> Any:
            return await create_connection(*args)

    class Asyncio:
        """The asyncio module with ``Loop`` as the running event loop."""

        get_running_loop = Loop

        def __getattr__(self, name: str) -> Any:
            return getattr(asyncio, name)

    monkeypatch.setattr(module, "asyncio", Asyncio())
