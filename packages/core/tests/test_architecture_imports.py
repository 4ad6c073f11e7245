"""The dependency arrows of the architecture page against the imports."""

import ast
import re
import sys
from pathlib import Path

import pytest

PACKAGES = Path(__file__).parents[2]
ARCHITECTURE = PACKAGES.parent / "docs" / "ARCHITECTURE.md"
LIBRARIES = {
    "core": {"msgspec", "xxhash"},
    "node": {
        "absl",
        "aiohttp",
        "greengagepoint",
        "msgspec",
        "multidict",
        "opentelemetry",
        "prometheus_client",
        "pynng",
        "typer",
        "xxhash",
        "yarl",
    },
    "cli": {"aiohttp", "greengagepoint", "msgspec", "typer"},
    "standins": {"aiohttp", "greengagepoint", "hdrh", "msgspec", "typer"},
}


def imports_of(path: Path) -> set[str]:
    found = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            found.add(node.module)
    return found


def sources(package: str) -> list[Path]:
    return [
        path
        for path in (PACKAGES / package).rglob("*.py")
        if not {"tests", "build"} & set(path.relative_to(PACKAGES).parts)
    ]


@pytest.mark.parametrize("package", LIBRARIES)
def test_a_package_imports_only_what_it_may(package: str) -> None:
    for path in sources(package):
        own = path.relative_to(PACKAGES / package).parts[0]
        roots = {name.split(".")[0] for name in imports_of(path)}
        foreign = roots - set(sys.stdlib_module_names) - LIBRARIES[package] - {own}
        assert not foreign, f"{path.name} imports {foreign}"


def test_the_picture_of_core_matches_its_imports() -> None:
    root = PACKAGES / "core" / "greengagepoint"
    edges = set()
    for path in sources("core"):
        parts = path.relative_to(root).parts
        if len(parts) == 1:
            continue
        for name in imports_of(path):
            target = name.removeprefix("greengagepoint.").split(".")[0]
            if (root / target).is_dir() and target != parts[0] and "." in name:
                edges.add(f"{parts[0]} --> {target}")
    drawn = set(re.findall(r"^  (\w+ --> \w+)$", ARCHITECTURE.read_text(), re.M))
    assert drawn == edges
