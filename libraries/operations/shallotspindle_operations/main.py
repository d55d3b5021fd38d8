"""Entry point of the operators' command-line tool."""

import sys
from importlib import metadata

from cyclopts import App, CycloptsError

from shallotspindle_operations import (
    audit_commands,
    bundle_commands,
    file_commands,
    fleet_commands,
    key_commands,
)
from shallotspindle_operations.outcomes import ExitCode

HELP_EPILOGUE = (
    "Exit codes: 0 done, 1 failed, 2 invalid input, 3 conflict with another operator, "
    "4 outcome unknown."
)


def get_version() -> str:
    """Return the version of the installed package."""
    try:
        return metadata.version("shallotspindle-operations")
    except metadata.PackageNotFoundError:
        return "unknown"


def build_app() -> App:
    """Return the application with all commands."""
    app = App(
        name="shallotspindle",
        help="Operates the proxy fleet.",
        help_format="markdown",
        help_epilogue=HELP_EPILOGUE,
        version=get_version,
    )
    app.command(bundle_commands.app)
    app.command(key_commands.app)
    fleet_commands.add_commands(app)
    app.command(audit_commands.app)
    app.command(file_commands.check)
    app.command(file_commands.signer_app)
    app.command(bundle_commands.publish, name="publish")
    app.command(bundle_commands.validate, name="validate")
    app.register_install_completion_command()
    return app


app = build_app()


def run() -> None:
    """Run the console script; invalid arguments exit with ``ExitCode.INVALID``."""
    try:
        app(exit_on_error=False)
    except CycloptsError:
        sys.exit(ExitCode.INVALID)


if __name__ == "__main__":
    run()
