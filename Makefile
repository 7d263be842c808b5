PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup test lint demo prove prove-naive soak soak-naive bench regress clean

setup: $(VENV)/.ready

$(VENV)/.ready: pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q --disable-pip-version-check -c constraints.txt -e '.[test]'
	touch $@

test: setup
	$(BIN)/python tools/run_tests.py

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

demo: setup
	$(BIN)/python -m standins.demo

prove: setup
	$(BIN)/python -m proofs.run

prove-naive: setup
	$(BIN)/python -m proofs.run --naive

SEED ?= 1
RUNS ?= 5

soak: setup
	$(BIN)/python -m soak.run --regressions --seed $(SEED) --runs $(RUNS)

soak-naive: setup
	$(BIN)/python -m soak.run --naive --seed $(SEED)

# BENCH is the program of the users' bench, SITES are its site files.
JOBS ?= 2

regress: setup
	$(BIN)/python tools/regress.py --bench $(BENCH) --jobs $(JOBS) $(SITES)

bench: setup
	$(BIN)/python -m bench.run

clean:
	rm -rf $(VENV)
