"""Real daemons under faults.

Usage:
  faults [--short] [--seed N] [--logs DIR] [--example NAME]

Options:
  --short      One round, under 50 s.
  --seed N     Seed of all choices [default: 7].
  --logs DIR   Keep the processes' logs there.
  --example NAME  File set and plan; engines of lakaz ignore fencing numbers, so that its first
                  steward waits longer than a short run may [default: kirkvoice].
"""

from __future__ import annotations

import json
import shutil
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import gevent
from docopt import docopt

from bench._faults import schedule
from bench._faults.jobs import JobCallFailedError, Jobs
from bench._faults.load import Load
from bench._faults.schedule import Faults
from bench._faults.tally import Tally
from standins.caller import Caller
from standins.fleet import Fleet, load_plan
from standins.processes import ProcessGroup, stop_on_signal, wait_until

EXAMPLES: Final = Path("examples")
READY_S: Final = 60.0
ITEMS_SHORT: Final = 300
ITEMS_FULL: Final = 2_000
ITEMS_CANCELLED: Final = 400
ITEMS_EXTRA: Final = 60
ROUNDS_FULL: Final = 4
END_WAIT_S: Final = 130.0
JOB_DEADLINE_S: Final = 300.0


def main() -> None:
    """Run the rounds and print the counts."""
    args = docopt(__doc__ or "")
    stop_on_signal()
    folder = Path(tempfile.mkdtemp(prefix="clementinepin-faults-"))
    started = time.monotonic()
    try:
        with ProcessGroup(folder) as group:
            result = _run(group, EXAMPLES / args["--example"], args["--short"], int(args["--seed"]))
    finally:
        if args["--logs"]:
            shutil.copytree(folder, args["--logs"], dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
    result["seconds"] = round(time.monotonic() - started, 1)
    print(json.dumps(result))


def _run(group: ProcessGroup, example: Path, short: bool, seed: int) -> dict[str, Any]:
    plan = load_plan(example / "demo" / "fleet.toml")
    fleet = Fleet(plan, group)
    fleet.start()
    tally = Tally()
    _apply_first(fleet, example)
    load = Load(fleet, tally, seed)
    _wait_serving(fleet)
    load.start()
    jobs = Jobs(fleet, load, tally)
    items = ITEMS_SHORT if short else ITEMS_FULL
    deadline = time.monotonic() + JOB_DEADLINE_S
    kept = gevent.spawn(jobs.submit, "kept", items, deadline)
    rows: list[dict[str, Any]] = []
    accepted: list[tuple[str, str]] = []
    for number in range(1 if short else ROUNDS_FULL):
        accepted += _run_round(
            Faults(fleet, load, tally, example, seed + number), jobs, number, rows, tally
        )
    load.stop()
    _check_job(jobs, kept, items, tally)
    _check_accepted(jobs, accepted)
    _check_runs(fleet, load, tally)
    return {**tally.summarize(), "faults": rows, "seed": seed}


def _run_round(
    faults: Faults, jobs: Jobs, number: int, rows: list[dict[str, Any]], tally: Tally
) -> list[tuple[str, str]]:
    """Run every fault once; return key and id of the jobs accepted in between."""
    accepted: list[tuple[str, str]] = []

    def run_step(name: str, step: Callable[[], None]) -> None:
        schedule.run_step(name, step, rows, tally)

    watching = gevent.spawn(faults.watch_revisions)
    run_step("configuration race", faults.change_configuration)
    run_step("target killed", faults.kill_target)
    run_step("instance killed", faults.kill_instance)
    key = f"acknowledged-{number}"
    run_step(
        "instance killed after acknowledging",
        lambda: accepted.append((key, faults.kill_after_acknowledging(jobs, key, ITEMS_EXTRA))),
    )
    run_step("plain calls cut and target killed", faults.cut_plain_calls)
    run_step("replies lost, watches dropped", faults.lose_replies)
    cancelled = gevent.spawn(_cancel_job, jobs, f"cancelled-{number}")
    outage = gevent.spawn(run_step, "key-value service down", faults.stop_key_value)
    gevent.sleep(1.0)
    run_step("target killed in the outage", faults.kill_target)
    run_step("instance replaced in the outage", faults.kill_instance)
    run_step("instance paused in the outage", faults.pause_instance)
    gevent.joinall([outage], raise_error=True)
    leaving = gevent.spawn(run_step, "target leaving", faults.leave_target)
    run_step("instance stopped", faults.stop_instance)
    gevent.joinall([leaving], raise_error=True)
    run_step("leases lapsed", faults.lapse_leases)
    run_step("streams cut, late and hanging", faults.disturb_streams)
    run_step("poison request", faults.send_poison)
    gevent.joinall([cancelled], raise_error=True)
    watching.kill()
    return accepted


def _apply_first(fleet: Fleet, example: Path) -> None:
    files = {path.name: path.read_text() for path in example.glob("*.toml")}
    operator = Caller(fleet.plan.operator_key)
    message = json.dumps({"base": None, "files": files}).encode()
    answer = operator.call(fleet.daemons[0].port, "POST", "/ops/config", message)
    if answer.status != 200:
        raise JobCallFailedError(f"first file set: {answer.status} {answer.code} {answer.text}")


def _wait_serving(fleet: Fleet) -> None:
    """Wait until each instance answers a call of a model."""
    demo = fleet.plan.demo
    caller = Caller(fleet.plan.keys[demo["online_account"]], timeout_s=5.0)
    body = {"model": demo["online_application"], "prompt": "ready", "max_tokens": 1}
    for member in fleet.daemons:
        port = member.port
        wait_until(lambda port=port: caller.complete(port, body).whole, READY_S, member.name)


def _cancel_job(jobs: Jobs, key: str) -> None:
    deadline = time.monotonic() + JOB_DEADLINE_S
    job_id = jobs.submit(key, ITEMS_CANCELLED, deadline)
    gevent.sleep(1.0)
    jobs.cancel(job_id, deadline)


def _check_job(jobs: Jobs, kept: gevent.Greenlet, items: int, tally: Tally) -> None:
    deadline = time.monotonic() + END_WAIT_S
    try:
        job_id = kept.get(timeout=END_WAIT_S)
        job = jobs.wait(job_id, deadline)
        tally.seen[f"job_{job['status']}"] += 1
        jobs.check("kept", job_id, items, deadline)
    except (JobCallFailedError, gevent.Timeout) as err:
        tally.note("lost", f"the job can't be read: {err}")


def _check_accepted(jobs: Jobs, accepted: list[tuple[str, str]]) -> None:
    deadline = time.monotonic() + END_WAIT_S
    for key, job_id in accepted:
        jobs.wait(job_id, deadline)
        jobs.check(key, job_id, ITEMS_EXTRA, deadline)


def _check_runs(fleet: Fleet, load: Load, tally: Tally) -> None:
    """Compare what callers were told with what targets ran."""
    service = fleet.plan.demo["plain_path"].split("/")[2]
    runs = Counter(words[0] for words in fleet.read_journal(service))
    for name, end in load.plain_ends.items():
        if runs[name] > 1:
            tally.note("ran_twice", f"{name} ran {runs[name]} times")
        if end == "not_run" and runs[name]:
            tally.note("false_not_run", f"{name} was refused and ran")
        if end == "success" and not runs[name]:
            tally.note("lost", f"{name} succeeded and never ran")
    engines = next(t.service for t in fleet.plan.targets if t.kind == "engine")
    prompts = Counter(words[1] for words in fleet.read_journal(engines))
    for prompt in load.single_prompts:
        if prompts[prompt] > 1:
            tally.note("ran_twice", f"single prompt {prompt} ran {prompts[prompt]} times")
    for prompt in load.refused_prompts:
        if prompts[prompt]:
            tally.note("false_not_run", f"prompt {prompt} was refused and ran")


if __name__ == "__main__":
    main()
