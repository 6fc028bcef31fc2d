"""Tests of loading and validating settings."""

from collections.abc import Sequence
from dataclasses import fields

import pytest

from chivespan.errors import ChivespanError, ErrorKind
from chivespan.options import load_settings, load_settings_or_exit
from chivespan.settings import NodeSettings

VALID_FLAGS = (
    "--vm=127.0.0.1",
    "--data_centre=hr-east-osijek",
    "--region=hr-east",
    "--log-url=http://127.0.0.9:9000",
    "--vm_list_url=http://127.0.0.9:9001",
)


def _invalid_setting_message(arguments: Sequence[str], **environment: str) -> str:
    with pytest.raises(ChivespanError) as caught:
        load_settings(NodeSettings, arguments, environment)
    assert caught.value.kind is ErrorKind.INVALID_SETTING
    return caught.value.message


def test_flags_override_environment_and_environment_overrides_defaults() -> None:
    environment = {
        "CHIVESPAN_PEER_KEY": "0123",
        "CHIVESPAN_ENTRY_PORT": "80",
        "CHIVESPAN_VM": "127.0.0.2",
        "HOME": "/",
    }
    loaded = load_settings(NodeSettings, VALID_FLAGS, environment)
    assert loaded.vm == "127.0.0.1"
    assert loaded.entry_port == 80
    assert loaded.peer_key == "0123"
    assert loaded.heartbeat_ms == 500


def test_every_invalid_setting_is_listed_in_one_message() -> None:
    message = _invalid_setting_message(
        [
            "--vm=localhost",
            "--log_url=http://log:9000",
            "--heartbeat_ms=fast",
            "--partitions=0",
            "--batch_port=8080",
            "--colour=red",
            "word",
        ],
        CHIVESPAN_VMM="127.0.0.1",
        CHIVESPAN_STATSD_ADDRESS="127.0.0.1",
    )
    lines = message.splitlines()
    expected = {
        "--colour": "unknown setting",
        "'word'": "--name=value",
        "CHIVESPAN_VMM": "no program has a setting",
        "--vm (CHIVESPAN_VM)": '"localhost" is invalid; give an IP address',
        "--log_url (CHIVESPAN_LOG_URL)": "give a URL with an IP address",
        "--region (CHIVESPAN_REGION)": "missing",
        "--data_centre (CHIVESPAN_DATA_CENTRE)": "missing",
        "--vm_list_url (CHIVESPAN_VM_LIST_URL)": "missing",
        "--peer_key (CHIVESPAN_PEER_KEY)": "missing",
        "--heartbeat_ms (CHIVESPAN_HEARTBEAT_MS)": '"fast" is invalid; give a whole',
        "--partitions (CHIVESPAN_PARTITIONS)": "from 1 to 1024",
        "--statsd_address (CHIVESPAN_STATSD_ADDRESS)": "a port such as",
        "--entry_port (CHIVESPAN_ENTRY_PORT),": "two are the same",
    }
    assert lines[0] == f"{len(expected)} settings are invalid"
    assert len(lines) == 1 + len(expected)
    for label, problem in expected.items():
        start = f"  invalid_setting {label}"
        assert any(line.startswith(start) and problem in line for line in lines)


def test_invalid_key_is_not_shown() -> None:
    assert "one setting is invalid" in _invalid_setting_message(
        [*VALID_FLAGS, "--peer_key= "]
    )
    assert '" "' not in _invalid_setting_message([*VALID_FLAGS, "--peer_key= "])


def test_every_integer_setting_has_bounds() -> None:
    numbers = [field.name for field in fields(NodeSettings) if field.type == "int"]
    assert len(numbers) > 5
    invalid = [f"--{name}=-1" for name in numbers]
    message = _invalid_setting_message([*VALID_FLAGS, "--peer_key=key", *invalid])
    for name in numbers:
        assert f"invalid_setting --{name} " in message


def test_program_with_invalid_settings_exits_with_code_2(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    monkeypatch.setattr("sys.argv", ["chivespan-entry", *VALID_FLAGS])
    with pytest.raises(SystemExit) as caught:
        load_settings_or_exit(NodeSettings, {})
    assert caught.value.code == 2
    assert "--peer_key (CHIVESPAN_PEER_KEY): missing" in capsys.readouterr().err
