"""Data of the KV offload store."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class OffloadedPrefix:
    """Prefix of a prompt that a store holds.

    Attributes:
        tokens: length of the prefix in tokens.
        tokens_per_s: rate at which an engine can import it.
    """

    tokens: int = 0
    tokens_per_s: float = 0.0


NOTHING_OFFLOADED = OffloadedPrefix()
