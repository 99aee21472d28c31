from __future__ import annotations

import datetime
import ipaddress
import socket
import ssl
from functools import partial

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

from clementinepin._cli.client import EntryClient, parse_entry
from tests.entry.fakes import KEY, read_to_end, run_in_thread
from tests.targets.scripted import make_reply


@pytest.fixture
def tls_files(tmp_path):
    key = ec.generate_private_key(ec.SECP256R1())
    name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, "entry")])
    start = datetime.datetime(2020, 1, 1, tzinfo=datetime.UTC)
    address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
    certificate = (
        x509.CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(1)
        .not_valid_before(start)
        .not_valid_after(start + datetime.timedelta(days=36_500))
        .add_extension(x509.SubjectAlternativeName([address]), critical=False)
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    (tmp_path / "cert.pem").write_bytes(certificate.public_bytes(pem))
    (tmp_path / "key.pem").write_bytes(
        key.private_bytes(pem, serialization.PrivateFormat.PKCS8, serialization.NoEncryption())
    )
    return {
        "tls_certificate": str(tmp_path / "cert.pem"),
        "tls_key": str(tmp_path / "key.pem"),
    }


def fetch_health(port, certificate):
    context = ssl.create_default_context(cafile=certificate)
    plain = socket.create_connection(("127.0.0.1", port), timeout=5.0)
    with context.wrap_socket(plain, server_hostname="127.0.0.1") as sock:
        sock.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        return sock.recv(65536)


def test_only_tls_connections_are_served(serve, tls_files):
    entry = serve(security=tls_files, limits={"header_timeout_s": 5.0})
    response = run_in_thread(lambda: fetch_health(entry.entry.port, tls_files["tls_certificate"]))
    assert response.startswith(b"HTTP/1.1 200")
    plain = entry.connect()
    plain.sendall(b"GET /healthz HTTP/1.1\r\n\r\n")
    try:
        assert not read_to_end(plain).startswith(b"HTTP")
    except ConnectionResetError:
        plain.close()


def test_a_stalled_tls_handshake_times_out(serve, tls_files):
    """Mutation: no timeout on the handshake: the connection stays open forever."""
    entry = serve(security=tls_files)
    stalled = entry.connect()
    stalled.sendall(b"\x16\x03\x01")
    assert read_to_end(stalled) == b""


@pytest.mark.parametrize("size", [0, 1_000_000])
def test_the_command_lines_client_sends_and_reads_over_tls(serve, tls_files, size):
    limits = {"header_timeout_s": 5.0, "body_max_bytes": 2_000_000}
    entry = serve(lambda _: [make_reply(b"y" * size)], security=tls_files, limits=limits)
    address = parse_entry(f"https://127.0.0.1:{entry.entry.port}")
    client = EntryClient([address], KEY, tls_files["tls_certificate"])
    pieces = [b"x" * (size // 4)] * 4
    for body in (b"".join(pieces), lambda: iter(pieces)):
        response = run_in_thread(partial(client.send, "POST", "/services/desk/stalls", body))
        assert (response.status, response.body) == (200, b"y" * size)
    assert [request["body"] for request in entry.targets[0].requests] == [b"".join(pieces)] * 2
