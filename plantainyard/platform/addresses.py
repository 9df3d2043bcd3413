"""Addresses ``ip:port`` that others name."""

from ipaddress import AddressValueError, IPv4Address
from typing import Any

from plantainyard.connections import MAX_PORT
from plantainyard.decoding import DecodeError, parse_decimal, read_text

__all__ = ["read_address"]

MAX_ADDRESS = len("255.255.255.255:65535")


def read_address(value: Any, name: str) -> str:
    """Return `value` if it is an IP address and a port to which one can connect.

    Examples
    --------
    >>> read_address("10.1.0.13:8161", "address")
    '10.1.0.13:8161'
    >>> read_address("10.1.0.13:70000", "address")
    Traceback (most recent call last):
    plantainyard.decoding.DecodeError: address names no port
    """
    address = read_text(value, name, MAX_ADDRESS)
    host, _, port = address.rpartition(":")
    try:
        IPv4Address(host)
    except AddressValueError:
        raise DecodeError(f"{name} names no IP address") from None
    if not 0 < (parse_decimal(port) or 0) <= MAX_PORT:
        raise DecodeError(f"{name} names no port")
    return address
