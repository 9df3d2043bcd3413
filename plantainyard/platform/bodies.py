"""Bodies of calls to the platform: JSON objects, written compactly."""

import json
from typing import Any

from plantainyard.transport import HttpResponse

__all__ = ["encode_body", "read_object"]


def encode_body(data: Any) -> bytes:
    """Return the body of a call.

    Examples
    --------
    >>> encode_body({"run": 2})
    b'{"run":2}'
    """
    return json.dumps(data, separators=(",", ":")).encode()


def read_object(answer: HttpResponse) -> dict[str, Any]:
    """Return the object in an answer's body, empty where there is none.

    Notes
    -----
    What an answer means is told by its status first; fields that are missing are then
    named by whoever reads them.
    """
    try:
        data = json.loads(answer.body)
    except ValueError:
        return {}
    return data if isinstance(data, dict) else {}
