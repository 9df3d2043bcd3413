from hypothesis import given, settings
from hypothesis import strategies as st

from plantainyard.protocol import Heartbeat
from plantainyard.relay import (
    PeerLocation,
    RelayState,
    choose_targets,
    confirm_batch,
    list_unconfirmed,
    record_heartbeat,
)


def _say(instance, domain, version, sequence):
    return Heartbeat(instance, domain, "r", "", "", sequence, config_version=version)


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 4), st.integers(0, 3), st.booleans()), max_size=40
    )
)
def test_confirmed_words_are_never_missing_and_never_sent_twice(rounds):
    # A sending is lost or arrives; a user would see a domain's free slots as they
    # were minutes ago if a lost change were taken for a delivered one, and a paid
    # link would carry each word again and again if a delivered one weren't noted.
    state = RelayState()
    known: dict[str, Heartbeat] = {}
    for sequence, (member, version, arrives) in enumerate(rounds):
        record_heartbeat(state, _say(f"i{member}", "d", version, sequence))
        batch = list_unconfirmed(state, "peer", ["d"])
        if arrives:
            known.update({word.instance: word for word in batch.heartbeats})
            confirm_batch(state, "peer", batch.version)
            assert known == state.heartbeats
            assert not list_unconfirmed(state, "peer", ["d"]).heartbeats


def test_domain_with_dead_relay_is_reached_through_another():
    # A domain's relay dies and the list still shows it: callers elsewhere would see
    # the whole domain as cut off, while its other instances serve.
    own = PeerLocation("a1", "a")
    listed = [PeerLocation(name, "b") for name in ("b1", "b2", "b3")]
    (first,) = choose_targets(own, listed, {}, acts_as_relay=True)
    (second,) = choose_targets(own, listed, {first: 1}, acts_as_relay=True)
    assert second != first


def test_only_relay_speaks_to_other_domains():
    own = PeerLocation("a1", "a")
    listed = [PeerLocation("a2", "a"), PeerLocation("b1", "b")]
    assert choose_targets(own, listed, {}, acts_as_relay=False) == ["a2"]
