"""The entry with the ``openai`` client library, which callers use unmodified."""

from __future__ import annotations

import json

import openai
import pytest

from tests.entry.fakes import KEY, run_in_thread
from tests.entry.test_online import REFUSED, TEXTS, respond_complete, respond_truncated
from tests.targets.scripted import CUT


def run(entry, use, key=KEY):
    """Return the result of ``use(client)``, called in a native thread."""

    def work():
        url = f"http://127.0.0.1:{entry.entry.port}/v1"
        with openai.OpenAI(api_key=key, base_url=url, max_retries=1, timeout=10.0) as client:
            return use(client)

    return run_in_thread(work)


def stream_chat(client):
    messages = [{"role": "user", "content": "hi"}]
    events = client.chat.completions.create(model="assist", messages=messages, stream=True)
    return [event.choices[0].delta.content for event in events]


def test_chat_streamed_and_not_streamed(serve):
    entry = serve(respond_complete)
    assert run(entry, stream_chat) == TEXTS

    def ask(client):
        messages = [{"role": "user", "content": "hi"}]
        return client.chat.completions.create(model="assist", messages=messages)

    response = run(entry, ask)
    assert response.choices[0].message.content == "".join(TEXTS)
    assert response.usage.completion_tokens == 4


def test_a_streamed_completion_survives_a_lost_target(serve):
    entry = serve(respond_truncated(CUT), respond_complete)

    def ask(client):
        events = client.completions.create(model="assist", prompt="hi", stream=True)
        return "".join(event.choices[0].text for event in events)

    assert run(entry, ask) == "".join(TEXTS)


def test_a_truncated_stream_raises_and_is_not_resent(serve):
    entry = serve(respond_truncated(CUT))
    with pytest.raises(openai.APIError) as caught:
        run(entry, stream_chat)
    assert caught.value.body["code"] == "answer_unknown"
    assert len(entry.scheduler.calls) == 2


def test_a_call_of_unknown_outcome_is_not_resent_by_the_library(serve):
    """Mutation: omit ``X-Should-Retry``: the library sends the call twice."""
    entry = serve(lambda _: [CUT])
    entry.scheduler.retries = 0
    with pytest.raises(openai.InternalServerError):
        run(entry, lambda client: client.completions.create(model="assist", prompt="hi"))
    assert len(entry.targets[0].requests) == 1


def test_a_rejected_call_is_resent_by_the_library(serve):
    first_responses = iter([[REFUSED]])
    entry = serve(lambda request: next(first_responses, None) or respond_complete(request))
    entry.scheduler.retries = 0
    response = run(entry, lambda client: client.completions.create(model="assist", prompt="hi"))
    assert response.choices[0].text == "".join(TEXTS)


def test_models_files_and_batches(serve):
    entry = serve()
    line = {"custom_id": "a", "method": "POST", "url": "/v1/completions", "body": {}}
    data = json.dumps(line).encode() + b"\n"

    def use(client):
        names = [model.id for model in client.models.list()]
        file = client.files.create(file=("in.jsonl", data), purpose="batch")
        batch = client.batches.create(
            input_file_id=file.id,
            endpoint="/v1/completions",
            completion_window="24h",
            metadata={"job_key": "week 1"},
        )
        again = client.batches.retrieve(batch.id)
        listed = [b.id for b in client.batches.list(limit=5)]
        content = client.files.content(again.output_file_id).read()
        read_back = client.files.content(file.id).read()
        cancelled = client.batches.cancel(batch.id)
        return names, listed, batch.id, content, read_back, cancelled.status

    names, listed, batch_id, content, read_back, status = run(entry, use)
    assert names == ["assist", "night"]
    assert listed == [batch_id]
    assert content == b'{"custom_id": "a"}\n{"custom_id": "b"}\n'
    assert read_back == data
    assert status == "cancelling"


def test_errors_raise_the_matching_library_exceptions(serve):
    entry = serve(respond_complete)
    with pytest.raises(openai.AuthenticationError):
        run(entry, stream_chat, key="wrong")
    with pytest.raises(openai.NotFoundError) as caught:
        run(entry, lambda client: client.completions.create(model="none", prompt="x"))
    assert caught.value.code == "model_not_found"
    with pytest.raises(openai.BadRequestError) as caught:
        run(entry, lambda client: client.completions.create(model="assist", prompt={"a": 1}))
    assert caught.value.body["param"] == "prompt"
