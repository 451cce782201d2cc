# Developer commands. VENV may point at a virtual environment that is already filled.
VENV ?= .venv
PYTHON ?= python3.11
LOCK_HASH := $(shell sha256sum requirements.lock | cut -c1-16)
STAMP := $(VENV)/.installed-$(LOCK_HASH)
SOURCES := $(sort $(wildcard packages/*/src)) platform
empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(addprefix $(CURDIR)/,$(SOURCES)))
export PYTHONHASHSEED := 0
BIN := $(VENV)/bin
CODE := packages platform features tools $(wildcard model fuzz soak)

.PHONY: env demo test format lint types contracts features measure fuzz model soak install

env: $(STAMP)

$(STAMP): requirements.lock
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --requirement requirements.lock
	touch $(STAMP)

install: env ## Install the two binaries into $(VENV).
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps \
		--no-build-isolation $(addprefix --editable ,$(sort $(wildcard packages/*)))

format: env
	$(BIN)/black --quiet $(CODE)
	$(BIN)/ruff check --quiet --fix $(CODE)

lint: env
	$(BIN)/black --check --quiet $(CODE)
	$(BIN)/ruff check $(CODE)

types: env
	$(BIN)/mypy $(wildcard packages/*/src/*) platform/banyanshelf_platform

contracts: env
	$(BIN)/lint-imports

features: env
	$(BIN)/python tools/run_features.py $(FEATURES)

test: lint types contracts features

demo: env
	$(BIN)/python -m banyanshelf_bench.demo

measure: env
	$(BIN)/python -m banyanshelf_bench.measure $(ARGS)

fuzz: env
	$(BIN)/python -m fuzz.run $(ARGS)

model: env
	$(BIN)/python -m model.run $(ARGS)

soak: env
	$(BIN)/python -m soak.run $(ARGS)
