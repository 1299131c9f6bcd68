"""Hashes of growing prompt prefixes, to find servers that cache them."""

from typing import Final

import xxhash

CHUNK_BYTES: Final = 256
MAX_CHUNKS: Final = 16


def hash_prefixes(model: str, prompt: bytes) -> tuple[int, ...]:
    """Return 64-bit hashes of the whole chunks, the longest prefix last."""
    digest = xxhash.xxh64(model.encode(errors='surrogatepass'))
    chunks = min(len(prompt) // CHUNK_BYTES, MAX_CHUNKS)
    hashes = []
    for start in range(0, chunks * CHUNK_BYTES, CHUNK_BYTES):
        digest.update(prompt[start : start + CHUNK_BYTES])
        hashes.append(digest.intdigest())
    return tuple(hashes)
