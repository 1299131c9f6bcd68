"""JSON records with values that no sound writer writes."""

from collections.abc import Mapping
from types import MappingProxyType

import msgspec
from hypothesis import strategies as st

# JSON texts by what is odd about them.
ODD_VALUES: Mapping[str, bytes] = MappingProxyType(
    {
        'deep list': b'[' * 5000 + b']' * 5000,
        'deep map': b'{"a":' * 5000 + b'1' + b'}' * 5000,
        'many digits': b'9' * 400,
        'more digits than Python reads': b'9' * 5000,
        'many negative digits': b'-' + b'9' * 400,
        'largest 64 bits': b'18446744073709551615',
        'large float': b'1e308',
        'infinite': b'1e400',
        'negative': b'-1',
        'fraction': b'1.5',
        'null': b'null',
        'list': b'[]',
        'map': b'{}',
        'text': b'"x y"',
        'long text': b'"%b"' % (b'x' * 100_000),
        'line end': rb'"a\r\nb"',
        'invalid UTF-8': b'"\xff"',
        'half a surrogate pair': bytes.fromhex('225c756438303022'),
        'NaN': b'NaN',
        'nothing': b'',
    }
)


def encode_record(fields: Mapping[str, object], **raw: bytes) -> bytes:
    """Return a JSON record in which JSON texts replace or add fields."""
    texts = {name: msgspec.json.encode(text) for name, text in fields.items()}
    texts.update(raw)
    members = (b'"%b":%b' % (name.encode(), texts[name]) for name in texts)
    return b'{%b}' % b','.join(members)


def odd_records(fields: Mapping[str, object]) -> dict[str, bytes]:
    """Return records with one odd value each, by field and what is odd."""
    return {
        f'{field}: {oddity}': encode_record(fields, **{field: value})
        for field in (*fields, 'unknown')
        for oddity, value in ODD_VALUES.items()
    }


def arbitrary_records(
    fields: Mapping[str, object],
) -> st.SearchStrategy[bytes]:
    """Strategy of bytes, truncated records and records with odd values."""
    odd = odd_records(fields)
    valid = encode_record(fields)
    changed = st.dictionaries(
        st.sampled_from((*fields, 'unknown')),
        st.sampled_from(tuple(ODD_VALUES.values())),
    )
    return st.one_of(
        st.binary(max_size=200),
        st.integers(0, len(valid)).map(lambda end: valid[:end]),
        st.sampled_from(tuple(odd.values())),
        changed.map(lambda raw: encode_record(fields, **raw)),
    )
