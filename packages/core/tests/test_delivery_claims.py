"""Names, judgement and memory of claims, and who writes them."""

import pytest

from greengagepoint.delivery import answers
from greengagepoint.delivery.answers import ClaimRow, ClaimTable, StoredAnswer
from greengagepoint.delivery.claims import (
    ClaimValue,
    Verdict,
    claim_key,
    decode,
    encode,
    judge,
    request_digest,
)
from greengagepoint.delivery.committers import (
    committer_for,
    committers,
    write_interval_seconds,
)
from greengagepoint.errors import ErrorKind, StoreError

OWN = ClaimValue("entry-1", 3, "entry-1:3:7", "digest", 0)


@pytest.mark.parametrize(
    ("found", "verdict"),
    [
        (OWN, Verdict.WON),
        (ClaimValue("entry-1", 3, "entry-1:3:6", "digest", 0), Verdict.IN_USE),
        (ClaimValue("entry-1", 2, "entry-1:2:7", "digest", 0), Verdict.IN_USE),
        (ClaimValue("entry-2", 3, "entry-2:3:7", "other", 0), Verdict.MISMATCH),
    ],
)
def test_only_the_write_id_makes_a_claim_ones_own(found, verdict):
    assert judge(decode(encode(found)), OWN) is verdict


def test_a_garbage_claim_is_a_typed_error():
    with pytest.raises(StoreError) as caught:
        decode(b"\xc1")
    assert caught.value.kind is ErrorKind.STORE_ANSWER_INVALID


def test_no_two_callers_share_a_key_by_joining_names():
    keys = {
        claim_key("a", "b", "c"),
        claim_key("ab", "", "c"),
        claim_key("a", "bc", ""),
        claim_key("a", "b", "c "),
    }
    assert len(keys) == 4


def test_a_repeat_has_the_same_digest_and_another_request_has_not():
    first = request_digest("POST", "/pay", b"bay=12")
    assert first == request_digest("POST", "/pay", b"bay=12")
    others = [
        request_digest("PUT", "/pay", b"bay=12"),
        request_digest("POST", "/pay?x", b"bay=12"),
        request_digest("POST", "/pay", b"bay=13"),
        request_digest("POST", "/pay", 6),
        request_digest("POST", "/pay", None),
    ]
    assert len({first, *others}) == 6


def test_memory_stays_bounded_and_keeps_what_must_not_be_forgotten():
    """A host answers keyed requests for hours. Old answers go; a claim whose
    request is in flight, or that the store does not hold, stays.
    """
    table = ClaimTable()
    answers.put(table, "in flight", ClaimRow(OWN))
    answers.put(table, "memory only", ClaimRow(OWN, memory_only=True, ended=True))
    answer = StoredAnswer(200, (("A", "b"),), b"x" * 10_000)
    for number in range(1000):
        answers.put(table, str(number), ClaimRow(OWN))
        answers.store_answer(table, str(number), answer)
    assert table.size_bytes <= answers.TABLE_BYTES_MAX
    assert table.size_bytes == sum(row.size_bytes for row in table.rows.values())
    assert {"in flight", "memory only", "999"} <= set(table.rows)
    assert "0" not in table.rows


def test_a_large_answer_is_not_kept():
    table = ClaimTable()
    answers.put(table, "key", ClaimRow(OWN))
    large = StoredAnswer(200, (), b"x" * (answers.ANSWER_BYTES_MAX + 1))
    answers.store_answer(table, "key", large)
    assert table.rows["key"].answer is None
    assert table.rows["key"].ended


def test_hosts_with_one_view_choose_one_committer():
    hosts = [f"entry-{number}" for number in range(12)]
    chosen = committers("attiki", hosts)
    assert chosen == committers("attiki", reversed(hosts))
    without = [host for host in hosts if host not in chosen]
    assert committers("attiki", without) != chosen
    assert committer_for("any", chosen) in chosen
    regions = {committers(f"region-{number}", hosts)[0] for number in range(20)}
    assert len(regions) > 5


@pytest.mark.parametrize("regions", [0, 1, 3, 15, 60])
def test_the_fleet_stays_within_the_stores_rate(regions):
    writes = max(1, regions) / write_interval_seconds(regions)
    assert writes <= 100 + 1e-9
