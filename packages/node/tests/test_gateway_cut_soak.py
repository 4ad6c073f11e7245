"""The seed of the soak test of cut off hosts that fails; more are run by hand."""

from cut_soak import async_play

# About half of all plays fail.
PLAYS = 8


async def test_hosts_that_are_cut_off_one_after_the_other_serve_their_callers():
    """A host of a region took requests of another while it was about to be cut off."""
    for _ in range(PLAYS):
        assert await async_play(117) == []
