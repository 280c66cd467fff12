"""Prints responses of routers in readable form."""

import time
from typing import Any


def _format_time(time_s: float) -> str:
    if not time_s:
        return "-"
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(time_s))


def configuration(value: dict[str, Any], now: float) -> None:
    """Prints the configuration in force."""
    del now
    print(f"release {value['number']}")
    for kind, entries in value["in_force"].items():
        for name, entry in entries.items():
            fields = ", ".join(f"{key}={entry[key]}" for key in sorted(entry))
            print(f"  {kind}.{name}: {fields}")


def audit(value: dict[str, Any], now: float) -> None:
    """Prints the audit trail of releases."""
    del now
    for line in value["releases"]:
        if line["in_force_at"]:
            delay_s = line["in_force_at"] - line["at"]
            progress = f"in force on {line['routers']} after {delay_s:.1f} s"
        elif line["of_routers"]:
            progress = f"seen on {line['routers']} of {line['of_routers']}"
        else:
            progress = "being distributed"
        print(
            f"{line['number']:>6}  {_format_time(line['at'])}  "
            f"{line['author']:<12} "
            f"{line['title']} ({line['changes']} entries; {progress})"
        )


def status(value: dict[str, Any], now: float) -> None:
    """Prints the routers, the replicas and the latest events of the fleet.

    The replicas are those that the queried router, the first in the response,
    knows.
    """
    routers = value["routers"]
    for router in routers:
        if "error" in router:
            print(
                f"{router['router']:<12} {router['state']}: {router['error']}"
            )
            continue
        roles = [
            role
            for role, active in (
                ("reader", router["reader"]),
                ("orders", router["orders"]),
            )
            if active
        ]
        print(
            f"{router['router']:<12} {router['data_centre']:<12} "
            f"{router['state']:<8} release {router['release']:<5} "
            f"busy {router['busy']:<4} waiting {router['waiting']:<4} "
            f"{' '.join(roles)}"
        )
    print()
    for replica in routers[0].get("replicas", ()):
        models = ", ".join(f"{k} {v}" for k, v in replica["models"].items())
        flags = [] if replica["usable"] else ["ejected"]
        flags += ["leaving"] if replica["leaving"] else []
        print(
            f"{replica['name']:<12} incarnation {replica['incarnation']} "
            f"running {replica['running']:<3} wait {replica['wait_s']:<6} "
            f"retention {replica['keeps_s']} s  {models or 'empty'} "
            f"{' '.join(flags)}"
        )
    print()
    events = [
        event for router in routers for event in router.get("history", ())
    ]
    events.sort(key=lambda event: -event["at"])
    for event in events[:10]:
        age_s = now - event["at"]
        print(f"{age_s:8.0f} s ago  {event['kind']}: {event['text']}")


def explanation(value: dict[str, Any], now: float) -> None:
    """Prints the candidates of a request, the choice and its actual result."""
    del now
    print(
        f"request {value['request']} of {value['customer']}: "
        f"{value['model']} {value['version']}, "
        f"{value['prompt_tokens']} tokens in {value['levels']} blocks"
    )
    print(
        f"chosen {value['chosen']}: predicted first token "
        f"{value['predicted_first_token_s']:.3f} s with "
        f"{value['predicted_cached_tokens']:.0f} cached; actual "
        f"{value['first_token_s']:.3f} s with {value['cached_tokens']}"
    )
    for attempt in value["attempts"]:
        print(f"  failed attempt at {attempt}")
    headers = ("replica", "score", "wait", "prefill", "far", "waste", "cached")
    print("  " + " ".join(f"{header:>10}" for header in headers))
    for candidate in value["candidates"]:
        cells = [
            f"{candidate['score']:.4f}",
            f"{candidate['wait_s']:.4f}",
            f"{candidate['prefill_s']:.4f}",
            f"{candidate['distance_s']:.4f}",
            f"{candidate['waste_s']:.4f}",
            f"{candidate['cached_tokens']:.0f}",
        ]
        print(
            f"  {candidate['replica']:>10} "
            + " ".join(f"{cell:>10}" for cell in cells)
        )


def quarantine(value: dict[str, Any], now: float) -> None:
    """Prints the prompts and requests that are held back."""
    if not value["entries"]:
        print("nothing is quarantined")
    for entry in value["entries"]:
        wait_s = max(0.0, entry["next_trial"] - now)
        print(
            f"{entry['key']}  since {_format_time(entry['since'])}  "
            f"{entry['model']}  customer {entry['customer']}"
        )
        print(f"  parts {', '.join(entry['parts'])}")
        print(
            f"  engines ended: {', '.join(entry['crashes'])}; "
            f"{entry['trials']} trials, the next in {wait_s:.0f} s"
        )
