"""Checks of network addresses that others announce."""

from __future__ import annotations

import ipaddress
import re
from typing import NamedTuple

MAX_PORT = 65_535
# The longest name that DNS allows.
MAX_HOST_CHARACTERS = 253
_PORT = re.compile(r"[0-9]{1,5}")
_HOST = re.compile(r"[!-Z^-~]+|\[[0-9A-Fa-f:.]+\]")


class HostPort(NamedTuple):
    """A host, without the brackets of an IPv6 address, and a port."""

    host: str
    port: int


def parse_host_port(address: str, *, may_be_any_port: bool = False) -> HostPort:
    """Return the parts of HOST:PORT.

    With may_be_any_port, the port may be 0, on which a listener gets a free one. Raises
    ValueError, whose text is one line.
    """
    host, _, port_text = address.rpartition(":")
    min_port = 0 if may_be_any_port else 1
    if (
        len(host) > MAX_HOST_CHARACTERS
        or not _HOST.fullmatch(host)
        or not _PORT.fullmatch(port_text)
        or not min_port <= int(port_text) <= MAX_PORT
    ):
        shown = address[:MAX_HOST_CHARACTERS]
        raise ValueError(
            f"{shown if shown.isprintable() else ascii(shown)} is no HOST:PORT"
        )
    return HostPort(host.strip("[]"), int(port_text))


def parse_ip_port(address: str) -> HostPort:
    """Return the parts of an address whose host is the IP address of one machine.

    Raises ValueError, whose text is one line.
    """
    parsed = parse_host_port(address)
    ip = ipaddress.ip_address(parsed.host)
    if ip.is_unspecified or ip.is_multicast or ip == ipaddress.ip_address(2**32 - 1):
        raise ValueError(f"{parsed.host} is no machine's IP address")
    return parsed


__all__ = ["HostPort", "parse_host_port", "parse_ip_port"]
