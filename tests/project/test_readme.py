"""The README: its example sends a request, and CI runs its test command."""

import contextlib
import io
import re

from tests.support.project import ROOT

README = ROOT / "README.md"


def test_readme_example_sends_its_request() -> None:
    (code,) = re.findall(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        exec(compile(code, str(README), "exec"), {})
    assert "SendAttempt(request_id='a', node_id=11)" in printed.getvalue()


def test_ci_runs_the_test_command_of_the_readme() -> None:
    commands = re.findall(r"^    (\.venv/bin/python -m pytest.*)$", README.read_text(), re.MULTILINE)
    assert commands == [".venv/bin/python -m pytest"]
    assert f"exec {commands[0]}\n" in (README.parent / ".ci" / "run").read_text()
