"""The search for a package that isn't there is spared, and only that."""

import importlib
import sys

import pytest

from chivespan.asynclibrary import DETECTOR, settle_async_library


def test_a_missing_package_is_not_looked_for_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setitem(sys.modules, DETECTOR, sys)
    monkeypatch.delitem(sys.modules, DETECTOR)
    monkeypatch.setattr("chivespan.asynclibrary.find_spec", lambda _: None)
    settle_async_library()
    monkeypatch.setattr(sys, "meta_path", [])
    with pytest.raises(ImportError, match="halted"):
        importlib.import_module(DETECTOR)


def test_a_package_that_is_there_stays(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(sys.modules, DETECTOR, sys)
    settle_async_library()
    assert sys.modules[DETECTOR] is sys
