PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

.PHONY: demo test lint format measure model soak docs report clean

$(STAMP): pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

demo: $(STAMP)
	$(BIN)/python -m chicoryusher_standins.demo $(ARGS)

test: $(STAMP)
	$(BIN)/python tools/run_tests.py

lint: $(STAMP)
	$(BIN)/ruff check src tests tools features platform
	$(BIN)/ruff format --check src tests tools features platform
	$(BIN)/flake8 src tests tools features platform
	$(BIN)/lint-imports

format: $(STAMP)
	$(BIN)/ruff check --fix src tests tools features platform
	$(BIN)/ruff format src tests tools features platform

measure: $(STAMP)
	$(BIN)/python -m chicoryusher_standins.measure $(ARGS)

report: $(STAMP)
	$(BIN)/python -m chicoryusher_standins.report

model: $(STAMP)
	$(BIN)/python -m chicoryusher_standins.model.check

soak: $(STAMP)
	PYTHONPATH=tests:tests/platform:platform $(BIN)/python -m soak.play $(ARGS)

docs: $(STAMP)
	$(BIN)/python tools/make_docs.py

clean:
	rm -rf $(VENV) build
