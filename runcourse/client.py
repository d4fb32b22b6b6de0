"""Client commands: submit, status, cancel, inspect and reload.

The exit code is 0 only if the controller answered and accepted the request.
"""

from __future__ import annotations

import asyncio
import json
import socket
import sys
from pathlib import Path
from typing import Any

import msgspec

from .config import parse_address
from .errors import SettingsError
from .net.http import Client, NotSent, Unanswered
from .wire import codec
from .wire.peer_messages import OperatorQuestion

EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_UNREACHABLE = 3
CONNECT_TIMEOUT_S = 3.0
REQUEST_TIMEOUT_S = 10.0
OPERATOR_TIMEOUT_S = 5.0  # for connecting, and for each read and write


def run_client(command: str, api: str, what: str) -> int:
    """Sends one request of a user, prints the answer and returns the exit code."""
    try:
        host, port = parse_address(api, "--api")
        method, target, body = _build_request(command, what)
    except (SettingsError, OSError, msgspec.DecodeError) as problem:
        print(f"runcourse: {problem}", file=sys.stderr)
        return EXIT_USAGE
    try:
        status, answer = asyncio.run(_send_request(host, port, method, target, body))
    except (NotSent, Unanswered) as problem:
        print(f"runcourse: no answer: {problem}", file=sys.stderr)
        return EXIT_UNREACHABLE
    try:
        print(json.dumps(codec.decode_map(answer) if answer else {}))
    except codec.Malformed as problem:
        print(f"runcourse: {problem}", file=sys.stderr)
        return EXIT_REFUSED
    if status not in (200, 201):
        print(f"runcourse: refused with status {status}", file=sys.stderr)
        return EXIT_REFUSED
    return 0


def _build_request(command: str, what: str) -> tuple[str, str, Any]:
    """Returns method, path and body; `what` is a file name or `-` for submit, else a job's id."""
    if command == "submit":
        text = sys.stdin.read() if what == "-" else Path(what).read_text(encoding="utf-8")
        return "POST", "/v1/jobs", msgspec.json.decode(text)
    if command == "cancel":
        return "POST", f"/v1/jobs/{what}/withdraw", {}
    return "GET", f"/v1/jobs/{what}", None


def ask(host: str, port: int, question: OperatorQuestion) -> dict[str, Any]:
    """Sends a question to a controller's internal address and returns the answer.

    Question and answer are one line of JSON each. Raises `OSError` or `msgspec.DecodeError`.
    """
    with socket.create_connection((host, port), timeout=OPERATOR_TIMEOUT_S) as connection:
        connection.sendall(msgspec.json.encode(question) + b"\n")
        with connection.makefile("rb") as answer:
            return msgspec.json.decode(answer.readline(), type=dict[str, Any])


def _ask_or_print_error(internal: str, question: str) -> dict[str, Any] | int:
    """Returns the answer, or prints the error and returns the exit code."""
    try:
        return ask(*parse_address(internal, "--internal"), OperatorQuestion(question))
    except SettingsError as problem:
        print(f"runcourse: {problem}", file=sys.stderr)
        return EXIT_USAGE
    except (OSError, msgspec.DecodeError) as problem:
        print(f"runcourse: no answer: {problem}", file=sys.stderr)
        return EXIT_UNREACHABLE


def run_inspect(internal: str, as_json: bool) -> int:
    """Prints the status that a controller reports and returns the exit code."""
    status = _ask_or_print_error(internal, "status")
    if isinstance(status, int):
        return status
    if as_json:
        print(json.dumps(status, indent=1))
    else:
        from .tables import render

        print(render(status))
    return 0


def run_reload(internal: str) -> int:
    """Makes a controller reload its locality file and returns the exit code."""
    answer = _ask_or_print_error(internal, "reload")
    if isinstance(answer, int):
        return answer
    if "error" in answer:
        print(f"runcourse: {answer['error']}", file=sys.stderr)
        return EXIT_REFUSED
    print(f"reloaded {answer['reloaded']}")
    return 0


async def _send_request(
    host: str, port: int, method: str, target: str, body: Any
) -> tuple[int, bytes]:
    client = Client(host, port, limit=1, connect_s=CONNECT_TIMEOUT_S)
    try:
        return await client.request(
            method,
            target,
            codec.encode(body) if body is not None else None,
            REQUEST_TIMEOUT_S,
        )
    finally:
        client.close()
