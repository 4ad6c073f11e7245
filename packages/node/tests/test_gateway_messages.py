"""Encoding of messages between hosts, and rejection of invalid ones."""

import zlib

import msgspec
import pytest

from greengagepoint_node.gateway.gossip_messages import (
    DEFLATED,
    DEFLATED_MAX,
    ENCODER,
    Heartbeat,
    HostState,
    Message,
    decode,
    encode,
)
from greengagepoint_node.gateway.store_types import HostEntry


def message(hosts):
    own = HostEntry("own", "north", "zone-a", "10.0.0.1:1", "10.0.0.1:2")
    beats = [
        Heartbeat(f"front-zone-a-{number}", 10**18 + 7919 * number, number, False)
        for number in range(hosts)
    ]
    state = HostState(own, 1, 2, leaving=False)
    return Message(5, 4, 0.1, [state], beats, False, [], [], [])


@pytest.mark.parametrize("hosts", [0, 1, 30, 300, 3000])
def test_messages_of_any_size_survive_encoding(hosts):
    assert decode(encode(message(hosts))) == message(hosts)


def test_a_large_table_is_deflated_to_less_than_half():
    assert len(encode(message(300))) < 0.5 * len(ENCODER.encode(message(300)))


@pytest.mark.parametrize(
    "body",
    [
        b"",
        DEFLATED,
        DEFLATED + b"nothing that was deflated",
        DEFLATED + zlib.compress(b""),
        encode(message(300))[:-1],
        DEFLATED + zlib.compress(b"\x90" * (DEFLATED_MAX + 1)),
    ],
    ids=["empty", "mark", "garbage", "nothing", "cut", "too long"],
)
def test_an_invalid_message_is_rejected(body):
    with pytest.raises(msgspec.MsgspecError):
        decode(body)
