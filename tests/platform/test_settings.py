from __future__ import annotations

import pytest

from clementinepin.platform import load_instance_settings
from clementinepin.serving.exceptions import SettingsError

FRONT = """
node = "front-1"
serves = ["front", "directory"]
ip = "127.0.0.1"
zone = "a"
region = "r"
internal_ports = [7720, 7735]
new_field = { nobody = "knows" }
[listen]
front = "127.0.0.1:8161"
ready = "127.0.0.1:8167"
directory = "127.0.0.1:8164"
[limits]
max_fds = 4200
[bounds]
grace_period_s = 8
settle_timeout_ms = 1000
[platform]
address = "127.0.0.2:8169"
"""


def load(tmp_path, text, **options):
    path = tmp_path / "local.toml"
    path.write_text(text)
    return load_instance_settings(str(path), **options)


def test_fields_are_decoded_into_settings(tmp_path):
    settings = load(tmp_path, FRONT, metrics_port=9464)
    assert (settings.name, settings.data_centre, settings.runs_jobs) == ("front-1", "a", False)
    assert settings.entry_address == ("127.0.0.1", 8161)
    assert settings.store_address == ("127.0.0.2", 8169)
    assert settings.metrics_address == ("127.0.0.1", 9464)
    assert (settings.grace_s, settings.settle_s, settings.connections_max) == (8.0, 1.0, 4000)


def test_a_store_machine_runs_jobs_and_has_no_entry_address(tmp_path):
    text = FRONT.replace('["front", "directory"]', '["store"]').replace("[listen]", "[other]")
    settings = load(tmp_path, text)
    assert settings.runs_jobs
    assert settings.entry_address is None


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ('node = "front-1"', "", "node"),
        ('ip = "127.0.0.1"', "ip = 7", "ip"),
        ("[7720, 7735]", "[]", "internal_ports"),
        ("127.0.0.1:8161", "nowhere", "nowhere"),
        ('address = "127.0.0.2:8169"', 'address = ""', "platform.address"),
        ("[platform]", "[[[", "local.toml"),
    ],
)
def test_an_error_names_the_invalid_field(tmp_path, old, new, named):
    with pytest.raises(SettingsError, match=named.replace(".", r"\.")):
        load(tmp_path, FRONT.replace(old, new))


def test_an_error_names_the_missing_file():
    with pytest.raises(SettingsError, match="nowhere"):
        load_instance_settings("/nowhere.toml")
