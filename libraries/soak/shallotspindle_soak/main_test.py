"""Plays short soaks with real processes.

What is asserted does not depend on how fast the machine is: promises hold at any speed,
and a daemon without a mechanism breaks its promise in every play.
"""

import asyncio
from random import Random

import pytest

from shallotspindle_core.failures import FailureError
from shallotspindle_environment.clock import SystemClock
from shallotspindle_soak import faults, main, promises
from shallotspindle_soak.broken import VARIANTS
from shallotspindle_soak.faults import Event, Fault
from shallotspindle_soak.fleet import PROGRAM, Fleet
from shallotspindle_soak.injection import RESTART_SECONDS, Injection

BROKEN_PROGRAM = "shallotspindle_soak.broken"
# Promises that hold however the machine schedules; the others bound times.
TIMELESS = {
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
UNLIMITED_TEAM = 3
# All fleets at once left the callers too few requests to meet a missing mechanism.
PARALLEL_PLAYS = 3
GRAY_KINDS = (Fault.HANG, Fault.BREAK, Fault.CROSS)
GRAY = [Event(0.0, GRAY_KINDS[n % 3], 4.0, n) for n in range(8)]
STOPS = [Event(0.2 * n, Fault.STOP, 0.0, n) for n in range(4)]
# What brings out the missing mechanism, and the promise that must be seen to break.
PLAYS = {
    "repeat_orders": (GRAY, "once"),
    "refuse_after_runs": (GRAY, "refusal"),
    "believe_answers": (GRAY, "answer"),
    "pass_keys": ([], "key"),
    "cut_bodies": ([], "body"),
    "trust_old_keys": (
        [
            Event(0.0, Fault.STORE_AWAY, 9.0, 0),
            Event(0.1, Fault.WITHDRAW, 0.0, UNLIMITED_TEAM),
        ],
        "withdrawal",
    ),
    "ignore_rates": ([], "rate"),
    "ignore_budget": ([Event(0.0, Fault.ERRORS, 11.0, n) for n in range(8)], "repeats"),
    "ignore_draining": ([Event(0.0, Fault.DRAIN, 0.0, 0)], "drain"),
    "stop_at_once": (
        STOPS,
        "stop",
    ),
    "drop_late_requests": (STOPS, "stop"),
    "break_off_work": (
        [Event(0.0, Fault.HANG, 4.0, n) for n in range(8)] + STOPS,
        "stop",
    ),
    "keep_answers": (
        [Event(0.0, Fault.ENDLESS_BODY, 4.0, n) for n in range(8)],
        "memory",
    ),
    "end_on_errors": ([Event(0.0, Fault.ERRORS, 2.0, 0)], "survival"),
}


async def play(events, seed, folder, *, program=(PROGRAM,), rest=1.0):
    history = await main.play(events, seed, folder, SystemClock(), program, rest)
    return {broken.promise for broken in promises.check_all(history)}, history


class TestSeeds:
    async def test_the_promises_hold_under_drawn_faults(self, tmp_path):
        events = faults.draw(1, 6.0, 0.5)
        broken, history = await play(events, 1, tmp_path, rest=4.0)
        assert not broken & TIMELESS
        assert any(call.status == 200 for call in history.calls)


class TestStart:
    async def test_a_gateway_that_does_not_start_ends_the_soak(self, tmp_path):
        # Guards against a soak of a fleet that is not there: nothing runs, so that
        # most promises hold.
        with pytest.raises(FailureError):
            await play([], 1, tmp_path, program=("shallotspindle_soak.absent",))

    async def test_a_soak_that_is_interrupted_leaves_no_process(self, tmp_path):
        # Guards against a gateway that a fault in progress starts after the end.
        fleet = Fleet(tmp_path, SystemClock(), Random(1))
        try:
            await fleet.start(2, 1, 1)
            # The soak still waits for the last fault when it is interrupted.
            kills = [
                Event(at, Fault.KILL, 0.0, n) for n, at in enumerate((0.0, 0.0, 9.0))
            ]
            playing = asyncio.create_task(Injection(fleet).play(kills))
            await asyncio.sleep(RESTART_SECONDS / 2)
            playing.cancel()
            await asyncio.gather(playing, return_exceptions=True)
        finally:
            await fleet.stop()
        await asyncio.sleep(2 * RESTART_SECONDS)
        assert not any(gateway.is_running for gateway in fleet.gateways)


class TestBrokenDaemons:
    async def test_each_missing_mechanism_is_noticed(self, tmp_path):
        # Guards against checks that pass whatever the daemon does.
        async def play_variant(seed, name):
            folder = tmp_path / name
            folder.mkdir()
            events, promise = PLAYS[name]
            program = (BROKEN_PROGRAM, name)
            async with turns:
                broken, _ = await play(events, seed, folder, program=program)
            return name if promise not in broken else None

        turns = asyncio.Semaphore(PARALLEL_PLAYS)

        plays = (play_variant(seed, name) for seed, name in enumerate(VARIANTS))
        missed = [name for name in await asyncio.gather(*plays) if name]
        assert not missed
