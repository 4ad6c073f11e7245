"""Header names and paths of the HTTP interfaces."""

from typing import Final

HEADER_REQUEST_ID: Final = "Greengagepoint-Request-Id"
HEADER_DEADLINE_MS: Final = "Greengagepoint-Deadline-Ms"
HEADER_TEAM: Final = "Greengagepoint-Team"
HEADER_RAN: Final = "Greengagepoint-Ran"
HEADER_LOAD: Final = "Greengagepoint-Load"
HEADER_HOST: Final = "Greengagepoint-Host"
HEADER_KEY: Final = "Idempotency-Key"
HEADER_KEY_STATE: Final = "Greengagepoint-Key"
KEY_STATE_MEMORY_ONLY: Final = "memory-only"
KEY_STATE_REPLAYED: Final = "replayed"
PROBLEM_CONTENT_TYPE: Final = "application/problem+json"

REQUEST_ID_MAX_LENGTH: Final = 128
KEY_MAX_LENGTH: Final = 255
DEADLINE_MAX_MS: Final = 3_600_000

# RFC 9110, section 7.6.1: these apply to a single connection and are not forwarded.
HOP_BY_HOP_HEADERS: Final = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
