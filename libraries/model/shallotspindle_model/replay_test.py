from dataclasses import replace

import pytest
from minicheck import check_safety

from shallotspindle_model import claims, expiry, main, race, termination
from shallotspindle_model import replay as replays

OWNERSHIP_SPECIFICATIONS = [
    (termination, replays.replay_termination, 20),
    (expiry, replays.replay_expiry, 20),
    (race, replays.replay_race, 1),
]


def find_counterexample(specification, rule):
    protocol = specification.build_protocol(frozenset({rule}))
    result = check_safety(protocol, max_states=main.MAX_STATES)
    found = result["properties"][specification.invariant_name]["counterexample"]
    return [step["label"] for step in found[1:]]


class TestOwnershipTraces:
    @pytest.mark.parametrize(("module", "start", "every"), OWNERSHIP_SPECIFICATIONS)
    def test_library_grants_ownership_as_the_specification(self, module, start, every):
        # Guards against a specification that differs from the code.
        replayed = 0
        for trace in replays.list_traces(module.SPECIFICATION, every):
            fleet = start()
            outage = False
            for label, state in trace:
                allowed = fleet.apply(label)
                acting, expected = fleet.list_acting(), module.list_acting(state)
                # U and V cannot renew while the store is unavailable, which the
                # specification does not model; they may then act less than it allows.
                outage = outage or label == "store"
                if outage and module is expiry:
                    assert set(acting) <= set(expected), [step for step, _ in trace]
                else:
                    assert acting == expected, [step for step, _ in trace]
                if not allowed and outage:
                    break
            else:
                replayed += 1
        assert replayed >= 20

    @pytest.mark.parametrize(
        ("module", "start", "rule"),
        [
            (module, start, rule)
            for module, start, _ in OWNERSHIP_SPECIFICATIONS
            for rule in module.SPECIFICATION.rules
        ],
    )
    def test_library_prevents_each_counterexample(self, module, start, rule):
        # Guards against a rule of the protocol that the library does not implement.
        fleet = start()
        for label in find_counterexample(module.SPECIFICATION, rule):
            fleet.apply(label)
            assert len(fleet.list_acting()) <= 1


class TestClaimTraces:
    def test_ledgers_grant_claims_as_the_specification(self):
        # Guards against a specification of claims that differs from the code.
        for trace in replays.list_traces(claims.SPECIFICATION, 1):
            replay = replays.ClaimsReplay()
            for label, state in trace:
                assert replay.apply(label), [step for step, _ in trace]
                done = state.attempt_states.count("done")
                expected = [
                    is_acting and bool(attempt)
                    for is_acting, attempt in zip(
                        state.is_acting, state.granted_attempts, strict=True
                    )
                ]
                if not done:
                    assert replay.list_granted() == expected

    @pytest.mark.parametrize("rule", claims.SPECIFICATION.rules)
    def test_library_refuses_a_step_of_each_counterexample(self, rule):
        # Guards against a rule of the claims that the library does not implement.
        replay = replays.ClaimsReplay()
        labels = find_counterexample(claims.SPECIFICATION, rule)
        allowed = [replay.apply(label) for label in labels]
        assert not all(allowed)


class TestMain:
    def test_fails_when_a_variant_is_not_refuted(self, monkeypatch, capsys):
        # Guards against a check that passes although a rule is unnecessary.
        specification = replace(race.SPECIFICATION, rules=("no such rule",))
        monkeypatch.setattr(main, "SPECIFICATIONS", (specification,))
        assert main.main() == 1
        assert capsys.readouterr().out.endswith("1 variants, 0 refuted\n")
