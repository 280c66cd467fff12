"""Builds the request bodies sent to engines."""

from collections.abc import Mapping
import hashlib
import json
from typing import Any

import xxhash

from bergamotmill.streams import messages

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
_TOKEN_LIMIT_KEYS = ("max_tokens", "max_completion_tokens")


def prompt_text(path: str, body: Mapping[str, Any]) -> bytes:
    """Returns the prompt as bytes; KV blocks are named by its prefix hashes."""
    if path == COMPLETIONS_PATH:
        prompt = body.get("prompt", "")
        text = prompt if isinstance(prompt, str) else json.dumps(prompt)
        return text.encode()
    parts = []
    if body.get("tools"):
        parts.append(json.dumps(body["tools"], sort_keys=True))
    for message in body["messages"]:
        content = message.get("content")
        text = content if isinstance(content, str) else json.dumps(content)
        parts.append(f"{message.get('role')}\0{text}")
    return "\0\0".join(parts).encode()


def shared_parts(body: Mapping[str, Any]) -> list[str]:
    """Returns names of the parts of a chat that other requests may have.

    These are its tools and all messages but the last one; none for a plain
    prompt.
    """
    parts = []
    if body.get("tools"):
        parts.append(json.dumps(body["tools"], sort_keys=True))
    parts += [
        json.dumps([message.get("role"), message.get("content")])
        for message in body.get("messages", ())[:-1]
    ]
    return [f"{xxhash.xxh3_64_intdigest(text.encode()):016x}" for text in parts]


def build_first_body(request: messages.ModelRequest) -> dict[str, Any]:
    """Returns the body of the first attempt.

    The cache salt keeps the engines' prefix caches of customers apart.
    """
    body = dict(request.body)
    salt_source = f"{request.customer.name}\0{request.customer.generation}"
    body["cache_salt"] = hashlib.blake2b(
        salt_source.encode(), digest_size=16
    ).hexdigest()
    body["stream"] = True
    body["stream_options"] = {"include_usage": True}
    body["model"] = request.model.name
    if request.adapter:
        body["adapter"] = request.adapter
    return body


def build_continuation_body(
    path: str, body: Mapping[str, Any], text: str, tokens: int
) -> dict[str, Any]:
    """Returns the body that continues a response after text already relayed.

    With `continue_final_message` set, engines treat the last assistant
    message as the beginning of their response. Token limits are lowered by the
    tokens already generated.

    Args:
        path: request path, which tells chat from plain completions.
        body: body of the first attempt.
        text: text generated so far.
        tokens: number of tokens in the text.
    """
    result = dict(body)
    if path == COMPLETIONS_PATH:
        result["prompt"] = result["prompt"] + text
    else:
        partial_message = {"role": "assistant", "content": text}
        result["messages"] = [*result["messages"], partial_message]
        result["continue_final_message"] = True
        result["add_generation_prompt"] = False
    for key in _TOKEN_LIMIT_KEYS:
        if isinstance(result.get(key), int):
            result[key] = max(1, result[key] - tokens)
    return result


def supports_continuation(body: Mapping[str, Any]) -> bool:
    """Whether an interrupted response can be continued from its text alone.

    Tool calls, log probabilities, several choices and prompts that are not a
    string cannot be rebuilt from the text.
    """
    return (
        not body.get("tools")
        and not body.get("logprobs")
        and body.get("n", 1) == 1
        and isinstance(body.get("prompt", ""), str)
    )
