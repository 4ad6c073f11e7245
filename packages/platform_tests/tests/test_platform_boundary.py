"""Only the adapter depends on the platform, and it contains no decision logic."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[3]
ADAPTER = ROOT / "platform" / "greengagepoint_platform"
LINES_MAX = 800
PLATFORM_WORDS = re.compile(
    r"x-greengagepoint-|GREENGAGEPOINT_NODE_FILE|kv-(key|range|txn|watch|lease|keep)"
    r"|coldLeftS|trafficSplit|pathPrefix|allowedRegions|op/config|/api/resolve",
    re.IGNORECASE,
)
DECISION_PACKAGES = (
    "greengagepoint.placing",
    "greengagepoint.overload",
    "greengagepoint.caps",
)


def product_sources():
    for package in ("core", "node", "cli"):
        for path in (ROOT / "packages" / package).rglob("*.py"):
            if "tests" not in path.parts and "build" not in path.parts:
                yield path


def imported_modules(path):
    modules = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            modules |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            modules.add(node.module)
    return modules


def test_the_product_contains_no_platform_names():
    matches = {
        f"{path.name}: {match.group()}"
        for path in product_sources()
        for match in PLATFORM_WORDS.finditer(path.read_text())
    }
    assert not matches


def test_the_product_does_not_import_the_adapter():
    for path in product_sources():
        packages = {name.split(".")[0] for name in imported_modules(path)}
        assert "greengagepoint_platform" not in packages, path


@pytest.mark.parametrize("path", sorted(ADAPTER.glob("*.py")), ids=lambda row: row.name)
def test_the_adapter_imports_no_decision_logic(path):
    assert not [
        name for name in imported_modules(path) if name.startswith(DECISION_PACKAGES)
    ]


def test_the_adapter_stays_small():
    lines = sum(len(path.read_text().splitlines()) for path in ADAPTER.glob("*.py"))
    assert lines < LINES_MAX
