"""The deploy file: a real front is one process, and a build that was cut off is made anew."""

import os
import subprocess
import tomllib
from pathlib import Path

from tests.support.project import ROOT

DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
STUB = "#!/bin/sh\necho $$\n"
MAKES = r"""#!/bin/sh
mkdir -p .venv/bin
for one in pip python; do printf '#!/bin/sh\n' > .venv/bin/$one; chmod +x .venv/bin/$one; done
"""


def test_run_and_sim_end_in_the_shell_s_own_process(tmp_path: Path) -> None:
    program = tmp_path / ".venv" / "bin" / "python"
    program.parent.mkdir(parents=True)
    program.write_text(STUB)
    program.chmod(0o755)
    for key in ("run", "sim"):
        shell = subprocess.Popen(["/bin/sh", "-c", DEPLOY[key]], cwd=tmp_path, stdout=subprocess.PIPE)
        found, _ = shell.communicate()
        assert int(found) == shell.pid, key


def test_build_makes_a_half_made_environment_anew(tmp_path: Path) -> None:
    """Stubs stand for Python and pip: an environment has both only when it was made whole."""
    tools = tmp_path / "tools"
    half = tmp_path / ".venv" / "bin"
    for folder in (tools, half):
        folder.mkdir(parents=True)
        (folder / "python3").write_text(
            "#!/bin/sh\nmkdir -p .venv/bin\nfor one in pip python; do "
            "printf '#!/bin/sh\\n' > .venv/bin/$one; chmod +x .venv/bin/$one; done\n"
        )
        (folder / "python3").chmod(0o755)
    (half / "python").write_text(STUB)
    (half / "python").chmod(0o755)
    path = f"{tools}:{os.environ['PATH']}"
    result = subprocess.run(
        ["/bin/sh", "-c", DEPLOY["build"]], cwd=tmp_path, env={**os.environ, "PATH": path}
    )
    assert result.returncode == 0
    assert (half / "pip").exists()


def test_the_files_that_it_names_are_there() -> None:
    for path in [*DEPLOY["policy"], *DEPLOY["node"]]:
        assert (ROOT / path).exists(), path
