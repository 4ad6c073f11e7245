"""What operators say of client accounts."""

from collections.abc import Iterable
from typing import Final

import msgspec

NAME_LENGTH_MAX: Final = 255


class Account(msgspec.Struct, frozen=True, kw_only=True, gc=False):
    """One client account.

    ``rank`` goes before a route's, None where the account has none. A rate of 0 means
    that the account has no limit; ``burst`` comes on top, both over all hosts together.
    ``home_regions`` empty means any.
    """

    name: str
    rank: int | None = None
    requests_per_second: float = 0.0
    burst: float = 0.0
    home_regions: frozenset[str] = frozenset()

    @property
    def limited(self) -> bool:
        """Tell whether the account may ask for so much and no more."""
        return self.requests_per_second > 0


class AccountTable(msgspec.Struct):
    """The accounts of one configuration, by key and by name."""

    by_key: dict[str, Account] = {}
    by_name: dict[str, Account] = {}

    def __bool__(self) -> bool:
        """Tell whether callers have to say whose request it is."""
        return bool(self.by_name)

    def add(self, account: Account, keys: Iterable[str]) -> None:
        """Add an account with its keys; raise ValueError that names no key."""
        _check(account)
        name = account.name
        if name in self.by_name:
            raise ValueError(f"two accounts are called {name}")
        self.by_name[name] = account
        for key in keys:
            if not key:
                raise ValueError(f"the account {name} has an empty key")
            holder = self.by_key.setdefault(key, account)
            if holder is not account:
                raise ValueError(f"{holder.name} and {name} hold the same key")


def _check(account: Account) -> None:
    """Raise ValueError where an account can't be served.

    Its name goes into a header of requests to backend servers.
    """
    name = account.name
    if not name or not name.isascii() or not name.isprintable() or " " in name:
        raise ValueError("an account has no usable name")
    if len(name) > NAME_LENGTH_MAX:
        raise ValueError("the name of an account is too long")
    if account.requests_per_second < 0 or account.burst < 0:
        raise ValueError(f"the account {name} has a negative limit")
