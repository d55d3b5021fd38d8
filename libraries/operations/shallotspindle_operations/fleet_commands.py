"""Commands that show the state of instances and upstreams, and drain an upstream."""

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
from shallotspindle_operations.outcomes import ExitCode, Outcome

InstanceResponses = list[tuple[str, Result]]


def describe_failed_calls(
    responses: InstanceResponses,
) -> tuple[list[str], list[dict[str, str]]]:
    """Return the failed calls, as lines and as JSON data."""
    failures: list[Failure] = [item.error for _, item in responses if item.is_error()]
    lines = [f"no answer: {failure}" for failure in failures]
    return lines, list(map(outcomes.describe_failure, failures))


def check_addresses_given(addresses: tuple[str, ...]) -> Outcome | None:
    """Return a failure if no address was given."""
    if addresses:
        return None
    failure = Failure("instances", "the address of at least one instance is required")
    return outcomes.from_failures((failure,), ExitCode.INVALID)


def build_state_report(responses: InstanceResponses, accepted: int | None) -> Outcome:
    """Return the bundle version of each instance and how far it lags.

    :param accepted: version in the store; None compares with the highest version
        among the instances.
    """
    checked = [
        (address, instances.parse_response(instances.StateResponse, address, response))
        for address, response in responses
    ]
    states = [(address, item.ok) for address, item in checked if item.is_ok()]
    versions = [state.bundle for _, state in states]
    newest = max([*versions, accepted or 0])
    lines, failures = describe_failed_calls(checked)
    data = []
    for address, state in states:
        lag = newest - state.bundle
        status = "in force" if lag == 0 else f"{lag} behind"
        if state.rejected:
            status += ", newest rejected"
        lines.append(f"{state.instance} ({address}): bundle {state.bundle}, {status}")
        lines.extend(f"  {fault}" for fault in state.faults)
        identity = {"instance": state.instance, "address": address}
        bundle = {"bundle": state.bundle, "lag": lag, "rejected": state.rejected}
        if state.faults:
            bundle["faults"] = list(state.faults)
        data.append({**identity, **bundle})
    is_consistent = not failures and all(
        state.bundle == newest and not state.rejected for _, state in states
    )
    content = {"newest": newest, "instances": data, "failures": failures}
    return Outcome(
        ExitCode.DONE if is_consistent else ExitCode.FAILED, tuple(lines), content
    )


def show_status(
    *,
    instance: options.InstanceAddresses = (),
    store: options.StoreUrl | None = None,
    json: options.JsonFlag = False,
) -> int:
    """Print the active bundle of each instance and which instances lag.

    Exit code 1 means that an instance lags, rejected the newest bundle or does not
    respond.

    Example: shallotspindle status --instance 10.0.0.1:9000 --instance 10.0.0.2:9000

    :param instance: Administration address of an instance, or the address of the
        metrics of a gateway; may be repeated.
    :param store: Address of the store whose accepted bundle is compared.
    :param json: Print the result as JSON.
    """
    failure = check_addresses_given(instance)
    if failure is not None:
        return outcomes.emit(failure, json)
    responses = asyncio.run(instances.call_instances(instance, "GET", "/state"))
    if store is None:
        return outcomes.emit(build_state_report(responses, None), json)

    async def compare(connected: Store) -> Outcome:
        accepted = await publishing.read_version(connected)
        if accepted.is_error():
            return outcomes.from_failures((accepted.error,))
        return build_state_report(responses, accepted.ok)

    return outcomes.emit(options.run_with_store(store, compare), json)


def build_upstream_report(
    responses: InstanceResponses, include_healthy: bool
) -> Outcome:
    """Return the state of each upstream as seen by each instance.

    :param include_healthy: whether healthy upstreams are listed too.
    """
    checked = [
        (
            address,
            instances.parse_response(instances.UpstreamsResponse, address, response),
        )
        for address, response in responses
    ]
    lines, failures = describe_failed_calls(checked)
    data = []
    for address, item in checked:
        for upstream in item.ok.upstreams if item.is_ok() else ():
            if upstream.state == "healthy" and not include_healthy:
                continue
            reason = f": {upstream.reason}" if upstream.reason else ""
            upstream_path = f"{upstream.service}/{upstream.name}"
            lines.append(f"{upstream_path} {upstream.state} at {address}{reason}")
            data.append({"address": address, **upstream.model_dump()})
    if not lines:
        lines.append("all upstreams are healthy")
    code = ExitCode.FAILED if failures else ExitCode.DONE
    return Outcome(code, tuple(lines), {"upstreams": data, "failures": failures})


def show_upstreams(
    *,
    instance: options.InstanceAddresses = (),
    every: bool = False,
    json: options.JsonFlag = False,
) -> int:
    """Print the health of upstreams and the reason for each ejection.

    Example: shallotspindle upstreams --instance 10.0.0.1:9000

    :param instance: Administration address of an instance; may be repeated.
    :param every: Include healthy upstreams.
    :param json: Print the result as JSON.
    """
    failure = check_addresses_given(instance)
    if failure is not None:
        return outcomes.emit(failure, json)
    responses = asyncio.run(instances.call_instances(instance, "GET", "/upstreams"))
    return outcomes.emit(build_upstream_report(responses, every), json)


def drain(
    upstream: str,
    *,
    store: options.StoreUrl,
    signer: options.Signer,
    undo: bool = False,
    json: options.JsonFlag = False,
) -> int:
    """Publish a bundle that stops new requests to an upstream.

    Example: shallotspindle drain stock-7 --store http://10.0.0.9:2379
    --signer astrid --key astrid.key

    :param upstream: Name of the upstream.
    :param store: Address of the platform's store.
    :param undo: Send new requests to the upstream again.
    :param json: Print the result as JSON.
    """

    async def run(connected: Store, operator: Operator) -> Outcome:
        result = await changing.publish_edit(
            connected,
            operator,
            "undrain" if undo else "drain",
            lambda bundle: editing.drain(bundle, upstream, not undo),
        )
        if result.is_error():
            return outcomes.from_failures(result.error)
        return outcomes.describe_change(result.ok)

    return outcomes.emit(options.run_signed(store, signer, run), json)


def add_commands(app: App) -> None:
    """Add the commands that belong to no group."""
    app.command(show_status, name="status")
    app.command(show_upstreams, name="upstreams")
    app.command(drain)
