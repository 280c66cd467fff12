"""Bodies of requests as engines get them."""

from collections.abc import Mapping
import hashlib
import json
from typing import Any

from bergamotmill.streams import messages

CHAT_PATH = "/v1/chat/completions"
COMPLETIONS_PATH = "/v1/completions"
_LIMIT_KEYS = ("max_tokens", "max_completion_tokens")


def prompt_text(path: str, body: Mapping[str, Any]) -> bytes:
    """Returns the bytes whose prefixes name the prompt's cached pieces."""
    if path == COMPLETIONS_PATH:
        prompt = body.get("prompt", "")
        text = prompt if isinstance(prompt, str) else json.dumps(prompt)
        return text.encode()
    parts = []
    if body.get("tools"):
        parts.append(json.dumps(body["tools"], sort_keys=True))
    for item in body["messages"]:
        content = item.get("content")
        text = content if isinstance(content, str) else json.dumps(content)
        parts.append(f"{item.get('role')}\0{text}")
    return "\0\0".join(parts).encode()


def build_first_body(request: messages.ModelRequest) -> dict[str, Any]:
    """Returns the body of the first attempt."""
    body = dict(request.body)
    owner = f"{request.customer.name}\0{request.customer.generation}"
    body["cache_salt"] = hashlib.blake2b(
        owner.encode(), digest_size=16
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
    """Returns the body that goes on after text that was delivered.

    Engines take an unfinished last assistant message as a forced prefix
    when `continue_final_message` is set.
    """
    result = dict(body)
    if path == COMPLETIONS_PATH:
        result["prompt"] = result["prompt"] + text
    else:
        last = {"role": "assistant", "content": text}
        result["messages"] = [*result["messages"], last]
        result["continue_final_message"] = True
        result["add_generation_prompt"] = False
    for key in _LIMIT_KEYS:
        if isinstance(result.get(key), int):
            result[key] = max(1, result[key] - tokens)
    return result


def supports_continuation(body: Mapping[str, Any]) -> bool:
    """Whether a broken answer can go on from its text alone."""
    return (
        not body.get("tools")
        and not body.get("logprobs")
        and body.get("n", 1) == 1
        and isinstance(body.get("prompt", ""), str)
    )
