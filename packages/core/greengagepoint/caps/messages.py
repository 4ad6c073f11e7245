"""Messages by which hosts lend units and confirm each other's rights."""

from typing import Final

import msgspec


class Want(msgspec.Struct, frozen=True, array_like=True):
    """Units of a site that a borrower keeps (``holding``) and wants in total."""

    site: str
    holding: int
    want: int


class LoanRequest(
    msgspec.Struct, frozen=True, array_like=True, tag="caps.loan_request"
):
    """Request units, renew them, and return those above ``holding``.

    ``sequence`` increases per pair of incarnations. The borrower applies only the
    grant for its newest request, so ``holding`` replaces all earlier grants.
    """

    borrower: int
    lender: int
    sequence: int
    wants: tuple[Want, ...]


class Granted(msgspec.Struct, frozen=True, array_like=True):
    """Units on loan, and how many more the lender could lend.

    A host without a share of the site names its owners (host#incarnation). ``limit``
    is the site's limit in the lender's configuration, 0 if the lender sent none.
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
    """Ask a witness to confirm that it has not voted this owner out."""

    owner: int
    witness: int
    sequence: int


class Vouch(msgspec.Struct, frozen=True, array_like=True, tag="caps.vouch"):
    """Confirm that the witness had not voted the owner out when it replied."""

    owner: int
    witness: int
    sequence: int


class LedgerChanged(
    msgspec.Struct, frozen=True, array_like=True, tag="caps.ledger_changed"
):
    """Announce a new ledger revision, which saves peers waiting for their next poll."""

    region: str
    revision: int


class RegionUnitsWanted(
    msgspec.Struct, frozen=True, array_like=True, tag="caps.region_units_wanted"
):
    """Ask a co-owner to free unused units of the region's capacity."""

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
