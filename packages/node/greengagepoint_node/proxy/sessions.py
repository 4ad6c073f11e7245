"""HTTP client sessions towards backend servers."""

import asyncio
from typing import Final, NamedTuple

import aiohttp

CONNECT_SECONDS: Final = 2.0
READ_BUFFER_BYTES: Final = 64 * 1024
KEEPALIVE_SECONDS: Final = 30.0
HEADER_MAX_BYTES: Final = 32 * 1024

# The methods that aiohttp's client sends again by itself when a reused connection
# turns out to be closed.
RESENT_BY_CLIENT_METHODS: Final = frozenset(
    {"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"}
)


class BackendSessions(NamedTuple):
    """One session that reuses connections, and one that never does."""

    reusing: aiohttp.ClientSession
    single_use: aiohttp.ClientSession

    def choose(self, method: str, *, repeatable: bool) -> aiohttp.ClientSession:
        """Return the session for a request.

        The client would silently resend, say, a PUT after a reused connection closed
        under it, and the backend server would run it twice. On a new connection it
        never resends, so what must not repeat goes there.
        """
        if not repeatable and method in RESENT_BY_CLIENT_METHODS:
            return self.single_use
        return self.reusing

    async def async_close(self) -> None:
        """Close all connections."""
        await asyncio.gather(self.reusing.close(), self.single_use.close())


def create_backend_sessions() -> BackendSessions:
    """Return the sessions; the number in flight is bounded by the balancing tables."""
    return BackendSessions(
        reusing=_create_session(
            aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_SECONDS)
        ),
        single_use=_create_session(aiohttp.TCPConnector(limit=0, force_close=True)),
    )


def _create_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    """Return a session that passes bytes and headers on unchanged."""
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        max_field_size=HEADER_MAX_BYTES,
        max_line_size=HEADER_MAX_BYTES,
        read_bufsize=READ_BUFFER_BYTES,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_SECONDS),
        trust_env=False,
    )
