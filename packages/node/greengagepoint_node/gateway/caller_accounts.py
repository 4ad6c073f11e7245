"""Authenticate callers by key and enforce the request limits of their accounts."""

from collections.abc import Callable
from typing import Final

from aiohttp import hdrs, web

from greengagepoint.accounts.certainty import ConfigFreshness
from greengagepoint.accounts.gate import AccountGate
from greengagepoint.accounts.tables import Account
from greengagepoint.errors import ErrorKind
from greengagepoint.protocols import Clock
from greengagepoint.routing.tables import Route, RouteTable
from greengagepoint_node.gateway.counters import GatewayCounters
from greengagepoint_node.gateway.refusals import OUTDATED_VIEW_RETRY_SECONDS, Refusal

SCHEME: Final = "bearer"


class CallerAccounts:
    """Identify callers by their keys and apply account limits.

    ``revoke_seconds`` is how long a revoked key may still work; None if a host may go
    on without updates. Keys, and values from which a key could be derived, never leave
    this class.
    """

    def __init__(
        self,
        config_freshness: ConfigFreshness,
        gate: AccountGate,
        clock: Clock,
        is_current: Callable[[], bool],
        revoke_seconds: float | None,
        counters: GatewayCounters,
        has_accounts: Callable[[], bool],
    ) -> None:
        self.config_freshness = config_freshness
        self.gate = gate
        self.clock = clock
        self.is_current = is_current
        self.revoke_seconds = revoke_seconds
        self.counters = counters
        self.has_accounts = has_accounts

    def identify(
        self, request: web.BaseRequest, route: Route, table: RouteTable
    ) -> Account | None:
        """Return a caller's account, or None if it needs none.

        Raise Refusal if the key is unknown or this host can't verify keys. Freshness is
        checked after the request was sent, so a key that was revoked ``revoke_seconds``
        before the request is never accepted.
        """
        if not table.accounts:
            return None
        account = table.accounts.by_key.get(read_key(request) or "")
        can_verify = self._can_verify_keys()
        if route.public:
            return account if can_verify else None
        if not can_verify:
            raise self._stale_keys_rejection(table)
        if account is None:
            raise self._unknown_key_rejection(table)
        return account

    def admit(self, account: Account) -> None:
        """Count a request of an account; raise Refusal if it is over its limit."""
        admission = self.gate.admit(account, self.clock.monotonic())
        self.counters.add_account(account.name, admitted=admission.admitted)
        if admission.admitted:
            return
        inputs = {
            "account": account.name,
            "limit": account.requests_per_second,
            "share": _rounded(admission.share),
            "part": _rounded(admission.part),
            "told_age": _rounded(admission.limits_age),
        }
        reason = "the account is over its limit"
        retry_after = admission.retry_seconds
        raise Refusal(ErrorKind.ACCOUNT_LIMIT, 429, reason, retry_after, inputs)

    def can_serve_keys(self) -> bool:
        """Return True if this host can serve callers that need a key."""
        return not self.has_accounts() or self._can_verify_keys()

    def _can_verify_keys(self) -> bool:
        """Return True if the configuration is recent enough to honor revocations."""
        if self.revoke_seconds is None:
            return True
        return self.config_freshness.is_fresh(
            self.clock.monotonic(), self.revoke_seconds
        )

    def _stale_keys_rejection(self, table: RouteTable) -> Refusal:
        """Return the refusal while keys of the configuration may have been revoked."""
        reason = f"keys of configuration {table.version} may have been revoked"
        age = self.config_freshness.age(self.clock.monotonic())
        inputs = {"certainty_age": _rounded(age)}
        kind, retry_after = ErrorKind.NOT_READY, OUTDATED_VIEW_RETRY_SECONDS
        return Refusal(kind, 503, reason, retry_after, inputs)

    def _unknown_key_rejection(self, table: RouteTable) -> Refusal:
        """Return the refusal of a key that belongs to no account.

        A host whose configuration may be outdated answers 503 instead of 401: the key
        may be new, and callers try another host after a 503 but don't retry a 401.
        """
        reason = f"no account has this key in configuration {table.version}"
        if self.is_current():
            return Refusal(ErrorKind.UNAUTHENTICATED, 401, reason)
        reason += ", which may be outdated"
        return Refusal(ErrorKind.NOT_READY, 503, reason, OUTDATED_VIEW_RETRY_SECONDS)


def read_key(request: web.BaseRequest) -> str | None:
    """Return the bearer key of a request, or None unless it has exactly one."""
    values = request.headers.getall(hdrs.AUTHORIZATION, ())
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip().partition(" ")
    return key.strip() if scheme.lower() == SCHEME else None


def _rounded(value: float | None) -> float | None:
    """Return a rounded number for a log line, or None if it is not finite."""
    if value is None or value in (float("inf"), float("-inf")):
        return None
    return round(value, 3)
