"""Reads callers' requests; each bad field is named."""

from collections.abc import Mapping
import json
from typing import Any

import result

from bergamotmill import core
from bergamotmill.front import const
from bergamotmill.helpers import http_server
from bergamotmill.helpers import refusal
from bergamotmill.streams import messages

_ROLES = ("system", "developer", "user", "assistant", "tool", "function")


def request_class_of(
    request: http_server.HttpRequest,
    customer: core.Customer,
    configuration: core.Configuration,
) -> result.Result[core.RequestClass, refusal.Refusal]:
    """Returns the class that a request names, or the customer's own."""
    name = request.headers.get(const.HEADER_CLASS, customer.default_class)
    if not name:
        return result.Ok(core.RequestClass("default"))
    found = configuration.classes.get(name)
    if found is None:
        known = ", ".join(sorted(configuration.classes))
        return result.Err(
            refusal.invalid(
                const.HEADER_CLASS, f"no class {name!r}; known: {known}"
            )
        )
    return result.Ok(found)


def time_left_of(
    request: http_server.HttpRequest, request_class: core.RequestClass
) -> result.Result[float, refusal.Refusal]:
    """Returns how many seconds the caller will wait."""
    text = request.headers.get(const.HEADER_DEADLINE)
    if text is None:
        return result.Ok(request_class.deadline_s)
    if not text.isdecimal() or len(text) > 9:
        return result.Err(
            refusal.invalid(const.HEADER_DEADLINE, "whole milliseconds")
        )
    left = max(const.MIN_DEADLINE_S, int(text) / 1000.0)
    return result.Ok(min(left, request_class.deadline_s))


def model_request(
    request: http_server.HttpRequest,
    request_id: str,
    customer: core.Customer,
    configuration: core.Configuration,
    now: float,
) -> result.Result[messages.ModelRequest, refusal.Refusal]:
    """Checks a request to a model."""
    body = _body_of(request)
    if body.is_err():
        return body
    value = body.ok()
    found = _model_of(value, configuration)
    if found.is_err():
        return found
    model, adapter = found.ok()
    bad = _check_body(request.path, value)
    if bad is not None:
        return result.Err(bad)
    named = request_class_of(request, customer, configuration)
    if named.is_err():
        return named
    left = time_left_of(request, named.ok())
    if left.is_err():
        return left
    options = value.get("stream_options") or {}
    return result.Ok(
        messages.ModelRequest(
            request_id=request_id,
            customer=customer,
            request_class=named.ok(),
            model=model,
            adapter=adapter,
            path=request.path,
            body=value,
            stream=bool(value.get("stream", False)),
            show_usage=bool(options.get("include_usage", False)),
            deadline=now + left.ok(),
        )
    )


def _body_of(
    request: http_server.HttpRequest,
) -> result.Result[Mapping[str, Any], refusal.Refusal]:
    if len(request.body) > const.MAX_PROMPT_BYTES:
        return result.Err(refusal.invalid("body", "the body is too large"))
    try:
        value = json.loads(request.body)
    except (ValueError, RecursionError) as err:
        return result.Err(refusal.invalid("body", f"not JSON: {err}"))
    if not isinstance(value, dict):
        return result.Err(refusal.invalid("body", "expected an object"))
    return result.Ok(value)


def _model_of(
    value: Mapping[str, Any], configuration: core.Configuration
) -> result.Result[tuple[core.Model, str], refusal.Refusal]:
    name = value.get("model")
    if not isinstance(name, str) or not name:
        return result.Err(refusal.invalid("model", "a model's name is needed"))
    base, _, adapter = name.partition(":")
    model = configuration.models.get(base)
    if model is None or (adapter and adapter not in model.adapters):
        return result.Err(
            refusal.Refusal(
                404,
                "model_not_found",
                f"there is no model {name!r}",
                param="model",
            )
        )
    return result.Ok((model, adapter))


def _check_body(path: str, value: Mapping[str, Any]) -> refusal.Refusal | None:
    if not isinstance(value.get("stream", False), bool):
        return refusal.invalid("stream", "true or false")
    if not isinstance(value.get("stream_options") or {}, dict):
        return refusal.invalid("stream_options", "expected an object")
    for key in ("max_tokens", "max_completion_tokens", "n"):
        number = value.get(key)
        if number is None:
            continue
        if not isinstance(number, int) or isinstance(number, bool):
            return refusal.invalid(key, "a whole number")
        if number < 1:
            return refusal.invalid(key, "a positive number")
    if path == const.PATH_CHAT:
        return _check_messages(value.get("messages"))
    prompt = value.get("prompt")
    if not isinstance(prompt, str | list) or not prompt:
        return refusal.invalid("prompt", "a prompt is needed")
    return None


def _check_messages(items: Any) -> refusal.Refusal | None:
    if not isinstance(items, list) or not items:
        return refusal.invalid("messages", "a list of messages is needed")
    for index, item in enumerate(items):
        place = f"messages[{index}]"
        if not isinstance(item, dict):
            return refusal.invalid(place, "expected an object")
        if item.get("role") not in _ROLES:
            return refusal.invalid(f"{place}.role", f"one of {_ROLES}")
        content = item.get("content")
        if content is not None and not isinstance(content, str | list):
            return refusal.invalid(f"{place}.content", "text or a list")
    return None
