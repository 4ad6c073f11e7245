from ipaddress import ip_address, ip_network

import pytest
from hypothesis import given
from hypothesis import strategies as st

from greengagepoint.configuration import EMPTY
from greengagepoint.records.schemas import Callers
from greengagepoint.steering import client_blocks, client_following, client_records
from greengagepoint.steering.addresses import parse_block
from greengagepoint.steering.client_blocks import Change
from greengagepoint.steering.client_records import build, differences


def record(name, blocks, region):
    return Callers(name=name, blocks=tuple(blocks), regions=(region,))


@pytest.mark.parametrize(
    ("address", "expected"),
    [
        ("10.0.0.1", "wide"),
        ("10.1.0.1", "middle"),
        ("10.1.2.3", "narrow"),
        ("10.1.3.0", "middle"),
        ("10.2.0.0", "wide"),
        ("::ffff:10.1.2.3", "narrow"),
        ("11.0.0.0", None),
        ("2001:db8::1", "six"),
        ("2001:db9::1", None),
        ("not an address", None),
        ("", None),
    ],
)
def test_longest_block_wins(address, expected):
    table = build(
        [
            record("a", ["10.0.0.0/8"], "wide"),
            record("b", ["10.1.0.0/16"], "middle"),
            record("c", ["10.1.2.0/24"], "narrow"),
            record("d", ["2001:db8::/32"], "six"),
        ]
    )
    assert table.find(address) == ((expected,) if expected else None)


@pytest.mark.parametrize(
    "text", ["10.0.0.0/33", "10.0.0.1/8", "256.0.0.0/8", "1.2.3/8", "x", "::1/8", "²"]
)
def test_bad_block_is_refused(text):
    with pytest.raises(ValueError, match="."):
        parse_block(text)


def test_difference_moves_a_block_between_records():
    old = {"a": record("a", ["10.0.0.0/8", "11.0.0.0/8"], "x")}
    new = {
        "a": record("a", ["11.0.0.0/8"], "x"),
        "b": record("b", ["10.0.0.0/8"], "y"),
    }
    table = build(old.values())
    changes = list(differences(old, new))
    assert len(changes) == 2
    table.apply(changes)
    assert table.find("10.0.0.1") == ("y",)
    assert table.find("11.0.0.1") == ("x",)
    assert list(differences(new, new)) == []


def callers(blocks, region="x"):
    return EMPTY._replace(callers={"a": record("a", blocks, region)})


def test_table_follows_the_configuration(monkeypatch):
    """A host starts, and records change while it builds and changes its table.

    Addresses have no order until the table is built; then the newest records are in
    force, a small change at once and a large one in steps.
    """
    monkeypatch.setattr(client_records, "STEP_BLOCKS", 1)
    monkeypatch.setattr(client_following, "CHANGES_A_STEP", 4)
    blocks = [f"10.{number}.0.0/16" for number in range(10)]
    followed = client_following.FollowedBlocks()
    followed.follow(callers(blocks))
    assert followed.find("10.3.0.1") is None
    followed.follow(callers([*blocks, "11.0.0.0/8"]))
    while followed.run():
        pass
    assert followed.find("10.3.0.1") == followed.find("11.0.0.1") == ("x",)
    followed.follow(callers(blocks))
    assert followed.find("11.0.0.1") is None
    followed.follow(callers(blocks, "y"))
    followed.follow(callers(blocks, "z"))
    assert followed.find("10.9.0.1") == ("x",)
    while followed.run():
        pass
    assert followed.find("10.9.0.1") == followed.find("10.0.0.1") == ("z",)


def networks():
    """Return blocks that nest often, of both families."""
    number = st.integers(0, 15)
    length = st.integers(0, 6)
    return st.builds(
        lambda value, size, family: ip_network(
            (value << family - 4 >> (family - size) << (family - size), size)
        ),
        number,
        length,
        st.sampled_from([32, 128]),
    )


steps = st.lists(
    st.one_of(
        st.tuples(networks(), st.sampled_from(["x", "y", "z", None])),
        st.sampled_from(["merge", "step"]),
    ),
    max_size=30,
)


def reference(blocks, address):
    """Return the order of the longest of all blocks around an address."""
    around = [block for block in blocks if address in block]
    if not around:
        return None
    return (blocks[max(around, key=lambda block: block.prefixlen)],)


@given(st.permutations(["x", "y", "z"]), st.integers(1, 3))
def test_equal_blocks_agree_whatever_the_order(regions, chunk):
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(client_records, "CHUNK_BLOCKS", chunk)
        records = [record(name, ["10.0.0.0/8", "::/0"], name) for name in regions]
        table = build(records)
    assert len(table) == 2
    assert table.find("10.0.0.1") == table.find("::1") == ("x",)


@given(steps)
def test_changes_and_merges_agree_with_a_plain_search(steps):
    """Blocks come, change and go while merges run step by step.

    After each step every address finds what a search of all blocks finds.
    """
    table = build([])
    blocks = {}
    addresses = [
        ip_address(value << family - 4 | 1)
        if family == 32
        else ip_address((value << 124) + (1 << 100))
        for value in range(16)
        for family in (32, 128)
    ]
    for step in steps:
        if step == "merge":
            table.merge_all()
        elif step == "step":
            table.step_merge()
        else:
            block, region = step
            bits = block.max_prefixlen
            entry = client_blocks.Block(
                bits, int(block.network_address), block.prefixlen
            )
            table.apply([Change(entry, (region,) if region else None)])
            if region:
                blocks[block] = region
            else:
                blocks.pop(block, None)
        for address in addresses:
            assert table.find(str(address)) == reference(blocks, address)


def test_large_overlay_is_merged_in_steps(monkeypatch):
    monkeypatch.setattr(client_blocks, "OVERLAY_BLOCKS_MAX", 10)
    monkeypatch.setattr(client_blocks, "MERGE_STEP_BLOCKS", 10)
    table = build([])
    table.apply(
        Change(client_blocks.Block(32, number << 8, 24), ("x",))
        for number in range(100)
    )
    steps = 0
    while table.run():
        steps += 1
        assert table.find("0.0.50.1") == ("x",)
    assert steps >= 10
    assert len(table) == 100
    assert table.pending() == 0
