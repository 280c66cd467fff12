"""`bergamotmill`: command line for operators."""

import argparse
import json
import os
import sys
import time
from typing import Any
import urllib.parse

import bergamotmill
from bergamotmill import core
from bergamotmill.cli import client
from bergamotmill.cli import report
from bergamotmill.cli import request_timeline
from bergamotmill.cli import route
from bergamotmill.cli import show
from bergamotmill.dispatch import settings as router_settings
from bergamotmill.helpers import json_file
from bergamotmill.settings import config
from bergamotmill.settings import drivers

EXIT_OK = 0
EXIT_FINDINGS = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
EXIT_RELEASE_CONFLICT = 4

ENV_ADDRESS = "BERGAMOTMILL_OPERATORS"
ENV_KEY = "BERGAMOTMILL_KEY"

_EPILOG = f"""\
Commands that query a router take the address of its operator interface from
--address or {ENV_ADDRESS}, and the operator's key from {ENV_KEY}.

Exit status: 0 done, 1 findings or nothing found, 2 wrong usage or unreadable
log, 3 no router answered or the outcome is unknown, 4 another operator's
release came first.

Examples:
  bergamotmill check settings.json
  bergamotmill release diff note.json
  bergamotmill release publish note.json
  bergamotmill status
  bergamotmill quarantine list
  bergamotmill explain 3f2a...
  bergamotmill explain 9c41d07be2a35f68 router-*.log
  bergamotmill route --address 10.0.0.1:83 --host api.example --path /check/x \
      --customer one --model drafter --parts sys:512,own:900
  bergamotmill report router-*.log --to day.html
"""


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="bergamotmill",
        description="Checks settings, publishes releases, and shows the state "
        "and the decisions of a fleet of routers.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--version", action="version", version=bergamotmill.__version__
    )
    commands = parser.add_subparsers(dest="command", required=True)
    check = commands.add_parser("check", help="check a settings file")
    check.add_argument("file")
    check.add_argument("--json", action="store_true", help="print JSON")
    key = commands.add_parser(
        "key-digest", help="print the digest of a key, for use in release notes"
    )
    key.add_argument("key", help="the key; - reads it from standard input")
    release = commands.add_parser(
        "release", help="check and publish release notes"
    )
    actions = release.add_subparsers(dest="action", required=True)
    for name, text in (
        ("check", "check a note against the configuration in force"),
        ("diff", "show the changes a note would make"),
        ("publish", "publish a note as the next release"),
    ):
        action = actions.add_parser(name, help=text)
        action.add_argument("file")
        _add_common_arguments(action)
        if name == "publish":
            action.add_argument(
                "--dry-run",
                action="store_true",
                help="show the changes without publishing the note",
            )
    _add_common_arguments(
        actions.add_parser("show", help="show the configuration in force")
    )
    log = actions.add_parser("log", help="show the latest releases")
    log.add_argument("--count", type=int, default=20)
    _add_common_arguments(log)
    status = commands.add_parser(
        "status", help="show the state of all routers and replicas"
    )
    _add_common_arguments(status)
    audit = commands.add_parser(
        "audit", help="show who published which release, and when"
    )
    audit.add_argument("--count", type=int, default=20)
    _add_common_arguments(audit)
    prompts = commands.add_parser(
        "quarantine",
        help="list the prompts and requests held back, or serve one again",
    )
    prompts_actions = prompts.add_subparsers(dest="action", required=True)
    _add_common_arguments(
        prompts_actions.add_parser("list", help="list the entries")
    )
    clear = prompts_actions.add_parser("clear", help="end one entry")
    clear.add_argument("key", help="key of the entry, as listed")
    _add_common_arguments(clear)
    explain = commands.add_parser(
        "explain", help="show why a replica was chosen"
    )
    explain.add_argument("request", help="request id from the response")
    explain.add_argument(
        "logs",
        nargs="*",
        help="log files of routers; if none is given, a router is queried",
    )
    _add_common_arguments(explain)
    route.add_arguments(
        commands.add_parser(
            "route", help="show where a request would be sent now, and why"
        )
    )
    report_parser = commands.add_parser(
        "report", help="plot the contents of router logs over time"
    )
    report_parser.add_argument("logs", nargs="+", help="log files of routers")
    report_parser.add_argument(
        "--to", default="report.html", help="HTML file to write"
    )
    return parser


def _add_common_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--address", default=os.environ.get(ENV_ADDRESS, ""))
    parser.add_argument("--json", action="store_true", help="print JSON")


def _print_findings(findings: list[Any], as_json: bool) -> int:
    if as_json:
        print(json.dumps({"findings": [str(finding) for finding in findings]}))
    else:
        for finding in findings:
            print(finding, file=sys.stderr)
    return EXIT_FINDINGS


def _check(arguments: argparse.Namespace) -> int:
    findings = _check_settings(arguments.file)
    if findings:
        return _print_findings(findings, arguments.json)
    if arguments.json:
        print(json.dumps({"findings": []}))
    else:
        print(f"{arguments.file}: no findings.")
    return EXIT_OK


