from __future__ import annotations

from types import SimpleNamespace

import gevent
import pytest

from clementinepin.entry import _auth
from clementinepin.entry._auth import Authenticator
from clementinepin.entry._router import Access
from clementinepin.entry.exceptions import AuthenticationError, ConfigurationMissingError
from tests.entry.fakes import KEY, OPERATOR_KEY, digest, make_configuration


def make_request(key=KEY):
    request = SimpleNamespace(account=None, is_operator=False)
    request.get_header = lambda name: f"Bearer {key}"
    request.set_account = lambda account: setattr(request, "account", account)
    return request


def test_a_call_before_the_first_configuration_waits_for_it():
    """Mutation: raise ConfigurationMissingError without waiting."""
    authenticator = Authenticator(digest(OPERATOR_KEY))
    request = make_request()
    waiting = gevent.spawn(authenticator.authorize, request, Access.ACCOUNT)
    gevent.sleep(0)
    assert not waiting.dead
    authenticator.use_configuration(make_configuration())
    waiting.get()
    assert request.account.name == "lets"


def test_a_call_is_rejected_if_no_configuration_arrives(monkeypatch):
    monkeypatch.setattr(_auth, "CONFIGURATION_WAIT_S", 0.01)
    with pytest.raises(ConfigurationMissingError):
        Authenticator(digest(OPERATOR_KEY)).authorize(make_request(), Access.ACCOUNT)


def test_an_operator_does_not_wait_for_a_configuration():
    request = make_request(OPERATOR_KEY)
    Authenticator(digest(OPERATOR_KEY)).authorize(request, Access.OPERATOR)
    assert request.is_operator


def test_an_unknown_key_is_rejected():
    authenticator = Authenticator(digest(OPERATOR_KEY))
    authenticator.use_configuration(make_configuration())
    with pytest.raises(AuthenticationError):
        authenticator.authorize(make_request("sk-nobody"), Access.ACCOUNT)
