build-address-undefined/src/base/base_address.o: src/base/base_address.c \
 src/base/base.h
src/base/base.h:
