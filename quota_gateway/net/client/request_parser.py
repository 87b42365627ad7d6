"""Validates the target and headers of a client's request and turns them into a ``model.Request``."""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import NamedTuple

from quota_gateway import model

MAX_TIMEOUT_MILLISECONDS = 60_000
MILLISECONDS_PER_SECOND = 1000
# How long requests of the previous classes are accepted after a reload.
PREVIOUS_CLASSES_GRACE_SECONDS = 3.0
ACCOUNT_ID_LIMIT = 2**33  # exclusive

REQUEST_ID = b"x-request-id"
PRIORITY_CLASS = b"x-priority-class"
PLAN = b"x-plan"
TIMEOUT = b"x-timeout-ms"
QUOTA = b"x-quota"
RETRIED = b"x-retried"
REQUIRED_HEADERS = (REQUEST_ID, PRIORITY_CLASS, PLAN, TIMEOUT, QUOTA)
PARSED_HEADERS = frozenset((*REQUIRED_HEADERS, RETRIED))

REQUEST_ID_PATTERN = re.compile(rb"[0-9a-fA-F]{16}")
ACCOUNT_PATTERN = re.compile(r"account=([0-9a-fA-F]{16})")
DECIMAL_PATTERN = re.compile(rb"[0-9]{1,9}")
QUOTA_PATTERN = re.compile(rb"units=([0-9]{1,9}(?:\.[0-9]{1,9})?),spread=([0-9]{1,9}),first=([0-9]{1,9})")


class BadRequestError(Exception):
    """A malformed or invalid request, which is answered without being forwarded."""

    def __init__(self, status: int, reason: str) -> None:
        """``status`` is the status code of the response; ``reason`` describes the error."""
        super().__init__(reason)
        self.status = status


class _QuotaHeader(NamedTuple):
    units: float  # the cost of the request
    serving_gateways: int  # the number of gateways that serve the account


class RequestParser:
    """Parses requests according to the classes, plans and limits of the settings in force."""

    def __init__(self, settings: model.Settings, clock: Callable[[], float] = lambda: 0.0) -> None:
        """Parse according to ``settings``; ``clock`` returns seconds from an arbitrary start."""
        self._clock = clock
        self._last_id = 0
        self._classes = dict[str, bool]()  # whether the method is GET, by name of the class
        self._plans = set[str]()
        self._previous_classes = dict[str, bool]()
        self._previous_classes_until = 0.0
        self.reconfigure(settings)

    def reconfigure(self, settings: model.Settings) -> None:
        """Apply new settings.

        Requests of the previous classes are accepted for ``PREVIOUS_CLASSES_GRACE_SECONDS``: some were sent
        before their clients received the new settings.
        """
        self._previous_classes = self._classes
        self._previous_classes_until = self._clock() + PREVIOUS_CLASSES_GRACE_SECONDS
        self._classes = {
            request_class.name: request_class.idempotency is model.Idempotency.INHERENT
            for request_class in settings.classes
        }
        self._plans |= {plan.name for plan in settings.plans}
        self._gateway_count = settings.gateway_count
        self._max_units = max(1.0, settings.max_units)

    def parse(
        self, method: bytes, target: str, headers: dict[bytes, bytes], *, uploading: bool = False
    ) -> model.Request:
        """Return the request as an event; ``headers`` contains the received headers of ``PARSED_HEADERS``.

        Raises BadRequestError for the first error that is found.
        """
        path, _, query = target.partition("?")
        class_name = path[1:].partition("/")[0]
        self._check_class(class_name, method, headers)
        if not REQUEST_ID_PATTERN.fullmatch(headers[REQUEST_ID]):
            raise BadRequestError(400, "invalid x-request-id")
        plan = headers[PLAN].decode("latin-1")
        if headers[PRIORITY_CLASS].decode("latin-1") != class_name or plan not in self._plans:
            raise BadRequestError(400, "unknown plan, or class differs from the path")
        account = _parse_account(query)
        timeout = _parse_timeout(headers[TIMEOUT])
        quota = self._parse_quota(headers[QUOTA])
        self._last_id += 1
        return model.Request(
            id=self._last_id,
            request_class=class_name,
            plan=plan,
            timeout=timeout,
            account=account,
            units=quota.units,
            serving_gateways=quota.serving_gateways,
            is_retry=headers.get(RETRIED) == b"1",
            uploading=uploading,
        )

    def _check_class(self, class_name: str, method: bytes, headers: dict[bytes, bytes]) -> None:
        previous = self._previous_classes
        if previous and self._clock() >= self._previous_classes_until:
            previous = {}
        if class_name not in self._classes and class_name not in previous:
            raise BadRequestError(404, "unknown path")
        for header in REQUIRED_HEADERS:
            if not headers.get(header):
                raise BadRequestError(400, f"{header.decode()} is missing")
        # The class determines the method: the body of a GET request could hide another request.
        if (method == b"GET") not in (self._classes.get(class_name), previous.get(class_name)):
            raise BadRequestError(405, "method differs from that of the class")

    def _parse_quota(self, text: bytes) -> _QuotaHeader:
        match = QUOTA_PATTERN.fullmatch(text)
        if match is None:
            raise BadRequestError(400, "invalid x-quota")
        units = float(match[1])
        serving_gateways = int(match[2])
        first_gateway = int(match[3])
        in_range = 1 <= serving_gateways <= self._gateway_count and first_gateway < self._gateway_count
        if not 0 < units <= self._max_units or not in_range:
            raise BadRequestError(400, "invalid x-quota")
        return _QuotaHeader(units, serving_gateways)


def _parse_account(query: str) -> str:
    # If a request had two accounts, the limiter could charge one of them and the endpoint the other.
    accounts = [part for part in query.split("&") if part.partition("=")[0].lower() == "account"]
    match = ACCOUNT_PATTERN.fullmatch(accounts[0]) if len(accounts) == 1 else None
    if match is None or int(match[1], 16) >= ACCOUNT_ID_LIMIT:
        raise BadRequestError(400, "missing, repeated or invalid account")
    return match[1].lower()


def _parse_timeout(text: bytes) -> float:
    """Return the timeout in seconds; the header has it in milliseconds."""
    if not DECIMAL_PATTERN.fullmatch(text) or not 0 < int(text) <= MAX_TIMEOUT_MILLISECONDS:
        raise BadRequestError(400, "invalid x-timeout-ms")
    return int(text) / MILLISECONDS_PER_SECOND
