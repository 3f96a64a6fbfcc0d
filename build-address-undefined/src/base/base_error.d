build-address-undefined/src/base/base_error.o: src/base/base_error.c \
 src/base/base.h
src/base/base.h:
