"""Client accounts as operators configure them."""

from collections.abc import Iterable
from typing import Final

import msgspec

NAME_LENGTH_MAX: Final = 255


class Account(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """One client account.

    ``rank`` overrides a route's rank; None keeps the route's. A rate of 0 means that
    the account has no limit. ``burst`` is allowed on top of the rate; both apply to all
    hosts together. An empty ``home_regions`` means any region.
    """

    name: str
    rank: int | None = None
    requests_per_second: float = 0.0
    burst: float = 0.0
    home_regions: frozenset[str] = frozenset()

    @property
    def limited(self) -> bool:
        """Return True if the account has a rate limit."""
        return self.requests_per_second > 0


class AccountTable(msgspec.Struct):
    """The accounts of one configuration, by key and by name."""

    by_key: dict[str, Account] = {}
    by_name: dict[str, Account] = {}

    def __bool__(self) -> bool:
        """Return True if callers have to identify their account."""
        return bool(self.by_name)

    def add(self, account: Account, keys: Iterable[str]) -> None:
        """Add an account with its keys.

        Raise ValueError if either is invalid; its message contains no key.
        """
        _check(account)
        name = account.name
        if name in self.by_name:
            raise ValueError(f"duplicate account {name}")
        self.by_name[name] = account
        for key in keys:
            if not key:
                raise ValueError(f"account {name} has an empty key")
            owner = self.by_key.setdefault(key, account)
            if owner is not account:
                raise ValueError(f"{owner.name} and {name} have the same account key")


def _check(account: Account) -> None:
    """Raise ValueError if an account is invalid.

    Its name is sent in a header of requests to backend servers.
    """
    name = account.name
    if not name or not name.isascii() or not name.isprintable() or " " in name:
        raise ValueError(
            "account name must be non-empty printable ASCII without spaces"
        )
    if len(name) > NAME_LENGTH_MAX:
        raise ValueError("account name is longer than 255 characters")
    if account.requests_per_second < 0 or account.burst < 0:
        raise ValueError(f"account {name} has a negative rate or burst")
