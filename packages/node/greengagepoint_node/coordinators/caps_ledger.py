"""Exchange a region's ledger with the store."""

from typing import NamedTuple

from greengagepoint.caps.ledger import (
    EMPTY_LEDGER,
    decode_ledger,
    encode_ledger,
    ledger_key,
)
from greengagepoint.caps.planning import Plan, plan
from greengagepoint.caps.rights import apply_ledger, begin_write, confirm_write
from greengagepoint.caps.tables import CapsTable
from greengagepoint.errors import StoreOutcomeUnknownError
from greengagepoint.events import Event
from greengagepoint_node.context import Context


class Synced(NamedTuple):
    """The outcome of one exchange; ``refused`` if what was read can't be true.

    ``again`` if more is to be done soon.
    """

    written: bool = False
    refused: bool = False
    again: bool = False


async def async_sync(context: Context, table: CapsTable) -> Synced:
    """Read the ledger and write the planned change, if there is one.

    Raises StoreError when the store cannot be reached.
    """
    if not await async_read(context, table):
        return Synced(refused=True, again=True)
    planned = plan(table, context.clock.monotonic())
    if planned is None:
        return Synced()
    if not await _async_write(context, table, planned):
        return Synced(again=True)
    for owner in planned.reclaimed:
        context.events.record(Event.SHARE_RECLAIMED, owner=owner)
    await async_read(context, table)
    return Synced(written=True)


async def async_read(context: Context, table: CapsTable) -> bool:
    """Take the ledger as the store has it; tell whether it can be believed."""
    stored = await context.store.read(ledger_key(table.host.region))
    now = context.clock.monotonic()
    if stored is None:
        observed = apply_ledger(table, EMPTY_LEDGER, 0, now)
    else:
        observed = apply_ledger(
            table, decode_ledger(stored.value), stored.revision, now
        )
    if not observed.accepted:
        context.events.record(
            Event.STORE_REVERTED,
            key=ledger_key(table.host.region),
            seen=table.revision,
            read=0 if stored is None else stored.revision,
        )
    if observed.changed:
        context.events.record(
            Event.LEDGER_CHANGED,
            region=table.host.region,
            revision=table.revision,
            units={s.name: s.owned for s in table.sites.values() if s.owned},
        )
    return observed.accepted


async def _async_write(context: Context, table: CapsTable, planned: Plan) -> bool:
    """Write a planned ledger; tell whether the store accepted it."""
    begin_write(table, planned)
    asked = context.clock.monotonic()
    try:
        accepted = await context.store.replace(
            ledger_key(table.host.region),
            encode_ledger(planned.ledger),
            revision=planned.revision,
        )
    except StoreOutcomeUnknownError:
        # It may have taken effect: the smaller part holds until a later revision
        # is read, and no vouch is given to an owner it voted out.
        return False
    if accepted:
        confirm_write(table, planned.entry, asked)
    return accepted
