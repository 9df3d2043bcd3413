from bench.gateways import Scenario, SharingMethods, run_scenario


def test_run_answers_every_request_and_is_reproducible():
    """Guards against figures that omit requests or depend on more than the seed."""
    scenario = Scenario(SharingMethods.LEASED, 2.0, 0.5, length_s=0.5)
    first, second = (run_scenario(scenario, 7) for _ in range(2))
    assert first["unanswered"] == 0 and first["requests"] > 500
    assert first["sendings_per_request"] <= 1.1
    assert str(first) == str(second)
