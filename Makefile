# Two commands do all set-up on a fresh machine: `make demo` and `make test`.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
DEPLOYMENT ?= awash
# Processes that run tests; each file of tests stays in one process.
TEST_PROCESSES ?= 4

.PHONY: demo test check bench proofs format schema clean

$(STAMP): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/pip install --quiet --disable-pip-version-check --no-deps --editable .
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m standins.demo --deployment=$(DEPLOYMENT)
	$(BIN)/python -m soak.demo

check: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

test: check
	$(BIN)/python -m pytest -n $(TEST_PROCESSES) --dist loadfile -m "not crowd"
	$(BIN)/python -m pytest -m crowd

bench: $(STAMP)
	$(BIN)/python -m bench report

proofs: $(STAMP)
	$(BIN)/python -m bench proofs

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

# Needs grpcio-tools; its output is committed, so no build depends on it.
schema: $(STAMP)
	$(BIN)/python -m grpc_tools.protoc -I . --python_out=. --pyi_out=. \
	    plantainyard/api/operators.proto

clean:
	rm -rf $(VENV)
