"""Encoding and decoding of JSON bodies in calls to the platform."""

import json
from typing import Any

from plantainyard.decoding import DecodeError, parse_json
from plantainyard.transport import HttpResponse

__all__ = ["encode_body", "read_object"]


def encode_body(data: Any) -> bytes:
    """Return `data` as compact JSON, for use as the body of a request.

    Examples
    --------
    >>> encode_body({"run": 2})
    b'{"run":2}'
    """
    return json.dumps(data, separators=(",", ":")).encode()


def read_object(response: HttpResponse) -> dict[str, Any]:
    """Return the JSON object in the body of a response, or an empty dictionary.

    Notes
    -----
    The outcome of a call is determined by the status of the response. Errors about
    missing fields are left to the function that reads them.
    """
    try:
        data = parse_json(response.body)
    except DecodeError:
        return {}
    return data if isinstance(data, dict) else {}
