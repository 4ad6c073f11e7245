"""Hold claims in memory while the store is down, and store them afterwards."""

from typing import Final

from greengagepoint.delivery.answers import ClaimRow
from greengagepoint.delivery.claims import encode
from greengagepoint.delivery.committers import CLAIMS_PER_WRITE_MAX
from greengagepoint.errors import ErrorKind, RequestError, StoreError
from greengagepoint_node.coordinators.claims_committer import ClaimCommitter

MEMORY_ONLY_MAX: Final = 20_000


class MemoryOnlyClaims:
    """Claims that no other host can see, by store key."""

    def __init__(self, committer: ClaimCommitter) -> None:
        self.committer = committer
        self.rows: dict[str, ClaimRow] = {}

    def __bool__(self) -> bool:
        """Tell whether there is anything to store."""
        return bool(self.rows)

    def add(self, key: str, row: ClaimRow) -> None:
        """Hold a claim; raise RequestError when memory is full.

        Forgetting an older one in its place would let that one run twice.
        """
        if len(self.rows) >= MEMORY_ONLY_MAX:
            raise RequestError(
                "Too many keys are held in memory only", ErrorKind.STORE_UNAVAILABLE
            )
        row.memory_only = True
        self.rows[key] = row

    def discard(self, key: str) -> None:
        """Forget a claim whose request has not run."""
        self.rows.pop(key, None)

    async def async_store(self) -> bool:
        """Store some of the claims; tell whether the store took them."""
        rows = list(self.rows.items())[:CLAIMS_PER_WRITE_MAX]
        if not rows:
            return True
        items = [(key, encode(row.value)) for key, row in rows]
        try:
            await self.committer.async_store(items)
        except StoreError:
            return False
        for key, row in rows:
            row.memory_only = False
            self.rows.pop(key, None)
        return True
