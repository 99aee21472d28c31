"""State of the stand-in engine. Pure: no sockets; ``now`` is an argument in seconds."""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from enum import StrEnum
from typing import Any, Final, NamedTuple

import xxhash

PREFIX_CHARS: Final = 256
CHARS_PER_TOKEN: Final = 4
TOKENS_DEFAULT: Final = 16
EVENT_GAP_EVERY: Final = 7


class Fault(StrEnum):
    """What the engine can be told to do wrong."""

    CRASH = "crash"
    HANG = "hang"
    TRUNCATE = "truncate"
    LATE = "late"
    LEAVE = "leave"
    POISON = "poison"
    CLEAR = "clear"


class Refusal(StrEnum):
    """Reasons in ``X-Not-Admitted``."""

    FULL = "full"
    LEAVING = "leaving"
    NOT_LOADED = "not_loaded"


class EngineOptions(NamedTuple):
    """Speed and size of one engine."""

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
    """One generated token; ``finish_reason`` is set on a sequence's last."""

    text: str
    finish_reason: str | None


class Sequence:
    """One admitted generation; ``position`` is the index of its next token."""

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
    """Return token ``index`` of the answer: it depends on the prompt and the index alone."""
    return f"w{xxhash.xxh32_intdigest(f'{index}:{prompt}'.encode()) % 100_000:05d} "


def make_prompt_hash(prompt: str) -> str:
    """Return the hash of a whole prompt, as the journal names it."""
    return xxhash.xxh3_64_hexdigest(prompt.encode())


def make_prefix_hash(prompt: str) -> str:
    """Return the hash of a prompt's leading characters, as the cache names it."""
    return xxhash.xxh3_64_hexdigest(prompt[:PREFIX_CHARS].encode())


def read_prompt(body: dict[str, Any]) -> str:
    """Return the prompt text of a completions or chat body."""
    messages = body.get("messages")
    if isinstance(messages, list):
        return "\n".join(str(m.get("content", "")) for m in messages)
    prompt = body.get("prompt", "")
    return prompt if isinstance(prompt, str) else "\n".join(str(p) for p in prompt)


class PrefixCache:
    """Prefixes in least-recently-used order within a bound of tokens, with late events."""

    def __init__(self, tokens_max: int, event_delay_s: float) -> None:
        self._tokens_max = tokens_max
        self._delay_s = event_delay_s
        self._sizes: OrderedDict[str, int] = OrderedDict()
        self._events: deque[_DelayedEvent] = deque(maxlen=10_000)
        self._sequence = 0

    @property
    def share(self) -> float:
        """Return the used share of the memory."""
        return sum(self._sizes.values()) / self._tokens_max

    def read(self, prefix_hash: str) -> int | None:
        """Return the size of a cached prefix in tokens and mark it as used."""
        if prefix_hash in self._sizes:
            self._sizes.move_to_end(prefix_hash)
        return self._sizes.get(prefix_hash)

    def store(self, prefix_hash: str, tokens: int, now: float) -> None:
        """Store a prefix; the least recently used ones leave when memory is full."""
        fresh = prefix_hash not in self._sizes
        self._sizes[prefix_hash] = tokens
        self._sizes.move_to_end(prefix_hash)
        if fresh:
            self._note(prefix_hash, True, now)
        while sum(self._sizes.values()) > self._tokens_max and len(self._sizes) > 1:
            evicted, _ = self._sizes.popitem(last=False)
            self._note(evicted, False, now)

    def list_events(self, after: int, now: float) -> list[dict[str, Any]]:
        """Return the events behind a sequence number that are visible by now; some are lost."""
        return [
            {"sequence": e.sequence, "prefix_hash": e.prefix_hash, "stored": e.stored}
            for e in self._events
            if e.sequence > after and e.visible_at <= now and e.sequence % EVENT_GAP_EVERY
        ]

    def _note(self, prefix_hash: str, stored: bool, now: float) -> None:
        self._sequence += 1
        event = _DelayedEvent(now + self._delay_s, self._sequence, prefix_hash, stored)
        self._events.append(event)


