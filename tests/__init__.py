"""Tests; the scenarios of the fault matrix get the details of failed assertions too."""

import pytest

pytest.register_assert_rewrite("tests.faults")
