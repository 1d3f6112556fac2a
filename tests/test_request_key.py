"""Which requests share a key, and which are told apart."""

import pytest

from medlarfork.quarantine import crash_subject

REQUEST = {
    "account": "shop",
    "method": "POST",
    "host": "a.example",
    "target": "/p/x",
    "body": b"question",
}


def test_a_retry_has_the_key_of_the_first_request():
    first = crash_subject.request_key(**REQUEST)
    assert first == crash_subject.request_key(**(REQUEST | {"host": "A.example:80"}))


@pytest.mark.parametrize(
    "change",
    [
        {"account": "other"},
        {"method": "PUT"},
        {"host": "b.example"},
        {"target": "/p/x?q=1"},
        {"body": b"question 2"},
        {"body": b"question\0shop"},
    ],
)
def test_whatever_an_upstream_would_see_differently_is_another_request(change):
    assert crash_subject.request_key(**REQUEST) != crash_subject.request_key(**(REQUEST | change))


def test_the_keys_of_an_account_share_its_prefix():
    key = crash_subject.request_key(**REQUEST)
    assert key.startswith(crash_subject.account_prefix("shop"))
    assert not key.startswith(crash_subject.account_prefix("other"))
