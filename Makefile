PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
SOURCES := $(shell find src -name '*.py')
export PYTHONPATH := dev:.

.PHONY: demo platform-demo soak soak-restarts days test bench fuzz matrix mutants slopes experiments load losses model upkeep site dist format clean

$(VENV)/ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes -r requirements.lock
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation -e .
	touch $@

dist: dist/oleanderhill

# One file: a zip application with all dependencies, run by the host's Python in one process.
dist/oleanderhill: $(VENV)/ready $(SOURCES)
	rm -rf build/site && mkdir -p build/site dist
	$(BIN)/python -m oleanderhill_dev.package build/site
	$(BIN)/shiv --quiet --site-packages build/site --console-script oleanderhill \
		--python '/usr/bin/env python3' --output-file $@ --no-deps --no-build-isolation .

demo: dist/oleanderhill
	$(BIN)/python -m oleanderhill_dev.demo

test: $(VENV)/ready
	$(BIN)/black --check --quiet src dev tests
	$(BIN)/ruff check --quiet src dev tests
	$(BIN)/mypy
	$(BIN)/python -m oleanderhill_dev.run_tests

format: $(VENV)/ready
	$(BIN)/black --quiet src dev tests
	$(BIN)/ruff check --quiet --fix src dev tests

clean:
	rm -rf build dist $(VENV)

SEED ?= 1
DURATION ?= 60

fuzz: $(VENV)/ready
	$(BIN)/python -m oleanderhill_dev.fuzz --seed-number $(SEED) --duration $(DURATION)

mutants: $(VENV)/ready
	$(BIN)/python -m oleanderhill_dev.mutants

bench: dist/oleanderhill
	$(BIN)/python -m oleanderhill_dev.bench

slopes: $(VENV)/ready build/bench.json
	$(BIN)/python -m oleanderhill_dev.slopes
	$(BIN)/python -m oleanderhill_dev.capacity

build/bench.json: dist/oleanderhill
	$(BIN)/python -m oleanderhill_dev.bench

matrix: $(VENV)/ready
	$(BIN)/python -m oleanderhill_dev.matrix

experiments: $(VENV)/ready
	$(BIN)/python -m oleanderhill_dev.experiments

site: dist/oleanderhill
	$(BIN)/python -m oleanderhill_dev.site

platform-demo: $(VENV)/ready
	$(BIN)/python -m oleanderhill_dev.users.demo

COUNT ?= 5

soak: $(VENV)/ready
	$(BIN)/python -m oleanderhill_dev.users.soak $(SEED) $(COUNT)

soak-restarts: $(VENV)/ready
	$(BIN)/python -m oleanderhill_dev.users.soak_restarts $(SEED) $(COUNT)

SITE ?=
BENCH ?=

days: $(VENV)/ready
	$(BIN)/python -m oleanderhill_dev.users.days $(BENCH) $(SITE)

LOG ?=

losses: $(VENV)/ready
	$(BIN)/python -m oleanderhill_dev.users.losses $(LOG)

model: $(VENV)/ready
	$(BIN)/python -m oleanderhill_dev.model.compare --seeds $(COUNT)

ENTRIES ?= 2200

upkeep: $(VENV)/ready
	$(BIN)/python -m oleanderhill_dev.users.upkeep --entries $(ENTRIES)

load: $(VENV)/ready
	$(BIN)/python -m oleanderhill_dev.load
	$(BIN)/python -m oleanderhill_dev.load --write-page
