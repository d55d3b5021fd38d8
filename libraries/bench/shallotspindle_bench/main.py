"""The load and experiment tool."""

from cyclopts import App

app = App(name="shallotspindle-bench", help="Load and experiment tool.")


def run() -> None:
    """Entry point of the console script."""
    app()


if __name__ == "__main__":
    run()
