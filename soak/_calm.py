"""Checks of guarantees that hold some seconds after the last fault of an instance.

A part of prompts that crashes engines reaches them a few times only, while sound requests with the
same first part are served, and no part is blamed for an outage of all engines. Engines get no more
requests than the limit that they name. Callers of an instance that is cut off from all engines are
served as others are. Engines that say that they leave get no further requests. Engines that join
behind odd entries are used. A planned stop of an entry, a job runner and an engine at the same
moment cuts no request off.
"""

from __future__ import annotations

import signal

import gevent

from soak._callers import Callers
from soak._fleet import GRACE_PERIOD_S, SERVICE, Fleet
from soak._kept import KeptCaller, PlannedStop, list_broken
from soak._odd_entries import list_forms

CONTACT_S = 3.0  # until a crash or a limit is known everywhere
CRASHES_TO_KNOW = 5
SENT_LATER_MAX = 3
PHASE_S = 8.0
CRASHING_SHARE = 0.5  # of streams, so that many more than the allowed ones come
SERVED_SHARE_MIN = 0.5  # of sound streams, while crashing ones still come
LIMIT_PER_S = 3.0
LIMIT_WINDOW_S = 4.0
LIMIT_SHARE = 1.5  # of the limit, and LIMIT_ALLOWANCE requests, are allowed in a window
LIMIT_ALLOWANCE = 5
DRAIN_TIMEOUT_S = 2.0
STOP_AFTER_S = 1.0
ABORT_S = 0.5
POLL_S = 0.005
KEPT_CALLERS = 8  # for each entry; together they have more requests than the engines have slots
SIGNAL_GAP_S = 0.5
LEAVING_SHARE = 1 / 3  # of all engines
CUT_SERVED_SHARE_MIN = 2 / 3  # of the share that the other instances serve
CUT_FAILED_ALLOWANCE = 10  # and one in CUT_FAILED_EACH of all first tries
CUT_FAILED_EACH = 50
BEHIND = ("behind0", "behind1", "behind2")
ODD_BEFORE_S = 0.3
ODD_SERVED_SHARE_MIN = 0.5
OUTAGE_S = 4.5
OUTAGE_BURST = 4  # streams for each engine that have just begun when all crash
BURST_S = 0.4
FINISH_DEADLINE_S = 18.0  # of the items of a job, behind the outage
IDLE_MAX_S = 5.0  # later, while no item of any job is listed


def check_crashing_part(fleet: Fleet, callers: Callers, rate: float) -> None:
    """Send requests, a share of which has a new crashing part; count how many of these run."""
    fleet.crashing_parts.clear()
    fleet.crashing_parts.add("worst")
    gevent.sleep(CONTACT_S)
    callers.crashing_share = CRASHING_SHARE
    callers.run(fleet.now() + PHASE_S, rate)
    runs = [run.started_at for run in fleet.run_log.runs if "worst" in run.parts]
    if len(runs) >= CRASHES_TO_KNOW:
        known_at = runs[CRASHES_TO_KNOW - 1] + CONTACT_S
        sent_later = sum(at > known_at for at in runs)
        if sent_later > SENT_LATER_MAX:
            callers.broken.append(f"a part that crashed 5 engines reached {sent_later} more")
    before = dict(callers.statuses)
    fleet.crashing_parts.clear()
    callers.run(fleet.now() + CONTACT_S, rate)
    counts = {status: n - before.get(status, 0) for status, n in callers.statuses.items()}
    if counts.get(200, 0) < SERVED_SHARE_MIN * sum(counts.values()):
        callers.broken.append(f"sound streams beside a crashing part ended with {counts}")


