# A fresh machine needs Python 3.11 and these targets only.
PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: demo test lint format proto
$(VENV)/.installed: requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check --requirement requirements.lock
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m pomelogauge demo

test: $(VENV)/.installed
	$(BIN)/python -m test

lint: $(VENV)/.installed
	$(BIN)/ruff format --check --diff .
	$(BIN)/ruff check .
	$(BIN)/flake8 pomelogauge test
	$(BIN)/mypy
	$(BIN)/lint-imports --no-cache

format: $(VENV)/.installed
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

proto: $(VENV)/.installed
	cd pomelogauge/wire && $(abspath $(BIN))/python -m grpc_tools.protoc -I . --python_out=. --pyi_out=. --grpc_python_out=. peer.proto entry_peer.proto
	sed -i 's/^import peer_pb2 as/from . import peer_pb2 as/' pomelogauge/wire/peer_pb2_grpc.py
	sed -i 's/^import entry_peer_pb2 as/from . import entry_peer_pb2 as/' pomelogauge/wire/entry_peer_pb2_grpc.py
