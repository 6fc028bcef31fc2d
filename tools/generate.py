"""Generates the frozen data classes of ``chivespan`` from the files in ``schema/``.

The generated modules are committed, so that running chivespan needs no generator;
``--check`` fails if a committed module differs from the output for its schema.
"""

import sys
import tempfile
from pathlib import Path

from datamodel_code_generator.__main__ import main as datamodel_main

ROOT = Path(__file__).resolve().parent.parent
MODULES = (
    "linkmessages",
    "messages",
    "jobmessages",
    "records",
    "documents",
    "settings",
    "nodesettings",
    "nodemessages",
    "batchrecords",
    "evidencerecords",
    "callerapi",
    "erroranswer",
    "engineapi",
)


def generate(module: str, output: Path) -> None:
    """Write the module generated from ``schema/<module>.yaml`` to ``output``."""
    schema = ROOT / "schema" / f"{module}.yaml"
    header = f'"""Data classes generated from schema/{module}.yaml; do not edit."""'
    datamodel_main(
        [
            f"--input={schema}",
            "--input-file-type=jsonschema",
            f"--output={output}",
            "--output-model-type=dataclasses.dataclass",
            '--dataclass-arguments={"frozen":true,"slots":true,"kw_only":true}',
            f"--custom-file-header={header}",
            "--use-schema-description",
            "--use-field-description",
            "--use-standard-collections",
            "--use-union-operator",
            "--strict-nullable",
            "--output-datetime-class=datetime",
            "--target-python-version=3.11",
            "--disable-timestamp",
            "--formatters=builtin",
        ]
    )


def main() -> int:
    """Write all modules, or check them with ``--check``; return the exit code."""
    check_only = "--check" in sys.argv[1:]
    stale = []
    for module in MODULES:
        committed = ROOT / "chivespan" / f"{module}.py"
        with tempfile.TemporaryDirectory() as folder:
            fresh = Path(folder) / f"{module}.py"
            generate(module, fresh)
            text = fresh.read_text()
        if check_only and (not committed.exists() or committed.read_text() != text):
            stale.append(module)
        elif not check_only:
            committed.write_text(text)
    for module in stale:
        print(
            f"chivespan/{module}.py is out of date with schema/{module}.yaml; "
            "run 'make generate'"
        )
    return 1 if stale else 0


if __name__ == "__main__":
    sys.exit(main())
