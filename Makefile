VENV ?= .venv
BIN := $(VENV)/bin
# Tests that run at once; each may have some twenty processes.
WORKERS ?= 4
# Tests that measure memory run one at a time, apart from others.
CROWDS := tests/test_gateway_crowds.py tests/test_entry_crowds.py
LIBS := $(sort $(wildcard libs/*))

.PHONY: install test lint format demo binary capacity load clean

install: $(VENV)/installed

$(VENV)/installed: requirements.txt test-requirements.txt $(LIBS:%=%/pyproject.toml)
	python3 -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check \
	    -r requirements.txt -r test-requirements.txt
	$(BIN)/pip install -q --disable-pip-version-check \
	    --no-build-isolation --no-deps $(LIBS:%=-e %)
	touch $@

demo: install
	$(BIN)/burdockmast-bench demo

binary: install
	$(BIN)/shiv --quiet --compressed --entry-point burdockmast.operator.core:main \
	    --output-file dist/burdockmast --no-deps $(LIBS) \
	    -r requirements.txt

test: install
	$(BIN)/python -m pytest -n $(WORKERS) $(CROWDS:%=--ignore=%)
	$(BIN)/python -m pytest $(CROWDS)

lint: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/flake8 libs tests

format: install
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

load: install
	$(BIN)/burdockmast-bench load --policy lowest-cost --policy least-loaded \
	    --policy round-robin --policy shortest-path --seconds 40

capacity: install
	mkdir -p docs/measured
	$(BIN)/burdockmast-bench slopes --output docs/measured/slopes.json
	$(BIN)/burdockmast-bench capacity docs/measured/slopes.json docs/CAPACITY.md

clean:
	rm -rf $(VENV) build dist
