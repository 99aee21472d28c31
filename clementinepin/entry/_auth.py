"""Authentication by account and operator keys, of which only digests are stored."""

from __future__ import annotations

import hashlib
import hmac
from typing import Final

from gevent.event import Event

from clementinepin.config import AccountSpec, Configuration
from clementinepin.entry._http import Request
from clementinepin.entry._router import Access
from clementinepin.entry.exceptions import (
    AuthenticationError,
    ConfigurationMissingError,
    PermissionDeniedError,
)

SCHEME: Final = "bearer"
KEY_MAX_CHARS: Final = 512
# A new instance receives its configuration within seconds; its first callers wait this long.
CONFIGURATION_WAIT_S: Final = 2.0


class Authenticator:
    """Finds the account of a key in the current configuration."""

    def __init__(self, operator_key_digest: str) -> None:
        self._operator_digest = operator_key_digest.lower()
        self._accounts: dict[str, AccountSpec] = {}
        self._configured = Event()

    def use_configuration(self, configuration: Configuration) -> None:
        """Index the accounts of a configuration by the digests of their keys."""
        self._accounts = {
            digest.lower(): account
            for account in configuration.accounts.values()
            for digest in account.key_digests
        }
        self._configured.set()

    def authorize(self, request: Request, access: Access) -> None:
        """Set the account or operator flag of a request.

        Raise AuthenticationError if the key is missing or unknown, PermissionDeniedError if it
        does not give this access, or ConfigurationMissingError.
        """
        if access is Access.OPEN:
            return
        digest = _digest_key(_read_key(request))
        request.is_operator = self._is_operator(digest)
        if request.is_operator and access is not Access.ACCOUNT:
            return
        account = self._find_account(digest)
        if account is None:
            raise AuthenticationError("the key belongs to no account")
        if access is Access.OPERATOR:
            raise PermissionDeniedError("this resource requires an operator key")
        request.set_account(account)

    def _is_operator(self, digest: str) -> bool:
        return bool(self._operator_digest) and hmac.compare_digest(digest, self._operator_digest)

    def _find_account(self, digest: str) -> AccountSpec | None:
        """Return the account of a key digest, or None.

        The digest is compared in constant time. Raise ConfigurationMissingError if no
        configuration arrives within CONFIGURATION_WAIT_S.
        """
        if not self._configured.wait(CONFIGURATION_WAIT_S):
            raise ConfigurationMissingError("this instance has no configuration yet")
        account = self._accounts.get(digest)
        if account is None:
            return None
        matches = any(hmac.compare_digest(digest, d.lower()) for d in account.key_digests)
        return account if matches else None


def _read_key(request: Request) -> str:
    scheme, _, key = request.get_header("Authorization").partition(" ")
    key = key.strip()
    if scheme.lower() != SCHEME or not key:
        raise AuthenticationError("the header Authorization: Bearer KEY is required")
    if len(key) > KEY_MAX_CHARS:
        raise AuthenticationError("the key is too long")
    return key


def _digest_key(key: str) -> str:
    return hashlib.sha256(key.encode("latin-1", "replace")).hexdigest()
