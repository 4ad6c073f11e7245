"""Order what a store says over its restores from older copies.

After a restore, revisions go back and are given out again, so that a revision alone
does not tell which of two writes is newer. The store states an era that rises with each
restore. A position combines both in one number; without an era it is the revision.
"""

from typing import Final

ERA_REVISIONS: Final = 1 << 40


def position_of(era: int, revision: int) -> int:
    """Return the position of a revision in an era."""
    return era * ERA_REVISIONS + revision


def era_of(position: int) -> int:
    """Return the era of a position."""
    return position // ERA_REVISIONS


def revision_of(position: int) -> int:
    """Return the store's own revision at a position."""
    return position % ERA_REVISIONS
