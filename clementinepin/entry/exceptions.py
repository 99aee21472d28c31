"""Failures of callers' and operators' requests."""

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
    """The key is valid, but not for this resource."""

    code = "permission_denied"
    status = 403


class RouteNotFoundError(InvalidInputError):
    """No resource has this path."""

    code = "route_not_found"
    status = 404


class MethodNotAllowedError(InvalidInputError):
    """The resource has no such method."""

    code = "method_not_allowed"
    status = 405


class ApplicationNotFoundError(InvalidInputError):
    """The model that the caller names is not an application of this account."""

    code = "model_not_found"
    status = 404


class ServiceNotFoundError(InvalidInputError):
    """The plain service is not one of this account."""

    code = "service_not_found"
    status = 404


class BodyTooLargeError(InvalidInputError):
    """The body is above the limit."""

    code = "body_too_large"
    status = 413


class BodyTimeoutError(InvalidInputError):
    """The body came too slowly."""

    code = "body_timeout"
    status = 408


class BodyIncompleteError(InvalidInputError):
    """The connection ended before the body did, or its framing is broken."""

    code = "body_incomplete"


class HeadersRejectedError(InvalidInputError):
    """The request line or header section is malformed or too large."""

    code = "headers_rejected"


class HeaderTimeoutError(InvalidInputError):
    """The header section came too slowly."""

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
    """The resume token is forged, expired or belongs to another request."""

    code = "invalid_resume_token"


class ConnectionsExhaustedError(NotRunError):
    """The instance has as many connections as it may."""

    code = "connections_exhausted"


class BodyMemoryExhaustedError(NotRunError):
    """The bodies that this instance holds take all the memory they may."""

    code = "body_memory_exhausted"


class InstanceLeavingError(NotRunError):
    """The instance is leaving; the message names others."""

    code = "instance_leaving"


class ConfigurationMissingError(NotRunError):
    """No configuration is known here yet."""

    code = "configuration_missing"


class AnswerUnknownError(OutcomeUnknownError):
    """An earlier attempt may have run, and no further one could finish."""

    code = "answer_unknown"


class AnswerTooLargeError(OutcomeUnknownError):
    """The answer ran, but is too large to be kept under its idempotency key."""

    code = "answer_too_large"


class UploadOrderError(InvalidInputError):
    """A form field that is needed first came behind the file."""

    code = "upload_order"


class MultipartInvalidError(InvalidInputError):
    """The multipart body is malformed."""

    code = "invalid_multipart"


class FileSetInvalidError(InvalidInputError):
    """The operator's body is not a set of files."""

    code = "invalid_file_set"


class NotResumableError(ConflictError):
    """The request may not be continued elsewhere."""

    code = "not_resumable"
    outcome = Outcome.OUTCOME_UNKNOWN


class InternalFaultError(ClementinepinError):
    """A defect of this program; the log has the details."""

    code = "internal_error"
    outcome = Outcome.OUTCOME_UNKNOWN
