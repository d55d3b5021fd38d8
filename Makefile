PYTHON ?= python3.11
VENV ?= .venv
BIN := $(VENV)/bin
LIBRARIES := $(sort $(wildcard libraries/*))
PROJECTS := $(wildcard libraries/*/pyproject.toml)

.PHONY: demo test lint model format install

install: $(VENV)/installed

$(VENV)/installed: constraints.txt $(PROJECTS)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --require-hashes -r constraints.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation $(addprefix --editable ,$(LIBRARIES))
	touch $@

demo: install
	$(BIN)/python demo/demo.py

test: install
	$(BIN)/python -m pytest -q

lint: install
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	PYTHONPATH=platform $(BIN)/lint-imports

format: install
	$(BIN)/ruff check --fix .
	$(BIN)/ruff format .

model: install
	$(BIN)/python -m shallotspindle_model.main
