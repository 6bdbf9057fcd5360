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
def test_lines_do_not_depend_on_how_the_stream_is_cut(texts, cuts):
    data = b''.join(lines.encode_line(item) for item in texts)
    splitter = lines.LineSplitter()
    received = []
    start = 0
    for cut in sorted(min(item, len(data)) for item in cuts):
        received += splitter.feed(data[start:cut])
        start = cut
    received += splitter.feed(data[start:])
    assert received == texts


def test_a_lone_line_break_cannot_inject_a_line():
    for data in (b'READ a\nQUERY x\r\n', b'READ a\rQUERY x\r\n'):
        with pytest.raises(lines.LineError):
            lines.LineSplitter().feed(data)


def test_a_line_over_the_limit_is_refused_before_its_end():
    splitter = lines.LineSplitter()
    with pytest.raises(lines.LineTooLong):
        for _ in range(20):
            splitter.feed(b'x' * 100_000)


@given(st.binary(max_size=200))
def test_any_bytes_give_lines_or_a_typed_error(data):
    try:
        received = lines.LineSplitter().feed(data)
    except lines.LineError:
        return
    assert all('\r' not in line and '\n' not in line for line in received)
