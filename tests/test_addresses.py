"""Test processes that run at the same time get different addresses."""

import subprocess
import sys

from tests.addresses import own_block


# Guards against: two test runs on one machine fail each other, as their processes bind
# the same addresses.
def test_another_process_gets_another_block() -> None:
    code = "from tests.addresses import own_block; print(own_block())"
    first = own_block()
    command = [sys.executable, "-c", code]
    other = subprocess.run(command, check=True, capture_output=True, text=True)
    assert other.stdout.strip() != first
    assert own_block() == first
