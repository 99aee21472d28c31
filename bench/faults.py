"""Inject faults into a fleet of real daemons under load and count violated guarantees.

Usage:
  faults [--short] [--seed N] [--logs DIR] [--example NAME]

Options:
  --short      Run one round, in under 50 s.
  --seed N     Seed of all random choices [default: 7].
  --logs DIR   Copy the processes' logs into this folder.
  --example NAME  Example that gives the file set and the fleet plan. The engines of lakaz ignore
                  fencing numbers, so its first steward waits longer than a short run lasts
                  [default: kirkvoice].
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
READY_TIMEOUT_S: Final = 60.0
ITEMS_SHORT: Final = 300
ITEMS_FULL: Final = 2_000
ITEMS_CANCELLED: Final = 400
ITEMS_ACKNOWLEDGED: Final = 60
ROUNDS_FULL: Final = 4
JOB_END_TIMEOUT_S: Final = 130.0
JOB_DEADLINE_S: Final = 300.0


def main() -> None:
    """Run the rounds and print the counts as one JSON object."""
    args = docopt(__doc__ or "")
    stop_on_signal()
    folder = Path(tempfile.mkdtemp(prefix="clementinepin-faults-"))
    started = time.monotonic()
    try:
        with ProcessGroup(folder) as group:
            result = _run_rounds(
                group, EXAMPLES / args["--example"], args["--short"], int(args["--seed"])
            )
    finally:
        if args["--logs"]:
            shutil.copytree(folder, args["--logs"], dirs_exist_ok=True)
        shutil.rmtree(folder, ignore_errors=True)
    result["seconds"] = round(time.monotonic() - started, 1)
    print(json.dumps(result))


def _run_rounds(group: ProcessGroup, example: Path, short: bool, seed: int) -> dict[str, Any]:
    """Start the fleet, run all rounds, check the jobs and runs, and return the figures."""
    plan = load_plan(example / "demo" / "fleet.toml")
    fleet = Fleet(plan, group)
    fleet.start()
    tally = Tally()
    _apply_first_files(fleet, example)
    load = Load(fleet, tally, seed)
    _wait_until_serving(fleet)
    load.start()
    jobs = Jobs(fleet, load, tally)
    items = ITEMS_SHORT if short else ITEMS_FULL
    deadline = time.monotonic() + JOB_DEADLINE_S
    kept_job = gevent.spawn(jobs.submit, "kept", items, deadline)
    rows: list[dict[str, Any]] = []
    accepted: list[tuple[str, str]] = []
    for number in range(1 if short else ROUNDS_FULL):
        accepted += _run_round(
            Faults(fleet, load, tally, example, seed + number), jobs, number, rows, tally
        )
    load.stop()
    _check_kept_job(jobs, kept_job, items, tally)
    _check_accepted(jobs, accepted)
    _check_runs(fleet, load, tally)
    return {**tally.summarize(), "faults": rows, "seed": seed}


def _run_round(
    faults: Faults, jobs: Jobs, number: int, rows: list[dict[str, Any]], tally: Tally
) -> list[tuple[str, str]]:
    """Inject every fault once; return the keys and ids of the jobs accepted meanwhile."""
    accepted: list[tuple[str, str]] = []

    def run_step(name: str, step: Callable[[], None]) -> None:
        schedule.run_step(name, step, rows, tally)

    revision_watch = gevent.spawn(faults.watch_revisions)
    run_step("configuration race", faults.race_configuration_changes)
    run_step("target killed", faults.kill_target)
    run_step("instance killed", faults.kill_instance)
    key = f"acknowledged-{number}"
    run_step(
        "instance killed after acknowledging",
        lambda: accepted.append(
            (key, faults.kill_after_acknowledging(jobs, key, ITEMS_ACKNOWLEDGED))
        ),
    )
    run_step("plain calls cut and target killed", faults.truncate_plain_responses)
    run_step("replies lost, watches dropped", faults.lose_replies)
    cancelled = gevent.spawn(_cancel_job, jobs, f"cancelled-{number}")
    outage = gevent.spawn(run_step, "key-value service down", faults.stop_key_value)
    gevent.sleep(1.0)
    run_step("target killed in the outage", faults.kill_target)
    run_step("instance replaced in the outage", faults.kill_instance)
    run_step("instance paused in the outage", faults.pause_instance)
    gevent.joinall([outage], raise_error=True)
    leaving = gevent.spawn(run_step, "target leaving", faults.mark_target_leaving)
    run_step("instance stopped", faults.stop_instance)
    gevent.joinall([leaving], raise_error=True)
    run_step("leases lapsed", faults.expire_leases)
    run_step("streams cut, late and hanging", faults.disturb_streams)
    run_step("poison request", faults.send_poison)
    gevent.joinall([cancelled], raise_error=True)
    revision_watch.kill()
    return accepted


def _apply_first_files(fleet: Fleet, example: Path) -> None:
    """Apply the example's file set; raise JobCallFailedError if it is rejected."""
    files = {path.name: path.read_text() for path in example.glob("*.toml")}
    operator = Caller(fleet.plan.operator_key)
    message = json.dumps({"base": None, "files": files}).encode()
    response = operator.call(fleet.daemons[0].port, "POST", "/ops/config", message)
    if response.status != 200:
        raise JobCallFailedError(
            f"first file set was not accepted: {response.status} {response.code} {response.text}"
        )


