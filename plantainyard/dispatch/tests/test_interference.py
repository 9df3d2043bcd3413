"""What is learnt of interference, and that it outlasts an owner."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from plantainyard.dispatch.interference import (
    Harms,
    Sample,
    decode_harms,
    encode_harms,
    find_weight,
    find_weight_at_worst,
    forget_unseen,
    is_known,
    learn,
    predict_tail,
)

TRUE = {"heavy": 12.0, "light": 0.2, "mild": 2.0}


def teach(harms: Harms, reports: int, seed: int) -> None:
    source = random.Random(seed)
    for _ in range(reports):
        images = source.sample(sorted(TRUE), 2)
        loads = {image: source.uniform(0.02, 0.2) for image in images}
        noise = source.gauss(0, 0.1)
        tail = 0.5 + sum(TRUE[i] * load for i, load in loads.items()) + noise
        learn(harms, Sample({"web": tail}, loads))


@settings(deadline=None, derandomize=True)
@given(seed=st.integers(0, 10_000))
def test_the_harmful_image_is_told_from_those_beside_it(seed):
    # Three images are always seen in pairs. Blamed alike, harmless work would be
    # slowed for what the harmful image does.
    harms = Harms()
    teach(harms, 60, seed)
    weights = {image: find_weight(harms, "web", image) for image in TRUE}
    assert weights["heavy"] > 8
    assert weights["light"] < 3
    assert weights["mild"] < 5


def test_one_faint_report_leaves_a_doubt():
    # A harmful image has barely begun to work when the first report comes; taken for
    # harmless it would be sent to every runner.
    harms = Harms()
    learn(harms, Sample({"web": 0.4}, {"heavy": 0.01}))
    assert not is_known(harms, "web", "heavy")
    doubted = find_weight_at_worst(harms, "web", "heavy")
    assert doubted > find_weight(harms, "web", "heavy") + 1


def test_an_image_that_was_blamed_wrongly_is_tried_again():
    # While a runner was slow for other reasons a harmless image took the blame. Kept
    # away from all serving tasks it can't clear itself, and its jobs wait for ever.
    harms = Harms()
    for _ in range(40):
        learn(harms, Sample({"web": 3.0}, {"light": 0.1}))
    assert find_weight_at_worst(harms, "web", "light") > 5
    for _ in range(15):
        forget_unseen(harms, 1.0)
    assert not is_known(harms, "web", "light")
    assert find_weight_at_worst(harms, "web", "light") <= 2
    learn(harms, Sample({"web": 0.5}, {"light": 0.04}))
    learn(harms, Sample({"web": 0.5}, {"light": 0.1}))
    assert find_weight(harms, "web", "light") < 3


def test_a_slow_runner_teaches_nothing_about_the_others():
    # A runner turns slow; its serving tasks are at forty targets with no backfilling
    # work beside them. Learnt as the image's base, it kept backfilling work from all
    # runners for the rest of the day.
    harms = Harms()
    teach(harms, 60, 1)
    before = predict_tail(harms, "web", {})
    for _ in range(200):
        learn(harms, Sample({"web": 40.0}, {}))
    assert predict_tail(harms, "web", {}) == before
    for _ in range(200):
        learn(harms, Sample({"web": 40.0}, {"light": 0.02}))
    assert predict_tail(harms, "web", {}) < 1.0


def test_what_is_learnt_outlasts_its_owner():
    harms = Harms()
    teach(harms, 60, 1)
    again = decode_harms(encode_harms(harms))
    for image in TRUE:
        old, new = (find_weight(h, "web", image) for h in (harms, again))
        assert abs(old - new) < 0.01
        assert is_known(again, "web", image) == is_known(harms, "web", image)
    teach(again, 20, 2)
    assert find_weight(again, "web", "heavy") > 8
