"""Compare dispatch policies on deployments drawn at random, in virtual time.

Usage: python -m bench.experiment [--draws N] [--plot FILE] [--short] [POLICY...]

Each load kind is drawn N times: engines and slots, run times, objectives, timeouts and due times
vary over a factor of ten. All policies get equal draws. POLICY is a baseline, or "without-" and the
name of a mechanism; without any, the present policy and the baselines are compared. The same
version gives the same figures.
"""

from __future__ import annotations

import multiprocessing
import random
import statistics
import sys
from collections.abc import Callable
from typing import Any, Final, NamedTuple

import msgspec

from bench.load_model import Deployment, Policy, Simulation, Work
from bench.load_policies import BlindPolicy, DispatchPolicy
from bench.loads import make_items, make_online
from clementinepin.tables.dispatch import QueueOrder
from clementinepin.tables.mechanisms import Mechanism

DRAWS: Final = 12
SLOTS_TOTAL_MAX: Final = 160  # a larger fleet multiplies the time of a run, not what it shows
LOAD_RUNS: Final = 45  # length of a load in mean run times of callers
LATE_ITEM_WORTH: Final = 0.1  # of an item on time
BASELINES: Final = ("returned-first", "own-counts")
PROCESSES: Final = 2


class Draw(NamedTuple):
    """One deployment with its load: ``rate`` is callers per second, ``until`` its length in s."""

    deployment: Deployment
    rate: Callable[[float], float]
    until: float
    tokens: float
    item_tokens: float
    item_groups: tuple[tuple[float, int], ...]


class Outcome(NamedTuple):
    """Shares of callers and items, and ``worth``: their mean value by the work they bring."""

    on_time: float
    after_return: float
    late: float
    never: float
    items_on_time: float
    worth: float


