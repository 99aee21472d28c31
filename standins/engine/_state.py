"""State of the stand-in engine: queue, running sequences, prefix cache, orders and faults.

It does no input or output and reads no clock; ``now`` is an argument in seconds.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from enum import StrEnum
from typing import Any, Final, NamedTuple

import xxhash

PREFIX_CHARS: Final = 256
CHARS_PER_TOKEN: Final = 4
DEFAULT_MAX_TOKENS: Final = 16
LOST_EVENT_INTERVAL: Final = 7  # each cache event with a multiple of this number is lost


class Fault(StrEnum):
    """Faults that ``/standin/fault`` sets.

    ``CRASH`` ends the process, ``HANG`` stops the steps, ``TRUNCATE`` cuts streams, ``LATE``
    delays first tokens, ``LEAVE`` refuses new requests, ``POISON`` sets the marker of prompts
    that crash the engine, ``CLEAR`` ends the other faults.
    """

    CRASH = "crash"
    HANG = "hang"
    TRUNCATE = "truncate"
    LATE = "late"
    LEAVE = "leave"
    POISON = "poison"
    CLEAR = "clear"


class Refusal(StrEnum):
    """Reasons in the header ``X-Not-Admitted`` of a refused request."""

    FULL = "full"
    LEAVING = "leaving"
    NOT_LOADED = "not_loaded"


class EngineOptions(NamedTuple):
    """Speed and limits of one engine.

    A step lasts ``step_base_s`` plus ``step_active_s`` for each running sequence. Cache events
    become visible after ``event_delay_s``; the metrics page is up to ``report_lag_s`` old.
    """

    name: str
    service: str
    checks_fencing: bool
    slots: int = 8
    waiting_max: int = 64
    step_base_s: float = 0.010
    step_active_s: float = 0.0005
    prefill_token_s: float = 0.00005
    cache_tokens_max: int = 20_000
    event_delay_s: float = 0.5
    report_lag_s: float = 0.5
    poison_marker: str = ""


class Token(NamedTuple):
    """One generated token; only the last one of a sequence has a ``finish_reason``."""

    text: str
    finish_reason: str | None


class Sequence:
    """One admitted generation; ``position`` is the index of the next token."""

    def __init__(self, request_id: str, prompt: str, position: int, tokens_max: int) -> None:
        self.request_id = request_id
        self.prompt = prompt
        self.position = position
        self.tokens_max = tokens_max
        self.started = False


class _DelayedEvent(NamedTuple):
    visible_at: float
    sequence: int
    prefix_hash: str
    stored: bool


def make_token(prompt: str, index: int) -> str:
    """Return the token at ``index``; it depends on the prompt and the index alone."""
    return f"w{xxhash.xxh32_intdigest(f'{index}:{prompt}'.encode()) % 100_000:05d} "


def make_prompt_hash(prompt: str) -> str:
    """Return the hash of a whole prompt that the journal holds."""
    return xxhash.xxh3_64_hexdigest(prompt.encode())


def make_prefix_hash(prompt: str) -> str:
    """Return the hash of a prompt's first characters, which is its key in the prefix cache."""
    return xxhash.xxh3_64_hexdigest(prompt[:PREFIX_CHARS].encode())


def read_prompt(body: dict[str, Any]) -> str:
    """Return the prompt text in the body of a completion or chat request."""
    messages = body.get("messages")
    if isinstance(messages, list):
        return "\n".join(str(m.get("content", "")) for m in messages)
    prompt = body.get("prompt", "")
    return prompt if isinstance(prompt, str) else "\n".join(str(p) for p in prompt)


