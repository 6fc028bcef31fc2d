"""Adapts the configuration of an example deployment to the stand-ins' addresses."""

from collections.abc import Iterator
from dataclasses import replace
from pathlib import Path

from chivespan.documents import Runner
from chivespan.inventory import read_files, write_toml
from tools.cluster import Site

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"


def write_example(example: Path, site: Site, folder: Path) -> Iterator[Path]:
    """Yield the files of an example, with the runners' addresses replaced by a site's.

    :param folder: folder for the changed files.
    """
    inventory = read_files([example / "inventory.toml"])
    engines = iter(site.engine_addresses)
    plains = iter(site.plain_addresses)
    documents = []
    for document in inventory.documents.values():
        if isinstance(document, Runner):
            address = next(engines if document.model else plains)
            document = replace(document, address=address)
        documents.append(document)
    target = folder / "inventory.toml"
    target.write_text(write_toml(documents))
    yield target
    yield example / "rules.toml"
