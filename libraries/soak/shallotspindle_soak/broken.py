"""Runs a gateway with one mechanism switched off, to show that the soak notices.

Usage: ``python -m shallotspindle_soak.broken NAME``; never used by a deployment.
"""

import asyncio
import os
import sys
from collections.abc import Callable
from dataclasses import replace

from shallotspindle_adapter import main as adapter
from shallotspindle_gateway import forwarding, headers, pipeline
from shallotspindle_gateway.admission import Admission
from shallotspindle_gateway.daemon import Daemon
from shallotspindle_gateway.messages import TokenGrant
from shallotspindle_gateway.pipeline import Pipeline
from shallotspindle_gateway.problems import NO_SLOT
from shallotspindle_registry.directory import UpstreamDirectory
from shallotspindle_registry.records import AnnouncedState
from shallotspindle_retries.budget import RetryBudget

# More than the slack that a check allows a request that crosses the end.
DROP_SECONDS = 0.6
BREAK_SECONDS = 1.0
CUT_BYTES = 100
KEPT_BYTES = 32 * 1024 * 1024


def repeat_orders() -> None:
    """Treat work with an effect as if it could run twice."""
    build = Pipeline._build_requirements

    def build_want(self, call, body):
        return replace(build(self, call, body), is_idempotent=True)

    Pipeline._build_requirements = build_want


def refuse_after_runs() -> None:
    """Say "not run" of whatever failed."""
    conclude = Pipeline._build_result

    def conclude_not_run(result, trace):
        found = conclude(result, trace)
        failed = getattr(found, "status", 0) >= 500
        return NO_SLOT if failed else found

    Pipeline._build_result = staticmethod(conclude_not_run)


def believe_answers() -> None:
    """Take any answer for that of the request."""
    judge = forwarding.Forwarder._classify_response

    def judge_any(self, order, response, body):
        sent = order.headers.get(self._request_id_header)
        order.headers[self._request_id_header] = response.headers.get(
            self._request_id_header, ""
        )
        found = judge(self, order, response, body)
        order.headers[self._request_id_header] = sent
        return found

    forwarding.Forwarder._classify_response = judge_any


def pass_keys() -> None:
    """Show the caller's key to upstreams."""
    build = headers.build_upstream_headers

    def build_with_key(given, *arguments):
        built = build(given, *arguments)
        built["Authorization"] = given.get("Authorization", "")
        return built

    headers.build_upstream_headers = build_with_key


def cut_bodies() -> None:
    """Send a part of each body to upstreams, as if it were whole."""
    build = Pipeline._build_upstream_request

    def build_cut(self, *arguments):
        order = build(self, *arguments)
        if not isinstance(order.body, bytes):
            return order
        kept = {k: v for k, v in order.headers.items() if k != "Content-Length"}
        return replace(order, body=order.body[:CUT_BYTES], headers=kept)

    Pipeline._build_upstream_request = build_cut


def trust_old_keys() -> None:
    """Accept keys however long ago the configuration was confirmed."""
    pipeline.MAX_KEY_AGE_FRACTION = 1000.0


def ignore_rates() -> None:
    """Admit every request."""

    async def acquire(self, team, seconds):
        return TokenGrant(0.0)

    Admission.acquire = acquire


def ignore_budget() -> None:
    """Send requests once more however many were sent so before."""
    RetryBudget.take_retry = lambda self, now: True


def ignore_draining() -> None:
    """Use upstreams that leave until their entry is gone."""
    announce = UpstreamDirectory.apply_announcement

    def announce_ready(self, item, now):
        announce(self, replace(item, state=AnnouncedState.READY), now)

    UpstreamDirectory.apply_announcement = announce_ready


def stop_at_once() -> None:
    """End the process without waiting for its requests."""

    async def stop(self):
        os._exit(0)

    Daemon.stop = stop


def drop_late_requests() -> None:
    """Close the connections of requests that come in a planned stop."""
    stopping = asyncio.Event()
    stop, serve = Daemon.stop, Pipeline.serve

    async def stop_dropping(self):
        stopping.set()
        await stop(self)

    async def serve_unless_stopping(self, request, trace):
        if stopping.is_set():
            await request.read()
            await asyncio.sleep(DROP_SECONDS)
            request.transport.abort()
        return await serve(self, request, trace)

    Daemon.stop, Pipeline.serve = stop_dropping, serve_unless_stopping


def break_off_work() -> None:
    """Answer 504 in a planned stop while upstreams are at work."""
    stop = Daemon.stop

    async def stop_breaking_off(self):
        asyncio.get_running_loop().call_later(
            BREAK_SECONDS, self._pipeline.cancel_running
        )
        await stop(self)

    Daemon.stop = stop_breaking_off


def keep_answers() -> None:
    """Hold what was read of an endless answer, and more."""
    kept = []
    send = forwarding.Forwarder.send

    async def send_keeping(self, order):
        attempt = await send(self, order)
        if attempt.response is None:
            kept.append(b"x" * KEPT_BYTES)
        return attempt

    forwarding.Forwarder.send = send_keeping


def end_on_errors() -> None:
    """End the process when an upstream fails."""
    judge = forwarding.Forwarder._classify_response

    def judge_or_end(self, order, response, body):
        if response.status >= forwarding.SERVER_ERROR:
            os._exit(1)
        return judge(self, order, response, body)

    forwarding.Forwarder._classify_response = judge_or_end


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
    )
}


def main() -> int:
    """Switch the named mechanism off and run the gateway."""
    VARIANTS[sys.argv[1]]()
    return adapter.main()


if __name__ == "__main__":
    sys.exit(main())
