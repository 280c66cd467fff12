"""Prompts as chains of prefix digests, one for each whole block."""

import dataclasses

import xxhash


@dataclasses.dataclass(frozen=True, slots=True)
class PrefixChain:
    """The nested prefixes of a prompt, shortest first.

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
    """Returns the salt that separates chains by customer and model weights."""
    parts = (customer, str(generation), model, adapter, version)
    return "\0".join(parts).encode()


def build(
    text: bytes, chain_salt: bytes, bytes_per_block: int, tokens_per_block: int
) -> PrefixChain:
    """Splits a prompt into blocks and digests each nested prefix."""
    hasher = xxhash.xxh3_64(chain_salt)
    hasher.update(b"\0\0")
    blocks = len(text) // bytes_per_block
    view = memoryview(text)
    digests = []
    for index in range(blocks):
        start = index * bytes_per_block
        hasher.update(view[start : start + bytes_per_block])
        digests.append(hasher.intdigest())
    tokens = tuple((index + 1) * tokens_per_block for index in range(blocks))
    total = max(1, len(text) * tokens_per_block // bytes_per_block)
    return PrefixChain(tuple(digests), tokens, total)
