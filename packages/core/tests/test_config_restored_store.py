"""Test what holds when a store comes back from an older copy."""

import pytest

from greengagepoint.config.eras import era_of, position_of, revision_of
from greengagepoint.config.store_memory import (
    COPY_AGE_MAX_SECONDS,
    ENDED_ENTRY_SECONDS,
    WRITTEN_AGAIN_SECONDS,
    StoreMemory,
)

NOW = 100.0
POSITION = position_of(1, 50)
SERVER, LATER_RUN = "run 1", "run 2"


@pytest.mark.parametrize(
    ("earlier", "later"),
    [((0, 9), (1, 1)), ((1, 1), (1, 2)), ((1, 999_999_999), (2, 0)), ((0, 0), (0, 1))],
)
def test_positions_follow_eras_before_revisions(earlier, later):
    assert position_of(*earlier) < position_of(*later)
    position = position_of(*later)
    assert (era_of(position), revision_of(position)) == later


def test_a_position_without_an_era_is_the_revision():
    assert position_of(0, 1234) == 1234


@pytest.mark.parametrize(
    ("removed_at", "server", "held_seconds"),
    [
        (NOW - 1, SERVER, ENDED_ENTRY_SECONDS),
        (NOW - 1, None, WRITTEN_AGAIN_SECONDS),
        (NOW - COPY_AGE_MAX_SECONDS - 1, SERVER, 0.0),
    ],
    ids=["server", "other", "before the copy"],
)
def test_a_removed_key_that_is_back_in_the_copy_is_held(
    removed_at, server, held_seconds
):
    memory = StoreMemory()
    memory.record_removal("k", server, removed_at)
    memory.record_removal("k", None, removed_at)
    memory.begin_era({"k"}, [], POSITION, NOW)
    assert memory.is_held("k", server) == bool(held_seconds)
    assert memory.expire(NOW + held_seconds - 0.1) == []
    assert memory.expire(NOW + held_seconds) == (["k"] if held_seconds else [])
    assert not memory.is_held("k", server)


@pytest.mark.parametrize(
    ("key", "server", "position", "is_held"),
    [
        ("k", SERVER, POSITION, True),
        ("k", SERVER, POSITION + 1, False),
        ("k", LATER_RUN, POSITION, False),
        ("other", SERVER, POSITION, False),
    ],
    ids=["in the copy", "written later", "another run", "another key"],
)
def test_a_hold_ends_with_news_of_the_key(key, server, position, is_held):
    memory = StoreMemory()
    memory.record_removal("k", SERVER, NOW)
    memory.begin_era({"k", "other"}, [], POSITION, NOW)
    memory.note_write(key, position)
    assert memory.is_held(key, server) == is_held


def test_a_key_that_applies_again_before_the_restore_is_not_held():
    memory = StoreMemory()
    memory.record_removal("k", SERVER, NOW - 2)
    memory.record_presence("k")
    assert memory.begin_era({"k"}, [], POSITION, NOW) == 0