class PrefixCache:
    """Prefix cache with least-recently-used eviction above ``tokens_max`` tokens.

    Each stored and each evicted prefix is an event that becomes visible ``event_delay_s`` later.
    """

    def __init__(self, tokens_max: int, event_delay_s: float) -> None:
        self._tokens_max = tokens_max
        self._delay_s = event_delay_s
        self._sizes: OrderedDict[str, int] = OrderedDict()
        self._events: deque[_DelayedEvent] = deque(maxlen=10_000)
        self._sequence = 0

    @property
    def share(self) -> float:
        """Return the used fraction of the token capacity."""
        return sum(self._sizes.values()) / self._tokens_max

    def read(self, prefix_hash: str) -> int | None:
        """Return the tokens of a cached prefix and mark it as used; None if it is not cached."""
        if prefix_hash in self._sizes:
            self._sizes.move_to_end(prefix_hash)
        return self._sizes.get(prefix_hash)

    def store(self, prefix_hash: str, tokens: int, now: float) -> None:
        """Store a prefix with its size in tokens; evict the least recently used if full."""
        is_new = prefix_hash not in self._sizes
        self._sizes[prefix_hash] = tokens
        self._sizes.move_to_end(prefix_hash)
        if is_new:
            self._record_event(prefix_hash, True, now)
        while sum(self._sizes.values()) > self._tokens_max and len(self._sizes) > 1:
            evicted, _ = self._sizes.popitem(last=False)
            self._record_event(evicted, False, now)

    def list_events(self, after: int, now: float) -> list[dict[str, Any]]:
        """Return the visible events after a sequence number, except those that count as lost."""
        return [
            {"sequence": e.sequence, "prefix_hash": e.prefix_hash, "stored": e.stored}
            for e in self._events
            if e.sequence > after and e.visible_at <= now and e.sequence % LOST_EVENT_INTERVAL
        ]

    def _record_event(self, prefix_hash: str, stored: bool, now: float) -> None:
        self._sequence += 1
        event = _DelayedEvent(now + self._delay_s, self._sequence, prefix_hash, stored)
        self._events.append(event)


