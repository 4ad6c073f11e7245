"""The operators' page on errors."""

from pathlib import Path

from greengagepoint.errors import ANSWERS, ErrorKind

PAGE = Path(__file__).parents[3] / "docs" / "operators" / "errors.md"


def test_the_page_has_each_kind_as_it_is_answered() -> None:
    rows = [
        [cell.strip() for cell in line.strip("|").split("|")]
        for line in PAGE.read_text().splitlines()
        if line.startswith("| `")
    ]
    expected = [
        [
            f"`{kind}`",
            str(answer.status),
            f"`{answer.ran}`",
            ""
            if answer.retry_after_seconds is None
            else f"{answer.retry_after_seconds} s",
        ]
        for kind, answer in ANSWERS.items()
    ]
    assert [row[:4] for row in rows] == expected
    assert set(ANSWERS) == set(ErrorKind)
    assert all(len(row) == 5 and row[4].endswith(".") for row in rows)
