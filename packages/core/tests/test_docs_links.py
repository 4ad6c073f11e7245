"""The links between the pages of the project."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[3]
FOLDERS = ("docs", "packages", "measure", "script", "deployments")
PAGES = sorted(
    [
        *ROOT.glob("*.md"),
        *(page for one in FOLDERS for page in ROOT.glob(f"{one}/**/*.md")),
    ]
)
LINK = re.compile(r"\]\(([^)\s]+)\)")
HEADING = re.compile(r"^#+ (.+)$", re.M)
CODE = re.compile(r"```.*?```", re.S)


def anchors(page: Path) -> set[str]:
    headings = HEADING.findall(CODE.sub("", page.read_text()))
    plain = (re.sub(r"[^\w\- ]", "", one.lower()) for one in headings)
    return {one.replace(" ", "-") for one in plain}


def broken(page: Path) -> list[str]:
    found = []
    for link in LINK.findall(CODE.sub("", page.read_text())):
        if "://" in link or link.startswith("mailto:"):
            continue
        path, _, anchor = link.partition("#")
        target = (page.parent / path).resolve() if path else page
        if not target.exists() or anchor and anchor not in anchors(target):
            found.append(link)
    return found


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_links_lead_somewhere(page: Path) -> None:
    assert not broken(page)


@pytest.mark.parametrize(
    ("index", "folder"),
    [
        ("docs/design/README.md", "docs/design"),
        ("docs/OPERATING.md", "docs/operators"),
    ],
)
def test_an_index_names_each_page(index: str, folder: str) -> None:
    page = ROOT / index
    linked = {
        (page.parent / link.partition("#")[0]).resolve()
        for link in LINK.findall(page.read_text())
    }
    pages = {one.resolve() for one in (ROOT / folder).glob("*.md")} - {page.resolve()}
    assert not {one.name for one in pages - linked}


def test_broken_links_are_found(tmp_path: Path) -> None:
    page = tmp_path / "page.md"
    (tmp_path / "other.md").write_text("# A title, with `code`\n")
    page.write_text(
        "[a](other.md) [b](other.md#a-title-with-code) [c](https://example.org/x)\n"
        "[d](none.md) [e](other.md#none)\n```\n[f](in-code.md)\n```\n"
    )
    assert broken(page) == ["none.md", "other.md#none"]
