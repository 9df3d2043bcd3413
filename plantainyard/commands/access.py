"""Lookup of the instances' addresses and the token.

Flags take precedence over the environment, and the environment over the profile, a
TOML file with the keys ``addresses`` and ``token`` or ``token_file``.
"""

from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any, NamedTuple

from result import Err, Ok, Result

from plantainyard.decoding import DecodeError, parse_toml
from plantainyard.settings import Secret

__all__ = ["Access", "find_access"]

ENV_ADDRESSES = "PLANTAINYARD_ADDRESSES"
ENV_TOKEN = "PLANTAINYARD_TOKEN"
ENV_TOKEN_FILE = "PLANTAINYARD_TOKEN_FILE"
ENV_PROFILE = "PLANTAINYARD_PROFILE"
DEFAULT_PROFILE_PATH = ".config/plantainyard.toml"
PROFILE_KEYS = ("addresses", "token", "token_file")
HTTP_SCHEME = "http://"


class Access(NamedTuple):
    """Addresses of the instances, and the token to authenticate with.

    Attributes
    ----------
    addresses : tuple of str
        Base URLs of control addresses, tried in this order.
    token : Secret
        Sent to each of them.
    """

    addresses: tuple[str, ...]
    token: Secret


def find_access(
    addresses: Sequence[str],
    token_file: str,
    profile_path: str,
    environ: Mapping[str, str],
) -> Result[Access, str]:
    """Return the access configured by flags, the environment and the profile.

    Parameters
    ----------
    addresses, token_file, profile_path
        Values of the flags, empty if not given.
    environ : mapping
        Environment variables.

    Returns
    -------
    Ok or Err
        Err holds one line that says what is missing or invalid.
    """
    loaded = _load_profile(profile_path, environ)
    if isinstance(loaded, Err):
        return loaded
    profile = loaded.ok_value
    from_environment = [
        part for part in environ.get(ENV_ADDRESSES, "").split(",") if part
    ]
    selected = list(addresses) or from_environment or profile.get("addresses", [])
    if not selected:
        return Err(
            f"no address of an instance: give --address=IP:PORT, set {ENV_ADDRESSES} "
            "or write 'addresses' into the profile"
        )
    token = _find_token(token_file, environ, profile)
    if isinstance(token, Err):
        return token
    base_urls = (a if "://" in a else HTTP_SCHEME + a for a in selected)
    return Ok(
        Access(tuple(base_url.rstrip("/") for base_url in base_urls), token.ok_value)
    )


def _load_profile(path: str, environ: Mapping[str, str]) -> Result[dict[str, Any], str]:
    given = path or environ.get(ENV_PROFILE, "")
    location = (
        Path(given) if given else Path(environ.get("HOME", "/")) / DEFAULT_PROFILE_PATH
    )
    if not given and not location.is_file():
        return Ok({})
    try:
        profile = parse_toml(location.read_text("utf-8"))
    except OSError as error:
        return Err(f"{location}: {error.strerror}")
    except (DecodeError, UnicodeDecodeError) as error:
        return Err(f"{location}: expected well-formed TOML, got: {error}")
    unknown = sorted(profile.keys() - set(PROFILE_KEYS))
    if unknown:
        known = ", ".join(PROFILE_KEYS)
        return Err(f"{location}: {unknown[0]}: no such key; known are {known}")
    addresses = profile.get("addresses", [])
    if not isinstance(addresses, list) or not all(
        isinstance(address, str) for address in addresses
    ):
        return Err(f"{location}: addresses: expected a list of strings")
    for key in ("token", "token_file"):
        if not isinstance(profile.get(key, ""), str):
            return Err(f"{location}: {key}: expected a string")
    if "token_file" in profile:
        profile["token_file"] = str(location.parent / profile["token_file"])
    return Ok(profile)


def _find_token(
    token_file: str, environ: Mapping[str, str], profile: Mapping[str, str]
) -> Result[Secret, str]:
    """Return the token of the first source that provides one.

    There is no flag for the token itself, because other users of the machine can see
    the flags of a process.
    """
    sources = (
        ("", token_file),
        (environ.get(ENV_TOKEN, ""), environ.get(ENV_TOKEN_FILE, "")),
        (profile.get("token", ""), profile.get("token_file", "")),
    )
    value, path = next((pair for pair in sources if any(pair)), ("", ""))
    if path and not value:
        try:
            value = Path(path).read_text("utf-8").strip()
        except (OSError, UnicodeDecodeError) as error:
            return Err(f"{path}: expected a readable file with the token, got: {error}")
    if not value:
        return Err(
            f"no token: give --token_file=PATH, set {ENV_TOKEN} or write 'token_file' "
            "into the profile"
        )
    if not value.isascii() or not value.isprintable():
        return Err("the token: expected printable ASCII characters")
    return Ok(Secret(value))
