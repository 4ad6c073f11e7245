"""Run caps on one fake host: its own clock, the ledger exchange and its requests."""

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from greengagepoint.caps import permits
from greengagepoint.caps.borrowing import Outgoing, apply_grant, create_loan_requests
from greengagepoint.caps.lending import answer_request
from greengagepoint.caps.messages import (
    LedgerChanged,
    LoanGrant,
    LoanRequest,
    RegionUnitsWanted,
    Vouch,
    VouchRequest,
)
from greengagepoint.caps.planning import Plan, plan
from greengagepoint.caps.rights import (
    answer_vouch,
    apply_ledger,
    begin_write,
    confirm_write,
    handle_hint,
    record_vouch,
)
from greengagepoint.caps.system import yield_region_units
from greengagepoint.caps.tables import CapsTable, Permit
from greengagepoint.configuration import Configuration
from greengagepoint_standins.caps_store import LedgerFault, LedgerStore


@dataclass
class FakeHost:
    """One run of a host; its clock shows ``offset + rate * true`` seconds.

    ``wanted`` is how many requests it keeps running toward each site, ``contacts`` the
    hosts that it sees (None: all).
    """

    table: CapsTable
    offset: float
    rate: float
    configuration: Configuration
    duration: float
    paused: bool = False
    store_cut: bool = False
    wanted: Counter = field(default_factory=Counter)
    running: Counter = field(default_factory=Counter)
    suspects: set[str] = field(default_factory=set)
    contacts: set[str] | None = None
    write: tuple[Plan, float] | None = None

    def clock(self, true: float) -> float:
        """Return what this host's clock shows."""
        return self.offset + self.rate * true

    def true(self, clock: float) -> float:
        """Return the true time at which this host's clock shows a time."""
        return (clock - self.offset) / self.rate

    def start_requests(self, site: str, true: float) -> list[Permit]:
        """Start requests until as many run as are wanted, or none is permitted."""
        clock = self.clock(true)
        started = []
        while self.running[site] < self.wanted[site]:
            permit = permits.acquire(self.table, site, self.duration, clock)
            if permit is None:
                break
            self.running[site] += 1
            started.append(permit)
        return started

    def ask_now(self, site: str, true: float) -> list[Outgoing]:
        """Return loan requests where a request waits for a unit."""
        if self.running[site] >= self.wanted[site]:
            return []
        return create_loan_requests(self.table, [site], self.clock(true))

    def end_request(self, permit: Permit) -> None:
        """Give a unit back."""
        self.running[permit.site] -= 1
        permits.release(self.table, permit)

    def handle(self, sender: str, message: Any, true: float) -> object | None:
        """Take one message as the node does, and return the reply."""
        clock = self.clock(true)
        match message:
            case LoanRequest():
                return answer_request(self.table, sender, message, clock)
            case LoanGrant():
                apply_grant(self.table, sender, message, clock)
            case VouchRequest():
                return answer_vouch(self.table, sender, message, clock)
            case Vouch():
                record_vouch(self.table, sender, message)
            case LedgerChanged():
                return handle_hint(self.table, message, clock)
            case RegionUnitsWanted():
                yield_region_units(self.table, message.units, clock)
        return None

    def exchange(self, store: LedgerStore, true: float) -> bool:
        """Read and plan, or write what was planned; tell whether it was written.

        The two are steps of their own, so that hosts race each other.
        """
        clock = self.clock(true)
        region = self.table.host.region
        if self.store_cut or store.fault is LedgerFault.DOWN:
            self.write = None
            return False
        if self.write is None:
            apply_ledger(self.table, *store.read(region), clock)
            planned = plan(self.table, clock)
            if planned is not None:
                begin_write(self.table, planned)
                self.write = (planned, clock)
            return False
        planned, asked = self.write
        self.write = None
        accepted = store.replace(region, planned)
        if accepted is None:
            return False
        if accepted:
            confirm_write(self.table, planned.entry, asked)
        apply_ledger(self.table, *store.read(region), clock)
        return accepted
