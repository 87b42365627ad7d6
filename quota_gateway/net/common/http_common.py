"""HTTP limits, headers and addresses that client connections and endpoint connections share."""

from __future__ import annotations

MAX_BUFFERED_BODY_BYTES = 64 * 1024  # a longer body is streamed
MAX_STREAMED_BODY_BYTES = 40 * 1024 * 1024  # the limit for the body of a request
# The receive buffer of a socket from which a body is streamed. Hundreds of these buffers must fit in memory.
STREAM_RECEIVE_BUFFER_BYTES = 128 * 1024
MAX_HEAD_BYTES = 32 * 1024  # the limit for a request line or status line together with its headers
LINE_OVERHEAD_BYTES = 4  # of a forwarded header line: the colon, a space and the line end
MAX_PORT = 65535
# Headers that belong to one connection and are never forwarded (RFC 9110, 7.6.1), and the framing headers,
# which are generated again because the body may be framed differently on the next connection.
NOT_FORWARDED_HEADERS = frozenset(
    (
        b"connection", b"content-length", b"expect", b"keep-alive", b"proxy-authenticate",
        b"proxy-authorization", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
    )
)  # fmt: skip


def split_address(text: str) -> tuple[str, int]:
    """Split ``host:port``; the brackets around an IPv6 host are removed.

    Raises ``ValueError`` if the text has a different format.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"invalid address, expected host:port: {text!r:.60}")
    return host.strip("[]"), int(port)
