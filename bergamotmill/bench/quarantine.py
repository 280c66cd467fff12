"""`bench quarantine`: cost of the prompt quarantine."""

import argparse
import time
import tracemalloc
from typing import Any

from bergamotmill.bench import quarantine_fleet
from bergamotmill.control import quarantine_messages
from bergamotmill.routing import prompt_quarantine
from bergamotmill.routing import request_fingerprint

MODEL = "daka510000"
CUSTOMER = "sese880"
BORN = 1_785_476_128_328
LATER_S = 1e9
CRASHES = 300
BODY_BYTES = 65_536


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the command's options."""
    parser.add_argument("--prompts", type=int, default=20_000)
    parser.add_argument("--routers", type=int, default=195)
    parser.add_argument(
        "--causes",
        type=int,
        default=100,
        help="parts, and as many requests, that crash replicas in the fleet",
    )


def _entry(number: int, crashes: int) -> prompt_quarantine.Entry:
    return prompt_quarantine.Entry(
        MODEL,
        frozenset({f"{number:08x}"}),
        CUSTOMER,
        BORN,
        frozenset(_crash(index) for index in range(crashes)),
        False,
        0,
        LATER_S,
    )


def _crash(index: int) -> prompt_quarantine.Crash:
    return prompt_quarantine.Crash(f"i-{index:010x}", BORN + index)


def _fingerprint(number: int, body: bytes) -> str:
    return request_fingerprint.fingerprint(
        ("POST", f"/records/{number}", CUSTOMER), body
    )


def _mean_us(function, items) -> float:
    started = time.perf_counter()
    for item in items:
        function(item)
    return (time.perf_counter() - started) / len(items) * 1e6


def _measure_times(count: int) -> dict[str, float]:
    state = prompt_quarantine.PromptQuarantine()
    prompts = [
        prompt_quarantine.make_prompt(
            MODEL,
            (f"s{index % 40}", f"t{index % 1000}", f"f{index % 3000}"),
            CUSTOMER,
            (_fingerprint(index, b""), _fingerprint(index, b"x")),
        )
        for index in range(count)
    ]
    body = bytes(BODY_BYTES)
    figures = {
        "fingerprint_us": _mean_us(
            lambda number: _fingerprint(number, b""), range(count)
        ),
        "fingerprint_of_64_kb_us": _mean_us(
            lambda number: _fingerprint(number, body), range(count)
        ),
        "answer_us": _mean_us(lambda p: state.record_answer(p, 1.0), prompts),
        "look_up_us": _mean_us(state.blocking, prompts),
    }
    for number in range(prompt_quarantine.MAX_ENTRIES):
        state.apply(_entry(number, prompt_quarantine.MAX_CRASHES_PER_ENTRY))
    figures["look_up_full_us"] = _mean_us(state.blocking, prompts)

    def lose(item: tuple[int, prompt_quarantine.Prompt]) -> None:
        state.record_crash(item[1], _crash(1000 + item[0]), 1.0)
        state.judge(item[1], 1.0, 0.0)

    lost = list(enumerate(prompts[:CRASHES]))
    figures["crash_full_us"] = _mean_us(lose, lost)
    return figures


def _measure_memory() -> dict[str, float]:
    tracemalloc.start()
    state = prompt_quarantine.PromptQuarantine()
    for index in range(2 * prompt_quarantine.MAX_PARTS_ANSWERED):
        parts = (f"{index:08x}", f"x{index:08x}")
        # Spread over both windows.
        now = index / prompt_quarantine.MAX_PARTS_ANSWERED
        state.record_answer(
            prompt_quarantine.make_prompt(
                MODEL, parts, CUSTOMER, (_fingerprint(index, b""),)
            ),
            now * prompt_quarantine.EVIDENCE_WINDOW_S / 2,
        )
    answers_bytes, _ = tracemalloc.get_traced_memory()
    for index in range(prompt_quarantine.MAX_PARTS_WITH_CRASHES):
        prompt = prompt_quarantine.make_prompt(MODEL, (f"{index:08x}",))
        state.record_crash(prompt, _crash(index), 1.0)
    all_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {"answers_mb": answers_bytes / 1e6, "all_mb": all_bytes / 1e6}


def _measure_messages() -> dict[str, float]:
    names = [f"{index:08x}" for index in range(4)]
    names += [_fingerprint(0, b""), _fingerprint(0, b"x")]
    answers = dict.fromkeys(names, prompt_quarantine.Answers(3, True))
    (report,) = quarantine_messages.encode_crash_report(
        "front-osl-a-1", MODEL, _crash(0), answers
    )
    notice = quarantine_messages.encode_notice("front-osl-a-1", _entry(0, 3))
    return {
        "report_bytes": report.ByteSize(),
        "notice_bytes": notice.ByteSize(),
    }


def run(arguments: argparse.Namespace) -> dict[str, Any]:
    """Measures times, memory and sizes of messages."""
    return {
        **_measure_times(arguments.prompts),
        **_measure_memory(),
        **_measure_messages(),
        **quarantine_fleet.FleetBench(
            arguments.routers, arguments.causes
        ).run(),
    }


def show(result: dict[str, Any]) -> None:
    """Prints the figures, one a line."""
    for name, value in result.items():
        print(f"{name:<24}{value:10.2f}")
