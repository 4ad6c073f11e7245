"""Header fields that may cross this host."""

from multidict import CIMultiDict, CIMultiDictProxy, MultiMapping

from greengagepoint.delivery.answer_heads import is_value_valid

CONNECTION = "Connection"


def connection_headers(headers: MultiMapping[str]) -> frozenset[str]:
    """Return the names that all Connection headers together declare hop-by-hop."""
    values = headers.getall(CONNECTION, ())
    if not values:
        return frozenset()
    names = ",".join(values).split(",")
    return frozenset(name.strip().lower() for name in names)


def unsendable_header(
    headers: CIMultiDict[str] | CIMultiDictProxy[str],
) -> str | None:
    """Return the name of a header that can't be written as it was read.

    The HTTP library drops bytes that are not UTF-8 from a value without a word, so
    the next one would read another value, and refuses control characters only
    after the answer counts as given.
    """
    if is_sendable("".join(headers.values())):
        return None
    for name, value in headers.items():
        if not is_sendable(value):
            return name
    return None


def is_sendable(text: str) -> bool:
    """Tell whether text can be written into a header unchanged."""
    if not is_value_valid(text):
        return False
    # Bytes that are not UTF-8 were read as lone surrogates.
    return text.isascii() or not any(
        "\ud800" <= character <= "\udfff" for character in text
    )
