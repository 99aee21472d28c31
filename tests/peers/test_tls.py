from __future__ import annotations

import datetime
import ipaddress
import random
import time
from pathlib import Path

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from clementinepin.core import Core
from clementinepin.helpers.clock import create_system_clock
from clementinepin.helpers.metrics import create_metrics
from clementinepin.peers import PeerUnavailableError, create_peer_network
from clementinepin.peers._membership import create_own_row
from clementinepin.systems.membership import merge_listed
from tests.peers.conftest import create_settings
from tests.ports import find_port


def _write_pair(folder: Path, name: str) -> tuple[str, str]:
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
    now = datetime.datetime.now(datetime.UTC)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - datetime.timedelta(hours=1))
        .not_valid_after(now + datetime.timedelta(days=1))
        .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
        .add_extension(
            x509.SubjectAlternativeName([x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]),
            critical=False,
        )
        .sign(key, hashes.SHA256())
    )
    certificate_path = folder / f"{name}.pem"
    key_path = folder / f"{name}.key"
    certificate_path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    key_path.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return str(certificate_path), str(key_path)


def _create_core(name: str, pair: tuple[str, str]) -> Core:
    settings = create_settings(name, port=find_port())
    security = settings.security._replace(
        tls_certificate=pair[0], tls_key=pair[1], peer_tls_ca=pair[0]
    )
    settings = settings._replace(security=security)
    return Core(settings, create_system_clock(), create_metrics(None, 0, ""), random.Random(1))


@pytest.mark.parametrize("same_ca", [True, False])
def test_only_peers_with_a_certificate_of_the_ca_can_call_each_other(tmp_path: Path, same_ca: bool):
    """Mutation: set verify_mode to CERT_NONE in both contexts."""
    first = _write_pair(tmp_path, "a")
    second = first if same_ca else _write_pair(tmp_path, "b")
    cores = [_create_core("a", first), _create_core("b", second)]
    networks = [create_peer_network(core) for core in cores]
    for network in networks:
        merge_listed(network._membership.table, [create_own_row(core) for core in cores])
        network.start()
        network._prober.kill()
    networks[1].register("echo", lambda sender, message: {"from": sender})
    deadline = time.monotonic() + 5.0
    try:
        if same_ca:
            assert networks[0].call("b", "echo", {}, deadline=deadline) == {"from": "a"}
        else:
            with pytest.raises(PeerUnavailableError):
                networks[0].call("b", "echo", {}, deadline=deadline)
    finally:
        for network in networks:
            network.stop(0.0)
