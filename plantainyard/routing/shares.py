"""Division of slots among gateways, and of a gateway's share among runners."""

from collections.abc import Mapping

from plantainyard.protocol.messages import Holding

__all__ = ["share_slots", "spread_share"]


def share_slots(total: int, demands: Mapping[str, int]) -> dict[str, int]:
    """Divide `total` slots max-min fairly by demand, and the idle slots evenly.

    Parameters
    ----------
    total : int
        Slots to divide.
    demands : mapping of str to int
        Slots that each gateway wants.

    Returns
    -------
    dict
        Slots of each gateway; the sum is `total`.

    Notes
    -----
    A gateway that wants less than an equal share gets all that it wants. Idle slots are
    lent too, so that a burst finds credits without a credit request.

    Examples
    --------
    >>> share_slots(8, {"a": 1, "b": 9, "c": 0})
    {'a': 1, 'b': 7, 'c': 0}
    >>> share_slots(8, {"a": 1, "b": 1})
    {'a': 4, 'b': 4}
    """
    shares = dict.fromkeys(demands, 0)
    left = total
    order = sorted(demands, key=lambda name: (demands[name], name))
    for position, name in enumerate(order):
        fair = -(-left // (len(order) - position))
        shares[name] = min(demands[name], fair)
        left -= shares[name]
    for position, name in enumerate(sorted(order)):
        idle = -(-left // (len(order) - position))
        shares[name] += idle
        left -= idle
    return shares


def spread_share(
    target: int, held: Mapping[str, Holding], max_slots: Mapping[str, int]
) -> dict[str, int]:
    """Divide a gateway's share of the slots among runners.

    Parameters
    ----------
    target : int
        Total number of slots that the gateway should have.
    held : mapping of str to Holding
        What the gateway holds of each runner.
    max_slots : mapping of str to int
        Slots of each runner that can be lent to the gateway.

    Returns
    -------
    dict
        Slots of each runner, at most `target` in total.

    Notes
    -----
    Slots in use are kept first, then slots that are held, so that credits aren't moved
    without need; new slots come from the runners with the most slots left.
    """
    grants = dict.fromkeys(max_slots, 0)
    left = target
    in_use = {key: min(h.in_flight, max_slots[key]) for key, h in held.items()}
    holds = {key: min(h.limit, max_slots[key]) for key, h in held.items()}
    for goal in (in_use, holds, max_slots):
        left = _raise_grants(grants, goal, max_slots, left)
    return grants


def _raise_grants(
    grants: dict[str, int],
    goal: Mapping[str, int],
    max_slots: Mapping[str, int],
    left: int,
) -> int:
    """Raise `grants` towards `goal` by `left` slots; return the slots that remain.

    Each slot is granted at the runner with the most slots left.
    """
    open_keys = [key for key in goal if grants[key] < goal[key]]
    while left > 0 and open_keys:
        key = max(open_keys, key=lambda k: (max_slots[k] - grants[k], k))
        grants[key] += 1
        left -= 1
        if grants[key] >= goal[key]:
            open_keys.remove(key)
    return left
