"""Messages by which hosts write their claims together."""

import msgspec


class ClaimItem(msgspec.Struct, frozen=True, array_like=True):
    """One claim to be created; ``value`` is an encoded ``ClaimValue``."""

    key: str
    value: bytes


class ClaimBatch(
    msgspec.Struct, frozen=True, array_like=True, tag="delivery.claim_batch"
):
    """Ask a committer to create claims.

    ``incarnation`` is the asking host's: a restarted host counts batches from one
    again, and an answer to its former self must not be taken for one to it.
    """

    incarnation: int
    number: int
    items: tuple[ClaimItem, ...]


class ClaimResults(
    msgspec.Struct, frozen=True, array_like=True, tag="delivery.claim_results"
):
    """Tell for each item of a batch whether this write made it.

    ``created`` is empty when the store did not answer: nothing is known then.
    """

    incarnation: int
    number: int
    created: tuple[bool, ...]
