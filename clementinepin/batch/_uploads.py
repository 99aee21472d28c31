"""Stores uploaded files in segments; batch input is validated and split into shards."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterable, Iterator

import gevent
import xxhash

from clementinepin.batch._codec import NAME_SHOWN_CHARS, is_name, key_file
from clementinepin.batch._lines import parse_line, read_model, split_lines
from clementinepin.batch.exceptions import (
    DuplicateCustomIdError,
    FileNotFoundInAccountError,
    InvalidBatchError,
    InvalidLineError,
    UnknownModelError,
)
from clementinepin.batch.models import FileRow
from clementinepin.helpers.clock import Clock
from clementinepin.helpers.rows import decode_row, encode_row
from clementinepin.infrastructure import KeyValueStore
from clementinepin.storage import SegmentStore
from clementinepin.tables import FileRecord, PlanRow, ShardInput

PURPOSE_BATCH = "batch"
FILE_RETENTION_S = 14 * 86_400.0
FILE_MAX_BYTES = 2_000_000_000
ITEMS_MAX = 500_000
SHARD_MAX_BYTES = 1_000_000
# (bound, items): a shard whose first item is below the bound has at most this many items.
SHARD_SIZES = ((256, 16), (4_096, 64))
SHARD_ITEMS_MAX = 256
CheckModel = Callable[[str, str], bool]


def choose_shard_size(first_item: int) -> int:
    """Return the maximum number of items of the shard that starts with ``first_item``.

    Early shards are small, so that small jobs spread over many instances. Later ones are large, so
    that large jobs need few calls per item.
    """
    for bound, size in SHARD_SIZES:
        if first_item < bound:
            return size
    return SHARD_ITEMS_MAX


class FileStore:
    """Files of accounts: records in the key-value service, content in segments."""

    def __init__(
        self,
        key_value: KeyValueStore,
        segments: SegmentStore,
        clock: Clock,
        check_model: CheckModel,
    ) -> None:
        self._key_value = key_value
        self._segments = segments
        self._clock = clock
        self._check_model = check_model

    def store(
        self, account: str, filename: str, purpose: str, chunks: Iterable[bytes]
    ) -> FileRecord:
        """Store an upload durably and return its record.

        The record is written last, so a failed upload leaves no file. Raises InvalidBatchError or
        InvalidLineError if the content is invalid.
        """
        now = self._clock.wall()
        record = FileRecord(
            file_id=f"file-{secrets.token_hex(16)}",
            account=account,
            filename=filename,
            purpose=purpose,
            size_bytes=0,
            created_at=now,
            keep_until=now + FILE_RETENTION_S,
            segments=(),
        )
        counter = _SizeCounter()
        if purpose == PURPOSE_BATCH:
            record = self._store_input(record, counter.count(chunks))
        else:
            names = [self._segments.write(part) for part in _split_bytes(counter.count(chunks))]
            record = record._replace(segments=tuple(names))
        record = record._replace(size_bytes=counter.size_bytes)
        self._key_value.put(key_file(account, record.file_id), encode_row(record), expected=0)
        return record

    def load(self, account: str, file_id: str) -> FileRecord:
        """Return a file's record. Raise FileNotFoundInAccountError if there is none."""
        key = key_file(account, file_id)
        stored = self._key_value.get(key) if is_name(account, file_id) else None
        if stored is None:
            raise FileNotFoundInAccountError(file_id[:NAME_SHOWN_CHARS], param="file_id")
        return decode_row(stored.value, FileRecord)

    def read(self, record: FileRecord) -> Iterator[bytes]:
        """Yield a file's content, one segment at a time."""
        for name in record.segments:
            yield self._segments.read(name)

    def _store_input(self, record: FileRecord, chunks: Iterable[bytes]) -> FileRecord:
        splitter = _InputSplitter(self._segments, record.account, self._check_model)
        for number, line in enumerate(split_lines(chunks), start=1):
            splitter.add(line, number)
        plan = splitter.finish()
        return record._replace(
            segments=tuple(shard.segment for shard in plan.shards),
            plan=self._segments.write(encode_row(plan)),
            application=plan.application,
            endpoint=plan.endpoint,
            items=sum(shard.items for shard in plan.shards),
        )


