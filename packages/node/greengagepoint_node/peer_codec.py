"""The authenticated envelope in which daemons exchange messages."""

import hashlib
import hmac
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from enum import StrEnum
from functools import reduce
from operator import or_
from typing import Any, Final, NamedTuple

import msgspec

from greengagepoint.balancing import messages as balancing
from greengagepoint.caps import messages as caps
from greengagepoint.config import messages as config
from greengagepoint.delivery import messages as delivery
from greengagepoint.errors import PeerError
from greengagepoint.membership import messages as membership
from greengagepoint.steering import messages as steering
from greengagepoint.usage import messages as usage

ENVELOPE_VERSION: Final = 1
MAC_BYTES: Final = 16
MAC_PERSON: Final = b"ggp-peer-1"
MAX_ENVELOPE_BYTES: Final = 2 * 1024 * 1024
MAX_NAME_CHARACTERS: Final = 255
REPLAY_WINDOW: Final = 1024
MAX_SENDERS: Final = 16_384
UNSIGNED_64_MAX: Final = 2**64 - 1


class Rejection(StrEnum):
    """Why an envelope or a message in it was refused."""

    NOT_A_PEER = "not_a_peer"
    TOO_LARGE = "too_large"
    TOO_SHORT = "too_short"
    WRONG_MAC = "wrong_mac"
    UNDECODABLE = "undecodable"
    WRONG_RECIPIENT = "wrong_recipient"
    OLD_INCARNATION = "old_incarnation"
    REPLAYED = "replayed"
    UNKNOWN_MESSAGE = "unknown_message"
    UNKNOWN_HOST = "unknown_host"


class RejectedError(PeerError):
    """Refuse an envelope; ``sender`` is known once the MAC was right."""

    def __init__(self, reason: Rejection, detail: str, sender: str = "") -> None:
        super().__init__(detail)
        self.reason = reason
        self.sender = sender


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """Messages of one host to another, all queued in one turn of its loop.

    ``sequence`` grows with each envelope of one incarnation; ``clock`` is the
    sender's hybrid logical time (milliseconds, counter). Each message stays raw, so
    that one unknown here does not spoil its neighbours.
    """

    version: int
    sender: str
    incarnation: int
    recipient: str
    sequence: int
    clock: tuple[int, int]
    messages: list[msgspec.Raw]


class Batch(NamedTuple):
    """A decoded envelope; ``unknown`` counts messages of types not known here."""

    sender: str
    incarnation: int
    clock: tuple[int, int]
    messages: list[Any]
    unknown: int


# Every message that daemons exchange; a type that is not listed is not sent.
MESSAGE_TYPES: Final[tuple[type, ...]] = (
    *balancing.MESSAGES,
    *caps.MESSAGES,
    *config.MESSAGES,
    delivery.ClaimBatch,
    delivery.ClaimResults,
    *membership.MESSAGES,
    *steering.MESSAGES,
    *usage.MESSAGES,
)


class SenderWindow:
    """Sequence numbers seen from one incarnation of one host.

    ``seen`` is a bit mask: bit 0 stands for ``highest``, bit n for ``highest - n``.
    """

    __slots__ = ("highest", "incarnation", "seen")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.highest = 0
        self.seen = 0

    def accept(self, sequence: int) -> bool:
        """Take a sequence number once; refuse one seen or older than the window."""
        ahead = sequence - self.highest
        if ahead > 0:
            kept = 0 if ahead >= REPLAY_WINDOW else self.seen << ahead
            self.seen = (kept | 1) & ((1 << REPLAY_WINDOW) - 1)
            self.highest = sequence
            return True
        if -ahead >= REPLAY_WINDOW:
            return False
        bit = 1 << -ahead
        if self.seen & bit:
            return False
        self.seen |= bit
        return True


class ReplayGuard:
    """Refuse envelopes that were taken before.

    A recorded envelope sent again would repeat a grant or a heartbeat long past; its
    MAC is right, so only its (sender, incarnation, sequence) gives it away. The guard
    lives in memory: a restarted daemon has forgotten what it took, so messages must
    themselves be idempotent. It keeps the ``MAX_SENDERS`` senders heard last.
    """

    def __init__(self) -> None:
        self.windows: OrderedDict[str, SenderWindow] = OrderedDict()

    def check(self, sender: str, incarnation: int, sequence: int) -> Rejection | None:
        """Take an envelope once; return why it is refused otherwise."""
        window = self.windows.get(sender)
        if window is not None and incarnation < window.incarnation:
            return Rejection.OLD_INCARNATION
        if window is None or incarnation > window.incarnation:
            window = SenderWindow(incarnation)
            self.windows[sender] = window
            if len(self.windows) > MAX_SENDERS:
                self.windows.popitem(last=False)
        self.windows.move_to_end(sender)
        return None if window.accept(sequence) else Rejection.REPLAYED


