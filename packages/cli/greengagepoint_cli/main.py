"""The greengagepoint command."""

import traceback
from typing import Any

import typer
from typer.core import TyperGroup

from greengagepoint_cli.commands import moves, records, state, timeline
from greengagepoint_cli.const import PROGRAM, ExitCode
from greengagepoint_cli.errors import ClientError


class ReportingGroup(TyperGroup):
    """End a failed command with its lines on standard error and its exit code."""

    def invoke(self, ctx: Any) -> Any:
        """Run the command."""
        try:
            return super().invoke(ctx)
        except ClientError as error:
            for line in error.lines:
                typer.echo(f"{PROGRAM}: {line}", err=True)
            raise typer.Exit(error.exit_code) from None
        except (typer.Exit, typer.Abort, typer.BadParameter):
            raise
        except Exception as error:
            # A traceback alone would exit with 1, which means a difference.
            if _is_usage_error(error):
                raise
            typer.echo(traceback.format_exc(), err=True)
            raise typer.Exit(ExitCode.INTERNAL) from None


def _is_usage_error(error: Exception) -> bool:
    """Tell whether typer itself reports an error."""
    return hasattr(error, "format_message")


def create_app() -> typer.Typer:
    """Return the command line."""
    app = typer.Typer(
        cls=ReportingGroup,
        no_args_is_help=True,
        rich_markup_mode=None,
        pretty_exceptions_enable=False,
        help="Operate greengagepoint by its steering records.",
    )
    for module in (records, state, timeline, moves):
        module.register(app)
    return app


def main() -> None:
    """Run the command line."""
    create_app()()


if __name__ == "__main__":
    main()
