"""The runner and the report of measurements."""

import os
import select
import signal
import subprocess

import msgspec
import pytest

from measure import report, runner, runner_worktree
from measure.figure import Figure
from measure.runner import ModuleRun, Status

WAIT_SECONDS = 20.0
HEAD = report.Head("script/measure", "abc", "def", "now", 4, 1.0, 2.0, quick=False)


@pytest.mark.parametrize(
    ("value", "limit", "at_least", "holds"),
    [
        (1.0, None, False, None),
        (2.0, 2.0, False, True),
        (2.1, 2.0, False, False),
        (0.9, 0.9, True, True),
        (0.8, 0.9, True, False),
    ],
)
def test_a_limit_holds(value, limit, at_least, holds) -> None:
    assert Figure("f", value, "s", limit=limit, at_least=at_least).holds is holds


def write_module(root, name: str, text: str) -> None:
    (root / "measure").mkdir(exist_ok=True)
    (root / "measure" / "__init__.py").touch()
    core = root / "packages" / "core" / "greengagepoint"
    core.mkdir(parents=True, exist_ok=True)
    (core / "__init__.py").touch()
    (root / "measure" / f"{name}.py").write_text(text)


FIGURES = """
from collections import namedtuple
Figure = namedtuple("Figure", "name value unit")
def run() -> list:
    print("chatter")
    return [Figure("one", {value}, "s")]
"""


@pytest.mark.parametrize(
    ("text", "status", "detail"),
    [
        (FIGURES.format(value=3.0), Status.MEASURED, ""),
        ("\ndef run() -> list:\n    raise ValueError('odd')", Status.FAILED, "odd"),
        ("\ndef run() -> list:\n    while True: pass", Status.FAILED, "over"),
        (None, Status.NOT_RUN, "no such module"),
    ],
    ids=["measured", "raises", "hangs", "missing"],
)
def test_a_module_runs_in_a_child(tmp_path, text, status, detail) -> None:
    if text is not None:
        write_module(tmp_path, "sample", text)
    seconds_max = 0.5 if "while" in (text or "") else 60
    run = runner.run_module(tmp_path, "sample", quick=True, seconds_max=seconds_max)
    assert run.status is status
    assert detail in run.detail
    assert [figure.value for figure in run.figures] == (
        [3.0] if status is Status.MEASURED else []
    )


STARTS_A_PROCESS = """
import pathlib, subprocess, sys
def run() -> list:
    code = "import signal; signal.pause()"
    child = subprocess.Popen([sys.executable, "-c", code])
    pathlib.Path("started").write_text(str(child.pid))
    while True:
        pass
"""


def has_ended(pid: int) -> bool:
    """Wait for a process that was killed; tell whether it has ended in time."""
    try:
        descriptor = os.pidfd_open(pid)
    except ProcessLookupError:
        return True
    ended, _, _ = select.select([descriptor], [], [], WAIT_SECONDS)
    if not ended:
        signal.pidfd_send_signal(descriptor, signal.SIGKILL)
    os.close(descriptor)
    return bool(ended)


def test_an_interrupted_run_ends_what_its_module_started(tmp_path, monkeypatch) -> None:
    """An operator presses Ctrl-C while a module runs daemons of its own.

    The runner is interrupted in its wait. The module and all that it started are
    ended, or they would go on under load and spoil the next run.
    """
    write_module(tmp_path, "sample", STARTS_A_PROCESS)
    started = tmp_path / "started"

    def interrupted(child, seconds_max) -> None:
        while not (started.exists() and started.read_text()):
            assert child.poll() is None
        raise KeyboardInterrupt

    wait = subprocess.Popen.wait
    monkeypatch.setattr(
        subprocess.Popen,
        "wait",
        lambda child, timeout=None: (
            interrupted(child, timeout) if timeout else wait(child)
        ),
    )
    with pytest.raises(KeyboardInterrupt):
        runner.run_module(tmp_path, "sample", quick=True)
    assert has_ended(int(started.read_text()))


