"""Errors in settings files name the file, the field and the reason; the exit code is 2."""

import subprocess
import tomllib
from pathlib import Path

import pytest
from standins import SETTINGS

from runcourse.cli import main
from runcourse.config import load_operators, load_platform
from runcourse.errors import SettingsError

ROOT = Path(__file__).resolve().parent.parent
VALID_SETTINGS = SETTINGS.format(api=1, internal=2, cloud=3, state=4)


@pytest.mark.parametrize(
    ("before", "after", "field"),
    [
        ('member = "runner-0"', "", "member"),
        ("lease_s = 3.0", 'lease_s = "long"', "settings.workers.lease_s"),
        ("rps = 400.0", "rps = 0.0", "settings.state.rps"),
        ("127.0.0.1:1", "127.0.0.1", "api_addr"),
        ("nodes = 1", "nodes = 3", "settings.nodes"),
        ("[settings]", "[settings", "file"),
    ],
)
def test_invalid_platform_file_is_refused_with_file_and_field(
    tmp_path: Path, before: str, after: str, field: str, capsys: pytest.CaptureFixture[str]
) -> None:
    path = tmp_path / "s.toml"
    path.write_text(VALID_SETTINGS.replace(before, after, 1))
    with pytest.raises(SettingsError) as caught:
        load_platform(path)
    assert str(path) in str(caught.value) and field in str(caught.value)
    assert main(["serve", "--config", str(path)]) == 2
    assert field in capsys.readouterr().err


@pytest.mark.parametrize(
    ("text", "message_part"),
    [
        ("(runcourse (sample 1))", "sample"),
        ("(runcourse (colour 1))", "colour"),
        ("(runcourse (sample 4) (sample 5))", "twice"),
        ("(other)", "expected"),
        ("(runcourse (sync-every", "S-expression"),
    ],
)
def test_invalid_operators_file_is_refused_with_reason(
    tmp_path: Path, text: str, message_part: str
) -> None:
    path = tmp_path / "o.sexp"
    path.write_text(text)
    with pytest.raises(SettingsError, match=message_part):
        load_operators(path)


def test_valid_files_are_accepted_and_unknown_fields_ignored(tmp_path: Path) -> None:
    path = tmp_path / "s.toml"
    path.write_text(VALID_SETTINGS + "\nunknown = 1\n")
    assert load_platform(path).settings.workers.lease_s == 3.0
    operators = tmp_path / "o.sexp"
    operators.write_text("(runcourse (sample 8) (headroom 1.5))")
    assert load_operators(operators).sample == 8
    assert main(["check-config", "--config", str(path), "--operators", str(operators)]) == 0


@pytest.mark.parametrize(
    ("install_status", "compile_status", "succeeds"),
    [(0, 0, True), (0, 1, True), (1, 0, False)],
    ids=["good", "no byte code", "no install"],
)
def test_failed_install_fails_the_build(
    tmp_path: Path, install_status: int, compile_status: int, succeeds: bool
) -> None:
    """Guards against a build that succeeds although its install step failed: the exit status of
    the compile step after it used to replace that of the install step."""
    build = tomllib.loads((ROOT / "deploy" / "service.toml").read_text("utf-8"))["build"]
    (tmp_path / "requirements.txt").write_text("", "utf-8")
    python_stub = tmp_path / "bin" / "python3"
    python_stub.parent.mkdir()
    python_stub.write_text(
        '#!/bin/sh\ncase "$*" in\n'
        f'*"pip install"*) mkdir -p target/deps; exit {install_status};;\n'
        f"*) exit {compile_status};;\nesac\n",
        "utf-8",
    )
    python_stub.chmod(0o755)
    # The second build must end the same way: a partly filled directory is no finished install.
    for _ in range(2):
        result = subprocess.run(
            ["/bin/sh", "-c", build],
            cwd=tmp_path,
            check=False,
            env={"PATH": f"{python_stub.parent}:/usr/bin:/bin", "PWD": str(tmp_path)},
        )
        assert (result.returncode == 0) is succeeds