class _InputSplitter:
    """Validates input lines and writes a segment for each shard."""

    def __init__(self, segments: SegmentStore, account: str, check_model: CheckModel) -> None:
        self._segments = segments
        self._account = account
        self._check_model = check_model
        self._application = ""
        self._endpoint = ""
        self._seen: set[int] = set()
        self._lines: list[bytes] = []
        self._size_bytes = 0
        self._first_item = 0
        self._shards: list[ShardInput] = []

    def add(self, line: bytes, number: int) -> None:
        """Validate a line and add it to the current shard. Raise InvalidLineError if it is bad."""
        item = parse_line(line, number)
        self._check_same_model_and_url(read_model(item, number), item.url, number)
        self._check_unique(item.custom_id, number)
        if self._lines and self._size_bytes + len(line) > SHARD_MAX_BYTES:
            self._flush()
        self._lines.append(line)
        self._size_bytes += len(line) + 1
        if len(self._lines) >= choose_shard_size(self._first_item):
            self._flush()

    def finish(self) -> PlanRow:
        """Write the last shard and return the plan. Raise InvalidBatchError if there is no line."""
        if self._lines:
            self._flush()
        if not self._shards:
            raise InvalidBatchError("the file has no lines", param="file")
        return PlanRow(self._application, self._endpoint, tuple(self._shards))

    def _check_same_model_and_url(self, model: str, url: str, number: int) -> None:
        if not self._application:
            if not self._check_model(self._account, model):
                raise UnknownModelError(number, f"model {model!r} is not open to this account")
            self._application, self._endpoint = model, url
        if model != self._application:
            raise InvalidLineError(number, "all lines must name the same model")
        if url != self._endpoint:
            raise InvalidLineError(number, "all lines must name the same url")

    def _check_unique(self, custom_id: str, number: int) -> None:
        digest = xxhash.xxh3_128_intdigest(custom_id.encode())
        if digest in self._seen:
            raise DuplicateCustomIdError(number, f"custom_id {custom_id!r} is already used")
        if len(self._seen) >= ITEMS_MAX:
            raise InvalidLineError(number, f"a job has at most {ITEMS_MAX} items")
        self._seen.add(digest)

    def _flush(self) -> None:
        data = b"\n".join(self._lines) + b"\n"
        self._shards.append(ShardInput(self._segments.write(data), len(self._lines)))
        self._first_item += len(self._lines)
        self._lines = []
        self._size_bytes = 0
        gevent.sleep(0)


class _SizeCounter:
    """Counts the bytes of an upload and enforces the size limit."""

    def __init__(self) -> None:
        self.size_bytes = 0

    def count(self, chunks: Iterable[bytes]) -> Iterator[bytes]:
        """Yield the chunks. Raise InvalidBatchError beyond ``FILE_MAX_BYTES``."""
        for chunk in chunks:
            self.size_bytes += len(chunk)
            if self.size_bytes > FILE_MAX_BYTES:
                raise InvalidBatchError(f"a file has at most {FILE_MAX_BYTES} bytes", param="file")
            yield chunk


def describe_record(record: FileRecord) -> FileRow:
    """Return the public row of a file."""
    return FileRow(
        file_id=record.file_id,
        account=record.account,
        filename=record.filename,
        purpose=record.purpose,
        size_bytes=record.size_bytes,
        created_at=record.created_at,
        segments=record.segments,
    )


def _split_bytes(chunks: Iterable[bytes]) -> Iterator[bytes]:
    """Yield parts of ``SHARD_MAX_BYTES``; the last one may be shorter."""
    buffer = bytearray()
    for chunk in chunks:
        buffer += chunk
        while len(buffer) >= SHARD_MAX_BYTES:
            yield bytes(buffer[:SHARD_MAX_BYTES])
            del buffer[:SHARD_MAX_BYTES]
    if buffer:
        yield bytes(buffer)
