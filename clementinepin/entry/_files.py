"""Resource ``/v1/files``: uploaded files and the outputs of batch jobs."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, Final

from clementinepin.batch import FileRow
from clementinepin.entry._context import EntryContext
from clementinepin.entry._http import JSON_LINES_TYPE, Request, Response, make_json_response
from clementinepin.entry._multipart import MultipartReader
from clementinepin.entry.exceptions import MultipartInvalidError, UploadOrderError
from clementinepin.exceptions import ClementinepinError, InvalidInputError

PURPOSE_BATCH: Final = "batch"
PURPOSE_OUTPUT: Final = "batch_output"
OUTPUT_PREFIX: Final = "output-"
FILENAME_MAX_CHARS: Final = 255


class Files:
    """Stores and returns files."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    def upload(self, request: Request) -> Response:
        """Store an upload as it arrives and return the file.

        The ``purpose`` field must precede the file, because the file is stored while it is read.
        """
        reader = MultipartReader(request.get_header("Content-Type"), request.iter_body())
        purpose = ""
        while (part := reader.next_part()) is not None:
            if part.filename is None:
                text = reader.read_field()
                purpose = text if part.name == "purpose" else purpose
                continue
            if part.name != "file":
                raise MultipartInvalidError(
                    "the form field of the file must be named file", param="file"
                )
            _check_purpose(purpose)
            filename = part.filename[:FILENAME_MAX_CHARS]
            content = reader.iter_content()
            row = self._context.batch.store_file(request.account.name, filename, purpose, content)
            return make_json_response(format_file(row))
        raise InvalidInputError("the form has no file", param="file")

    def retrieve(self, request: Request) -> Response:
        """Return the description of a file or of a job's output."""
        account, file_id = request.account.name, request.params["file_id"]
        if file_id.startswith(OUTPUT_PREFIX):
            return make_json_response(self._describe_output(account, file_id))
        return make_json_response(format_file(self._context.batch.describe_file(account, file_id)))

    def read(self, request: Request) -> Response:
        """Return a stream of a file's content or of the results that a job has so far."""
        account, file_id = request.account.name, request.params["file_id"]
        batch = self._context.batch
        if file_id.startswith(OUTPUT_PREFIX):
            job_id = file_id.removeprefix(OUTPUT_PREFIX)
            batch.describe(account, job_id)
            content = batch.read_results(account, job_id)
        else:
            batch.describe_file(account, file_id)
            content = batch.read_file(account, file_id)
        return _stream_content(content)

    def _describe_output(self, account: str, file_id: str) -> dict[str, Any]:
        status = self._context.batch.describe(account, file_id.removeprefix(OUTPUT_PREFIX))
        return {
            "id": file_id,
            "object": "file",
            "bytes": 0,
            "created_at": int(status.created_at),
            "filename": f"{status.job_id}.jsonl",
            "purpose": PURPOSE_OUTPUT,
            "status": "processed",
        }


def format_file(row: FileRow) -> dict[str, Any]:
    """Return a file as an object of the callers' protocol."""
    return {
        "id": row.file_id,
        "object": "file",
        "bytes": row.size_bytes,
        "created_at": int(row.created_at),
        "filename": row.filename,
        "purpose": row.purpose,
        "status": "processed",
    }


def _check_purpose(purpose: str) -> None:
    if not purpose:
        raise UploadOrderError("the purpose field must come before the file", param="purpose")
    if purpose != PURPOSE_BATCH:
        raise InvalidInputError("purpose must be batch", param="purpose")


def _stream_content(content: Iterator[bytes]) -> Response:
    """Return a streamed response.

    Its first piece is read at once, so that a failure can still set the status.
    """
    try:
        first = next(content, b"")
    except ClementinepinError:
        content.close()  # type: ignore[attr-defined]
        raise
    return Response(200, [("Content-Type", JSON_LINES_TYPE)], _chain(first, content))


def _chain(first: bytes, rest: Iterator[bytes]) -> Iterator[bytes]:
    if first:
        yield first
    yield from rest