def check_outage(fleet: Fleet, callers: Callers, rate: float) -> None:
    """Crash all engines at once under streams and items that share the first part of their prompts.

    No request crashes engines, so that all are served behind the outage. A backlog may last longer
    than the deadline of its items as long as some are listed.
    """
    fleet.crashing_parts.clear()
    first_parts, callers.first_parts = callers.first_parts, 1
    callers.run(fleet.now() + CONTACT_S, rate)
    names = [name for name, target in fleet.targets.items() if target.service == SERVICE]
    burst = [gevent.spawn(callers.send_stream, "once") for _ in range(OUTAGE_BURST * len(names))]
    until, begun_at = fleet.now() + BURST_S, fleet.now()
    while fleet.now() < until:
        gevent.sleep(POLL_S)
        reached = {run.target for run in fleet.run_log.runs if run.started_at > begun_at}
        if reached.issuperset(names):
            break
    for name in list(fleet.targets):
        fleet.crash_target(name, OUTAGE_S)
    back_at = fleet.now() + OUTAGE_S
    callers.run(back_at + 2 * CONTACT_S, rate)
    callers.run(fleet.now() + PHASE_S, rate)
    gevent.joinall(burst)
    callers.first_parts = first_parts
    served = [t.is_served for t in callers.tries if t.sent_at > back_at + 2 * CONTACT_S]
    if sum(served) < SERVED_SHARE_MIN * len(served):
        callers.broken.append(f"{sum(served)} of {len(served)} streams served behind an outage")
    listed, listed_at = 0, fleet.now()
    while unfinished_jobs := callers.read_jobs():
        if len(callers.results_by_position) > listed:
            listed, listed_at = len(callers.results_by_position), fleet.now()
        if fleet.now() > max(back_at + FINISH_DEADLINE_S, listed_at + IDLE_MAX_S):
            break
        gevent.sleep(0.5)
    callers.broken += [f"{job}: items not listed behind an outage" for job in unfinished_jobs]


def check_limits(fleet: Fleet, callers: Callers, rate: float) -> None:
    """Let all engines name a limit; count the runs that each gets in a window."""
    limited_at = fleet.now()
    for target in fleet.targets.values():
        target.limit_per_s = LIMIT_PER_S
    callers.run(limited_at + CONTACT_S + PHASE_S, rate)
    for name, target in fleet.targets.items():
        target.limit_per_s = None
        runs = [run.started_at for run in fleet.run_log.runs if run.target == name]
        late = [at for at in runs if at > limited_at + CONTACT_S]
        most = max((sum(at <= b < at + LIMIT_WINDOW_S for b in late) for at in late), default=0)
        if most > LIMIT_SHARE * LIMIT_PER_S * LIMIT_WINDOW_S + LIMIT_ALLOWANCE:
            callers.broken.append(f"{name} got {most} requests beside a limit of {LIMIT_PER_S}")


def check_cut_links(fleet: Fleet, callers: Callers, rate: float) -> None:
    """Cut all links to engines of most entries; compare how many callers they and others serve."""
    fronts = [instance for instance in fleet.instances if instance.is_front]
    cut = fronts[1:]
    ports = [proxy.port for proxy in fleet.proxies.values()]
    cut_at = fleet.now()
    new, opened = fleet.random.choice((("hang", "hang"), ("refuse", "none"), ("refuse", "reset")))
    for instance in cut:
        instance.cut_links(ports, new, opened)
    callers.run(cut_at + CONTACT_S + PHASE_S, rate)
    for instance in cut:
        instance.cut_links([], "", "")
    tries = [t for t in callers.tries if t.sent_at > cut_at + CONTACT_S]
    cut_ips = {instance.ip for instance in cut}
    near = [t.is_served for t in tries if t.ip in cut_ips]
    far = [t.is_served for t in tries if t.ip not in cut_ips]
    failed = len(near) - sum(near)
    share = sum(near) / max(1, len(near))
    other_share = sum(far) / max(1, len(far))
    allowed = CUT_FAILED_ALLOWANCE + len(tries) / CUT_FAILED_EACH
    if share < CUT_SERVED_SHARE_MIN * other_share and failed > allowed:
        callers.broken.append(
            f"cut-off entries ({new}, {opened}) served {sum(near)} of {len(near)} tries, "
            f"others {sum(far)} of {len(far)}"
        )


def check_leaving(fleet: Fleet, callers: Callers, rate: float) -> None:
    """Let a third of the engines say that they leave, and go on; count what they get later."""
    names = sorted(fleet.targets)
    names = names[: max(1, round(len(names) * LEAVING_SHARE))]
    engines = [fleet.targets[name] for name in names]
    for engine in engines:
        engine.says_leaving = True
    callers.run(fleet.now() + CONTACT_S + PHASE_S, rate)
    for engine in engines:
        told_at = engine.leaving_told_at
        if told_at is None:
            continue
        # Each instance hears of it at the latest with its own first response, which follows the
        # others' at once where they tell each other.
        late_after = told_at + CONTACT_S + DRAIN_TIMEOUT_S
        late = [
            r for r in fleet.run_log.runs if r.target == engine.name and r.started_at > late_after
        ]
        if late:
            callers.broken.append(f"{engine.name} got {len(late)} requests after it said it leaves")


def check_odd_entries(fleet: Fleet, callers: Callers, rate: float) -> None:
    """Leave odd entries of all forms; only engines that join behind them may serve callers."""
    for number, value in enumerate(list_forms(fleet.random)):
        fleet.gateway.state.put(f"servers/form{number}", value, None)
    gevent.sleep(ODD_BEFORE_S)
    others = sorted(fleet.targets)
    for name in BEHIND:
        fleet.add_target(name)
    for name in others:
        fleet.unregister_target(name)
    joined_at = fleet.now()
    callers.run(joined_at + CONTACT_S + PHASE_S, rate)
    for instance in (i for i in fleet.instances if i.is_front):
        tries = [t for t in callers.tries if t.ip == instance.ip]
        served = [t.is_served for t in tries if t.sent_at > joined_at + CONTACT_S]
        if sum(served) < ODD_SERVED_SHARE_MIN * len(served):
            callers.broken.append(
                f"{instance.name} served {sum(served)} of {len(served)} behind odd entries"
            )
    late = [r for r in fleet.run_log.runs if r.started_at > joined_at + CONTACT_S]
    gone = [r for r in late if r.target in others]
    if gone or not late:
        callers.broken.append(
            f"behind odd entries {len(gone)} of {len(late)} runs were at engines" " that had gone"
        )
    for name in others:
        fleet.register_again(name)
    gevent.sleep(CONTACT_S)
    for name in BEHIND:
        fleet.remove_target(name)


def check_planned_stop(fleet: Fleet, callers: Callers) -> None:
    """Stop an entry, a job runner and an engine at once, under callers that keep connections.

    Orders to reload and to stop once more come in the grace period.
    """
    fleet.add_target("planned")
    fronts = [instance for instance in fleet.instances if instance.is_front]
    runners = [instance for instance in fleet.instances if not instance.is_front]
    stopped = [fronts[-1], fleet.random.choice(runners)]
    kept = [
        KeptCaller(fleet, instance.ip, f"{instance.name}k{number}")
        for instance in fronts
        for number in range(KEPT_CALLERS)
    ]
    until = fleet.now() + STOP_AFTER_S + GRACE_PERIOD_S + CONTACT_S
    running = [gevent.spawn(caller.run, until) for caller in kept]
    gevent.sleep(STOP_AFTER_S)
    fleet.drain_target("planned")
    stops = [PlannedStop(instance.ip, fleet.now()) for instance in stopped]
    for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
        for instance in stopped:
            instance.send(number)
        gevent.sleep(SIGNAL_GAP_S)
    gevent.sleep(DRAIN_TIMEOUT_S)
    fleet.remove_target("planned")
    gevent.joinall(running)
    for instance in stopped:
        if instance.is_running():
            callers.broken.append(f"{instance.name} still runs after its grace period")
            instance.send(signal.SIGABRT)
            gevent.sleep(ABORT_S)
            instance.end()
        instance.start()
    callers.broken += list_broken(fleet, kept, stops)
    if not any(caller.served for caller in kept):
        callers.broken.append("no caller that keeps its connection was served")
