"""Rendezvous hashing, which assigns keys to the members of a set, such as live VMs."""

from collections.abc import Iterable

import xxhash


def weight(key: str, member: str) -> int:
    """Return the rendezvous weight of ``member`` for ``key``."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{member}".encode())


def ranked(key: str, members: Iterable[str]) -> list[str]:
    """Return the members in rendezvous order for ``key``, with the owner first.

    >>> members = ["10.0.0.1", "10.0.0.2", "10.0.0.3"]
    >>> first, second, _ = ranked("slice", members)
    >>> ranked("slice", [m for m in members if m != first])[0] == second
    True
    """
    return sorted(members, key=lambda member: weight(key, member), reverse=True)


def select_owner(key: str, members: Iterable[str]) -> str | None:
    """Return the first member in rendezvous order, or None if there are no members."""
    return max(members, key=lambda member: weight(key, member), default=None)
