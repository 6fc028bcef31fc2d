"""Parsing of IP addresses, ports and URLs in settings and inventories."""

from dataclasses import dataclass
from ipaddress import ip_address
from urllib.parse import urlsplit

MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int


def is_ip_address(text: str) -> bool:
    """Return whether ``text`` is an IPv4 or IPv6 address.

    >>> is_ip_address("10.0.0.1"), is_ip_address("localhost")
    (True, False)
    """
    try:
        ip_address(text)
    except ValueError:
        return False
    return True


def parse_address(text: str) -> Address:
    """Parse an IP address and a port, separated by a colon.

    :raises ValueError: if ``text`` is not such an address.

    >>> parse_address("[::1]:8125")
    Address(host='::1', port=8125)
    """
    host, _, port = text.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        raise ValueError(f"{text!r}: enclose an IPv6 address in brackets")
    if not is_ip_address(host):
        raise ValueError(f"{text!r} does not start with an IP address")
    if not (port.isascii() and port.isdigit() and 1 <= int(port) <= MAX_PORT):
        raise ValueError(f"{text!r} does not end with a port from 1 to {MAX_PORT}")
    return Address(host, int(port))


def is_address(text: str) -> bool:
    """Return whether ``text`` is an IP address with a port.

    >>> is_address("10.0.0.1:80"), is_address("10.0.0.1")
    (True, False)
    """
    try:
        parse_address(text)
    except ValueError:
        return False
    return True


def is_ip_url(text: str) -> bool:
    """Return whether ``text`` is an http or https URL whose host is an IP address.

    >>> is_ip_url("http://10.0.0.1:9000"), is_ip_url("http://log.example:9000")
    (True, False)
    """
    try:
        parts = urlsplit(text)
        port = parts.port
    except ValueError:
        return False
    is_http = parts.scheme in ("http", "https")
    return is_http and is_ip_address(parts.hostname or "") and port != 0
