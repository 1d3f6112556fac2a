"""Serve many callers at once, and the OpenAI client as it comes."""

import itertools

import openai
import pytest

from medlarfork.standin import _standin_text
from tests.processes import callers

CONNECTIONS = 8
REQUESTS_EACH = 18


def _expected(prompt):
    messages = [{"role": "user", "content": prompt}]
    return _standin_text.answer("words", messages, None).text()


def _converse(address, caller):
    """Mix streams, whole answers, calls and abandoned streams on one kept connection."""
    connection = callers.Connection(address)
    for number in range(REQUESTS_EACH):
        unique = f"{caller}-{number}"
        prompt = f"tell {unique} [tokens=25]"
        match number % 4:
            case 0:
                path = f"/services/desk/search/{unique}"
                answer = connection.ask("GET", path)
                assert (answer.status, answer.json["path"]) == (200, f"/search/{unique}"), answer
            case 1:
                stream = callers.ChatStream(address, prompt, connection=connection).read_all()
                assert (stream.done, stream.ended) == (True, True)
                assert stream.text == _expected(prompt)
            case 2:
                answer = connection.ask("POST", "/v1/chat/completions", callers.chat_body(prompt))
                assert callers.text_of(answer) == _expected(prompt)
            case 3:
                # The rest of this answer comes too late for anybody.
                stream = callers.ChatStream(address, prompt, connection=connection)
                assert _expected(prompt).startswith(stream.read_tokens(5).text)
                stream.close()
                connection = callers.Connection(address)
    connection.close()
    return REQUESTS_EACH


# Guards against: answers of others; also an entry host that ended as callers hung up in streams.
def test_every_caller_gets_its_own_answer(make_deployment, threads):
    deployment = make_deployment()
    for name in ("engine-1", "engine-2"):
        deployment.start_engine(name, token_s=0.004, slots=4)
    deployment.start_service("desk-1", delay_s=0.01)
    addresses = itertools.cycle(deployment.entry_addresses)
    conversations = [
        threads.submit(_converse, next(addresses), caller) for caller in range(CONNECTIONS)
    ]
    assert sum(item.result() for item in conversations) == CONNECTIONS * REQUESTS_EACH


@pytest.fixture
def client(make_deployment):
    """Return the stock client of a deployment with one engine."""
    deployment = make_deployment(controls=1, entries=1)
    deployment.start_engine("engine-1", token_s=0.002)
    with openai.OpenAI(
        base_url=f"{deployment.address('entry-1')}/v1",
        api_key=callers.CALLER_KEY,
        max_retries=0,
        timeout=callers.LIMIT_S,
    ) as made:
        yield made


def test_the_openai_client_works_unchanged(client):
    messages = [{"role": "user", "content": "hello [tokens=30]"}]
    whole = client.chat.completions.create(model="words", messages=messages)
    assert whole.choices[0].message.role == "assistant"
    assert whole.choices[0].message.content == _expected(messages[0]["content"])
    assert whole.choices[0].finish_reason == "stop"
    assert whole.usage.completion_tokens == 30
    assert whole.usage.total_tokens == whole.usage.prompt_tokens + 30

    stream = client.chat.completions.create(
        model="words", messages=messages, stream=True, stream_options={"include_usage": True}
    )
    chunks = list(stream)
    text = "".join(chunk.choices[0].delta.content or "" for chunk in chunks if chunk.choices)
    assert text == whole.choices[0].message.content
    assert [chunk.usage for chunk in chunks if chunk.usage] == [whole.usage]
    assert [choice.finish_reason for chunk in chunks for choice in chunk.choices][-1] == "stop"

    short = client.chat.completions.create(model="words", messages=messages, max_tokens=7)
    assert (short.choices[0].finish_reason, short.usage.completion_tokens) == ("length", 7)
    assert [model.id for model in client.models.list()] == ["words"]


def test_the_openai_client_raises_its_own_errors(client):
    messages = [{"role": "user", "content": "hello"}]
    wrong_key = client.with_options(api_key="wrong")
    for stream in (False, True):
        with pytest.raises(openai.AuthenticationError) as denied:
            wrong_key.chat.completions.create(model="words", messages=messages, stream=stream)
        assert denied.value.code == "invalid_api_key"
        with pytest.raises(openai.NotFoundError) as missing:
            client.chat.completions.create(model="no-such", messages=messages, stream=stream)
        assert missing.value.code == "model_not_found"
        with pytest.raises(openai.BadRequestError) as bad:
            client.chat.completions.create(model="words", messages=messages, n=3, stream=stream)
        assert bad.value.code == "bad_request"
        assert bad.value.response.headers["medlar-outcome"] == "not_run"
    with pytest.raises(openai.AuthenticationError):
        wrong_key.models.list()
    # The same client goes on working after all of these.
    assert client.chat.completions.create(model="words", messages=messages).choices
