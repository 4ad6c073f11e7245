"""The peer envelope: any bytes are either taken once or refused by type."""

import hashlib

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint_node.peer_codec import (
    MAC_BYTES,
    MAC_PERSON,
    MAX_ENVELOPE_BYTES,
    MESSAGE_TYPES,
    REPLAY_WINDOW,
    PeerCodec,
    RejectedError,
    Rejection,
)

KEY = b"a key shared by all hosts"
CLOCK = (1_700_000_000_000, 3)


class Note(msgspec.Struct, tag="test.note", array_like=True, frozen=True):
    text: str


class Count(msgspec.Struct, tag="test.count", array_like=True, frozen=True):
    number: int


def make_codec(host="attiki-1", incarnation=7, key=KEY, types=(Note, Count)):
    return PeerCodec(host, incarnation, key, types)


def sign(body: bytes) -> bytes:
    key = hashlib.blake2b(KEY, person=MAC_PERSON).digest()
    mac = hashlib.blake2b(body, key=key, digest_size=MAC_BYTES, person=MAC_PERSON)
    return mac.digest() + body


def reason_of(codec: PeerCodec, data: bytes) -> Rejection | None:
    try:
        codec.decode(data)
    except RejectedError as error:
        return error.reason
    return None


@given(st.lists(st.one_of(st.builds(Note, st.text()), st.builds(Count, st.integers()))))
def test_messages_arrive_as_sent(messages):
    messages = [m for m in messages if _fits(m)]
    data = make_codec("sfax-1").encode("attiki-1", CLOCK, messages)
    batch = make_codec().decode(data)
    assert batch == ("sfax-1", 7, CLOCK, messages, 0)


def _fits(message: object) -> bool:
    return not isinstance(message, Count) or -(2**63) <= message.number < 2**64


@given(st.binary(max_size=300), st.booleans())
def test_any_bytes_are_refused_by_type(data, signed):
    """Anyone who reaches the port may send anything, and a peer with the right key
    may have a fault. The daemon sees one RejectedError each time and goes on.
    """
    assert reason_of(make_codec(), sign(data) if signed else data) is not None


@pytest.mark.parametrize(
    "value",
    [
        None,
        [],
        [1, "sfax-1", 1, "attiki-1", 1, [1], []],
        [1, "sfax-1", 1, "attiki-1", 0, [1, 1], []],
        [1, "sfax-1", -1, "attiki-1", 1, [1, 1], []],
        [1, "sfax-1", 1, "attiki-1", 1, [-1, 1], []],
        [1, "", 1, "attiki-1", 1, [1, 1], []],
        [1, "x" * 256, 1, "attiki-1", 1, [1, 1], []],
        [2, "sfax-1", 1, "attiki-1", 1, [1, 1], []],
    ],
)
def test_an_envelope_out_of_form_is_undecodable(value):
    data = sign(msgspec.msgpack.encode(value))
    assert reason_of(make_codec(), data) is Rejection.UNDECODABLE


def test_deep_nesting_is_undecodable():
    data = sign(b"\x91" * 100_000 + b"\x00")
    assert reason_of(make_codec(), data) is Rejection.UNDECODABLE


@given(st.data())
def test_a_changed_bit_is_noticed(data):
    sent = make_codec("sfax-1").encode("attiki-1", CLOCK, [Note("one unit lent")])
    bit = data.draw(st.integers(0, 8 * len(sent) - 1))
    changed = bytearray(sent)
    changed[bit // 8] ^= 1 << bit % 8
    assert reason_of(make_codec(), bytes(changed)) is Rejection.WRONG_MAC


@pytest.mark.parametrize(
    ("sender", "data", "reason"),
    [
        (make_codec("sfax-1", key=b"another"), None, Rejection.WRONG_MAC),
        (make_codec("sfax-1"), b"", Rejection.TOO_SHORT),
        (make_codec("sfax-1"), bytes(MAX_ENVELOPE_BYTES + 1), Rejection.TOO_LARGE),
    ],
)
def test_bad_envelopes_are_told_apart(sender, data, reason):
    if data is None:
        data = sender.encode("attiki-1", CLOCK, [Note("x")])
    assert reason_of(make_codec(), data) is reason


def test_an_envelope_for_another_host_is_refused():
    """Someone on the network records an envelope to sfax-2 and sends it to attiki-1.
    Its MAC is right; the recipient under the MAC is not, so nothing is taken.
    """
    data = make_codec("sfax-1").encode("sfax-2", CLOCK, [Note("x")])
    assert reason_of(make_codec(), data) is Rejection.WRONG_RECIPIENT


@given(st.lists(st.integers(0, 3 * REPLAY_WINDOW), min_size=1, max_size=200))
def test_an_envelope_is_taken_at_most_once(order):
    """Envelopes arrive late, doubled and out of order. Each is taken once at most,
    and one within the window of the newest is taken exactly once.
    """
    receiver = make_codec(types=(Note,))
    sender = make_codec("sfax-1")
    taken, newest = set(), -1
    for sequence in order:
        sender.sequence = sequence
        data = sender.encode("attiki-1", CLOCK, [])
        fresh = sequence not in taken and sequence > newest - REPLAY_WINDOW
        assert reason_of(receiver, data) is (None if fresh else Rejection.REPLAYED)
        taken.add(sequence)
        newest = max(newest, sequence)


def test_an_earlier_incarnation_is_refused_after_a_later_one():
    """A host restarts and is heard; then an envelope of its earlier run arrives. What
    that run granted is void, so the envelope is refused.
    """
    receiver = make_codec()
    late = make_codec("sfax-1", incarnation=1).encode("attiki-1", CLOCK, [])
    new = make_codec("sfax-1", incarnation=2).encode("attiki-1", CLOCK, [])
    assert reason_of(receiver, new) is None
    assert reason_of(receiver, late) is Rejection.OLD_INCARNATION


def test_a_message_of_an_unknown_type_leaves_its_neighbours():
    """A newer daemon sends a message that this one does not know, between two that it
    knows. The two are taken and the third is counted.
    """
    sender = make_codec("sfax-1")
    messages = [Note("a"), Count(1), Note("b")]
    data = sender.encode("attiki-1", CLOCK, messages)
    batch = make_codec(types=(Note,)).decode(data)
    assert (batch.messages, batch.unknown) == ([Note("a"), Note("b")], 1)


def test_types_not_registered_are_not_sent():
    with pytest.raises(RejectedError, match="Count is not a registered peer message"):
        make_codec(types=(Note,)).encode("sfax-1", CLOCK, [Count(1)])


def test_registered_types_are_frozen_arrays_with_their_own_tag():
    tags = [one.__struct_config__.tag for one in MESSAGE_TYPES]
    assert len(set(tags)) == len(tags)
    for one in MESSAGE_TYPES:
        config = one.__struct_config__
        assert config.array_like, one
        assert config.frozen, one
        assert "." in config.tag, one