def test_code_of_another_tree_is_not_measured(tmp_path) -> None:
    """An earlier commit is checked out where a package of its own is missing.

    Python would then find this checkout's installed package and measure new code
    under the old commit's name. The child sees where it was loaded from, and the
    module counts as failed.
    """
    write_module(tmp_path, "sample", FIGURES.format(value=3.0))
    core = tmp_path / "packages" / "core" / "greengagepoint"
    (core / "__init__.py").unlink()
    core.rmdir()
    run = runner.run_module(tmp_path, "sample", quick=True)
    assert run.status is Status.FAILED
    assert "was not loaded from the measured tree" in run.detail


def test_runs_alternate_and_are_averaged(tmp_path) -> None:
    here, earlier = tmp_path / "here", tmp_path / "earlier"
    for root, value in ((here, 2.0), (earlier, 4.0)):
        root.mkdir()
        write_module(root, "sample", FIGURES.format(value=value))
    result = runner.run_alternating("sample", here, earlier, quick=False)
    assert [one.ratio_to_earlier for one in result.measured] == [0.5]
    assert result.earlier_status is Status.MEASURED


def test_figures_of_one_name_are_kept_apart() -> None:
    figures = (Figure("same", 1.0, "s"), Figure("same", 3.0, "s"))
    run = ModuleRun("sample", Status.MEASURED, figures)
    result = runner.combine([run, run], [run])
    assert [one.figure.value for one in result.measured] == [1.0, 3.0]
    assert [one.earlier for one in result.measured] == [1.0, 3.0]


@pytest.mark.parametrize(
    ("run", "good", "said"),
    [
        (
            ModuleRun("m", Status.MEASURED, (Figure("f", 1, "s", limit=2),)),
            True,
            "1 of 1",
        ),
        (
            ModuleRun("m", Status.MEASURED, (Figure("f", 3, "s", limit=2),)),
            False,
            "BROKEN",
        ),
        (ModuleRun("m", Status.FAILED, detail="why"), False, "without figures: m"),
        (ModuleRun("m", Status.NOT_RUN, detail="why"), False, "not run (why)"),
    ],
)
def test_broken_limits_and_failed_modules_are_told(run, good, said) -> None:
    results = [runner.combine([run], [])]
    assert runner.is_good(results) is good
    assert said in report.render_text(HEAD, results)


def test_a_report_is_whole_and_escaped(tmp_path) -> None:
    figure = Figure("<b>", 1.0, "s", 2.0, "<i>", limit=3.0)
    run = ModuleRun("sample", Status.MEASURED, (figure,))
    report.write(tmp_path, HEAD, [runner.combine([run], [run])])
    page = (tmp_path / "report.html").read_text()
    assert "&lt;b&gt;" in page
    assert "<i>" not in page
    assert "<b>" not in page
    assert page.count("<rect") == 3
    table = (tmp_path / "report.md").read_text().splitlines()
    assert "| <b> | 1 | s | 2 (<i>) | 0.5 | <= 3 | holds | 1 | 1 |" in table
    document = msgspec.json.decode((tmp_path / "figures.json").read_bytes())
    row = document["modules"][0]["figures"][0]
    assert (row["ratio"], row["ratio_to_earlier"], row["holds"]) == (0.5, 1.0, True)


def test_a_worktree_holds_the_commit_and_goes_away(tmp_path) -> None:
    def git(*arguments: str) -> None:
        identity = ["-c", "user.name=t", "-c", "user.email=t@example.org"]
        command = ["git", "-C", str(tmp_path), *identity, *arguments]
        subprocess.run(command, check=True, capture_output=True)

    git("init")
    (tmp_path / "file").write_text("first")
    git("add", "file")
    git("commit", "-m", "first")
    (tmp_path / "file").write_text("second")
    assert runner_worktree.describe(tmp_path).endswith("with local changes")
    with runner_worktree.worktree(tmp_path, "HEAD") as folder:
        assert (folder / "file").read_text() == "first"
    assert not folder.exists()
    unknown = runner_worktree.worktree(tmp_path, "no-such-commit")
    with pytest.raises(runner_worktree.CommitError, match="revision"), unknown:
        pass
