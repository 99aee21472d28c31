"""What other processes wrote is decoded in one way, which has one documented error."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
PRODUCT = ROOT / "clementinepin"
HELPERS = PRODUCT / "helpers"
PARSERS = re.compile(
    r"msgspec\.(json|msgpack)\.(decode|Decoder)\(|msgspec\.convert\(|tomllib\.loads\("
    r"|ZstdDecompressor|b64decode\(|json\.loads\("
)
GUARD = re.compile(r"@guard_decoder\ndef (?:.|\n)*?\n(?=\n\n|\Z)")


def test_parsers_are_called_only_through_the_helper():
    offending = []
    for path in sorted(PRODUCT.rglob("*.py")):
        if HELPERS in path.parents:
            continue
        unguarded = GUARD.sub("", path.read_text())
        offending += [f"{path.name}: {match[0]}" for match in PARSERS.finditer(unguarded)]
    assert offending == []