def _wait_until_serving(fleet: Fleet) -> None:
    """Wait until each instance answers a completion request."""
    demo = fleet.plan.demo
    caller = Caller(fleet.plan.keys[demo["online_account"]], timeout_s=5.0)
    body = {"model": demo["online_application"], "prompt": "ready", "max_tokens": 1}
    for member in fleet.daemons:
        port = member.port
        wait_until(
            lambda port=port: caller.complete(port, body).whole, READY_TIMEOUT_S, member.name
        )


def _cancel_job(jobs: Jobs, key: str) -> None:
    """Submit a job and cancel it one second after it was accepted."""
    deadline = time.monotonic() + JOB_DEADLINE_S
    job_id = jobs.submit(key, ITEMS_CANCELLED, deadline)
    gevent.sleep(1.0)
    jobs.cancel(job_id, deadline)


def _check_kept_job(jobs: Jobs, kept_job: gevent.Greenlet, items: int, tally: Tally) -> None:
    """Wait for the job that runs during all rounds and check its results."""
    deadline = time.monotonic() + JOB_END_TIMEOUT_S
    try:
        job_id = kept_job.get(timeout=JOB_END_TIMEOUT_S)
        job = jobs.wait(job_id, deadline)
        tally.seen[f"job_{job['status']}"] += 1
        jobs.check("kept", job_id, items, deadline)
    except (JobCallFailedError, gevent.Timeout) as err:
        tally.record_violation("lost", f"the results of the job can't be read: {err}")


def _check_accepted(jobs: Jobs, accepted: list[tuple[str, str]]) -> None:
    """Check the results of the jobs whose acknowledging instance was killed."""
    deadline = time.monotonic() + JOB_END_TIMEOUT_S
    for key, job_id in accepted:
        jobs.wait(job_id, deadline)
        jobs.check(key, job_id, ITEMS_ACKNOWLEDGED, deadline)


def _check_runs(fleet: Fleet, load: Load, tally: Tally) -> None:
    """Compare the outcomes that callers received with the runs that the targets recorded."""
    service = fleet.plan.demo["plain_path"].split("/")[2]
    runs = Counter(fields[0] for fields in fleet.read_journal(service))
    for name, outcome in load.plain_outcomes.items():
        if runs[name] > 1:
            tally.record_violation("ran_twice", f"{name} ran {runs[name]} times")
        if outcome == "not_run" and runs[name]:
            tally.record_violation("false_not_run", f"{name} was rejected as not run but ran")
        if outcome == "success" and not runs[name]:
            tally.record_violation("lost", f"{name} succeeded but never ran")
    engines = next(t.service for t in fleet.plan.targets if t.kind == "engine")
    prompts = Counter(fields[1] for fields in fleet.read_journal(engines))
    for prompt in load.single_prompts:
        if prompts[prompt] > 1:
            tally.record_violation(
                "ran_twice", f"single prompt {prompt} ran {prompts[prompt]} times"
            )
    for prompt in load.rejected_prompts:
        if prompts[prompt]:
            tally.record_violation(
                "false_not_run", f"prompt {prompt} was rejected as not run but ran"
            )


if __name__ == "__main__":
    main()
