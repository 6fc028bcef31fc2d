"""Tests. Enables pytest assertion rewriting for the fault matrix's scenario modules."""

import pytest

pytest.register_assert_rewrite("tests.faults")
