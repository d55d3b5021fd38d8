"""Runs short soak tests with real processes.

The assertions do not depend on the speed of the machine: the promises hold at any
speed, and a gateway without a mechanism violates its promise in every run.
"""

import asyncio
from random import Random

import pytest

from shallotspindle_core.failures import FailureError
from shallotspindle_environment.clock import SystemClock
from shallotspindle_soak import faults, main, promises
from shallotspindle_soak.broken import VARIANTS
from shallotspindle_soak.faults import Fault, FaultEvent
from shallotspindle_soak.fleet import PROGRAM, Fleet
from shallotspindle_soak.injection import RESTART_DELAY_SECONDS, FaultInjector

BROKEN_PROGRAM = "shallotspindle_soak.broken"
# Promises that hold however the machine schedules processes. The others bound times.
TIMING_INDEPENDENT = {
    "once",
    "refusal",
    "answer",
    "key",
    "body",
    "withdrawal",
    "rate",
    "repeats",
    "memory",
    "survival",
}
UNLIMITED_TEAM_INDEX = 3
# With all fleets at once the callers sent too few requests to reveal a missing
# mechanism.
MAX_PARALLEL_SOAKS = 3
GRAY_FAULTS = (Fault.HANG, Fault.TRUNCATED_RESPONSE, Fault.WRONG_RESPONSE)
GRAY_EVENTS = [FaultEvent(0.0, GRAY_FAULTS[n % 3], 4.0, n) for n in range(8)]
HANG_EVENTS = [FaultEvent(0.0, Fault.HANG, 4.0, n) for n in range(8)]
STOP_EVENTS = [FaultEvent(0.2 * n, Fault.STOP, 0.0, n) for n in range(4)]
# For each variant, the faults that reveal the missing mechanism and the promise whose
# violation must be reported.
VARIANT_CASES = {
    "repeat_orders": (GRAY_EVENTS, "once"),
    "refuse_after_runs": (GRAY_EVENTS, "refusal"),
    "believe_answers": (GRAY_EVENTS, "answer"),
    "pass_keys": ([], "key"),
    "cut_bodies": ([], "body"),
    "trust_old_keys": (
        [
            FaultEvent(0.0, Fault.STORE_UNAVAILABLE, 11.0, 0),
            FaultEvent(0.1, Fault.WITHDRAW_KEY, 0.0, UNLIMITED_TEAM_INDEX),
        ],
        "withdrawal",
    ),
    "ignore_rates": ([], "rate"),
    # Whatever the load, most requests are rejected at once and could be retried.
    "ignore_budget": (
        [FaultEvent(0.0, Fault.SHED, 11.0, n) for n in range(8)],
        "repeats",
    ),
    "ignore_draining": (
        [FaultEvent(0.0, Fault.DRAIN, 0.0, n) for n in range(4)],
        "drain",
    ),
    # Most requests are in progress for so long that the shutdowns are certain to meet
    # some of them.
    "stop_at_once": (HANG_EVENTS + STOP_EVENTS, "stop"),
    "drop_late_requests": (STOP_EVENTS, "stop"),
    "break_off_work": (HANG_EVENTS + STOP_EVENTS, "stop"),
    "keep_answers": (
        [FaultEvent(0.0, Fault.ENDLESS_BODY, 9.0, n) for n in range(8)],
        "memory",
    ),
    "end_on_errors": (
        [FaultEvent(0.0, Fault.ERRORS, 2.0, n) for n in range(8)],
        "survival",
    ),
    # A gateway that no longer follows the store refuses keys after 4 s. Upstreams that
    # drain long before that are certain to get requests from it.
    "trust_entries": (
        [FaultEvent(0.0, Fault.MALFORMED_ENTRIES, 6.0, 0)]
        + [FaultEvent(0.1, Fault.DRAIN, 0.0, n) for n in range(4)],
        "drain",
    ),
    # A scheduler may prefer others to a single upstream that leaves.
    "ignore_leaving": (
        [FaultEvent(0.0, Fault.LEAVE, 0.0, n) for n in range(8)],
        "leaving",
    ),
    "ignore_pauses": (
        [FaultEvent(0.0, Fault.ASK_FOR_PAUSE, 5.0, n) for n in range(4)],
        "pause",
    ),
}


async def run_soak(events, seed, folder, *, program=(PROGRAM,), cooldown_seconds=1.0):
    history = await main.run_soak(
        events, seed, folder, SystemClock(), program, cooldown_seconds
    )
    return {violation.promise for violation in promises.check_all(history)}, history


class TestSeeds:
    async def test_promises_hold_under_drawn_faults(self, tmp_path):
        # Guards against violations by the real gateway under a mix of faults.
        events = faults.draw_events(1, 6.0, 0.5)
        violations, history = await run_soak(events, 1, tmp_path, cooldown_seconds=4.0)
        assert not violations & TIMING_INDEPENDENT
        assert any(call.status == 200 for call in history.calls)


class TestStart:
    async def test_gateway_that_does_not_start_fails_the_soak_test(self, tmp_path):
        # Guards against a soak test without a fleet: nothing is executed, so most
        # promises hold.
        with pytest.raises(FailureError):
            await run_soak([], 1, tmp_path, program=("shallotspindle_soak.absent",))

    async def test_interrupted_soak_test_leaves_no_process(self, tmp_path):
        # Guards against a fault in progress that starts a gateway after the end.
        fleet = Fleet(tmp_path, SystemClock(), Random(1))
        try:
            await fleet.start(2, 1, 1)
            # The interruption comes while the injector still waits for the last fault.
            kill_events = [
                FaultEvent(at, Fault.KILL, 0.0, n)
                for n, at in enumerate((0.0, 0.0, 9.0))
            ]
            injection = asyncio.create_task(FaultInjector(fleet).run(kill_events))
            await asyncio.sleep(RESTART_DELAY_SECONDS / 2)
            injection.cancel()
            await asyncio.gather(injection, return_exceptions=True)
        finally:
            await fleet.stop()
        await asyncio.sleep(2 * RESTART_DELAY_SECONDS)
        assert not any(gateway.is_running for gateway in fleet.gateways)


class TestBrokenDaemons:
    async def test_each_missing_mechanism_is_detected(self, tmp_path):
        # Guards against checks that pass whatever the gateway does.
        async def run_variant(seed, name):
            folder = tmp_path / name
            folder.mkdir()
            events, promise = VARIANT_CASES[name]
            program = (BROKEN_PROGRAM, name)
            async with semaphore:
                violations, _ = await run_soak(events, seed, folder, program=program)
            return name if promise not in violations else None

        semaphore = asyncio.Semaphore(MAX_PARALLEL_SOAKS)

        soaks = (run_variant(seed, name) for seed, name in enumerate(VARIANTS))
        undetected = [name for name in await asyncio.gather(*soaks) if name]
        assert not undetected
