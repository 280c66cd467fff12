"""Assembles the events of a stream into a non-streaming response."""

from collections.abc import Iterable, Sequence
from typing import Any

from bergamotmill.streams import events as sse


def assemble(raw_events: Iterable[bytes]) -> dict[str, Any]:
    """Returns the non-streaming response to the same request."""
    response: dict[str, Any] = {}
    choices: dict[int, dict[str, Any]] = {}
    for raw in raw_events:
        if sse.is_done(raw) or sse.is_comment(raw):
            continue
        chunk = sse.parse_data(raw)
        if not response:
            response = {
                "id": chunk.get("id"),
                "object": chunk.get("object", "").removesuffix(".chunk"),
                "created": chunk.get("created"),
                "model": chunk.get("model"),
            }
        if chunk.get("usage"):
            response["usage"] = chunk["usage"]
        for choice in chunk.get("choices", []):
            _merge_choice(choices, choice)
    response["choices"] = [choices[index] for index in sorted(choices)]
    return response


def has_finish_reason(raw_events: Sequence[bytes]) -> bool:
    """Whether the latest chunk with a choice gives a finish reason."""
    for raw in reversed(raw_events):
        if sse.is_done(raw) or sse.is_comment(raw):
            continue
        for choice in sse.parse_data(raw).get("choices", []):
            return choice.get("finish_reason") is not None
    return False


def concatenate_text(raw_events: Iterable[bytes]) -> tuple[str, int]:
    """Returns the text of the stream and its number of tokens.

    Counts one token per chunk with text.
    """
    parts = []
    for raw in raw_events:
        if sse.is_done(raw) or sse.is_comment(raw):
            continue
        for choice in sse.parse_data(raw).get("choices", []):
            text = choice.get("text")
            if text is None:
                text = (choice.get("delta") or {}).get("content")
            if text:
                parts.append(text)
    return "".join(parts), len(parts)


def _merge_choice(
    choices: dict[int, dict[str, Any]], update: dict[str, Any]
) -> None:
    index = update.get("index", 0)
    choice = choices.setdefault(
        index, {"index": index, "finish_reason": None, "logprobs": None}
    )
    if update.get("finish_reason"):
        choice["finish_reason"] = update["finish_reason"]
    if "text" in update:
        choice["text"] = choice.get("text", "") + (update["text"] or "")
    if "delta" in update:
        message = choice.setdefault(
            "message", {"role": "assistant", "content": None}
        )
        _merge_delta(message, update["delta"] or {})


def _merge_delta(message: dict[str, Any], delta: dict[str, Any]) -> None:
    for key, value in delta.items():
        if key == "role" or value is None:
            continue
        if key == "tool_calls":
            _merge_tool_calls(message, value)
        elif isinstance(value, str):
            message[key] = (message.get(key) or "") + value
        else:
            message[key] = value


def _merge_tool_calls(
    message: dict[str, Any], deltas: list[dict[str, Any]]
) -> None:
    calls = message.setdefault("tool_calls", [])
    for delta in deltas:
        index = delta.get("index", 0)
        while len(calls) <= index:
            calls.append(
                {"type": "function", "function": {"name": "", "arguments": ""}}
            )
        call = calls[index]
        if delta.get("id"):
            call["id"] = delta["id"]
        function = delta.get("function") or {}
        for key in ("name", "arguments"):
            call["function"][key] += function.get(key) or ""
