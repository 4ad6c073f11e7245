"""Decode the rows of a large document one at a time."""

from collections.abc import Iterator
from typing import Any

import msgspec


def decode_rows(
    decoder: msgspec.json.Decoder[Any], rows: list[msgspec.Raw], path: str
) -> Iterator[Any]:
    """Yield each decoded row; raise ValueError with the path of an invalid one."""
    for index, row in enumerate(rows):
        try:
            yield decoder.decode(row)
        except msgspec.MsgspecError as error:
            raise ValueError(f"{error}, in `{path}[{index}]`") from error
