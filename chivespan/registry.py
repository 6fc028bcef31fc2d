"""Registries of interchangeable policies, filled by decorators."""

from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

from chivespan.errors import ChivespanError, ErrorKind

T = TypeVar("T")


class Registry(Generic[T]):
    """Named implementations of one policy.

    :param decision: what the policies decide, for error messages.

    >>> greetings: Registry[Callable[[], str]] = Registry("greeting")
    >>> @greetings.register("short")
    ... def short() -> str:
    ...     return "hi"
    >>> greetings["short"]()
    'hi'
    """

    def __init__(self, decision: str) -> None:
        self._decision = decision
        self._entries: dict[str, T] = {}

    def __getitem__(self, name: str) -> T:
        """Return the implementation registered under ``name``.

        :raises ChivespanError: ``invalid_setting`` if there is none.
        """
        if name not in self._entries:
            known = ", ".join(sorted(self._entries))
            reason = f"no {self._decision} policy {name!r}; available: {known}"
            raise ChivespanError(ErrorKind.INVALID_SETTING, reason)
        return self._entries[name]

    def __iter__(self) -> Iterator[str]:
        return iter(self._entries)

    def register(self, name: str) -> Callable[[T], T]:
        """Return a decorator that registers an implementation under ``name``."""

        def add(entry: T) -> T:
            self._entries[name] = entry
            return entry

        return add
