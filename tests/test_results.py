"""The results page selects the score, baseline and trials from the journal."""

from pathlib import Path
from typing import Any

import msgspec

from tools.results import render_page


def write_score(journal: Path, name: str, why: str, worth: float, *argv: str) -> None:
    entry: dict[str, Any] = {
        "id": name,
        "at": ["2026-12-04T00:00:00Z", "2026-12-04T00:01:00Z"],
        "cmd": "score",
        "argv": argv,
        "head": "0123456789abcdef",
        "dirty": False,
        "why": why,
        "site": "one",
        "score": 1.0,
        "days": [{"name": "scale-1", "G": worth, "slot": "scale", "gate": True}],
    }
    (journal / f"{name}.json").write_bytes(msgspec.json.encode(entry))


def test_later_baseline_is_shown_next_to_the_score(
    tmp_path: Path,
) -> None:
    write_score(tmp_path, "1", "landing", 0.7)
    write_score(tmp_path, "2", "plain baseline on all days", 0.5)
    text = render_page(tmp_path)
    assert "| scale-1 | 0.700 | 0.500 |  | none | yes |" in text
    assert "entry 1." in text


def test_later_trial_is_ignored(tmp_path: Path) -> None:
    write_score(tmp_path, "1", "landing", 0.7)
    write_score(tmp_path, "2", "trial: a patch that was not taken", 0.9)
    assert "| scale-1 | 0.700 |  |  | none | yes |" in render_page(tmp_path)


# Guards against: a quick score of some days takes the place of the full one.
def test_later_quick_score_is_shown_below_the_full_one(tmp_path: Path) -> None:
    write_score(tmp_path, "1", "landing", 0.7)
    write_score(tmp_path, "2", "after a change", 0.9, "--quick")
    text = render_page(tmp_path)
    assert "| scale-1 | 0.700 |  |  | none | yes |" in text
    assert "Newest quick score: scale-1 0.900." in text