def draw_deployment(rng: random.Random) -> tuple[Deployment, float, float]:
    """Return a deployment and the mean tokens of callers and items."""
    slots = rng.choice((2, 4, 8, 16, 32))
    engines = rng.randint(2, max(2, min(60, SLOTS_TOTAL_MAX // slots)))
    step_s = 0.0035 * 10 ** rng.uniform(-0.5, 0.5)
    tokens = 185 * 10 ** rng.uniform(-0.5, 0.5)
    item_tokens = tokens * rng.uniform(3.0, 9.0)
    objective_s = 0.3 * 10 ** rng.uniform(-0.4, 0.6)
    patience_s = max(2.0, 4.0 * objective_s)
    speeds = tuple(rng.choice((1.0, 1.0, 1.3)) for _ in range(engines))
    return (
        Deployment(
            engines=engines,
            slots=slots,
            step_s=step_s,
            step_slot_s=step_s * 0.013,
            objective_s=objective_s,
            patience_s=patience_s,
            timeout_s=patience_s * rng.uniform(1.5, 4.0),
            due_s=item_tokens * step_s * rng.uniform(2.0, 5.0),
            speeds=speeds,
        ),
        tokens,
        item_tokens,
    )


def make_shape(kind: str, length_s: float, rng: random.Random) -> Callable[[float], float]:
    """Return the load of callers, as a share of all slots, by time in seconds."""
    low, high = rng.uniform(0.1, 0.4), rng.uniform(0.8, 1.6)
    period_s, duty = length_s / rng.uniform(4.0, 9.0), rng.uniform(0.3, 0.6)
    if kind == "steady":
        level = rng.uniform(0.4, 0.9)
        return lambda _now: level
    if kind == "ramped":
        return lambda now: low + (high - low) * (1.0 - abs(2.0 * now / length_s - 1.0))
    if kind == "lasting":
        level = rng.uniform(1.3, 2.5)
        return lambda now: level if length_s * 0.2 <= now < length_s * 0.6 else low
    if kind in ("lost", "slow"):
        high = rng.uniform(0.6, 1.0)
    return lambda now: high if now % period_s >= period_s * (1.0 - duty) else low


KINDS: Final = ("square", "steady", "ramped", "lasting", "lost", "slow")


def make_draw(kind: str, number: int) -> Draw:
    """Return one draw of a load kind."""
    rng = random.Random(f"{kind}-{number}")
    deployment, tokens, item_tokens = draw_deployment(rng)
    run_s = tokens * deployment.step_s
    until = LOAD_RUNS * run_s
    shape = make_shape(kind, until, rng)
    count = max(1, round(deployment.engines * rng.uniform(0.2, 0.5)))
    if kind == "lost":
        outages = tuple((n, until * 0.3, until * 0.6) for n in range(count))
        deployment = deployment._replace(outages=outages)
    if kind == "slow":
        slow = tuple(
            rng.uniform(2.0, 5.0) if n < count else s for n, s in enumerate(deployment.speeds)
        )
        deployment = deployment._replace(speeds=slow)
    slots = deployment.engines * deployment.slots
    mean = statistics.mean(shape(until * n / 200) for n in range(200))
    spare = max(0.1, 1.0 - mean) * rng.uniform(0.4, 1.1)
    groups_at = [until * n / 12 for n in range(10)]
    items = max(1, round(slots * spare * until / (item_tokens * deployment.step_s) / 10))
    capacity = slots / run_s
    return Draw(
        deployment,
        lambda now: capacity * shape(now),
        until,
        tokens,
        item_tokens,
        tuple((at, items) for at in groups_at),
    )


def make_works(draw: Draw, seed: int) -> list[Work]:
    """Return the callers' requests and the items of a draw."""
    rng = random.Random(seed)
    works = list(make_online(rng, draw.rate, draw.until, tokens_mean=draw.tokens))
    for number, (at, count) in enumerate(draw.item_groups):
        first = 1_000_000 + number * 10_000
        works += make_items(rng, at, count, first, tokens_mean=draw.item_tokens)
    return works


def make_policy(name: str, deployment: Deployment) -> Policy:
    """Return a policy by its name in the table."""
    if name == "own-counts":
        return BlindPolicy(6)
    if name == "returned-first":
        return DispatchPolicy(deployment, QueueOrder.RETURNED_FIRST)
    disabled = frozenset({Mechanism(name.removeprefix("without-"))} if name != "present" else ())
    return DispatchPolicy(deployment, disabled=disabled)


def play(kind: str, number: int, policy: str) -> Outcome:
    """Play one draw under a policy."""
    draw = make_draw(kind, number)
    works = make_works(draw, number)
    sim = Simulation(draw.deployment, number)
    end = draw.until + 3 * draw.deployment.due_s
    sim.run(make_policy(policy, draw.deployment), works, end)
    return measure(sim, works)


def measure(sim: Simulation, works: list[Work]) -> Outcome:
    """Return what callers and items got."""
    callers = list(sim.worth.values())
    items = [work for work in works if work.is_batch]
    due_s = sim.deployment.due_s
    done = [sim.items_done.get(w.number, float("inf")) - w.arrives_at for w in items]
    on_time = sum(s <= due_s for s in done)
    late = sum(due_s < s < float("inf") for s in done)
    online_work = sum(w.tokens * sim.worth[w.number] for w in works if not w.is_batch)
    item_work = sum(
        w.tokens * (1.0 if s <= due_s else LATE_ITEM_WORTH if s < float("inf") else 0.0)
        for w, s in zip(items, done, strict=True)
    )
    assert on_time + late <= len(items)
    return Outcome(
        sum(value == 1.0 for value in callers) / len(callers),
        sum(value == 0.57 for value in callers) / len(callers),
        sum(value == 0.15 for value in callers) / len(callers),
        sum(value == 0.0 for value in callers) / len(callers),
        on_time / max(1, len(items)),
        (online_work + item_work) / sum(w.tokens for w in works),
    )


def average(outcomes: list[Outcome]) -> Outcome:
    """Return the mean of each figure."""
    return Outcome(*(statistics.mean(values) for values in zip(*outcomes, strict=True)))


def compare(policies: list[str], draws: int) -> list[dict[str, Any]]:
    """Return one row a load kind and policy, with the worst and mean difference to the first."""
    tasks = [(kind, n, policy) for kind in KINDS for policy in policies for n in range(draws)]
    with multiprocessing.Pool(PROCESSES) as pool:
        results = dict(zip(tasks, pool.starmap(play, tasks, chunksize=1), strict=True))
    rows = []
    for kind in KINDS:
        for policy in policies:
            outcomes = [results[kind, n, policy] for n in range(draws)]
            gains = [
                outcome.worth - results[kind, n, policies[0]].worth
                for n, outcome in enumerate(outcomes)
            ]
            mean = {k: round(v, 3) for k, v in average(outcomes)._asdict().items()}
            spread = round(statistics.pstdev(gains), 3)
            row = {"load": kind, "policy": policy, **mean, "gain": round(statistics.mean(gains), 3)}
            rows.append({**row, "spread": spread, "least": round(min(gains), 3)})
    return rows


def plot(rows: list[dict[str, Any]], path: str) -> None:
    """Write a bar chart of the worth by load kind and policy."""
    import matplotlib.pyplot as plt

    policies = list(dict.fromkeys(row["policy"] for row in rows))
    width = 0.8 / len(policies)
    _, axes = plt.subplots(figsize=(10, 4))
    for index, policy in enumerate(policies):
        worths = [row["worth"] for row in rows if row["policy"] == policy]
        axes.bar([n + index * width for n in range(len(KINDS))], worths, width, label=policy)
    axes.set_xticks([n + 0.4 - width / 2 for n in range(len(KINDS))], KINDS)
    axes.set_ylabel("worth, share of all work")
    axes.legend(fontsize="small")
    plt.tight_layout()
    plt.savefig(path)


def main() -> None:
    """Print one line per load kind and policy, then all rows as one JSON object."""
    arguments = sys.argv[1:]
    draws, path = DRAWS, ""
    if "--short" in arguments:
        arguments.remove("--short")
        draws = 1
    for name in ("--draws", "--plot"):
        if name in arguments:
            position = arguments.index(name)
            value = arguments[position + 1]
            del arguments[position : position + 2]
            draws, path = (int(value), path) if name == "--draws" else (draws, value)
    rows = compare(["present", *(arguments or BASELINES)], draws)
    for row in rows:
        print("  ".join(f"{name} {value}" for name, value in row.items()))
    if path:
        plot(rows, path)
    print(msgspec.json.encode({"rows": rows}).decode())


if __name__ == "__main__":
    main()
