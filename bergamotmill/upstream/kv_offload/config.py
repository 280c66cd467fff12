"""Data of the store of kept KV cache."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class OffloadedPrefix:
    """How much of a prompt a store holds."""

    tokens: int = 0
    tokens_per_s: float = 0.0


NOTHING_OFFLOADED = OffloadedPrefix()
