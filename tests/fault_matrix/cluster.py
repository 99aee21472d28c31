"""Several batch components in virtual time, with faults at named steps of a job's life."""

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
from clementinepin.targets.exceptions import TargetLostError
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
    "reply lost in an outage",
    "lease lapsed in a pause",
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
REPLACE_S = 20.0
OUTAGE_S = 150.0
PAUSE_S = 120.0
POISON = "p3"
ROUND_S = 1.0
SWITCHES = 8


class Target:
    """Engines behind one node; ``lose_all`` breaks each stream that runs now."""

    def __init__(self, node):
        self.node = node
        self.generation = 0
        self.runs = Counter()

    def lose_all(self):
        self.generation += 1

    def generate(self, request):
        cluster, generation = self.node.cluster, self.generation
        prompt = request.body["prompt"]
        self.runs[prompt] += 1
        self.node.reach("dispatched")
        texts = ("re:", prompt)
        for n in range(request.resume_tokens, 2):
            cluster.wait(CHUNK_S)
            self.node.pass_gate()
            if generation != self.generation or (cluster.poisoned and prompt == POISON):
                raise TargetLostError(prompt)
            if n == 1:
                self.node.reach("result received")
            if n == 1 and prompt in cluster.truncated:
                cluster.truncated.discard(prompt)
                return
            yield StreamChunk(b"", texts[n], 1, n == 1, "stop" if n == 1 else None)


