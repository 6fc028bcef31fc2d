"""IP numbers with ports, and URLs with them, as settings and inventories give them."""

from dataclasses import dataclass
from ipaddress import ip_address
from urllib.parse import urlsplit

MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class Address:
    """An IP number and a port."""

    host: str
    port: int


def is_ip_address(text: str) -> bool:
    """Return whether ``text`` is an IPv4 or IPv6 number.

    >>> is_ip_number("10.0.0.1"), is_ip_number("localhost")
    (True, False)
    """
    try:
        ip_address(text)
    except ValueError:
        return False
    return True


def parse_address(text: str) -> Address:
    """Return the address that ``text`` gives as IP number, colon and port.

    :raises ValueError: when it is none.

    >>> parse_address("[::1]:8125")
    Address(host='::1', port=8125)
    """
    host, _, port = text.rpartition(":")
    if host.startswith("[") and host.endswith("]"):
        host = host[1:-1]
    elif ":" in host:
        raise ValueError(f"{text!r}: put an IPv6 number into brackets")
    if not is_ip_address(host):
        raise ValueError(f"{text!r} does not start with an IP number")
    if not (port.isascii() and port.isdigit() and 1 <= int(port) <= MAX_PORT):
        raise ValueError(f"{text!r} does not end with a port from 1 to {MAX_PORT}")
    return Address(host, int(port))


def is_address(text: str) -> bool:
    """Return whether ``text`` is an IP number with a port.

    >>> is_address("10.0.0.1:80"), is_address("10.0.0.1")
    (True, False)
    """
    try:
        parse_address(text)
    except ValueError:
        return False
    return True


def is_ip_url(text: str) -> bool:
    """Return whether ``text`` is an http or https URL whose host is an IP number.

    >>> is_ip_url("http://10.0.0.1:9000"), is_ip_url("http://log.example:9000")
    (True, False)
    """
    try:
        parts = urlsplit(text)
        port = parts.port
    except ValueError:
        return False
    known_scheme = parts.scheme in ("http", "https")
    return known_scheme and is_ip_address(parts.hostname or "") and port != 0
