"""The deploy file: its commands replace the shell, and its build replaces an incomplete environment."""

import os
import subprocess
import tomllib
from pathlib import Path

from tests.support.project import ROOT

DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
PRINT_PROCESS_ID = "#!/bin/sh\necho $$\n"
CREATE_ENVIRONMENT = (
    "#!/bin/sh\nmkdir -p .venv/bin\nfor tool in pip python; do "
    "printf '#!/bin/sh\\n' > .venv/bin/$tool; chmod +x .venv/bin/$tool; done\n"
)


def write_program(path: Path, text: str) -> None:
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(text)
    path.chmod(0o755)


def test_run_and_sim_replace_the_shell_process(tmp_path: Path) -> None:
    write_program(tmp_path / ".venv" / "bin" / "python", PRINT_PROCESS_ID)
    for key in ("run", "sim"):
        shell = subprocess.Popen(["/bin/sh", "-c", DEPLOY[key]], cwd=tmp_path, stdout=subprocess.PIPE)
        printed, _ = shell.communicate()
        assert int(printed) == shell.pid, key


def test_build_replaces_an_incomplete_environment(tmp_path: Path) -> None:
    """An environment has both Python and pip only if it is complete; stubs stand for the two programs."""
    tools = tmp_path / "tools"
    environment = tmp_path / ".venv" / "bin"
    write_program(tools / "python3", CREATE_ENVIRONMENT)
    write_program(environment / "python3", CREATE_ENVIRONMENT)
    write_program(environment / "python", PRINT_PROCESS_ID)
    path = f"{tools}:{os.environ['PATH']}"

    result = subprocess.run(
        ["/bin/sh", "-c", DEPLOY["build"]], cwd=tmp_path, env={**os.environ, "PATH": path}
    )

    assert result.returncode == 0
    assert (environment / "pip").exists()


def test_listed_files_exist() -> None:
    for path in [*DEPLOY["policy"], *DEPLOY["node"]]:
        assert (ROOT / path).exists(), path