class Node:
    """An instance that can be lost, paused or stopped at any call."""

    def __init__(self, cluster, name, with_files):
        self.cluster = cluster
        self.name = name
        self.dead = False
        self.gate = Event()
        self.gate.set()
        self.core = fakes.create_core(cluster.clock, name, seed=sum(name.encode()))
        if with_files:
            self.core.settings.storage.folder = "/d"
            self.core.settings.storage.budget_bytes = 10**9
        self.key_value = MemoryKeyValueStore(cluster.clock, cluster.state)
        self.key_value.hook = self
        self.disk = MemoryDisk(cluster.clock)
        write_folder_id(self.disk, name)
        peers = cluster.network.connect(name)
        self.segments = create_segment_store(self.core, self.key_value, peers, self.disk)
        if with_files:
            self.segments._budget.take = lambda *args: False
            self.segments._open_folder()
        self.scheduler = fakes.FakeScheduler(SLOTS)
        self.target = Target(self)
        self.batch = fakes.create_batch(
            self.core, self.key_value, self.segments, self.scheduler, lambda address: self.target
        )
        self._tick = gevent.spawn(lambda: None)

    def before(self, call, key):
        self.pass_gate()
        if self.cluster.slow_until > self.cluster.clock.now:
            self.cluster.wait(SLOW_S)
            self.pass_gate()

    def after(self, call, key):
        if call == "put":
            for step in self.cluster.name_steps(key):
                self.reach(step, key)
        self.pass_gate()

    def reach(self, step, key=""):
        self.cluster.reach(self, step, key)

    def pass_gate(self):
        """Hold a paused instance; end the greenlets of a lost one."""
        self.gate.wait()
        if self.dead:
            raise gevent.GreenletExit

    def lose(self):
        """Lose the instance: nothing that it still does has an effect. An empty one follows."""
        self.dead = True
        self.cluster.network.down.add(self.name)
        self.cluster.call_later(REPLACE_S, self.cluster.add_node)

    def tick(self):
        if not self.dead and self._tick.ready():
            self._tick = gevent.spawn(self._run_steps)

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
    """Nodes over one key-value state; ``plan`` has a (step, fault) pair for each fault."""

    def __init__(self, clock, plan=(), with_files=False):
        self.clock = clock
        self.state = KeyValueState()
        self.network = Network()
        self.plan = []
        self.struck = []
        self.poisoned = False
        self.truncated = set()
        self.slow_until = 0.0
        self.timers = []
        self.left = []
        self.refusals = []
        self.extra = []
        self.with_files = with_files
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
        self.nodes.append(Node(self, f"i{len(self.nodes) + 1}", self.with_files))

    def wait(self, seconds):
        """Wait in virtual time."""
        until = self.clock.now + seconds
        while self.clock.now < until:
            gevent.sleep(0)

    def call_later(self, seconds, function):
        self.timers.append((self.clock.now + seconds, function))

    def list_alive(self):
        return [node for node in self.nodes if not node.dead]

    def name_steps(self, key):
        """Return the steps that a write of a key stands for."""
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

    def reach(self, node, step, key):
        """Bring the faults about that are planned for a step, at the node that reached it."""
        for planned in [pair for pair in self.plan if pair[0] == step]:
            self.plan.remove(planned)
            self.struck.append(node)
            getattr(self, "_strike_" + planned[1].replace(" ", "_"))(node, key)

    def advance(self, rounds=1):
        for _ in range(rounds):
            self.clock.advance(ROUND_S)
            due = [function for at, function in self.timers if at <= self.clock.now]
            self.timers = [timer for timer in self.timers if timer[0] > self.clock.now]
            for function in due:
                function()
            for node in self.nodes:
                node.tick()
            for _ in range(SWITCHES):
                gevent.sleep(0)

    def advance_until(self, check, rounds=900):
        for _ in range(rounds):
            if check():
                return
            self.advance()
        raise AssertionError("the state waited for did not come")

    def call(self, method, *args):
        """Call as a client does: the answer, or None when refused, unknown or cut off."""
        self.advance_until(self.list_alive)
        alive = self.list_alive()
        node = alive[self.clock.now.__hash__() % len(alive)]
        greenlet = gevent.spawn(getattr(node.batch, method), *args)
        self.advance_until(lambda: greenlet.ready() or node.dead or not node.gate.is_set())
        if greenlet.ready() and not greenlet.successful():
            self.refusals.append(greenlet.exception)
        if not greenlet.ready() or not greenlet.successful():
            return None
        return None if isinstance(greenlet.value, gevent.GreenletExit) else greenlet.value

    def call_until_answered(self, method, *args):
        """Send again until answered."""
        for _ in range(300):
            answer = self.call(method, *args)
            if answer is not None:
                return answer
            self.advance(3)
        raise AssertionError(f"{method} was never answered")

    def submit(self):
        args = (fakes.ACCOUNT, "key", self.file_id, fakes.ENDPOINT, self.clock.now + 3600.0)
        key = f"jobs/{fakes.ACCOUNT}/{name_job(fakes.ACCOUNT, 'key').removeprefix('batch_')}"
        return self.call_checked("submit", args, lambda: self.state.get(key) is not None)

    def cancel(self, job_id):
        marked = (JobState.CANCELLING, JobState.CANCELLED)
        args = (fakes.ACCOUNT, job_id)
        return self.call_checked("cancel", args, lambda: self.read_job(job_id).state in marked)

    def call_checked(self, method, args, took_effect):
        """Send until answered; a refusal as not run must leave no effect behind."""
        for _ in range(300):
            before, count = took_effect() or bool(self.extra), len(self.refusals)
            answer = self.call(method, *args)
            if answer is not None:
                return answer
            refused = [e for e in self.refusals[count:] if e.outcome is Outcome.NOT_RUN]
            assert before or self.extra or not refused or not took_effect(), refused
            self.advance(3)
        raise AssertionError(f"{method} was never answered")

    def describe(self, job_id):
        return self.call_until_answered("describe", fakes.ACCOUNT, job_id)

    def read_job(self, job_id):
        """Return the job's record without a call."""
        row = self.state.get(f"jobs/{fakes.ACCOUNT}/{job_id.removeprefix('batch_')}")
        return decode_row(row.value, JobRow)

    def read_results(self, job_id):
        """Read the results at one of the instances, as a caller sees them."""
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
        """Tell each live instance the platform's list."""
        rows = tuple(
            ListedInstance(n.name, "clementinepin", "127.0.0.1", 1, 2, "dc", "r", "live")
            for n in self.list_alive()
        )
        for node in self.list_alive():
            node.core.publish(InstancesChanged(rows))

    def _strike_worker_dies(self, node, key):
        for other in self.nodes:
            other.target.lose_all()

    def _strike_instance_lost(self, node, key):
        node.lose()
        self.call_later(REPLACE_S + 1.0, self.publish_instances)

    def _strike_resend(self, node, key):
        args = (fakes.ACCOUNT, "key", self.file_id, fakes.ENDPOINT, self.clock.now + 3600.0)
        self.extra += [gevent.spawn(other.batch.submit, *args) for other in self.nodes[1:]]

    def _strike_service_down(self, node, key):
        self._set_down(True)
        self.call_later(OUTAGE_S, lambda: self._set_down(False))

    def _strike_service_slow(self, node, key):
        self.slow_until = self.clock.now + 60.0

    def _strike_reply_lost(self, node, key):
        if key:
            raise ReplyLostError(key)
        node.key_value.replies_to_lose = 2

    def _strike_reply_lost_in_an_outage(self, node, key):
        self._strike_service_down(node, key)
        if key:
            raise ReplyLostError(key)

    def _strike_truncated_answers(self, node, key):
        self.truncated = {f"p{n}" for n in range(ITEMS)}

    def _strike_lease_lapsed_in_a_pause(self, node, key):
        node.gate.clear()
        self.call_later(PAUSE_S, node.gate.set)

    def _strike_poison(self, node, key):
        self.poisoned = True

    def _strike_disk_lost(self, node, key):
        node.disk.files.clear()

    def _strike_clean_stop(self, node, key):
        self.extra.append(gevent.spawn(self._stop, node))

    def _stop(self, node):
        node.core.drain(self.clock.now + 30.0)
        node.batch.stop(self.clock.now + 30.0)
        self.left = [row.owner for row in self.list_all_shards() if not row.sealed]
        node.lose()

    def _set_down(self, down):
        for node in self.nodes:
            node.key_value.down = down
