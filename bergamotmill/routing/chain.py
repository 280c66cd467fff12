"""Prompts as chains of digests, one for each whole piece."""

import dataclasses

import xxhash


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixChain:
    """The nested prefixes of a prompt, the shallowest first.

    Attributes:
        digests: 64-bit digest of each prefix.
        tokens: estimated tokens of each prefix, cumulative.
        total_tokens: estimated tokens of the whole prompt.
    """

    digests: tuple[int, ...]
    tokens: tuple[int, ...]
    total_tokens: int


def salt(
    customer: str, generation: int, model: str, adapter: str, version: str
) -> bytes:
    """Returns what keeps chains of different owners and weights apart."""
    parts = (customer, str(generation), model, adapter, version)
    return "\0".join(parts).encode()


def build(
    text: bytes, chain_salt: bytes, bytes_per_piece: int, tokens_per_piece: int
) -> PrefixChain:
    """Cuts a prompt into pieces and digests each nested prefix."""
    hasher = xxhash.xxh3_64(chain_salt)
    hasher.update(b"\0\0")
    pieces = len(text) // bytes_per_piece
    view = memoryview(text)
    digests = []
    for index in range(pieces):
        start = index * bytes_per_piece
        hasher.update(view[start : start + bytes_per_piece])
        digests.append(hasher.intdigest())
    tokens = tuple((index + 1) * tokens_per_piece for index in range(pieces))
    total = max(1, len(text) * tokens_per_piece // bytes_per_piece)
    return PrefixChain(tuple(digests), tokens, total)
