build-address-undefined/src/base/base_event.o: src/base/base_event.c \
 src/base/event.h src/base/base.h
src/base/event.h:
src/base/base.h:
