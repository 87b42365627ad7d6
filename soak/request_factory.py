"""Draws the requests of the clients of one limiter, and formats their heads."""

from __future__ import annotations

from dataclasses import replace
from itertools import count
from random import Random

from soak.history import ClientBehaviour, ClientRequest, History
from soak.settings import LIMITERS_PER_ACCOUNT, PlanName, RequestClass

CLASS_WEIGHTS = {RequestClass.LOOKUP: 5, RequestClass.KEYED: 3, RequestClass.POST: 2}
PLAN_WEIGHTS = {PlanName.OPEN: 3, PlanName.CAPPED: 1}
TIMEOUTS_SECONDS = (0.4, 0.8, 1.5, 2.0)
ACCOUNTS_PER_LIMITER_GROUP = 4
BODY_BYTES = 200
UPLOAD_BYTES = 300_000


class RequestFactory:
    """Creates the requests of one limiter's clients and adds them to the history.

    The limiters of a group of ``LIMITERS_PER_ACCOUNT`` serve the same accounts.
    """

    def __init__(
        self,
        limiter: int,
        limiter_count: int,
        history: History,
        random: Random,
        ids: count[int],
        longest_timeout: float = max(TIMEOUTS_SECONDS),
    ) -> None:
        """``ids`` numbers all requests of the run; no client waits longer than ``longest_timeout``."""
        self._limiter = limiter
        self._first_of_group = limiter // LIMITERS_PER_ACCOUNT * LIMITERS_PER_ACCOUNT
        self._group_size = min(LIMITERS_PER_ACCOUNT, limiter_count - self._first_of_group)
        self._history = history
        self._random = random
        self._ids = ids
        self._timeouts = [timeout for timeout in TIMEOUTS_SECONDS if timeout <= longest_timeout]

    def make(self, behaviour: ClientBehaviour) -> ClientRequest:
        """Draw a request."""
        return self._add(self._draw(behaviour))

    def make_incomplete(self, body_size: int) -> ClientRequest:
        """Draw a request that announces a body of ``body_size`` bytes and will not be sent completely."""
        drawn = self._draw(ClientBehaviour.INCOMPLETE_REQUEST)
        return self._add(replace(drawn, request_class=RequestClass.POST, body_size=body_size))

    def _draw(self, behaviour: ClientBehaviour) -> ClientRequest:
        request_class = RequestClass.POST
        if behaviour is not ClientBehaviour.LONG_UPLOAD:
            request_class = self._random.choices(list(CLASS_WEIGHTS), list(CLASS_WEIGHTS.values()))[0]
        plan = self._random.choices(list(PLAN_WEIGHTS), list(PLAN_WEIGHTS.values()))[0]
        first_account = self._first_of_group * ACCOUNTS_PER_LIMITER_GROUP
        account = first_account + self._random.randrange(ACCOUNTS_PER_LIMITER_GROUP)
        timeout = self._random.choice(self._timeouts)
        return ClientRequest(
            f"{next(self._ids):016x}",
            self._limiter,
            request_class,
            plan,
            account,
            timeout,
            behaviour,
            body_size=_body_size(request_class, behaviour),
        )

    def _add(self, request: ClientRequest) -> ClientRequest:
        self._history.requests[request.id] = request
        return request

    def format_head(self, request: ClientRequest) -> bytes:
        """Return the head of a request as it is sent."""
        method = "GET" if request.request_class == RequestClass.LOOKUP else "POST"
        lines = [
            f"{method} /{request.request_class}?account={request.account:016x} HTTP/1.1",
            "Host: origin.svc",
            f"X-Request-ID: {request.id}",
            f"X-Priority-Class: {request.request_class}",
            f"X-Plan: {request.plan}",
            f"X-Timeout-Ms: {int(request.timeout * 1000)}",
            f"X-Quota: units=1,spread={self._group_size},first={self._first_of_group}",
        ]
        if method == "POST":
            lines += [f"Content-Length: {request.body_size}", f"Idempotency-Key: {request.id * 2}"]
        return "\r\n".join([*lines, "", ""]).encode()


def _body_size(request_class: RequestClass, behaviour: ClientBehaviour) -> int:
    if behaviour is ClientBehaviour.LONG_UPLOAD:
        return UPLOAD_BYTES
    return 0 if request_class is RequestClass.LOOKUP else BODY_BYTES
