"""Property tests of the attempts of one call against engines that fail in any sequence."""

from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from clementinepin.core import Core
from clementinepin.entry._attempts import OnlineAttempts
from clementinepin.entry._calls import find_application, find_service, make_call
from clementinepin.entry._context import EntryContext, TargetClients
from clementinepin.exceptions import ClementinepinError, Outcome
from clementinepin.helpers.clock import create_system_clock
from clementinepin.helpers.metrics import create_metrics
from clementinepin.targets import StreamChunk, TargetAddress
from clementinepin.targets.exceptions import (
    ResponseMismatchError,
    TargetLostError,
    TargetNotReachedError,
    TargetProtocolError,
    TargetRefusedError,
    TargetRejectedError,
    TargetTimeoutError,
)
from tests.entry.fakes import FakeScheduler, make_configuration, make_settings

TOKENS = [f"w{i} " for i in range(6)]
NOT_SENT = (TargetNotReachedError, TargetRefusedError)
FAILURES = {
    "not_reached": TargetNotReachedError,
    "refused": TargetRefusedError,
    "lost": TargetLostError,
    "timeout": TargetTimeoutError,
    "protocol": TargetProtocolError,
    "mixed_up": ResponseMismatchError,
    "rejected": lambda: TargetRejectedError(400, b"{}"),
    "none": lambda: None,
}
STEP = st.tuples(st.sampled_from(sorted(FAILURES)), st.integers(0, len(TOKENS)))


class ScriptedEngine:
    """Delivers ``step[1]`` tokens after the resume point and then fails with ``step[0]``.

    A ``none`` step delivers all tokens. Sent requests are appended to ``sent``.
    """

    def __init__(self, step, sent):
        self._name, self._count = step
        self._sent = sent

    def generate(self, request):
        failure = FAILURES[self._name]()
        if isinstance(failure, NOT_SENT):
            raise failure
        self._sent.append(request)
        assert request.resume_text == "".join(TOKENS[: request.resume_tokens])
        remaining = TOKENS[request.resume_tokens :]
        for token in remaining if failure is None else remaining[: self._count]:
            yield StreamChunk(token.encode(), token, 1, done=False)
        if failure is not None:
            raise failure
        yield StreamChunk(b"data: [DONE]\n\n", "", 0, done=True, finish_reason="stop")


def run_call(steps, *, idempotent, count=1, close_after=None):
    """Return the scheduler, the sent requests, the delivered chunks and the failure."""
    sent = []
    clock = create_system_clock()
    targets = [TargetAddress(f"t{i}", "127.0.0.1", i + 1) for i in range(len(steps))]
    scheduler = FakeScheduler(targets, retries=10)
    engines = {t: ScriptedEngine(s, sent) for t, s in zip(targets, steps, strict=True)}
    core = Core(make_settings(), clock, create_metrics(None, 0, ""), random.Random(1))
    configuration = make_configuration()
    context = EntryContext(
        core, scheduler, None, None, None, TargetClients(clock, engines.get, None), None, None
    )
    account = configuration.accounts["lets"]
    application = find_application(configuration, account, "assist")
    service = find_service(configuration, application)
    body = {"model": "assist", "prompt": "x", "stream": True, "n": count}
    deadline = clock.monotonic() + 60.0
    call = make_call(
        body, "/v1/completions", account, application, service, deadline, idempotent=idempotent
    )
    chunks, failure = [], None
    run = OnlineAttempts(context, call).run()
    try:
        for chunk in run:
            chunks.append(chunk)
            if len(chunks) == close_after:
                break
    except ClementinepinError as err:
        failure = err
    run.close()
    return scheduler, sent, chunks, failure


@settings(max_examples=300)
@given(steps=st.lists(STEP, max_size=6), idempotent=st.booleans(), count=st.integers(1, 2))
def test_the_outcome_is_correct_for_any_sequence_of_failures(steps, idempotent, count):
    """Mutations: ``may_have_run`` stays False (a run call is reported as not run); ``idempotent``
    is ignored (a call runs twice); the resume point is dropped (tokens are duplicated); a failure
    ends the loop without an error; a call with several choices continues on another target (its
    choices can't be told apart).
    """
    scheduler, sent, chunks, failure = run_call(steps, idempotent=idempotent, count=count)
    text = "".join(c.text for c in chunks)
    done = bool(chunks) and chunks[-1].done
    assert done is (failure is None)
    assert text == "".join(TOKENS) if done else "".join(TOKENS).startswith(text)
    assert [c.done for c in chunks[:-1]] == [False] * len(chunks[:-1])
    if failure is not None and failure.outcome is Outcome.NOT_RUN:
        assert sent == []
    if not idempotent:
        assert len(sent) <= 1
    if count > 1:
        assert [r.resume_tokens for r in sent] == [0] * len(sent)
    assert scheduler.open == {}
    assert len(scheduler.results) <= len(steps)


@settings(max_examples=100)
@given(
    steps=st.lists(STEP, min_size=1, max_size=4),
    idempotent=st.booleans(),
    close_after=st.integers(1, 5),
)
def test_a_caller_that_disconnects_at_any_chunk_frees_every_slot(steps, idempotent, close_after):
    """Mutation: ``_attempt`` finishes its ticket outside ``finally``: a slot is not freed."""
    scheduler, _, _, _ = run_call(steps, idempotent=idempotent, close_after=close_after)
    assert scheduler.open == {}
