"""The daemon's command line, made from the table of settings."""

import inspect
from collections.abc import Callable
from typing import Annotated, Final

import typer

from greengagepoint.errors import SettingError
from greengagepoint_node.setting_rows import SETTINGS, Setting
from greengagepoint_node.settings import Settings, read_settings

EXIT_USAGE: Final = 2
PROGRAM: Final = "greengagepointd"


def command(run: Callable[[Settings], int]) -> typer.Typer:
    """Return the daemon's command line; ``run`` returns the exit code."""
    app = typer.Typer(
        add_completion=False, pretty_exceptions_enable=False, rich_markup_mode=None
    )

    def start(**values: str | None) -> None:
        """Run the daemon of one entry host."""
        try:
            code = run(read_settings(values))
        except SettingError as error:
            typer.echo(f"{PROGRAM}: {error.detail}", err=True)
            raise typer.Exit(EXIT_USAGE) from None
        raise typer.Exit(code)

    # typer reads the signature: one parameter for each row of the table.
    parameters = [_parameter(row) for row in SETTINGS]
    start.__signature__ = inspect.Signature(parameters)
    start.__annotations__ = {one.name: one.annotation for one in parameters}
    app.command()(start)
    return app


def _parameter(row: Setting) -> inspect.Parameter:
    """Return the typer parameter of one row."""
    shown = f"{row.help} [default: {row.default}]" if row.default else row.help
    option = typer.Option(row.flag, envvar=row.variable, help=shown, show_default=False)
    return inspect.Parameter(
        row.name,
        inspect.Parameter.KEYWORD_ONLY,
        default=None,
        annotation=Annotated[str | None, option],
    )
