from __future__ import annotations

import pytest

from clementinepin.exceptions import InvalidInputError
from clementinepin.tables.dispatch import DispatchTable
from clementinepin.tables.mechanisms import Mechanism, parse_mechanisms


def test_all_mechanisms_are_in_use_unless_named():
    table = DispatchTable(disabled=parse_mechanisms("firm-items,recheck"))
    unused = {mechanism for mechanism in Mechanism if not table.uses(mechanism)}
    assert unused == {Mechanism.FIRM_ITEMS, Mechanism.RECHECK}
    assert parse_mechanisms("") == frozenset()


def test_unknown_name_is_rejected_with_the_known_ones():
    with pytest.raises(InvalidInputError, match=r"no-such.*firm-items"):
        parse_mechanisms("firm-items,no-such")
