"""Delete claims under which nothing was or will be sent."""

import asyncio
from collections import OrderedDict
from typing import Final, NamedTuple

from greengagepoint.delivery.claims import ClaimValue, decode
from greengagepoint.errors import ErrorKind, StoreError
from greengagepoint_node.context import Context
from greengagepoint_node.coordinators.claims_committer import STORE_CALL_SECONDS

# A write that was given up may still take effect, late or through a doubled
# message, so each is looked for again after these times.
CLEAN_UP_SECONDS: Final = (0.0, 5.0, 30.0)
ABANDONED_MAX: Final = 4096


class Abandoned(NamedTuple):
    """One attempt that was given up; ``due_at`` is monotonic seconds."""

    key: str
    due_at: float
    tries: int


class AbandonedClaims:
    """Attempts of this host that were given up, by write id."""

    def __init__(self, context: Context) -> None:
        self.context = context
        self.rows: OrderedDict[str, Abandoned] = OrderedDict()

    def __contains__(self, write_id: str) -> bool:
        """Tell whether an attempt was given up."""
        return write_id in self.rows

    def __bool__(self) -> bool:
        """Tell whether there is anything to clean up."""
        return bool(self.rows)

    def add(self, key: str, value: ClaimValue) -> None:
        """Note an attempt under which nothing was or will be sent."""
        now = self.context.clock.monotonic()
        self.rows[value.write_id] = Abandoned(key, now + CLEAN_UP_SECONDS[0], 0)
        while len(self.rows) > ABANDONED_MAX:
            self.rows.popitem(last=False)

    def discard(self, write_id: str) -> None:
        """Take an attempt back, before anything else could run."""
        self.rows.pop(write_id, None)

    async def async_clean_up(self, *, all_rows: bool = False) -> None:
        """Delete the claims that are due; give up on the first store error."""
        now = self.context.clock.monotonic()
        due = [
            write_id
            for write_id, row in self.rows.items()
            if all_rows or row.due_at <= now
        ]
        for write_id in due:
            if not await self.async_delete(write_id):
                return

    async def async_delete(self, write_id: str) -> bool:
        """Delete one abandoned claim; tell whether the store answered."""
        row = self.rows.get(write_id)
        if row is None:
            return True
        try:
            async with asyncio.timeout(STORE_CALL_SECONDS):
                found = await self.context.store.read(row.key)
                if found is not None and decode(found.value).write_id == write_id:
                    await self.context.store.delete([(row.key, found.revision)])
        except TimeoutError:
            return False
        except StoreError as error:
            if error.kind is not ErrorKind.STORE_ANSWER_INVALID:
                return False
        self._plan_next(write_id, row)
        return True

    def _plan_next(self, write_id: str, row: Abandoned) -> None:
        """Plan another look, or forget the attempt after the last."""
        tries = row.tries + 1
        if tries >= len(CLEAN_UP_SECONDS):
            self.rows.pop(write_id, None)
            return
        now = self.context.clock.monotonic()
        self.rows[write_id] = Abandoned(row.key, now + CLEAN_UP_SECONDS[tries], tries)
