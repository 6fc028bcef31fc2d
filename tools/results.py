"""Writes docs/RESULTS.md from the journal of the users' bench.

The page shows, for each site, the newest score and the worth of each of its days, with
the commit that was measured. Beside it stands the newest score of the plain baseline,
told by its reason in the journal; so are trials, which are left out. Nothing on the
page is typed by hand.
"""

import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec

ROOT = Path(__file__).resolve().parent.parent
JOURNAL = ROOT / "journal"
PAGE = ROOT / "docs" / "RESULTS.md"
QUIET = "quiet"
SHORT_COMMIT = 10
INTRO = """\
# Results on the users' bench

Written by `python -m tools.results` from `journal/`; the newest score of each site.
Worth is what users were served, less prices; the marks are the site files'. Figures
under 0.03 apart are noise. "Dirty": the tree had changes beyond the commit named.
Baseline: least own requests in progress, a fixed number of items a node (a trial).
"""
BASELINE = "plain baseline"
TRIAL = "trial"


class Day(msgspec.Struct):
    """One day of a score."""

    name: str
    # The bench's name of what its output calls worth.
    G: float
    slot: str = ""
    # The upper mark of the site file.
    top: float | None = None
    rules: dict[str, int] = {}
    gate: bool = False


class Entry(msgspec.Struct):
    """One entry of the journal."""

    id: str
    at: list[str]
    cmd: str
    head: str
    dirty: bool
    why: str = ""
    site: str | None = None
    score: float | None = None
    edited_meanwhile: bool = False
    days: list[Day] = []


@dataclass(frozen=True)
class Summary:
    """A site's newest score, and the newest one of the baseline."""

    entry: Entry
    baseline: Entry | None

    @property
    def standard_days(self) -> list[Day]:
        """The days of the site file, without the one drawn for the run."""
        return [day for day in self.entry.days if not day.name.startswith("fresh-")]

    def mean_of_disturbed_days(self) -> float:
        """Return the mean worth over the standard days that aren't quiet."""
        worths = [day.G for day in self.standard_days if day.slot != QUIET]
        return sum(worths) / len(worths)

    def baseline_worth(self, day: str) -> float | None:
        """Return what a day was worth with the baseline, where it was played."""
        days = [] if self.baseline is None else self.baseline.days
        return next((each.G for each in days if each.name == day), None)


def entries(journal: Path) -> Iterator[Entry]:
    """Yield the journal's entries, the oldest first."""
    for path in sorted(journal.glob("*.json")):
        yield msgspec.json.decode(path.read_bytes(), type=Entry)


def newest_scores(journal: Path) -> dict[str, Summary]:
    """Return the newest score of each site."""
    scores: dict[str, Entry] = {}
    baselines: dict[str, Entry] = {}
    for entry in entries(journal):
        is_trial = entry.why.startswith(TRIAL)
        if entry.cmd == "score" and entry.site and not is_trial:
            kept = baselines if entry.why.startswith(BASELINE) else scores
            kept[entry.site] = entry
    return {site: Summary(scores[site], baselines.get(site)) for site in scores}


def render_page(journal: Path) -> str:
    """Return the page's text."""
    parts = [INTRO]
    for site, summary in sorted(newest_scores(journal).items()):
        parts.extend(_section(site, summary))
    return "\n".join(parts)


def _section(site: str, summary: Summary) -> Iterator[str]:
    entry = summary.entry
    tree = "dirty" if entry.dirty or entry.edited_meanwhile else "clean"
    yield f"## {site}\n"
    yield (
        f"Commit {entry.head[:SHORT_COMMIT]} ({tree}), {entry.at[0]}, "
        f"entry {entry.id}. "
        f"Score {entry.score}; mean worth of the days with trouble "
        f"{summary.mean_of_disturbed_days():.3f}.\n"
    )
    yield "| day | worth | baseline | upper mark | rules broken | passes |"
    yield "|---|---|---|---|---|---|"
    for day in entry.days:
        mark = _worth(day.top)
        base = _worth(summary.baseline_worth(day.name))
        rules = ", ".join(f"{name} {times}" for name, times in day.rules.items())
        passes = "yes" if day.gate else "no"
        figures = f"{day.G:.3f} | {base} | {mark}"
        yield f"| {day.name} | {figures} | {rules or 'none'} | {passes} |"
    yield ""


def _worth(worth: float | None) -> str:
    return "" if worth is None else f"{worth:.3f}"


def main() -> int:
    """Write the page; return the exit code."""
    PAGE.write_text(render_page(JOURNAL))
    return 0


if __name__ == "__main__":
    sys.exit(main())
