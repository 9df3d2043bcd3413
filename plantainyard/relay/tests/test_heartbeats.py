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


def _build_heartbeat(instance, domain, version, sequence):
    return Heartbeat(instance, domain, "r", "", "", sequence, config_version=version)


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(st.integers(0, 4), st.integers(0, 3), st.booleans()), max_size=40
    )
)
def test_confirmed_heartbeats_are_never_missing_and_never_sent_twice(rounds):
    # Each batch is either lost or delivered. If a lost change counted as delivered,
    # users would see a domain's free slots as they were minutes ago. If a delivered
    # change weren't recorded, a metered link would carry it repeatedly.
    state = RelayState()
    received: dict[str, Heartbeat] = {}
    for sequence, (member, version, is_delivered) in enumerate(rounds):
        record_heartbeat(state, _build_heartbeat(f"i{member}", "d", version, sequence))
        batch = list_unconfirmed(state, "peer", ["d"])
        if is_delivered:
            received.update(
                {heartbeat.instance: heartbeat for heartbeat in batch.heartbeats}
            )
            confirm_batch(state, "peer", batch.version)
            assert received == state.heartbeats
            assert not list_unconfirmed(state, "peer", ["d"]).heartbeats


def test_domain_with_failed_relay_is_reached_through_another_instance():
    # Guards against a failed relay that the instance list still contains: callers in
    # other domains would see its whole domain as cut off although others there serve.
    own = PeerLocation("a1", "a")
    listed = [PeerLocation(name, "b") for name in ("b1", "b2", "b3")]
    (first,) = choose_targets(own, listed, {}, acts_as_relay=True)
    (second,) = choose_targets(own, listed, {first: 1}, acts_as_relay=True)
    assert second != first


def test_only_relay_sends_to_other_domains():
    own = PeerLocation("a1", "a")
    listed = [PeerLocation("a2", "a"), PeerLocation("b1", "b")]
    assert choose_targets(own, listed, {}, acts_as_relay=False) == ["a2"]
