"""Check out an earlier commit beside the working tree."""

import contextlib
import subprocess
from collections.abc import Iterator
from pathlib import Path


class CommitError(Exception):
    """Report a commit that cannot be checked out."""


def describe(root: Path) -> str:
    """Return the commit of a tree, marked when files differ from it."""
    commit = _git(root, "rev-parse", "--short=12", "HEAD")
    changed = _git(root, "status", "--porcelain", "--untracked-files=no")
    return f"{commit} with local changes" if changed else commit


@contextlib.contextmanager
def worktree(root: Path, commit: str) -> Iterator[Path]:
    """Check a commit out under build/ and remove it afterwards."""
    name = _git(root, "rev-parse", "--short=12", "--verify", f"{commit}^{{commit}}")
    folder = root / "build" / f"measure-{name}"
    _git(root, "worktree", "add", "--force", "--detach", str(folder), name)
    try:
        yield folder
    finally:
        _git(root, "worktree", "remove", "--force", str(folder))


def _git(root: Path, *arguments: str) -> str:
    """Return what git prints; raise CommitError with its complaint."""
    done = subprocess.run(
        ["git", "-C", str(root), *arguments], capture_output=True, text=True
    )
    if done.returncode:
        raise CommitError(done.stderr.strip())
    return done.stdout.strip()
