"""Errors of requests by callers and operators."""

from __future__ import annotations

from clementinepin.exceptions import (
    ClementinepinError,
    ConflictError,
    InvalidInputError,
    NotRunError,
    Outcome,
    OutcomeUnknownError,
)


class AuthenticationError(InvalidInputError):
    """The key is missing or belongs to no account."""

    code = "invalid_api_key"
    status = 401


class PermissionDeniedError(InvalidInputError):
    """The key is valid, but does not give access to this resource."""

    code = "permission_denied"
    status = 403


class RouteNotFoundError(InvalidInputError):
    """No resource has this path."""

    code = "route_not_found"
    status = 404


class MethodNotAllowedError(InvalidInputError):
    """The resource does not support the method."""

    code = "method_not_allowed"
    status = 405


class ApplicationNotFoundError(InvalidInputError):
    """The model that the caller names is not an application of this account."""

    code = "model_not_found"
    status = 404


class ServiceNotFoundError(InvalidInputError):
    """The plain service does not exist for this account."""

    code = "service_not_found"
    status = 404


class BodyTooLargeError(InvalidInputError):
    """The body is larger than the limit."""

    code = "body_too_large"
    status = 413


class BodyTimeoutError(InvalidInputError):
    """The body arrived too slowly."""

    code = "body_timeout"
    status = 408


class BodyIncompleteError(InvalidInputError):
    """The connection ended before the body did, or its framing is broken."""

    code = "body_incomplete"


class HeadersRejectedError(InvalidInputError):
    """The request line or header section is malformed or too large."""

    code = "headers_rejected"


class HeaderTimeoutError(InvalidInputError):
    """The header section was not received in time."""

    code = "header_timeout"
    status = 408


class JsonInvalidError(InvalidInputError):
    """The body is not a JSON object in UTF-8."""

    code = "invalid_json"


class DeadlineInvalidError(InvalidInputError):
    """The deadline header is not a time in seconds."""

    code = "invalid_deadline"


class DeadlinePassedError(NotRunError):
    """The deadline passed before the request was sent to a target."""

    code = "deadline_passed"
    status = 504


class ResumeTokenInvalidError(InvalidInputError):
    """The resume token is malformed, forged, expired or belongs to another request."""

    code = "invalid_resume_token"


class ConnectionsExhaustedError(NotRunError):
    """The instance has reached its connection limit."""

    code = "connections_exhausted"


class BodyMemoryExhaustedError(NotRunError):
    """The instance has no memory left for request bodies."""

    code = "body_memory_exhausted"


class InstanceLeavingError(NotRunError):
    """The instance is draining. The message lists other instances."""

    code = "instance_leaving"


class ConfigurationMissingError(NotRunError):
    """The instance has no configuration yet."""

    code = "configuration_missing"


class AnswerUnknownError(OutcomeUnknownError):
    """The outcome is unknown: an attempt may have run, but no complete response was received."""

    code = "answer_unknown"


class AnswerTooLargeError(OutcomeUnknownError):
    """The call ran, but its response is too large to store under its idempotency key."""

    code = "answer_too_large"


class UploadOrderError(InvalidInputError):
    """A form field that must precede the file is missing before it."""

    code = "upload_order"


class MultipartInvalidError(InvalidInputError):
    """The multipart body is malformed."""

    code = "invalid_multipart"


class FileSetInvalidError(InvalidInputError):
    """The operator's body is not a set of files."""

    code = "invalid_file_set"


class NotResumableError(ConflictError):
    """The request can't be resumed."""

    code = "not_resumable"
    outcome = Outcome.OUTCOME_UNKNOWN


class InternalFaultError(ClementinepinError):
    """An unexpected error in this program. The log has the details."""

    code = "internal_error"
    outcome = Outcome.OUTCOME_UNKNOWN
