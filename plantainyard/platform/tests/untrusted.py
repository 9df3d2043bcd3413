"""Values that no decoder may fail on, for tests."""

import math

from hypothesis import strategies as st

UNENCODABLE = "\ud800"
"""A text that JSON can carry and that can't be encoded."""

DEEP = b"[" * 100_000
"""JSON that is nested deeper than any parser follows."""

DEEP_OBJECT = b'{"a":' * 100_000
"""The same of objects."""

WRONG_NUMBERS = ["1e999", "-1e999", "NaN", "Infinity", "9" * 400, "9" * 5000, '"7"']
"""JSON of numbers that are too large, aren't numbers, or aren't finite."""

HUGE = 10**400

NUMBERS = st.sampled_from([HUGE, -HUGE, math.nan, math.inf, -math.inf, 1e308, -1, 0])

TEXTS = st.text(st.characters(), max_size=8) | st.just(UNENCODABLE)

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | NUMBERS | TEXTS,
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(TEXTS, inner, max_size=4)
    ),
    max_leaves=8,
)
"""Arbitrary values that Python's JSON encoder accepts."""