class EngineState:
    """Queue, running sequences, cache, orders, faults and counters of one engine."""

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.waiting: deque[Sequence] = deque()
        self.running: dict[str, Sequence] = {}
        self.cache = PrefixCache(options.cache_tokens_max, options.event_delay_s)
        self.loaded: dict[tuple[str, str], str] = {}
        self.role = "serve"
        self.fencing_number = 0
        self.orders: list[dict[str, Any]] = []
        self.admissions: Counter[str] = Counter()
        self.cancelled: Counter[str] = Counter()
        self.tokens_total = 0
        self.leaving = False
        self.hanging = False
        self.first_token_delay_s = 0.0
        self.truncate_after: int | None = None
        self.streams_to_truncate = 0
        self.poison_marker = options.poison_marker
        self._cached_report: tuple[float, str] | None = None

    def check_admission(self, model: str) -> Refusal | None:
        """Return why a request for MODEL or MODEL:ADAPTER is refused, or None if it is admitted."""
        if self.leaving:
            return Refusal.LEAVING
        name, _, adapter = model.partition(":")
        if ("model", name) not in self.loaded:
            return Refusal.NOT_LOADED
        if adapter and ("adapter", adapter) not in self.loaded:
            return Refusal.NOT_LOADED
        if len(self.waiting) >= self.options.waiting_max:
            return Refusal.FULL
        return None

    def admit(self, request_id: str, body: dict[str, Any]) -> Sequence:
        """Queue a generation; ``resume`` in the body skips tokens that the caller already has."""
        resume = body.get("resume") or {}
        tokens_max = body.get("max_tokens") or body.get("max_completion_tokens")
        sequence = Sequence(
            request_id,
            read_prompt(body),
            int(resume.get("tokens", 0)),
            int(tokens_max or DEFAULT_MAX_TOKENS),
        )
        self.admissions[request_id] += 1
        self.waiting.append(sequence)
        return sequence

    def fill_slots(self, now: float) -> float:
        """Move waiting sequences to free slots in order; return the seconds of their prefill."""
        prefill_s = 0.0
        while self.waiting and len(self.running) < self.options.slots:
            sequence = self.waiting.popleft()
            self.running[self._make_slot_key(sequence.request_id)] = sequence
            sequence.started = True
            prefill_s += self._prefill(sequence, now)
        return prefill_s

    def has_poisoned_prompt(self) -> bool:
        """Return whether the prompt of a running sequence contains the poison marker."""
        marker = self.poison_marker
        return bool(marker) and any(marker in s.prompt for s in self.running.values())

    def compute_step_s(self) -> float:
        """Return the seconds of one step; they grow with the number of running sequences."""
        return self.options.step_base_s + self.options.step_active_s * len(self.running)

    def step(self) -> list[tuple[Sequence, Token]]:
        """Generate one token for each running sequence; finished ones free their slots."""
        produced: list[tuple[Sequence, Token]] = []
        for name, sequence in list(self.running.items()):
            token = self._generate(sequence)
            produced.append((sequence, token))
            if token.finish_reason:
                del self.running[name]
        return produced

    def cancel(self, request_id: str) -> list[Sequence]:
        """Remove and return all sequences of a request; none for an unknown id."""
        matching = [s for s in self.running.values() if s.request_id == request_id]
        matching += [s for s in self.waiting if s.request_id == request_id]
        for sequence in matching:
            self.remove(sequence)
        return matching

    def remove(self, sequence: Sequence) -> None:
        """Remove a sequence from its slot or the queue and count it as cancelled.

        Does nothing if the sequence has finished or was removed before.
        """
        for name, other in list(self.running.items()):
            if other is sequence:
                del self.running[name]
                self.cancelled[sequence.request_id] += 1
                return
        if sequence in self.waiting:
            self.waiting.remove(sequence)
            self.cancelled[sequence.request_id] += 1

    def accept_order(self, fencing_number: int) -> bool:
        """Return whether an order is accepted; with checks, an older fencing number is refused."""
        if self.options.checks_fencing and fencing_number < self.fencing_number:
            return False
        self.fencing_number = max(self.fencing_number, fencing_number)
        return True

    def apply_order(self, kind: str, body: dict[str, Any], fencing_number: int) -> None:
        """Record and apply an order: ``load_model``, ``load_adapter`` or ``change_role``."""
        self.orders.append({"kind": kind, "fencing_number": fencing_number, **body})
        if kind == "load_model":
            self.loaded[("model", body["model"])] = body["version"]
        elif kind == "load_adapter":
            self.loaded[("adapter", body["adapter"])] = body["version"]
        else:
            self.role = body["role"]

    def set_fault(self, fault: Fault, body: dict[str, Any]) -> None:
        """Set or clear a fault; the caller has to carry out ``CRASH``."""
        if fault is Fault.CLEAR:
            self.leaving = self.hanging = False
            self.first_token_delay_s, self.truncate_after, self.streams_to_truncate = 0.0, None, 0
            self.poison_marker = self.options.poison_marker
        elif fault is Fault.HANG:
            self.hanging = True
        elif fault is Fault.TRUNCATE:
            self.truncate_after = int(body.get("tokens", 3))
            self.streams_to_truncate = int(body.get("count", 1))
        elif fault is Fault.LATE:
            self.first_token_delay_s = float(body.get("seconds", 1.0))
        elif fault is Fault.LEAVE:
            self.leaving = True
        elif fault is Fault.POISON:
            self.poison_marker = str(body["marker"])

    def consume_truncation(self) -> int | None:
        """Return after how many tokens to cut the next stream, or None; uses up one truncation."""
        if self.streams_to_truncate <= 0:
            return None
        self.streams_to_truncate -= 1
        return self.truncate_after

    def report(self, now: float) -> str:
        """Return the metrics page, which is up to ``report_lag_s`` old."""
        if self._cached_report is None or now - self._cached_report[0] >= self.options.report_lag_s:
            self._cached_report = (now, self._format_report())
        return self._cached_report[1]

    def _format_report(self) -> str:
        lines = [
            f"engine_running {len(self.running)}",
            f"engine_waiting {len(self.waiting)}",
            f"engine_cache_share {self.cache.share:.4f}",
            f"engine_fencing_number {self.fencing_number}",
            f'engine_role{{role="{self.role}"}} 1',
        ]
        for (kind, name), version in sorted(self.loaded.items()):
            lines.append(f'engine_loaded{{kind="{kind}",name="{name}",version="{version}"}} 1')
        return "\n".join(lines) + "\n"

    def _generate(self, sequence: Sequence) -> Token:
        if sequence.position >= sequence.tokens_max:
            return Token("", "length")
        text = make_token(sequence.prompt, sequence.position)
        sequence.position += 1
        self.tokens_total += 1
        return Token(text, "length" if sequence.position >= sequence.tokens_max else None)

    def _prefill(self, sequence: Sequence, now: float) -> float:
        """Cache a sequence's prefix; return the seconds that its uncached tokens take."""
        tokens = len(sequence.prompt) // CHARS_PER_TOKEN + sequence.position
        prefix_hash = make_prefix_hash(sequence.prompt)
        cached = self.cache.read(prefix_hash) or 0
        prefix_tokens = min(len(sequence.prompt), PREFIX_CHARS) // CHARS_PER_TOKEN
        self.cache.store(prefix_hash, max(prefix_tokens, 1), now)
        return max(0, tokens - cached) * self.options.prefill_token_s

    def _make_slot_key(self, request_id: str) -> str:
        return f"{request_id}#{self.admissions[request_id]}#{len(self.running)}"
