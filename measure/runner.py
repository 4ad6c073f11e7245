"""Run measurement modules, each in a process of its own."""

import os
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Iterator, Sequence
from enum import StrEnum
from pathlib import Path
from typing import Final, NamedTuple

import msgspec

from measure.figure import Figure

MODULE_SECONDS_MAX: Final = 600
QUICK_VARIABLE: Final = "GREENGAGEPOINT_MEASURE_QUICK"
SOURCE_FOLDERS: Final = (
    ".",
    "packages/core",
    "packages/node",
    "packages/cli",
    "packages/standins",
    "platform",
)
ERROR_LINES: Final = 3

# An earlier commit may lack this runner, so what its modules need comes as text. The
# check on the path is there because an editable install names this checkout's
# packages: without it an earlier commit could silently be measured with newer code.
CHILD: Final = """
import importlib, json, pathlib, sys
name, root, path = sys.argv[1:]
import greengagepoint
module = importlib.import_module("measure." + name)
for loaded in (greengagepoint, module):
    if not pathlib.Path(loaded.__file__).is_relative_to(root):
        sys.exit(f"{loaded.__name__} was not loaded from the measured tree")
figures = [figure._asdict() for figure in module.run()]
pathlib.Path(path).write_text(json.dumps(figures))
"""


class Status(StrEnum):
    """How the run of one module ended."""

    MEASURED = "measured"
    FAILED = "failed"
    NOT_RUN = "not run"


class ModuleRun(NamedTuple):
    """One run of one module; ``detail`` tells why there are no figures."""

    module: str
    status: Status
    figures: tuple[Figure, ...] = ()
    detail: str = ""


class Measured(NamedTuple):
    """A figure with its value at the earlier commit, where it was measured."""

    figure: Figure
    earlier: float | None = None

    @property
    def ratio_to_earlier(self) -> float | None:
        """Return the value over that of the earlier commit."""
        return self.figure.value / self.earlier if self.earlier else None


class ModuleResult(NamedTuple):
    """What all runs of one module gave; ``earlier_status`` is None if not asked."""

    module: str
    status: Status
    measured: tuple[Measured, ...] = ()
    detail: str = ""
    earlier_status: Status | None = None
    earlier_detail: str = ""


def find_modules(root: Path) -> list[str]:
    """Return the names of the modules that measure something."""
    return sorted(
        path.stem
        for path in (root / "measure").glob("*.py")
        if "\ndef run() ->" in path.read_text()
    )


def run_module(
    root: Path, module: str, *, quick: bool, seconds_max: float = MODULE_SECONDS_MAX
) -> ModuleRun:
    """Run one module of a source tree in a child process."""
    if not (root / "measure" / f"{module}.py").is_file():
        return ModuleRun(module, Status.NOT_RUN, detail="there is no such module")
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "figures.json"
        command = [sys.executable, "-c", CHILD, module, str(root), str(path)]
        with (Path(folder) / "errors").open("w+") as errors:
            child = subprocess.Popen(
                command,
                cwd=root,
                env=_environment(root, quick=quick),
                stdout=subprocess.DEVNULL,
                stderr=errors,
                start_new_session=True,
            )
            in_time = _wait(child, seconds_max)
            errors.seek(0)
            detail = " / ".join(errors.read().splitlines()[-ERROR_LINES:])
        if not in_time:
            return ModuleRun(module, Status.FAILED, detail=f"over {seconds_max} s")
        if child.returncode or not path.is_file():
            return ModuleRun(module, Status.FAILED, detail=detail)
        return _decode(module, path.read_bytes())


def run_alternating(
    module: str, here: Path, earlier: Path | None, *, quick: bool
) -> ModuleResult:
    """Run a module here and at an earlier commit in turn.

    The order is turned round in the second round, so that a machine that gets busier
    or quieter meanwhile favours neither.
    """
    if earlier is None:
        own = run_module(here, module, quick=quick)
        return combine([own], [])
    order = [here, earlier] if quick else [here, earlier, earlier, here]
    runs = [(root, run_module(root, module, quick=quick)) for root in order]
    return combine(
        [run for root, run in runs if root == here],
        [run for root, run in runs if root == earlier],
    )


def combine(own: Sequence[ModuleRun], earlier: Sequence[ModuleRun]) -> ModuleResult:
    """Join the runs of one module; a run that failed makes the whole fail."""
    first = _worst(own)
    measured: tuple[Measured, ...] = ()
    if first.status is Status.MEASURED:
        own_values = _means(own)
        earlier_values = _means(earlier)
        measured = tuple(
            Measured(figure._replace(value=own_values[key]), earlier_values.get(key))
            for key, figure in _keyed(first.figures)
        )
    result = ModuleResult(first.module, first.status, measured, first.detail)
    if not earlier:
        return result
    other = _worst(earlier)
    return result._replace(earlier_status=other.status, earlier_detail=other.detail)


def is_good(results: Sequence[ModuleResult]) -> bool:
    """Tell whether all modules were measured and all limits hold."""
    return all(
        result.status is Status.MEASURED
        and all(one.figure.holds is not False for one in result.measured)
        for result in results
    )


def _worst(runs: Sequence[ModuleRun]) -> ModuleRun:
    """Return the first run that was not measured, or the first one."""
    return next((run for run in runs if run.status is not Status.MEASURED), runs[0])


def _means(runs: Sequence[ModuleRun]) -> dict[tuple[str, int], float]:
    """Return the mean of each figure over the runs that have it."""
    values: dict[tuple[str, int], list[float]] = {}
    for run in runs:
        for key, figure in _keyed(run.figures):
            values.setdefault(key, []).append(figure.value)
    return {key: sum(found) / len(found) for key, found in values.items()}


def _keyed(
    figures: Sequence[Figure],
) -> Iterator[tuple[tuple[str, int], Figure]]:
    """Yield figures by name; those of the same name are told apart by their order."""
    seen: Counter[str] = Counter()
    for figure in figures:
        yield (figure.name, seen[figure.name]), figure
        seen[figure.name] += 1


def _decode(module: str, data: bytes) -> ModuleRun:
    """Read the figures that a child wrote."""
    try:
        rows = msgspec.json.decode(data, type=list[dict[str, object]])
        figures = tuple(Figure(**row) for row in rows)
    except (msgspec.MsgspecError, TypeError) as error:
        return ModuleRun(module, Status.FAILED, detail=f"unreadable figures: {error}")
    return ModuleRun(module, Status.MEASURED, figures)


def _environment(root: Path, *, quick: bool) -> dict[str, str]:
    """Return the child's environment, which puts the tree before installed code."""
    folders = [str((root / folder).resolve()) for folder in SOURCE_FOLDERS]
    environment = {**os.environ, "PYTHONPATH": os.pathsep.join(folders)}
    if quick:
        environment[QUICK_VARIABLE] = "1"
    return environment


def _wait(child: subprocess.Popen[bytes], seconds_max: float) -> bool:
    """Wait for a child; return False if it is too slow and was ended."""
    try:
        child.wait(seconds_max)
    except subprocess.TimeoutExpired:
        return False
    finally:
        if child.returncode is None:
            _end_group(child)
    return True


def _end_group(child: subprocess.Popen[bytes]) -> None:
    """End a child and the processes that it has started.

    A module that is too slow, or whose run is interrupted, would otherwise leave
    daemons that disturb the modules that follow.
    """
    os.killpg(child.pid, signal.SIGKILL)
    child.wait()


def is_quick() -> bool:
    """Tell a module whether rough figures suffice."""
    return bool(os.environ.get(QUICK_VARIABLE))
