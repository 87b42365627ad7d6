"""Connects of one module that fail or are late, by replacing ``create_connection`` of its event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from types import ModuleType
from typing import Any

import pytest


def replace_create_connection(
    monkeypatch: pytest.MonkeyPatch, module: ModuleType, create_connection: Callable[..., Awaitable[Any]]
) -> None:
    """Have the module connect by another function; all else of asyncio stays as it is."""

    class Loop:
        """The running event loop with the other function."""

        def __getattr__(self, name: str) -> Any:
            return getattr(asyncio.get_running_loop(), name)

        async def create_connection(self, *args: Any) -> Any:
            return await create_connection(*args)

    class Asyncio:
        """The asyncio module with that event loop."""

        get_running_loop = Loop

        def __getattr__(self, name: str) -> Any:
            return getattr(asyncio, name)

    monkeypatch.setattr(module, "asyncio", Asyncio())
