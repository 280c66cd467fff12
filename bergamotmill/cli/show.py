"""Prints answers of routers for people."""

import time
from typing import Any


def _when(at: float) -> str:
    if not at:
        return "-"
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(at))


def configuration(value: dict[str, Any], now: float) -> None:
    """Prints what is in force."""
    del now
    print(f"release {value['number']}")
    for kind, entries in value["in_force"].items():
        for name, entry in entries.items():
            fields = ", ".join(f"{key}={entry[key]}" for key in sorted(entry))
            print(f"  {kind}.{name}: {fields}")


def audit(value: dict[str, Any], now: float) -> None:
    """Prints the trail of releases."""
    del now
    for line in value["releases"]:
        if line["in_force_at"]:
            after = line["in_force_at"] - line["at"]
            force = f"in force on {line['routers']} after {after:.1f} s"
        elif line["of_routers"]:
            force = f"seen on {line['routers']} of {line['of_routers']}"
        else:
            force = "being spread"
        print(
            f"{line['number']:>6}  {_when(line['at'])}  {line['author']:<12} "
            f"{line['title']} ({line['changes']} entries; {force})"
        )


def status(value: dict[str, Any], now: float) -> None:
    """Prints the fleet at a glance."""
    routers = value["routers"]
    for item in routers:
        if "error" in item:
            print(f"{item['router']:<12} {item['state']}: {item['error']}")
            continue
        marks = [
            word
            for word, on in (
                ("reader", item["reader"]),
                ("orders", item["orders"]),
            )
            if on
        ]
        print(
            f"{item['router']:<12} {item['data_centre']:<12} "
            f"{item['state']:<8} release {item['release']:<5} "
            f"busy {item['busy']:<4} waiting {item['waiting']:<4} "
            f"{' '.join(marks)}"
        )
    print()
    for replica in routers[0].get("replicas", ()):
        models = ", ".join(f"{k} {v}" for k, v in replica["models"].items())
        doubts = [] if replica["usable"] else ["ejected"]
        doubts += ["leaving"] if replica["leaving"] else []
        print(
            f"{replica['name']:<12} incarnation {replica['incarnation']} "
            f"running {replica['running']:<3} wait {replica['wait_s']:<6} "
            f"keeps {replica['keeps_s']} s  {models or 'empty'} "
            f"{' '.join(doubts)}"
        )
    print()
    events = [event for item in routers for event in item.get("history", ())]
    events.sort(key=lambda event: -event["at"])
    for event in events[:10]:
        ago = now - event["at"]
        print(f"{ago:8.0f} s ago  {event['kind']}: {event['text']}")


def explanation(value: dict[str, Any], now: float) -> None:
    """Prints why a replica was chosen and what came of it."""
    del now
    print(
        f"request {value['request']} of {value['customer']}: "
        f"{value['model']} {value['version']}, "
        f"{value['prompt_tokens']} tokens in {value['levels']} pieces"
    )
    print(
        f"chosen {value['chosen']}: predicted first token "
        f"{value['predicted_first_token_s']:.3f} s with "
        f"{value['predicted_cached_tokens']:.0f} cached; came "
        f"{value['first_token_s']:.3f} s with {value['cached_tokens']}"
    )
    for attempt in value["attempts"]:
        print(f"  failed attempt at {attempt}")
    heads = ("replica", "score", "wait", "prefill", "far", "waste", "cached")
    print("  " + " ".join(f"{head:>10}" for head in heads))
    for item in value["candidates"]:
        cells = [
            f"{item['score']:.4f}",
            f"{item['wait_s']:.4f}",
            f"{item['prefill_s']:.4f}",
            f"{item['distance_s']:.4f}",
            f"{item['waste_s']:.4f}",
            f"{item['cached_tokens']:.0f}",
        ]
        print(f"  {item['replica']:>10} " + " ".join(f"{c:>10}" for c in cells))
