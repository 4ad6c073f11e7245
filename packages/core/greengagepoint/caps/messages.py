"""Messages with which hosts lend units and confirm each other's rights."""

from typing import Final

import msgspec


class Want(msgspec.Struct, frozen=True, array_like=True):
    """What a borrower keeps of a site's loan (``holding``) and would like to have."""

    site: str
    holding: int
    want: int


class LoanRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="caps.loan_request"
):
    """Ask for units, renew them, and return what is above ``holding``.

    ``sequence`` grows per pair of incarnations; the borrower takes only the grant
    that answers its newest request, so ``holding`` replaces all earlier grants.
    """

    borrower: int
    lender: int
    sequence: int
    wants: tuple[Want, ...]


class Granted(msgspec.Struct, frozen=True, array_like=True):
    """Units on loan, and how many more the lender could lend.

    A host that holds nothing of the site names its owners (host#incarnation).
    ``limit`` is the site's as the lender has it, 0 if it does not tell.
    """

    site: str
    units: int
    lendable: int
    owners: tuple[str, ...] = ()
    limit: int = 0


class LoanGrant(msgspec.Struct, frozen=True, array_like=True, tag="caps.loan_grant"):
    """Answer one loan request; ``request_seconds`` bounds each request on it."""

    borrower: int
    lender: int
    sequence: int
    request_seconds: int
    granted: tuple[Granted, ...]


class VouchRequest(msgspec.Struct, frozen=True, array_like=True, tag="caps.vouch_ask"):
    """Ask a witness whether it has not voted this owner out."""

    owner: int
    witness: int
    sequence: int


class Vouch(msgspec.Struct, frozen=True, array_like=True, tag="caps.vouch"):
    """Tell an owner that this witness had not voted it out when it answered."""

    owner: int
    witness: int
    sequence: int


class LedgerChanged(
    msgspec.Struct, frozen=True, array_like=True, tag="caps.ledger_changed"
):
    """Tell that a region's ledger was changed; only saves waiting for a poll."""

    region: str
    revision: int


class RegionUnitsWanted(
    msgspec.Struct, frozen=True, array_like=True, tag="caps.region_units_wanted"
):
    """Ask a co-owner to free units of the region's capacity that it does not need."""

    region: str
    units: int


MESSAGES: Final = (
    LoanRequest,
    LoanGrant,
    VouchRequest,
    Vouch,
    LedgerChanged,
    RegionUnitsWanted,
)
