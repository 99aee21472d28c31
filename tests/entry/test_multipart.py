from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from clementinepin.entry._multipart import MultipartReader
from clementinepin.entry.exceptions import MultipartInvalidError

TYPE = "multipart/form-data; boundary=B"


def split(data, size):
    return iter([data[i : i + size] for i in range(0, len(data), size)])


def make_form(parts):
    pieces = []
    for name, filename, content in parts:
        suffix = f'; filename="{filename}"' if filename else ""
        head = f'--B\r\nContent-Disposition: form-data; name="{name}"{suffix}\r\n\r\n'
        pieces.append(head.encode() + content + b"\r\n")
    return b"".join(pieces) + b"--B--\r\n"


def read_form(data, size, content_type=TYPE):
    reader = MultipartReader(content_type, split(data, size))
    parts = []
    while (part := reader.next_part()) is not None:
        parts.append((part.name, part.filename, b"".join(reader.iter_content())))
    return parts


@given(
    contents=st.lists(st.binary(max_size=80), min_size=1, max_size=4),
    size=st.integers(1, 40),
)
def test_a_form_is_read_correctly_for_any_piece_size(contents, size):
    """Mutation: ``iter_content`` holds back one byte less: a split boundary is read as content."""
    contents = [c for c in contents if b"--B" not in c]
    parts = [(f"f{i}", f"n{i}", c) for i, c in enumerate(contents)]
    assert read_form(make_form(parts), size) == parts


@given(st.binary(max_size=60), st.integers(1, 70))
def test_a_boundary_split_between_pieces_is_found(content, size):
    content = content.replace(b"--B", b"")
    parts = [("file", "n", b"\r\n-" + content + b"\r\n--")]
    assert read_form(make_form(parts), size) == parts


@given(data=st.binary(max_size=300), size=st.integers(1, 50))
def test_any_bytes_are_read_or_raise_multipart_invalid_error(data, size):
    for form in (data, b"--B\r\n" + data, make_form([("a", "b", b"c")])[:-9] + data):
        try:
            read_form(form, size)
        except MultipartInvalidError:
            continue


@given(st.text(max_size=80))
def test_any_content_type_is_read_or_raises_multipart_invalid_error(text):
    try:
        read_form(b"", 1, "multipart/form-data; " + text)
    except MultipartInvalidError:
        return


@pytest.mark.parametrize(
    "data",
    [
        b"--B\r\n" + b"X: y\r\n" * 5_000,
        make_form([(f"f{i}", None, b"") for i in range(40)]),
        b"--B\r\nContent-Disposition: form-data\r\n\r\n\r\n--B--",
        b"--Bxx",
    ],
)
def test_too_many_parts_and_malformed_parts_are_rejected(data):
    with pytest.raises(MultipartInvalidError):
        read_form(data, 1000)


def test_a_large_file_is_read_in_bounded_pieces():
    reader = MultipartReader(TYPE, split(make_form([("file", "n", b"x" * 1_000_000)]), 10_000))
    reader.next_part()
    sizes = [len(piece) for piece in reader.iter_content()]
    assert sum(sizes) == 1_000_000
    assert max(sizes) <= 10_100