class EngineState:
    """Queue, running set, cache, orders, faults and counts of one engine."""

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
        self.late_s = 0.0
        self.truncate_after: int | None = None
        self.truncate_count = 0
        self.poison_marker = options.poison_marker
        self._report: tuple[float, str] | None = None

    def check_admission(self, model: str) -> Refusal | None:
        """Return why a request for MODEL or MODEL:ADAPTER is refused, or None."""
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
        """Queue a generation in arrival order."""
        resume = body.get("resume") or {}
        tokens_max = body.get("max_tokens") or body.get("max_completion_tokens")
        sequence = Sequence(
            request_id,
            read_prompt(body),
            int(resume.get("tokens", 0)),
            int(tokens_max or TOKENS_DEFAULT),
        )
        self.admissions[request_id] += 1
        self.waiting.append(sequence)
        return sequence

    def fill_slots(self, now: float) -> float:
        """Move waiting sequences to free slots; return the seconds their prefill takes."""
        prefill_s = 0.0
        while self.waiting and len(self.running) < self.options.slots:
            sequence = self.waiting.popleft()
            self.running[self._pick_name(sequence.request_id)] = sequence
            sequence.started = True
            prefill_s += self._prefill(sequence, now)
        return prefill_s

    def find_poison(self) -> bool:
        """Return whether a running prompt holds the poison marker."""
        marker = self.poison_marker
        return bool(marker) and any(marker in s.prompt for s in self.running.values())

    def compute_step_s(self) -> float:
        """Return the seconds of one step: it grows with the active set."""
        return self.options.step_base_s + self.options.step_active_s * len(self.running)

    def step(self) -> list[tuple[Sequence, Token]]:
        """Generate one token for each running sequence; finished ones give their slot back."""
        produced: list[tuple[Sequence, Token]] = []
        for name, sequence in list(self.running.items()):
            token = self._generate(sequence)
            produced.append((sequence, token))
            if token.finish_reason:
                del self.running[name]
        return produced

    def cancel(self, request_id: str) -> list[Sequence]:
        """Stop every sequence of a request; unknown ids are ignored."""
        gone = [s for s in self.running.values() if s.request_id == request_id]
        gone += [s for s in self.waiting if s.request_id == request_id]
        for sequence in gone:
            self.remove(sequence)
        return gone

    def remove(self, sequence: Sequence) -> None:
        """Take one sequence off its slot or out of the queue."""
        for name, other in list(self.running.items()):
            if other is sequence:
                del self.running[name]
                self.cancelled[sequence.request_id] += 1
                return
        if sequence in self.waiting:
            self.waiting.remove(sequence)
            self.cancelled[sequence.request_id] += 1

    def accept_order(self, fencing_number: int) -> bool:
        """Return whether an order with this fencing number takes effect."""
        if self.options.checks_fencing and fencing_number < self.fencing_number:
            return False
        self.fencing_number = max(self.fencing_number, fencing_number)
        return True

    def apply_order(self, kind: str, body: dict[str, Any], fencing_number: int) -> None:
        """Carry out ``load_model``, ``load_adapter`` or ``change_role``."""
        self.orders.append({"kind": kind, "fencing_number": fencing_number, **body})
        if kind == "load_model":
            self.loaded[("model", body["model"])] = body["version"]
        elif kind == "load_adapter":
            self.loaded[("adapter", body["adapter"])] = body["version"]
        else:
            self.role = body["role"]

    def set_fault(self, fault: Fault, body: dict[str, Any]) -> None:
        """Take a fault; crash is up to the caller, which owns the process."""
        if fault is Fault.CLEAR:
            self.leaving = self.hanging = False
            self.late_s, self.truncate_after, self.truncate_count = 0.0, None, 0
            self.poison_marker = self.options.poison_marker
        elif fault is Fault.HANG:
            self.hanging = True
        elif fault is Fault.TRUNCATE:
            self.truncate_after = int(body.get("tokens", 3))
            self.truncate_count = int(body.get("count", 1))
        elif fault is Fault.LATE:
            self.late_s = float(body.get("seconds", 1.0))
        elif fault is Fault.LEAVE:
            self.leaving = True
        elif fault is Fault.POISON:
            self.poison_marker = str(body["marker"])

    def take_truncation(self) -> int | None:
        """Return after how many tokens the next stream is cut, or None; counts down."""
        if self.truncate_count <= 0:
            return None
        self.truncate_count -= 1
        return self.truncate_after

    def report(self, now: float) -> str:
        """Return the metrics page, as it stood up to the report's lag ago."""
        if self._report is None or now - self._report[0] >= self.options.report_lag_s:
            self._report = (now, self._format_report())
        return self._report[1]

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
        tokens = len(sequence.prompt) // CHARS_PER_TOKEN + sequence.position
        prefix_hash = make_prefix_hash(sequence.prompt)
        cached = self.cache.read(prefix_hash) or 0
        prefix_tokens = min(len(sequence.prompt), PREFIX_CHARS) // CHARS_PER_TOKEN
        self.cache.store(prefix_hash, max(prefix_tokens, 1), now)
        return max(0, tokens - cached) * self.options.prefill_token_s

    def _pick_name(self, request_id: str) -> str:
        return f"{request_id}#{self.admissions[request_id]}#{len(self.running)}"
