"""``RequestParser``: the event contains the values of the headers, and invalid requests are rejected."""

from __future__ import annotations

import pytest

from quota_gateway import model
from tests.client_helpers import assert_rejected, reject
from tests.loopback import LoopbackLimiter, ScriptedDecisions, async_test, http_request, run


@async_test
async def test_event_contains_the_values_of_the_headers() -> None:
    script = ScriptedDecisions(reject)
    async with LoopbackLimiter(script, {}) as limiter:
        await limiter.fetch(http_request(timeout_ms=480, X_Quota="units=1,spread=2,first=1", X_Retried="1"))
        (event,) = await script.wait_for(model.Request)
        assert (event.request_class, event.plan, event.account) == ("lookup", "basic", "00000000b4d65521")
        assert (event.units, event.serving_gateways, event.is_retry) == (1.0, 2, True)
        assert 0.4 < event.timeout < 0.48  # the margin for returning the response is deducted


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (http_request("/nowhere?account=00000000b4d65521"), 404),
        (http_request("/lookup?account=12"), 400),
        (http_request(X_Request_ID=""), 400),
        (http_request(X_Priority_Class="post"), 400),
        (http_request(X_Plan="platinum"), 400),
        (http_request(X_Timeout_Ms="soon"), 400),
        (http_request(X_Timeout_Ms="0"), 400),
        (http_request(X_Timeout_Ms="999999999"), 400),
        (http_request(X_Timeout_Ms="-5"), 400),
        (http_request(X_Request_ID="no id"), 400),
        (http_request(X_Request_ID="9b1f03aa5c7e2d419b1f03aa5c7e2d41"), 400),
        (http_request("/lookup?account=0000000200000000"), 400),
        (http_request("/lookup?account=00000000b4d65521&account=00000000b4d65522"), 400),
        (http_request(X_Quota="units=1,spread=3,first=3"), 400),
        (http_request(X_Quota="units=nan,spread=3,first=1"), 400),
        (http_request(X_Quota="units=-1,spread=3,first=1"), 400),
        (http_request(X_Quota="units=0,spread=3,first=1"), 400),
        (http_request("/post?account=00000000b4d65521"), 405),
        (http_request("/lookup?account=00000000b4d65521", b"x"), 405),
        (http_request(X_Quota="units=9,spread=3,first=1"), 400),
        (http_request(X_Quota="units=1,spread=0,first=1"), 400),
    ],
)
def test_invalid_target_or_headers_are_rejected_and_affect_no_other_client(
    request_bytes: bytes, status: int
) -> None:
    run(assert_rejected(request_bytes, status))
