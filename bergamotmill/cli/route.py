"""`bergamotmill route`: shows where a request would be sent now, and why."""

import argparse
from collections.abc import Iterable, Sequence
import os
import sys
from typing import Any

ENV_ROUTER = "BERGAMOTMILL_ROUTER"
TARGET = "/route"
# Arguments that are sent as they are, if given; by their name in the question.
_FIELDS = (
    "host",
    "path",
    "method",
    "customer",
    "model",
    "prompt_tokens",
    "output_tokens",
    "parts",
    "deadline_ms",
    "body_bytes",
    "data_centre",
    "service",
)
_TERMS = ("lateness", "prefill", "distance", "old_weights", "failures")
_HEADERS = (
    "upstream",
    "cost",
    *("late", "recompute", "distance", "old", "failures"),
    *("wait s", "prefill s", "cached", "running", "limit/s", "note"),
)


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of the command."""
    parser.add_argument(
        "--address",
        default=os.environ.get(ENV_ROUTER, ""),
        help=f"metrics address of a router; by default from {ENV_ROUTER}",
    )
    parser.add_argument("--host", required=True)
    parser.add_argument("--path", required=True)
    parser.add_argument("--method")
    customer = parser.add_mutually_exclusive_group()
    customer.add_argument(
        "--key", help="the customer's key; - reads it from standard input"
    )
    customer.add_argument("--customer", help="the customer's name")
    parser.add_argument("--model")
    parser.add_argument("--prompt-tokens", type=int)
    parser.add_argument("--output-tokens", type=int)
    parser.add_argument("--parts", metavar="ID:TOKENS,...")
    parser.add_argument("--deadline-ms", type=float)
    parser.add_argument("--body-bytes", type=int)
    parser.add_argument(
        "--data-centre", help="reject the question if the router is elsewhere"
    )
    parser.add_argument(
        "--service",
        help="service of a route that is split; by default the largest share",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")


def question(arguments: argparse.Namespace) -> dict[str, Any]:
    """Returns the question that the arguments ask."""
    given = {name: getattr(arguments, name) for name in _FIELDS}
    given["key"] = arguments.key
    if arguments.key == "-":
        given["key"] = sys.stdin.readline().strip()
    return {name: value for name, value in given.items() if value is not None}


def print_answer(answer: dict[str, Any]) -> None:
    """Prints an answer for people."""
    doubt = ", may be outdated" if answer["doubtful"] else ""
    print(
        f"router {answer['router']} in {answer['data_centre']}, "
        f"configuration {answer['configuration']}{doubt}"
    )
    if "route" in answer:
        _print_route(answer)
    print(f"verdict: {format_verdict(answer['verdict'])}")
    for view in answer.get("views", ()):
        _print_view(view)


def _print_route(answer: dict[str, Any]) -> None:
    route = answer["route"]
    weights = ", ".join(
        f"{share['service']} {share['weight']:g}" for share in route["split"]
    )
    print(
        f"route {route['name']} ({route['kind']}), target "
        f"{route['target_s']:g} s, limit {route['timeout_s']:g} s, "
        f"services: {weights}"
    )
    retries = answer["retries_left"]
    retries_text = "unused" if retries is None else f"{retries:.1f} left"
    print(
        f"service {answer['service']}, customer {answer['customer'] or '-'}, "
        f"priority {answer['priority']}, retry budget {retries_text}"
    )
    decided_by = answer["decided_by"]
    fallback = decided_by["fallback"]
    reason = f" (owners: {fallback})" if fallback else ""
    print(f"decided by {decided_by['role']} {decided_by['router']}{reason}")


def format_verdict(verdict: dict[str, Any]) -> str:
    """Returns the text of a verdict."""
    if verdict["outcome"] == "refused":
        text = f"refused with {verdict['status']}, {verdict['reason']}"
        if verdict["retry_after_s"]:
            text += f", retry after about {verdict['retry_after_s']:.2f} s"
        return text
    upstream = verdict.get("upstream", "any upstream")
    if verdict["outcome"] == "waits":
        return f"waits for {upstream}, about {verdict['wait_s']:.3f} s"
    text = (
        f"sent to {upstream}, first byte after about "
        f"{verdict['first_byte_s']:.3f} s"
    )
    if verdict["allowance_from"]:
        text += f", if {verdict['allowance_from']} grants allowance"
    if verdict["trial_of"]:
        text += f", as a trial of quarantine {verdict['trial_of']}"
    return text


def _print_view(view: dict[str, Any]) -> None:
    print()
    group = ""
    if "group" in view:
        group = (
            f", group {view['group']}: {view['verdict']}, "
            f"{view['waiting']} waiting"
        )
    print(f"upstreams as {view['router']} knows them{group}")
    if view["candidates"]:
        rows = [_HEADERS, *map(_candidate_row, view["candidates"])]
        _print_table(rows)
    if len(view["equal"]) > 1:
        print(f"  equal, chosen at random: {', '.join(view['equal'])}")
    for item in view["excluded"]:
        print(f"  {item['upstream']}: {item['reason']}")
    if view["unlisted"]:
        print(f"  and {view['unlisted']} others")


def _candidate_row(candidate: dict[str, Any]) -> list[str]:
    limit_per_s = candidate["limit_per_s"]
    return [
        candidate["upstream"],
        f"{candidate['cost']:.4f}",
        *(f"{candidate['terms'][term]:.4f}" for term in _TERMS),
        f"{candidate['wait_s']:.3f}",
        f"{candidate['prefill_s']:.3f}",
        str(candidate["cached_tokens"]),
        str(candidate["running"]),
        "-" if limit_per_s is None else f"{limit_per_s:g}",
        ", ".join(candidate["flags"]),
    ]


def _print_table(rows: Iterable[Sequence[str]]) -> None:
    rows = list(rows)
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    for row in rows:
        cells = [row[0].ljust(widths[0])]
        cells += [
            cell.rjust(width)
            for cell, width in zip(row[1:-1], widths[1:-1], strict=True)
        ]
        print("  " + "  ".join([*cells, row[-1]]).rstrip())