def _check_settings(path: str) -> list[Any]:
    """Returns all findings in a settings file.

    A file with a top-level `store` key is for a dispatching router; any other
    file is for `bergamotmill-router`.
    """
    loaded_json = json_file.read(path)
    if loaded_json.is_err():
        return loaded_json.err()
    value = loaded_json.ok()
    if isinstance(value, dict) and router_settings.CONF_STORE in value:
        return router_settings.from_mapping(value, path).err() or []
    loaded = config.load(path)
    if loaded.is_err():
        return loaded.err()
    return drivers.check(loaded.ok(), path)


def _key_digest(arguments: argparse.Namespace) -> int:
    key = arguments.key
    if key == "-":
        key = sys.stdin.readline().strip()
    print(core.key_digest(key))
    return EXIT_OK


def _request(
    arguments: argparse.Namespace, method: str, target: str, body: Any = None
) -> tuple[int, Any]:
    """Sends a request to the router.

    Returns the exit status and the decoded response, which is None after a
    failure. Failures are printed.
    """
    key = os.environ.get(ENV_KEY, "")
    if not arguments.address or not key:
        print(f"set {ENV_ADDRESS} and {ENV_KEY}", file=sys.stderr)
        return EXIT_USAGE, None
    return _send(arguments, key, method, target, body)


def _send(
    arguments: argparse.Namespace,
    key: str,
    method: str,
    target: str,
    body: Any = None,
) -> tuple[int, Any]:
    response = client.send_request(arguments.address, key, method, target, body)
    if response.is_err():
        print(response.err(), file=sys.stderr)
        return EXIT_UNREACHABLE, None
    http_status, value = response.ok()
    if http_status == 200:
        return EXIT_OK, value
    if arguments.json:
        print(json.dumps(value))
    else:
        _print_error(value)
    return _exit_status(http_status), None


def _exit_status(http_status: int) -> int:
    if http_status == 409:
        return EXIT_RELEASE_CONFLICT
    if http_status in (404, 422):
        return EXIT_FINDINGS
    return EXIT_UNREACHABLE if http_status >= 500 else EXIT_USAGE


def _print_error(value: Any) -> None:
    print(value.get("error", value), file=sys.stderr)
    for finding in value.get("findings", ()):
        line = (
            f"{finding['place']}: {finding['found']}; "
            f"expected {finding['expected']}"
        )
        print(line, file=sys.stderr)
    if "author" in value:
        print(
            f"release {value['number']} by {value['author']}: {value['title']}",
            file=sys.stderr,
        )


def _release(arguments: argparse.Namespace) -> int:
    if arguments.action == "show":
        return _request_and_print(
            arguments, "/release/show", show.configuration
        )
    if arguments.action == "log":
        return _request_and_print(
            arguments, f"/audit?count={arguments.count}", show.audit
        )
    note = json_file.read(arguments.file)
    if note.is_err():
        return _print_findings(note.err(), arguments.json)
    source = urllib.parse.quote(os.path.basename(arguments.file))
    action = arguments.action
    if action == "publish" and arguments.dry_run:
        action = "diff"
    status, value = _request(
        arguments, "POST", f"/release/{action}?source={source}", note.ok()
    )
    if value is None:
        return status
    if arguments.json:
        print(json.dumps(value))
    elif action == "diff":
        print("\n".join(value["changes"]) or "no change")
    elif action == "check":
        print(f"{arguments.file}: no findings.")
    else:
        print(f"release {value['number']} is accepted.")
    return status


def _route(arguments: argparse.Namespace) -> int:
    if not arguments.address:
        print(f"set --address or {route.ENV_ROUTER}", file=sys.stderr)
        return EXIT_USAGE
    status, value = _send(
        arguments, "", "POST", route.TARGET, route.question(arguments)
    )
    if value is None:
        return status
    if arguments.json:
        print(json.dumps(value))
    else:
        route.print_answer(value)
    return status


def _quarantine(arguments: argparse.Namespace) -> int:
    if arguments.action == "list":
        return _request_and_print(arguments, "/quarantine", show.quarantine)
    key = urllib.parse.quote(arguments.key)
    status, value = _request(arguments, "POST", f"/quarantine/clear?key={key}")
    if value is not None:
        print(json.dumps(value) if arguments.json else f"{key} is cleared.")
    return status


def _request_and_print(
    arguments: argparse.Namespace, target: str, print_response
) -> int:
    status, value = _request(arguments, "GET", target)
    if value is None:
        return status
    if arguments.json:
        print(json.dumps(value))
    else:
        print_response(value, time.time())
    return status


def main(argv: list[str] | None = None) -> int:
    """Runs the program and returns its exit status."""
    arguments = _make_parser().parse_args(argv)
    if arguments.command == "check":
        return _check(arguments)
    if arguments.command == "key-digest":
        return _key_digest(arguments)
    if arguments.command == "release":
        return _release(arguments)
    if arguments.command == "status":
        return _request_and_print(arguments, "/status", show.status)
    if arguments.command == "audit":
        return _request_and_print(
            arguments, f"/audit?count={arguments.count}", show.audit
        )
    if arguments.command == "quarantine":
        return _quarantine(arguments)
    if arguments.command == "route":
        return _route(arguments)
    if arguments.command == "report":
        return report.write(arguments.logs, arguments.to)
    if arguments.logs:
        return request_timeline.print_timeline(
            arguments.request, arguments.logs, arguments.json
        )
    request = urllib.parse.quote(arguments.request)
    return _request_and_print(
        arguments, f"/explain?request={request}", show.explanation
    )


if __name__ == "__main__":
    sys.exit(main())
