"""Failing imports on a hot path don't search the disk."""

import sys

import pytest

from chivespan import absentmodules
from chivespan.absentmodules import cache_absent_modules

ABSENT = "no_such_module_anywhere"


def test_absent_module_fails_without_search_and_present_module_imports(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    searched: list[str] = []

    class Finder:
        @staticmethod
        def find_spec(name: str, path: object = None, target: object = None) -> None:
            searched.append(name)

    monkeypatch.setattr(absentmodules, "OPTIONAL_MODULES", (ABSENT, "wave"))
    monkeypatch.delitem(sys.modules, "wave", raising=False)
    cache_absent_modules()
    try:
        monkeypatch.setattr(sys, "meta_path", [Finder, *sys.meta_path])
        with pytest.raises(ImportError):
            __import__(ABSENT)
        assert searched == []
        assert __import__("wave")
    finally:
        del sys.modules[ABSENT]
