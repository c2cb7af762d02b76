# Each target sets up .venv by itself: Python 3.11 or newer, pip and make will do.

.DEFAULT_GOAL := help
SHELL := /bin/bash
.SHELLFLAGS := -o pipefail -c

PYTHON ?= $(shell for each in python3.11 python3.12 python3.13 python3; do \
	if $$each -c 'import sys; sys.exit(sys.version_info < (3, 11))' 2>/dev/null; \
	then command -v $$each; break; fi; done)
BIN := .venv/bin
RUN := PYTHONPATH=src:. $(BIN)/python

# The stamps carry a sum of the pinned requirements, so that a change of a pin
# installs again and an environment shared by several trees is filled only once.
RUNTIME_SUM := $(shell cat requirements/runtime.txt | cksum | cut -d' ' -f1)
DEVELOP_SUM := $(shell cat requirements/*.txt | cksum | cut -d' ' -f1)
RUNTIME := .venv/.runtime-$(RUNTIME_SUM)
DEVELOP := .venv/.develop-$(DEVELOP_SUM)
PIP := $(BIN)/python -m pip install --quiet --disable-pip-version-check

JOBS ?= 2
# Runs of each policy on the model of engines that work in passes.
SEEDS ?= 8
# Time stamp of all files in the single file, so that equal sources give equal bytes.
BUILD_TIME := 1735689600

.PHONY: help run test check format unit functional docs-check docs bounds bench \
	bench-path slopes soak build verify-build clean

help:
	@echo 'make run         start a demonstration with embedded stand-ins'
	@echo 'make test        everything that CI runs'
	@echo 'make check       format, lint and types'
	@echo 'make unit        unit tests; make functional: tests of real processes'
	@echo 'make docs        write the reference pages; make docs-check: compare them'
	@echo 'make bench       policies; bench-path: the data path; slopes: capacity'
	@echo 'make build       the single file dist/mimosafork'

$(BIN)/python:
	@test -n '$(PYTHON)' || { echo 'Python 3.11 or newer is needed'; exit 1; }
	$(PYTHON) -m venv .venv

$(RUNTIME): | $(BIN)/python
	$(PIP) -r requirements/runtime.txt
	@touch $@

$(DEVELOP): | $(BIN)/python
	$(PIP) -r requirements/develop.txt
	@touch $@

run: $(RUNTIME)
	$(RUN) -m mimosafork demo

# One step after the other, so that each has the machine to itself; a step that
# fails does not keep the others from being run; the tally is the last line.
test: $(DEVELOP)
	@failed=; \
	for each in check docs-check bounds build; do \
		$(MAKE) --no-print-directory $$each || failed="$$failed $$each"; \
	done; \
	$(RUN) -m tests.run all --jobs $(JOBS) || failed="$$failed tests"; \
	test -z "$$failed" || { echo "failed:$$failed"; exit 1; }

check: $(DEVELOP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: $(DEVELOP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

unit: $(DEVELOP)
	$(RUN) -m tests.run unit

functional: $(DEVELOP)
	$(RUN) -m tests.run functional --jobs $(JOBS)

docs-check: $(DEVELOP)
	@if [ -f tools/docs_check.py ]; then $(RUN) -m tools.docs_check; \
	else echo '*** NOT RUN: tools/docs_check.py is not there yet ***'; fi

docs: $(DEVELOP)
	$(RUN) -m tools.docs_check --write

bounds: $(DEVELOP)
	@if [ -f benchmarks/bounds.py ]; then $(RUN) -m benchmarks.bounds; \
	else echo '*** NOT RUN: benchmarks/bounds.py is not there yet ***'; fi

bench: $(DEVELOP)
	$(RUN) -m benchmarks.policy
	$(RUN) -m benchmarks.passes --seeds $(SEEDS)
	$(RUN) -m benchmarks.passes --seeds $(SEEDS) --faults --out build/faults

bench-path: $(DEVELOP)
	$(RUN) -m benchmarks.path

slopes: $(DEVELOP)
	$(RUN) -m tools.slopes

soak: $(DEVELOP)
	$(RUN) -m tests.soak

# build/ and the egg-info are removed first, as a stale build/lib would bring modules
# into the file that are gone from the tree.
build: $(DEVELOP)
	rm -rf build src/*.egg-info dist/mimosafork
	@mkdir -p dist
	SOURCE_DATE_EPOCH=$(BUILD_TIME) $(BIN)/shiv --quiet --compressed \
		--console-script mimosafork --output-file dist/mimosafork \
		--python '/usr/bin/env python3.11' \
		--no-deps --no-build-isolation --disable-pip-version-check \
		--requirement requirements/runtime.txt .
	rm -rf build src/*.egg-info
	@$(MAKE) --no-print-directory verify-build

verify-build: $(DEVELOP)
	$(RUN) -m tools.verify_build dist/mimosafork

clean:
	rm -rf build dist .mypy_cache .ruff_cache
