"""Identify a request across its retries and across hosts."""

from functools import cached_property

from aiohttp import hdrs, web

from greengagepoint.accounts.tables import Account
from greengagepoint.overload.held_bytes import FLOOR_BYTES
from greengagepoint.quarantine.fingerprint import (
    Fingerprint,
    hash_caller,
    hash_content,
    hash_head,
)
from greengagepoint.routing.tables import host_name

CREDENTIALS = (hdrs.AUTHORIZATION, hdrs.COOKIE)


class RequestIdentity:
    """Compute the fingerprint of a request on first use.

    ``address`` is that of its caller.
    """

    def __init__(
        self,
        request: web.BaseRequest,
        body: bytes | None,
        address: str,
        account: Account | None = None,
    ) -> None:
        self.address = address
        self.request = request
        self.body = body
        self.account = account

    def drop_body(self) -> None:
        """Keep the fingerprint of a large body only, as its bytes are given back."""
        if self.body is not None and len(self.body) > FLOOR_BYTES:
            _ = self.fingerprint
            self.body = None

    @cached_property
    def head(self) -> str:
        """Return the hash of the authority, method and target, without the body."""
        request = self.request
        authority = host_name(request.host)
        return hash_head(authority, request.method, request.rel_url.raw_path_qs)

    @cached_property
    def fingerprint(self) -> Fingerprint:
        """Return the fingerprint, equal for all retries of the same request."""
        request = self.request
        names = CREDENTIALS
        values = []
        if self.account is not None:
            # The hash is logged and sent to peers. Hashing the account name instead of
            # the key keeps the key from being found by brute force.
            names = (hdrs.COOKIE,)
            values = [self.account.name]
        values += [
            value for name in names for value in request.headers.getall(name, ())
        ]
        caller = hash_caller(self.address, "\n".join(values))
        return Fingerprint(hash_content(self.head, self.body), caller)
