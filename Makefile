PACKAGES = gcc cmake make pkg-config clang-format clang-tidy libglib2.0-dev \
  libsoup-3.0-dev libjson-c-dev libpq-dev libmsgpack-dev libargtable2-dev \
  liblog4c-dev glib-networking openssl
BUILD ?= build
SEED ?= 1
STEPS ?= 20000
SECONDS ?= 36

.PHONY: all install-packages demo check fuzz soak measure slopes mutants format lint

all: $(BUILD)/Makefile
	@$(MAKE) --no-print-directory -C $(BUILD) -j$$(nproc) >$(BUILD)/make.log 2>&1 || \
	  { cat $(BUILD)/make.log; exit 1; }

$(BUILD)/Makefile: CMakeLists.txt | install-packages
	@mkdir -p $(BUILD)
	@cmake -S . -B $(BUILD) >$(BUILD)/cmake.log 2>&1 || { cat $(BUILD)/cmake.log; exit 1; }

# Installs what is missing; does nothing where all is there.
install-packages:
	@missing=; for p in $(PACKAGES); do \
	  dpkg -s $$p >/dev/null 2>&1 || missing="$$missing $$p"; done; \
	if [ -n "$$missing" ]; then \
	  apt-get update >/dev/null && apt-get install -y $$missing >/dev/null; fi

demo: all
	@BIN=$(BUILD) ./demo/demo.sh

# Tests that KNOWN-RED.txt lists with a line "ctest: NAME" are passed over.
RED = $(shell sed -n 's/^ctest: //p' KNOWN-RED.txt | paste -sd'|')

check: all
	@cd $(BUILD) && ctest --output-on-failure $(if $(RED),-E '^($(RED))$$')

format:
	@git ls-files '*.c' '*.h' | xargs clang-format -i

lint: all
	@git ls-files '*.c' '*.h' | xargs clang-format --dry-run -Werror
	@git ls-files '*.c' | xargs -P $$(nproc) -n 4 clang-tidy -p $(BUILD) --quiet 2>/dev/null

# The fuzzers, one of the product's own databases, one of the platform's: SEED
# and STEPS choose the schedule, SEEDS how many from SEED on.
SEEDS ?= 1
fuzz: all
	@$(BUILD)/fuzz --seed $(SEED) --seeds $(SEEDS) --steps $(STEPS)
	@$(BUILD)/sessions --seed $(SEED) --seeds $(SEEDS) --steps $(STEPS)
	@$(BUILD)/sessions --deposed-serves --seed $(SEED) --seeds $(SEEDS) --steps $(STEPS)
	@$(BUILD)/sessions --releases --seed $(SEED) --seeds $(SEEDS) --steps $(STEPS)
	@$(BUILD)/sessions --moves --seed $(SEED) --seeds $(SEEDS) --steps $(STEPS)
	@$(BUILD)/sessions --customers --seed $(SEED) --seeds $(SEEDS) --steps $(STEPS)

# Real processes under seeded faults; MODE is an argument of tests/soak.sh.
MODE ?= planned
soak: all
	@BIN=$(BUILD) tests/soak.sh $(SEED) $(SECONDS) $(MODE)

mutants: install-packages
	@mkdir -p build-mutants
	@cmake -S . -B build-mutants -DGM_MUTANTS=ON >/dev/null
	@$(MAKE) -s --no-print-directory -C build-mutants -j$$(nproc) >build-mutants/make.log 2>&1 || \
	  { cat build-mutants/make.log; exit 1; }
	@tests/mutants.sh build-mutants

measure: all
	@$(BUILD)/measure
	@BIN=$(BUILD) tests/measure_failover.sh ertis
	@BIN=$(BUILD) tests/measure_failover.sh tracnica

slopes: all
	@$(BUILD)/slopes
	@$(BUILD)/keys
	@BIN=$(BUILD) tests/measure_slopes.sh
	@BIN=$(BUILD) tests/measure_lines.sh
