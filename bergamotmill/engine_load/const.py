"""How the load of engines is known."""

import enum

# Bytes of KV cache for each token at the engines that the constants of the
# prefill cost model in dispatch/const.py describe.
DATA_SHEET_TOKEN_BYTES = 163_840
# KV memory, in tokens, from which AUTO measures. Smaller engines evict prompts
# so soon that it counts more which of them holds a prompt than which is free.
MIN_MEMORY_TOKENS = 200_000


class LoadModel(enum.Enum):
    """How the load of engines is known.

    Attributes:
        DATA_SHEET: from the constants of the cost model, by time.
        MEASURED: from the responses that routers report.
        AUTO: measured where the engines are not those of the data sheet, and
            have much memory.
    """

    DATA_SHEET = "data_sheet"
    MEASURED = "measured"
    AUTO = "auto"

    def is_measured(self, token_bytes: int, memory_tokens: int) -> bool:
        """Whether the load of engines with this KV cache is measured.

        Args:
            token_bytes: size of one token's KV entry; 0 if it is not known.
            memory_tokens: KV memory of one engine, in tokens.
        """
        if self is LoadModel.AUTO:
            is_other = token_bytes not in (0, DATA_SHEET_TOKEN_BYTES)
            return is_other and memory_tokens >= MIN_MEMORY_TOKENS
        return self is LoadModel.MEASURED
