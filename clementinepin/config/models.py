"""Data types of the operators' configuration and of the daemon's settings."""

from __future__ import annotations

from typing import NamedTuple


class ModelSpec(NamedTuple):
    """A model that the engines of one service load.

    ``weights`` is a path in the weight store.
    """

    name: str
    service: str
    version: str
    weights: str
    context_max_tokens: int
    workers_min: int


class AdapterSpec(NamedTuple):
    """An adapter for a model; ``weights`` is a path in the weight store."""

    name: str
    model: str
    version: str
    weights: str


class ApplicationSpec(NamedTuple):
    """What callers request as ``model``: a model, an optional adapter, and where it may run.

    ``priorities`` lists the allowed values of Priority; an empty ``data_centres`` or ``regions``
    means any.
    """

    name: str
    model: str
    adapter: str | None
    priorities: tuple[str, ...]
    data_centres: tuple[str, ...]
    regions: tuple[str, ...]


class PathRule(NamedTuple):
    """A method and path prefix of a plain service whose requests must not be repeated."""

    method: str
    path: str


class ServiceSpec(NamedTuple):
    """A pool of targets; ``kind`` is ``engine`` or ``plain``.

    ``slots_max`` limits the concurrent requests of each target; ``checks_fencing`` tells whether
    the targets refuse an order with an outdated fencing number. ``preference`` ranges from 0.0
    (batch throughput) to 1.0 (online tail latency).
    """

    name: str
    kind: str
    slots_max: int
    checks_fencing: bool
    preference: float
    first_token_target_s: float
    between_tokens_target_s: float
    request_timeout_s: float
    non_idempotent: tuple[PathRule, ...]


class AccountSpec(NamedTuple):
    """A client_account with the SHA-256 digests (hex) of its keys and its limits.

    The limits apply to all instances together; each enforces its share.
    """

    name: str
    key_digests: tuple[str, ...]
    applications: tuple[str, ...]
    services: tuple[str, ...]
    concurrency_max: int
    requests_per_s: float
    tokens_per_s: float
    weight: float


class Configuration(NamedTuple):
    """One accepted file set; ``digest`` covers all rows, ``revision`` increases monotonically."""

    revision: int
    digest: str
    models: dict[str, ModelSpec]
    adapters: dict[str, AdapterSpec]
    applications: dict[str, ApplicationSpec]
    services: dict[str, ServiceSpec]
    accounts: dict[str, AccountSpec]


class InstanceSettings(NamedTuple):
    """Identity and IP address of one process."""

    name: str
    address: str
    port: int
    peer_port: int
    data_centre: str
    region: str


class PlatformSettings(NamedTuple):
    """Addresses of the platform's services, and the limit of calls to the key-value service.

    ``key_value_calls_per_s`` is this process's share of the rate that the service allows.
    """

    key_value: tuple[str, ...]
    instance_list: str
    weight_store: str
    key_value_calls_per_s: float


class StorageSettings(NamedTuple):
    """Optional data folder for segments, and how many bytes it may hold."""

    folder: str | None
    budget_bytes: int


class LimitSettings(NamedTuple):
    """Limits on the resources that callers may use in this process, and times in seconds.

    ``advice_s`` is how long callers may rely on a list of entries, ``drain_s`` how long a drain
    may take.
    """

    body_max_bytes: int
    connections_max: int
    queue_max: int
    header_timeout_s: float
    advice_s: float
    drain_s: float


class SecuritySettings(NamedTuple):
    """Secrets and TLS files; none of these values leaves the process."""

    peer_secret: str
    operator_key_digest: str
    tls_certificate: str | None
    tls_key: str | None
    peer_tls_ca: str | None


class LogSettings(NamedTuple):
    """Log output: ``format`` is ``text`` or ``json``, ``level`` the lowest level written."""

    format: str
    level: str


class MetricsSettings(NamedTuple):
    """Address of the statsd collector; without a host, metrics are off."""

    host: str | None
    port: int
    prefix: str


class Settings(NamedTuple):
    """All settings of one daemon."""

    version: int
    instance: InstanceSettings
    platform: PlatformSettings
    storage: StorageSettings
    limits: LimitSettings
    security: SecuritySettings
    logs: LogSettings
    metrics: MetricsSettings
    allowance_policy: str
