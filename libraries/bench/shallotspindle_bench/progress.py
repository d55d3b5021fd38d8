"""Progress bar of a run, shown on a terminal only."""

import sys
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from rich.console import Console
from rich.progress import Progress


@contextmanager
def show(total: int, label: str) -> Iterator[Callable[[], None]]:
    """Yield a function to call for each finished request.

    :param total: number of requests of the run.
    """
    if not sys.stderr.isatty():
        yield lambda: None
        return
    with Progress(console=Console(stderr=True)) as progress:
        task = progress.add_task(label, total=total)
        yield lambda: progress.advance(task)
