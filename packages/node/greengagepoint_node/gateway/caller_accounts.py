"""Tell whose request it is, and whether its account may go on asking."""

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
from greengagepoint_node.gateway.refusals import OLD_NEWS_RETRY_SECONDS, Refusal

SCHEME: Final = "bearer"


class CallerAccounts:
    """Identify callers by their keys, and hold accounts to their limits.

    ``revoke_seconds`` is for how long a key may work after it was taken away, None
    where a host that hears of nothing need not know. No key leaves this class, nor
    anything that a key could be found from.
    """

    def __init__(
        self,
        certainty: ConfigFreshness,
        gate: AccountGate,
        clock: Clock,
        is_current: Callable[[], bool],
        revoke_seconds: float | None,
        counters: GatewayCounters,
        has_accounts: Callable[[], bool],
    ) -> None:
        self.certainty = certainty
        self.gate = gate
        self.clock = clock
        self.is_current = is_current
        self.revoke_seconds = revoke_seconds
        self.counters = counters
        self.has_accounts = has_accounts

    def identify(
        self, request: web.BaseRequest, route: Route, table: RouteTable
    ) -> Account | None:
        """Return a caller's account, None where none is needed; raise Refusal.

        The request was sent before this is called, so what is certain now was certain
        later than it was sent.
        """
        if not table.accounts:
            return None
        account = table.accounts.by_key.get(read_key(request) or "")
        certain = self._is_certain()
        if route.public:
            return account if certain else None
        if not certain:
            raise self._uncertain(table)
        if account is None:
            raise self._unknown_key(table)
        return account

    def admit(self, account: Account) -> None:
        """Count a request of an account; raise Refusal where it is over its limit."""
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

    def serves_keys(self) -> bool:
        """Tell whether callers that need a key are served here."""
        return not self.has_accounts() or self._is_certain()

    def _is_certain(self) -> bool:
        """Tell whether no key of the configuration was taken away too long ago."""
        if self.revoke_seconds is None:
            return True
        return self.certainty.is_fresh(self.clock.monotonic(), self.revoke_seconds)

    def _uncertain(self, table: RouteTable) -> Refusal:
        """Return the refusal while this host can't know which keys still hold."""
        reason = f"keys of configuration {table.version} may have been taken away"
        age = self.certainty.age(self.clock.monotonic())
        inputs = {"certainty_age": _rounded(age)}
        kind, retry_after = ErrorKind.NOT_READY, OLD_NEWS_RETRY_SECONDS
        return Refusal(kind, 503, reason, retry_after, inputs)

    def _unknown_key(self, table: RouteTable) -> Refusal:
        """Return the refusal of a key that no account holds.

        A host whose news is old may have yet to hear of the key. Callers do not send a
        401 again; after a 503 they try another host.
        """
        reason = f"no account holds the key, configuration {table.version}"
        if self.is_current():
            return Refusal(ErrorKind.UNAUTHENTICATED, 401, reason)
        reason += ", which may be old"
        return Refusal(ErrorKind.NOT_READY, 503, reason, OLD_NEWS_RETRY_SECONDS)


def read_key(request: web.BaseRequest) -> str | None:
    """Return the key that a request carries, None where it does not carry just one."""
    values = request.headers.getall(hdrs.AUTHORIZATION, ())
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip().partition(" ")
    return key.strip() if scheme.lower() == SCHEME else None


def _rounded(value: float | None) -> float | None:
    """Return a number for a log line, None where it is not finite."""
    if value is None or value in (float("inf"), float("-inf")):
        return None
    return round(value, 3)
