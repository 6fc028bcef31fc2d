"""Writes docs/RESULTS.md from the journal of the users' bench.

For each site the page shows the newest score, the worth of each of its days and the
measured commit, next to the newest score of the plain baseline. The reason stored in a
journal entry identifies baselines, and trials, which are left out. The page is
generated completely, so that every figure comes from a journal entry.
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
COMMIT_DIGITS = 10
INTRO = """\
# Results on the users' bench

Written by `python -m tools.results` from `journal/`; the newest full score of each
site, and the newest quick one, which plays only some of the days, where it is newer.
Worth is what users were served, less prices; the marks are the site files'. Figures
under 0.03 apart are noise. "Dirty": the tree had changes beyond the commit named.
Baseline: least own requests in progress, a fixed number of items a node (a trial).
"""
BASELINE = "plain baseline"
TRIAL = "trial"


class Day(msgspec.Struct):
    """One day of a score.

    :param slot: kind of day in the site file.
    :param rules: number of violations of each broken rule.
    :param gate: whether the day passes.
    """

    name: str
    # Worth of the day; "G" is the name in the bench's output.
    G: float
    slot: str = ""
    # Upper mark of the day in the site file.
    top: float | None = None
    rules: dict[str, int] = {}
    gate: bool = False


class Entry(msgspec.Struct):
    """One journal entry, reduced to the fields that the page uses."""

    id: str
    at: list[str]
    cmd: str
    head: str
    dirty: bool
    why: str = ""
    # Arguments of the bench's command.
    argv: list[str] = []
    site: str | None = None
    score: float | None = None
    edited_meanwhile: bool = False
    days: list[Day] = []

    @property
    def is_quick(self) -> bool:
        """Whether only some of the site's days were played."""
        return "--quick" in self.argv


@dataclass(frozen=True)
class Summary:
    """The newest score of a site and the newest one of its plain baseline.

    :param entry: the newest full score, or a quick one if there is no full one.
    :param quick: the newest quick score, if it is newer.
    """

    entry: Entry
    baseline: Entry | None
    quick: Entry | None

    @property
    def standard_days(self) -> list[Day]:
        """The days of the site file, without the day generated for the run."""
        return [day for day in self.entry.days if not day.name.startswith("fresh-")]

    def mean_of_disturbed_days(self) -> float:
        """Return the mean worth of the standard days that are not quiet."""
        worths = [day.G for day in self.standard_days if day.slot != QUIET]
        return sum(worths) / len(worths)

    def baseline_worth(self, day: str) -> float | None:
        """Return the worth of a day with the baseline, or None if it was not run."""
        days = [] if self.baseline is None else self.baseline.days
        return next((each.G for each in days if each.name == day), None)


def entries(journal: Path) -> Iterator[Entry]:
    """Yield the entries of the journal, oldest first."""
    for path in sorted(journal.glob("*.json")):
        yield msgspec.json.decode(path.read_bytes(), type=Entry)


def newest_scores(journal: Path) -> dict[str, Summary]:
    """Return the newest score and baseline of each site, without trials."""
    full: dict[str, Entry] = {}
    quick: dict[str, Entry] = {}
    baselines: dict[str, Entry] = {}
    for entry in entries(journal):
        is_trial = entry.why.startswith(TRIAL)
        if entry.cmd != "score" or not entry.site or not entry.days or is_trial:
            continue
        if entry.why.startswith(BASELINE):
            baselines[entry.site] = entry
        elif entry.is_quick:
            quick[entry.site] = entry
        else:
            full[entry.site] = entry
            quick.pop(entry.site, None)
    return {
        site: Summary(
            full.get(site) or quick[site],
            baselines.get(site),
            quick.get(site) if site in full else None,
        )
        for site in full | quick
    }


def render_page(journal: Path) -> str:
    """Return the text of the page."""
    parts = [INTRO]
    for site, summary in sorted(newest_scores(journal).items()):
        parts.extend(_section(site, summary))
    return "\n".join(parts)


def _section(site: str, summary: Summary) -> Iterator[str]:
    entry = summary.entry
    yield f"## {site}\n"
    yield (
        f"{'Quick score. ' if entry.is_quick else ''}{_source(entry)} "
        f"Score {entry.score}; mean worth of the days with trouble "
        f"{summary.mean_of_disturbed_days():.3f}.\n"
    )
    yield "| day | worth | baseline | upper mark | rules broken | passes |"
    yield "|---|---|---|---|---|---|"
    for day in entry.days:
        mark = _format_worth(day.top)
        base = _format_worth(summary.baseline_worth(day.name))
        rules = ", ".join(f"{name} {times}" for name, times in day.rules.items())
        passes = "yes" if day.gate else "no"
        figures = f"{day.G:.3f} | {base} | {mark}"
        yield f"| {day.name} | {figures} | {rules or 'none'} | {passes} |"
    yield ""
    if summary.quick is not None:
        worths = ", ".join(f"{day.name} {day.G:.3f}" for day in summary.quick.days)
        yield f"Newest quick score: {worths}. {_source(summary.quick)}\n"


def _source(entry: Entry) -> str:
    """Return the commit and the journal entry that figures come from."""
    tree = "dirty" if entry.dirty or entry.edited_meanwhile else "clean"
    commit = f"{entry.head[:COMMIT_DIGITS]} ({tree})"
    return f"Commit {commit}, {entry.at[0]}, entry {entry.id}."


def _format_worth(worth: float | None) -> str:
    return "" if worth is None else f"{worth:.3f}"


def main() -> int:
    """Write the page; return the process exit code."""
    PAGE.write_text(render_page(JOURNAL))
    return 0


if __name__ == "__main__":
    sys.exit(main())
