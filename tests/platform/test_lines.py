from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fleet import lines

TEXT = st.text(
    st.characters(
        max_codepoint=255, exclude_characters='\r\n', categories=['L', 'N']
    ),
    max_size=40,
)


@given(st.lists(TEXT, max_size=8), st.lists(st.integers(0, 400)))
def test_lines_come_out_whole_however_they_were_cut(texts, cuts):
    data = b''.join(lines.join(one) for one in texts)
    found = lines.Lines()
    out = []
    last = 0
    for cut in sorted(min(one, len(data)) for one in cuts):
        out += found.feed(data[last:cut])
        last = cut
    out += found.feed(data[last:])
    assert out == texts


def test_a_lone_line_break_cannot_smuggle_a_line():
    for data in (b'READ a\nQUERY x\r\n', b'READ a\rQUERY x\r\n'):
        with pytest.raises(lines.LineError):
            lines.Lines().feed(data)


def test_a_message_over_the_bound_is_refused_before_its_end():
    found = lines.Lines()
    with pytest.raises(lines.LineTooLong):
        for _ in range(20):
            found.feed(b'x' * 100_000)


@given(st.binary(max_size=200))
def test_any_bytes_give_lines_or_a_typed_error(data):
    try:
        found = lines.Lines().feed(data)
    except lines.LineError:
        return
    assert all('\r' not in one and '\n' not in one for one in found)
