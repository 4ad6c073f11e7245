"""Run measurements and report them."""

import contextlib
import os
import signal
import sys
import time
from pathlib import Path
from typing import Annotated, Final

import typer

from measure import report, runner, runner_worktree

ROOT: Final = Path(__file__).resolve().parent.parent
EXIT_BROKEN: Final = 1
EXIT_USAGE: Final = 2

Names = Annotated[
    list[str] | None, typer.Argument(help="Modules to run; all when none is named.")
]
Compare = Annotated[
    str | None, typer.Option(help="An earlier commit to measure in the same run.")
]
Quick = Annotated[bool, typer.Option("--quick", help="Rough figures in less time.")]


def command(names: Names = None, compare: Compare = None, quick: Quick = False) -> None:
    """Run measurements, print a table and write a report under measurements/."""
    # As with Ctrl-C, so that children end and the worktree is removed.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    known = runner.find_modules(ROOT)
    unknown = sorted(set(names or ()) - set(known))
    if unknown:
        print(f"measure: no module {', '.join(unknown)}; there are", file=sys.stderr)
        print("  " + " ".join(known), file=sys.stderr)
        raise typer.Exit(EXIT_USAGE)
    try:
        head = _head(compare, quick=quick)
        results = _run(names or known, compare, quick=quick)
    except runner_worktree.CommitError as error:
        print(f"measure: {error}", file=sys.stderr)
        raise typer.Exit(EXIT_USAGE) from error
    head = head._replace(load_after=os.getloadavg()[0])
    print(report.render_text(head, results))
    folder = ROOT / "measurements" / time.strftime("%Y%m%d-%H%M%S")
    report.write(folder, head, results)
    print(f"report: {folder.relative_to(ROOT)}/report.html")
    if not runner.is_good(results):
        raise typer.Exit(EXIT_BROKEN)


def _head(compare: str | None, *, quick: bool) -> report.Head:
    """Return what the report says of the run as a whole."""
    return report.Head(
        command="script/measure " + " ".join(sys.argv[1:]),
        commit=runner_worktree.describe(ROOT),
        compare=compare or "",
        started=time.strftime("%Y-%m-%d %H:%M:%S %Z"),
        cores=len(os.sched_getaffinity(0)),
        load_before=os.getloadavg()[0],
        load_after=0.0,
        quick=quick,
    )


def _run(
    modules: list[str], compare: str | None, *, quick: bool
) -> list[runner.ModuleResult]:
    """Run the modules one after another, telling how far it has come."""
    results = []
    with contextlib.ExitStack() as stack:
        earlier = None
        if compare is not None:
            earlier = stack.enter_context(runner_worktree.worktree(ROOT, compare))
        for number, module in enumerate(modules, 1):
            print(f"[{number}/{len(modules)}] {module}", file=sys.stderr, flush=True)
            results.append(runner.run_alternating(module, ROOT, earlier, quick=quick))
    return results


if __name__ == "__main__":
    typer.run(command)
