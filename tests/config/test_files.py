from __future__ import annotations

import hashlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from clementinepin.config import (
    ConfigurationInvalidError,
    ConfigurationIssue,
    ConfigurationPartError,
    decode_part,
    encode_parts,
    load_files,
    merge_parts,
)

KEY_DIGEST = hashlib.sha256(b"key").hexdigest()
FLEET = b"""
version = 1
[services.homily-lm]
kind = "engine"
checks_fencing = true
[services.desk]
kind = "plain"
non_idempotent = [{method = "POST", path = "/bookings"}]
[models.homily]
service = "homily-lm"
version = "1"
weights = "/homily/1"
[adapters.tags]
model = "homily"
version = "1"
weights = "/tags/1"
[applications.search]
model = "homily"
[applications.tagging]
model = "homily"
adapter = "tags"
priorities = ["batch"]
"""
ACCOUNTS = f"""
version = 1
[accounts.archive]
key_digests = ["{KEY_DIGEST}"]
applications = ["search", "tagging"]
services = ["desk"]
""".encode()


def _load(fleet: bytes = FLEET, accounts: bytes = ACCOUNTS):
    return load_files({"fleet.toml": fleet, "accounts.toml": accounts})


def _load_issues(
    fleet: bytes = FLEET, accounts: bytes = ACCOUNTS
) -> tuple[ConfigurationIssue, ...]:
    with pytest.raises(ConfigurationInvalidError) as caught:
        _load(fleet, accounts)
    return caught.value.issues


def test_load_files_fills_in_defaults():
    configuration = _load()
    assert configuration.revision == 0
    assert configuration.models["homily"].workers_min == 1
    assert configuration.applications["search"].priorities == ("online", "batch")
    assert configuration.services["desk"].non_idempotent[0].path == "/bookings"
    assert configuration.accounts["archive"].key_digests == (KEY_DIGEST,)


def test_unknown_key_is_reported_with_file_and_table():
    issues = _load_issues(FLEET.replace(b'kind = "plain"', b'kind = "plain"\nslot = 3'))
    assert [issue[:3] for issue in issues] == [("fleet.toml", "services.desk", "slot")]
    assert "slots_max" in issues[0].expected


@pytest.mark.parametrize(
    ("old", "new", "table", "key"),
    [
        (b'service = "homily-lm"', b'service = "desk"', "models.homily", "service"),
        (b'kind = "plain"', b'kind = "other"', "services.desk", "kind"),
        (
            b'[adapters.tags]\nmodel = "homily"',
            b'[adapters.tags]\nmodel = "x"',
            "adapters.tags",
            "model",
        ),
        (b'adapter = "tags"', b'adapter = "none"', "applications.tagging", "adapter"),
        (b'priorities = ["batch"]', b"priorities = []", "applications.tagging", "priorities"),
        (b'method = "POST"', b'method = "post"', "services.desk", "non_idempotent"),
        (b'weights = "/homily/1"', b"", "models.homily", "weights"),
        (b"version = 1\n", b"version = 2\n", "", "version"),
        (b"[services.desk]", b'[services."a/b"]', "services.a/b", ""),
        (b"checks_fencing = true", b"checks_fencing = 1", "services.homily-lm", "checks_fencing"),
    ],
)
def test_each_issue_names_table_and_key(old: bytes, new: bytes, table: str, key: str):
    assert old in FLEET
    issues = _load_issues(FLEET.replace(old, new, 1))
    assert ("fleet.toml", table, key) in [issue[:3] for issue in issues]


def test_issues_of_all_files_are_reported_together():
    issues = _load_issues(
        FLEET.replace(b'kind = "plain"', b"kind = 3"), b"version = 1\n[accounts.a]\n"
    )
    assert {issue.file for issue in issues} == {"fleet.toml", "accounts.toml"}


def test_table_in_two_files_is_rejected():
    issues = _load_issues(FLEET, ACCOUNTS + b'[services.desk]\nkind = "plain"\n')
    assert any("one file only" in issue.expected for issue in issues)


def test_account_with_an_undefined_application_is_rejected():
    issues = _load_issues(accounts=ACCOUNTS.replace(b'"search"', b'"gone"'))
    assert issues[0][:3] == ("accounts.toml", "accounts.archive", "applications")


def test_key_of_two_accounts_is_rejected():
    extra = f'[accounts.other]\nkey_digests = ["{KEY_DIGEST}"]\n'.encode()
    issues = _load_issues(accounts=ACCOUNTS + extra)
    assert issues[0].key == "key_digests"


@given(st.binary(max_size=200))
def test_arbitrary_bytes_raise_configuration_invalid_error(content: bytes):
    with pytest.raises(ConfigurationInvalidError):
        load_files({"a.toml": content})


def test_parts_decode_to_the_same_rows():
    configuration = _load()
    parts = {
        digest: decode_part(digest, data) for digest, data in encode_parts(configuration).items()
    }
    assert merge_parts(0, parts) == configuration


def test_damaged_part_is_rejected():
    """Mutation: remove check_part from decode_part."""
    parts = encode_parts(_load())
    digest, other, *_ = parts
    with pytest.raises(ConfigurationPartError):
        decode_part(digest, parts[other])


def test_one_changed_account_changes_one_part():
    """Mutation: encode all rows of a table as one part."""
    lines = [b"version = 1\n"]
    lines += [
        f'[accounts.a{n}]\nkey_digests = ["{hashlib.sha256(b"%d" % n).hexdigest()}"]\n'.encode()
        for n in range(1000)
    ]
    before = encode_parts(_load(accounts=b"".join(lines)))
    lines[500] += b"weight = 2.0\n"
    after = encode_parts(_load(accounts=b"".join(lines)))
    changed = set(after) - set(before)
    assert len(changed) == 1
    assert len(after[changed.pop()]) * 10 < sum(len(part) for part in after.values())
