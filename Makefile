PYTHON := .venv/bin/python
WORKERS := --numprocesses 6 --dist worksteal

.PHONY: mixed soak day score hunt bench-site bench-site-kill bench-site-trace bench-path bench-entries bench-orders setup generate check-generated format lint types test faults demo bench-state site bench-policy bench-capacity

setup: .venv/.locked

.venv/.locked: requirements.lock pyproject.toml
	test -x $(PYTHON) || python3 -m venv .venv
	$(PYTHON) -m pip install --quiet --quiet --requirement requirements.lock
	$(PYTHON) -m pip install --quiet --quiet --no-deps --no-build-isolation --editable .
	touch $@

generate: setup
	$(PYTHON) -m tools.generate
	$(PYTHON) -m tools.pages

check-generated: setup
	$(PYTHON) -m tools.generate --check
	$(PYTHON) -m tools.pages --check

format: setup
	.venv/bin/ruff format .
	.venv/bin/ruff check --fix --quiet .

lint: setup
	.venv/bin/ruff format --check .
	.venv/bin/ruff check .

types: setup
	.venv/bin/mypy

test: setup
	$(PYTHON) -m pytest $(WORKERS) -m "not slow"

faults: setup
	$(PYTHON) -m pytest $(WORKERS) -m "slow or not slow" tests/test_faults.py
	$(PYTHON) -m tools.faultpage

# A fleet of the last release and this one, upgraded node by node.
RELEASE ?= d43ccb9
LAST_RELEASE := $(CURDIR)/target/last-release

mixed: setup
	git worktree remove --force $(LAST_RELEASE) 2>/dev/null || true
	git worktree add --detach $(LAST_RELEASE) $(RELEASE)
	CHIVESPAN_LAST_RELEASE=$(LAST_RELEASE) $(PYTHON) -m pytest -m slow tests/test_mixedfleet.py
	git worktree remove --force $(LAST_RELEASE)

demo: setup
	$(PYTHON) -m tools.demo

site: setup
	$(PYTHON) -m tools.demo --keep

bench-policy: setup
	$(PYTHON) -m bench.bench_grants
	$(PYTHON) -m bench.bench_policy compare
	$(PYTHON) -m bench.bench_policy compare --kill=True --name=bench_policy_killed

bench-entries: setup
	$(PYTHON) -m bench.bench_entries

bench-orders: setup
	$(PYTHON) -m bench.bench_orders

bench-path: setup
	$(PYTHON) -m bench.bench_path

bench-site: setup
	$(PYTHON) -m bench.bench_site compare

bench-site-kill: setup
	$(PYTHON) -m bench.bench_site compare --kill=True --seconds=15

bench-site-trace: setup
	$(PYTHON) -m bench.bench_site trace

bench-state: setup
	$(PYTHON) -m bench.bench_state

bench-capacity: setup
	$(PYTHON) -m bench.bench_capacity all

SEEDS ?= 10
FIRST ?= 1

soak: setup
	$(PYTHON) -m soak.run --seeds $(SEEDS) --first $(FIRST)

# The users' bench, beside the checkout; CI doesn't need it.
BENCH ?= ../given/kit/more/system/more/bench-d17393/bin/fleetbench
# One day of it at a time: it has hundreds of nodes. Small sites bear JOBS=3 DAYS=40.
SITE ?= ../given/kit/more/system/large/spsoft-haul-large.toml
DAY ?= quiet-1
DAYS ?= 8
JOBS ?= 1
WHY ?= measured by make

day:
	$(BENCH) run $(SITE) $(DAY) --why "$(WHY)"

score:
	$(BENCH) score $(SITE) --jobs $(JOBS) --why "$(WHY)"

hunt:
	$(BENCH) hunt $(SITE) --days $(DAYS) --jobs $(JOBS) --why "$(WHY)"
