"""Parses and validates callers' requests.

A refusal names the field or header that is invalid.
"""

from collections.abc import Mapping
from typing import Any

import result

from bergamotmill import core
from bergamotmill.front import const
from bergamotmill.helpers import http_server
from bergamotmill.helpers import json_text
from bergamotmill.helpers import refusal
from bergamotmill.routing import request_fingerprint
from bergamotmill.streams import messages

_ROLES = ("system", "developer", "user", "assistant", "tool", "function")


def request_class_of(
    request: http_server.HttpRequest,
    customer: core.Customer,
    configuration: core.Configuration,
) -> result.Result[core.RequestClass, refusal.Refusal]:
    """Returns the class that a request names, else the customer's default."""
    name = request.headers.get(const.HEADER_CLASS, customer.default_class)
    if not name:
        return result.Ok(core.RequestClass("default"))
    request_class = configuration.classes.get(name)
    if request_class is None:
        known = ", ".join(sorted(configuration.classes))
        return result.Err(
            refusal.invalid(
                const.HEADER_CLASS,
                f"unknown request class {name!r}; known: {known}",
            )
        )
    return result.Ok(request_class)


def time_left_s_of(
    request: http_server.HttpRequest, request_class: core.RequestClass
) -> result.Result[float, refusal.Refusal]:
    """Returns the seconds until the caller's deadline, capped by the class."""
    text = request.headers.get(const.HEADER_DEADLINE)
    if text is None:
        return result.Ok(request_class.deadline_s)
    if not text.isdecimal() or len(text) > 9:
        return result.Err(
            refusal.invalid(
                const.HEADER_DEADLINE, "expected a whole number of milliseconds"
            )
        )
    time_left_s = max(const.MIN_DEADLINE_S, int(text) / 1000.0)
    return result.Ok(min(time_left_s, request_class.deadline_s))


def parse_model_request(
    request: http_server.HttpRequest,
    request_id: str,
    customer: core.Customer,
    configuration: core.Configuration,
    now: float,
) -> result.Result[messages.ModelRequest, refusal.Refusal]:
    """Parses and validates a completion request to a model."""
    body = _parse_body(request)
    if body.is_err():
        return body
    value = body.ok()
    model_and_adapter = _model_of(value, configuration)
    if model_and_adapter.is_err():
        return model_and_adapter
    model, adapter = model_and_adapter.ok()
    invalid = _check_body(request.path, value)
    if invalid is not None:
        return result.Err(invalid)
    request_class = request_class_of(request, customer, configuration)
    if request_class.is_err():
        return request_class
    time_left_s = time_left_s_of(request, request_class.ok())
    if time_left_s.is_err():
        return time_left_s
    options = value.get("stream_options") or {}
    return result.Ok(
        messages.ModelRequest(
            request_id=request_id,
            customer=customer,
            request_class=request_class.ok(),
            model=model,
            adapter=adapter,
            path=request.path,
            body=value,
            fingerprint=request_fingerprint.fingerprint(
                (request.path, customer.name), request.body
            ),
            stream=bool(value.get("stream", False)),
            show_usage=bool(options.get("include_usage", False)),
            deadline=now + time_left_s.ok(),
        )
    )


def _parse_body(
    request: http_server.HttpRequest,
) -> result.Result[Mapping[str, Any], refusal.Refusal]:
    if len(request.body) > const.MAX_BODY_BYTES:
        return result.Err(
            refusal.invalid("body", "the request body is too large")
        )
    try:
        value = json_text.loads(request.body)
    except (ValueError, RecursionError) as err:
        return result.Err(refusal.invalid("body", f"invalid JSON: {err}"))
    if not isinstance(value, dict):
        return result.Err(refusal.invalid("body", "expected a JSON object"))
    return result.Ok(value)


def _model_of(
    value: Mapping[str, Any], configuration: core.Configuration
) -> result.Result[tuple[core.Model, str], refusal.Refusal]:
    name = value.get("model")
    if not isinstance(name, str) or not name:
        return result.Err(refusal.invalid("model", "a model name is required"))
    base, _, adapter = name.partition(":")
    model = configuration.models.get(base)
    if model is None or (adapter and adapter not in model.adapters):
        return result.Err(
            refusal.Refusal(
                404,
                "model_not_found",
                f"unknown model {name!r}",
                param="model",
            )
        )
    return result.Ok((model, adapter))


def _check_body(path: str, value: Mapping[str, Any]) -> refusal.Refusal | None:
    if not isinstance(value.get("stream", False), bool):
        return refusal.invalid("stream", "expected true or false")
    if not isinstance(value.get("stream_options") or {}, dict):
        return refusal.invalid("stream_options", "expected an object")
    for key in ("max_tokens", "max_completion_tokens", "n"):
        number = value.get(key)
        if number is None:
            continue
        if not isinstance(number, int) or isinstance(number, bool):
            return refusal.invalid(key, "expected a whole number")
        if number < 1:
            return refusal.invalid(key, "expected a positive number")
    if path == const.PATH_CHAT:
        return _check_messages(value.get("messages"))
    prompt = value.get("prompt")
    if not isinstance(prompt, str | list) or not prompt:
        return refusal.invalid("prompt", "a prompt is required")
    return None


def _check_messages(items: Any) -> refusal.Refusal | None:
    if not isinstance(items, list) or not items:
        return refusal.invalid(
            "messages", "a non-empty list of messages is required"
        )
    for index, item in enumerate(items):
        field = f"messages[{index}]"
        if not isinstance(item, dict):
            return refusal.invalid(field, "expected an object")
        if item.get("role") not in _ROLES:
            return refusal.invalid(f"{field}.role", f"expected one of {_ROLES}")
        content = item.get("content")
        if content is not None and not isinstance(content, str | list):
            return refusal.invalid(
                f"{field}.content", "expected text or a list"
            )
    return None
