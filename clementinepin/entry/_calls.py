"""Online calls: validates a caller's body and builds the call from it and the configuration."""

from __future__ import annotations

import posixpath
import uuid
from typing import Any, Final, NamedTuple
from urllib.parse import unquote

import voluptuous as vol
import xxhash

from clementinepin.config import AccountSpec, ApplicationSpec, Configuration, ServiceSpec
from clementinepin.const import Priority
from clementinepin.entry._resume import ResumePoint
from clementinepin.entry.exceptions import ApplicationNotFoundError
from clementinepin.exceptions import InvalidInputError
from clementinepin.helpers.fingerprint import SHARED_CHARS, list_prompt_parts, make_fingerprint
from clementinepin.scheduling import CallInfo
from clementinepin.targets import is_streamable_body, make_engine_body

HEADER_IDEMPOTENT: Final = "X-Idempotent"
# A target may decode a path more than once, so rules apply to the path decoded this often.
DECODINGS_MAX: Final = 3
TOKENS_LIMIT: Final = 1_000_000
STOP_SEQUENCES_MAX: Final = 16


def _check_integer(value: object) -> object:
    """Return an integer; raise vol.Invalid for any other value.

    Booleans are integers in Python, but not in JSON.
    """
    if isinstance(value, bool) or not isinstance(value, int):
        raise vol.Invalid("expected an integer")
    return value


_TOKENS = vol.All(_check_integer, vol.Range(min=1, max=TOKENS_LIMIT))
_MESSAGE = vol.Schema({vol.Required("role"): str}, extra=vol.ALLOW_EXTRA)
_COMMON: dict[Any, Any] = {
    vol.Required("model"): vol.All(str, vol.Length(min=1, max=256)),
    vol.Optional("stream"): vol.Any(bool, None),
    vol.Optional("max_tokens"): vol.Any(_TOKENS, None),
    vol.Optional("max_completion_tokens"): vol.Any(_TOKENS, None),
    vol.Optional("stop"): vol.Any(str, vol.All([str], vol.Length(max=STOP_SEQUENCES_MAX)), None),
    vol.Optional("n"): vol.Any(vol.All(_check_integer, vol.Range(min=1, max=128)), None),
}
COMPLETION_SCHEMA: Final = vol.Schema(
    {**_COMMON, vol.Required("prompt"): vol.Any(str, [str])}, extra=vol.ALLOW_EXTRA
)
CHAT_SCHEMA: Final = vol.Schema(
    {**_COMMON, vol.Required("messages"): vol.All([_MESSAGE], vol.Length(min=1))},
    extra=vol.ALLOW_EXTRA,
)


class OnlineCall(NamedTuple):
    """One call of a model. ``body`` is the request body for the engine.

    ``stream`` is True if the caller requested a stream. ``whole`` is True if the engine must
    return a single JSON response instead of a stream. ``resumable`` is True if a broken stream may
    continue on another target.
    """

    info: CallInfo
    path: str
    body: dict[str, Any]
    stream: bool
    whole: bool
    resumable: bool
    first_token_target_s: float
    resume: ResumePoint = ResumePoint()


def check_body(body: dict[str, Any], schema: vol.Schema) -> None:
    """Validate a body; raise InvalidInputError with the name of the invalid field."""
    try:
        schema(body)
    except vol.Invalid as err:
        raise _make_field_error(err) from err


def find_application(
    configuration: Configuration, account: AccountSpec, name: str
) -> ApplicationSpec:
    """Return an application that the account may use online.

    Raise ApplicationNotFoundError if there is none. An application of other accounts is reported
    as if it did not exist.
    """
    application = configuration.applications.get(name)
    if application is None or name not in account.applications:
        raise ApplicationNotFoundError(
            f"model {name[:100]!r} does not exist for this account", param="model"
        )
    if Priority.ONLINE not in application.priorities:
        message = f"model {name!r} serves batch jobs only"
        raise ApplicationNotFoundError(message, param="model")
    return application


def find_service(configuration: Configuration, application: ApplicationSpec) -> ServiceSpec:
    """Return the service that runs an application's model."""
    return configuration.services[configuration.models[application.model].service]


def make_call(
    body: dict[str, Any],
    path: str,
    account: AccountSpec,
    application: ApplicationSpec,
    service: ServiceSpec,
    deadline: float,
    *,
    idempotent: bool,
) -> OnlineCall:
    """Return the call for a validated body. ``deadline`` is in monotonic seconds."""
    stream = bool(body.get("stream"))
    streamable = is_streamable_body(body)
    info = CallInfo(
        request_id=uuid.uuid4().hex,
        account=account.name,
        service=service.name,
        application=application.name,
        priority=Priority.ONLINE,
        deadline=deadline,
        fingerprint=make_fingerprint(service.name, body),
        prefix_hash=make_prefix_hash(body),
        parts=list_prompt_parts(body),
        tokens_max=body.get("max_completion_tokens") or body.get("max_tokens") or 0,
        idempotent=idempotent,
    )
    return OnlineCall(
        info=info,
        path=path,
        body=make_engine_body(body, application),
        stream=stream,
        whole=not stream and not streamable,
        resumable=idempotent and streamable,
        first_token_target_s=service.first_token_target_s,
    )


def make_prefix_hash(body: dict[str, Any]) -> str:
    """Return the hash of the first SHARED_CHARS of the prompt, empty if there is no prompt.

    Engines identify cached prefixes by this hash.
    """
    messages = body.get("messages")
    if isinstance(messages, list):
        prompt = "\n".join(str(m.get("content", "")) for m in messages)
    else:
        prompt = body.get("prompt", "")
        prompt = prompt if isinstance(prompt, str) else "\n".join(prompt)
    if not prompt:
        return ""
    return xxhash.xxh3_64_hexdigest(prompt[:SHARED_CHARS].encode())


def normalize_path(path: str) -> str:
    """Return a path in the form in which a lenient target may interpret it.

    It is percent-decoded up to DECODINGS_MAX times, without query and segment parameters, and with
    backslashes, dot segments and repeated slashes resolved.
    """
    decoded = path.partition("?")[0]
    for _ in range(DECODINGS_MAX):
        decoded = unquote(decoded)
    bare = "/".join(segment.partition(";")[0] for segment in decoded.split("/"))
    return posixpath.normpath("/" + bare.lstrip("/").replace("\\", "/"))


def is_idempotent(service: ServiceSpec, method: str, path: str) -> bool:
    """Return whether a call may be repeated according to the rules of the service."""
    normal = normalize_path(path).casefold()
    for rule in service.non_idempotent:
        prefix = rule.path.rstrip("/").casefold()
        if method == rule.method and (normal == prefix or normal.startswith(prefix + "/")):
            return False
    return True


def _make_field_error(err: vol.Invalid) -> InvalidInputError:
    first = err.errors[0] if isinstance(err, vol.MultipleInvalid) else err
    name = ".".join(str(part) for part in first.path)[:100]
    return InvalidInputError(f"{name}: {first.error_message}", param=name or None)
