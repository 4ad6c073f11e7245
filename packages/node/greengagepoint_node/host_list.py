"""Read the platform's lagging list of hosts over HTTP."""

from typing import Final

import aiohttp
import msgspec

from greengagepoint.errors import ErrorKind, StoreError
from greengagepoint.protocols import ListedHost
from greengagepoint_node.bodies import BodyTooLargeError, read_bounded

MAX_LIST_BYTES: Final = 4 * 1024 * 1024


class HostEntry(msgspec.Struct, kw_only=True):
    """One host as the list gives it; fields unknown here are left out.

    A host of a backend server has no peer address.
    """

    name: str
    address: str = ""
    peer_address: str = ""
    region: str = ""
    zone: str = ""
    leaving: bool = False


class HttpHostList:
    """Implement ``HostList``; every failure is a ``StoreError``.

    Kind ``STORE_ANSWER_INVALID`` means that a list came and can't be decoded.
    """

    def __init__(
        self, address: str, session: aiohttp.ClientSession, timeout_seconds: float
    ) -> None:
        base = address if "://" in address else f"http://{address}"
        self.url = f"{base}/hosts"
        self.session = session
        self.timeout = aiohttp.ClientTimeout(total=timeout_seconds)

    async def read(self) -> tuple[ListedHost, ...]:
        """Return live and leaving hosts as last known."""
        body = await self.fetch()
        try:
            entries = msgspec.json.decode(body, type=list[HostEntry])
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise StoreError(str(error), ErrorKind.STORE_ANSWER_INVALID) from error
        return tuple(ListedHost(**msgspec.structs.asdict(entry)) for entry in entries)

    async def fetch(self) -> bytes:
        """Return the body of a good answer."""
        try:
            async with self.session.get(
                self.url, timeout=self.timeout, allow_redirects=False
            ) as response:
                if response.status != 200:
                    raise StoreError(f"the host list answers {response.status}")
                return await read_bounded(response, MAX_LIST_BYTES)
        except BodyTooLargeError as error:
            raise StoreError(str(error), ErrorKind.STORE_ANSWER_INVALID) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StoreError(f"no answer from the host list: {error!r}") from error


def create_host_list(
    address: str, session: aiohttp.ClientSession, *, timeout_seconds: float
) -> HttpHostList:
    """Return a host list at host:port or at a URL; the session is the caller's."""
    return HttpHostList(address, session, timeout_seconds)
