"""Start the whole system on loopback and show its functions step by step.

Usage:
  demo [kirkvoice | lakaz] [--items N]

Options:
  --items N   Items of the batch job [default: 40].
"""

from __future__ import annotations

import json
import os
import shutil
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, Final

import gevent
from docopt import docopt

from clementinepin.cli import run
from standins.caller import Caller, Response
from standins.engine import make_token
from standins.fleet import Fleet, FleetPlan, Member, load_plan, send_json
from standins.processes import ProcessGroup, ProcessNotReadyError, stop_on_signal, wait_until

EXAMPLES: Final = Path("examples")
LOG_TAIL_LINES: Final = 8
STREAM_TOKENS: Final = 150
DRAIN_AFTER_TOKENS: Final = 10
SERVE_WAIT_S: Final = 20.0
STOP_WAIT_S: Final = 15.0


class DemoFailedError(Exception):
    """A step did not have the expected result."""


class Demo:
    """Steps of the demo on one fleet."""

    def __init__(self, name: str, plan: FleetPlan, fleet: Fleet, items: int) -> None:
        self._name = name
        self._plan = plan
        self._fleet = fleet
        self._items = items
        self._started_at = time.monotonic()
        self._caller = Caller(plan.keys[plan.demo["online_account"]])

    def run(self) -> None:
        """Start the fleet and run all steps in order; raise DemoFailedError if one fails."""
        self._print_step(f"start {self._plan.daemons} instances and the stand-ins")
        self._fleet.start()
        self._set_environment()
        self._print_step("apply the file set and wait until it is in force on all instances")
        self._run_command("apply", str(EXAMPLES / self._name), "--wait")
        self._run_command("show", "instances")
        self._run_command("where", "--json")
        self._call_streamed()
        self._call_unstreamed()
        self._call_plain()
        self._run_job()
        self._drain_in_stream()
        self._print_step("all steps had the expected results")

    def _set_environment(self) -> None:
        os.environ["CLEMENTINEPIN_ENTRY"] = ",".join(self._fleet.list_entry_urls())
        os.environ["CLEMENTINEPIN_OPERATOR_KEY"] = self._plan.operator_key
        os.environ["CLEMENTINEPIN_KEY"] = self._plan.keys[self._plan.demo["batch_account"]]

    def _print_step(self, text: str) -> None:
        print(f"[{time.monotonic() - self._started_at:5.1f} s] {text}", flush=True)

    def _run_command(self, *argv: str) -> None:
        print(f"$ clementinepin {' '.join(argv)}", flush=True)
        code = run(list(argv))
        if code:
            raise DemoFailedError(f"clementinepin {argv[0]} exited with {code}")

    def _make_body(self, *, stream: bool, tokens: int) -> dict[str, Any]:
        return {
            "model": self._plan.demo["online_application"],
            "prompt": self._plan.demo["prompt"],
            "max_tokens": tokens,
            "stream": stream,
        }

    def _call_streamed(self) -> None:
        self._print_step("a streamed online call, after the models are loaded")
        port = self._fleet.daemons[0].port
        body = self._make_body(stream=True, tokens=12)

        def is_served() -> bool:
            return self._caller.complete(port, body).whole

        wait_until(is_served, SERVE_WAIT_S, "no target serves the application")
        response = self._caller.complete(port, body)
        self._check_response(response, 12)
        print(f"  {response.text}({response.first_token_s * 1000:.0f} ms to the first token)")

    def _call_unstreamed(self) -> None:
        self._print_step("the same call without streaming, at another instance")
        response = self._caller.complete(
            self._fleet.daemons[1].port, self._make_body(stream=False, tokens=12)
        )
        self._check_response(response, 12)
        print(f"  {response.text}")

    def _check_response(self, response: Response, tokens: int) -> None:
        prompt = self._plan.demo["prompt"]
        expected = "".join(make_token(prompt, index) for index in range(tokens))
        if not response.whole or response.text != expected:
            raise DemoFailedError(
                f"the response is incomplete or wrong: status {response.status}, "
                f"code {response.code!r}"
            )

    def _call_plain(self) -> None:
        path = self._plan.demo["plain_path"]
        self._print_step(
            f"POST {path} may not be repeated: sent twice with the same key, it runs once"
        )
        headers = {"Idempotency-Key": "demo-1", "X-Run-Key": "demo-1"}
        for member in self._fleet.daemons[:2]:
            response = self._caller.call(member.port, "POST", path, b'{"demo":1}', headers)
            print(f"  {response.status} {response.text}")
            if response.status != 200:
                raise DemoFailedError(
                    f"the plain call failed: status {response.status}, code {response.code!r}"
                )
        service = path.split("/")[2]
        target = self._fleet.targets[service][0]
        runs = send_json(target.port, "GET", "/standin/runs")["runs"].get("demo-1")
        if runs != 1:
            raise DemoFailedError(f"the plain call ran {runs} times")

    def _run_job(self) -> None:
        self._print_step(f"submit a batch job of {self._items} items and wait for it")
        file = self._fleet.group.folder / "items.jsonl"
        lines = [self._make_item(number) for number in range(self._items)]
        file.write_text("".join(json.dumps(line) + "\n" for line in lines))
        self._run_command("job", "submit", str(file), "--wait", "--json", "--job-key", "demo")
        self._run_command("job", "list")
        results = self._fleet.group.folder / "results.jsonl"
        job_id = self._find_job()
        self._run_command("job", "results", job_id, "--output", str(results))
        rows = [json.loads(line) for line in results.read_text().splitlines()]
        for row in rows[:3]:
            text = row["response"]["body"]["choices"][0]["text"]
            print(f"  {row['custom_id']}: {text}")
        if [row["custom_id"] for row in rows] != [line["custom_id"] for line in lines]:
            raise DemoFailedError("the job's results are not exactly one per item in order")

    def _make_item(self, number: int) -> dict[str, Any]:
        body = {
            "model": self._plan.demo["batch_application"],
            "prompt": f"{self._plan.demo['item_prompt']} {number}",
            "max_tokens": 8,
        }
        return {
            "custom_id": f"item-{number:04d}",
            "method": "POST",
            "url": "/v1/completions",
            "body": body,
        }

    def _find_job(self) -> str:
        caller = Caller(self._plan.keys[self._plan.demo["batch_account"]])
        response = caller.call(self._fleet.daemons[2].port, "GET", "/v1/batches")
        return str(json.loads(response.text)["data"][0]["id"])

    def _drain_in_stream(self) -> None:
        leaving = self._fleet.daemons[-1]
        self._print_step(
            f"drain {leaving.name} in the middle of a stream of {STREAM_TOKENS} tokens"
        )
        drain_tasks: list[gevent.Greenlet] = []

        def start_drain(count: int, _: str) -> None:
            if count == DRAIN_AFTER_TOKENS:
                drain_tasks.append(gevent.spawn(self._run_command, "drain", leaving.name, "--json"))

        body = self._make_body(stream=True, tokens=STREAM_TOKENS)
        response = self._caller.complete(leaving.port, body, on_token=start_drain)
        self._check_response(response, STREAM_TOKENS)
        gevent.joinall(drain_tasks, raise_error=True)
        self._print_step(f"the stream completed with {response.tokens} tokens")
        self._wait_stopped(leaving)

    def _wait_stopped(self, leaving: Member) -> None:
        code = leaving.process.wait(STOP_WAIT_S)
        if code != 0:
            raise DemoFailedError(f"{leaving.name} ended with exit code {code}, not 0")
        response = self._caller.call(self._fleet.daemons[0].port, "GET", "/v1/entries")
        names = [row["name"] for row in json.loads(response.text)["data"]]
        if leaving.name in names:
            raise DemoFailedError(f"{leaving.name} is still listed in /v1/entries")
        self._print_step(
            f"{leaving.name} stopped with exit code 0; callers are directed to {', '.join(names)}"
        )


def main() -> None:
    """Run the demo; exit with 0 if all steps had the expected results."""
    args = docopt(__doc__ or "")
    stop_on_signal()
    name = "lakaz" if args["lakaz"] else "kirkvoice"
    plan = load_plan(EXAMPLES / name / "demo" / "fleet.toml")
    folder = Path(tempfile.mkdtemp(prefix="clementinepin-demo-"))
    try:
        with ProcessGroup(folder) as group:
            failed = _run(Demo(name, plan, Fleet(plan, group), int(args["--items"])), folder)
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    sys.exit(1 if failed else 0)


def _run(demo: Demo, folder: Path) -> bool:
    """Run the demo and return whether it failed; then also print the ends of the logs."""
    try:
        demo.run()
    except (DemoFailedError, ProcessNotReadyError) as err:
        print(f"demo failed: {err}", file=sys.stderr)
        _print_logs(folder)
        return True
    return False


def _print_logs(folder: Path) -> None:
    for path in sorted(folder.glob("*.log")):
        lines = path.read_text(errors="replace").splitlines()[-LOG_TAIL_LINES:]
        if lines:
            print(f"--- {path.name}", *lines, sep="\n", file=sys.stderr)


if __name__ == "__main__":
    main()
