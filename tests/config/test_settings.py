from __future__ import annotations

from pathlib import Path

import pytest

from clementinepin.config import SettingsInvalidError, dump_redacted, load_settings

SECRET = "correct-horse-battery"
TEXT = f"""
version = 1
[instance]
name = "n1"
address = "127.0.0.1"
port = 8000
peer_port = 8001
data_centre = "dc1"
region = "r1"
[platform]
key_value = ["127.0.0.1:2379"]
instance_list = "127.0.0.1:2380"
weight_store = "127.0.0.1:2381"
[security]
peer_secret = "{SECRET}"
operator_key_digest = "{"0" * 64}"
"""


def _write(tmp_path: Path, text: str) -> Path:
    path = tmp_path / "settings.toml"
    path.write_text(text)
    return path


def _load_issues(tmp_path: Path, text: str) -> list[tuple[str, str]]:
    with pytest.raises(SettingsInvalidError) as caught:
        load_settings(_write(tmp_path, text))
    return [(issue.table, issue.key) for issue in caught.value.issues]


def test_absent_keys_get_defaults(tmp_path: Path):
    settings = load_settings(_write(tmp_path, TEXT))
    assert settings.instance.data_centre == "dc1"
    assert settings.limits.advice_s == 10.0
    assert settings.storage.folder is None
    assert settings.allowance_policy == "adaptive"


def test_version_0_migrates_the_renamed_key(tmp_path: Path):
    """Mutation: remove _migrate_0."""
    text = TEXT.replace("version = 1", "version = 0").replace("data_centre", "zone")
    assert load_settings(_write(tmp_path, text)) == load_settings(_write(tmp_path, TEXT))


def test_old_name_of_a_key_is_rejected_in_the_new_version(tmp_path: Path):
    issues = _load_issues(tmp_path, TEXT.replace("data_centre", "zone"))
    assert issues == [("instance", "data_centre"), ("instance", "zone")]


@pytest.mark.parametrize(
    ("old", "new", "table", "key"),
    [
        ("version = 1", "version = 2", "", "version"),
        ("version = 1", "version = 1\nallowance_policy = 'x'", "", "allowance_policy"),
        ("version = 1", "version = 1\nextra = 1", "", "extra"),
        ('"127.0.0.1"', '"localhost"', "instance", "address"),
        ("port = 8000", "port = 80000", "instance", "port"),
        ('["127.0.0.1:2379"]', '["kv:2379"]', "platform", "key_value"),
        (SECRET, "short", "security", "peer_secret"),
        ("[security]", "[security]\ntls_key = 'k'", "security", "tls_key"),
        ("[security]", "[logs]\nlevel = 'LOUD'\n[security]", "logs", "level"),
    ],
)
def test_each_issue_names_table_and_key(tmp_path: Path, old: str, new: str, table: str, key: str):
    assert _load_issues(tmp_path, TEXT.replace(old, new, 1)) == [(table, key)]


def test_absent_or_malformed_file_raises_settings_invalid_error(tmp_path: Path):
    with pytest.raises(SettingsInvalidError):
        load_settings(tmp_path / "absent.toml")
    assert _load_issues(tmp_path, "version = ") == [("", "")]


def test_redacted_dump_holds_no_secret(tmp_path: Path):
    """Mutation: remove peer_secret from SECRET_KEYS."""
    dump = dump_redacted(load_settings(_write(tmp_path, TEXT)))
    assert SECRET not in str(dump)
    assert dump["instance"]["name"] == "n1"
