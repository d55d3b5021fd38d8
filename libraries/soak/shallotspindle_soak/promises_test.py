from dataclasses import replace

import pytest

from shallotspindle_soak import promises
from shallotspindle_soak.records import Call, History, Kind, Run, Span

ORDER = Call("r1", Kind.ORDER, "museum", "k1", "g1", 10.0, 10.2, 200)
RUN = Run("r1", "u1", "museum", key_seen=False, at=10.1)

STOPPED = {"stopped": {"g1": [Span(9.0, 12.0)]}}


def build(call: Call = ORDER, *runs: Run, **parts) -> History:
    defaults = {"quiet_from": 100.0}
    return History(calls=[replace(call)], runs=list(runs), **(defaults | parts))


def build_run_calls(count: int, **parts) -> History:
    """Return a history of reads that each ran once, within half a second."""
    calls = [
        replace(ORDER, request_id=f"r{n}", kind=Kind.READ) for n in range(1, count + 1)
    ]
    runs = [
        replace(RUN, request_id=call.request_id, at=10 + n / 100)
        for n, call in enumerate(calls)
    ]
    return History(calls=calls, runs=runs, quiet_from=100.0, **parts)


def list_broken(history: History) -> list[str]:
    return [broken.promise for broken in promises.check_all(history)]


class TestHarmless:
    def test_a_request_that_ran_once_and_was_answered_breaks_nothing(self):
        assert list_broken(build(ORDER, RUN)) == []


