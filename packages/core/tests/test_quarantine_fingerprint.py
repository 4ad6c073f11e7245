"""Fingerprints of requests."""

import pytest

from greengagepoint.quarantine.fingerprint import (
    hash_caller,
    hash_content,
    hash_head,
)


def content(authority, method, target, body):
    return hash_content(hash_head(authority, method, target), body)


SAME = ("a.example", "POST", "/bays/1?x=2", b"body")


@pytest.mark.parametrize(
    ("other", "same"),
    [
        (SAME, True),
        (("A.Example", *SAME[1:]), True),
        (("b.example", *SAME[1:]), False),
        ((SAME[0], "GET", *SAME[2:]), False),
        ((*SAME[:2], "/bays/1?x=3", SAME[3]), False),
        ((*SAME[:2], "/bays/1", b"?x=2body"), False),
        ((*SAME[:3], b"bodY"), False),
        ((*SAME[:3], None), False),
    ],
)
def test_content_covers_what_an_answer_depends_on(other, same):
    assert (content(*SAME) == content(*other)) is same


def test_missing_and_empty_bodies_have_the_same_content():
    assert content(*SAME[:3], None) == content(*SAME[:3], b"")


@pytest.mark.parametrize(
    "other", [("10.0.0.2", "k=1"), ("10.0.0.1", "k=2"), ("10.0.0.1k", "=1")]
)
def test_caller_covers_address_and_credentials(other):
    assert hash_caller("10.0.0.1", "k=1") != hash_caller(*other)
