"""Bodies of answers that are given up while their reader waits."""

import gc

import pytest

from greengagepoint.overload.held_bytes import (
    ANSWER_FLOOR_BYTES,
    MEBIBYTE,
    DropReason,
    HeldLimits,
)
from greengagepoint_node.proxy.answer_bodies import (
    AnswerBodies,
    AnswerDroppedError,
    HeldBody,
)

LIMITS = HeldLimits(2 * MEBIBYTE, 2 * MEBIBYTE)
# Longer than what is held whatever the others take.
ANSWER_BYTES = ANSWER_FLOOR_BYTES + 1


class Answer:
    """An answer whose last read runs ``at_end`` and then finds the end."""

    status = 200
    content_length = None

    def __init__(self, at_end):
        self.content = self
        self.pieces = [bytes(ANSWER_BYTES)]
        self.at_end = at_end
        self.error = None
        self.is_closed = False

    def is_eof(self):
        return False

    async def readany(self):
        if self.pieces:
            return self.pieces.pop()
        self.at_end()
        return b""

    async def read(self):
        return b""

    def set_exception(self, error):
        self.error = error

    def close(self):
        self.is_closed = True


async def test_a_body_that_gave_way_as_its_end_came_is_not_taken_for_whole():
    # Its pieces are gone: the caller would get an empty answer as a complete one.
    bodies = AnswerBodies(LIMITS)
    other = HeldBody(bodies, Answer(None), "id-2", "b")

    def exceed():
        bodies.held.limits = HeldLimits(MEBIBYTE, 2 * MEBIBYTE)
        bodies._grow(other, 1)

    answer = Answer(exceed)
    body = HeldBody(bodies, answer, "id-1", "a")
    with pytest.raises(AnswerDroppedError):
        await bodies.async_read(answer, "GET", body)
    assert body.dropped is DropReason.NO_ROOM
    assert answer.is_closed
    assert isinstance(answer.error, AnswerDroppedError)
    assert bodies.held.total == 1


async def test_bytes_of_an_answer_that_is_never_written_are_given_back():
    bodies = AnswerBodies(LIMITS)
    answer = Answer(lambda: None)
    body = HeldBody(bodies, answer, "id-1", "a")
    assert len(await bodies.async_read(answer, "GET", body)) == ANSWER_BYTES
    assert bodies.held.total == ANSWER_BYTES
    del body
    gc.collect()
    assert bodies.held.total == 0