class TestChecks:
    """Each check must notice the one thing that it is for."""

    def test_two_runs_of_an_order(self):
        second = replace(RUN, upstream="u2")
        assert list_broken(build(ORDER, RUN, second)) == ["once"]

    def test_two_runs_of_a_read_are_allowed(self):
        read = replace(ORDER, kind=Kind.READ)
        assert list_broken(build(read, RUN, replace(RUN, upstream="u2"))) == []

    @pytest.mark.parametrize("status", [408, 421, 429, 503])
    def test_a_refusal_of_what_ran(self, status):
        assert list_broken(build(replace(ORDER, status=status), RUN)) == ["refusal"]

    def test_a_wrong_answer(self):
        assert list_broken(build(replace(ORDER, is_right=False), RUN)) == ["answer"]

    def test_a_key_that_an_upstream_saw(self):
        assert list_broken(build(ORDER, replace(RUN, key_seen=True))) == ["key"]

    def test_a_run_with_a_part_of_the_body(self):
        # Guards against a body that was sent on with its end missing.
        assert list_broken(build(ORDER, replace(RUN, size=10))) == ["body"]

    def test_a_run_for_another_team(self):
        assert list_broken(build(ORDER, replace(RUN, team="kiosk"))) == ["key"]

    def test_a_withdrawn_key_even_while_everything_is_cut(self):
        history = build(ORDER, RUN, withdrawn={"k1": 4.0})
        history.disturbed[""] = [Span(0.0, 60.0)]
        assert list_broken(history) == ["withdrawal"]

    def test_a_key_that_was_withdrawn_just_before(self):
        assert list_broken(build(ORDER, RUN, withdrawn={"k1": 6.0})) == []

    def test_more_runs_than_a_limit_in_one_window(self):
        history = build_run_calls(17, limits={"museum": (2.0, 5.0)})
        assert list_broken(history) == ["rate"]

    def test_a_run_that_waited_counts_from_its_sending(self):
        # Guards against a rate that looks exceeded since a crowded service ran two
        # requests 0.8 and 1.2 s after they had been admitted.
        history = build_run_calls(17, limits={"museum": (2.0, 5.0)})
        history.calls[0] = replace(history.calls[0], sent_at=4.9)
        assert list_broken(history) == []

    def test_a_repeated_read_counts_once_for_its_team(self):
        # Guards against a team charged for what the fleet sent once more: a kiosk with
        # seven requests, two of them repeated, was reported with nine runs.
        history = build_run_calls(16, limits={"museum": (2.0, 5.0)})
        history.runs += [replace(run, upstream="u2") for run in history.runs[:10]]
        assert list_broken(history) == []

    def test_more_repeats_than_the_budget(self):
        history = build_run_calls(40)
        # 0.2 * 40 + 10 = 18 repeats are allowed in a window.
        repeats = [replace(run, upstream="u2") for run in history.runs]
        history.runs += repeats[:18]
        assert list_broken(history) == []
        history.runs += repeats[18:19]
        assert list_broken(history) == ["repeats"]

    def test_work_for_an_upstream_that_left(self):
        history = build(ORDER, RUN, drained={"u1": 7.0})
        assert list_broken(history) == ["drain"]
        history.disturbed["g1"] = [Span(9.0, 9.5)]
        assert list_broken(history) == []

    def test_a_request_cut_by_a_planned_stop(self):
        cut = replace(ORDER, status=0)
        history = build(cut, RUN, stopped={"g1": [Span(9.0, 12.0)]})
        assert list_broken(history) == ["stop"]

    def test_a_request_that_crosses_the_end_of_a_stop(self):
        # Guards against a report of what the gateway never had in time.
        late = replace(ORDER, status=0, whole_at=10.1)
        assert list_broken(build(late, **STOPPED)) == []
        unfinished = replace(ORDER, status=0, whole_at=0.0)
        assert list_broken(build(unfinished, **STOPPED)) == []

    def test_a_whole_request_that_a_planned_stop_left_without_an_answer(self):
        # Guards against a lost upload that no upstream saw.
        lost = replace(ORDER, status=0, sent_at=9.0, whole_at=9.2)
        assert list_broken(build(lost, **STOPPED)) == ["stop"]
        history = build(lost, **STOPPED)
        history.disturbed[""] = [Span(0.0, 20.0)]
        assert list_broken(history) == ["stop"]
        history.disturbed["g1"] = [Span(9.0, 9.1)]
        assert list_broken(history) == []

    @pytest.mark.parametrize(
        ("sent_at", "ended_at", "broken"),
        [
            (10.4, 11.6, []),
            (10.6, 11.8, ["stop"]),
            (10.4, 11.0, ["stop"]),
        ],
    )
    def test_work_that_a_planned_stop_breaks_off(self, sent_at, ended_at, broken):
        # Guards against 504 in place of an answer that was still to come; only early
        # requests may be cut, and only in the last part.
        call = replace(ORDER, status=504, sent_at=sent_at, ended_at=ended_at)
        run = replace(RUN, at=sent_at + 0.1)
        assert list_broken(build(call, run, **STOPPED)) == broken

    def test_a_loss_tells_how_long_the_gateway_had_no_processor(self):
        # Guards against a machine without processors that looks like a lost request:
        # the case stays broken, and its detail names the time.
        lost = replace(ORDER, status=0, sent_at=9.0, whole_at=9.2)
        history = build(lost, **STOPPED, starved={"g1": [Span(9.5, 30.0)]})
        (broken,) = promises.check_all(history)
        assert "0.7 s of it without a processor" in broken.detail

    def test_an_unknown_outcome_where_nothing_ran(self):
        # Guards against 504 for a request that all upstreams had shed.
        call = replace(ORDER, status=504)
        history = build(call, **STOPPED)
        assert list_broken(history) == ["stop"]
        history.harmed_ways = [Span(10.0, 10.1)]
        assert list_broken(history) == []

    def test_a_timeout_in_a_planned_stop(self):
        call = replace(ORDER, status=504, sent_at=9.2, ended_at=10.6)
        assert list_broken(build(call, RUN, **STOPPED)) == []

    def test_a_gateway_that_grows_without_bound(self):
        history = build(ORDER, RUN, memory={"g1": 301 * 1024**2})
        assert list_broken(history) == ["memory"]

    def test_a_process_that_ends_by_itself(self):
        assert list_broken(build(ORDER, RUN, died=["g1"])) == ["survival"]

    def test_a_fleet_that_does_not_come_back(self):
        failed = replace(ORDER, status=503)
        assert list_broken(build(failed, quiet_from=1.0)) == ["recovery"]

    def test_a_request_that_was_open_when_the_callers_left(self):
        # Guards against a fleet that is blamed for the end of the soak, and against
        # one that answers nothing.
        cut = replace(ORDER, status=0, ended_at=0.0)
        late = {"quiet_from": 1.0, "callers_left_at": 11.0}
        assert list_broken(build(cut, **late)) == []
        late["callers_left_at"] = 13.0
        assert list_broken(build(cut, **late)) == ["recovery"]
