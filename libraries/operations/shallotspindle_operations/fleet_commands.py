"""Commands that look at instances and upstreams, and that drain an upstream."""

import asyncio

from cyclopts import App
from expression import Result

from shallotspindle_core.failures import Failure
from shallotspindle_environment.interface import Store
from shallotspindle_operations import (
    changing,
    editing,
    instances,
    options,
    outcomes,
    publishing,
)
from shallotspindle_operations.changing import Operator
from shallotspindle_operations.outcomes import Exit, Outcome

Answers = list[tuple[str, Result]]


def describe_failures(answers: Answers) -> tuple[list[str], list[dict[str, str]]]:
    """Return the instances that did not answer, as lines and as data."""
    failures: list[Failure] = [item.error for _, item in answers if item.is_error()]
    lines = [f"no answer: {failure}" for failure in failures]
    return lines, list(map(outcomes.describe_failure, failures))


def require_instances(addresses: tuple[str, ...]) -> Outcome | None:
    """Return a failure when no instance was named."""
    if addresses:
        return None
    failure = Failure("instances", "give the address of at least one instance")
    return outcomes.fail((failure,), Exit.INVALID)


def report_state(answers: Answers, accepted: int | None) -> Outcome:
    """Return the bundle of each instance and how far it is behind.

    :param accepted: version in the store; None compares with the highest instance.
    """
    checked = [(a, instances.validate(instances.State, a, r)) for a, r in answers]
    found = [(address, item.ok) for address, item in checked if item.is_ok()]
    versions = [state.bundle for _, state in found]
    newest = max([*versions, accepted or 0])
    lines, failures = describe_failures(checked)
    data = []
    for address, state in found:
        lag = newest - state.bundle
        note = "in force" if lag == 0 else f"{lag} behind"
        lines.append(f"{state.instance} ({address}): bundle {state.bundle}, {note}")
        fields = {"instance": state.instance, "address": address}
        data.append({**fields, "bundle": state.bundle, "lag": lag})
    good = not failures and all(version == newest for version in versions)
    content = {"newest": newest, "instances": data, "failures": failures}
    return Outcome(Exit.DONE if good else Exit.FAILED, tuple(lines), content)


def show_status(
    *,
    instance: options.Instances = (),
    store: options.StoreUrl | None = None,
    json: options.Json = False,
) -> int:
    """Print the bundle in force on each instance and which instances lag.

    Exit code 1 means that an instance lags or does not answer.

    Example: shallotspindle status --instance 10.0.0.1:9000 --instance 10.0.0.2:9000

    :param instance: Administration address of an instance; may be repeated.
    :param store: Address of the store, to compare with the accepted bundle.
    :param json: Print the result as JSON.
    """
    failure = require_instances(instance)
    if failure is not None:
        return outcomes.emit(failure, json)
    answers = asyncio.run(instances.call_all(instance, "GET", "/state"))
    if store is None:
        return outcomes.emit(report_state(answers, None), json)

    async def compare(connected: Store) -> Outcome:
        accepted = await publishing.read_version(connected)
        if accepted.is_error():
            return outcomes.fail((accepted.error,))
        return report_state(answers, accepted.ok)

    return outcomes.emit(options.run_with_store(store, compare), json)


def report_upstreams(answers: Answers, every: bool) -> Outcome:
    """Return the upstreams' states as the instances see them.

    :param every: whether healthy upstreams are listed too.
    """
    checked = [(a, instances.validate(instances.Upstreams, a, r)) for a, r in answers]
    lines, failures = describe_failures(checked)
    data = []
    for address, item in checked:
        for upstream in item.ok.upstreams if item.is_ok() else ():
            if upstream.state == "healthy" and not every:
                continue
            reason = f": {upstream.reason}" if upstream.reason else ""
            place = f"{upstream.service}/{upstream.name}"
            lines.append(f"{place} {upstream.state} at {address}{reason}")
            data.append({"address": address, **upstream.model_dump()})
    if not lines:
        lines.append("all upstreams are healthy")
    code = Exit.FAILED if failures else Exit.DONE
    return Outcome(code, tuple(lines), {"upstreams": data, "failures": failures})


def show_upstreams(
    *,
    instance: options.Instances = (),
    every: bool = False,
    json: options.Json = False,
) -> int:
    """Print the health of upstreams, with the reason of each ejection.

    Example: shallotspindle upstreams --instance 10.0.0.1:9000

    :param instance: Administration address of an instance; may be repeated.
    :param every: List healthy upstreams too.
    :param json: Print the result as JSON.
    """
    failure = require_instances(instance)
    if failure is not None:
        return outcomes.emit(failure, json)
    answers = asyncio.run(instances.call_all(instance, "GET", "/upstreams"))
    return outcomes.emit(report_upstreams(answers, every), json)


def drain(
    upstream: str,
    *,
    store: options.StoreUrl,
    signer: options.Signer,
    undo: bool = False,
    json: options.Json = False,
) -> int:
    """Publish a bundle in which an upstream gets no new work.

    Example: shallotspindle drain stock-7 --store http://10.0.0.9:2379
    --signer astrid --key astrid.key

    :param upstream: Name of the upstream.
    :param store: Address of the platform's store.
    :param undo: Let the upstream get work again.
    :param json: Print the result as JSON.
    """

    async def run(connected: Store, operator: Operator) -> Outcome:
        done = await changing.change(
            connected,
            operator,
            "undrain" if undo else "drain",
            lambda bundle: editing.drain(bundle, upstream, not undo),
        )
        if done.is_error():
            return outcomes.fail(done.error)
        return outcomes.describe_change(done.ok)

    return outcomes.emit(options.run_signed(store, signer, run), json)


def add_commands(app: App) -> None:
    """Add the commands that stand at the top level, without a group."""
    app.command(show_status, name="status")
    app.command(show_upstreams, name="upstreams")
    app.command(drain)
