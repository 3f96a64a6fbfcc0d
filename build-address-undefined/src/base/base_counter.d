build-address-undefined/src/base/base_counter.o: src/base/base_counter.c \
 src/base/base.h
src/base/base.h:
