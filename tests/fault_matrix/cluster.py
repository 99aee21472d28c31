"""Cluster of batch components in virtual time, with faults at named steps of a job's life.

The fault names with "service" and "reply" are about the key-value service.
"""

from __future__ import annotations

from collections import Counter

import gevent
import msgspec
from gevent.event import Event

from clementinepin.batch._codec import name_job
from clementinepin.core import InstancesChanged
from clementinepin.exceptions import ClementinepinError, Outcome
from clementinepin.helpers.rows import decode_row
from clementinepin.infrastructure import ListedInstance
from clementinepin.infrastructure.exceptions import ReplyLostError
from clementinepin.storage import create_segment_store
from clementinepin.tables import JobRow, JobState, ShardRow
from clementinepin.targets import StreamChunk
from clementinepin.targets.exceptions import TargetLostError, TargetRejectedError
from standins.key_value import KeyValueState, MemoryKeyValueStore
from tests.batch import fakes
from tests.storage.fakes import MemoryDisk, Network, write_folder_id

FAULTS = (
    "worker dies",
    "instance lost",
    "resend",
    "service down",
    "service slow",
    "reply lost",
    "reply lost during outage",
    "lease expired during pause",
    "poison",
    "truncated answers",
    "disk lost",
    "clean stop",
)
STEPS = (
    "accept",
    "segment written",
    "shard claimed",
    "dispatched",
    "result received",
    "result committed",
    "cancel marked",
    "sealed",
)
ITEMS = 40
SLOTS = 4
CHUNK_S = 1.0
SLOW_S = 3.0
REPLACEMENT_DELAY_S = 20.0
OUTAGE_S = 150.0
PAUSE_S = 120.0
POISON_PROMPT = "p3"
ROUND_S = 1.0
SWITCHES_PER_ROUND = 8


class Target:
    """The engines that one node calls; ``break_streams`` ends all running streams."""

    def __init__(self, node):
        self.node = node
        self.generation = 0
        self.runs = Counter()

    def break_streams(self):
        self.generation += 1

    def generate(self, request):
        cluster, generation = self.node.cluster, self.generation
        prompt = request.body["prompt"]
        self.runs[prompt] += 1
        self.node.on_step("dispatched")
        texts = ("re:", prompt)
        for n in range(request.resume_tokens, 2):
            cluster.wait(CHUNK_S)
            self.node.wait_while_paused()
            if generation != self.generation:
                raise TargetLostError(prompt)
            if cluster.poisoned and prompt == POISON_PROMPT:
                raise TargetRejectedError(500, b"")
            if n == 1:
                self.node.on_step("result received")
            if n == 1 and prompt in cluster.truncated:
                cluster.truncated.discard(prompt)
                return
            yield StreamChunk(b"", texts[n], 1, n == 1, "stop" if n == 1 else None)


class Node:
    """An instance that can be lost, paused or stopped at any call.

    ``before`` and ``after`` are the hooks that its key-value store runs around each call.
    """

    def __init__(self, cluster, name, with_disk):
        self.cluster = cluster
        self.name = name
        self.dead = False
        self.resumed = Event()
        self.resumed.set()
        self.core = fakes.create_core(cluster.clock, name, seed=sum(name.encode()))
        if with_disk:
            self.core.settings.storage.folder = "/d"
            self.core.settings.storage.budget_bytes = 10**9
        self.key_value = MemoryKeyValueStore(cluster.clock, cluster.state)
        self.key_value.hook = self
        self.disk = MemoryDisk(cluster.clock)
        write_folder_id(self.disk, name)
        peers = cluster.network.connect(name)
        self.segments = create_segment_store(self.core, self.key_value, peers, self.disk)
        if with_disk:
            self.segments._budget.take = lambda *args: False
            self.segments._open_folder()
        self.scheduler = fakes.FakeScheduler(SLOTS)
        self.target = Target(self)
        self.batch = fakes.create_batch(
            self.core, self.key_value, self.segments, self.scheduler, lambda address: self.target
        )
        self._step_greenlet = gevent.spawn(lambda: None)

    def before(self, call, key):
        self.wait_while_paused()
        if self.cluster.slow_until > self.cluster.clock.now:
            self.cluster.wait(SLOW_S)
            self.wait_while_paused()

    def after(self, call, key):
        if call == "put":
            for step in self.cluster.list_steps(key):
                self.on_step(step, key)
        self.wait_while_paused()

    def on_step(self, step, key=""):
        """Report a step; ``key`` is the key whose write completed it, if any."""
        self.cluster.on_step(self, step, key)

    def wait_while_paused(self):
        """Block while the instance is paused; end the current greenlet if the instance is lost."""
        self.resumed.wait()
        if self.dead:
            raise gevent.GreenletExit

    def lose(self):
        """Lose the instance: nothing it does takes effect any more. An empty one replaces it."""
        self.dead = True
        self.cluster.network.down.add(self.name)
        self.cluster.call_later(REPLACEMENT_DELAY_S, self.cluster.add_node)

    def tick(self):
        """Start one pass of the periodic steps unless the last one is still running."""
        if not self.dead and self._step_greenlet.ready():
            self._step_greenlet = gevent.spawn(self._run_steps)

    def _run_steps(self):
        batch = self.batch
        steps = [
            batch._follower.list_rows,
            batch._check_jobs,
            batch._claim,
            batch._dispatcher.step,
            batch._keeper.step,
            self.segments._maintain,
        ]
        for step in steps:
            try:
                step()
            except ClementinepinError:
                continue


class Cluster:
    """Nodes that share one key-value state.

    ``plan`` has a (step, fault) pair for each fault that is still to be injected. ``background``
    has the greenlets of resent submissions and clean stops, ``owners_after_stop`` the owners of
    unsealed shards after a clean stop.
    """

    def __init__(self, clock, plan=(), with_disk=False):
        self.clock = clock
        self.state = KeyValueState()
        self.network = Network()
        self.plan = []
        self.faulted_nodes = []
        self.poisoned = False
        self.truncated = set()
        self.slow_until = 0.0
        self.timers = []
        self.owners_after_stop = []
        self.call_errors = []
        self.background = []
        self.with_disk = with_disk
        self.nodes = []
        for _ in range(3):
            self.add_node()
        for node in self.nodes:
            node.segments._maintain()
        for node in self.nodes:
            node.segments._directory.refresh()
        file = self.nodes[0].batch.store_file(
            fakes.ACCOUNT, "f", "batch", [fakes.build_input(ITEMS)]
        )
        self.file_id = file.file_id
        self.plan = list(plan)

    def add_node(self):
        self.nodes.append(Node(self, f"i{len(self.nodes) + 1}", self.with_disk))

    def wait(self, seconds):
        """Wait for a number of seconds of virtual time."""
        until = self.clock.now + seconds
        while self.clock.now < until:
            gevent.sleep(0)

    def call_later(self, seconds, function):
        self.timers.append((self.clock.now + seconds, function))

    def list_alive(self):
        return [node for node in self.nodes if not node.dead]

    def list_steps(self, key):
        """Return the steps of a job that a write of this key completes."""
        row = self.state.get(key)
        if row is None:
            return []
        if key.startswith("segments/"):
            return ["segment written"] if self.state.list_range("shards/", "shards0", 1) else []
        if key.startswith("jobs/"):
            state = decode_row(row.value, JobRow).state
            names = {JobState.IN_PROGRESS: "accept", JobState.CANCELLING: "cancel marked"}
            return [names[state]] if state in names else []
        if not key.startswith("shards/"):
            return []
        shard = decode_row(row.value, ShardRow)
        if not shard.commits and not shard.sealed:
            return ["shard claimed"]
        return ["result committed"] * bool(shard.commits) + ["sealed"] * shard.sealed

    def on_step(self, node, step, key):
        """Inject the faults that are planned for a step at the node that reached it."""
        for planned_fault in [pair for pair in self.plan if pair[0] == step]:
            self.plan.remove(planned_fault)
            self.faulted_nodes.append(node)
            getattr(self, "_inject_" + planned_fault[1].replace(" ", "_"))(node, key)

    def advance(self, rounds=1):
        """Run rounds of ``ROUND_S`` virtual seconds: due timers, then a tick of each node."""
        for _ in range(rounds):
            self.clock.advance(ROUND_S)
            due = [function for at, function in self.timers if at <= self.clock.now]
            self.timers = [timer for timer in self.timers if timer[0] > self.clock.now]
            for function in due:
                function()
            for node in self.nodes:
                node.tick()
            for _ in range(SWITCHES_PER_ROUND):
                gevent.sleep(0)

    def advance_until(self, check, rounds=900):
        """Advance until the check holds; fail after the given number of rounds."""
        for _ in range(rounds):
            if check():
                return
            self.advance()
        raise AssertionError("the awaited state was not reached")

    def call(self, method, *args):
        """Call a node as a client does.

        Return the answer, or None if the call failed or the node was lost or paused meanwhile.
        """
        self.advance_until(self.list_alive)
        alive = self.list_alive()
        node = alive[self.clock.now.__hash__() % len(alive)]
        greenlet = gevent.spawn(getattr(node.batch, method), *args)
        self.advance_until(lambda: greenlet.ready() or node.dead or not node.resumed.is_set())
        if greenlet.ready() and not greenlet.successful():
            self.call_errors.append(greenlet.exception)
        if not greenlet.ready() or not greenlet.successful():
            return None
        return None if isinstance(greenlet.value, gevent.GreenletExit) else greenlet.value

    def call_until_answered(self, method, *args):
        """Resend the call until it is answered; fail after 300 attempts."""
        for _ in range(300):
            answer = self.call(method, *args)
            if answer is not None:
                return answer
            self.advance(3)
        raise AssertionError(f"{method} was never answered")

    def submit(self):
        args = (fakes.ACCOUNT, "key", self.file_id, fakes.ENDPOINT, self.clock.now + 3600.0)
        key = f"jobs/{fakes.ACCOUNT}/{name_job(fakes.ACCOUNT, 'key').removeprefix('batch_')}"
        return self.call_and_check("submit", args, lambda: self.state.get(key) is not None)

    def cancel(self, job_id):
        cancel_states = (JobState.CANCELLING, JobState.CANCELLED)
        args = (fakes.ACCOUNT, job_id)
        return self.call_and_check(
            "cancel", args, lambda: self.read_job(job_id).state in cancel_states
        )

    def call_and_check(self, method, args, took_effect):
        """Resend the call until it is answered.

        Fail if a call was rejected as not run although it took effect.
        """
        for _ in range(300):
            before, count = took_effect() or bool(self.background), len(self.call_errors)
            answer = self.call(method, *args)
            if answer is not None:
                return answer
            rejected = [e for e in self.call_errors[count:] if e.outcome is Outcome.NOT_RUN]
            assert before or self.background or not rejected or not took_effect(), rejected
            self.advance(3)
        raise AssertionError(f"{method} was never answered")

    def describe(self, job_id):
        return self.call_until_answered("describe", fakes.ACCOUNT, job_id)

    def read_job(self, job_id):
        """Return the job's record from the key-value state, without a call to a node."""
        row = self.state.get(f"jobs/{fakes.ACCOUNT}/{job_id.removeprefix('batch_')}")
        return decode_row(row.value, JobRow)

    def read_results(self, job_id):
        """Return the job's results as a caller reads them at one of the instances."""
        self.advance_until(self.list_alive)
        node = self.list_alive()[-1]
        read = gevent.spawn(lambda: b"".join(node.batch.read_results(fakes.ACCOUNT, job_id)))
        self.advance_until(read.ready)
        return [msgspec.json.decode(line) for line in read.get().splitlines()]

    def list_shards(self, job_id):
        prefix = f"shards/{job_id}/"
        rows = self.state.list_range(prefix, f"shards/{job_id}0", 0)
        return {row.key: decode_row(row.value, ShardRow) for row in rows}

    def list_all_shards(self):
        rows = self.state.list_range("shards/", "shards0", 0)
        return [decode_row(row.value, ShardRow) for row in rows]

    def publish_instances(self):
        """Publish the platform's instance list to each live instance."""
        rows = tuple(
            ListedInstance(n.name, "clementinepin", "127.0.0.1", 1, 2, "dc", "r", "live")
            for n in self.list_alive()
        )
        for node in self.list_alive():
            node.core.publish(InstancesChanged(rows))

    def _inject_worker_dies(self, node, key):
        for other in self.nodes:
            other.target.break_streams()

    def _inject_instance_lost(self, node, key):
        node.lose()
        self.call_later(REPLACEMENT_DELAY_S + 1.0, self.publish_instances)

    def _inject_resend(self, node, key):
        args = (fakes.ACCOUNT, "key", self.file_id, fakes.ENDPOINT, self.clock.now + 3600.0)
        self.background += [gevent.spawn(other.batch.submit, *args) for other in self.nodes[1:]]

    def _inject_service_down(self, node, key):
        self._set_down(True)
        self.call_later(OUTAGE_S, lambda: self._set_down(False))

    def _inject_service_slow(self, node, key):
        self.slow_until = self.clock.now + 60.0

    def _inject_reply_lost(self, node, key):
        if key:
            raise ReplyLostError(key)
        node.key_value.replies_to_lose = 2

    def _inject_reply_lost_during_outage(self, node, key):
        self._inject_service_down(node, key)
        if key:
            raise ReplyLostError(key)

    def _inject_truncated_answers(self, node, key):
        self.truncated = {f"p{n}" for n in range(ITEMS)}

    def _inject_lease_expired_during_pause(self, node, key):
        node.resumed.clear()
        self.call_later(PAUSE_S, node.resumed.set)

    def _inject_poison(self, node, key):
        self.poisoned = True

    def _inject_disk_lost(self, node, key):
        node.disk.files.clear()

    def _inject_clean_stop(self, node, key):
        self.background.append(gevent.spawn(self._stop, node))

    def _stop(self, node):
        node.core.drain(self.clock.now + 30.0)
        node.batch.stop(self.clock.now + 30.0)
        self.owners_after_stop = [row.owner for row in self.list_all_shards() if not row.sealed]
        node.lose()

    def _set_down(self, down):
        for node in self.nodes:
            node.key_value.down = down
