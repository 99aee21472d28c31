"""Play days of the users' sites with single mechanisms switched off, and write a table.

Usage:
  ablation --player PROGRAM --scratch DIR --sites FILES --days NAMES [--seeds LIST] [--jobs N]
           [--mechanisms NAMES] [--why TEXT]

Options:
  --player PROGRAM    The users' bench.
  --scratch DIR       Folder for clones of the last commit, one for each mechanism.
  --sites FILES       Site files, separated by commas.
  --days NAMES        Names of days or day files, separated by commas.
  --seeds LIST        Seeds, separated by commas; equal ones for all mechanisms [default: 1,2].
  --jobs N            Plays at a time [default: 5].
  --mechanisms NAMES  Mechanisms, separated by commas; all by default.
  --why TEXT          Reason for the journal [default: Ablation].

Processor time is not charged, so that plays mostly repeat. A play that ends without a report
counts as missing, and its output stays in the scratch folder.
"""

from __future__ import annotations

import itertools
import json
import shutil
import statistics
import subprocess
import sys
from pathlib import Path
from typing import Any, Final, NamedTuple

from docopt import docopt
from gevent.pool import Pool
from gevent.subprocess import Popen

from clementinepin.tables.mechanisms import Mechanism

ALL: Final = "all"  # the row with every mechanism in use
RUN_OPTION: Final = "--metrics-port 9464"  # part of each run line of the deploy file


class Play(NamedTuple):
    """One day of one site, played with a mechanism switched off."""

    mechanism: str
    site: str
    day: str
    seed: str

    @property
    def label(self) -> str:
        """Return a name for files."""
        return f"{self.mechanism}-{Path(self.site).stem}-{Path(self.day).stem}-{self.seed}"


def prepare_clone(scratch: Path, mechanism: str) -> Path:
    """Return a clone of the last commit whose programs run without a mechanism."""
    clone = scratch / f"without-{mechanism}"
    if not clone.exists():
        subprocess.run(["git", "clone", "-q", ".", str(clone)], check=True)
        if Path("target").exists():  # built dependencies
            shutil.copytree("target", clone / "target", copy_function=shutil.copy2)
    if mechanism != ALL:
        deploy = clone / "deploy" / "system.toml"
        text = deploy.read_text().replace(f" --without {mechanism}", "")
        deploy.write_text(text.replace(RUN_OPTION, f"{RUN_OPTION} --without {mechanism}"))
    return clone


def run_play(player: str, clone: Path, report: Path, why: str, play: Play) -> None:
    """Play a day and leave its report; a failed play leaves only its output."""
    command = [player, "run", play.site, play.day, "--seed", play.seed, "--jobs", "1", "--no-cpu"]
    command += ["--why", f"{why}: without {play.mechanism}", "--report", str(report)]
    with report.with_suffix(".txt").open("wb") as output:
        Popen(command, cwd=clone, stdout=output, stderr=output).wait()


def read_worth(report: Path) -> float | None:
    """Return the worth of a play, 0.0 if it broke a rule, None without a report."""
    if not report.exists():
        return None
    values: dict[str, Any] = json.loads(report.read_text())
    return 0.0 if values["breaks"] else float(values["G"])


def make_row(mechanism: str, plays: list[Play], worths: dict[Play, float | None]) -> dict[str, Any]:
    """Return what switching a mechanism off changes: the mean, its spread and each site's mean."""
    changes: dict[str, list[float]] = {}
    for play in plays:
        without, used = worths[play], worths[play._replace(mechanism=ALL)]
        if without is not None and used is not None:
            changes.setdefault(Path(play.site).stem, []).append(without - used)
    every = [change for group in changes.values() for change in group]
    row = {"without": mechanism, "plays": len(every)}
    if every:
        row |= {"mean": round(statistics.mean(every), 4)}
        row |= {"spread": round(statistics.pstdev(every), 4)}
    return row | {site: round(statistics.mean(group), 4) for site, group in changes.items()}


def main() -> None:
    """Play everything and print one JSON line a mechanism."""
    arguments = docopt(__doc__ or "")
    scratch = Path(arguments["--scratch"])
    scratch.mkdir(parents=True, exist_ok=True)
    names = arguments["--mechanisms"]
    mechanisms = [ALL, *(names.split(",") if names else map(str, Mechanism))]
    clones = {name: prepare_clone(scratch, name) for name in mechanisms}
    choices = [arguments[name].split(",") for name in ("--sites", "--days", "--seeds")]
    plays = [Play(name, *choice) for name in mechanisms for choice in itertools.product(*choices)]
    reports = {play: scratch / f"{play.label}.json" for play in plays}
    pool = Pool(int(arguments["--jobs"]))
    for play in plays:
        pool.spawn(
            run_play,
            arguments["--player"],
            clones[play.mechanism],
            reports[play],
            arguments["--why"],
            play,
        )
    pool.join()
    worths = {play: read_worth(report) for play, report in reports.items()}
    for name in mechanisms:
        group = [play for play in plays if play.mechanism == name]
        sys.stdout.write(json.dumps(make_row(name, group, worths)) + "\n")


if __name__ == "__main__":
    main()
