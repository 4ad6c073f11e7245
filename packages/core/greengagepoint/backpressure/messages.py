"""Messages between hosts about what backend servers say in their answers."""

from typing import Annotated

import msgspec
from msgspec import Meta

from greengagepoint.placing.tables import Incarnation

Milliseconds = Annotated[int, Meta(ge=0)]
Limit = Annotated[float, Meta(ge=0)]


class LimitNotice(msgspec.Struct, array_like=True, frozen=True):
    """The limit that a server named ``age_ms`` ago, None if it named none."""

    instance: str
    born: int
    address: str
    requests_per_second: Limit | None
    age_ms: Milliseconds

    @property
    def server(self) -> Incarnation:
        """Return the incarnation that the notice is about."""
        return Incarnation(self.instance, self.born, self.address)


class QuotaRequest(msgspec.Struct, array_like=True):
    """Ask for quota for up to ``count`` requests to a limited server.

    ``region`` is the server's; ``notice`` is what the sender knows of its limit.
    """

    region: str
    count: Annotated[int, Meta(ge=1)]
    notice: LimitNotice


class QuotaAnswer(msgspec.Struct, array_like=True):
    """The quota granted, and when to ask again if it is less than asked for.

    ``ready`` is false if the sender can't issue quota yet.
    """

    count: Annotated[int, Meta(ge=0)]
    retry_ms: Milliseconds
    ready: bool


class LeavingNotice(msgspec.Struct, array_like=True, frozen=True):
    """A server that said ``age_ms`` ago that it leaves."""

    instance: str
    born: int
    address: str
    age_ms: Milliseconds

    @property
    def server(self) -> Incarnation:
        """Return the incarnation that the notice is about."""
        return Incarnation(self.instance, self.born, self.address)
