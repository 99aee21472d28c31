"""Authentication of messages between instances, and their TLS contexts."""

from __future__ import annotations

import hashlib
import hmac
import ssl
from collections.abc import Mapping
from typing import NamedTuple

from clementinepin.config import SecuritySettings
from clementinepin.peers.exceptions import PeerAuthenticationError

PROTOCOL_VERSION = 1
MESSAGE_VALIDITY_S = 30.0
CLOCK_SKEW_MAX_S = 30.0
_DIGEST_BYTES = 16

_KEYS = ("version", "sender", "receiver", "method", "valid-until", "digest")
_PREFIX = "x-peer-"


class Envelope(NamedTuple):
    """The authenticated metadata of a message, known before its body is read."""

    sender: str
    method: str
    version: int
    digest: str


def sign_message(
    secret: str, sender: str, receiver: str, method: str, body: bytes, wall: float
) -> dict[str, str]:
    """Return the signed metadata of a message, valid for MESSAGE_VALIDITY_S."""
    values = {
        "version": str(PROTOCOL_VERSION),
        "sender": sender,
        "receiver": receiver,
        "method": method,
        "valid-until": str(int(wall + MESSAGE_VALIDITY_S)),
        "digest": digest_body(body),
    }
    metadata = {_PREFIX + key: value for key, value in values.items()}
    return {**metadata, _PREFIX + "mac": _compute_mac(secret, values)}


def verify_metadata(
    secret: str, receiver: str, metadata: Mapping[str, object], wall: float
) -> Envelope:
    """Return the envelope of a message.

    Raises PeerAuthenticationError if the signature is wrong, the message has expired or it is
    addressed to another instance. A message can be replayed while it is valid, so handlers must be
    idempotent.
    """
    values = {key: str(metadata.get(_PREFIX + key, "")) for key in _KEYS}
    mac = str(metadata.get(_PREFIX + "mac", ""))
    if not hmac.compare_digest(_encode(mac), _encode(_compute_mac(secret, values))):
        raise PeerAuthenticationError("authentication code does not match")
    try:
        valid_until, version = float(values["valid-until"]), int(values["version"])
    except ValueError as err:
        raise PeerAuthenticationError("time or version of the message is no number") from err
    if not wall - CLOCK_SKEW_MAX_S <= valid_until <= wall + MESSAGE_VALIDITY_S + CLOCK_SKEW_MAX_S:
        raise PeerAuthenticationError("message is expired, or the clocks of the instances differ")
    if values["receiver"] != receiver:
        raise PeerAuthenticationError("message is addressed to another instance")
    return Envelope(values["sender"], values["method"], version, values["digest"])


def digest_body(body: bytes) -> str:
    """Return the digest of a body, by which the signed metadata covers it."""
    return hashlib.blake2b(body, digest_size=_DIGEST_BYTES).hexdigest()


def _compute_mac(secret: str, values: Mapping[str, str]) -> str:
    text = "\n".join(values[key] for key in _KEYS)
    key = hashlib.sha256(secret.encode()).digest()
    return hashlib.blake2b(_encode(text), digest_size=_DIGEST_BYTES, key=key).hexdigest()


def _encode(text: str) -> bytes:
    """Return text that a peer sent as bytes, whatever characters it has."""
    return text.encode("utf-8", "surrogatepass")


def create_server_context(security: SecuritySettings) -> ssl.SSLContext | None:
    """Return a context that requires a certificate of peers, or None without a peer CA."""
    if security.peer_tls_ca is None or security.tls_certificate is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH, cafile=security.peer_tls_ca)
    return _configure_context(context, security)


def create_client_context(security: SecuritySettings) -> ssl.SSLContext | None:
    """Return a context that verifies peers by the peer CA, or None without one."""
    if security.peer_tls_ca is None or security.tls_certificate is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.SERVER_AUTH, cafile=security.peer_tls_ca)
    # The IP addresses of instances change, so a check of names proves nothing. A certificate of
    # the CA is proof enough, because the CA issues them only to peers.
    context.check_hostname = False
    return _configure_context(context, security)


def _configure_context(context: ssl.SSLContext, security: SecuritySettings) -> ssl.SSLContext:
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(str(security.tls_certificate), security.tls_key)
    context.set_alpn_protocols(["h2"])
    return context
