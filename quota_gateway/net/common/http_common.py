"""What clients' and endpoints' connections have in common of HTTP: size limits, headers and addresses."""

from __future__ import annotations

MAX_BUFFERED_BODY = 64 * 1024  # bytes of a body that is buffered completely; a longer one is streamed
MAX_STREAMED_BODY = 40 * 1024 * 1024  # bytes of a streamed request body
STREAM_RECEIVE_BUFFER = (
    128 * 1024
)  # bytes of a socket's receive buffer for a streamed body: hundreds must fit
MAX_HEAD = 32 * 1024  # bytes of a request line or status line with its headers
MAX_PORT = 65535
# Headers that belong to one connection and are never forwarded (RFC 9110, 7.6.1), and the framing headers,
# which are written anew because the body may be framed differently on the next connection.
NOT_FORWARDED = frozenset(
    (
        b"connection", b"content-length", b"expect", b"keep-alive", b"proxy-authenticate",
        b"proxy-authorization", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
    )
)  # fmt: skip


def split_address(text: str) -> tuple[str, int]:
    """Split ``host:port``; an IPv6 host stands in brackets, which are removed.

    Raises ``ValueError`` if the text has another form.
    """
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isascii() or not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(f"not an address: {text!r:.60}")
    return host.strip("[]"), int(port)
