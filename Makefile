# Build, test, demo and benchmark targets; README.md lists them.
CC ?= cc
PREFIX ?= /usr/local
DESTDIR ?=
SANITIZE ?=
comma := ,
B := build$(if $(SANITIZE),-$(subst $(comma),-,$(SANITIZE)))
PKGS := libmicrohttpd libcurl glib-2.0 yaml-0.1 msgpack jansson libsodium \
        libxxhash
CFLAGS ?= -O2 -g
WARN := -Wall -Wextra -Werror -Wshadow -Wstrict-prototypes \
        -Wmissing-prototypes -Wvla
ALL_CFLAGS := -std=c11 -D_GNU_SOURCE -pthread -Isrc -I. $(WARN) \
        $(shell pkg-config --cflags $(PKGS)) $(CFLAGS) \
        $(if $(SANITIZE),-fsanitize=$(SANITIZE) -fno-omit-frame-pointer)
LIBS := $(shell pkg-config --libs $(PKGS)) -lck -lm -pthread
LIB_SRC := $(filter-out src/daemon/daemon_main.c src/cli/%,\
        $(sort $(wildcard src/*/*.c platform/*.c)))
LIB_OBJ := $(LIB_SRC:%.c=$(B)/%.o)
CLI_OBJ := $(patsubst %.c,$(B)/%.o,$(sort $(wildcard src/cli/*.c)))
LOAD_OBJ := $(patsubst %.c,$(B)/%.o,$(sort $(wildcard bench/load*.c)))
STANDIN_COMMON := $(B)/standin/standin_http.o
REGRESS_OBJ := $(patsubst %.c,$(B)/%.o,$(sort $(wildcard regress/*.c)))
BINS := $(B)/chestnutpaddled $(B)/chestnutpaddle $(B)/standin-platform \
        $(B)/standin-server $(B)/standin-routed \
        $(B)/standin-fault $(B)/standin-callers $(B)/standin-stutter \
        $(B)/standin-checker $(B)/standin-crowd \
        $(B)/chestnutpaddle-load
TESTS := $(B)/regress-run
C_FILES := $(sort $(wildcard src/*/*.[ch] platform/*.[ch] standin/*.[ch] bench/*.[ch] \
        regress/*.[ch]))


.PHONY: all sanitize check demo bench soak soak-routes soak-stutter lint format install clean
all: $(BINS)

$(B)/libchestnutpaddle.a: $(LIB_OBJ)
	@rm -f $@
	ar rcs $@ $^
$(B)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(ALL_CFLAGS) -MMD -MP -c -o $@ $<
$(B)/chestnutpaddled: $(B)/src/daemon/daemon_main.o $(B)/libchestnutpaddle.a
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)
$(B)/chestnutpaddle: $(CLI_OBJ) $(B)/libchestnutpaddle.a
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)
$(B)/standin-%: $(B)/standin/standin_%.o $(STANDIN_COMMON) \
        $(B)/libchestnutpaddle.a
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)
$(B)/chestnutpaddle-load: $(LOAD_OBJ) $(STANDIN_COMMON) \
        $(B)/libchestnutpaddle.a
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)
$(B)/bench-%: $(B)/bench/%.o $(B)/libchestnutpaddle.a
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS)
$(B)/regress-run: $(REGRESS_OBJ) $(B)/libchestnutpaddle.a
	$(CC) $(ALL_CFLAGS) -o $@ $^ $(LIBS) $(shell pkg-config --libs check)

check: $(BINS) $(TESTS)
	BUILD=$(B) $(B)/regress-run
demo:
	sh tools/install-packages
	$(MAKE) all
	BUILD=$(B) bash tools/demo
bench: all $(B)/bench-lookup_rate $(B)/bench-blocks $(B)/bench-place
	BUILD=$(B) bash bench/run
sanitize: # the scripts under the sanitizers
	$(MAKE) check SANITIZE=address,undefined
	$(MAKE) check SANITIZE=thread
soak: all
	BUILD=$(B) bash regress/system/soak $(or $(SEED),1) $(or $(RUNS),500)
soak-routes: all
	BUILD=$(B) bash regress/system/soak_routes $(or $(SEED),1) $(or $(RUNS),50)
soak-stutter: all
	BUILD=$(B) bash regress/system/soak_stutter $(or $(SEED),1) $(or $(RUNS),20)
# Names of the users' platform stand in platform/ only.
PLATFORM_NAMES := rows-tx|rows-get|rows-feed|blob-(put|get|drop)|Attempt-Id|\
Affinity-Key|Target-Instance|Not-Executed|Response-Seal|Server-Load|\
Warmup-Remaining|Server-Leaving|warmupLeftMs|serviceName|healthPath|configVersion|\
latencyGoalMs|trafficSplit|routeType|sessionAffinity|apiKeys|ratePerS|paddle-Tenant|\
Store-Era
lint:
	! grep -rnE '$(PLATFORM_NAMES)' src
	clang-format --dry-run -Werror $(C_FILES)
	cppcheck --quiet --error-exitcode=1 --std=c11 --inline-suppr \
	    --enable=warning,portability --suppress=missingIncludeSystem \
	    '-DCK_EPOCH_CONTAINER(T,M,N)=' \
	    -Isrc -I. src platform standin bench regress
format:
	clang-format -i $(C_FILES)
install: all
	install -d $(DESTDIR)$(PREFIX)/bin $(DESTDIR)$(PREFIX)/sbin \
	    $(DESTDIR)$(PREFIX)/share/man/man1 \
	    $(DESTDIR)$(PREFIX)/share/man/man5 \
	    $(DESTDIR)$(PREFIX)/share/man/man8
	install -m 755 $(B)/chestnutpaddled $(DESTDIR)$(PREFIX)/sbin/
	install -m 755 $(B)/chestnutpaddle $(B)/chestnutpaddle-load \
	    $(DESTDIR)$(PREFIX)/bin/
	for s in 1 5 8; do install -m 644 man/*.$$s \
	    $(DESTDIR)$(PREFIX)/share/man/man$$s/; done
clean:
	rm -rf build build-*
-include $(shell find $(B) -name '*.d' 2>/dev/null)
