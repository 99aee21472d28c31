"""Uploads: streamed into segments, and validated and cut into shards if meant for a job."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterable, Iterator

import gevent
import xxhash

from clementinepin.batch._codec import key_file
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
FILE_KEEP_S = 14 * 86_400.0
FILE_MAX_BYTES = 2_000_000_000
ITEMS_MAX = 500_000
SHARD_MAX_BYTES = 1_000_000
SHARD_SIZES = ((256, 16), (4_096, 64))
SHARD_ITEMS_MAX = 256
CheckModel = Callable[[str, str], bool]


def choose_shard_size(first_item: int) -> int:
    """Return the items of the shard that starts at an item.

    Small jobs spread over many instances; big ones pay few calls for an item.
    """
    for bound, size in SHARD_SIZES:
        if first_item < bound:
            return size
    return SHARD_ITEMS_MAX


class FileStore:
    """Files of accounts: a record in the key-value service, content in segments."""

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
        """Make an upload durable; its record is written last, so nothing is kept in part."""
        now = self._clock.wall()
        record = FileRecord(
            file_id=f"file-{secrets.token_hex(16)}",
            account=account,
            filename=filename,
            purpose=purpose,
            size_bytes=0,
            created_at=now,
            keep_until=now + FILE_KEEP_S,
            segments=(),
        )
        counter = _SizeCounter()
        if purpose == PURPOSE_BATCH:
            record = self._store_input(record, counter.count(chunks))
        else:
            names = [self._segments.write(part) for part in _cut_bytes(counter.count(chunks))]
            record = record._replace(segments=tuple(names))
        record = record._replace(size_bytes=counter.size_bytes)
        self._key_value.put(key_file(account, record.file_id), encode_row(record), expected=0)
        return record

    def load(self, account: str, file_id: str) -> FileRecord:
        """Return a file's record; raises FileNotFoundInAccountError."""
        stored = self._key_value.get(key_file(account, file_id))
        if stored is None:
            raise FileNotFoundInAccountError(file_id, param="file_id")
        return decode_row(stored.value, FileRecord)

    def read(self, record: FileRecord) -> Iterator[bytes]:
        """Stream a file's content, a segment at a time."""
        for name in record.segments:
            yield self._segments.read(name)

    def _store_input(self, record: FileRecord, chunks: Iterable[bytes]) -> FileRecord:
        cutter = _InputCutter(self._segments, record.account, self._check_model)
        for number, line in enumerate(split_lines(chunks), start=1):
            cutter.add(line, number)
        plan = cutter.finish()
        return record._replace(
            segments=tuple(shard.segment for shard in plan.shards),
            plan=self._segments.write(encode_row(plan)),
            application=plan.application,
            endpoint=plan.endpoint,
            items=sum(shard.items for shard in plan.shards),
        )


class _InputCutter:
    """Validates lines and writes a segment for each shard."""

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
        """Validate a line and take it in."""
        item = parse_line(line, number)
        self._check_alike(read_model(item, number), item.url, number)
        self._check_unique(item.custom_id, number)
        if self._lines and self._size_bytes + len(line) > SHARD_MAX_BYTES:
            self._flush()
        self._lines.append(line)
        self._size_bytes += len(line) + 1
        if len(self._lines) >= choose_shard_size(self._first_item):
            self._flush()

    def finish(self) -> PlanRow:
        """Write what is left and return the plan."""
        if self._lines:
            self._flush()
        if not self._shards:
            raise InvalidBatchError("the file has no lines", param="file")
        return PlanRow(self._application, self._endpoint, tuple(self._shards))

    def _check_alike(self, model: str, url: str, number: int) -> None:
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
            raise DuplicateCustomIdError(number, f"custom_id {custom_id!r} is used twice")
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
    """Counts the bytes that pass and bounds them."""

    def __init__(self) -> None:
        self.size_bytes = 0

    def count(self, chunks: Iterable[bytes]) -> Iterator[bytes]:
        """Yield the chunks; raises InvalidBatchError beyond the bound."""
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


def _cut_bytes(chunks: Iterable[bytes]) -> Iterator[bytes]:
    """Yield parts of at most a segment's size."""
    buffer = bytearray()
    for chunk in chunks:
        buffer += chunk
        while len(buffer) >= SHARD_MAX_BYTES:
            yield bytes(buffer[:SHARD_MAX_BYTES])
            del buffer[:SHARD_MAX_BYTES]
    if buffer:
        yield bytes(buffer)