class PeerCodec:
    """Encode and decode envelopes of one host under one shared key."""

    def __init__(self, host: str, incarnation: int, key: bytes, types: Iterable[type]):
        self.host = host
        self.incarnation = incarnation
        self.mac_key = hashlib.blake2b(key, person=MAC_PERSON).digest()
        self.sequence = 0
        self.guard = ReplayGuard()
        self.types = frozenset(types)
        self.encoder = msgspec.msgpack.Encoder()
        self.envelope_decoder = msgspec.msgpack.Decoder(Envelope)
        self.message_decoder = _message_decoder(self.types)

    def encode(
        self, recipient: str, clock: tuple[int, int], messages: Sequence[object]
    ) -> bytes:
        """Return an authenticated envelope for a recipient.

        Raise PeerError for a message of a type that is not registered and for an
        envelope larger than ``MAX_ENVELOPE_BYTES``.
        """
        for message in messages:
            if type(message) not in self.types:
                raise RejectedError(
                    Rejection.UNKNOWN_MESSAGE,
                    f"{type(message).__name__} is not a registered peer message",
                )
        self.sequence += 1
        body = self.encoder.encode(
            (
                ENVELOPE_VERSION,
                self.host,
                self.incarnation,
                recipient,
                self.sequence,
                clock,
                messages,
            )
        )
        if len(body) + MAC_BYTES > MAX_ENVELOPE_BYTES:
            raise RejectedError(
                Rejection.TOO_LARGE, f"an envelope of {len(body)} bytes is too large"
            )
        return self._mac(body) + body

    def decode(self, data: bytes) -> Batch:
        """Return the messages of an envelope; raise RejectedError for any other."""
        envelope = self._open(data)
        refusal = self.guard.check(
            envelope.sender, envelope.incarnation, envelope.sequence
        )
        if refusal is not None:
            raise RejectedError(
                refusal,
                f"sequence {envelope.sequence} of incarnation {envelope.incarnation}",
                envelope.sender,
            )
        messages: list[Any] = []
        unknown = 0
        for raw in envelope.messages:
            try:
                messages.append(self.message_decoder.decode(raw))
            except (msgspec.MsgspecError, ValueError, RecursionError):
                unknown += 1
        return Batch(
            envelope.sender, envelope.incarnation, envelope.clock, messages, unknown
        )

    def _open(self, data: bytes) -> Envelope:
        """Check size, MAC, form and recipient of an envelope."""
        if len(data) > MAX_ENVELOPE_BYTES:
            raise RejectedError(Rejection.TOO_LARGE, f"{len(data)} bytes")
        if len(data) <= MAC_BYTES:
            raise RejectedError(Rejection.TOO_SHORT, f"{len(data)} bytes")
        body = data[MAC_BYTES:]
        if not hmac.compare_digest(self._mac(body), data[:MAC_BYTES]):
            raise RejectedError(
                Rejection.WRONG_MAC, "the message authentication code does not match"
            )
        try:
            envelope = self.envelope_decoder.decode(body)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            raise RejectedError(Rejection.UNDECODABLE, str(error)) from error
        if not _plausible(envelope):
            raise RejectedError(Rejection.UNDECODABLE, "a field is out of range")
        # The MAC covers the recipient: an envelope recorded on the way to one host
        # and sent to another would otherwise be taken there.
        if envelope.recipient != self.host:
            raise RejectedError(
                Rejection.WRONG_RECIPIENT,
                f"addressed to {envelope.recipient}",
                envelope.sender,
            )
        return envelope

    def _mac(self, body: bytes) -> bytes:
        """Return the message authentication code of an envelope's body."""
        return hashlib.blake2b(
            body, key=self.mac_key, digest_size=MAC_BYTES, person=MAC_PERSON
        ).digest()


def _plausible(envelope: Envelope) -> bool:
    """Tell whether an envelope's header fields are in range."""
    return (
        envelope.version == ENVELOPE_VERSION
        and 0 < len(envelope.sender) <= MAX_NAME_CHARACTERS
        and 0 <= envelope.incarnation <= UNSIGNED_64_MAX
        and 0 < envelope.sequence <= UNSIGNED_64_MAX
        and min(envelope.clock) >= 0
        and max(envelope.clock) <= UNSIGNED_64_MAX
    )


def _message_decoder(types: frozenset[type]) -> msgspec.msgpack.Decoder:
    """Build the decoder for the tagged union of message types."""
    ordered = sorted(types, key=lambda one: one.__struct_config__.tag)
    return msgspec.msgpack.Decoder(reduce(or_, ordered) if ordered else None)
