"""Runs a gateway with one mechanism disabled, to show that the soak test detects it.

Usage: ``python -m shallotspindle_soak.broken NAME``; deployments never use it. Variants
replace attributes of the gateway by name. The function names are the names of the
variants on the command line.
"""

import asyncio
import json
import os
import sys
from collections.abc import Callable
from contextlib import contextmanager
from dataclasses import replace

from expression import Ok

from shallotspindle_adapter import main as adapter
from shallotspindle_gateway import (
    forwarding,
    headers,
    pipeline,
    response_checks,
    stored_forms,
)
from shallotspindle_gateway.admission import Admission
from shallotspindle_gateway.daemon import Daemon
from shallotspindle_gateway.messages import TokenGrant
from shallotspindle_gateway.pipeline import Pipeline
from shallotspindle_gateway.problems import NO_SLOT
from shallotspindle_gateway.records import Member
from shallotspindle_notices import notices
from shallotspindle_registry.directory import UpstreamDirectory
from shallotspindle_registry.records import AnnouncedState
from shallotspindle_retries.budget import RetryBudget
from shallotspindle_telemetry.unexpected import UnexpectedErrors

# Longer than the checks allow between a fully sent request and a closed connection.
DROP_DELAY_SECONDS = 0.6
CANCEL_AFTER_SECONDS = 1.0
TRUNCATED_BYTES = 100
LEAKED_BYTES = 32 * 1024 * 1024
# Together half as much again as the checks allow.
MAX_LEAKED_RESPONSES = 14


def repeat_orders() -> None:
    """Retry orders as if they were idempotent."""
    build = Pipeline._build_requirements

    def build_idempotent(self, *arguments):
        return replace(build(self, *arguments), is_idempotent=True)

    Pipeline._build_requirements = build_idempotent


def refuse_after_runs() -> None:
    """Report every failed request as not executed."""
    build_result = Pipeline._build_result

    def build_not_run_result(result, trace):
        outcome = build_result(result, trace)
        failed = getattr(outcome, "status", 0) >= 500
        return NO_SLOT if failed else outcome

    Pipeline._build_result = staticmethod(build_not_run_result)


def believe_answers() -> None:
    """Accept the response to any request."""
    response_checks.find_head_fault = lambda *arguments: None


def pass_keys() -> None:
    """Pass the caller's key on to upstreams."""
    build = headers.build_upstream_headers

    def build_with_key(caller_headers, *arguments):
        upstream_headers = build(caller_headers, *arguments)
        upstream_headers["Authorization"] = caller_headers.get("Authorization", "")
        return upstream_headers

    headers.build_upstream_headers = build_with_key


def cut_bodies() -> None:
    """Send only the start of each body to upstreams, as if it were complete."""
    build = Pipeline._build_upstream_request

    def build_truncated(self, *arguments):
        request = build(self, *arguments)
        if not isinstance(request.body, bytes):
            return request
        other_headers = {
            k: v for k, v in request.headers.items() if k != "Content-Length"
        }
        return replace(
            request, body=request.body[:TRUNCATED_BYTES], headers=other_headers
        )

    Pipeline._build_upstream_request = build_truncated


def trust_old_keys() -> None:
    """Accept keys however long ago the configuration was confirmed."""
    pipeline.MAX_KEY_AGE_FRACTION = 1000.0


def ignore_rates() -> None:
    """Admit every request."""

    async def acquire(self, team, objective_seconds, remaining_seconds):
        return TokenGrant(0.0)

    Admission.acquire = acquire


def ignore_budget() -> None:
    """Retry requests without a limit."""
    RetryBudget.take_retry = lambda self, now: True


def ignore_draining() -> None:
    """Use draining upstreams until their announcement is removed."""
    announce = UpstreamDirectory.apply_announcement

    def announce_ready(self, item, now):
        announce(self, replace(item, state=AnnouncedState.READY), now)

    UpstreamDirectory.apply_announcement = announce_ready


def stop_at_once() -> None:
    """Exit without waiting for running requests."""

    async def stop(self):
        os._exit(0)

    Daemon.stop = stop


def drop_late_requests() -> None:
    """Close the connections of requests that arrive during a graceful shutdown."""
    is_stopping = asyncio.Event()
    stop, serve = Daemon.stop, Pipeline.serve

    async def stop_and_drop(self):
        is_stopping.set()
        await stop(self)

    async def serve_unless_stopping(self, request, trace):
        if is_stopping.is_set():
            await request.read()
            await asyncio.sleep(DROP_DELAY_SECONDS)
            request.transport.abort()
        return await serve(self, request, trace)

    Daemon.stop, Pipeline.serve = stop_and_drop, serve_unless_stopping


def break_off_work() -> None:
    """Respond with 504 in a graceful shutdown while upstreams still work."""
    stop = Daemon.stop

    async def stop_and_cancel(self):
        asyncio.get_running_loop().call_later(
            CANCEL_AFTER_SECONDS, self._pipeline.cancel_running
        )
        await stop(self)

    Daemon.stop = stop_and_cancel


def keep_answers() -> None:
    """Leak memory for each response that is rejected, such as an endless one."""
    leaked = []
    send = forwarding.Forwarder.send

    async def send_and_leak(self, request):
        result = await send(self, request)
        if result.response is None and len(leaked) < MAX_LEAKED_RESPONSES:
            leaked.append(b"x" * LEAKED_BYTES)
        return result

    forwarding.Forwarder.send = send_and_leak


def end_on_errors() -> None:
    """Exit when an upstream responds with a server error."""
    classify = forwarding.Forwarder._classify_response

    def classify_or_exit(self, response, body):
        if response.status >= forwarding.SERVER_ERROR:
            os._exit(1)
        return classify(self, response, body)

    forwarding.Forwarder._classify_response = classify_or_exit


def trust_entries() -> None:
    """Read members without checks, and let an unexpected error end its task."""

    @contextmanager
    def pass_errors_on(self, kind):
        yield

    def decode_unchecked(stored):
        address, domain, capacity = json.loads(stored.value)
        return Ok(Member(address, domain, capacity))

    UnexpectedErrors.absorb = pass_errors_on
    stored_forms.decode_member = decode_unchecked


def _change_notices(**changes) -> None:
    """Replace fields of what each response says of its upstream."""
    read = notices.read_notice
    notices.read_notice = lambda *values: replace(read(*values), **changes)


def ignore_leaving() -> None:
    """Ignore that upstreams say in responses that they leave."""
    _change_notices(is_leaving=False)


def ignore_pauses() -> None:
    """Ignore that upstreams want a pause."""
    _change_notices(pause_seconds=0.0)


VARIANTS: dict[str, Callable[[], None]] = {
    item.__name__: item
    for item in (
        repeat_orders,
        refuse_after_runs,
        believe_answers,
        pass_keys,
        cut_bodies,
        trust_old_keys,
        ignore_rates,
        ignore_budget,
        ignore_draining,
        stop_at_once,
        drop_late_requests,
        break_off_work,
        keep_answers,
        end_on_errors,
        trust_entries,
        ignore_leaving,
        ignore_pauses,
    )
}


def main() -> int:
    """Disable the named mechanism and run the gateway."""
    VARIANTS[sys.argv[1]]()
    return adapter.main()


if __name__ == "__main__":
    sys.exit(main())
