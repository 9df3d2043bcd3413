"""Guarantees of the product, and the tests that verify each of them."""

from typing import NamedTuple

__all__ = ["PROMISES", "Promise"]

_STATE = "plantainyard/state/tests/"
_ROUTING = "plantainyard/routing/tests/"
_MEMBERSHIP = "plantainyard/membership/tests/"
_NODE = "plantainyard/node/tests/"
_PLACEMENT = "plantainyard/placement/tests/"
_GATEWAY = "plantainyard/gateway/tests/"
_SITE = "standins/tests/"


class Promise(NamedTuple):
    """A guarantee and the tests that verify it.

    Attributes
    ----------
    name : str
        The guarantee, as printed by ``bench proofs``.
    faults : str
        Faults that the tests inject.
    tests : tuple of str
        Prefixes of the ids of the tests that verify it.
    """

    name: str
    faults: str
    tests: tuple[str, ...]


PROMISES: tuple[Promise, ...] = (
    Promise(
        "No worker or runner is given more than it can hold",
        "rival owners, gateways joining, dying, paused and cut off, lost answers",
        (
            f"{_PLACEMENT}test_policy.py",
            f"{_ROUTING}test_lending.py",
            f"{_ROUTING}test_leases.py",
            f"{_ROUTING}test_failures.py",
            f"{_NODE}test_domain.py",
            f"{_SITE}test_failures.py",
        ),
    ),
    Promise(
        "No task runs in two places at once",
        "owner paused, killed and superseded, worker cut off and restarted, calls "
        "delayed, lost answers, log out",
        (
            f"{_NODE}test_domain.py",
            f"{_MEMBERSHIP}",
            f"{_SITE}test_failures.py",
        ),
    ),
    Promise(
        "Evicted work resumes exactly once",
        "evicting or resuming owner killed, the checkpoint's answer lost",
        (f"{_NODE}test_domain.py", f"{_STATE}test_folding.py"),
    ),
    Promise(
        "Each caller receives the whole answer to its own request",
        "late, truncated, swapped and duplicated answers",
        (f"{_GATEWAY}", f"{_ROUTING}test_gateway.py", f"{_ROUTING}test_failures.py"),
    ),
    Promise(
        '"Not run" is said only of what did not run',
        "answers lost after the effect, log out, retention passed",
        (
            f"{_STATE}test_appender.py",
            f"{_STATE}test_reader.py",
            f"{_ROUTING}test_failures.py",
        ),
    ),
    Promise(
        "A non-idempotent request runs at most once",
        "the same id at two gateways, arbiter dead or paused, answers lost",
        (
            f"{_ROUTING}test_arbitration.py",
            f"{_ROUTING}test_failures.py",
            f"{_GATEWAY}test_gateway_http.py",
            f"{_SITE}test_failures.py",
        ),
    ),
    Promise(
        "An upstream that is leaving stops receiving new work",
        "leaving told by the list, by itself, by its failures",
        (f"{_ROUTING}test_policies.py", f"{_SITE}test_failures.py"),
    ),
    Promise(
        "A planned stop cuts off no request",
        "all instances of a domain replaced one after another under load",
        (f"{_GATEWAY}", f"{_SITE}test_failures.py"),
    ),
    Promise(
        "Urgent work is not kept waiting, nobody starves, a wave causes no storm",
        "noisy waves, bad workers and jobs, misdeclared sizes, cancellation waves",
        (f"{_PLACEMENT}", "bench/tests/test_replay.py"),
    ),
    Promise(
        "An accepted configuration never reverts",
        "rival changes, lost answers, gaps, stale snapshots, log out and set back",
        (
            f"{_STATE}test_configuration.py",
            f"{_STATE}test_reader.py",
            f"{_STATE}test_folding.py",
        ),
    ),
)
