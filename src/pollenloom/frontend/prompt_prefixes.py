"""Hashes of prompt prefixes, to find servers that have them cached."""

from typing import Final

import xxhash

CHUNK_BYTES: Final = 256
MAX_CHUNKS: Final = 16


def hash_prefixes(model: str, prompt: bytes) -> tuple[int, ...]:
    """Return a 64-bit hash of each prefix of complete chunks, longest last.

    At most `MAX_CHUNKS` chunks of `CHUNK_BYTES` are hashed. The model is part
    of each hash.
    """
    digest = xxhash.xxh64(model.encode(errors='surrogatepass'))
    chunks = min(len(prompt) // CHUNK_BYTES, MAX_CHUNKS)
    hashes = []
    for start in range(0, chunks * CHUNK_BYTES, CHUNK_BYTES):
        digest.update(prompt[start : start + CHUNK_BYTES])
        hashes.append(digest.intdigest())
    return tuple(hashes)
